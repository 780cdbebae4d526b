"""Failure domains: the near one first, and spill in proportion to load."""

import dataclasses
import random
import typing

from dragonflyslip_core import targets

# Between two updates of the split. Far below the time in which load moves
# for good, far above the time between reports.
UPDATE_S = 0.05
# Part of the way to the new split at each update. Other entries spill by the
# same load at the same time; a full step would swing between domains.
_STEP = 0.2
_LONG_AGO = float('-inf')


def in_service(
    candidates: typing.Iterable[targets.TargetState],
    domains_out: typing.Container[str],
    instances_out: typing.Container[str],
) -> list[targets.TargetState]:
    """Return the candidates that may receive new work.

    Call it in the same step as the write of the request, so that nothing
    that was taken out meanwhile receives it.

    :param domains_out: failure domains taken out of service.
    :param instances_out: ids of instances taken out of service.
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
    """Return requests in flight per slot of the targets, own estimate.

    It is above 1 when requests wait at targets.

    :param default_slots: slots of a target that did not report them.
    :return: 0 without targets.
    """
    slots = sum(_slots(state, default_slots) for state in states)
    return sum(map(_load, states)) / slots if slots else 0.0


def spare_capacity(
    states: typing.Sequence[targets.TargetState], default_slots: int
) -> float:
    """Return the spare part of capacity with the busiest domain out.

    :param states: the in-service targets of a service.
    :return: free slots as a part of all slots, when the domain with most
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

    All requests stay near while the near domain's utilisation is under the
    limit. Above it, the part that stays shrinks until the utilisation is at
    the limit, but not below the near domain's part of all capacity, at
    which every domain is equally loaded.

    :param near_domain: the failure domain of this entry.
    :param spill_percent: utilisation in percent above which requests spill.
    :param near_part: part of the requests that stays near.
    """

    near_domain: str
    spill_percent: float = 70.0
    near_part: float = 1.0
    updated_at: float = _LONG_AGO

    def select(
        self,
        candidates: typing.Sequence[targets.TargetState],
        default_slots: int,
        now: float,
        rng: random.Random,
    ) -> typing.Sequence[targets.TargetState]:
        """Return the near candidates, or the others for a spilled request.

        :param candidates: in-service targets that look healthy.
        :return: all candidates if they are all near or all elsewhere.
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
        if self.near_part >= 1.0 or rng.random() < self.near_part:
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
        # The utilisation is proportional to the part that stays, as far as
        # this entry's requests make it.
        aim = 1.0 if load <= 0.0 else self.near_part * limit / load
        aim = min(1.0, max(near_slots / slots, aim))
        self.near_part += _STEP * (aim - self.near_part)
        if self.near_part > 0.999:
            self.near_part = 1.0
