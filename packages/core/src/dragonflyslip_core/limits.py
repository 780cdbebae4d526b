"""Overload control: concurrency limits per target, queues per service."""

import bisect
import dataclasses
import enum
import math

from returns import result

from dragonflyslip_core import errors
from dragonflyslip_core import outcomes

DEADLINE_HEADER = 'Dragonflyslip-Deadline'

# The mean of this many latencies varies little enough that noise seldom
# exceeds the tolerance. With smaller windows, decisions are made before the
# effect of the last one shows, and the limit drops to 1.
WINDOW_RESPONSES = 20
LATENCY_TOLERANCE = 2.0
DECREASE_FACTOR = 0.8
# Time constants of the baseline. It falls faster than it rises, so that a
# long overload is not taken for the normal latency of the target.
BASELINE_FALL_S = 30.0
BASELINE_RISE_S = 120.0

SERVICE_TIME_WEIGHT = 0.05
# Mean plus four mean deviations, as in RFC 6298: 98 % of exponentially
# distributed service times are shorter.
DEVIATION_FACTOR = 4.0


def parse_deadline(
    text: str | None, max_timeout_s: float, now: float, wall: float
) -> result.Result[float, errors.HeaderError]:
    """Return the deadline of a call in monotonic seconds.

    :param text: value of ``Dragonflyslip-Deadline`` (Unix ms), if present.
    :param max_timeout_s: timeout of the profile in seconds from ``now``; a
        caller may ask for an earlier deadline, not for a later one.
    :param now: monotonic seconds.
    :param wall: present time, Unix seconds.
    :return: the deadline, or :exc:`~errors.HeaderError` if the value is
        not an unsigned integer of at most 16 digits.

    >>> parse_deadline('10500', 5.0, now=1.0, wall=10.0).unwrap()
    1.5
    """
    if text is None:
        return result.Success(now + max_timeout_s)
    if len(text) > 16 or not (text.isascii() and text.isdigit()):
        return result.Failure(
            errors.HeaderError(
                f'Dragonflyslip-Deadline is not a Unix time in ms: {text!r}'
            )
        )
    return result.Success(now + min(max_timeout_s, int(text) / 1000 - wall))


