"""Tests of domain-aware routing, gradual spill and removal from service."""

import random

import pytest

from dragonflyslip_core import domains
from dragonflyslip_core import targets

SLOTS = 6


def make_state(domain, in_flight=None, **values):
    report = None
    if in_flight is not None:
        state = values.pop('report_state', targets.ReportState.SERVING)
        report = targets.LoadReport(in_flight, SLOTS, 'b', state)
    target = targets.Target(
        values.get('instance_id', 't'),
        's',
        '127.0.0.1',
        1,
        domain,
        values.get('state', targets.InstanceState.LIVE),
    )
    return targets.TargetState(target, report=report)


class TestInService:
    @pytest.mark.parametrize(
        ('values', 'remains'),
        [
            ({}, True),
            ({'domain': 'out'}, False),
            ({'instance_id': 'gone'}, False),
            ({'state': targets.InstanceState.LEAVING}, False),
            (
                {
                    'in_flight': 0,
                    'report_state': targets.ReportState.DRAINING,
                },
                False,
            ),
            (
                {'in_flight': 0, 'report_state': targets.ReportState.WARMING},
                True,
            ),
        ],
    )
    def test_only_targets_in_service_are_kept(self, values, remains):
        """Guards against new work after an operator or target stopped it."""
        state = make_state(**{'domain': 'a', **values})
        kept = domains.in_service([state], {'out'}, {'gone'})
        assert kept == ([state] if remains else [])


class TestDomainSplit:
    def run_near_domain(self, demand, other_load=0.0, seconds=10.0):
        """Run one entry and return how its split develops.

        :param demand: load of all its requests as a fraction of the near
            slots.
        :param other_load: load of other entries as a fraction of near slots.
        :return: the fraction of requests that stays near after each update.
        """
        split = domains.DomainSplit('a')
        rng = random.Random(3)
        fractions = [split.near_fraction]
        for step in range(int(seconds / domains.UPDATE_S)):
            in_flight = SLOTS * (demand * split.near_fraction + other_load)
            states = [make_state('a', in_flight) for _ in range(2)]
            states += [make_state(name, 1) for name in 'bbccdd']
            now = step * domains.UPDATE_S
            chosen = split.select(states, SLOTS, now, rng)
            assert len({s.target.failure_domain for s in chosen}) in (1, 3)
            fractions.append(split.near_fraction)
        return fractions

    @pytest.mark.parametrize(
        ('demand', 'fraction'),
        [(0.0, 1.0), (0.69, 1.0), (0.8, 0.875), (1.4, 0.5), (9.0, 0.25)],
    )
    def test_excess_spills_in_proportion(self, demand, fraction):
        """Guards against spilling everything at once, or too little."""
        fractions = self.run_near_domain(demand)
        assert fractions[-1] == pytest.approx(fraction, abs=0.01)
        steps = [abs(b - a) for a, b in zip(fractions, fractions[1:])]
        assert max(steps) <= 0.16

    def test_load_of_other_entries_causes_spill(self):
        """Guards against overload of a near domain that other entries use."""
        assert self.run_near_domain(0.4, other_load=0.5)[-1] < 0.6

    def test_requests_are_split_by_the_near_fraction(self):
        """Guards against a split that is computed but not applied."""
        split = domains.DomainSplit('a', near_fraction=0.75, updated_at=0.0)
        states = [make_state('a', 5), make_state('b', 1)]
        rng = random.Random(3)
        near = sum(
            split.select(states, SLOTS, 0.0, rng) == states[:1]
            for _ in range(2000)
        )
        assert 1440 <= near <= 1560

    def test_only_near_or_only_far_candidates_are_all_used(self):
        """Guards against an empty selection while a domain is out."""
        split = domains.DomainSplit('a', near_fraction=0.0, updated_at=0.0)
        for name in 'ab':
            states = [make_state(name), make_state(name)]
            assert split.select(states, SLOTS, 0.0, random.Random(1)) == states


class TestSpareCapacity:
    @pytest.mark.parametrize(
        ('loads', 'spare'),
        [
            ({'a': 0, 'b': 0}, 0.5),
            ({'a': 3, 'b': 3}, 0.0),
            ({'a': 6, 'b': 6}, -0.5),
            ({'a': 6}, -1.0),
            ({}, 0.0),
        ],
    )
    def test_largest_domain_counts_as_lost(self, loads, spare):
        """Guards against capacity that does not survive a lost domain."""
        states = [make_state(name, load) for name, load in loads.items()]
        assert domains.spare_capacity(states, SLOTS) == pytest.approx(spare)

    def test_target_without_report_has_the_default_slots(self):
        """Guards against a gauge that ignores targets without a report."""
        states = [make_state('a'), make_state('b')]
        states[0].own_in_flight = 3
        assert domains.spare_capacity(states, SLOTS) == pytest.approx(0.25)
