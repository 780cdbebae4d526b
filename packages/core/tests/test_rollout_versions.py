"""Targets that a request may use by their versions, at one entry."""

import random

import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts

ORDER = rollouts.RolloutOrder('s', 'v2', 12.0, feeds.Position(0, 7))
Stage = rollouts.Stage
NEW, NONE = rollouts.Group.NEW, rollouts.Group.NONE


def _targets(version, count=4, slots=4, **fields):
    return [
        rollouts.VersionedTarget(
            f'{version}.{number}', version, slots, 'abc'[number % 3], **fields
        )
        for number in range(count)
    ]


def _rollout(stage=None, superseded=(), **fields):
    decision = None
    if stage is not None:
        decision = rollouts.Decision(
            ORDER,
            3,
            stage,
            superseded,
            rollouts.Reason.ORDERED,
            rollouts.Figures(),
            'g',
            1.0,
        )
    return rollouts.Rollout(ORDER, 0.0, decision, **fields)


def _filter(rollout=None, versions=('v1', 'v2'), advised_at=1.0, count=4):
    """Return a filter whose versions appeared long ago."""
    found = rollouts.VersionFilter()
    targets = []
    for version in versions:
        targets += _targets(version, count)
        found.set_targets('s', targets, -10.0)
    if rollout is not None:
        found.set_rollout('s', rollout, 0.0)
        _advise(found, advised_at)
    return found


def _advise(found, now, hold=False, candidate='c', cut_off=False):
    advice = rollouts.Advice(candidate, ORDER.position, hold, 0)
    found.record_advice('s', advice, now, cut_off)


def _shares(found, now, count=2_000):
    """Return the fractions of the requests by group and versions."""
    rng = random.Random(5)
    shares = {}
    for _ in range(count):
        assignment = found.assign('s', rng, now)
        names = assignment.targets
        versions = 'all'
        if names is not None:
            versions = '+'.join(sorted({name[:2] for name in names}))
        key = assignment.group, versions
        shares[key] = shares.get(key, 0.0) + 1 / count
    return shares


