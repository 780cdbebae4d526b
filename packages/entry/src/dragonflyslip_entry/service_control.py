"""Routing, retry and probing state of each service at this entry."""

import dataclasses

from dragonflyslip_core import blackboard
from dragonflyslip_core import default_policy
from dragonflyslip_core import domains
from dragonflyslip_core import health
from dragonflyslip_core import limits
from dragonflyslip_core import probes
from dragonflyslip_core import profiles
from dragonflyslip_core import retries
from dragonflyslip_core import targets

# Upper bound of the bytes of a probe and its response, both with headers.
PROBE_BYTES = 1_024
# The list of candidates is rebuilt after this time. It may be this old because
# each write checks the chosen target again.
CANDIDATES_VALID_S = 0.05


@dataclasses.dataclass
class Candidates:
    """Targets that look healthy and are in service.

    :param refusal_kind: why there are none; None if there are some.
    :param too_few: whether too few targets look healthy.
    :param valid_until: loop time at which the list is rebuilt.
    """

    states: list[targets.TargetState]
    refusal_kind: str | None
    too_few: bool
    valid_until: float


class ServiceControl:
    """Policies, limits and learned state of one service at this entry.

    :param near_domain: failure domain of this entry.
    """

    def __init__(self, name: str, profile: profiles.Profile, near_domain: str):
        self.name = name
        self.profile = profile
        self.queue = limits.AdmissionQueue(profile.queue_limit)
        self.policy = default_policy.DefaultPolicy()
        self.domain_split = domains.DomainSplit(
            near_domain, profile.domain_spill_percent
        )
        self.latency_median = health.LatencyMedian()
        self.retry_policy = retries.RetryPolicy.from_profile(profile)
        self.hedge_policy = retries.HedgePolicy.from_profile(profile)
        self.probe_budget = self._probe_budget(profile)
        self.probe_schedule = probes.ProbeSchedule(self.probe_budget)
        self.limits: dict[str, limits.AdaptiveLimit] = {}
        self.running = 0
        self.candidates = Candidates([], None, False, float('-inf'))

    def update_profile(self, profile: profiles.Profile, now: float) -> None:
        """Apply a changed profile and keep the learned state."""
        if profile == self.profile:
            return
        share = self.probe_budget.share
        self.profile = profile
        self.queue.limit = profile.queue_limit
        self.domain_split.spill_percent = profile.domain_spill_percent
        self.retry_policy.max_attempts = profile.max_attempts
        self.retry_policy.delay_s = profile.retry_delay_ms / 1000
        self.retry_policy.budget.percent = profile.retry_budget_percent
        self.hedge_policy.after_s = profile.hedge_after_ms / 1000
        self.hedge_policy.max_attempts = profile.max_attempts
        self.hedge_policy.budget.percent = profile.hedge_budget_percent
        # New token buckets start empty: a profile change neither accumulates
        # probes nor exceeds the budget.
        self.probe_budget = self._probe_budget(profile)
        self.probe_budget.set_share(share, now)
        self.probe_schedule.budget = self.probe_budget

    def limit_of(self, target_id: str) -> limits.AdaptiveLimit:
        """Return the concurrency limit of a target."""
        limit = self.limits.get(target_id)
        if limit is None:
            limit = limits.AdaptiveLimit(self.profile.slots)
            self.limits[target_id] = limit
        return limit

    def has_free_slot(self, state: targets.TargetState) -> bool:
        """Return whether one more request may be sent to a target now."""
        if state.suspected:
            return False
        in_flight = state.own_in_flight
        if state.warm_limit is not None and in_flight >= state.warm_limit:
            return False
        return in_flight < self.limit_of(state.target.instance_id).allowed

    def free_slots(self, states: list[targets.TargetState]) -> int:
        """Return how many requests may be sent to the targets now."""
        return sum(self._free_slots_at(state) for state in states)

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that no longer exists."""
        self.limits.pop(target_id, None)
        self.policy.forget(target_id)
        self.probe_schedule.forget(target_id)

    def _free_slots_at(self, state: targets.TargetState) -> int:
        if state.suspected:
            return 0
        allowed = self.limit_of(state.target.instance_id).allowed
        if state.warm_limit is not None:
            allowed = min(allowed, state.warm_limit)
        return max(0, allowed - state.own_in_flight)

    @staticmethod
    def _probe_budget(profile: profiles.Profile) -> probes.ProbeBudget:
        return probes.ProbeBudget(
            profile.probe_rate_per_target,
            profile.probe_rate_fleet,
            profile.probe_bytes_per_s,
            PROBE_BYTES,
        )


class ServiceTable:
    """The :class:`ServiceControl` of each published service.

    :param near_domain: failure domain of this entry.
    """

    def __init__(self, board: blackboard.Blackboard, near_domain: str):
        self.board = board
        self.near_domain = near_domain
        self.controls: dict[str, ServiceControl] = {}
        self.share = 0.0

    def get(self, name: str) -> ServiceControl | None:
        """Return the control of a service; None if it is not published."""
        return self.controls.get(name)

    def refresh(self, now: float) -> None:
        """Apply the configuration: new, changed and removed services."""
        config = self.board.config
        if config is None:
            return
        published = {service.name for service in config.services()}
        for name in self.controls.keys() - published:
            del self.controls[name]
        for name in published:
            profile = config.profile_of(name)
            control = self.controls.get(name)
            if control is None:
                control = ServiceControl(name, profile, self.near_domain)
                control.probe_budget.set_share(self.share, now)
                self.controls[name] = control
            control.update_profile(profile, now)

    def set_share(self, share: float, now: float) -> None:
        """Set this entry's share of all probe budgets, from 0 to 1."""
        self.share = share
        for control in self.controls.values():
            control.probe_budget.set_share(share, now)

    def forget(self, service: str, target_id: str) -> None:
        """Drop the state of a target that no longer exists."""
        control = self.controls.get(service)
        if control is not None:
            control.forget(target_id)

    def invalidate(self) -> None:
        """Rebuild the list of candidates at the next choice."""
        for control in self.controls.values():
            control.candidates.valid_until = float('-inf')
