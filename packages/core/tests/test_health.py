"""Tests of passive health checks.

Failures must not attract requests and must not remove all candidates.
"""

import dataclasses

import pytest
from returns import pipeline

from dragonflyslip_core import health
from dragonflyslip_core import targets


def make_states(count):
    return [
        targets.TargetState(
            targets.Target(f't{index}', 's', '127.0.0.1', index, 'd')
        )
        for index in range(count)
    ]


def fail(state, now, median=None, report=None):
    health.record_sent(state)
    answer = health.Answer(0.5, True, report)
    health.record_answer(state, answer, now, median or health.LatencyMedian())


class TestRecordAnswer:
    def test_fast_failure_counts_as_the_median_latency(self):
        """Guards against preferring a target because it fails quickly."""
        median = health.LatencyMedian()
        for latency in (10.0, 20.0, 300.0):
            median.add(latency)
        (state,) = make_states(1)
        fail(state, 0.0, median)
        assert state.latency_ewma_ms == 20.0
        assert (state.own_in_flight, state.failed_total) == (0, 1)

    def test_failure_does_not_lower_the_reported_load(self):
        """Guards against a failing target that looks idle by its report."""
        (state,) = make_states(1)
        busy = targets.LoadReport(in_flight=5, slots=6, boot_id='b')
        health.record_report(state, busy, 0.0)
        idle = dataclasses.replace(busy, in_flight=0)
        fail(state, 1.0, report=idle)
        assert state.report.in_flight == 5

    def test_median_covers_only_recent_requests(self):
        """Guards against a median that does not follow a latency change."""
        median = health.LatencyMedian()
        for latency in [1.0] * 500 + [9.0] * 100:
            median.add(latency)
        assert median.value == 9.0


class TestLooksHealthy:
    def test_failing_target_is_avoided_then_retried(self):
        """Guards against using a failing target and never retrying it."""
        (state,) = make_states(1)
        fail(state, 0.0)
        assert health.looks_healthy(state, 0.0)
        fail(state, 0.0)
        assert not health.looks_healthy(state, 0.0)
        assert health.looks_healthy(state, health.FAILURE_HALF_LIFE_S)

    def test_suspected_target_is_avoided(self):
        """Guards against new work for a target that may have restarted."""
        (state,) = make_states(1)
        state.suspected = True
        assert not health.looks_healthy(state, 0.0)


class TestSelectHealthy:
    @pytest.mark.parametrize(
        ('healthy', 'rule', 'usable', 'too_few'),
        [
            (4, 'spread', 4, False),
            (2, 'spread', 2, False),
            (1, 'spread', 4, True),
            (0, 'spread', 4, True),
            (2, 'refuse', 2, False),
            (1, 'refuse', None, True),
            (0, 'refuse', None, True),
        ],
    )
    def test_too_few_healthy(self, healthy, rule, usable, too_few):
        """Guards against sending all traffic to the last healthy targets."""
        states = make_states(4)
        for state in states[healthy:]:
            state.suspected = True
        choice = health.select_healthy(states, 0.0, 50.0, rule)
        if usable is None:
            assert choice.failure().kind == 'too-few-healthy'
        else:
            assert len(choice.unwrap().usable) == usable
            assert choice.unwrap().too_few == too_few

    def test_no_candidate_is_an_error_at_any_percent(self):
        """Guards against an empty selection that looks like a success."""
        choice = health.select_healthy([], 0.0, 0.0, 'spread')
        assert not pipeline.is_successful(choice)
        (state,) = make_states(1)
        state.suspected = True
        choice = health.select_healthy([state], 0.0, 0.0, 'spread')
        assert choice.unwrap().usable == [state]
