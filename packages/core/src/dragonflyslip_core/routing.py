"""Policies that choose the target of a request.

Every policy gets the same candidates: in-service targets that look healthy,
in the domain selected by :mod:`dragonflyslip_core.domains`. The policy with
the best results is :class:`~dragonflyslip_core.default_policy.DefaultPolicy`;
``docs/measurements/routing.md`` compares it with the others.
"""

import math
import random
import typing

from returns import result

from dragonflyslip_core import errors
from dragonflyslip_core import health
from dragonflyslip_core import probes
from dragonflyslip_core import targets

Candidates = typing.Sequence[targets.TargetState]
Choice = result.Result[targets.Target, errors.RoutingError]


class Policy(typing.Protocol):
    """Chooses targets for one service at one entry."""

    def choose(
        self,
        candidates: Candidates,
        now: float,
        rng: random.Random,
    ) -> Choice:
        """Return the target for a request.

        :param now: monotonic seconds.
        :return: the target, or :exc:`~errors.RoutingError` if there are no
            candidates.
        """

    def sent(self, target: targets.Target, now: float) -> None:
        """Record that a request was sent to the target."""

    def answered(
        self, target: targets.Target, answer: health.Answer, now: float
    ) -> None:
        """Record how a request to the target ended."""

    def probed(
        self, target: targets.Target, report: targets.LoadReport, now: float
    ) -> None:
        """Record the result of a probe."""

    def forget(self, target_id: str) -> None:
        """Drop what is kept about a target that no longer exists."""


class BasePolicy:
    """Base class with empty event handlers.

    It suits policies that need only the state in ``TargetState``.
    """

    def choose(
        self,
        candidates: Candidates,
        now: float,
        rng: random.Random,
    ) -> Choice:
        """Return the target for a request; see :class:`Policy`."""
        if not candidates:
            return no_target()
        return result.Success(self.pick(candidates, now, rng).target)

    def pick(
        self, candidates: Candidates, now: float, rng: random.Random
    ) -> targets.TargetState:
        """Return one of the candidates, of which there is at least one."""
        raise NotImplementedError

    def sent(self, target: targets.Target, now: float) -> None:
        """See :class:`Policy`."""

    def answered(
        self, target: targets.Target, answer: health.Answer, now: float
    ) -> None:
        """See :class:`Policy`."""

    def probed(
        self, target: targets.Target, report: targets.LoadReport, now: float
    ) -> None:
        """See :class:`Policy`."""

    def forget(self, target_id: str) -> None:
        """See :class:`Policy`."""


def no_target() -> Choice:
    """Return the error for a choice without candidates."""
    return result.Failure(errors.RoutingError('no candidate target'))


class RoundRobin(BasePolicy):
    """Chooses each candidate in turn."""

    def __init__(self):
        self._next: int | None = None

    def pick(self, candidates, now, rng):
        if self._next is None:
            # If all entries started at the same target, their requests
            # would reach it at the same time.
            self._next = rng.randrange(len(candidates))
        self._next = (self._next + 1) % len(candidates)
        return candidates[self._next]


class RandomChoice(BasePolicy):
    """Chooses any candidate with equal probability."""

    def pick(self, candidates, now, rng):
        return candidates[int(rng.random() * len(candidates))]


class LeastInFlight(BasePolicy):
    """Chooses the candidate with the fewest requests of this entry."""

    def pick(self, candidates, now, rng):
        fewest = min(state.own_in_flight for state in candidates)
        ties = [s for s in candidates if s.own_in_flight == fewest]
        return ties[int(rng.random() * len(ties))]


def _pick_two(candidates, rng):
    """Return two random candidates, which differ if there are two."""
    count = len(candidates)
    first = int(rng.random() * count)
    if count == 1:
        return candidates[first], candidates[first]
    second = int(rng.random() * (count - 1))
    second += second >= first
    return candidates[first], candidates[second]


