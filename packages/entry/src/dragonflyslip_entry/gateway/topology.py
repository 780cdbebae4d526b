"""Applies the platform's records to the gateway's shared state."""

import collections.abc

from dragonflyslip_core import directory
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core.rollouts import orders
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import target_pools
from dragonflyslip_entry import logs

# Names in a log line about routes.
MAX_LOGGED_ROUTES = 20


class TopologyController:
    """Applies manifests, registrations, domains taken out and rollout orders.

    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        pools: target_pools.TargetPools,
        clock: collections.abc.Callable[[], float],
    ):
        self.board = board
        self.pools = pools
        self.clock = clock
        self.lost_sources: set[str] = set()

    def manifest_read(self, manifest: manifest_types.Manifest) -> None:
        """Apply a manifest unless a newer one is in force."""
        known = self.board.manifest
        if known is not None and manifest.version <= known.version:
            if manifest.version < known.version:
                self.board.count('old_manifests')
                logs.info(
                    'older manifest ignored',
                    version=manifest.version,
                    in_force=known.version,
                )
            return
        self.board.manifest = manifest
        logs.info(
            'manifest in force',
            version=manifest.version,
            previous=None if known is None else known.version,
            routes=len(manifest.routes),
        )
        unknown = manifest.routes_of_unknown_kind
        if unknown:
            self.board.count('unknown_kind_routes', len(unknown))
            logs.info(
                'routes of unknown kind',
                version=manifest.version,
                routes=unknown[:MAX_LOGGED_ROUTES],
                count=len(unknown),
                effect='run at most once',
            )

    def targets_listed(
        self, registrations: list[directory.Registration]
    ) -> None:
        """Apply a complete list of the registered targets."""
        for target_id in self.board.directory.replace(
            registrations, self.clock()
        ):
            self._handle_removed(target_id)
        self.board.targets_listed = True

    def target_registered(self, registration: directory.Registration) -> None:
        """Add or update one registration."""
        if self.board.directory.register(registration, self.clock()):
            logs.info(
                'target registered',
                target=registration.target_id,
                service=registration.service,
                version=registration.version,
                draining=registration.draining,
                cold_s=registration.cold_s,
                sequence=registration.sequence,
            )

    def target_removed(self, target_id: str) -> None:
        """Remove one registration."""
        if self.board.directory.remove(target_id, self.clock()):
            self._handle_removed(target_id)

    def domains_out_listed(self, domains: frozenset[str]) -> None:
        """Apply the list of failure domains taken out of service."""
        known = set(self.board.directory.domains_out)
        for domain in known | domains:
            out = domain in domains
            if self.board.directory.set_domain_out(domain, out):
                logs.info('failure domain', domain=domain, out=out)

    def rollout_ordered(
        self,
        service: str,
        order: orders.RolloutOrder | None,
        position: int,
    ) -> None:
        """Apply the newest order of a rollout of a service."""
        known = self.board.rollout_orders.get(service)
        if order is None:
            if self.board.rollout_orders.pop(service, None) is not None:
                logs.info(
                    'rollout withdrawn', service=service, position=position
                )
            return
        placed = orders.PlacedOrder(order, position)
        if placed == known:
            return
        self.board.rollout_orders[service] = placed
        logs.info(
            'rollout ordered',
            service=service,
            version=order.target_version,
            duration_s=order.duration_s,
            position=position,
        )

    def record_skipped(self, key: str, reason: str) -> None:
        """Count and log a record that cannot be used."""
        self.board.count('skipped_records')
        logs.info('record skipped', key=key, reason=reason)

    def source_lost(self, source: str, reason: str) -> None:
        """Count a failure of a source of changes; log the first one."""
        self.board.count('source_errors')
        if source not in self.lost_sources:
            self.lost_sources.add(source)
            logs.info('source lost', source=source, reason=reason)

    def source_regained(self, source: str) -> None:
        """Log that a source of changes responds again."""
        if source in self.lost_sources:
            self.lost_sources.discard(source)
            self.board.directory.registry_recovered(self.clock())
            logs.info('source regained', source=source)

    def expire(self) -> None:
        """Remove targets whose lapsed registration was not renewed in time."""
        for target_id in self.board.directory.expire(self.clock()):
            self._handle_removed(target_id)

    def _handle_removed(self, target_id: str) -> None:
        """Forget a removed target; only log it if its removal is delayed."""
        if target_id in self.board.directory.targets:
            logs.info('target registration lapsed', target=target_id)
            return
        logs.info('target gone', target=target_id)
        self.board.forget_target(target_id)
        self.pools.forget(target_id)
