"""Limits that targets state for the requests of all entries together."""

import itertools
import random

import pytest

from dragonflyslip_core import target_limits

TARGET = 'target-1'
HEALTH = target_limits.Source.HEALTH
REQUEST = target_limits.Source.REQUEST
WINDOW_S = 4.0
STEP_S = 0.01


class Fleet:
    """Entries that send to one target as often as they may.

    :ivar sent: when a request was sent.
    """

    def __init__(self, count, limit):
        self.names = [f'entry-{number}' for number in range(count)]
        self.limit = limit
        self.now = 0.0
        self.sent: list[float] = []
        self.tables = {name: self.start(name) for name in self.names}
        self.set_entries(self.names)

    def start(self, name):
        return target_limits.TargetLimits(name, random.Random(name))

    def set_entries(self, names):
        for table in self.tables.values():
            table.set_entries(frozenset(names))

    def record(self):
        for table in self.tables.values():
            table.record(TARGET, self.limit, HEALTH, self.now)
            table.allows(TARGET, self.now)

    def run(self, duration_s):
        for _ in range(int(duration_s / STEP_S)):
            self.now += STEP_S
            for table in self.tables.values():
                table.record(TARGET, self.limit, HEALTH, self.now)
                while table.take(TARGET, self.now):
                    self.sent.append(self.now)

    def worst_window(self):
        return max(
            (
                sum(start <= time < start + WINDOW_S for time in self.sent)
                for start in self.sent
            ),
            default=0,
        )


def allowed(limit):
    return 1.5 * WINDOW_S * limit + 5


@pytest.fixture
def limits():
    table = target_limits.TargetLimits('entry-1', random.Random(1))
    table.set_entries(frozenset({'entry-1'}))
    return table


class TestFleet:
    @pytest.mark.parametrize('limit', [0.1, 0.5, 1.2, 3.0, 20.0, 300.0])
    @pytest.mark.parametrize('count', [1, 2, 18, 119])
    def test_sum_of_all_entries_keeps_the_limit(self, count, limit):
        fleet = Fleet(count, limit)
        fleet.run(12.0)
        assert fleet.worst_window() <= allowed(limit)
        assert len(fleet.sent) >= 0.75 * (12.0 * limit - 2)

    @pytest.mark.parametrize('limit', [0.5, 1.2, 6.0])
    def test_restarts_and_joins_do_not_add_to_it(self, limit):
        """Guards against a share for each start of an entry."""
        fleet = Fleet(18, limit)
        for number, name in enumerate(itertools.islice(fleet.names, 12)):
            fleet.tables[name] = fleet.start(name)
            fleet.tables[f'new-{number}'] = fleet.start(f'new-{number}')
            fleet.set_entries(fleet.tables)
            fleet.run(1.0)
        assert fleet.worst_window() <= allowed(limit)

    @pytest.mark.parametrize('limit', [0.5, 1.2, 6.0])
    def test_idle_entries_do_not_send_at_once(self, limit):
        """Guards against what all entries together save up."""
        fleet = Fleet(119, limit)
        fleet.record()
        for _ in range(100):
            fleet.now += 1.0
            fleet.record()
        fleet.run(4.0)
        assert fleet.worst_window() <= allowed(limit)

    def test_entry_that_is_not_registered_sends_nothing(self):
        fleet = Fleet(2, 5.0)
        fleet.set_entries([])
        fleet.run(3.0)
        assert fleet.sent == []

    def test_zero_allows_nothing(self):
        fleet = Fleet(18, 0.0)
        fleet.run(5.0)
        assert fleet.sent == []

    def test_pause_of_an_entry_saves_up_little(self):
        fleet = Fleet(1, 1.2)
        fleet.run(1.0)
        fleet.now += 60.0
        fleet.run(4.0)
        assert fleet.worst_window() <= allowed(1.2)


class TestStatements:
    def test_target_without_limit_takes_all(self, limits):
        assert limits.take(TARGET, 0.0)
        assert not limits.has_any

    def test_newest_limit_counts(self, limits):
        limits.record(TARGET, 1.0, HEALTH, 0.0)
        limits.record(TARGET, 3.0, REQUEST, 0.1)
        assert limits.limit(TARGET, 0.2) == 3.0

    def test_response_without_it_ends_it(self, limits):
        assert limits.record(TARGET, 1.0, HEALTH, 0.0)
        limits.record(TARGET, 1.0, REQUEST, 0.1)
        assert limits.record(TARGET, None, HEALTH, 0.2)
        assert limits.limit(TARGET, 0.3) is None

    def test_other_kind_of_response_does_not_end_it(self, limits):
        """Guards against targets that state it in one kind only."""
        limits.record(TARGET, 1.0, REQUEST, 0.0)
        assert not limits.record(TARGET, None, HEALTH, 0.1)
        assert limits.limit(TARGET, 0.2) == 1.0

    def test_old_statement_ends(self, limits):
        limits.record(TARGET, 1.0, REQUEST, 0.0)
        assert limits.limit(TARGET, target_limits.MEMORY_S) is None

    def test_target_that_is_gone_is_forgotten(self, limits):
        limits.record(TARGET, 1.0, HEALTH, 0.0)
        limits.forget(TARGET)
        assert limits.age_s(TARGET, 1.0) == float('inf')
