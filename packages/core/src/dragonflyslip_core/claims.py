"""Claims that let a keyed call run at most once.

An entry appends a claim, reads the log through it, and sends the call only
if its claim is the first for the key. A claim has no lease: only the
process that made it may send, once, so a pause cannot cause a second run.
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
CLOCK_DIFFERENCE_S = 60.0
# A claim may be on the log this long before its key's timestamp: the key
# may be in the future, by the clock of an entry that is ahead of the log's.
_CLAIM_LEAD_S = FUTURE_LIMIT_S + CLOCK_DIFFERENCE_S

# Claims are forgotten together for this many seconds of the log.
_PERIOD_S = 10.0
# Some three days of replaced entries.
_MAX_NAMES = 10_000

_UUID7 = re.compile(
    r'[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
    re.IGNORECASE,
)


@dataclasses.dataclass(frozen=True)
class Key:
    """An idempotency key within its lifetime.

    :param key_hash: 16 bytes that stand for the key on the log.
    :param created_s: the key's own timestamp, Unix seconds.
    """

    text: str
    key_hash: bytes
    created_s: float


def parse_key(
    text: str, wall: float, lifetime_s: float
) -> result.Result[Key, errors.KeyFormatError]:
    """Parse an ``Idempotency-Key`` header that must be a UUIDv7.

    Quotes around the value and upper case are accepted; both spellings are
    the same key.

    :param wall: present time, Unix seconds.
    :param lifetime_s: age in seconds from which a key is refused.
    :return: the key, or :exc:`~errors.KeyFormatError` if it is malformed,
        too old or more than ``FUTURE_LIMIT_S`` in the future.
    """
    text = text.strip()
    if len(text) > 1 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if _UUID7.fullmatch(text) is None:
        return _key_failure('idempotency key is not a UUIDv7')
    text = text.lower()
    # All 74 random bits are kept, so the bytes themselves serve as hash.
    key_hash = bytes.fromhex(text.replace('-', ''))
    created_s = int.from_bytes(key_hash[:6]) / 1000
    if wall - created_s > lifetime_s:
        return _key_failure('idempotency key is older than its lifetime')
    if created_s - wall > FUTURE_LIMIT_S:
        return _key_failure('idempotency key is in the future')
    return result.Success(Key(text, key_hash, created_s))


def _key_failure(message: str) -> result.Failure[errors.KeyFormatError]:
    return result.Failure(errors.KeyFormatError(message))


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The claim that holds a key.

    :param offset: of the log record that holds the claim.
    """

    entry_id: str
    claim_id: int
    offset: int


