"""Claims that let a keyed call run at most once.

An entry appends a claim, reads the log through it, and sends the call only
if its claim is the first for the key. A claim has no lease: only the
process that made it may send, once, so a pause cannot cause a second run.
"""

import collections
import dataclasses
import enum
import itertools
import re
import typing

from returns import result

from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batches
from dragonflyslip_core import errors
from dragonflyslip_core import outcomes

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


class ClaimState(enum.StrEnum):
    """Where one keyed call is between its claim and its send.

    ``UNRESOLVED``: the response to an append was lost; the log decides.
    ``ABANDONED``: refused before the log decided. It will never send.
    """

    WAITING = 'waiting'
    APPENDING = 'appending'
    APPENDED = 'appended'
    UNRESOLVED = 'unresolved'
    HELD = 'held'
    SENT = 'sent'
    RELEASED = 'released'
    LOST = 'lost'
    ABANDONED = 'abandoned'


_UNDECIDED = frozenset(
    {
        ClaimState.WAITING,
        ClaimState.APPENDING,
        ClaimState.APPENDED,
        ClaimState.UNRESOLVED,
    }
)


@dataclasses.dataclass(eq=False)
class CallClaim:
    """The claim of one call at this entry.

    :param first_attempt: the caller marked the call as its first attempt.
    :param appended_through: offset through which the log must be read to
        know the verdict, once an append was answered.
    :param holder: the claim that won, once decided.
    """

    record: ClaimRecord
    key: Key
    first_attempt: bool
    state: ClaimState = ClaimState.WAITING
    appended_through: int | None = None
    holder: Holder | None = None

    def begin_send(self) -> bool:
        """Take the right to send; true once and only while held.

        Call it in the same step as the write of the request.
        """
        if self.state is not ClaimState.HELD:
            return False
        self.state = ClaimState.SENT
        return True


@dataclasses.dataclass(frozen=True)
class Batch:
    """One append to the stream ``claims``.

    :param batch_id: for the report of how the append ended.
    """

    batch_id: int
    data: bytes
    records: tuple[ClaimRecord | ReleaseRecord, ...]