class TestVersionFilter:
    def test_service_with_one_version_is_not_restricted(self):
        # Guards against a cost for each request without a rollout.
        found = _filter(versions=('v1',))
        rng = random.Random(1)
        assert found.assign('s', rng, 0.0) is rollouts.UNRESTRICTED
        assert found.assign('x', rng, 0.0) is rollouts.UNRESTRICTED
        assert found.permits('s', rollouts.UNRESTRICTED, 'v1.0', 0.0)
        assert rng.random() == random.Random(1).random()

    @pytest.mark.parametrize(
        ('rollout', 'versions'),
        [
            (None, 'all'),
            (_rollout(), 'v1'),
            (_rollout(Stage.HELD), 'v1'),
            (_rollout(Stage.SHARE_50, withdrawn=True), 'v1'),
            (_rollout(Stage.LAST, withdrawn=True), 'v1'),
            (_rollout(Stage.ROLLED_BACK), 'v1'),
            (_rollout(Stage.SUCCEEDED, ('v1',)), 'v2'),
            (_rollout(Stage.HELD, ('v1',)), 'v2'),
        ],
    )
    def test_versions_that_all_requests_use(self, rollout, versions):
        # Guards against traffic to a version before its stage, after its
        # rollback, or to a superseded one, and against a service without any
        # version: the last order replaces a version that is excluded.
        found = _filter(rollout)
        used = {key[1] for key in _shares(found, 1.0, 100)}
        assert used == {versions}
        for version in ('v1', 'v2'):
            permitted = found.permits(
                's', rollouts.UNRESTRICTED, f'{version}.0', 1.0
            )
            assert permitted is (versions in ('all', version))

    @pytest.mark.parametrize(
        ('stage', 'now', 'share'),
        [
            (Stage.SHARE_8, 1.0, 0.08),
            (Stage.SHARE_50, 2.5, 0.5),
            # No candidate has responded for 1.5 s; the duration is over.
            (Stage.SHARE_50, 2.6, 0.0),
            (Stage.LAST, 99.0, 1.0),
        ],
    )
    def test_share_of_each_stage(self, stage, now, share):
        # Guards against an entry that holds an old stage and is cut off.
        shares = _shares(_filter(_rollout(stage)), now)
        new = shares.get((NEW, 'v2'), 0.0)
        assert abs(new - share) < 0.02
        control = shares.get((rollouts.Group.CONTROL, 'v1'), 0.0)
        assert abs(control - (1.0 - share) * (share > 0.0)) < 0.02

    def test_share_ends_with_the_duration(self):
        found = _filter(_rollout(Stage.SHARE_50), advised_at=12.0)
        assert set(_shares(found, 12.0)) == {(NONE, 'v1')}

    @pytest.mark.parametrize('stage', [Stage.SHARE_25, Stage.LAST])
    def test_hold_reverts_every_stage(self, stage):
        # Guards against requests to a bad version while the store is down.
        found = _filter(_rollout(stage))
        _advise(found, 2.0, hold=True)
        _advise(found, 2.0, candidate='d')
        assert set(_shares(found, 2.0)) == {(NONE, 'v1')}
        assert found.stage('s', 2.0) is Stage.HELD
        # A candidate that fell silent is overruled by the others, not by time.
        assert set(_shares(found, 9.0)) == {(NONE, 'v1')}
        _advise(found, 9.0, candidate='d')
        assert found.stage('s', 9.0) is stage

    def test_own_advice_is_no_connection(self):
        # Guards against a candidate that is cut off and keeps the old stage
        # on its own advice.
        found = _filter(_rollout(Stage.SHARE_50))
        _advise(found, 5.0, cut_off=True)
        assert set(_shares(found, 5.0)) == {(NONE, 'v1')}

    @pytest.mark.parametrize(
        ('stage', 'versions'),
        [(Stage.SHARE_25, 'v1'), (Stage.LAST, 'v2'), (None, 'v1')],
    )
    def test_repeat_goes_where_it_cannot_harm(self, stage, versions):
        # Guards against retries at the version that failed, and against
        # requests at old targets that are about to be stopped.
        found = _filter(_rollout(stage))
        repeat = found.assign_repeat('s', 1.0)
        assert repeat.group is NONE
        assert {name[:2] for name in repeat.targets} == {versions}

    def test_stage_may_change_between_choice_and_write(self):
        # Guards against a request to a version that was rolled back, or to an
        # old target after the last stage, while it waits for its target.
        found = _filter(_rollout(Stage.SHARE_50))
        rng = random.Random(1)
        assigned = {
            a.group: a
            for a in (found.assign('s', rng, 1.0) for _ in range(50))
        }
        new = assigned[NEW]
        control = assigned[rollouts.Group.CONTROL]
        for stage, of_new, of_control in (
            (Stage.SHARE_50, (False, True), (True, False)),
            (Stage.LAST, (False, True), (False, True)),
            (Stage.ROLLED_BACK, (True, False), (True, False)),
        ):
            found.set_rollout('s', _rollout(stage), 1.0)
            for assignment, permitted in (
                (new, of_new),
                (control, of_control),
            ):
                assert permitted == tuple(
                    found.permits('s', assignment, name, 1.0)
                    for name in ('v1.0', 'v2.0')
                )

    def test_hold_applies_to_requests_that_wait_for_a_target(self):
        found = _filter(_rollout(Stage.SHARE_50))
        rng = random.Random(1)
        while (assigned := found.assign('s', rng, 1.0)).group is not NEW:
            pass
        _advise(found, 1.0, hold=True)
        assert not found.permits('s', assigned, 'v2.0', 1.0)
        repeat = found.assign_repeat('s', 1.0)
        assert found.permits('s', repeat, 'v1.0', 1.0)


