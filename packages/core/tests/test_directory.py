"""Registrations that arrive late, twice or not at all."""

import dataclasses

import pytest

from dragonflyslip_core import directory

BASE = directory.Registration(
    target_id='t1',
    service='casebook',
    host='127.0.0.1',
    port=80,
    failure_domain='a',
    slots=6,
    draining=False,
    cold_s=0.0,
    started_at_ms=1_000,
    sequence=10,
)


def _registered(**fields) -> directory.Registration:
    return dataclasses.replace(BASE, **fields)


class TestRegister:
    @pytest.mark.parametrize(
        ('later', 'draining'),
        [
            # Late records of the same process.
            ({'sequence': 9, 'draining': False}, True),
            ({'sequence': 10, 'draining': False}, True),
            ({'sequence': 11, 'draining': False}, False),
            # The sequence restarts when the target restarts.
            (
                {'sequence': 1, 'started_at_ms': 2_000, 'draining': False},
                False,
            ),
            ({'sequence': 99, 'started_at_ms': 900, 'draining': False}, True),
        ],
    )
    def test_only_newer_records_are_accepted(self, later, draining):
        # Guards against a late record that restores a draining target.
        known = directory.Directory()
        known.register(_registered(draining=True), 0.0)
        known.register(_registered(**later), 1.0)
        assert known.targets['t1'].registration.draining is draining

    def test_late_record_does_not_restore_a_removed_target(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        known.remove('t1', 1.0)
        known.register(_registered(sequence=9), 2.0)
        assert known.usable_targets('casebook') == []

    def test_repeated_registration_is_not_a_change(self):
        known = directory.Directory()
        assert known.register(BASE, 0.0)
        assert not known.register(_registered(sequence=11), 1.0)

    def test_other_version_is_a_change(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        assert known.register(_registered(sequence=11, version='v2'), 1.0)


class TestRestart:
    def test_newer_process_under_the_id_ends_the_known_one(self):
        """Guards against an end that only the registration shows."""
        known = directory.Directory()
        restarts = []
        known.on_restart = lambda *restart: restarts.append(restart)
        known.register(BASE, 0.0)
        known.register(_registered(sequence=11), 1.0)
        assert restarts == []
        known.remove('t1', 2.0)
        known.register(_registered(started_at_ms=2_000, sequence=1), 3.0)
        assert restarts == [('t1', 1_000)]


class TestRemove:
    def test_new_record_cancels_a_removal_after_an_outage(self):
        # Guards against the loss of all targets after a registry outage.
        known = directory.Directory()
        known.register(BASE, 0.0)
        known.registry_recovered(10.0)
        known.remove('t1', 10.1)
        assert known.usable_targets('casebook')
        known.register(_registered(sequence=11), 11.0)
        assert known.expire(20.0) == []
        assert known.usable_targets('casebook')

    def test_delayed_removal_takes_effect_after_the_grace_period(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        known.registry_recovered(10.0)
        known.remove('t1', 10.1)
        assert known.expire(10.0 + directory.REMOVAL_GRACE_S) == ['t1']
        assert known.usable_targets('casebook') == []

    def test_draining_target_is_removed_without_grace_period(self):
        known = directory.Directory()
        known.register(_registered(draining=True), 0.0)
        known.registry_recovered(10.0)
        known.remove('t1', 10.1)
        assert known.targets == {}

    def test_complete_list_removes_other_targets(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        other = _registered(target_id='t2')
        assert known.replace([other], 1.0) == ['t1']
        assert list(known.targets) == ['t2']


class TestEras:
    """Complete lists of a registry that came back from an older copy."""

    LATER = 10.0 + directory.REMOVAL_GRACE_S

    def _known(self, **fields) -> directory.Directory:
        known = directory.Directory()
        known.replace([_registered(**fields)], 0.0, era=0)
        return known

    def test_lost_target_has_time_to_register_again(self):
        # Guards against the loss of live targets whose registration was
        # written after the copy.
        known = self._known()
        for now in (10.0, 10.1):
            # Another provider may send the same list once more.
            assert known.replace([], now, era=1) == ['t1']
            assert known.usable_targets('casebook')
        assert known.expire(self.LATER - 0.01) == []
        assert known.expire(self.LATER) == ['t1']
        assert known.usable_targets('casebook') == []

    @pytest.mark.parametrize('now', [11.0, 20.0])
    def test_lost_target_may_register_with_its_last_report(self, now):
        known = self._known()
        known.replace([], 10.0, era=1)
        known.expire(now)
        known.register(_registered(sequence=9), now)
        assert ('t1' in known.targets) is (now < self.LATER)
        known.register(BASE, now)
        assert known.expire(30.0) == []
        assert known.usable_targets('casebook')

    def test_draining_target_gets_no_time(self):
        known = self._known(draining=True)
        known.replace([], 10.0, era=1)
        assert known.targets == {}

    @pytest.mark.parametrize('removed_at', [10.1, 13.0])
    def test_removal_in_the_new_era_takes_effect_at_once(self, removed_at):
        # Guards against a target that stays in use for the grace period
        # although it was removed after the change.
        known = self._known()
        known.replace([], 10.0, era=1)
        known.expire(removed_at)
        known.remove('t1', removed_at)
        assert known.targets == {}
        # The next copy is from before the removal.
        known.replace([BASE], 14.0, era=2)
        assert known.targets == {}

    def test_removed_or_draining_target_is_not_brought_back(self):
        known = self._known()
        known.register(_registered(sequence=11, draining=True), 1.0)
        known.replace([BASE], 10.0, era=1)
        assert known.usable_targets('casebook') == []
        known.remove('t1', 11.0)
        known.replace([_registered(sequence=11)], 12.0, era=2)
        assert known.targets == {}

    def test_domain_stays_out_for_a_time(self):
        known = self._known()
        known.list_domains_out(frozenset('a'), 1.0, era=0)
        assert known.list_domains_out(frozenset(), 10.0, era=1) == []
        assert known.list_domains_out(frozenset(), 20.0, era=1) == []
        assert known.usable_targets('casebook') == []
        held_until = 10.0 + directory.DOMAIN_HOLD_S
        assert known.expire_domains(held_until - 0.01) == []
        assert known.expire_domains(held_until) == ['a']
        assert known.usable_targets('casebook')

    @pytest.mark.parametrize('out', [True, False])
    def test_record_of_a_domain_ends_its_hold(self, out):
        known = self._known()
        known.list_domains_out(frozenset('a'), 1.0, era=0)
        known.list_domains_out(frozenset(), 10.0, era=1)
        assert known.set_domain_out('a', out) is not out
        assert known.expire_domains(50.0) == []
        assert known.is_usable('t1', 'casebook') is not out
        known.list_domains_out(frozenset(), 51.0, era=1)
        assert known.is_usable('t1', 'casebook')


class TestUsable:
    def test_domain_out_of_service_is_unused_until_it_is_back(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        known.set_domain_out('a', True)
        assert known.usable_targets('casebook') == []
        assert not known.is_usable('t1', 'casebook')
        known.set_domain_out('a', False)
        assert known.usable_targets('casebook')

    def test_targets_are_listed_by_version(self):
        """Guards against an index that keeps targets no longer usable."""
        known = directory.Directory()
        known.register(BASE, 0.0)
        for number, version in enumerate(('v1', 'v2', 'v2')):
            other = _registered(target_id=f'v{number}', version=version)
            known.register(other, 0.0)
        other = _registered(target_id='x', version='v1', service='grantdesk')
        known.register(other, 0.0)

        def listed() -> dict[str, list[str]]:
            index = known.usable_by_version('casebook')
            return {
                version: [target.target_id for target in targets]
                for version, targets in index.items()
            }

        assert listed() == {'': ['t1'], 'v1': ['v0'], 'v2': ['v1', 'v2']}
        # A target restarts with another version, and one leaves.
        known.register(
            _registered(target_id='v1', version='v3', started_at_ms=2_000), 1.0
        )
        known.set_leaving('v0')
        assert listed() == {'': ['t1'], 'v3': ['v1'], 'v2': ['v2']}
        assert known.usable_by_version('nowhere') == {}

    def test_target_belongs_to_its_service_only(self):
        known = directory.Directory()
        known.register(BASE, 0.0)
        known.register(_registered(sequence=11, service='grantdesk'), 1.0)
        assert known.usable_targets('casebook') == []
        assert not known.is_usable('t1', 'casebook')
