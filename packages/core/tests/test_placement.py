"""Tests of the choice among targets that have just reported their load."""

import collections
import random

import pytest

from dragonflyslip_core import directory
from dragonflyslip_core import placement

READING = placement.LoadReading


def _option(name, load, healthy=True, cold_s=0.0, failure=0.0, distance=0.0):
    standing = placement.TargetStanding(failure_average=failure)
    reading = placement.HealthReading(name, healthy, load, cold_s)
    return placement.Option(name, reading, standing, distance)


def _chosen(*options):
    best = placement.choose(options, 0.0, random.Random(1))
    return None if best is None else best.target_id


class TestChoose:
    @pytest.mark.parametrize(
        ('better', 'worse'),
        [
            # Current speed, a free slot, a short queue.
            (READING(0, 0, 2, 90), READING(0, 0, 2, 200)),
            (READING(0, 0, 2, 100), READING(1, 0, 2, 100)),
            (READING(1, 0, 6, 100), READING(5, 0, 6, 100)),
            (READING(2, 0, 2, 100), READING(2, 2, 2, 100)),
            # A fast target that is nearly full loses against a normal one.
            (READING(0, 0, 2, 100), READING(1, 0, 2, 80)),
            # A slow idle target loses against a fast busy one.
            (READING(1, 0, 2, 100), READING(0, 0, 2, 400)),
        ],
    )
    def test_target_expected_to_finish_first_is_chosen(self, better, worse):
        # Guards against a wrong weight of speed, free slots or the queue.
        assert _chosen(_option('w', worse), _option('b', better)) == 'b'

    def test_failing_target_is_not_preferred_for_its_speed(self):
        # Guards against a target that attracts traffic by failing quickly.
        fast = _option('fast', READING(0, 0, 6, 50), failure=0.5)
        usual = _option('usual', READING(3, 0, 6, 100))
        assert _chosen(fast, usual) == 'usual'

    def test_unhealthy_target_is_the_last_resort(self):
        # Guards against an outage when health responses are wrong.
        unhealthy = _option('unhealthy', READING(0, 0, 6), healthy=False)
        healthy = _option('healthy', READING(6, 2, 6, 300))
        assert _chosen(unhealthy, healthy) == 'healthy'
        assert _chosen(unhealthy) == 'unhealthy'

    def test_cold_target_is_never_chosen(self):
        # Guards against sending to targets whose load the pacer limits.
        assert _chosen(_option('cold', READING(0, 0, 6), cold_s=1.0)) is None

    def test_own_requests_count_until_a_reading_includes_them(self):
        # Guards against sending many requests to one target by old readings.
        one = _option('one', READING(0, 0, 2))
        one.standing.unseen = 2
        assert _chosen(one, _option('two', READING(1, 0, 2))) == 'two'

    def test_failure_average_decays(self):
        # Guards against avoiding a target for ever after it has failed.
        standing = placement.TargetStanding()
        standing.record(True, 0.0)
        later = placement.FAILURE_HALF_LIFE_S
        assert standing.decayed_failure(later) == pytest.approx(
            standing.decayed_failure(0.0) / 2
        )


def _targets(near: int, far: int) -> list[directory.RegisteredTarget]:
    domains = ['near'] * near + ['far'] * far
    return [
        directory.RegisteredTarget(
            directory.Registration(
                f't{number}', 's', '', 1, domain, 2, False, 0.0, 1, 1
            ),
            0.0,
        )
        for number, domain in enumerate(domains)
    ]


class TestSample:
    @pytest.mark.parametrize('near_first', [False, True])
    @pytest.mark.parametrize(('near', 'far'), [(0, 8), (2, 6), (8, 0)])
    @pytest.mark.parametrize('count', range(10))
    def test_sample_has_the_size_that_was_asked_for(
        self, near_first, near, far, count
    ):
        # Guards against uploads that fail with status 500 when the budget of
        # health probes leaves none for another round of probes.
        found = placement.sample(
            _targets(near, far), 'near', count, near_first, random.Random(1)
        )
        assert len(found) == len({item.target_id for item in found})
        assert len(found) == min(count, near + far)


class TestSubset:
    def test_subset_of_a_small_service_is_all_targets(self):
        # Guards against leaving out targets without need.
        targets = _targets(8, 8)
        assert placement.subset(targets, 'entry-1', 32) == targets

    def test_subsets_cover_all_targets_evenly(self):
        # Guards against targets that few entries use, and against
        # connections from every entry to every target.
        targets = _targets(0, 152)
        counts = collections.Counter(
            target.target_id
            for number in range(119)
            for target in placement.subset(targets, f'entry-{number}', 32)
        )
        assert sum(counts.values()) == 119 * 32
        assert len(counts) == 152
        assert max(counts.values()) <= 2 * 119 * 32 / 152
        assert min(counts.values()) >= 119 * 32 / 152 / 2

    def test_lost_target_changes_one_member_of_the_subset(self):
        # Guards against reopening all connections at each change.
        targets = _targets(0, 152)
        before = {t.target_id for t in placement.subset(targets, 'e', 32)}
        lost = next(t for t in targets if t.target_id in before)
        targets.remove(lost)
        after = {t.target_id for t in placement.subset(targets, 'e', 32)}
        assert len(before - after) == 1
