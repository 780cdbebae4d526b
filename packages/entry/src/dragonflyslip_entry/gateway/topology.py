"""Applies manifests and registrations to the gateway's shared state."""

import collections.abc

from dragonflyslip_core import directory
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.rollouts import controller
from dragonflyslip_entry.gateway import target_pools
from dragonflyslip_entry import logs

# Names in a log line about routes.
MAX_LOGGED_ROUTES = 20


class TopologyController:
    """Applies manifests, registrations and domains taken out of service.

    :param clock: returns monotonic seconds.
    :param rollouts: follows the orders.
    :param target_feed: name of the feed in which targets register.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        pools: target_pools.TargetPools,
        clock: collections.abc.Callable[[], float],
        rollouts: controller.RolloutController,
        target_feed: str,
    ):
        self.board = board
        self.pools = pools
        self.clock = clock
        self.rollout_ordered = rollouts.rollout_ordered
        self.rollout_withdrawn = rollouts.rollout_withdrawn
        self.rollouts_listed = rollouts.rollouts_listed
        self.rollouts_through = rollouts.rollouts_through
        self.target_feed = target_feed
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
        self.board.set_manifest(manifest)
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
        self, registrations: list[directory.Registration], era: int
    ) -> None:
        """Apply a complete list of the registered targets."""
        for target_id in self.board.directory.replace(
            registrations, self.clock(), era
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
                draining=registration.draining,
                cold_s=registration.cold_s,
                sequence=registration.sequence,
            )

    def target_removed(self, target_id: str) -> None:
        """Remove one registration."""
        if self.board.directory.remove(target_id, self.clock()):
            self._handle_removed(target_id)

    def domains_out_listed(self, domains: frozenset[str], era: int) -> None:
        """Apply a complete list of the failure domains out of service."""
        known = self.board.directory
        held_before = known.held_domains
        changed = known.list_domains_out(domains, self.clock(), era)
        for domain in changed:
            self._log_domain(domain)
        for domain in known.held_domains:
            if domain not in held_before:
                logs.info(
                    'failure domain stays out in a new era',
                    domain=domain,
                    s=directory.DOMAIN_HOLD_S,
                )

    def domain_out_set(self, domain: str, out: bool) -> None:
        """Take a failure domain out of service or put it back."""
        if self.board.directory.set_domain_out(domain, out):
            self._log_domain(domain)

    def _log_domain(self, domain: str) -> None:
        out = domain in self.board.directory.domains_out
        logs.info('failure domain', domain=domain, out=out)

    def record_skipped(self, key: str, reason: str) -> None:
        """Count and log a record that cannot be used."""
        self.board.count('skipped_records')
        logs.info('record skipped', key=key, reason=reason)

    def source_lost(self, source: str, reason: str) -> None:
        """Count and log that the store does not respond."""
        if source not in self.lost_sources:
            self.board.count('source_errors')
            self.lost_sources.add(source)
            logs.info('source lost', source=source, reason=reason)

    def source_regained(self, source: str) -> None:
        """Log that the store responds again.

        Registrations may have expired only while their own feed was away.
        """
        if source not in self.lost_sources:
            return
        self.lost_sources.discard(source)
        if source == self.target_feed:
            self.board.directory.registry_recovered(self.clock())
        logs.info('source regained', source=source)

    def expire(self) -> None:
        """Apply what was delayed: removed targets, domains put back."""
        for target_id in self.board.directory.expire(self.clock()):
            self._handle_removed(target_id)
        for domain in self.board.directory.expire_domains(self.clock()):
            self._log_domain(domain)

    def _handle_removed(self, target_id: str) -> None:
        """Forget a removed target; only log it if its removal is delayed."""
        if target_id in self.board.directory.targets:
            logs.info('target registration lapsed', target=target_id)
            return
        logs.info('target gone', target=target_id)
        self.board.forget_target(target_id)
        self.pools.forget(target_id)