class TwoChoices(BasePolicy):
    """Chooses the one of two random candidates with fewer own requests."""

    def pick(self, candidates, now, rng):
        one, other = _pick_two(candidates, rng)
        return one if one.own_in_flight <= other.own_in_flight else other


class PeakEwma(BasePolicy):
    """Chooses the one of two random candidates with the lower peak EWMA.

    A latency above a target's average replaces it at once; a lower one
    reduces it over time. The average is multiplied by one plus the requests
    of this entry in flight.

    :param decay_s: time constant of the average in seconds.
    """

    def __init__(self, decay_s: float = 1.0):
        self.decay_s = decay_s
        # By target id: average in ms, and when it was updated.
        self._peaks: dict[str, tuple[float, float]] = {}
        self._median = health.LatencyMedian()

    def pick(self, candidates, now, rng):
        one, other = _pick_two(candidates, rng)
        return min(one, other, key=lambda state: self._cost(state, now))

    def answered(self, target, answer, now):
        latency = answer.latency_ms
        if answer.failed:
            latency = max(latency, self._median.value)
        else:
            self._median.add(latency)
        average, at = self._peaks.get(target.instance_id, (0.0, now))
        if latency < average:
            weight = math.exp(-(now - at) / self.decay_s)
            latency = average * weight + latency * (1.0 - weight)
        self._peaks[target.instance_id] = (latency, now)

    def forget(self, target_id):
        self._peaks.pop(target_id, None)

    def _cost(self, state, now):
        average, at = self._peaks.get(state.target.instance_id, (0.0, now))
        decayed = average * math.exp(-(now - at) / self.decay_s)
        return decayed * (state.own_in_flight + 1)


class Probing(BasePolicy):
    """Chooses by requests in flight, then by latency, from pooled probes.

    A target is hot if its requests in flight reach the ``hot_quantile`` of
    all pooled probe results. The policy chooses the target with the lowest
    latency among the others or, if all are hot, the one with the fewest
    requests in flight. With fewer than two results, it behaves like
    :class:`TwoChoices`.

    :param pool_reports: whether to add load reports on responses to the
        pool.
    :param hot_quantile: quantile of the requests in flight, 0 to 1, from
        which a target is hot.
    """

    def __init__(self, pool_reports: bool = False, hot_quantile: float = 0.75):
        self.pool = probes.ProbePool()
        self.pool_reports = pool_reports
        self.hot_quantile = hot_quantile
        self._fallback = TwoChoices()
        self._failing: set[str] = set()

    def pick(self, candidates, now, rng):
        live = self.pool.live(now)
        pooled = [
            (state, live[state.target.instance_id])
            for state in candidates
            if state.target.instance_id in live
            and state.target.instance_id not in self._failing
        ]
        if len(pooled) < 2:
            return self._fallback.pick(candidates, now, rng)
        loads = sorted(p.report.in_flight + p.sends for _, p in pooled)
        limit = loads[int(self.hot_quantile * (len(loads) - 1))]
        not_hot = [
            (probe.report.latency_ms or 0.0, state)
            for state, probe in pooled
            if probe.report.in_flight + probe.sends < limit
        ]
        if not_hot:
            return min(not_hot, key=lambda pair: pair[0])[1]
        return min(
            pooled, key=lambda pair: pair[1].report.in_flight + pair[1].sends
        )[0]

    def sent(self, target, now):
        self.pool.use(target.instance_id)

    def answered(self, target, answer, now):
        if answer.failed:
            self._failing.add(target.instance_id)
            self.pool.forget(target.instance_id)
            return
        self._failing.discard(target.instance_id)
        if self.pool_reports and answer.report is not None:
            self.pool.add(target.instance_id, answer.report, now)

    def probed(self, target, report, now):
        self.pool.add(target.instance_id, report, now)

    def forget(self, target_id):
        self.pool.forget(target_id)
        self._failing.discard(target_id)
