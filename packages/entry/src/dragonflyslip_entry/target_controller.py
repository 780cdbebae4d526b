"""Keeps the blackboard's targets up to date from the instance list."""

import asyncio

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import targets
from dragonflyslip_core import warmup
from dragonflyslip_entry import connections
from dragonflyslip_entry import peer_links
from dragonflyslip_entry import service_control
from dragonflyslip_entry import watches
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
        services: service_control.ServiceTable,
        pools: connections.ConnectionTable,
        watching: watches.WatchTable,
        warmups: warmup.WarmupController,
        links: peer_links.PeerLinks,
    ):
        self.board = board
        self.instances = instances
        self.services = services
        self.pools = pools
        self.watching = watching
        self.warmups = warmups
        self.links = links
        self.listed = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self._targets: dict[str, targets.Target] = {}

    async def run(self) -> None:
        """Read for ever."""
        while True:
            await self.read_once()
            await asyncio.sleep(POLL_S)

    async def read_once(self) -> None:
        """Read the list; the last one is kept if it cannot be read."""
        match await self.instances.list_instances():
            case result.Success(rows):
                self._take_entries(rows)
                self._take_targets(rows)
                self.listed.set()
            case _:
                self.board.count('instance_list_errors')

    def refresh_profiles(self) -> None:
        """Follow changed profiles, and add targets of new services."""
        now = self.loop.time()
        self.services.refresh(now)
        for target in self._targets.values():
            self._track(target)
        self._index()

    def _take_entries(self, rows: tuple[platform.ListedInstance, ...]) -> None:
        live = [
            row
            for row in rows
            if row.kind == 'entry' and row.state is targets.InstanceState.LIVE
        ]
        self.board.membership.observe_list(
            [row.instance_id for row in live], self.loop.time()
        )
        own = self.board.membership.own.name
        self.links.set_endpoints(
            {
                row.instance_id: (row.address, row.port)
                for row in live
                if row.instance_id != own
            }
        )

    def _take_targets(self, rows: tuple[platform.ListedInstance, ...]) -> None:
        seen = {
            row.instance_id: row.to_target()
            for row in rows
            if row.kind == 'target'
        }
        for target_id in list(self._targets):
            old, new = self._targets[target_id], seen.get(target_id)
            if new is None or (old.address, old.port, old.service) != (
                new.address,
                new.port,
                new.service,
            ):
                self._remove(old)
        self._targets = seen
        for target in seen.values():
            self._track(target)
        self._index()

    def _track(self, target: targets.Target) -> None:
        config = self.board.config
        profile = None if config is None else config.profile_of(target.service)
        if profile is None:
            return
        known = self.board.targets.get(target.instance_id)
        if known is not None:
            known.target = target
        self.warmups.add_target(
            target, warmup.WarmupRules.from_profile(profile)
        )

    def _remove(self, target: targets.Target) -> None:
        target_id = target.instance_id
        self.warmups.remove_target(target_id)
        self.board.targets.pop(target_id, None)
        self.services.forget(target.service, target_id)
        self.pools.forget(target_id)
        self.watching.forget(target_id)

    def _index(self) -> None:
        by_service: dict[str, list[targets.TargetState]] = {}
        for state in self.board.targets.values():
            by_service.setdefault(state.target.service, []).append(state)
        self.board.service_targets = by_service
        self.services.invalidate()
