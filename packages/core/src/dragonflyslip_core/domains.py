"""Domain-aware routing: the near failure domain first, spill under load.

The near failure domain is the one that the entry itself runs in.
"""

import dataclasses
import random
import typing

from dragonflyslip_core import targets

# Time between two updates of the split. Much shorter than the time that a
# lasting change of load takes, much longer than the time between reports.
UPDATE_S = 0.05
# Fraction of the way to the new split that each update takes. All entries
# react to the same load at the same time, so a full step would make the load
# oscillate between domains.
_STEP_FRACTION = 0.2
_NEVER = float('-inf')


def in_service(
    candidates: typing.Iterable[targets.TargetState],
    domains_out: typing.Container[str],
    instances_out: typing.Container[str],
) -> list[targets.TargetState]:
    """Return the candidates that may receive new work.

    Call it without awaiting anything before the request is written, so that
    a target taken out of service meanwhile does not receive it.

    :param domains_out: failure domains that are out of service.
    :param instances_out: ids of instances that are out of service.
    """
    live = targets.InstanceState.LIVE
    draining = targets.ReportState.DRAINING
    return [
        state
        for state in candidates
        if state.target.state is live
        and state.target.failure_domain not in domains_out
        and state.target.instance_id not in instances_out
        and (state.report is None or state.report.state is not draining)
    ]


def _slots(state, default_slots):
    if state.report is not None and state.report.slots:
        return state.report.slots
    return default_slots


def _load(state):
    reported = 0 if state.report is None else state.report.in_flight
    return max(reported, state.own_in_flight)


def utilisation(
    states: typing.Sequence[targets.TargetState], default_slots: int
) -> float:
    """Return this entry's estimate of the requests in flight per slot.

    It is above 1 when requests are queued at targets.

    :param default_slots: slots of a target that did not report them.
    :return: requests per slot; 0 without targets.
    """
    slots = sum(_slots(state, default_slots) for state in states)
    return sum(map(_load, states)) / slots if slots else 0.0


def spare_capacity(
    states: typing.Sequence[targets.TargetState], default_slots: int
) -> float:
    """Return the spare capacity after the loss of the largest domain.

    :param states: the in-service targets of a service.
    :param default_slots: slots of a target that did not report them.
    :return: free slots as a fraction of all slots when the domain with most
        slots is lost and its load moves to the others; negative if their
        slots do not suffice. 0 without targets.
    """
    by_domain: dict[str, int] = {}
    for state in states:
        domain = state.target.failure_domain
        slots = _slots(state, default_slots)
        by_domain[domain] = by_domain.get(domain, 0) + slots
    total = sum(by_domain.values())
    if not total:
        return 0.0
    load = sum(map(_load, states))
    return (total - max(by_domain.values()) - load) / total


@dataclasses.dataclass
class DomainSplit:
    """Splits the requests of an entry between its domain and the others.

    All requests stay in the near domain while its utilisation is below the
    limit. Above it, requests spill to the other domains until the
    utilisation is at the limit. The fraction that stays never falls below
    the near domain's fraction of all slots, at which every domain is equally
    loaded.

    :param near_domain: the failure domain of this entry.
    :param spill_percent: utilisation in percent above which requests spill.
    :param near_fraction: fraction of the requests that stay near, 0 to 1.
    :param updated_at: monotonic time of the last update of the split.
    """

    near_domain: str
    spill_percent: float = 70.0
    near_fraction: float = 1.0
    updated_at: float = _NEVER

    def select(
        self,
        candidates: typing.Sequence[targets.TargetState],
        default_slots: int,
        now: float,
        rng: random.Random,
    ) -> typing.Sequence[targets.TargetState]:
        """Return the near candidates, or the others if this request spills.

        :param candidates: in-service targets that look healthy.
        :param default_slots: slots of a target that did not report them.
        :return: all candidates if all are near or none is.
        """
        near = [
            state
            for state in candidates
            if state.target.failure_domain == self.near_domain
        ]
        if not near or len(near) == len(candidates):
            return candidates
        if now - self.updated_at >= UPDATE_S:
            self._update(near, candidates, default_slots)
            self.updated_at = now
        if self.near_fraction >= 1.0 or rng.random() < self.near_fraction:
            return near
        return [
            state
            for state in candidates
            if state.target.failure_domain != self.near_domain
        ]

    def _update(self, near, candidates, default_slots):
        near_slots = sum(_slots(state, default_slots) for state in near)
        slots = sum(_slots(state, default_slots) for state in candidates)
        load = utilisation(near, default_slots)
        limit = self.spill_percent / 100.0
        # The utilisation that this entry causes is proportional to the
        # fraction of its requests that stay.
        desired = 1.0 if load <= 0.0 else self.near_fraction * limit / load
        desired = min(1.0, max(near_slots / slots, desired))
        self.near_fraction += _STEP_FRACTION * (desired - self.near_fraction)
        if self.near_fraction > 0.999:
            self.near_fraction = 1.0
