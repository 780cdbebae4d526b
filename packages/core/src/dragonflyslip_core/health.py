"""Passive health checks, based on the answers that this entry received."""

import bisect
import collections
import dataclasses
import typing

from returns import result

from dragonflyslip_core import errors
from dragonflyslip_core import targets

# Weight of one answer in the averages of latency and failures. Two failures
# in a row bring a target without earlier failures above the limit.
_LATENCY_WEIGHT = 0.2
_FAILURE_WEIGHT = 0.3
FAILURE_LIMIT = 0.5
# Half-life in which a target's failure average decays without answers. An
# unhealthy target must be tried again, since only an answer can clear it.
FAILURE_HALF_LIFE_S = 5.0
# Number of latencies of which the median is taken.
_MEDIAN_WINDOW = 129


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How one request to a target ended.

    :param latency_ms: from the write of the request to the end of the
        response headers, or to the failure.
    :param failed: whether the request failed because of the target.
    :param report: the load report on the response, if there was one.
    """

    latency_ms: float
    failed: bool = False
    report: targets.LoadReport | None = None


class LatencyMedian:
    """Median latency of a service's most recent successful requests."""

    def __init__(self):
        self._recent: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, latency_ms: float) -> None:
        """Add the latency of a successful request."""
        if len(self._recent) == _MEDIAN_WINDOW:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._recent.append(latency_ms)
        bisect.insort(self._ordered, latency_ms)

    @property
    def value(self) -> float:
        """The median in ms; 0 before the first success."""
        if not self._ordered:
            return 0.0
        return self._ordered[len(self._ordered) // 2]


def record_sent(state: targets.TargetState) -> None:
    """Record that a request was sent to the target."""
    state.own_in_flight += 1
    state.sent_total += 1


def record_answer(
    state: targets.TargetState,
    answer: Answer,
    now: float,
    median: LatencyMedian,
) -> None:
    """Record how a request to the target ended.

    A failure counts as at least the median latency of the service, so that
    a target that fails quickly does not look fast.
    """
    state.own_in_flight -= 1
    latency = answer.latency_ms
    if answer.failed:
        state.failed_total += 1
        latency = max(latency, median.value)
    else:
        median.add(latency)
    if state.latency_updated_at == float('-inf'):
        state.latency_ewma_ms = latency
    else:
        step = latency - state.latency_ewma_ms
        state.latency_ewma_ms += _LATENCY_WEIGHT * step
    failure = failure_level(state, now)
    state.failure_ewma = failure + _FAILURE_WEIGHT * (answer.failed - failure)
    state.latency_updated_at = now
    if answer.report is not None:
        report = answer.report
        if answer.failed and state.report is not None:
            # A target that fails quickly has few requests in flight and
            # would look idle.
            in_flight = max(report.in_flight, state.report.in_flight)
            report = dataclasses.replace(report, in_flight=in_flight)
        record_report(state, report, now)


def record_report(
    state: targets.TargetState, report: targets.LoadReport, now: float
) -> None:
    """Record a load report from a response or a probe."""
    state.report = report
    state.reported_at = now


def failure_level(state: targets.TargetState, now: float) -> float:
    """Return the failure average after its decay since the last answer."""
    level = state.failure_ewma
    if level:
        age = max(0.0, now - state.latency_updated_at)
        level *= 0.5 ** (age / FAILURE_HALF_LIFE_S)
    return level


def looks_healthy(state: targets.TargetState, now: float) -> bool:
    """Return whether the target may be used, judging by its answers.

    What the target reports about itself is not considered, since it may be
    wrong.
    """
    return not state.suspected and (
        state.failure_ewma < FAILURE_LIMIT
        or failure_level(state, now) < FAILURE_LIMIT
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HealthySelection:
    """Candidates that remain after the health check.

    :param usable: the targets that may be chosen.
    :param too_few: whether too few targets are healthy, so that
        ``when_unhealthy`` applied; for the metrics of this condition.
    """

    usable: typing.Sequence[targets.TargetState]
    too_few: bool


def select_healthy(
    candidates: typing.Sequence[targets.TargetState],
    now: float,
    min_healthy_percent: float,
    when_unhealthy: typing.Literal['spread', 'refuse'],
) -> result.Result[HealthySelection, errors.RoutingError]:
    """Return the candidates that look healthy.

    When they are fewer than ``min_healthy_percent`` of all candidates,
    ``spread`` returns all candidates: the few healthy ones would be
    overloaded next, and the health estimate may itself be wrong.

    :param candidates: the in-service targets.
    :param min_healthy_percent: required percentage of healthy candidates.
    :param when_unhealthy: what to do with fewer of them: ``spread`` requests
        over all candidates or ``refuse`` them.
    :return: the selection, or :exc:`~errors.RoutingError` of kind
        ``no-target`` or ``too-few-healthy``.
    """
    if not candidates:
        return result.Failure(
            errors.RoutingError('the service has no target in service')
        )
    # The first two conditions avoid the call for most targets, since this
    # runs for each request.
    healthy = [
        state
        for state in candidates
        if (state.failure_ewma < FAILURE_LIMIT and not state.suspected)
        or looks_healthy(state, now)
    ]
    if healthy and (
        100.0 * len(healthy) >= min_healthy_percent * len(candidates)
    ):
        return result.Success(HealthySelection(healthy, False))
    if when_unhealthy == 'refuse':
        return result.Failure(
            errors.RoutingError(
                f'{len(healthy)} of {len(candidates)} targets look healthy',
                'too-few-healthy',
            )
        )
    return result.Success(HealthySelection(candidates, True))
