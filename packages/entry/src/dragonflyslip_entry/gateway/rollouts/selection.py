"""Versions of the targets that requests may use, and their counts.

A service without an order, a decision or a second version costs a request one
comparison and one look-up.
"""

import asyncio

from dragonflyslip_core import directory
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import versions
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway.rollouts import response_counts


class VersionSelection:
    """Assigns requests to versions and counts their responses.

    :ivar filter: the rules of the core.
    :ivar counts: responses by service, while a rollout runs.
    """

    def __init__(self, board: board_types.GatewayBoard):
        self.board = board
        self.loop = asyncio.get_running_loop()
        self.filter = rollouts.VersionFilter()
        self.counts: dict[str, response_counts.ResponseCounts] = {}
        self._targets: dict[str, tuple[rollouts.VersionedTarget, ...]] = {}
        # Services with a rollout or with several versions; all others are
        # not restricted.
        self._governed: set[str] = set()
        self._with_rollout: set[str] = set()
        self._generation = -1

    def assign(self, call: calls.Call) -> rollouts.Assignment:
        """Return the group of a request and the targets that it may use now.

        The group is drawn the first time. Once the request was written, or
        its stage has ended, it uses the targets of repeats.
        """
        self.update()
        service = call.service.name
        if service not in self._governed:
            return versions.UNRESTRICTED
        now = self.loop.time()
        assigned = call.assignment
        if assigned is None:
            counts = self.counts.get(service)
            if counts is not None:
                counts.counter.record_request()
            call.assignment = self.filter.assign(service, self.board.rng, now)
        elif (
            call.sent_to
            or assigned.group is rollouts.Group.NONE
            or assigned.stage is not self.filter.stage(service, now)
        ):
            return self.assign_repeat(call)
        return call.assignment

    def assign_repeat(self, call: calls.Call) -> rollouts.Assignment:
        """Return the targets that a repeat may use, which is not counted.

        A request of the new group uses them as well if it finds no target of
        the new version.
        """
        self.update()
        service = call.service.name
        if service not in self._governed:
            return versions.UNRESTRICTED
        call.assignment = self.filter.assign_repeat(service, self.loop.time())
        return call.assignment

    def permits(
        self, assignment: rollouts.Assignment, target: directory.Registration
    ) -> bool:
        """Return whether a request may be written to a target now."""
        self.update()
        if target.service not in self._governed:
            return True
        return self.filter.permits(
            target.service, assignment, target.target_id, self.loop.time()
        )

    def begin_attempt(
        self,
        call: calls.Call,
        assignment: rollouts.Assignment,
        target: directory.Registration,
    ) -> response_counts.CountedAttempt | None:
        """Return the attempt that is written now if it is to be counted."""
        if assignment.group is rollouts.Group.NONE:
            return None
        counts = self.counts.get(target.service)
        if counts is None:
            return None
        cell = assignment.cell(call.route.name, target.target_id)
        return response_counts.CountedAttempt(counts, cell, self.loop.time())

    def set_rollout(
        self, service: str, rollout: rollouts.Rollout | None
    ) -> None:
        """Apply what is known of the rollout of a service."""
        self.update()
        self.filter.set_rollout(service, rollout, self.loop.time())
        if rollout is None:
            self._with_rollout.discard(service)
        else:
            self._with_rollout.add(service)
        self._update_governed(service)

    def refresh(self, service: str) -> None:
        """Apply changes of targets that the directory does not announce.

        Targets become warm with time.
        """
        self.update()
        self._set_targets(service, self._registered(service))

    def targets(self, service: str) -> tuple[rollouts.VersionedTarget, ...]:
        """Return all registered targets of a service."""
        self.update()
        return self._targets.get(service, ())

    def unfinished_old(self, rollout: rollouts.Rollout) -> int:
        """Return the number of requests in flight at old versions."""
        version = rollout.order.version
        return sum(
            self.board.standing_of(target.target_id).unfinished
            for target in self.targets(rollout.order.service)
            if target.version != version
        )

    def versions_of(
        self, service: str, target_ids: list[str]
    ) -> list[str] | None:
        """Return the versions of targets if their service has several.

        Those of targets that are gone are empty.
        """
        if service not in self._governed:
            return None
        known = {
            item.target_id: item.version
            for item in self._targets.get(service, ())
        }
        if len(set(known.values())) < 2:
            return None
        return [known.get(target_id, '') for target_id in target_ids]

    def update(self) -> None:
        """Apply changes of the directory since the last call.

        Called after each change of targets, so that the version of those that
        were there before is known when others appear.
        """
        if self._generation == self.board.directory.generation:
            return
        self._generation = self.board.directory.generation
        now = self.loop.time()
        registered: dict[str, list[rollouts.VersionedTarget]] = {
            service: [] for service in self._targets
        }
        for target in self.board.directory.targets.values():
            registered.setdefault(target.registration.service, []).append(
                self._versioned(target, now)
            )
        for service, targets in registered.items():
            self._set_targets(service, tuple(targets))

    def _registered(
        self, service: str
    ) -> tuple[rollouts.VersionedTarget, ...]:
        now = self.loop.time()
        return tuple(
            self._versioned(target, now)
            for target in self.board.directory.targets.values()
            if target.registration.service == service
        )

    def _versioned(
        self, target: directory.RegisteredTarget, now: float
    ) -> rollouts.VersionedTarget:
        registration = target.registration
        standing = self.board.standings.get(target.target_id)
        cold_until = target.seen_at + registration.cold_s
        if standing is not None:
            # Its own responses are newer than its registration.
            cold_until = max(cold_until, standing.cold_until)
        return rollouts.VersionedTarget(
            target_id=target.target_id,
            version=registration.version,
            slots=registration.slots,
            failure_domain=registration.failure_domain,
            started_at_ms=registration.started_at_ms,
            usable=self.board.directory.is_usable(
                target.target_id, registration.service
            ),
            warm=cold_until <= now,
        )

    def _set_targets(
        self, service: str, targets: tuple[rollouts.VersionedTarget, ...]
    ) -> None:
        if self._targets.get(service) == targets:
            return
        self._targets[service] = targets
        self.filter.set_targets(service, targets, self.loop.time())
        self._update_governed(service)

    def _update_governed(self, service: str) -> None:
        seen = {item.version for item in self._targets.get(service, ())}
        if len(seen) > 1 or service in self._with_rollout:
            self._governed.add(service)
        else:
            self._governed.discard(service)
