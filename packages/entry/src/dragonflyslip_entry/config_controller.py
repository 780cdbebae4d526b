"""Keeps the blackboard's configuration up to date from the log."""

import asyncio

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import config
from dragonflyslip_entry import logs
import dragonflyslip_platform as platform

STREAM = 'config'
# One read a second for an idle stream; a new record ends the wait at once.
POLL_S = 1.0
_RETRY_S = 0.5


class ConfigController:
    """Reads the stream ``config`` and folds it.

    :param log: the platform's log service.
    """

    def __init__(self, board: blackboard.Blackboard, log: platform.LogService):
        self.board = board
        self.log = log
        self.state = config.ConfigState()
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
        wait_s = POLL_S if self.caught_up.is_set() else 0.0
        match await self.log.read(
            STREAM, self.state.through + 1, platform.READ_LIMIT, wait_s
        ):
            case result.Success(page):
                self._set_reachable(True)
                self._fold(page, started_at)
                return True
            case _:
                self.board.count('config_read_errors')
                self._set_reachable(False)
                return False

    def _fold(self, page: platform.LogPage, started_at: float) -> None:
        for record in page.records:
            folded = config.apply_record(
                self.state, record.offset, record.data
            )
            kind = type(folded).__name__.lower()
            self.board.count(f'config_records_{kind}')
            if isinstance(folded, config.Applied):
                logs.changed(
                    'configuration changed',
                    offset=folded.offset,
                    kind=folded.change.kind.value,
                    name_changed=folded.change.name,
                    author=folded.change.author,
                )
        if page.at_end:
            self.board.config = self.state
            self.caught_up.set()

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            logs.changed(
                'log is reachable' if reachable else 'log is unreachable',
                stream=STREAM,
            )
