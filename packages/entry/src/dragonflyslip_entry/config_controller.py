"""Keeps the blackboard's configuration current, from the log and peers."""

import asyncio
import collections.abc

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import checkpoints
from dragonflyslip_core import config
from dragonflyslip_entry import logs
import dragonflyslip_platform as platform

STREAM = 'config'
# Longest time that a read waits for a new record. A new record ends the wait
# at once, and an idle stream is read twice a second.
LONG_POLL_S = 0.5
_RETRY_S = 0.25
# The records of a read that takes this long beyond its wait are applied, but
# for the freshness of the configuration it counts as a failed read: data from
# a slow log must not count as current.
_SLOW_READ_S = 1.0
_SLOW_CHECK_INTERVAL_S = 0.25

OnChange = collections.abc.Callable[[], None]


class ConfigController:
    """Reads the stream ``config``, applies it and writes checkpoints.

    :param log: the platform's log service.
    :param retention_s: seconds for which the log keeps records.
    :param clock: returns Unix seconds.
    :param on_change: called after the configuration changed.
    :ivar caught_up: set once a read has reached the end of the log, or a
        snapshot from a peer has been adopted.
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
        """Read the stream until cancelled."""
        while True:
            if not await self.read_once():
                await asyncio.sleep(_RETRY_S)

    async def read_once(self) -> bool:
        """Read one page and apply its records.

        :return: whether the read succeeded.
        """
        started_at = self.loop.time()
        through = 0 if self.state is None else self.state.through
        wait_s = LONG_POLL_S if self.caught_up.is_set() else 0.0
        match await self._read(through + 1, wait_s, started_at):
            case result.Success(page):
                self._set_reachable(True)
                self._apply_page(page, started_at)
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
        """Adopt a peer's configuration if it is newer.

        :return: whether it was adopted.
        """
        match checkpoints.adopt_snapshot(self.state, snapshot):
            case result.Success(state) if state is not self.state:
                self.state = state
                self.schedule.record_snapshot(state.through, self.clock())
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
                await asyncio.wait([reading], timeout=_SLOW_CHECK_INTERVAL_S)
                now = self.loop.time()
                # If this process was paused, the elapsed time says nothing
                # about the log.
                paused = now - checked_at > _SLOW_READ_S
                slow = now - started_at > wait_s + _SLOW_READ_S
                if slow and not paused and not reading.done():
                    self.board.freshness.observe_failure(checked_at)
                checked_at = now
            return reading.result()
        finally:
            reading.cancel()

    async def _bootstrap(self, first: int) -> bool:
        """Rebuild the configuration from a checkpoint in the log.

        It is needed when the records after the last read have expired.

        :return: whether the read succeeded and a configuration was built.
        """
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
                    self._schedule_records(records)
                    self._finish_read(started_at)
                return True
            case _:
                # The log alone is not enough. A peer's heartbeat will show
                # that it has a newer configuration, which is then pulled.
                self.board.count('config_bootstrap_failures')
                return False

    def _apply_page(self, page: platform.LogPage, started_at: float) -> None:
        if self.state is None:
            self.state = config.ConfigState()
        for record in page.records:
            outcome = config.apply_record(
                self.state, record.offset, record.data
            )
            self._observe_record(
                record.offset, record.at_ms, record.data, outcome
            )
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

    def _observe_record(
        self, offset: int, at_ms: int, data: bytes, outcome: object
    ) -> None:
        header = config.read_checkpoint_header(data)
        if isinstance(outcome, config.Ignored):
            self.board.count(f'config_records_{outcome.reason.name.lower()}')
            if outcome.reason is config.IgnoredReason.CHECKPOINT_MISMATCH:
                header = None
                logs.LOGGER.error(
                    'checkpoint differs from the configuration in force',
                    extra={'offset': offset},
                )
        else:
            self.board.count(
                f'config_records_{type(outcome).__name__.lower()}'
            )
        self.schedule.observe(offset, at_ms, header)
        if isinstance(outcome, config.Applied):
            logs.info(
                'configuration changed',
                offset=outcome.offset,
                kind=outcome.change.kind.value,
                changed=outcome.change.name,
                author=outcome.change.author,
            )

    def _schedule_records(self, records: list[checkpoints.LogRecord]) -> None:
        for record in records:
            self.schedule.observe(
                record.offset,
                record.at_ms,
                config.read_checkpoint_header(record.data),
            )

    async def _write_checkpoint(self) -> None:
        unix_now = self.clock()
        view = self.board.membership.view(self.loop.time())
        rank = view.rank(self.board.membership.own) or 0
        if self.state is None or not self.schedule.is_due(unix_now, rank):
            return
        self.schedule.record_write(unix_now)
        self.board.count('config_checkpoints')
        # The result is ignored: if the append failed, the checkpoint is due
        # again later.
        await self.log.append(STREAM, checkpoints.make_checkpoint(self.state))

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            logs.info(
                'log is reachable' if reachable else 'log is unreachable',
                stream=STREAM,
            )
