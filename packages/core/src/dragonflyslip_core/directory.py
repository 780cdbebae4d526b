"""Registered targets, and which of them may receive new work.

The directory is built from a log whose records may arrive late, twice or from
another writer. A registration is accepted only if it is newer than the last
one accepted for the same target.
"""

import collections
import collections.abc
import dataclasses

# Registrations may expire during an outage of the registry, which stores
# them. A target that is still running registers again within this time after
# the registry is back.
REMOVAL_GRACE_S = 2.0


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
            return False
        self._last_accepted[target_id] = registration.recency_key
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
        self, registrations: list[Registration], now: float
    ) -> list[str]:
        """Replace all registrations by a complete list.

        :return: ids of the known targets that are not in the list.
        """
        listed = {item.target_id for item in registrations}
        for registration in registrations:
            self.register(registration, now)
        gone = [known for known in self.targets if known not in listed]
        for target_id in gone:
            self.remove(target_id, now)
        return gone

    def set_domain_out(self, domain: str, out: bool) -> bool:
        """Take a failure domain out of service or put it back.

        :return: whether this changed its state.
        """
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
        gone = [
            target_id
            for target_id, target in self.targets.items()
            if target.remove_at is not None and now >= target.remove_at
        ]
        for target_id in gone:
            del self.targets[target_id]
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
