"""Overload control: concurrency limits, deadlines and admission queues."""

import math
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import pipeline

from dragonflyslip_core import limits
from dragonflyslip_core import outcomes


class TestParseDeadline:
    """A malformed or long deadline must not exceed the profile's timeout."""

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [(None, 6.0), ('10500', 1.5), ('9000', 0.0), ('99999999', 6.0)],
    )
    def test_earlier_of_header_and_profile(self, text, expected):
        found = limits.parse_deadline(text, 5.0, now=1.0, wall=10.0)
        assert found.unwrap() == expected

    @pytest.mark.parametrize('text', ['', '-1', '1e3', '٣', '9' * 17])
    def test_malformed(self, text):
        found = limits.parse_deadline(text, 5.0, now=1.0, wall=10.0)
        assert not pipeline.is_successful(found)


class TestAdaptiveLimit:
    @pytest.mark.parametrize('slots', [1, 2, 6])
    def test_overload_cuts_to_one_and_recovery_reaches_slots(self, slots):
        """A limit out of bounds would starve a target or overload it."""
        limit = limits.AdaptiveLimit(slots)
        now, seen = 0.0, set()
        for latency in [0.02] * 50 + [0.2] * 300 + [0.02] * 300:
            now += 0.02
            limit.record_response(latency, limit.allowed, now)
            seen.add(limit.allowed)
            assert 1.0 <= limit.limit <= slots
        assert seen == set(range(1, slots + 1)) and limit.allowed == slots

    def test_sheds_within_one_round_trip_cut_once(self):
        """Six requests shed at once must not cut the limit six times."""
        limit = limits.AdaptiveLimit(6)
        for _ in range(limits.WINDOW_RESPONSES):
            limit.record_response(0.02, 0, now=0.0)
        for step in range(6):
            limit.record_overload(now=1.0 + step * 0.003)
        assert limit.limit == 6 * limits.DECREASE_FACTOR

    def test_unused_limit_does_not_grow(self):
        """Fast responses at low load do not justify a higher limit."""
        limit = limits.AdaptiveLimit(6, limit=2.0)
        for step in range(100):
            in_flight = 2 if step == 0 else 1
            limit.record_response(0.02, in_flight, now=step * 0.1)
        # Only the first window was in use.
        assert limit.allowed == 3

    def test_baseline_is_slow_to_accept_overload(self):
        """A minute of overload must not be taken for the normal latency."""
        limit = limits.AdaptiveLimit(6)
        for step in range(600):
            limit.record_response(0.02 if step < 20 else 0.2, 6, step * 0.1)
        assert limit.allowed < 6

    def test_noise_does_not_reduce_the_limit(self):
        """Random service times alone must not reduce the capacity."""
        rng = random.Random(1)
        limit = limits.AdaptiveLimit(6)
        total = 0
        for step in range(10_000):
            now = step * 0.01
            limit.record_response(rng.expovariate(50), limit.allowed, now)
            total += limit.allowed
        assert total / 10_000 > 5.9

    @pytest.mark.parametrize(
        ('limit', 'slots', 'expected'),
        [(6, 2, 2), (6, 9, 9), (3, 9, 3), (3, 2, 2)],
    )
    def test_reported_slots(self, limit, slots, expected):
        """A target that reports fewer slots must not keep its old limit."""
        found = limits.AdaptiveLimit(6, limit=float(limit))
        found.set_slots(slots)
        assert found.allowed == expected


def _queue(limit=3, service_s=0.1):
    queue = limits.AdmissionQueue(limit)
    queue.record_service_time(service_s)
    return queue


