"""Tests of the routing policies.

They check the contract of every policy and that failing, slow or wrongly
reporting targets do not attract requests.
"""

import collections
import random

import pytest

from dragonflyslip_core import default_policy
from dragonflyslip_core import health
from dragonflyslip_core import routing
from dragonflyslip_core import targets

POLICIES = [
    routing.RoundRobin,
    routing.RandomChoice,
    routing.LeastInFlight,
    routing.TwoChoices,
    routing.PeakEwma,
    routing.Probing,
    default_policy.DefaultPolicy,
]


class Entry:
    """A policy of one entry with the target states passed to it."""

    def __init__(self, make_policy, count):
        self.policy = make_policy()
        self.rng = random.Random(5)
        self.median = health.LatencyMedian()
        self.states = [
            targets.TargetState(
                targets.Target(f't{index}', 's', '127.0.0.1', index, 'd')
            )
            for index in range(count)
        ]

    def choose(self, now=0.0):
        choice = self.policy.choose(self.states, now, self.rng)
        return choice.unwrap().port

    def send(self, index, now=0.0):
        health.record_sent(self.states[index])
        self.policy.sent(self.states[index].target, now)

    def answer(self, index, now, latency_ms=20.0, failed=False, **load):
        report = make_report(**load) if load else None
        answer = health.Answer(latency_ms, failed, report)
        state = self.states[index]
        health.record_answer(state, answer, now, self.median)
        self.policy.answered(state.target, answer, now)

    def exchange(self, index, now, **answer):
        self.send(index, now)
        self.answer(index, now, **answer)

    def settle(self, now=0.0, rounds=20, in_flight=4, **latency_by_id):
        """Let every target answer ``rounds`` times with the same load."""
        for _ in range(rounds):
            for index in range(len(self.states)):
                latency = latency_by_id.get(f't{index}', 20.0)
                self.exchange(
                    index, now, latency_ms=latency, in_flight=in_flight
                )

    def chosen(self, now, times=50):
        return collections.Counter(self.choose(now) for _ in range(times))


def make_report(in_flight=0, latency=20.0, boot='b'):
    return targets.LoadReport(in_flight, 6, boot, latency_ms=latency)


@pytest.fixture
def entry():
    return Entry(default_policy.DefaultPolicy, 5)


@pytest.mark.parametrize('policy_type', POLICIES)
class TestEveryPolicy:
    def test_no_candidate_is_an_error(self, policy_type):
        """Guards against an exception while the daemon routes a request."""
        policy = policy_type()
        choice = policy.choose([], 0.0, random.Random(1))
        assert choice.failure().kind == 'no-target'

    def test_choice_is_a_candidate_and_idle_targets_are_all_used(
        self, policy_type
    ):
        """Guards against entries that all start at the same target."""
        first = {
            Entry(policy_type, 4).policy.choose(
                Entry(policy_type, 4).states, 0.0, random.Random(seed)
            )
            for seed in range(40)
        }
        assert len(first) == 4
        assert Entry(policy_type, 1).choose() == 0

    def test_late_answer_of_a_forgotten_target_is_harmless(self, policy_type):
        """Guards against errors and negative counts after a late answer."""
        entry = Entry(policy_type, 2)
        entry.send(0)
        entry.policy.forget('t0')
        entry.answer(0, 1.0, in_flight=0)
        entry.exchange(0, 2.0, in_flight=0)
        assert entry.choose(2.0) in (0, 1)

    def test_fast_failures_do_not_attract_requests(self, policy_type):
        """Guards against a failing target that attracts all requests."""
        entry = Entry(policy_type, 4)
        entry.settle(rounds=5, in_flight=2)
        for second in range(1, 11):
            for _ in range(2):
                entry.exchange(
                    0, second, latency_ms=0.5, failed=True, in_flight=0
                )
            for index in (1, 2, 3):
                entry.exchange(index, second, in_flight=2)
        for state in entry.states:
            report = make_report(2 if state.target.port else 0)
            entry.policy.probed(state.target, report, 10.0)
        assert entry.chosen(10.0, 200)[0] <= 75


