"""Limits for connections of callers."""

import pytest

from dragonflyslip_core import caller_limits
from dragonflyslip_core import manifest

LIMITS = manifest.CallerLimits()
Use = caller_limits.ConnectionUse
Fault = caller_limits.Fault


class TestFaults:
    @pytest.mark.parametrize(
        ('use', 'now', 'fault'),
        [
            (Use(idle_since=0.0), 12.0, None),
            (Use(idle_since=0.0), 15.6, Fault.IDLE),
            (Use(idle_since=0.0, head_since=14.0), 16.0, None),
            (Use(head_since=0.0), 3.1, Fault.SLOW_HEAD),
            (Use(body_since=0.0, body_bytes=31_000), 5.1, None),
            (Use(body_since=0.0, body_bytes=100), 4.9, None),
            (Use(body_since=0.0, body_bytes=100), 5.1, Fault.SLOW_BODY),
            (Use(), 100.0, None),
        ],
    )
    def test_only_uses_outside_the_limits_are_faults(self, use, now, fault):
        # Guards against closing what clients inside the limits use.
        assert caller_limits.find_fault(use, LIMITS, now) is fault


class TestChoice:
    def test_idle_go_before_heads_and_stalled_bodies(self):
        # Guards against cancelling a request while another connection is idle.
        order = [
            Use(idle_since=1.0),
            Use(idle_since=2.0),
            Use(head_since=0.0),
            Use(body_since=0.0, body_at=0.5),
            Use(body_since=0.0, body_at=1.5),
        ]
        kept = [Use(), Use(body_since=0.0, body_at=9.5)]
        uses = [*kept, *reversed(order)]
        for expected in order:
            assert caller_limits.choose_closed(uses, 10.0) is expected
            uses.remove(expected)
        assert caller_limits.choose_closed(uses, 10.0) is None


class TestBudgets:
    def test_descriptors_are_kept_for_targets_and_the_store(self):
        budget = caller_limits.CallerBudget.from_limits(64_000_000, 64)
        assert 2 * budget.connections + 24 <= 64
        assert budget.body_bytes == 8_000_000

    def test_memory_is_taken_up_to_the_limit(self):
        memory = caller_limits.MemoryBudget(10)
        assert memory.take(10) and not memory.take(1)
        memory.give_back(1)
        assert memory.take(1)
