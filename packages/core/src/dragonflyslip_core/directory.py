"""Registered targets, and which of them may receive new work.

The directory is built from a log whose records may arrive late, twice or from
another writer. A registration is accepted only if it is newer than the last
one accepted for the same target.
"""

import collections
import collections.abc
import dataclasses

from dragonflyslip_core import era_holds

# Registrations may expire during an outage of the registry, which stores
# them, or be lost if it comes back from an older copy. A target that is still
# running registers again within this time after the registry is back.
REMOVAL_GRACE_S = 2.0
# A failure domain that was out of service stays out for this time although
# the records of a new era do not say so, unless one about it appears. The
# operator may not have written it again yet.
DOMAIN_HOLD_S = 30.0


@dataclasses.dataclass(frozen=True)
class Registration:
    """What a target reports about itself.

    :param slots: requests that the target can run at once.
    :param draining: whether the target no longer accepts new work.
    :param cold_s: seconds until the target is warm; until then it can handle
        only a low load.
    :param started_at_ms: start time of the process, Unix ms; it is later
        after a restart under the same id.
    :param sequence: number of the report, counted from the process start.
    :param version: version of the service that the target runs; empty if it
        states none.
    """

    target_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    draining: bool
    cold_s: float
    started_at_ms: int
    sequence: int
    version: str = ''

    @property
    def recency_key(self) -> tuple[int, int]:
        """Key that sorts the registrations of one target, oldest first."""
        return self.started_at_ms, self.sequence


@dataclasses.dataclass
class RegisteredTarget:
    """A registered target.

    :param seen_at: when the newest registration was read.
    :param remove_at: when a delayed removal takes effect, None if there is
        none.
    """

    registration: Registration
    seen_at: float
    remove_at: float | None = None

    @property
    def target_id(self) -> str:
        """The id of the target."""
        return self.registration.target_id


