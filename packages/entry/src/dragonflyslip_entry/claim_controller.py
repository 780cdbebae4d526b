"""Reads and appends claims of keyed calls."""

import asyncio
import collections.abc

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claims
import dragonflyslip_platform as platform

STREAM = 'claims'
# Reads are for the fleet's other entries as well: an idle stream costs one
# read a second, and a busy one no more than this.
POLL_S = 1.0
_READ_INTERVAL_S = 0.05
_RETRY_S = 0.25
_EXPIRE_INTERVAL_S = 10.0
# After a failed append, new claims wait this long before one is tried.
_APPEND_RETRY_S = 1.0
# Without a read for this long, new keyed calls are refused at once.
_READ_VALID_S = 3.0


class ClaimController:
    """Keeps the claim table up to date and appends this entry's claims.

    :param log: the platform's log service.
    :param retention_s: seconds that the log keeps records.
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
        self._submitted = asyncio.Event()
        self._read_wanted = asyncio.Event()
        self._decided: dict[int, asyncio.Future[None]] = {}
        self._appending: set[asyncio.Task[None]] = set()

    def set_rate(self, rate: float) -> None:
        """Set this entry's part of the fleet's appends a second."""
        self.batcher.bucket.set_rate(rate, self.loop.time())
        self._submitted.set()

    def available(self, now: float) -> bool:
        """Return whether a new claim can be expected to be decided."""
        return (
            self.table is not None
            and self.caught_up.is_set()
            and now - self.read_at < _READ_VALID_S
            and now - self.append_failed_at >= _APPEND_RETRY_S
        )

    async def claim(
        self,
        service: str,
        key: claims.Key,
        fingerprint: bytes,
        first_attempt: bool,
    ) -> claim_batcher.CallClaim | None:
        """Append a claim and wait for its verdict.

        The caller sets the time limit; a claim that is given up is passed
        to :meth:`refuse`.

        :return: the claim, held or lost; None if too many claims wait.
        """
        call = self.batcher.submit(service, key, fingerprint, first_attempt)
        if call is None:
            return None
        future = self.loop.create_future()
        self._decided[call.record.claim_id] = future
        self._submitted.set()
        try:
            await future
        except asyncio.CancelledError:
            # Whoever waits has gone; what the log says is not acted upon.
            self.batcher.refuse(call)
            self._submitted.set()
            raise
        finally:
            self._decided.pop(call.record.claim_id, None)
        return call

    def release(self, call: claim_batcher.CallClaim) -> None:
        """Give up a held claim whose call was not run."""
        self.batcher.release(call)
        self._submitted.set()

    async def run_reader(self) -> None:
        """Read for ever."""
        expired_at = self.loop.time()
        while True:
            if not await self.read_once():
                await asyncio.sleep(_RETRY_S)
            elif not self._read_wanted.is_set():
                await asyncio.sleep(_READ_INTERVAL_S)
            # At the start the log holds a whole retention of claims, most of
            # them of keys that every entry refuses by their age.
            starting = not self.caught_up.is_set()
            now = self.loop.time()
            if starting or now - expired_at > _EXPIRE_INTERVAL_S:
                expired_at = now
                self._expire()

    async def read_once(self) -> bool:
        """Read one page and fold it.

        :return: whether the read succeeded.
        """
        self._read_wanted.clear()
        started_at = self.loop.time()
        through = 0 if self.table is None else self.table.through
        wait_s = POLL_S if self.caught_up.is_set() else 0.0
        match await self.log.read(
            STREAM, through + 1, platform.READ_LIMIT, wait_s
        ):
            case result.Success(page):
                self._fold(page)
                if page.at_end:
                    self.read_at = started_at
                    self.caught_up.set()
                return True
            case result.Failure(platform.OffsetExpiredError() as error):
                self._skip_to(error.first)
                return True
            case _:
                self.board.count('claim_read_errors')
                return False

    async def run_appender(self) -> None:
        """Append for ever."""
        while True:
            self._submitted.clear()
            now = self.loop.time()
            batch = self.batcher.next_batch(now)
            if batch is not None:
                task = self.loop.create_task(self._append(batch))
                self._appending.add(task)
                task.add_done_callback(self._appending.discard)
                continue
            delay = self.batcher.delay(now)
            try:
                async with asyncio.timeout(min(delay, POLL_S)):
                    await self._submitted.wait()
            except TimeoutError:
                pass

    async def _append(self, batch: claim_batcher.Batch) -> None:
        self.board.count('claim_appends')
        self.board.count('claims', len(batch.records))
        match await self.log.append(STREAM, batch.data):
            case result.Success(offset):
                self.batcher.batch_appended(batch.batch_id, offset)
                self._read_wanted.set()
            case _:
                self.board.count('claim_append_errors')
                self.append_failed_at = self.loop.time()
                # Not at once: a log that is down gets no more load.
                await asyncio.sleep(_RETRY_S)
                self.batcher.batch_lost(batch.batch_id)
        self._submitted.set()

    def _fold(self, page: platform.LogPage) -> None:
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
            self._wake(events)

    def _wake(self, events: list[claims.ClaimEvent]) -> None:
        for event in events:
            if event.record.entry_id != self.batcher.entry_id:
                continue
            future = self._decided.get(event.record.claim_id)
            if future is not None and not future.done():
                future.set_result(None)

    def _skip_to(self, first: int) -> None:
        wall = self.clock()
        if self.table is None:
            self.table = claims.ClaimTable.from_log(
                first, wall, self.retention_s
            )
            self.board.claims = self.table
        else:
            self.table.skip_missing(first, wall)
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