class TestDefaultPolicy:
    def test_lowest_recent_report_and_own_requests_decide(self, entry):
        """Guards against sending all requests to the last reporting target."""
        entry.settle()
        entry.exchange(3, 0.1, in_flight=1)
        for index in (0, 1, 2, 4):
            entry.exchange(index, 0.1, in_flight=3)
        assert set(entry.chosen(0.1)) == {3}
        for _ in range(3):
            entry.send(3, 0.1)
        assert 3 not in entry.chosen(0.1)

    def test_old_report_loses_weight(self, entry):
        """Guards against routing by a report of requests long finished."""
        entry.settle()
        entry.exchange(3, 0.1, in_flight=0)
        assert set(entry.chosen(0.1)) == {3}
        entry.exchange(2, 0.5, in_flight=2)
        assert set(entry.chosen(0.5)) == {2}

    def test_without_reports_own_requests_decide(self, entry):
        """Guards against unbalanced load in a service without load headers."""
        for _ in range(20):
            index = entry.choose()
            entry.send(index)
        assert {s.own_in_flight for s in entry.states} == {4}

    def test_own_requests_are_a_lower_bound_of_the_load(self, entry):
        """Guards against trusting a report lower than what this entry sent."""
        entry.settle(in_flight=1)
        for _ in range(9):
            entry.send(1, 0.1)
        entry.policy.probed(entry.states[1].target, make_report(0), 0.11)
        for index in (0, 2, 3, 4):
            entry.exchange(index, 0.11, in_flight=4)
        assert 1 not in entry.chosen(0.11)

    def test_late_answers_of_a_forgotten_target_are_not_counted(self):
        """Guards against a target that looks idle by a negative count."""
        entry = Entry(default_policy.DefaultPolicy, 2)
        entry.send(0)
        entry.policy.forget('t0')
        entry.send(0)
        entry.answer(0, 0.0)
        entry.answer(0, 0.0)
        entry.send(0)
        assert set(entry.chosen(0.0)) == {1}

    @pytest.mark.parametrize('reported', [20.0, 1.0, 200.0])
    def test_slow_target_is_avoided_then_retried(self, entry, reported):
        """Guards against using a slow target because of what it reports."""
        entry.settle(t1=200.0)
        entry.exchange(1, 0.1, latency_ms=200.0, in_flight=0, latency=reported)
        assert 1 not in entry.chosen(0.1)
        assert 1 not in entry.chosen(3.0)
        later = 6 * default_policy.PENALTY_DURATION_S
        assert 1 in entry.chosen(later)

    def test_probe_shows_slowness_without_requests(self, entry):
        """Guards against detecting a slow target only by slow responses."""
        entry.settle()
        target = entry.states[1].target
        entry.policy.probed(target, make_report(0, 200.0), 0.1)
        assert 1 not in entry.chosen(0.1)
        entry.policy.probed(target, make_report(0, 200.0, 'new'), 0.2)
        entry.policy.probed(target, make_report(0, 20.0, 'newer'), 0.2)
        assert set(entry.chosen(0.2)) == {1}

    def test_report_that_contradicts_own_requests_is_distrusted(self, entry):
        """Guards against a target that always reports that it is idle."""
        entry.settle(in_flight=2)
        for _ in range(5):
            entry.send(1, 0.05)
        entry.answer(1, 0.1, in_flight=0)
        for _ in range(4):
            entry.answer(1, 0.1, in_flight=0)
        for index in (0, 2, 3, 4):
            entry.exchange(index, 0.1, in_flight=2)
        assert 1 not in entry.chosen(0.1)

    def test_load_of_a_distrusted_target_follows_own_requests(self, entry):
        """Guards against ignoring the requests of other entries."""
        for index, count in enumerate((2, 8, 2, 2, 2)):
            for _ in range(count):
                entry.send(index)
        entry.settle(in_flight=6)
        entry.policy.probed(entry.states[1].target, make_report(0), 0.01)
        for index in (0, 2, 3, 4):
            entry.exchange(index, 0.01, in_flight=9)
        assert 1 not in entry.chosen(0.01)

    def test_false_reports_do_not_shift_the_baselines(self, entry):
        """Guards against targets that look slow because another misreports."""
        entry.settle(rounds=5)
        for _ in range(300):
            entry.exchange(1, 0.1, in_flight=0, latency=0.5)
        for index in (0, 2, 3, 4):
            entry.exchange(index, 0.1, in_flight=0)
        assert len(entry.chosen(0.1)) == 5

    def test_unresponsive_target_is_avoided(self, entry):
        """Guards against requests to a target that stopped answering."""
        entry.settle(in_flight=5)
        entry.send(1, 0.1)
        entry.policy.probed(entry.states[1].target, make_report(0), 0.5)
        for index in (0, 2, 3, 4):
            entry.exchange(index, 0.5, in_flight=5)
        assert 1 not in entry.chosen(0.5)

    def test_all_of_many_candidates_are_used(self):
        """Guards against a scan limit that leaves targets out."""
        entry = Entry(default_policy.DefaultPolicy, 100)
        for _ in range(600):
            entry.send(entry.choose())
        counts = [state.own_in_flight for state in entry.states]
        assert min(counts) >= 4 and max(counts) <= 8
        entry.policy.probed(entry.states[0].target, make_report(0), 0.0)
        for state in entry.states[1:]:
            entry.policy.probed(state.target, make_report(6), 0.0)
        part = default_policy.SCAN_LIMIT / 100
        assert abs(entry.chosen(0.0, 1000)[0] / 1000 - part) < 0.06
