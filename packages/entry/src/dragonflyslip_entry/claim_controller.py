"""Reads and appends claims of calls that carry an idempotency key."""

import asyncio
import collections.abc

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claims
import dragonflyslip_platform as platform

STREAM = 'claims'
# Longest time that a read waits for a record, and the appender for a claim.
# Together with _READ_INTERVAL_S it limits the load on the log, which also
# serves the fleet's other entries: an idle stream is read once a second, a
# busy one every _READ_INTERVAL_S, or at once after this entry has appended to
# it.
MAX_WAIT_S = 1.0
_READ_INTERVAL_S = 0.05
_RETRY_S = 0.25
_EXPIRE_INTERVAL_S = 10.0
# No new claim is accepted for this long after a failed append.
_APPEND_RETRY_S = 1.0
# New keyed calls are refused at once if the last read that reached the end of
# the log is older than this.
_MAX_READ_AGE_S = 3.0


class ClaimController:
    """Keeps the claim table up to date and appends this entry's claims.

    :param log: the platform's log service.
    :param retention_s: seconds for which the log keeps records.
    :param clock: returns Unix seconds.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        log: platform.LogService,
        retention_s: float,
        clock: collections.abc.Callable[[], float],
    ):
        self.board = board
        self.log = log
        self.retention_s = retention_s
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.table: claims.ClaimTable | None = None
        self.batcher = claim_batcher.ClaimBatcher(
            str(board.membership.own), budgets.TokenBucket(0.0, 4.0)
        )
        self.caught_up = asyncio.Event()
        self.read_at = float('-inf')
        self.append_failed_at = float('-inf')
        self._batcher_changed = asyncio.Event()
        self._read_requested = asyncio.Event()
        self._pending_claims: dict[int, asyncio.Future[None]] = {}
        self._append_tasks: set[asyncio.Task[None]] = set()

    def set_rate(self, rate: float) -> None:
        """Set how many appends a second this entry may make."""
        self.batcher.bucket.set_rate(rate, self.loop.time())
        self._batcher_changed.set()

    def available(self, now: float) -> bool:
        """Return whether the log works well enough to decide new claims."""
        return (
            self.table is not None
            and self.caught_up.is_set()
            and now - self.read_at < _MAX_READ_AGE_S
            and now - self.append_failed_at >= _APPEND_RETRY_S
        )

    async def claim(
        self,
        service: str,
        key: claims.Key,
        fingerprint: bytes,
        first_attempt: bool,
    ) -> claim_batcher.CallClaim | None:
        """Append a claim and wait until it is held or lost.

        The calling code sets the time limit: if it cancels this coroutine,
        the claim is refused even if it turns out to be held.

        :return: the claim, held or lost; None if too many claims wait.
        """
        call = self.batcher.submit(service, key, fingerprint, first_attempt)
        if call is None:
            return None
        future = self.loop.create_future()
        self._pending_claims[call.record.claim_id] = future
        self._batcher_changed.set()
        try:
            await future
        except asyncio.CancelledError:
            # Nobody waits for the claim any more, so one that turns out
            # to be held must not run the call.
            self.batcher.refuse(call)
            self._batcher_changed.set()
            raise
        finally:
            self._pending_claims.pop(call.record.claim_id, None)
        return call

    def release(self, call: claim_batcher.CallClaim) -> None:
        """Release a held claim whose call was not run."""
        self.batcher.release(call)
        self._batcher_changed.set()

    async def run_reader(self) -> None:
        """Read the stream until cancelled."""
        expired_at = self.loop.time()
        while True:
            if not await self.read_once():
                await asyncio.sleep(_RETRY_S)
            elif not self._read_requested.is_set():
                await asyncio.sleep(_READ_INTERVAL_S)
            # During the first read of the log, which holds claims of the whole
            # retention time, expire after each page: most of the keys are so
            # old that every entry refuses them.
            starting = not self.caught_up.is_set()
            now = self.loop.time()
            if starting or now - expired_at > _EXPIRE_INTERVAL_S:
                expired_at = now
                self._expire()

    async def read_once(self) -> bool:
        """Read one page and apply its records.

        :return: whether the read succeeded.
        """
        self._read_requested.clear()
        started_at = self.loop.time()
        through = 0 if self.table is None else self.table.through
        wait_s = MAX_WAIT_S if self.caught_up.is_set() else 0.0
        match await self.log.read(
            STREAM, through + 1, platform.READ_LIMIT, wait_s
        ):
            case result.Success(page):
                self._apply_page(page)
                if page.at_end:
                    self.read_at = started_at
                    self.caught_up.set()
                return True
            case result.Failure(platform.OffsetExpiredError() as error):
                self._skip_missing_records(error.first)
                return True
            case _:
                self.board.count('claim_read_errors')
                return False

    async def run_appender(self) -> None:
        """Append batches of claims until cancelled."""
        while True:
            self._batcher_changed.clear()
            now = self.loop.time()
            batch = self.batcher.next_batch(now)
            if batch is not None:
                task = self.loop.create_task(self._append(batch))
                self._append_tasks.add(task)
                task.add_done_callback(self._append_tasks.discard)
                continue
            delay = self.batcher.delay(now)
            try:
                async with asyncio.timeout(min(delay, MAX_WAIT_S)):
                    await self._batcher_changed.wait()
            except TimeoutError:
                pass

    async def _append(self, batch: claim_batcher.Batch) -> None:
        self.board.count('claim_appends')
        self.board.count('claims', len(batch.records))
        match await self.log.append(STREAM, batch.data):
            case result.Success(offset):
                self.batcher.batch_appended(batch.batch_id, offset)
                self._read_requested.set()
            case _:
                self.board.count('claim_append_errors')
                self.append_failed_at = self.loop.time()
                # Wait before the claims can be sent again, so as not to add
                # load to a log that is down.
                await asyncio.sleep(_RETRY_S)
                self.batcher.batch_lost(batch.batch_id)
        self._batcher_changed.set()

    def _apply_page(self, page: platform.LogPage) -> None:
        if self.table is None:
            self.table = claims.ClaimTable.from_log(
                page.first, self.clock(), self.retention_s
            )
            self.board.claims = self.table
        for record in page.records:
            events = claims.apply_claim_record(
                self.table, record.offset, record.at_ms, record.data
            )
            self.batcher.observe(self.table, events)
            self._resolve_pending_claims(events)

    def _resolve_pending_claims(self, events: list[claims.ClaimEvent]) -> None:
        for event in events:
            if event.record.entry_id != self.batcher.entry_id:
                continue
            future = self._pending_claims.get(event.record.claim_id)
            if future is not None and not future.done():
                future.set_result(None)

    def _skip_missing_records(self, first: int) -> None:
        unix_now = self.clock()
        if self.table is None:
            self.table = claims.ClaimTable.from_log(
                first, unix_now, self.retention_s
            )
            self.board.claims = self.table
        else:
            self.table.skip_missing(first, unix_now)
            self.board.count('claim_records_missed')

    def _expire(self) -> None:
        config = self.board.config
        if self.table is None or config is None:
            return
        lifetimes = [
            config.profile_of(service.name).key_lifetime_s
            for service in config.services()
        ]
        if lifetimes:
            self.table.expire(self.clock(), max(lifetimes))
        self.batcher.forget(self.table)
