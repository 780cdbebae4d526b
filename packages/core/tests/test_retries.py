"""Retries and hedges: wrong ones run work twice or amplify overload."""

import random

import pytest

from dragonflyslip_core import models
from dragonflyslip_core import profiles
from dragonflyslip_core import retries

PROFILE = profiles.Profile.from_model(
    'p', models.ProfileModel(max_attempts=3, hedge_after_ms=100)
)


def _call(**changes):
    values = {
        'idempotent': True,
        'attempts': 1,
        'body_sent': False,
        'marked': False,
        'deadline': 5.0,
    }
    return retries.CallProgress(**{**values, **changes})


def _filled(policy):
    policy.budget.saved = 5.0
    return policy


REFUSED = [
    ({'idempotent': False}, 'not-idempotent', False),
    ({'body_sent': True}, 'body-sent', False),
    ({'marked': True}, 'other-layer', True),
    ({'attempts': 3}, 'attempts', True),
    ({'deadline': 0.9}, 'deadline', False),
]


class TestRetryBudget:
    @pytest.mark.parametrize('percent', [0.0, 5.0, 10.0, 50.0])
    def test_repeats_stay_under_the_percentage(self, percent):
        """More repeats would amplify the overload that causes them."""
        budget = retries.RetryBudget(percent)
        granted = 0
        for calls in range(1, 1001):
            budget.record_call()
            granted += budget.take()
            assert granted <= calls * percent / 100 + 1e-6
        assert granted == 10 * percent

    def test_saved_repeats_are_bounded(self):
        """A quiet day must not save up enough repeats for a storm."""
        budget = retries.RetryBudget(10.0)
        for _ in range(10_000):
            budget.record_call()
        taken = sum(budget.take() for _ in range(1000))
        assert taken == retries.BUDGET_BURST


class TestRetryPolicy:
    @pytest.mark.parametrize(('changes', 'reason', 'marks'), REFUSED)
    def test_refused(self, changes, reason, marks):
        """A wrong retry runs work twice, too late, or at a second layer."""
        policy = _filled(retries.RetryPolicy.from_profile(PROFILE))
        found = policy.next_attempt(_call(**changes), 1.0, random.Random(1))
        assert (found.reason, found.marks_response) == (reason, marks)
        assert policy.budget.saved == 5.0

    def test_marked_response_stops_the_layers_above(self):
        """Otherwise, in a chain of 8 layers, each would add its retry."""
        policy = _filled(retries.RetryPolicy.from_profile(PROFILE))
        rng = random.Random(1)
        found = policy.next_attempt(_call(), 1.0, rng, response_mark='1')
        assert found == retries.NoRepeat(retries.Denial.OTHER_LAYER)

    def test_next_attempt_must_end_before_the_deadline(self):
        """A retry that cannot end before the deadline is wasted work."""
        policy = _filled(retries.RetryPolicy.from_profile(PROFILE))
        found = policy.next_attempt(_call(), 1.0, random.Random(1), 4.0)
        assert found.reason is retries.Denial.DEADLINE

    def test_empty_budget_marks_the_response(self):
        """Without the mark, the layer above would retry instead."""
        policy = retries.RetryPolicy.from_profile(PROFILE)
        found = policy.next_attempt(_call(), 1.0, random.Random(1))
        assert found.reason is retries.Denial.BUDGET and found.marks_response

    def test_delay_is_spread_around_the_mean(self):
        """Calls that failed together must not be retried together."""
        policy = retries.RetryPolicy(2, 0.02, retries.RetryBudget(50.0))
        rng = random.Random(1)
        delays = []
        for _ in range(500):
            policy.budget.saved = 1.0
            delays.append(policy.next_attempt(_call(), 1.0, rng).at - 1.0)
        assert 0 <= min(delays) < 0.002 and 0.038 < max(delays) <= 0.04
        assert sum(delays) / 500 == pytest.approx(0.02, rel=0.1)


class TestHedgePolicy:
    @pytest.mark.parametrize(('changes', 'reason', 'marks'), REFUSED)
    def test_refused(self, changes, reason, marks):
        """A hedge repeats a call and is refused for the same reasons."""
        policy = _filled(retries.HedgePolicy.from_profile(PROFILE))
        assert policy.hedge_at(_call(**changes), 0.9) is None
        found = policy.next_hedge(_call(**changes), 1.0, free=1, waiting=0)
        assert found == retries.NoRepeat(retries.Denial(reason))

    @pytest.mark.parametrize(
        ('free', 'waiting', 'saved', 'reason'),
        [
            (0, 0, 5.0, 'no-capacity'),
            (1, 1, 5.0, 'no-capacity'),
            (1, 0, 0.5, 'budget'),
        ],
    )
    def test_needs_spare_capacity_and_budget(
        self, free, waiting, saved, reason
    ):
        """Hedges under load would add to the load."""
        policy = retries.HedgePolicy.from_profile(PROFILE)
        policy.budget.saved = saved
        found = policy.next_hedge(_call(), 1.0, free, waiting)
        assert found == retries.NoRepeat(retries.Denial(reason))
        assert policy.budget.saved == saved

    def test_hedge_once_the_delay_has_passed(self):
        """Immediate hedges double the load; none leaves a long tail."""
        policy = _filled(retries.HedgePolicy.from_profile(PROFILE))
        at = policy.hedge_at(_call(), 1.0)
        assert at == pytest.approx(1.1)
        found = policy.next_hedge(_call(), at, 1, 0)
        assert found == retries.Repeat(at, 2) and policy.budget.saved == 4.0

    def test_zero_delay_disables_hedges(self):
        """The default of 0 disables hedges and must not hedge at once."""
        policy = _filled(retries.HedgePolicy(0.0, 2, retries.RetryBudget(5)))
        assert policy.hedge_at(_call(), 1.0) is None
        found = policy.next_hedge(_call(), 1.0, 1, 0)
        assert found == retries.NoRepeat(retries.Denial.DISABLED)