class TestAppearance:
    def test_version_beside_others_waits(self):
        # Guards against an even split in the time before the order arrives.
        found = _filter(versions=('v1',))
        found.set_targets('s', _targets('v1') + _targets('v2'), 5.0)
        assert set(_shares(found, 6.4, 50)) == {(NONE, 'v1')}
        assert set(_shares(found, 6.5, 1)) == {(NONE, 'all')}

    def test_version_that_is_gone_for_a_while_is_not_new(self):
        # Guards against a pause of all traffic when registrations lapse.
        found = _filter()
        found.set_targets('s', _targets('v2'), 5.0)
        found.set_targets('s', _targets('v1') + _targets('v2'), 6.0)
        assert set(_shares(found, 6.0, 50)) == {(NONE, 'all')}

    def test_start_beside_two_versions(self):
        # Guards against an entry that starts between the first registration
        # of a version and its order, and sends it half of the requests.
        found = rollouts.VersionFilter()
        targets = _targets('v2', started_at_ms=9) + _targets('v1')
        found.set_targets('s', targets, 0.0)
        assert set(_shares(found, 0.0, 50)) == {(NONE, 'v1')}

    def test_start_during_a_rollout_after_old_targets_restarted(self):
        # Guards against an entry that has no target when it starts.
        found = rollouts.VersionFilter()
        targets = _targets('v1', started_at_ms=9) + _targets('v2')
        found.set_targets('s', targets, 0.0)
        found.set_rollout('s', _rollout(), 0.0)
        assert set(_shares(found, 0.0, 50)) == {(NONE, 'v1')}

    @pytest.mark.parametrize(
        ('first', 'then', 'rollout', 'versions'),
        [
            # Equal start times; the delay goes by no id.
            ([], [('v1', {}), ('v2', {})], None, 'all'),
            # The others drain, at the start and later.
            (
                [],
                [('v1', {'usable': False}), ('v3', {'started_at_ms': 9})],
                *(None, 'all'),
            ),
            (
                [('v1', {})],
                [('v1', {'usable': False}), ('v3', {})],
                *(None, 'all'),
            ),
            # The order excludes one of the others, and one drains.
            (
                [],
                [
                    ('v1', {'usable': False}),
                    ('v2', {}),
                    ('v3', {'started_at_ms': 9}),
                ],
                *(_rollout(Stage.ROLLED_BACK), 'v1+v3'),
            ),
        ],
    )
    def test_delay_leaves_a_usable_target(
        self, first, then, rollout, versions
    ):
        # Guards against requests refused for 1.5 s although a target of a
        # version that nothing excludes could take them.
        found = rollouts.VersionFilter()
        for listed in filter(None, (first, then)):
            targets = [
                t for v, fields in listed for t in _targets(v, **fields)
            ]
            found.set_targets('s', targets, 0.0)
        found.set_rollout('s', rollout, 0.0)
        assert {key[1] for key in _shares(found, 0.0, 50)} == {versions}


class TestSubset:
    @pytest.mark.parametrize(
        ('count', 'stage', 'size'),
        [
            (3, Stage.SHARE_8, 3),
            (16, Stage.SHARE_8, 4),
            (24, Stage.SHARE_25, 6),
            (100, Stage.SHARE_8, 8),
            (100, Stage.SHARE_50, 50),
        ],
    )
    def test_targets_have_their_usual_load(self, count, stage, size):
        # Guards against faults under load that a small share never shows.
        found = _filter(_rollout(stage), count=count)
        rng = random.Random(2)
        targets = {
            assignment.targets
            for assignment in (found.assign('s', rng, 1.0) for _ in range(99))
            if assignment.group is NEW
        }
        assert [len(ids) for ids in targets] == [size]

    def test_larger_share_keeps_the_targets_and_spreads_them(self):
        small, large = (
            _filter(_rollout(stage), count=99)._services['s'].plan(1.0).new
            for stage in (Stage.SHARE_8, Stage.SHARE_25)
        )
        assert small < large
        domains = [int(name.partition('.')[2]) % 3 for name in small]
        assert sorted(map(domains.count, range(3))) == [2, 3, 3]

    def test_without_warm_targets_requests_go_to_the_old_version(self):
        # Guards against a cold target that gets a share of the traffic.
        found = _filter(_rollout(Stage.SHARE_50))
        cold = _targets('v2', warm=False)
        found.set_targets('s', _targets('v1') + cold, 1.0)
        assert {key[1] for key in _shares(found, 1.0)} == {'v1'}


class TestCandidates:
    def test_candidates_are_in_different_domains(self):
        # Guards against a domain that fails with all candidates.
        domains = {f'g{n}': 'abc'[n // 40] for n in range(120)}
        names = rollouts.candidates_of('s', domains)
        assert {domains[name] for name in names} == set('abc')
        others = {rollouts.candidates_of(f's{n}', domains) for n in range(9)}
        assert len(others) == 9
        assert rollouts.rank_of('g0', ('g1', 'g0')) == 1
        assert rollouts.rank_of('g2', ('g1', 'g0')) is None

    def test_next_rank_takes_the_place_of_an_entry_that_is_gone(self):
        domains = {f'g{n}': 'ab'[n % 2] for n in range(6)}
        names = rollouts.candidates_of('s', domains)
        after = rollouts.candidates_of('s', domains, {names[0]})
        assert set(names[1:]) < set(after) <= domains.keys() - {names[0]}
