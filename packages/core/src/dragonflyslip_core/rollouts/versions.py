"""Which targets of a service a request may use, by their versions.

Most services have one version and no order, so a request to one of them costs
a look-up. Everything else is computed when targets, orders, decisions or
advice change, not for each request.
"""

import collections.abc
import dataclasses
import random

from dragonflyslip_core.rollouts import advice as advice_types
from dragonflyslip_core.rollouts import cells
from dragonflyslip_core.rollouts import fleet
from dragonflyslip_core.rollouts import rollout as rollout_types
from dragonflyslip_core.rollouts import stages

# A version that appears beside others gets no requests for this time, since
# the order that governs it may not have arrived.
APPEARANCE_DELAY_S = 1.5


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Group of a request, and the targets that it may use.

    :param group: counted unless it is ``NONE``.
    :param stage: the stage in which it is counted.
    :param targets: ids; None if the service is not restricted. Whether they
        are usable is decided elsewhere.
    """

    group: cells.Group
    stage: stages.Stage
    targets: collections.abc.Set[str] | None

    def cell(self, route: str, target_id: str) -> cells.CellKey | None:
        """Return the cell that counts the response, None for no cell.

        :param target_id: the target of the first attempt.
        """
        if self.group is cells.Group.NONE:
            return None
        is_new = self.group is cells.Group.NEW
        return cells.CellKey(self.stage, route, target_id if is_new else None)


UNRESTRICTED = Assignment(cells.Group.NONE, stages.Stage.HELD, None)


@dataclasses.dataclass(frozen=True)
class _Plan:
    """Targets by use, until the next change.

    :param version: all targets of the order's version.
    :param new: those for requests of the new group.
    :param old: those for all other requests.
    :param has_old: whether any target of an old version is registered.
    :param free_at: when no version is held back any more.
    """

    version: frozenset[str]
    new: frozenset[str]
    old: frozenset[str]
    has_old: bool
    free_at: float


class _ServiceVersions:
    """Versions of the targets of one service, at one entry."""

    def __init__(self):
        self.targets: fleet.Targets = ()
        self.rollout: rollout_types.Rollout | None = None
        self.advised: advice_types.AdvisedShare | None = None
        # Versions of the targets.
        self._versions: set[str] = set()
        # When each version that ever appeared may be used.
        self._usable_at: dict[str, float] = {}
        self._plan: _Plan | None = None

    def set_targets(self, targets: fleet.Targets, now: float) -> None:
        self._versions = {t.version for t in targets}
        appeared = self._versions - self._usable_at.keys()
        if not self._usable_at and targets:
            # At the start, those that started after the first one are new.
            first_ms = min(t.started_at_ms for t in targets)
            for target in targets:
                if target.started_at_ms == first_ms:
                    self._usable_at[target.version] = now
        delay_s = APPEARANCE_DELAY_S if len(self._versions) > 1 else 0.0
        for version in appeared:
            self._usable_at.setdefault(version, now + delay_s)
        self.targets = targets
        self._plan = None

    def set_rollout(self, rollout: rollout_types.Rollout | None) -> None:
        if rollout is None:
            self.advised = None
        elif (
            self.advised is None
            or self.advised.order != rollout.order.position
        ):
            self.advised = advice_types.AdvisedShare(rollout.order.position)
        self.rollout = rollout
        self._plan = None

    def is_restricted(self, now: float) -> bool:
        """Return whether some target may not be used by some request."""
        if len(self._versions) < 2 and not self._excluded():
            return False
        if self.rollout is not None and self.rollout.is_running:
            return True
        plan = self.plan(now)
        return len(plan.old) < len(self.targets)

    def _excluded(self) -> set[str]:
        """Return the registered versions that no request may use."""
        rollout = self.rollout
        if rollout is None:
            return set()
        excluded = set(rollout.superseded)
        if rollout.stage is stages.Stage.ROLLED_BACK:
            excluded.add(rollout.order.version)
        return excluded & self._versions

    def share(self, now: float) -> float:
        """Return the fraction of requests that goes to the new version."""
        if self.rollout is None or self.advised is None:
            return 0.0
        if self.rollout.is_running and not self.plan(now).has_old:
            return 1.0
        return self.advised.share(self.rollout, now)

    def plan(self, now: float) -> _Plan:
        """Return the targets by use."""
        if self._plan is None or now >= self._plan.free_at:
            self._plan = self._make_plan(now)
        return self._plan

    def _make_plan(self, now: float) -> _Plan:
        rollout = self.rollout
        delayed = {v for v, at in self._usable_at.items() if now < at}
        free_at = min(
            (self._usable_at[v] for v in delayed), default=float('inf')
        )
        excluded = self._excluded()
        version: frozenset[str] = frozenset()
        new: frozenset[str] = frozenset()
        has_old = True
        if rollout is not None:
            has_old = bool(fleet.old_targets(rollout, self.targets))
            wanted = rollout.order.version
            version = self._ids(lambda v: v == wanted)
            new = version
            if rollout.stage.is_partial and has_old:
                new = fleet.subset_for_share(rollout, self.targets)
            # The order governs its version.
            delayed.discard(wanted)
            if rollout.is_running:
                excluded.add(wanted)
        old = self._ids(lambda v: v not in excluded and v not in delayed)
        # The delay must not refuse requests. At an entry that starts, the only
        # old version may seem to be new, or the other ones may be draining.
        if not any(t.usable for t in self.targets if t.target_id in old):
            old = self._ids(lambda v: v not in excluded)
        return _Plan(version, new, old, has_old, free_at)

    def _ids(
        self, accepts: collections.abc.Callable[[str], bool]
    ) -> frozenset[str]:
        return frozenset(
            t.target_id for t in self.targets if accepts(t.version)
        )


class VersionFilter:
    """Chooses the targets that each request of an entry may use.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._services: dict[str, _ServiceVersions] = {}
        # Those of which some target may not be used by some request.
        self._restricted: dict[str, _ServiceVersions] = {}

    def set_targets(
        self, service: str, targets: fleet.Targets, now: float
    ) -> None:
        """Set all registered targets of a service, usable or not."""
        state = self._services.setdefault(service, _ServiceVersions())
        state.set_targets(tuple(targets), now)
        self._update(service, state, now)

    def set_rollout(
        self, service: str, rollout: rollout_types.Rollout | None, now: float
    ) -> None:
        """Set what is known of the rollout of a service."""
        state = self._services.setdefault(service, _ServiceVersions())
        state.set_rollout(rollout)
        self._update(service, state, now)

    def record_advice(
        self,
        service: str,
        advice: advice_types.Advice,
        now: float,
        own_and_cut_off: bool = False,
    ) -> None:
        """Apply advice, as :meth:`AdvisedShare.record` does."""
        state = self._services.get(service)
        if state is not None and state.advised is not None:
            state.advised.record(advice, now, own_and_cut_off)

    def assign(
        self, service: str, rng: random.Random, now: float
    ) -> Assignment:
        """Assign a new request to a group.

        If none of the targets of a new request can take it, it is assigned by
        :meth:`assign_repeat`, as are all further attempts.
        """
        state = self._restricted.get(service)
        if state is None:
            return UNRESTRICTED
        plan = state.plan(now)
        rollout = state.rollout
        if rollout is None or not rollout.is_running:
            if not self._update(service, state, now):
                return UNRESTRICTED
            return Assignment(cells.Group.NONE, stages.Stage.HELD, plan.old)
        share = state.share(now)
        group = cells.draw_group(share, rng)
        if group is cells.Group.NEW and plan.new:
            return Assignment(group, rollout.stage, plan.new)
        if share >= 1.0:
            return Assignment(cells.Group.NONE, rollout.stage, plan.version)
        if group is cells.Group.NEW:
            group = cells.Group.NONE
        return Assignment(group, rollout.stage, plan.old)

    def assign_repeat(self, service: str, now: float) -> Assignment:
        """Return the targets for a retry or a hedge, which is not counted.

        They are those of the old versions, except where the new version has
        all the traffic.
        """
        state = self._restricted.get(service)
        if state is None:
            return UNRESTRICTED
        plan = state.plan(now)
        is_all_new = (
            state.rollout is not None
            and state.rollout.is_running
            and state.share(now) >= 1.0
        )
        targets = plan.version if is_all_new else plan.old
        return Assignment(cells.Group.NONE, self.stage(service, now), targets)

    def permits(
        self, service: str, assignment: Assignment, target_id: str, now: float
    ) -> bool:
        """Return whether a request may still be written to a target.

        The stage may have changed since the request was assigned. If it may
        not, :meth:`assign_repeat` returns the targets for it.
        """
        state = self._restricted.get(service)
        if state is None:
            return True
        plan = state.plan(now)
        rollout = state.rollout
        if rollout is None or not rollout.is_running:
            return target_id in plan.old
        share = state.share(now)
        if share >= 1.0:
            return target_id in plan.version
        if assignment.group is cells.Group.NEW:
            return share > 0.0 and target_id in plan.version
        return target_id in plan.old

    def stage(self, service: str, now: float) -> stages.Stage:
        """Return the stage that the entry states in its reports."""
        state = self._services.get(service)
        if state is None or state.rollout is None:
            return stages.Stage.HELD
        stage = state.rollout.stage
        if state.rollout.is_running and state.share(now) <= 0.0:
            return stages.Stage.HELD
        return stage

    def _update(
        self, service: str, state: _ServiceVersions, now: float
    ) -> bool:
        """Update the set of restricted services; return whether it is one."""
        is_restricted = state.is_restricted(now)
        if is_restricted:
            self._restricted[service] = state
        else:
            self._restricted.pop(service, None)
        return is_restricted
