"""Appends the claims of one entry to the log and tracks their verdicts.

A claim is appended at once while the append budget allows, otherwise claims
are grouped into batches. If the response to an append is lost, reading the
log shows whether it took effect.
"""

import collections
import dataclasses
import enum
import itertools

from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batches
from dragonflyslip_core import claims
from dragonflyslip_core import errors
from dragonflyslip_core import outcomes


class ClaimState(enum.StrEnum):
    """State of a keyed call, one that has an idempotency key.

    ``UNRESOLVED``: the response to an append was lost; the log decides.
    ``HELD``: the claim won; the call may be sent.
    ``LOST``: another claim holds the key, or the claim table no longer
    covers the key.
    ``ABANDONED``: refused before the log decided. It will never be sent.
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
        know the verdict; None until an append was acknowledged.
    :param holder: the claim that won, None until it is decided.
    """

    record: claim_batches.ClaimRecord
    key: claims.Key
    first_attempt: bool
    state: ClaimState = ClaimState.WAITING
    appended_through: int | None = None
    holder: claims.Holder | None = None

    def begin_send(self) -> bool:
        """Return whether the call may be sent, and mark it as sent.

        True at most once, and only in state ``HELD``. Call it in the same
        event loop step as the write of the request.
        """
        if self.state is not ClaimState.HELD:
            return False
        self.state = ClaimState.SENT
        return True


@dataclasses.dataclass(frozen=True)
class Batch:
    """One append to the stream ``claims``.

    :param batch_id: identifies the append in
        :meth:`ClaimBatcher.batch_appended` and
        :meth:`ClaimBatcher.batch_lost`.
    :param data: the encoded ``records``.
    """

    batch_id: int
    data: bytes
    records: tuple[
        claim_batches.ClaimRecord | claim_batches.ReleaseRecord, ...
    ]


