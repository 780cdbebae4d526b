"""Keeps the blackboard's configuration up to date from log and peers."""

import asyncio
import collections.abc

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import checkpoints
from dragonflyslip_core import config
from dragonflyslip_entry import logs
import dragonflyslip_platform as platform

STREAM = 'config'
# A new record ends the wait at once; an idle stream costs two reads a second.
POLL_S = 0.5
_RETRY_S = 0.25
# A read that takes this long beyond its wait counts as unanswered, though
# its answer is still used: a slow log must not look like a current one.
_SLOW_READ_S = 1.0
_WATCH_S = 0.25

OnChange = collections.abc.Callable[[], None]


class ConfigController:
    """Reads the stream ``config``, folds it and carries it forward.

    :param log: the platform's log service.
    :param retention_s: seconds that the log keeps records.
    :param on_change: called after the configuration changed.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        log: platform.LogService,
        retention_s: float,
        clock: collections.abc.Callable[[], float],
        on_change: OnChange,
    ):
        self.board = board
        self.log = log
        self.clock = clock
        self.on_change = on_change
        self.state: config.ConfigState | None = None
        self.schedule = checkpoints.CheckpointSchedule(retention_s)
        self.caught_up = asyncio.Event()
        self.reachable = True
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Read for ever."""
        while True:
            if not await self.read_once():
                await asyncio.sleep(_RETRY_S)

    async def read_once(self) -> bool:
        """Read one page and fold it.

        :return: whether the read succeeded.
        """
        started_at = self.loop.time()
        through = 0 if self.state is None else self.state.through
        wait_s = POLL_S if self.caught_up.is_set() else 0.0
        match await self._read(through + 1, wait_s, started_at):
            case result.Success(page):
                self._set_reachable(True)
                self._fold(page, started_at)
                await self._write_checkpoint()
                return True
            case result.Failure(platform.OffsetExpiredError() as error):
                return await self._bootstrap(error.first)
            case _:
                self.board.count('config_read_errors')
                self.board.freshness.observe_failure(started_at)
                self._set_reachable(False)
                return False

    def adopt_snapshot(self, snapshot: bytes) -> bool:
        """Take over a peer's configuration if it is newer.

        :return: whether it was taken over.
        """
        match checkpoints.adopt_snapshot(self.state, snapshot):
            case result.Success(state) if state is not self.state:
                self.state = state
                self.schedule.adopted(state.through, self.clock())
                self._publish()
                return True
            case result.Failure():
                self.board.count('config_bad_snapshots')
        return False

    async def _read(
        self, from_offset: int, wait_s: float, started_at: float
    ) -> result.Result[platform.LogPage, platform.PlatformError]:
        reading = self.loop.create_task(
            self.log.read(STREAM, from_offset, platform.READ_LIMIT, wait_s)
        )
        checked_at = started_at
        try:
            while not reading.done():
                await asyncio.wait([reading], timeout=_WATCH_S)
                now = self.loop.time()
                # After a pause of this process the wait proves nothing.
                paused = now - checked_at > _SLOW_READ_S
                slow = now - started_at > wait_s + _SLOW_READ_S
                if slow and not paused and not reading.done():
                    self.board.freshness.observe_failure(checked_at)
                checked_at = now
            return reading.result()
        finally:
            reading.cancel()

    async def _bootstrap(self, first: int) -> bool:
        """Start from a checkpoint, because older records have expired."""
        records: list[checkpoints.LogRecord] = []
        started_at = self.loop.time()
        offset = first
        while True:
            match await self._read(offset, 0.0, started_at):
                case result.Success(page):
                    records += [
                        checkpoints.LogRecord(r.offset, r.at_ms, r.data)
                        for r in page.records
                    ]
                    offset = page.next
                    if page.at_end:
                        break
                case _:
                    return False
        match checkpoints.bootstrap(first, records):
            case result.Success(state):
                if self.state is None or state.through > self.state.through:
                    self.state = state
                    self._observe_records(records)
                    self._finish_read(started_at)
                return True
            case _:
                # Only a peer can help; its heartbeat offers a snapshot.
                self.board.count('config_bootstrap_failures')
                return False

    def _fold(self, page: platform.LogPage, started_at: float) -> None:
        if self.state is None:
            self.state = config.ConfigState()
        for record in page.records:
            folded = config.apply_record(
                self.state, record.offset, record.data
            )
            self._observe(record.offset, record.at_ms, record.data, folded)
        if page.at_end:
            self._finish_read(started_at)

    def _finish_read(self, started_at: float) -> None:
        self.board.freshness.observe_read(started_at, self.state.through)
        self._publish()

    def _publish(self) -> None:
        self.board.freshness.observe_through(self.state.through)
        self.board.config = self.state
        self.caught_up.set()
        self.on_change()

    def _observe(
        self, offset: int, at_ms: int, data: bytes, folded: object
    ) -> None:
        header = config.read_checkpoint_header(data)
        if isinstance(folded, config.Ignored):
            self.board.count(f'config_records_{folded.reason.name.lower()}')
            if folded.reason is config.IgnoredReason.CHECKPOINT_MISMATCH:
                header = None
                logs.LOGGER.error(
                    'checkpoint differs from the folded configuration',
                    extra={'offset': offset},
                )
        else:
            self.board.count(f'config_records_{type(folded).__name__.lower()}')
        self.schedule.observe(offset, at_ms, header)
        if isinstance(folded, config.Applied):
            logs.changed(
                'configuration changed',
                offset=folded.offset,
                kind=folded.change.kind.value,
                changed=folded.change.name,
                author=folded.change.author,
            )

    def _observe_records(self, records: list[checkpoints.LogRecord]) -> None:
        for record in records:
            self.schedule.observe(
                record.offset,
                record.at_ms,
                config.read_checkpoint_header(record.data),
            )

    async def _write_checkpoint(self) -> None:
        wall = self.clock()
        view = self.board.membership.view(self.loop.time())
        rank = view.rank(self.board.membership.own) or 0
        if self.state is None or not self.schedule.due(wall, rank):
            return
        self.schedule.written(wall)
        self.board.count('config_checkpoints')
        # A lost response is no matter: the checkpoint is due again later.
        await self.log.append(STREAM, checkpoints.make_checkpoint(self.state))

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            logs.changed(
                'log is reachable' if reachable else 'log is unreachable',
                stream=STREAM,
            )
