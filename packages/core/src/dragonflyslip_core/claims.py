"""Claims that let a keyed call run at most once.

A keyed call has an idempotency key. An entry appends a claim to the log, reads
the log up to it, and sends the call only if its claim is the first for the
key. A claim is not a lease and does not expire by time: only the process that
made it may send the call, once, so a paused process cannot cause a second run.
"""

import collections
import dataclasses
import re
import typing

from returns import result

from dragonflyslip_core import claim_batches
from dragonflyslip_core import errors

ClaimRecord = claim_batches.ClaimRecord
ReleaseRecord = claim_batches.ReleaseRecord

FUTURE_LIMIT_S = 60.0
# Clocks of entries and of the log are assumed to differ by at most this.
CLOCK_DIFFERENCE_S = 60.0
# The log time of a claim may precede its key's timestamp by this much: the
# key may be in the future by FUTURE_LIMIT_S, on an entry whose clock is ahead
# of the log's by CLOCK_DIFFERENCE_S.
_CLAIM_LEAD_S = FUTURE_LIMIT_S + CLOCK_DIFFERENCE_S

# Claims expire in groups that span this much log time.
_EXPIRY_PERIOD_S = 10.0
# Entry ids and service names. Each replaced entry adds an id; it takes about
# three days of replacements to reach this number.
_MAX_INTERNED_NAMES = 10_000

_UUID7 = re.compile(
    r'[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
    re.IGNORECASE,
)


@dataclasses.dataclass(frozen=True)
class Key:
    """An idempotency key within its lifetime.

    :param text: the key in lower case, without quotes.
    :param key_hash: the 16 bytes of this UUID, which stand for the key on the
        log.
    :param created_s: the timestamp in the key, Unix seconds.
    """

    text: str
    key_hash: bytes
    created_s: float


def parse_key(
    text: str, wall: float, lifetime_s: float
) -> result.Result[Key, errors.KeyFormatError]:
    """Parse an ``Idempotency-Key`` header, which must be a UUIDv7.

    Quotes around the value and upper case are accepted and do not change
    the key.

    :param wall: present time, Unix seconds.
    :param lifetime_s: age in seconds above which a key is refused.
    :return: the key, or :exc:`~errors.KeyFormatError` if it is malformed,
        too old or more than ``FUTURE_LIMIT_S`` in the future.
    """
    text = text.strip()
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if _UUID7.fullmatch(text) is None:
        return _key_failure('idempotency key is not a UUIDv7')
    text = text.lower()
    # The 16 bytes hold all 74 random bits, so they serve as the hash.
    key_hash = bytes.fromhex(text.replace('-', ''))
    created_s = int.from_bytes(key_hash[:6]) / 1000
    if wall - created_s > lifetime_s:
        return _key_failure('idempotency key is older than its lifetime')
    if created_s - wall > FUTURE_LIMIT_S:
        return _key_failure(
            'timestamp of the idempotency key is in the future'
        )
    return result.Success(Key(text, key_hash, created_s))