class Directory:
    """Targets by id, and the failure domains that are out of service.

    Times are monotonic seconds.

    :ivar generation: incremented whenever the usable targets may change.
    :ivar on_restart: called with a target's id and the start time (Unix ms) of
        its last process, once a newer process has registered.
    """

    def __init__(self):
        self.on_restart: collections.abc.Callable[[str, int], None] = (
            lambda target_id, started_at_ms: None
        )
        self.targets: dict[str, RegisteredTarget] = {}
        self.domains_out: set[str] = set()
        self.generation = 0
        self._last_accepted: dict[str, tuple[int, int]] = {}
        # Start times (Unix ms) of the processes that said they are leaving.
        self._leaving: dict[str, int] = {}
        self._grace_until = float('-inf')
        # Targets that the first list of a new era lacked. They may register
        # with their last registration again, also once they were removed.
        self._lost: set[str] = set()
        self._held_targets = era_holds.EraHolds[str](REMOVAL_GRACE_S)
        self._held_domains = era_holds.EraHolds[str](DOMAIN_HOLD_S)
        self._by_service: dict[str, list[RegisteredTarget]] = {}
        # Filled for a service when it is first asked for.
        self._by_version: dict[str, dict[str, list[RegisteredTarget]]] = {}
        self._indexed_generation = -1

    def registry_recovered(self, now: float) -> None:
        """Record that the registry is reachable again after an outage.

        Removals that are read within ``REMOVAL_GRACE_S`` are delayed until
        its end, since the registration may merely have expired in the outage.
        """
        self._grace_until = now + REMOVAL_GRACE_S

    def register(self, registration: Registration, now: float) -> bool:
        """Store a registration if it is newer than the known one.

        :return: whether the target is new or a relevant field changed.
        """
        target_id = registration.target_id
        last = self._last_accepted.get(target_id)
        if last is not None and registration.recency_key <= last:
            is_repeated = registration.recency_key == last
            if target_id not in self._lost or not is_repeated:
                return False
        self._last_accepted[target_id] = registration.recency_key
        self._end_loss(target_id)
        if last is not None and registration.started_at_ms > last[0]:
            self.on_restart(target_id, last[0])
        known = self.targets.get(target_id)
        self.targets[target_id] = RegisteredTarget(registration, now)
        if known is None or _has_relevant_change(
            known.registration, registration
        ):
            self.generation += 1
            return True
        return False

    def remove(self, target_id: str, now: float) -> bool:
        """Remove a target whose registration no longer exists.

        After an outage of the registry the removal is delayed, except for a
        draining target.

        :return: whether the target was known.
        """
        self._end_loss(target_id)
        target = self.targets.get(target_id)
        if target is None:
            return False
        if now < self._grace_until and not target.registration.draining:
            if target.remove_at is None:
                target.remove_at = self._grace_until
            return True
        del self.targets[target_id]
        self.generation += 1
        return True

    def replace(
        self, registrations: list[Registration], now: float, era: int = 0
    ) -> list[str]:
        """Replace all registrations by a complete list.

        A target that the first list of a new era lacks is removed only after
        ``REMOVAL_GRACE_S``, unless it is draining.

        :param era: era of the list, see :class:`feeds.Position`.
        :return: ids of the known targets that are not in the list.
        """
        listed = {item.target_id for item in registrations}
        for registration in registrations:
            self.register(registration, now)
        gone = [known for known in self.targets if known not in listed]
        lost = [
            target_id
            for target_id in gone
            if not self.targets[target_id].registration.draining
        ]
        if self._held_targets.apply_page(lost, listed, era, now):
            self._lost.update(lost)
        for target_id in gone:
            if target_id not in self._held_targets:
                self.remove(target_id, now)
        return gone

    def _end_loss(self, target_id: str) -> None:
        """Record that a target has registered again or was removed."""
        self._lost.discard(target_id)
        self._held_targets.release(target_id)

    def set_domain_out(self, domain: str, out: bool) -> bool:
        """Take a failure domain out of service or put it back.

        :return: whether this changed its state.
        """
        self._held_domains.release(domain)
        return self._set_domain_out(domain, out)

    def list_domains_out(
        self, domains: frozenset[str], now: float, era: int = 0
    ) -> list[str]:
        """Apply a complete list of the failure domains out of service.

        A domain that the first list of a new era lacks stays out for
        ``DOMAIN_HOLD_S``, unless :meth:`set_domain_out` says otherwise.

        :param era: era of the list, see :class:`feeds.Position`.
        :return: domains whose state has changed.
        """
        self._held_domains.apply_page(self.domains_out, domains, era, now)
        known = sorted(self.domains_out | domains)
        return [
            domain
            for domain in known
            if self._set_domain_out(
                domain, domain in domains or domain in self._held_domains
            )
        ]

    @property
    def held_domains(self) -> list[str]:
        """The domains that are out only because of a new era."""
        return sorted(self._held_domains)

    def expire_domains(self, now: float) -> list[str]:
        """Put domains back that were held long enough; return them."""
        return [
            domain
            for domain in self._held_domains.expire(now)
            if self._set_domain_out(domain, False)
        ]

    def _set_domain_out(self, domain: str, out: bool) -> bool:
        if (domain in self.domains_out) is out:
            return False
        if out:
            self.domains_out.add(domain)
        else:
            self.domains_out.discard(domain)
        self.generation += 1
        return True

    def set_leaving(self, target_id: str) -> bool:
        """Record that a target itself says that it is leaving.

        It holds until the target registers with a later start.

        :return: whether this is new.
        """
        target = self.targets.get(target_id)
        if target is None or self._is_leaving(target.registration):
            return False
        self._leaving[target_id] = target.registration.started_at_ms
        self.generation += 1
        return True

    def _is_leaving(self, registration: Registration) -> bool:
        left_at_ms = self._leaving.get(registration.target_id)
        return left_at_ms is not None and (
            registration.started_at_ms <= left_at_ms
        )

    def expire(self, now: float) -> list[str]:
        """Remove targets whose delayed removal is due; return their ids."""
        gone = self._held_targets.expire(now) + [
            target_id
            for target_id, target in self.targets.items()
            if target.remove_at is not None and now >= target.remove_at
        ]
        gone = [
            target_id
            for target_id in gone
            if self.targets.pop(target_id, None)
        ]
        self.generation += bool(gone)
        return gone

    def usable_targets(self, service: str) -> list[RegisteredTarget]:
        """Return all targets of a service that may receive new work."""
        if self._indexed_generation != self.generation:
            self._rebuild_index()
        return self._by_service.get(service, [])

    def usable_by_version(
        self, service: str
    ) -> collections.abc.Mapping[str, list[RegisteredTarget]]:
        """Return the usable targets of a service by their version.

        A version without usable targets is not included.
        """
        targets = self.usable_targets(service)
        index = self._by_version.get(service)
        if index is None:
            index = self._by_version[service] = {}
            for target in targets:
                version = target.registration.version
                index.setdefault(version, []).append(target)
        return index

    def is_usable(self, target_id: str, service: str) -> bool:
        """Return whether a target may receive new work of ``service``."""
        target = self.targets.get(target_id)
        return (
            target is not None
            and target.registration.service == service
            and not target.registration.draining
            and not self._is_leaving(target.registration)
            and target.registration.failure_domain not in self.domains_out
        )

    def _rebuild_index(self) -> None:
        index: dict[str, list[RegisteredTarget]] = collections.defaultdict(
            list
        )
        for target in self.targets.values():
            service = target.registration.service
            if self.is_usable(target.target_id, service):
                index[service].append(target)
        self._by_service = dict(index)
        self._by_version.clear()
        self._indexed_generation = self.generation


def _has_relevant_change(old: Registration, new: Registration) -> bool:
    return dataclasses.replace(
        old, sequence=new.sequence, cold_s=new.cold_s
    ) != new or (old.cold_s > 0) != (new.cold_s > 0)