class ClaimBatcher:
    """Claims of this entry: appends within a budget, and their verdicts.

    :param entry_id: ``name/incarnation`` of this entry.
    :param bucket: this entry's share of the fleet's appends a second.
    :param max_appends: appends that may be unanswered at once. While that
        many are, claims are grouped, so a slow log is not sent more.
    :param max_waiting: records that may wait for an append.
    """

    def __init__(
        self,
        entry_id: str,
        bucket: budgets.TokenBucket,
        max_appends: int = 8,
        max_waiting: int = 10_000,
    ):
        self.entry_id = entry_id
        self.bucket = bucket
        self.max_appends = max_appends
        self.max_waiting = max_waiting
        self.calls: dict[int, CallClaim] = {}
        self.releases: dict[int, ReleaseRecord] = {}
        self.appends: dict[int, Batch] = {}
        self._waiting: collections.deque[ClaimRecord | ReleaseRecord] = (
            collections.deque()
        )
        self._claim_ids = itertools.count(1)
        self._batch_ids = itertools.count(1)

    def submit(
        self, service: str, key: Key, fingerprint: bytes, first_attempt: bool
    ) -> CallClaim | None:
        """Queue a claim for a call.

        The caller has checked with the table that the key is covered and
        not held.

        :param fingerprint: 8 bytes of the request's fingerprint.
        :return: the claim, None if too many records wait already.
        """
        if len(self._waiting) >= self.max_waiting:
            return None
        claim_id = next(self._claim_ids)
        record = ClaimRecord(
            service, key.key_hash, fingerprint, self.entry_id, claim_id
        )
        call = CallClaim(record, key, first_attempt)
        self.calls[claim_id] = call
        self._waiting.append(record)
        return call

    def delay(self, now: float) -> float:
        """Return the seconds until :meth:`next_batch` may give a batch.

        Infinite while nothing waits or too many appends are unanswered.
        """
        self._drop_decided()
        if not self._waiting or len(self.appends) >= self.max_appends:
            return float('inf')
        return self.bucket.delay(1.0, now)

    def next_batch(self, now: float) -> Batch | None:
        """Return a batch to append now, None if the budget has no room.

        :param now: monotonic seconds.
        """
        self._drop_decided()
        if not self._waiting or len(self.appends) >= self.max_appends:
            return None
        if not self.bucket.take(1.0, now):
            return None
        records = self._take_records()
        batch = Batch(
            next(self._batch_ids),
            claim_batches.encode_batch(self.entry_id, records),
            tuple(records),
        )
        self.appends[batch.batch_id] = batch
        for record in records:
            call = self._call_of(record)
            if call is not None and call.state is ClaimState.WAITING:
                call.state = ClaimState.APPENDING
        return batch

    def batch_appended(self, batch_id: int, offset: int) -> None:
        """Note that an append was answered with ``offset``."""
        for record in self.appends.pop(batch_id).records:
            call = self._call_of(record)
            if call is not None and call.state in _UNDECIDED:
                call.state = ClaimState.APPENDED
                call.appended_through = offset

    def batch_lost(self, batch_id: int) -> None:
        """Note that an append failed or its response was lost.

        It may still take effect. What the log has not decided when the
        next batch is made is appended again under the same ids.
        """
        for record in reversed(self.appends.pop(batch_id).records):
            call = self._call_of(record)
            if call is not None:
                if call.state not in _UNDECIDED:
                    continue
                call.state = ClaimState.UNRESOLVED
            self._waiting.appendleft(record)

    def observe(self, table: ClaimTable, events: list[ClaimEvent]) -> None:
        """Take the verdicts of :func:`apply_claim_record` over.

        An abandoned call that turns out to hold its key is released, so
        that a repeat can run.
        """
        for event in events:
            if event.record.entry_id != self.entry_id:
                continue
            if isinstance(event, ReleaseSeen):
                self.releases.pop(event.record.claim_id, None)
                continue
            call = self.calls.pop(event.record.claim_id, None)
            if call is None:
                continue
            call.holder = event.holder
            covered = table.covers(call.key)
            if call.state is ClaimState.ABANDONED:
                if event.won:
                    self._queue_release(call)
            elif event.won and covered:
                call.state = ClaimState.HELD
            else:
                call.state = ClaimState.LOST

    def release(self, call: CallClaim) -> outcomes.Outcome:
        """Give up a call whose request was not written or not run.

        Only for a call that is held, or was sent and the target said that
        it did not run it, or nothing of it was written. The caller is to be
        told the outcome in the same step, since the next claim may win
        once the release is on the log.

        :raises errors.RecordError: if the call never held its claim.
        """
        if call.state not in (ClaimState.HELD, ClaimState.SENT):
            raise errors.RecordError(f'cannot release a {call.state} call')
        call.state = ClaimState.RELEASED
        self._queue_release(call)
        return outcomes.Outcome.NOT_RUN

    def refuse(self, call: CallClaim) -> outcomes.Outcome:
        """Give up a call in any state and return what its caller is told."""
        if call.state is ClaimState.HELD:
            return self.release(call)
        if call.state in _UNDECIDED:
            if call.state is ClaimState.WAITING:
                self.calls.pop(call.record.claim_id, None)
            call.state = ClaimState.ABANDONED
            return outcomes.keyed_outcome(call.first_attempt)
        if call.state is ClaimState.RELEASED:
            return outcomes.Outcome.NOT_RUN
        return outcomes.Outcome.UNKNOWN

    def forget(self, table: ClaimTable) -> None:
        """Drop undecided claims and releases of keys out of lifetime."""
        for claim_id, call in list(self.calls.items()):
            if not table.covers(call.key):
                call.state = ClaimState.ABANDONED
                del self.calls[claim_id]
        for claim_id, release in list(self.releases.items()):
            if (release.service, release.key_hash) not in table.keys:
                del self.releases[claim_id]

    def _queue_release(self, call: CallClaim) -> None:
        record = ReleaseRecord(
            call.record.service,
            call.record.key_hash,
            self.entry_id,
            call.record.claim_id,
        )
        self.releases[record.claim_id] = record
        self._waiting.append(record)

    def _call_of(
        self, record: ClaimRecord | ReleaseRecord
    ) -> CallClaim | None:
        if isinstance(record, ReleaseRecord):
            return None
        return self.calls.get(record.claim_id)

    def _is_open(self, record: ClaimRecord | ReleaseRecord) -> bool:
        if isinstance(record, ReleaseRecord):
            return record.claim_id in self.releases
        call = self.calls.get(record.claim_id)
        return call is not None and call.state in _UNDECIDED

    def _drop_decided(self) -> None:
        while self._waiting and not self._is_open(self._waiting[0]):
            self._waiting.popleft()

    def _take_records(self) -> list[ClaimRecord | ReleaseRecord]:
        records: list[ClaimRecord | ReleaseRecord] = []
        services: set[str] = set()
        size = claim_batches.header_size(self.entry_id, [])
        while self._waiting:
            record = self._waiting[0]
            if not self._is_open(record):
                self._waiting.popleft()
                continue
            added = claim_batches.encoded_size(record)
            if record.service not in services:
                added += 1 + len(record.service.encode())
            if size + added > claim_batches.MAX_BATCH_BYTES or (
                len(services | {record.service})
                > claim_batches.MAX_BATCH_SERVICES
            ):
                break
            size += added
            services.add(record.service)
            records.append(self._waiting.popleft())
        return records