def _key_failure(message: str) -> result.Failure[errors.KeyFormatError]:
    return result.Failure(errors.KeyFormatError(message))


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The claim that holds a key.

    :param entry_id: ``name/incarnation`` of the entry that made the claim.
    :param offset: log offset of the record with the claim.
    """

    entry_id: str
    claim_id: int
    offset: int


@dataclasses.dataclass(slots=True)
class KeyClaims:
    """State of one key according to the log.

    There is one object for each key within its lifetime, so the fields of
    the holder are stored inline to save memory.

    :param fingerprint: of the request of the latest claim that won the key.
    :param entry_id: of the latest claim that won the key; ``claim_id`` and
        ``offset`` are of the same claim.
    :param held: whether that claim holds the key; false after its release.
    :param last_at_s: log time of the last record of the key, Unix seconds.
    :param decided: entry id and claim id of all claims that were read for
        the key, except the latest winner. Only the first occurrence of a
        claim counts: a repeated append that arrives after a release must
        not win for a call that was already answered.
    """

    fingerprint: bytes
    entry_id: str
    claim_id: int
    offset: int
    held: bool
    last_at_s: float
    decided: tuple[tuple[str, int], ...] = ()

    @property
    def holder(self) -> Holder | None:
        """The claim that holds the key, None after its release."""
        if not self.held:
            return None
        return Holder(self.entry_id, self.claim_id, self.offset)

    def is_winner(self, record: ClaimRecord | ReleaseRecord) -> bool:
        """Return whether ``record`` belongs to the latest winning claim."""
        return (
            self.claim_id == record.claim_id
            and self.entry_id == record.entry_id
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """The decision of the log on one claim.

    :param won: whether the entry that made the claim may send the call.
    :param holder: the claim that holds the key, this claim if ``won``.
    """

    record: ClaimRecord
    won: bool
    holder: Holder


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSeen:
    """A release that was read from the log."""

    record: ReleaseRecord


ClaimEvent: typing.TypeAlias = ClaimVerdict | ReleaseSeen


class ClaimTable:
    """State of all keys, computed from the log records in their order.

    Entries that have read the log up to the same offset have the same state.

    :param through: offset of the last record applied.
    :param floor_s: earliest timestamp (Unix seconds) of the keys that this
        table covers: claims of older keys may be missing from it.
    """

    def __init__(self, through: int = 0, floor_s: float = float('-inf')):
        self.through = through
        self.floor_s = floor_s
        self.invalid_total = 0
        self.keys: dict[tuple[str, bytes], KeyClaims] = {}
        self._log_time_s = float('-inf')
        # Start of each expiry period, and the keys of its records; a key is
        # listed at most once per record.
        self._periods: collections.deque[
            tuple[float, list[tuple[str, bytes]]]
        ] = collections.deque()
        # Decoding creates new strings for each batch; interning saves memory.
        self._interned_names: dict[str, str] = {}

    @classmethod
    def from_log(
        cls, first: int, wall: float, retention_s: float
    ) -> 'ClaimTable':
        """Return an empty table that starts at the log's first record.

        :param first: first offset that the log still has.
        :param wall: present time, Unix seconds.
        :param retention_s: seconds that the log keeps records.
        """
        if first <= 1:
            return cls()
        return cls(first - 1, wall - retention_s + _CLAIM_LEAD_S)

    def covers(self, key: Key) -> bool:
        """Return whether the table has every claim made for ``key``.

        A call whose key is not covered must be refused with outcome
        ``unknown``.
        """
        return key.created_s >= self.floor_s

    def find(self, service: str, key: Key) -> KeyClaims | None:
        """Return the state of a key, None if it was not claimed."""
        return self.keys.get((service, key.key_hash))

    def skip_missing(self, first: int, wall: float) -> None:
        """Continue at offset ``first`` after the log dropped unread records.

        Keys created up to now are no longer covered.

        :param wall: present time, Unix seconds.
        """
        if first > self.through + 1:
            self.through = first - 1
            self.floor_s = max(self.floor_s, wall + _CLAIM_LEAD_S)

    def expire(self, wall: float, lifetime_s: float) -> int:
        """Drop claims of keys that every entry refuses because of their age.

        :param wall: present time, Unix seconds.
        :param lifetime_s: the longest ``key_lifetime_s`` of all profiles.
            If a profile's lifetime is raised later, keys whose claims were
            dropped are not covered.
        :return: number of keys dropped.
        """
        # A claim may be logged ``_CLAIM_LEAD_S`` before its key's timestamp,
        # and this entry's clock may be ahead by ``CLOCK_DIFFERENCE_S``. The
        # keys of claims up to the cutoff have expired nevertheless.
        cutoff = wall - lifetime_s - _CLAIM_LEAD_S - CLOCK_DIFFERENCE_S
        dropped = 0
        if len(self._interned_names) > _MAX_INTERNED_NAMES:
            self._interned_names.clear()
        while (
            self._periods and self._periods[0][0] + _EXPIRY_PERIOD_S <= cutoff
        ):
            _, keys = self._periods.popleft()
            for key in keys:
                claims = self.keys.get(key)
                if claims is not None and claims.last_at_s <= cutoff:
                    del self.keys[key]
                    dropped += 1
                    self.floor_s = max(self.floor_s, cutoff + _CLAIM_LEAD_S)
        return dropped

    def apply(
        self,
        offset: int,
        at_s: float,
        records: list[ClaimRecord | ReleaseRecord],
    ) -> list[ClaimEvent]:
        """Apply the records of one batch; see :func:`apply_claim_record`."""
        self.through = offset
        # Expiry needs ascending times, but the log's clock may step back.
        self._log_time_s = max(self._log_time_s, at_s)
        events: list[ClaimEvent] = []
        for record in records:
            if isinstance(record, ClaimRecord):
                verdict = self._claim(offset, record)
                if verdict is not None:
                    events.append(verdict)
            else:
                self._release(record)
                events.append(ReleaseSeen(record))
        return events

    def _claim(self, offset: int, record: ClaimRecord) -> ClaimVerdict | None:
        entry_id = self._interned_names.setdefault(
            record.entry_id, record.entry_id
        )
        service = self._interned_names.setdefault(
            record.service, record.service
        )
        key = (service, record.key_hash)
        identity = (entry_id, record.claim_id)
        claims = self.keys.get(key)
        if claims is None:
            claims = KeyClaims(
                record.fingerprint,
                entry_id,
                record.claim_id,
                offset,
                True,
                float('-inf'),
            )
            self.keys[key] = claims
            won = True
        elif claims.is_winner(record) or identity in claims.decided:
            return None
        elif claims.held:
            claims.decided += (identity,)
            won = False
        else:
            claims.decided += ((claims.entry_id, claims.claim_id),)
            claims.fingerprint = record.fingerprint
            claims.entry_id, claims.claim_id = identity
            claims.offset = offset
            claims.held = won = True
        self._touch(key, claims)
        return ClaimVerdict(record, won, claims.holder)

    def _release(self, record: ReleaseRecord) -> None:
        key = (record.service, record.key_hash)
        claims = self.keys.get(key)
        if claims is not None and claims.held and claims.is_winner(record):
            claims.held = False
            self._touch(key, claims)

    def _touch(self, key: tuple[str, bytes], claims: KeyClaims) -> None:
        if claims.last_at_s == self._log_time_s:
            return
        claims.last_at_s = self._log_time_s
        if (
            not self._periods
            or self._log_time_s >= self._periods[-1][0] + _EXPIRY_PERIOD_S
        ):
            self._periods.append((self._log_time_s, []))
        self._periods[-1][1].append(key)


def apply_claim_record(
    table: ClaimTable, offset: int, at_ms: int, data: bytes
) -> list[ClaimEvent]:
    """Apply one record of log stream ``claims``, a batch, to ``table``.

    A record that was already read has no effect. A record that cannot be
    decoded is skipped and counted in ``table.invalid_total``.

    :param at_ms: log time of the record, Unix ms.
    :return: a verdict for each claim that this record decides and an event
        for each release, in log order, for :meth:`ClaimBatcher.observe`.
    :raises errors.RecordError: if records before ``offset`` are missing;
        see :meth:`ClaimTable.skip_missing`.
    """
    if offset <= table.through:
        return []
    if offset != table.through + 1:
        raise errors.RecordError(
            f'records {table.through + 1} to {offset - 1} are missing'
        )
    decoded = claim_batches.decode_batch(data)
    if isinstance(decoded, result.Failure):
        table.invalid_total += 1
        return table.apply(offset, at_ms / 1000, [])
    return table.apply(offset, at_ms / 1000, decoded.unwrap())
