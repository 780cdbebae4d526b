"""Fleet-wide limits that entries enforce without coordination."""

import random

import pytest

from dragonflyslip_core import pacing


class TestRepeatBudget:
    @pytest.mark.parametrize('entries', [1, 5, 20])
    def test_sum_of_all_entries_stays_below_the_limit(self, entries):
        # Guards against repeats that grow with the number of entries.
        ratio, slack, requests = 0.2, 60.0, 50
        taken = 0
        for _ in range(entries):
            budget = pacing.RepeatBudget(ratio, slack, entries)
            for _ in range(requests):
                budget.record_request()
                taken += budget.take() + budget.take()
        assert taken <= ratio * requests * entries + slack

    def test_unused_repeats_do_not_accumulate(self):
        budget = pacing.RepeatBudget(0.2, 20.0, 20)
        for _ in range(1_000):
            budget.record_request()
        assert sum(budget.take() for _ in range(100)) <= 1


class TestColdPacer:
    def test_sum_of_all_entries_stays_below_cold_rate_of_a_target(self):
        # Guards against the crash of a cold target that many entries
        # overload together, although each sends at a low rate.
        rng = random.Random(3)
        pacers = [pacing.ColdPacer(20) for _ in range(20)]
        sends = [
            step
            for step in range(200)
            for pacer in pacers
            if pacer.take('t', 3.5, step * 0.05, rng)
        ]
        busiest = max(
            sum(start <= step < start + 20 for step in sends)
            for start in range(180)
        )
        assert busiest <= 3.5 * 1.5 + 5


class TestHealthProbeBudget:
    def test_sum_of_all_entries_stays_below_the_rate_of_a_target(self):
        # Simulates 260 requests a second at 16 entries and 43 targets; each
        # request would send 18 health probes in three rounds of 6. Guards
        # against exceeding the rate of health probes when targets are
        # crowded.
        entries, targets, seconds = 16, 43, 20
        granted = 0
        for _ in range(entries):
            budget = pacing.HealthProbeBudget(60.0, 20)
            for step in range(int(seconds * 260 / entries)):
                now = step * entries / 260
                granted += budget.take(6, 2, targets, now)
                granted += budget.take(6, 0, targets, now)
                granted += budget.take(6, 0, targets, now)
        assert granted / targets / seconds < 60.0

    def test_saved_health_probes_serve_a_burst(self):
        # Simulates 3 s of 25 requests a second that send 18 health probes
        # each, at one of 16 entries, after 10 s without callers. Guards
        # against granting just the minimum of two while most targets are
        # crowded.
        budget = pacing.HealthProbeBudget(60.0, 20)
        budget.take(0, 0, 43, 0.0)
        granted = [
            budget.take(18, 2, 43, 10.0 + step / 25) for step in range(75)
        ]
        assert min(granted) == 18

    def test_minimum_is_always_granted(self):
        # Guards against requests that are refused because no target could be
        # sent a health probe.
        budget = pacing.HealthProbeBudget(60.0, 20)
        at_start = int(
            60.0
            * pacing.HEALTH_PROBE_RATE_FRACTION
            / 20
            * pacing.HEALTH_PROBE_START_S
        )
        granted = [budget.take(6, 2, 1, 0.0) for _ in range(9)]
        assert granted == [at_start] + [2] * 8