@dataclasses.dataclass
class AdaptiveLimit:
    """Adaptive limit of the requests of this entry in flight at one target.

    The limit stays between 1 and ``slots``. After each window of responses
    it is lowered by a fifth if their mean latency is over twice the
    slowly moving baseline, otherwise raised by one if it was reached. It is
    also lowered when the target sheds load.

    :param slots: requests that the target runs at once.
    :param limit: present limit, ``slots`` if 0.
    :param baseline_s: slow moving average of the latency in seconds, None
        until the first window is complete.
    :param baseline_at: time of its last update in monotonic seconds.
    :param decreased_at: time of the last decrease in monotonic seconds.
    :param window_count: responses in the present window.
    :param window_sum_s: sum of their latencies in seconds.
    :param window_in_use: whether the limit was reached in this window.
    """

    slots: int
    limit: float = 0.0
    baseline_s: float | None = None
    baseline_at: float = float('-inf')
    decreased_at: float = float('-inf')
    window_count: int = 0
    window_sum_s: float = 0.0
    window_in_use: bool = False

    def __post_init__(self) -> None:
        self.limit = self.limit or float(self.slots)

    @property
    def allowed(self) -> int:
        """Requests that may be in flight at once, at least 1."""
        return max(1, math.floor(self.limit))

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more request may be sent."""
        return in_flight < self.allowed

    def set_slots(self, slots: int) -> None:
        """Set the slots that the target reports; less than 1 is ignored."""
        if slots < 1:
            return
        if self.limit >= self.slots:
            self.limit = float(slots)
        self.slots = slots
        self._set_limit(self.limit)

    def record_response(
        self, latency_s: float, in_flight: int, now: float
    ) -> None:
        """Record a response; adjust the limit at the end of a window.

        :param latency_s: seconds from write to response headers.
        :param in_flight: requests of this entry at the target, including
            this one.
        :param now: monotonic seconds.
        """
        self.window_count += 1
        self.window_sum_s += latency_s
        self.window_in_use |= in_flight >= self.allowed
        if self.window_count < WINDOW_RESPONSES:
            return
        mean_s = self.window_sum_s / self.window_count
        self._update_baseline(mean_s, now)
        if mean_s > LATENCY_TOLERANCE * self.baseline_s:
            self._decrease(now)
        elif self.window_in_use:
            self._set_limit(self.limit + 1)
        self.window_count, self.window_sum_s = 0, 0.0
        self.window_in_use = False

    def record_overload(self, now: float) -> None:
        """Record that the target shed a request or missed its deadline.

        The deadline is that of the request.
        """
        # All requests shed within one round trip show the same overload.
        if now - self.decreased_at >= (self.baseline_s or 0.0):
            self._decrease(now)

    def _update_baseline(self, mean_s: float, now: float) -> None:
        if self.baseline_s is None:
            self.baseline_s = mean_s
        else:
            falling = mean_s < self.baseline_s
            period = BASELINE_FALL_S if falling else BASELINE_RISE_S
            weight = -math.expm1(-max(0.0, now - self.baseline_at) / period)
            self.baseline_s += weight * (mean_s - self.baseline_s)
        self.baseline_at = max(now, self.baseline_at)

    def _decrease(self, now: float) -> None:
        self.decreased_at = now
        self._set_limit(self.limit * DECREASE_FACTOR)

    def _set_limit(self, limit: float) -> None:
        self.limit = min(float(self.slots), max(1.0, limit))


class ShedReason(enum.StrEnum):
    """Why a waiting call is refused."""

    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'


@dataclasses.dataclass(frozen=True)
class WaitingCall:
    """A call that waits for a target.

    :param call_id: chosen by the caller of the queue, unique while waiting.
    :param priority: 0 to 9; the lowest is shed first, unlike in a manifest,
        where 0 is the most urgent.
    :param deadline: monotonic seconds.
    """

    call_id: int
    priority: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class ShedCall:
    """A call that is refused before any work on it.

    :param wait_s: estimated seconds until the queue is empty.
    """

    call: WaitingCall
    reason: ShedReason
    wait_s: float

    def refusal(self, outcome: outcomes.Outcome) -> outcomes.Refusal:
        """Return the refusal to send to the caller of the request."""
        return outcomes.Refusal(
            status=503,
            outcome=outcome,
            kind='overloaded',
            detail=f'The request was shed: {self.reason.value}.',
            retry_after_s=max(1, math.ceil(self.wait_s)),
        )


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """Decision of the queue: calls to start now and calls to refuse."""

    start: tuple[WaitingCall, ...] = ()
    shed: tuple[ShedCall, ...] = ()


class AdmissionQueue:
    """The calls of one service that wait at this entry for a target.

    Calls start by priority, highest first, then by deadline, then by order
    of arrival. The methods take as ``running`` the number of this entry's
    requests in progress at targets of the service, and as ``free`` the
    number that may start now.

    :param limit: calls that may wait.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.mean_service_s = 0.0
        self.deviation_s = 0.0
        self._calls: dict[int, tuple[int, float, int, int]] = {}
        # Sorted by (-priority, deadline, sequence, call id).
        self._order: list[tuple[int, float, int, int]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._order)

    @property
    def needed_s(self) -> float:
        """Seconds within which nearly every started call ends."""
        return self.mean_service_s + DEVIATION_FACTOR * self.deviation_s

    def record_service_time(self, service_s: float) -> None:
        """Record the service time of a call in seconds."""
        if self.mean_service_s == 0.0:
            self.mean_service_s = service_s
            return
        error = service_s - self.mean_service_s
        self.mean_service_s += SERVICE_TIME_WEIGHT * error
        self.deviation_s += SERVICE_TIME_WEIGHT * (
            abs(error) - self.deviation_s
        )

    def offer(
        self, call: WaitingCall, now: float, running: int, free: int
    ) -> AdmissionDecision:
        """Add a call and decide which calls to start and to refuse.

        The new call is refused if it could not end before its deadline after
        the calls ahead of it. If the queue is over its limit, the last call
        of the lowest priority is refused.

        :param now: monotonic seconds.
        :raises ValueError: if a call with this id already waits.
        """
        if call.call_id in self._calls:
            raise ValueError(f'call {call.call_id} already waits')
        self._sequence += 1
        item = (-call.priority, call.deadline, self._sequence, call.call_id)
        ahead = bisect.bisect_left(self._order, item)
        wait = self.estimate_wait(max(0, ahead + 1 - free), running)
        if now + wait + self.needed_s > call.deadline:
            too_late = ShedCall(
                call, ShedReason.DEADLINE, self._drain_time(running)
            )
            rest = self.poll(now, running, free)
            return AdmissionDecision(rest.start, (too_late, *rest.shed))
        self._order.insert(ahead, item)
        self._calls[call.call_id] = item
        return self.poll(now, running, free)

    def poll(self, now: float, running: int, free: int) -> AdmissionDecision:
        """Decide which waiting calls to start and to refuse.

        Call it after a request has ended and at :meth:`next_expiry`.
        """
        shed = self._shed_late(now, running)
        start = []
        while self._order and len(start) < free:
            start.append(self._take(0))
        while len(self._order) > self.limit:
            wait = self._drain_time(running)
            call = self._take(-1)
            shed.append(ShedCall(call, ShedReason.QUEUE_FULL, wait))
        return AdmissionDecision(tuple(start), tuple(shed))

    def cancel(self, call_id: int) -> bool:
        """Remove a call whose caller disconnected; return if it waited."""
        item = self._calls.get(call_id)
        if item is None:
            return False
        self._take(bisect.bisect_left(self._order, item))
        return True

    def next_expiry(self) -> float | None:
        """Return when the first waiting call will be too late to start."""
        if not self._order:
            return None
        return min(item[1] for item in self._order) - self.needed_s

    def estimate_wait(self, ahead: int, running: int) -> float:
        """Return the estimated seconds until ``ahead`` calls have started.

        The estimate is 0 if no call is running, since the rate of completion
        is then unknown.
        """
        if running < 1:
            return 0.0
        return ahead * self.mean_service_s / running

    def _drain_time(self, running: int) -> float:
        return self.estimate_wait(len(self._order), running)

    def _take(self, index: int) -> WaitingCall:
        priority, deadline, _, call_id = self._order.pop(index)
        del self._calls[call_id]
        return WaitingCall(call_id, -priority, deadline)

    def _shed_late(self, now: float, running: int) -> list[ShedCall]:
        latest = now + self.needed_s
        shed = []
        index = 0
        while index < len(self._order):
            priority, deadline, _, _ = self._order[index]
            if deadline < latest:
                wait = self._drain_time(running)
                call = self._take(index)
                shed.append(ShedCall(call, ShedReason.DEADLINE, wait))
                continue
            # Deadlines ascend within a priority: skip to the next priority.
            after = (priority, math.inf, 0, 0)
            index = bisect.bisect_left(self._order, after, lo=index)
        return shed
