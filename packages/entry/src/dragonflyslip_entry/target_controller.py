"""Keeps the blackboard's targets up to date from the instance list."""

import asyncio

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import targets
from dragonflyslip_entry import connections
import dragonflyslip_platform as platform

# The list lags by itself, so a faster poll would not show changes sooner.
POLL_S = 1.0


class TargetController:
    """Reads the instance list; targets that left it are forgotten.

    :param instances: the platform's instance list.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        instances: platform.InstanceList,
        pools: connections.ConnectionTable,
    ):
        self.board = board
        self.instances = instances
        self.pools = pools
        self.listed = asyncio.Event()
        self.entries: tuple[platform.ListedInstance, ...] = ()

    async def run(self) -> None:
        """Read for ever."""
        while True:
            await self.read_once()
            await asyncio.sleep(POLL_S)

    async def read_once(self) -> None:
        """Read the list; the last one is kept if it cannot be read."""
        match await self.instances.list_instances():
            case result.Success(rows):
                self._apply(rows)
                self.listed.set()
            case _:
                self.board.count('instance_list_errors')

    def _apply(self, rows: tuple[platform.ListedInstance, ...]) -> None:
        self.entries = tuple(row for row in rows if row.kind == 'entry')
        seen = {
            row.instance_id: row.to_target()
            for row in rows
            if row.kind == 'target'
        }
        known = self.board.targets
        for instance_id in known.keys() - seen.keys():
            del known[instance_id]
            self.pools.forget(instance_id)
        for instance_id, target in seen.items():
            self._update(instance_id, target)
        self._index()

    def _update(self, instance_id: str, target: targets.Target) -> None:
        known = self.board.targets.get(instance_id)
        if known is None or (known.target.address, known.target.port) != (
            target.address,
            target.port,
        ):
            self.board.targets[instance_id] = targets.TargetState(target)
        else:
            known.target = target

    def _index(self) -> None:
        by_service: dict[str, list[targets.TargetState]] = {}
        for state in self.board.targets.values():
            by_service.setdefault(state.target.service, []).append(state)
        self.board.service_targets = by_service
