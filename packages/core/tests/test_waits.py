"""How long a caller has tried, from the wait that it states."""

import random

import pytest

from dragonflyslip_core import waits as wait_types


def _known(route: str = 'lookup', wait_s: float = 3.0):
    waits = wait_types.CallerWaits()
    waits.merge({route: wait_s})
    return waits


class TestWaitedBefore:
    def test_shorter_wait_means_an_earlier_try(self):
        waits = wait_types.CallerWaits()
        for _ in range(wait_types.REPEATS):
            assert waits.waited_before_s('lookup', 3.0) == 0.0
        assert waits.waited_before_s('lookup', 2.2) == pytest.approx(0.8)

    def test_routes_are_apart(self):
        # Guards against callers of one route that count as late because
        # those of another route of the same service wait longer.
        waits = _known('purchase', 4.0)
        for _ in range(wait_types.REPEATS):
            assert waits.waited_before_s('grant', 2.5) == 0.0
        assert waits.usual_s == {'purchase': 4.0, 'grant': 2.5}

    def test_single_long_wait_teaches_nothing(self):
        # Guards against one odd caller that makes all others look late.
        waits = _known()
        waits.waited_before_s('lookup', 30.0)
        assert waits.waited_before_s('lookup', 3.0) == 0.0

    def test_waits_that_shrink_on_the_way_are_learned(self):
        waits = wait_types.CallerWaits()
        rng = random.Random(1)
        for _ in range(20):
            waits.waited_before_s('lookup', 3.0 - rng.uniform(0.0, 0.01))
        assert waits.usual_s['lookup'] == pytest.approx(3.0, abs=0.05)

    def test_rests_of_waits_hardly_teach(self):
        # Guards against a process that starts among callers that return:
        # it must not take their rests for whole waits.
        rng = random.Random(1)
        waits = wait_types.CallerWaits()
        for _ in range(3):
            waits.waited_before_s('lookup', rng.uniform(0.5, 2.5))
        for _ in range(wait_types.REPEATS):
            waits.waited_before_s('lookup', 3.0)
        assert waits.usual_s == {'lookup': 3.0}

    def test_memory_is_bounded(self):
        waits = wait_types.CallerWaits()
        for number in range(1_000):
            waits.waited_before_s('lookup', number * 1.0)
        counts = waits._routes['lookup'].counts
        assert len(counts) <= wait_types.MAX_COUNTED


class TestMerge:
    def test_longer_waits_win(self):
        waits = _known('lookup', 3.0)
        waits.merge({'lookup': 2.0, 'submit': 4.0})
        assert waits.usual_s == {'lookup': 3.0, 'submit': 4.0}

    def test_routes_that_are_gone_are_dropped(self):
        waits = _known('lookup', 3.0)
        waits.keep({'submit'})
        assert waits.usual_s == {}
