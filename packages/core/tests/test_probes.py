"""Tests that probes stay within their budget and results expire."""

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyslip_core import probes
from dragonflyslip_core import targets

ENTRIES = 3
PER_TARGET = 2.0
FLEET = 5.0


def make_budget(share, bytes_per_s=1e6):
    budget = probes.ProbeBudget(PER_TARGET, FLEET, bytes_per_s, 100)
    budget.set_share(share, 0.0)
    return budget


def make_states(*names):
    return [
        targets.TargetState(targets.Target(name, 's', '127.0.0.1', 1, 'd'))
        for name in names
    ]


def report(in_flight):
    return targets.LoadReport(in_flight=in_flight, slots=6, boot_id='b')


class TestProbeBudget:
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, ENTRIES - 1),
                strategies.sampled_from('abcdef'),
                strategies.floats(0.0, 0.5),
                strategies.sampled_from(['take', 'take', 'forget', 'share']),
            ),
            max_size=200,
        )
    )
    def test_fleet_stays_within_the_rate_in_every_interval(self, steps):
        """Guards against overspending when targets or shares change."""
        budgets = [make_budget(1.0 / ENTRIES) for _ in range(ENTRIES)]
        now, sent = 0.0, []
        for entry, target, gap, action in steps:
            now += gap
            if action == 'forget':
                budgets[entry].forget(target)
            elif action == 'share':
                budgets[entry].set_share(1.0 / ENTRIES, now)
            elif budgets[entry].take(target, now):
                sent.append((now, target))
        for name, rate in [(None, FLEET), *((c, PER_TARGET) for c in 'abc')]:
            times = [at for at, target in sent if name in (None, target)]
            for first, start in enumerate(times):
                for last in range(first, len(times)):
                    allowed = rate * (times[last] - start) + ENTRIES
                    assert last - first + 1 <= allowed + 1e-6

    def test_new_budget_starts_empty(self):
        """Guards against a burst of probes when entries restart together."""
        budget = probes.ProbeBudget(5.0, 100.0, 50_000.0, 500)
        budget.set_share(1.0, 0.0)
        assert not budget.take('t', 0.0)
        assert not budget.take('t', 0.1)
        assert budget.take('t', 0.3)

    def test_no_share_means_no_probe(self):
        """Guards against probes of an entry without agreement with peers."""
        budget = make_budget(0.0)
        assert not any(budget.take('a', float(t)) for t in range(1000))

    @pytest.mark.parametrize(
        ('names', 'bytes_per_s', 'rate'),
        [('abcdef', 1e6, FLEET), ('a', 1e6, PER_TARGET), ('abcdef', 50, 0.5)],
    )
    def test_tightest_of_the_three_limits_applies(
        self, names, bytes_per_s, rate
    ):
        """Guards against a limit that is configured but not enforced."""
        budget = make_budget(1.0, bytes_per_s)
        sent = sum(
            budget.take(name, step / 100)
            for step in range(2001)
            for name in names
        )
        assert 0.9 * rate * 20 <= sent <= rate * 20

    def test_idle_time_accumulates_one_probe(self):
        """Guards against a burst of probes after a long idle time."""
        budget = make_budget(1.0)
        assert not any(budget.take(name, 0.0) for name in 'abc')
        assert sum(budget.take(name, 1e4) for name in 'aabbcc') == 1

    def test_refused_probe_takes_from_no_bucket(self):
        """Guards against using up the fleet's tokens for one target."""
        budget = make_budget(1.0)
        assert not budget.take('a', 0.0) and not budget.take('b', 0.0)
        assert budget.take('a', 1.0)
        assert not budget.take('a', 1.25)
        assert budget.take('b', 1.25)


class TestProbeSchedule:
    def test_suspected_first_then_oldest_report(self):
        """Guards against probing targets whose load is already known."""
        states = make_states('fresh', 'old', 'suspected')
        states[0].reported_at, states[1].reported_at = 9.0, 2.0
        states[2].reported_at, states[2].suspected = 9.5, True
        schedule = probes.ProbeSchedule(make_budget(1.0))
        assert schedule.next_target(states, 10.0) is None
        order = [
            schedule.next_target(states, now).instance_id
            for now in (11.0, 11.24, 11.48)
        ]
        assert order == ['suspected', 'old', 'fresh']


class TestProbePool:
    def test_result_is_dropped_when_old_or_used_up(self):
        """Guards against an outdated result that attracts all requests."""
        pool = probes.ProbePool(max_age_s=1.0, max_uses=2, size=2)
        pool.add('a', report(0), 0.0)
        pool.use('a')
        assert pool.live(0.5)['a'].sends == 1
        pool.use('a')
        assert 'a' not in pool.live(0.5)
        pool.add('a', report(1), 1.0)
        pool.add('b', report(2), 1.5)
        assert list(pool.live(2.2)) == ['b']
        pool.add('c', report(2), 2.2)
        pool.add('d', report(2), 2.2)
        assert list(pool.live(2.2)) == ['c', 'd']
