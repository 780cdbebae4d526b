"""Admission of requests under overload, and the delays of hedges and retries.

All decisions are based on the usual service time: how long a request takes
at an idle target of usual speed. It is learned from responses. Expected
work is given in units of the usual service time. The target latency is the
latency that a route should meet, not one that was measured at a target.
"""

import dataclasses

# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.05
# Service time as a fraction of the target latency: assumed until it is known,
# and the bounds of the learned value. The bounds keep time spent in queues
# from being learned as service time.
INITIAL_SERVICE_TIME_FRACTION = 0.4
MIN_SERVICE_TIME_FRACTION = 0.05
MAX_SERVICE_TIME_FRACTION = 0.45
# Responses are not sampled if the target was expected to need more than this,
# in units of the usual service time: their latency includes queueing.
MAX_SAMPLED_WORK = 1.2
# A request that is expected to end later than this fraction of its target
# latency is refused. Under lasting overload, every request ends just at this
# limit.
MAX_LATENCY_FRACTION = 0.8
# Up to this expected work a request is sent whatever was learned, since the
# target is not congested.
ALWAYS_ADMITTED_WORK = 1.0
# The latency fraction for a retry: its caller was refused before and has
# already waited.
RETRY_MAX_LATENCY_FRACTION = 1.0
# A retry that will miss its target latency anyway goes only to a target with
# at most this expected work: elsewhere it would delay another request beyond
# its target latency.
LATE_RETRY_MAX_WORK = 1.8
# Added to the latency fraction for each rank by which a request is more urgent
# than the least urgent requests of the service.
LATENCY_FRACTION_PER_RANK = 0.1
# A caller that has been trying for this long is taken to have been refused
# before; the gateway then treats its request as a retry.
RETRY_MIN_WAITED_S = 0.05
# Range of the delay after which refused callers retry: as fractions of the
# target latency, and as fractions of the remaining time once they cannot be
# served within the target latency. Callers wait for no more than a third of
# their remaining time.
RETRY_DELAY_FRACTIONS = (0.2, 0.5)
LATE_RETRY_DELAY_FRACTIONS = (0.15, 0.33)
# A hedge is sent after this many expected durations without a response.
HEDGE_DELAY_FACTOR = 2.0
HEDGE_MIN_DELAY_S = 0.1
# A hedge goes only to a target with at most this expected work.
HEDGE_MAX_WORK = 1.6
# Latest start of a hedge, as a fraction of the target latency.
HEDGE_MAX_LATENCY_FRACTION = 0.75


@dataclasses.dataclass
class RouteLoad:
    """Statistics of one kind of request of one service.

    :param service_time_s: learned usual service time in seconds, 0 if
        unknown.
    :param longest_wait_s: longest timeout that a caller stated, in seconds.
    """

    service_time_s: float = 0.0
    longest_wait_s: float = 0.0

    def record(
        self, took_s: float, expected_work: float, target_latency_s: float
    ) -> None:
        """Update the service time with a response.

        :param took_s: seconds from the send to the response.
        :param expected_work: the estimate by which the target was chosen,
            in units of the usual service time.
        """
        if expected_work > MAX_SAMPLED_WORK:
            return
        known = self.usual_service_time_s(target_latency_s)
        sample = took_s / max(expected_work, 0.1)
        learned = known + (sample - known) * SERVICE_TIME_WEIGHT
        self.service_time_s = min(
            max(learned, MIN_SERVICE_TIME_FRACTION * target_latency_s),
            MAX_SERVICE_TIME_FRACTION * target_latency_s,
        )

    def usual_service_time_s(self, target_latency_s: float) -> float:
        """Return the learned service time, or the initial assumption."""
        return (
            self.service_time_s
            or INITIAL_SERVICE_TIME_FRACTION * target_latency_s
        )

    def waited_before_s(self, wait_s: float) -> float:
        """Return for how many seconds a caller has been trying.

        A caller that retries states the remainder of its timeout, so a
        timeout below the longest one means that it started earlier. This
        assumes that all callers start with the same timeout.

        :param wait_s: seconds that it will wait from now on.
        """
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        return self.longest_wait_s - wait_s


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """A request that waits for admission, with the best target for it.

    :param waited_s: seconds since its caller's first attempt.
    :param left_s: seconds until its caller gives up.
    :param target_latency_s: seconds within which the route should respond.
    :param is_retry: whether the caller retries after a refusal.
    :param priority_rank: ranks of priority above the lowest of its service.
    :param expected_work: at the best target, in units of the usual service
        time.
    :param started: whether it has already been sent to a target.
    """

    waited_s: float
    left_s: float
    target_latency_s: float
    is_retry: bool
    priority_rank: int
    expected_work: float
    started: bool = False


def is_worth_sending(request: AdmissionRequest, load: RouteLoad) -> bool:
    """Return whether to send a request to the best target available.

    Load shedding for overload: in a long queue every request would miss its
    target latency, so some requests are refused at once and the others end
    in time. This also applies to retries: those that can no longer be
    served in time only get spare capacity.
    """
    if request.expected_work <= ALWAYS_ADMITTED_WORK:
        return True
    service_time_s = load.usual_service_time_s(request.target_latency_s)
    expected_s = request.expected_work * service_time_s
    if request.started:
        return expected_s < request.left_s
    fraction = (
        MAX_LATENCY_FRACTION
        + LATENCY_FRACTION_PER_RANK * request.priority_rank
    )
    if request.is_retry:
        fraction = max(fraction, RETRY_MAX_LATENCY_FRACTION)
    limit_s = min(fraction * request.target_latency_s, request.left_s)
    if request.waited_s + expected_s <= limit_s:
        return True
    return (
        request.is_retry
        and request.expected_work <= LATE_RETRY_MAX_WORK
        and expected_s < request.left_s
    )


def hedge_delay_s(
    expected_work: float, target_latency_s: float, load: RouteLoad
) -> float:
    """Return after how many seconds without a response to send a hedge.

    A hedge covers a target that became slow or unresponsive after it was
    chosen.

    :param expected_work: at the chosen target, in units of the usual service
        time.
    """
    latest_s = HEDGE_MAX_LATENCY_FRACTION * target_latency_s
    service_time_s = load.usual_service_time_s(target_latency_s)
    delay_s = HEDGE_DELAY_FACTOR * expected_work * service_time_s
    return max(HEDGE_MIN_DELAY_S, min(delay_s, latest_s))


def retry_after_s(
    target_latency_s: float, waited_s: float, left_s: float, jitter: float
) -> float:
    """Return after how many seconds a refused caller should retry.

    After a first refusal, the delay still leaves time for a response within
    the target latency. A caller that can no longer get one retries much
    later, when the overload may be over. Jitter keeps callers that were
    refused together from retrying together.

    :param waited_s: seconds since its first attempt.
    :param left_s: seconds until it gives up.
    :param jitter: random number from 0 to 1.
    """
    low, high = RETRY_DELAY_FRACTIONS
    fraction = low + (high - low) * jitter
    if waited_s + fraction * target_latency_s < (1 - low) * target_latency_s:
        return fraction * target_latency_s
    low, high = LATE_RETRY_DELAY_FRACTIONS
    return (low + (high - low) * jitter) * max(left_s, 0.0)