class ClaimBatcher:
    """Appends the claims of this entry within a budget.

    :param entry_id: ``name/incarnation`` of this entry.
    :param bucket: this entry's share of the fleet's appends a second.
    :param max_appends: appends that may be in flight at once. At this limit
        claims are grouped, so that a slow log does not get more load.
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
        self.releases: dict[int, claim_batches.ReleaseRecord] = {}
        self.appends: dict[int, Batch] = {}
        self._waiting: collections.deque[
            claim_batches.ClaimRecord | claim_batches.ReleaseRecord
        ] = collections.deque()
        self._claim_ids = itertools.count(1)
        self._batch_ids = itertools.count(1)

    def submit(
        self,
        service: str,
        key: claims.Key,
        fingerprint: bytes,
        first_attempt: bool,
    ) -> CallClaim | None:
        """Queue a claim for a call.

        The caller must have checked that no claim holds the key and that
        :meth:`ClaimTable.covers` is true for it.

        :param fingerprint: 8 bytes of the request's fingerprint.
        :return: the claim, None if ``max_waiting`` records already wait.
        """
        if len(self._waiting) >= self.max_waiting:
            return None
        claim_id = next(self._claim_ids)
        record = claim_batches.ClaimRecord(
            service, key.key_hash, fingerprint, self.entry_id, claim_id
        )
        call = CallClaim(record, key, first_attempt)
        self.calls[claim_id] = call
        self._waiting.append(record)
        return call

    def delay(self, now: float) -> float:
        """Return the seconds until :meth:`next_batch` may return a batch.

        Infinite while nothing waits or ``max_appends`` are in flight.
        """
        self._drop_decided()
        if not self._waiting or len(self.appends) >= self.max_appends:
            return float('inf')
        return self.bucket.delay(1.0, now)

    def next_batch(self, now: float) -> Batch | None:
        """Return a batch to append now.

        :param now: monotonic seconds.
        :return: None if nothing waits, the budget is used up or
            ``max_appends`` are in flight.
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
            call = self._find_call(record)
            if call is not None and call.state is ClaimState.WAITING:
                call.state = ClaimState.APPENDING
        return batch

    def batch_appended(self, batch_id: int, offset: int) -> None:
        """Record that a batch was appended at ``offset``."""
        for record in self.appends.pop(batch_id).records:
            call = self._find_call(record)
            if call is not None and call.state in _UNDECIDED:
                call.state = ClaimState.APPENDED
                call.appended_through = offset

    def batch_lost(self, batch_id: int) -> None:
        """Record that an append failed or its response was lost.

        The append may still take effect. Claims that the log has not
        decided when the next batch is made are appended again under the
        same ids.
        """
        for record in reversed(self.appends.pop(batch_id).records):
            call = self._find_call(record)
            if call is not None:
                if call.state not in _UNDECIDED:
                    continue
                call.state = ClaimState.UNRESOLVED
            self._waiting.appendleft(record)

    def observe(
        self, table: claims.ClaimTable, events: list[claims.ClaimEvent]
    ) -> None:
        """Apply events from :func:`apply_claim_record` to own calls.

        If an abandoned call turns out to hold its key, its claim is
        released so that a repeated call can run.
        """
        for event in events:
            if event.record.entry_id != self.entry_id:
                continue
            if isinstance(event, claims.ReleaseSeen):
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
        """Release the claim of a call whose request was not run.

        Only for a call in state ``HELD``, or in state ``SENT`` if the target
        reported that it did not run the request or nothing of it was
        written. Return the outcome to the caller in the same event loop
        step, since another claim may win once the release is on the log.

        :return: ``NOT_RUN``.
        :raises errors.RecordError: if the call never held its claim.
        """
        if call.state not in (ClaimState.HELD, ClaimState.SENT):
            raise errors.RecordError(
                f'cannot release a call in state {call.state}'
            )
        call.state = ClaimState.RELEASED
        self._queue_release(call)
        return outcomes.Outcome.NOT_RUN

    def refuse(self, call: CallClaim) -> outcomes.Outcome:
        """Give up a call in any state; return the outcome for its caller.

        A call that was already sent is not stopped; its outcome is unknown.
        """
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

    def forget(self, table: claims.ClaimTable) -> None:
        """Drop undecided claims and releases of keys that have expired."""
        for claim_id, call in list(self.calls.items()):
            if not table.covers(call.key):
                call.state = ClaimState.ABANDONED
                del self.calls[claim_id]
        for claim_id, release in list(self.releases.items()):
            if (release.service, release.key_hash) not in table.keys:
                del self.releases[claim_id]

    def _queue_release(self, call: CallClaim) -> None:
        record = claim_batches.ReleaseRecord(
            call.record.service,
            call.record.key_hash,
            self.entry_id,
            call.record.claim_id,
        )
        self.releases[record.claim_id] = record
        self._waiting.append(record)

    def _find_call(
        self, record: claim_batches.ClaimRecord | claim_batches.ReleaseRecord
    ) -> CallClaim | None:
        if isinstance(record, claim_batches.ReleaseRecord):
            return None
        return self.calls.get(record.claim_id)

    def _is_pending(
        self, record: claim_batches.ClaimRecord | claim_batches.ReleaseRecord
    ) -> bool:
        if isinstance(record, claim_batches.ReleaseRecord):
            return record.claim_id in self.releases
        call = self.calls.get(record.claim_id)
        return call is not None and call.state in _UNDECIDED

    def _drop_decided(self) -> None:
        while self._waiting and not self._is_pending(self._waiting[0]):
            self._waiting.popleft()

    def _take_records(
        self,
    ) -> list[claim_batches.ClaimRecord | claim_batches.ReleaseRecord]:
        records: list[
            claim_batches.ClaimRecord | claim_batches.ReleaseRecord
        ] = []
        services: set[str] = set()
        size = claim_batches.header_size(self.entry_id, [])
        while self._waiting:
            record = self._waiting[0]
            if not self._is_pending(record):
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
