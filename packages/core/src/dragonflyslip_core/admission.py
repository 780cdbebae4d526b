"""Whether a request is worth sending now, and when to send it once more.

All decisions work on how long a request usually takes at an idle target of
usual speed, which is learned from responses.
"""

import dataclasses

# Weight of a new response in the learned time.
WORK_WEIGHT = 0.05
# Part of the target latency that work is taken to last before it is known,
# and the bounds of what is learned: queues must not pass for work.
ASSUMED_PART = 0.4
LEAST_PART = 0.05
MOST_PART = 0.45
# Responses of targets that are more crowded teach nothing.
IDLE_WORK = 1.2
# A request that would end later than this part of its target latency is
# refused: under lasting overload, every request ends just at this limit.
LATE_FACTOR = 0.8
# A target that is not crowded is always worth it, whatever was learned.
FREE_WORK = 1.0
# The same for a caller that came back: it has waited long enough.
RETURNED_FACTOR = 1.0
# Work that ends late anyway goes only to targets that take less, in units of
# the usual work: elsewhere it would make another request late.
LATE_WORK = 1.8
# Each rank of priority above the lowest of its service adds this much.
PRIORITY_FACTOR = 0.1
# A caller that has tried for this long has been refused before.
RETURNED_S = 0.05
# Parts of the target latency after which refused callers return, and parts of
# the time left once they cannot be served in time. Callers wait for no more
# than a third of their time.
RETRY_PARTS = (0.2, 0.5)
LATE_RETRY_PARTS = (0.15, 0.33)
# Silence for this many expected times is answered with a second send.
HEDGE_FACTOR = 2.0
HEDGE_MIN_S = 0.1
# A hedge goes only to a target that takes less, in units of the usual work.
HEDGE_WORK = 1.6
# Part of the target latency after which a hedge may start at the latest.
HEDGE_LATENCY_PART = 0.75


@dataclasses.dataclass
class RouteLoad:
    """What responses to one kind of request of one service showed.

    :param work_s: usual time of a request at an idle target, 0 if unknown.
    :param longest_wait_s: longest wait that a caller stated.
    """

    work_s: float = 0.0
    longest_wait_s: float = 0.0

    def record(
        self, took_s: float, expected_work: float, target_latency_s: float
    ) -> None:
        """Note a response.

        :param took_s: seconds from the send to the response.
        :param expected_work: what the choice expected, in units of the
            usual work.
        """
        if expected_work > IDLE_WORK:
            return
        known = self.usual_work_s(target_latency_s)
        sample = took_s / max(expected_work, 0.1)
        learned = known + (sample - known) * WORK_WEIGHT
        self.work_s = min(
            max(learned, LEAST_PART * target_latency_s),
            MOST_PART * target_latency_s,
        )

    def usual_work_s(self, target_latency_s: float) -> float:
        """Return the learned time, or a part of the target latency."""
        return self.work_s or ASSUMED_PART * target_latency_s

    def waited_before_s(self, wait_s: float) -> float:
        """Return for how long a caller has tried already.

        :param wait_s: seconds that it will wait from now on.
        """
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        return self.longest_wait_s - wait_s


@dataclasses.dataclass(frozen=True)
class Prospect:
    """A request, and the best target for it.

    :param waited_s: seconds since its caller's first try.
    :param left_s: seconds until its caller gives up.
    :param returned: whether it came back after a refusal.
    :param started: whether a target has had it already.
    :param urgency: ranks above the least urgent route of its service.
    :param expected_work: at the best target, in units of the usual work.
    """

    waited_s: float
    left_s: float
    target_latency_s: float
    returned: bool
    urgency: int
    expected_work: float
    started: bool = False


def is_worth_sending(prospect: Prospect, load: RouteLoad) -> bool:
    """Return whether to send a request to the best target there is.

    It answers to more load than the targets bear: queues in which each
    request ends late serve nobody, so some are refused at once and the
    others end in time. That holds for callers that came back as well: if
    they can no longer be served in time, they get what is left over.
    """
    if prospect.expected_work <= FREE_WORK:
        return True
    work_s = load.usual_work_s(prospect.target_latency_s)
    expected_s = prospect.expected_work * work_s
    if prospect.started:
        return expected_s < prospect.left_s
    factor = LATE_FACTOR + PRIORITY_FACTOR * prospect.urgency
    if prospect.returned:
        factor = max(factor, RETURNED_FACTOR)
    limit_s = min(factor * prospect.target_latency_s, prospect.left_s)
    if prospect.waited_s + expected_s <= limit_s:
        return True
    return (
        prospect.returned
        and prospect.expected_work <= LATE_WORK
        and expected_s < prospect.left_s
    )


def hedge_delay_s(
    expected_work: float, target_latency_s: float, load: RouteLoad
) -> float:
    """Return after how many seconds of silence to send once more.

    It answers to a target that has become slow or mute after the choice.
    """
    latest = HEDGE_LATENCY_PART * target_latency_s
    work_s = load.usual_work_s(target_latency_s)
    expected_s = HEDGE_FACTOR * expected_work * work_s
    return max(HEDGE_MIN_S, min(expected_s, latest))


def retry_after_s(
    target_latency_s: float, waited_s: float, left_s: float, spread: float
) -> float:
    """Return when a refused caller may come back.

    Soon enough that a first refusal still leaves time for a response within
    the target latency. A caller that cannot have that any more comes back
    much later, when an overload may be over. Spread, so that callers do not
    return together.

    :param waited_s: seconds since its first try.
    :param left_s: seconds until it gives up.
    :param spread: random number from 0 to 1.
    """
    low, high = RETRY_PARTS
    part = low + (high - low) * spread
    if waited_s + part * target_latency_s < (1 - low) * target_latency_s:
        return part * target_latency_s
    low, high = LATE_RETRY_PARTS
    return (low + (high - low) * spread) * max(left_s, 0.0)
