"""Domains: near first, gradual spill, and nothing to domains taken out."""

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
    def test_what_was_taken_out_is_removed(self, values, remains):
        """Guards against new work after an operator or target said stop."""
        state = make_state(**{'domain': 'a', **values})
        kept = domains.in_service([state], {'out'}, {'gone'})
        assert kept == ([state] if remains else [])


class TestDomainSplit:
    def run_near_domain(self, demand, elsewhere=0.0, seconds=10.0):
        """Run an entry whose whole load is ``demand`` of the near slots.

        :return: the part of requests that stayed near, over time.
        """
        split = domains.DomainSplit('a')
        rng = random.Random(3)
        parts = [split.near_part]
        for step in range(int(seconds / domains.UPDATE_S)):
            in_flight = SLOTS * (demand * split.near_part + elsewhere)
            states = [make_state('a', in_flight) for _ in range(2)]
            states += [make_state(name, 1) for name in 'bbccdd']
            now = step * domains.UPDATE_S
            chosen = split.select(states, SLOTS, now, rng)
            assert len({s.target.failure_domain for s in chosen}) in (1, 3)
            parts.append(split.near_part)
        return parts

    @pytest.mark.parametrize(
        ('demand', 'part'),
        [(0.0, 1.0), (0.69, 1.0), (0.8, 0.875), (1.4, 0.5), (9.0, 0.25)],
    )
    def test_excess_spills_in_proportion(self, demand, part):
        """Guards against spilling all at once, or less than its share."""
        parts = self.run_near_domain(demand)
        assert parts[-1] == pytest.approx(part, abs=0.01)
        steps = [abs(b - a) for a, b in zip(parts, parts[1:])]
        assert max(steps) <= 0.16

    def test_load_of_others_spills_too(self):
        """Guards against a near domain that other entries fill."""
        assert self.run_near_domain(0.4, elsewhere=0.5)[-1] < 0.6

    def test_spilled_part_of_requests_matches(self):
        """Guards against a split that is computed and not applied."""
        split = domains.DomainSplit('a', near_part=0.75, updated_at=0.0)
        states = [make_state('a', 5), make_state('b', 1)]
        rng = random.Random(3)
        near = sum(
            split.select(states, SLOTS, 0.0, rng) == states[:1]
            for _ in range(2000)
        )
        assert 1440 <= near <= 1560

    def test_only_near_or_only_far_candidates_are_all_used(self):
        """Guards against an empty choice while a domain is out."""
        split = domains.DomainSplit('a', near_part=0.0, updated_at=0.0)
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
        """Guards against capacity that one lost domain would exceed."""
        states = [make_state(name, load) for name, load in loads.items()]
        assert domains.spare_capacity(states, SLOTS) == pytest.approx(spare)

    def test_target_without_report_has_the_default_slots(self):
        """Guards against a gauge that ignores targets not heard of yet."""
        states = [make_state('a'), make_state('b')]
        states[0].own_in_flight = 3
        assert domains.spare_capacity(states, SLOTS) == pytest.approx(0.25)
