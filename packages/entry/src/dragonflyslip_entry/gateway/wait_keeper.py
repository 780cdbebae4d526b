"""Keeps in the store how long callers wait.

After a loss of power of all gateways, callers come back at once that have
been refused or cut before. Without what is kept, a new process takes them
for first attempts and serves them before those that can still be in time.
"""

import asyncio
import collections.abc

import msgspec
from returns import result

from dragonflyslip_core import feeds
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry import logs

# No gateway has this name.
KEY = '_caller-waits'
SAVE_PERIOD_S = 2.0
# A wait that is this much longer is worth a write.
LONGER_S = 0.01

_decode = msgspec.json.Decoder(dict[str, float]).decode


class WaitKeeper:
    """Saves and restores the waits on the blackboard.

    :param feed: topic of the record.
    :ivar saved: what the store holds, as far as this gateway knows.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        log: adapters.RecordLog,
        feed: str,
    ):
        self.board = board
        self.log = log
        self.feed = feed
        self.saved: dict[str, float] = {}

    def restore(self, page: feeds.FeedPage) -> None:
        """Take over what the newest records of the topic hold."""
        for record in page.records:
            if record.key != KEY or record.value is None:
                continue
            try:
                self.saved = _decode(record.value)
            except (msgspec.DecodeError, RecursionError) as error:
                logs.changed(
                    'record skipped', key=record.key, reason=str(error)
                )
            self.board.waits.merge(self.saved)

    async def run(self, reads: collections.abc.Callable[[], bool]) -> None:
        """Save what was learned, for ever.

        :param reads: whether this gateway reads the store for others; only
            such ones write.
        """
        while True:
            await asyncio.sleep(SAVE_PERIOD_S)
            if reads():
                await self.save()

    async def save(self) -> None:
        """Write the waits if one is longer than what the store holds."""
        known = self.board.waits.usual_s
        if not any(
            wait_s > self.saved.get(route, 0.0) + LONGER_S
            for route, wait_s in known.items()
        ):
            return
        outcome = await self.log.append(
            self.feed, KEY, msgspec.json.encode(known)
        )
        match outcome:
            case result.Success(_):
                self.saved = known
                logs.changed('waits of callers saved', routes=len(known))
            case result.Failure(error):
                logs.changed('waits not saved', reason=error.message)
