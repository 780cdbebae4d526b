"""Writes again what a store that came back from an older copy has lost."""

import asyncio
import collections.abc
import random
import typing

from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry import logs

# All gateways write again at random times within this time, so that the store
# does not get all writes at once.
SPREAD_S = 1.0


class RecordOwner(typing.Protocol):
    """A part of the gateway that writes records to the gateways' feed."""

    async def write_again(self) -> None:
        """Write what still holds true and the gateway's copy lacks.

        Called once after each change of the copy's era.
        """


class Renewals:
    """Asks the owners of records to write them again, once for each era.

    :param owners: parts of the gateway that write records to its feed.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        owners: collections.abc.Sequence[RecordOwner],
    ):
        self.board = board
        self.owners = owners
        self._era_changed = asyncio.Event()

    def begin(self) -> None:
        """Record that the copy of the gateways' feed is of a new era."""
        self._era_changed.set()

    async def run(self) -> None:
        """Write again after each change of the era, until cancelled."""
        while True:
            await self._era_changed.wait()
            self._era_changed.clear()
            await asyncio.sleep(random.uniform(0.0, SPREAD_S))
            await asyncio.gather(*map(self._write_again, self.owners))

    async def _write_again(self, owner: RecordOwner) -> None:
        try:
            await owner.write_again()
        except Exception as error:
            # The records of the other owners are written all the same.
            self.board.count('program_faults')
            logs.fault('records not written again', error)
