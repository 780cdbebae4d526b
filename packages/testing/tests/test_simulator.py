"""The simulator: results are reproducible and agree with queueing theory."""

import math

import pytest

from dragonflyslip_core import default_policy
from dragonflyslip_core import routing
from dragonflyslip_testing import simulator

DEFAULT = simulator.policy_maker(default_policy.DefaultPolicy)


def erlang_c(load, slots):
    """Return the probability of waiting in an M/M/c queue."""
    offered = load * slots
    terms = [offered**k / math.factorial(k) for k in range(slots + 1)]
    last_term = terms[-1] / (1.0 - load)
    return last_term / (sum(terms[:-1]) + last_term)


class TestSimulator:
    def test_single_queue_agrees_with_erlang_c(self):
        """Guards against an error in queueing, service times or arrivals."""
        scenario = simulator.Scenario(
            load=0.8,
            requests=60_000,
            entries=1,
            targets=1,
            slow_factor=1.0,
            delay_s=(0.0, 0.0),
        )
        make = simulator.policy_maker(routing.RandomChoice)
        # The only target is the slow one. A factor of 1 gives it the normal
        # speed, and the arrival rate is a fraction of its capacity.
        summary = simulator.run(scenario, make, 1)
        waiting = sum(depth > scenario.slots for depth in summary.depths)
        assert waiting / len(summary.depths) == pytest.approx(
            erlang_c(0.8, 6), rel=0.05
        )
        mean = sum(summary.latencies_ms) / len(summary.latencies_ms)
        expected = 20.0 * (1.0 + erlang_c(0.8, 6) / (6 * 0.2))
        assert mean == pytest.approx(expected, rel=0.05)

    def test_same_seed_same_run(self):
        """Guards against results that cannot be reproduced."""
        scenario = simulator.Scenario(
            requests=3_000, warmup=500, slowdown_every_s=0.5, misleading=True
        )
        one, other = (simulator.run(scenario, DEFAULT, 7) for _ in range(2))
        assert one == other

    @pytest.mark.parametrize(
        ('faults', 'bound'),
        [({}, 1.1), ({'slowdown_every_s': 2.0}, 1.25)],
    )
    def test_default_policy_is_within_the_bound(self, faults, bound):
        """Guards against a change that makes routing worse.

        The bound is on the p99 latency relative to that of the oracle.
        """
        scenario = simulator.Scenario(requests=24_000, **faults)
        oracle = simulator.run(scenario, simulator.Oracle, 1)
        summary = simulator.run(scenario, DEFAULT, 1)
        ratio = summary.latency_ms(99) / oracle.latency_ms(99)
        assert ratio <= bound

    def test_fast_failing_target_gets_few_requests(self):
        """Guards against a target that attracts requests by failing fast.

        Its low latency and load must not make it the preferred one.
        """
        scenario = simulator.Scenario(
            requests=16_000, fast_failing=True, health_rule=False
        )
        assert simulator.run(scenario, DEFAULT, 1).failed_percent < 1.0
