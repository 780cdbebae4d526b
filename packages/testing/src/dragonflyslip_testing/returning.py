"""Model of callers that retry after being refused under overload.

The slots of all targets form one pool with one queue, so that the model
measures admission only, not the selection of a target.
"""

import bisect
import collections.abc
import dataclasses
import heapq
import random

from dragonflyslip_core import admission

AdmissionCheck = collections.abc.Callable[
    [admission.AdmissionRequest, admission.RouteLoad], bool
]
STEP_S = 0.01


@dataclasses.dataclass(frozen=True)
class Overload:
    """A load and the behaviour of its callers.

    :param load: arrival rate as a fraction of the capacity of the slots.
    :param seconds: simulated time.
    :param service_time_s: mean service time; that of each request is between
        0.67 and 1.33 times the mean.
    :param target_latency_s: latency up to which a response is in time.
    :param caller_timeout_s: how long a caller waits in total.
    :param max_retries: how often a refused caller retries.
    """

    load: float
    seconds: float = 10.0
    slots: int = 10
    service_time_s: float = 0.12
    target_latency_s: float = 0.3
    caller_timeout_s: float = 2.5
    max_retries: int = 2
    seed: int = 7


@dataclasses.dataclass
class Outcomes:
    """Number of requests by outcome.

    :param capacity: requests that the slots can process in the simulated
        time.
    :param late: requests that completed after the target latency.
    :param refused: requests that were refused for the last time.
    """

    capacity: float
    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def goodput(self) -> float:
        """Requests completed in time, as a fraction of the capacity."""
        return self.in_time / self.capacity


def simulate(
    overload: Overload, admit: AdmissionCheck = admission.is_worth_sending
) -> Outcomes:
    """Simulate a load.

    :param admit: decides whether a request is admitted.
    :return: number of requests by outcome.
    """
    rng = random.Random(overload.seed)
    route_load = admission.RouteLoad(service_time_s=overload.service_time_s)
    capacity_per_s = overload.slots / overload.service_time_s
    outcomes = Outcomes(overload.seconds * capacity_per_s)
    busy_until: list[float] = []
    # Heap of (time, time of the first attempt, number of retries).
    attempts_due: list[tuple[float, float, int]] = []
    pending_arrivals = 0.0
    steps = int(overload.seconds / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        del busy_until[: bisect.bisect_right(busy_until, now)]
        pending_arrivals += overload.load * capacity_per_s * STEP_S
        for _ in range(int(pending_arrivals)):
            heapq.heappush(attempts_due, (now, now, 0))
        pending_arrivals -= int(pending_arrivals)
        while attempts_due and attempts_due[0][0] <= now:
            _, first_at, retries = heapq.heappop(attempts_due)
            waited_s = now - first_at
            # Number of requests that must end before this one gets a slot.
            ahead = max(0, len(busy_until) + 1 - overload.slots)
            request = admission.AdmissionRequest(
                waited_s=waited_s,
                left_s=overload.caller_timeout_s - waited_s,
                target_latency_s=overload.target_latency_s,
                is_retry=retries > 0,
                priority_rank=0,
                # In units of the mean service time.
                expected_work=1.0 + ahead / overload.slots,
            )
            if admit(request, route_load):
                free_at = busy_until[ahead - 1] if ahead else now
                end_at = free_at + overload.service_time_s * rng.uniform(
                    0.67, 1.33
                )
                bisect.insort(busy_until, end_at)
                if end_at - first_at <= overload.target_latency_s:
                    outcomes.in_time += 1
                else:
                    outcomes.late += 1
            elif retries < overload.max_retries:
                retry_delay_s = admission.retry_after_s(
                    overload.target_latency_s,
                    waited_s,
                    overload.caller_timeout_s - waited_s,
                    rng.random(),
                )
                heapq.heappush(
                    attempts_due, (now + retry_delay_s, first_at, retries + 1)
                )
            else:
                outcomes.refused += 1
    return outcomes
