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

# The instance list itself lags behind, so a faster poll would not show changes
# sooner.
POLL_S = 1.0


class TargetController:
    """Reads the instance list; drops the state of targets that left it.

    :param instances: the platform's instance list.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        instances: platform.InstanceList,
        services: service_control.ServiceTable,
        pools: connections.ConnectionTable,
        watch_table: watches.WatchTable,
        warmups: warmup.WarmupController,
        links: peer_links.PeerLinks,
    ):
        self.board = board
        self.instances = instances
        self.services = services
        self.pools = pools
        self.watch_table = watch_table
        self.warmups = warmups
        self.links = links
        self.listed = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self._listed_targets: dict[str, targets.Target] = {}

    async def run(self) -> None:
        """Read the list every ``POLL_S`` until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(POLL_S)

    async def read_once(self) -> None:
        """Read the list; keep the previous one if that fails."""
        match await self.instances.list_instances():
            case result.Success(rows):
                self._update_entries(rows)
                self._update_targets(rows)
                self.listed.set()
            case _:
                self.board.count('instance_list_errors')

    def refresh_profiles(self) -> None:
        """Apply changed profiles, and add the targets of new services."""
        now = self.loop.time()
        self.services.refresh(now)
        for target in self._listed_targets.values():
            self._add_or_update(target)
        self._group_by_service()

    def _update_entries(
        self, rows: tuple[platform.ListedInstance, ...]
    ) -> None:
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

    def _update_targets(
        self, rows: tuple[platform.ListedInstance, ...]
    ) -> None:
        current = {
            row.instance_id: row.to_target()
            for row in rows
            if row.kind == 'target'
        }
        for target_id in list(self._listed_targets):
            old, new = self._listed_targets[target_id], current.get(target_id)
            if new is None or (old.address, old.port, old.service) != (
                new.address,
                new.port,
                new.service,
            ):
                self._remove(old)
        self._listed_targets = current
        for target in current.values():
            self._add_or_update(target)
        self._group_by_service()

    def _add_or_update(self, target: targets.Target) -> None:
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
        self.watch_table.forget(target_id)

    def _group_by_service(self) -> None:
        by_service: dict[str, list[targets.TargetState]] = {}
        for state in self.board.targets.values():
            by_service.setdefault(state.target.service, []).append(state)
        self.board.service_targets = by_service
        self.services.invalidate()