@dataclasses.dataclass(slots=True)
class KeyClaims:
    """What the log says of one key.

    There is one for each key within its lifetime, so its fields are flat.

    :param fingerprint: of the request that claimed the key last.
    :param entry_id: of the claim that claimed the key last, as ``claim_id``
        and the ``offset`` of its record.
    :param held: whether that claim holds the key; false after its release.
    :param last_at_s: log time of the last record of the key, Unix seconds.
    :param decided: claims read for the key besides the last that held it.
        Only the first occurrence of a claim counts: a repeated append that
        arrives after a release must not win for a call that was answered.
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
        """The claim that may send, None after its release."""
        if not self.held:
            return None
        return Holder(self.entry_id, self.claim_id, self.offset)

    def is_last(self, record: ClaimRecord | ReleaseRecord) -> bool:
        """Return whether ``record`` is of the last claim that held."""
        return (
            self.claim_id == record.claim_id
            and self.entry_id == record.entry_id
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """What the log decided for one claim.

    :param won: whether the claim's entry may send the call.
    :param holder: the claim that holds the key, itself if ``won``.
    """

    record: ClaimRecord
    won: bool
    holder: Holder


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSeen:
    """A release was read from the log."""

    record: ReleaseRecord


ClaimEvent: typing.TypeAlias = ClaimVerdict | ReleaseSeen


class ClaimTable:
    """Claims folded in log order; equal for all that read as far.

    :param through: offset of the last record folded.
    :param floor_s: keys with an older timestamp (Unix seconds) may have
        claims that this table does not hold; they are not covered.
    """

    def __init__(self, through: int = 0, floor_s: float = float('-inf')):
        self.through = through
        self.floor_s = floor_s
        self.invalid_total = 0
        self.keys: dict[tuple[str, bytes], KeyClaims] = {}
        self._log_time_s = float('-inf')
        # Keys by the period of a record; one list slot a record.
        self._periods: collections.deque[
            tuple[float, list[tuple[str, bytes]]]
        ] = collections.deque()
        # Decoding makes a new text for each batch; all keys share one.
        self._names: dict[str, str] = {}

    @classmethod
    def from_log(
        cls, first: int, wall: float, retention_s: float
    ) -> 'ClaimTable':
        """Return an empty table that starts at the log's first record.

        :param first: first offset that the log still holds.
        :param retention_s: seconds that the log keeps records.
        """
        if first <= 1:
            return cls()
        return cls(first - 1, wall - retention_s + _CLAIM_LEAD_S)

    def covers(self, key: Key) -> bool:
        """Return whether the table holds every claim made for ``key``.

        A key that is not covered must be refused with outcome ``unknown``.
        """
        return key.created_s >= self.floor_s

    def find(self, service: str, key: Key) -> KeyClaims | None:
        """Return what the log says of a key, None if it was not claimed."""
        return self.keys.get((service, key.key_hash))

    def skip_missing(self, first: int, wall: float) -> None:
        """Continue at ``first`` after the log dropped unread records.

        No key made until now is covered any more.
        """
        if first > self.through + 1:
            self.through = first - 1
            self.floor_s = max(self.floor_s, wall + _CLAIM_LEAD_S)

    def expire(self, wall: float, lifetime_s: float) -> int:
        """Forget claims of keys that every entry refuses by their age.

        :param lifetime_s: the longest ``key_lifetime_s`` of all profiles.
            If a profile's lifetime grows later, ``covers`` refuses the
            keys whose claims are gone.
        :return: number of keys forgotten.
        """
        cutoff = wall - lifetime_s - _CLAIM_LEAD_S - CLOCK_DIFFERENCE_S
        forgotten = 0
        if len(self._names) > _MAX_NAMES:
            self._names.clear()
        while self._periods and self._periods[0][0] + _PERIOD_S <= cutoff:
            _, keys = self._periods.popleft()
            for key in keys:
                claims = self.keys.get(key)
                if claims is not None and claims.last_at_s <= cutoff:
                    del self.keys[key]
                    forgotten += 1
                    self.floor_s = max(self.floor_s, cutoff + _CLAIM_LEAD_S)
        return forgotten

    def fold(
        self,
        offset: int,
        at_s: float,
        records: list[ClaimRecord | ReleaseRecord],
    ) -> list[ClaimEvent]:
        """Apply the records of one batch; see :func:`apply_claim_record`."""
        self.through = offset
        # Expiry needs times in log order; the log's clock may step back.
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
        entry_id = self._names.setdefault(record.entry_id, record.entry_id)
        service = self._names.setdefault(record.service, record.service)
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
        elif claims.is_last(record) or identity in claims.decided:
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
        if claims is not None and claims.held and claims.is_last(record):
            claims.held = False
            self._touch(key, claims)

    def _touch(self, key: tuple[str, bytes], claims: KeyClaims) -> None:
        if claims.last_at_s == self._log_time_s:
            return
        claims.last_at_s = self._log_time_s
        if (
            not self._periods
            or self._log_time_s >= self._periods[-1][0] + _PERIOD_S
        ):
            self._periods.append((self._log_time_s, []))
        self._periods[-1][1].append(key)


def apply_claim_record(
    table: ClaimTable, offset: int, at_ms: int, data: bytes
) -> list[ClaimEvent]:
    """Fold one record of ``claims`` into ``table``.

    A record that was read before or does not decode has no effect; the
    latter is counted in ``table.invalid_total``.

    :param at_ms: the log's time of the record, Unix ms.
    :return: a verdict for each claim that the log decides here and each
        release read, in log order, for :meth:`ClaimBatcher.observe`.
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
        return table.fold(offset, at_ms / 1000, [])
    return table.fold(offset, at_ms / 1000, decoded.unwrap())