class TestAdmissionQueue:
    @pytest.mark.parametrize(
        ('waiting', 'call', 'shed'),
        [
            ([5, 5, 5], 5, 3),
            ([5, 1, 5], 5, 1),
            ([5, 5, 5], 1, 3),
            ([1, 1, 5], 9, 1),
        ],
    )
    def test_full_queue_sheds_last_call_of_lowest_priority(
        self, waiting, call, shed
    ):
        """A full queue must not refuse calls of high priority first."""
        queue = _queue()
        for call_id, priority in enumerate(waiting):
            queue.offer(limits.WaitingCall(call_id, priority, 60), 0, 1, 0)
        decision = queue.offer(limits.WaitingCall(3, call, 60), 0, 1, 0)
        assert [(s.call.call_id, s.reason) for s in decision.shed] == [
            (shed, limits.ShedReason.QUEUE_FULL)
        ]
        refusal = decision.shed[0].refusal(outcomes.Outcome.NOT_RUN)
        assert (refusal.status, refusal.retry_after_s) == (503, 1)

    def test_start_order(self):
        """Low priorities and late deadlines must not start first."""
        queue = _queue()
        for call_id, priority, deadline in [(1, 5, 9), (2, 5, 8), (3, 6, 9)]:
            call = limits.WaitingCall(call_id, priority, deadline)
            queue.offer(call, 0.0, 6, 0)
        decision = queue.poll(0.0, 6, 9)
        assert [c.call_id for c in decision.start] == [3, 2, 1]

    def test_call_without_time_is_refused_at_once(self):
        """A call that would start too late wastes space and capacity."""
        queue = _queue(limit=100)
        shed = []
        for call_id in range(30):
            call = limits.WaitingCall(call_id, 5, deadline=1.0)
            shed += queue.offer(call, 0.0, running=2, free=0).shed
        # Two run at a time for 0.1 s each, so 18 calls start at the latest
        # 0.1 s before the deadline.
        assert (len(queue), len(shed)) == (18, 12)

    def test_call_that_became_late_is_shed_not_started(self):
        """Work for a caller that has given up wastes capacity."""
        queue = _queue()
        queue.offer(limits.WaitingCall(1, 5, 1.0), 0.0, 1, 0)
        assert queue.next_expiry() == pytest.approx(0.9)
        decision = queue.poll(0.95, running=0, free=1)
        assert not decision.start
        assert decision.shed[0].reason is limits.ShedReason.DEADLINE


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Each call is started or shed once, higher priorities first.

    Guards against calls that are lost, started twice or started too late, a
    queue over its limit, and shedding a call while one of lower priority
    waits.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue = limits.AdmissionQueue(4)
        self.waiting = {}
        self.next_id = 0

    def apply_decision(self, decision, free):
        before = dict(self.waiting)
        for call in decision.start:
            assert self.waiting.pop(call.call_id) == call
            assert call.deadline >= self.now + self.queue.needed_s
        for shed in decision.shed:
            assert self.waiting.pop(shed.call.call_id) == shed.call
            if shed.reason is limits.ShedReason.QUEUE_FULL:
                assert all(
                    c.priority >= shed.call.priority
                    for c in self.waiting.values()
                )
        assert len(decision.start) <= free
        shed_ids = {s.call.call_id for s in decision.shed}
        for call in decision.start:
            left = before.keys() - shed_ids - {call.call_id}
            assert all(
                before[i].priority <= call.priority
                or i in {c.call_id for c in decision.start}
                for i in left
            )
        if self.waiting:
            assert len(decision.start) == free

    @stateful.rule(
        priority=strategies.integers(0, 3),
        timeout_s=strategies.sampled_from([0.0, 0.3, 1.0, 9.0, 9.0]),
        running=strategies.integers(0, 3),
        free=strategies.sampled_from([0, 0, 0, 1, 2]),
    )
    def offer(self, priority, timeout_s, running, free):
        call = limits.WaitingCall(self.next_id, priority, self.now + timeout_s)
        self.next_id += 1
        self.waiting[call.call_id] = call
        decision = self.queue.offer(call, self.now, running, free)
        self.apply_decision(decision, free)

    @stateful.rule(
        running=strategies.integers(0, 3), free=strategies.integers(0, 3)
    )
    def poll(self, running, free):
        self.apply_decision(self.queue.poll(self.now, running, free), free)

    @stateful.rule(step=strategies.floats(0.0, 1.0))
    def advance(self, step):
        self.now += step

    @stateful.rule(service=strategies.floats(0.001, 0.5))
    def serve(self, service):
        self.queue.record_service_time(service)

    @stateful.rule(place=strategies.integers(0, 4))
    def cancel(self, place):
        call_id = [*self.waiting, -1, -1, -1, -1, -1][place]
        waited = self.waiting.pop(call_id, None)
        assert self.queue.cancel(call_id) == (waited is not None)

    @stateful.invariant()
    def is_bounded_and_consistent(self):
        assert len(self.queue) == len(self.waiting) <= 4
        expiry = self.queue.next_expiry()
        earliest = min(
            (c.deadline for c in self.waiting.values()), default=math.inf
        )
        assert (expiry is None) == (not self.waiting)
        assert expiry is None or expiry <= earliest


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=100
)
