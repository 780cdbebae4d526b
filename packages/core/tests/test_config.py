"""Acceptance rule: all entries derive the same state from the log.

Guards against entries that diverge after concurrent changes or invalid
records.
"""

import json
import uuid

import pytest
from returns import pipeline

from dragonflyslip_core import changes
from dragonflyslip_core import config
from dragonflyslip_core import models
from dragonflyslip_core import targets


def change(number, kind, name, version, **body):
    return changes.ConfigChange(
        change_id=str(uuid.UUID(int=number)),
        author='ana',
        at_ms=number,
        kind=changes.Kind(kind),
        name=name,
        expected_version=version,
        body=changes.BODY_MODELS[changes.Kind(kind)](**body),
    )


def apply_all(*records):
    state = config.ConfigState()
    results = [
        config.apply_record(
            state,
            offset,
            item if type(item) is bytes else changes.encode_change(item),
        )
        for offset, item in enumerate(records, start=1)
    ]
    return state, results


def outcome_of(applied):
    if type(applied) is config.Ignored:
        return applied.reason.value
    return type(applied).__name__


P1 = change(1, 'profile', 'p', 0, slots=3)


class TestAcceptanceRule:
    @pytest.mark.parametrize(
        ('second', 'expected', 'slots'),
        [
            (change(2, 'profile', 'p', 1, slots=4), 'Applied', 4),
            (change(2, 'profile', 'p', 0, slots=4), 'Rejected', 3),
            (change(2, 'profile', 'p', 2, slots=4), 'Rejected', 3),
            (change(1, 'profile', 'p', 1, slots=4), 'repeated', 3),
            (change(2, 'service', 's', 0, profile='q'), 'invalid', 3),
            (change(2, 'domain', 'p', 0, in_service=False), 'Applied', 3),
            (b'{"kind":"checkpoint"', 'invalid', 3),
            (b'{"kind":"checkpoint","body":{"through":1}}', 'invalid', 3),
            (b'', 'invalid', 3),
            (b'[' * 9_000, 'invalid', 3),
            (b' ' * 20_000, 'invalid', 3),
        ],
    )
    def test_result_of_a_second_record(self, second, expected, slots):
        state, (_, applied) = apply_all(P1, second)
        assert outcome_of(applied) == expected
        assert (
            state.items[changes.Kind.PROFILE]['p'].change.body.slots == slots
        )
        assert state.through == 2

    def test_loser_learns_the_change_that_won(self):
        _, (_, applied) = apply_all(P1, change(2, 'profile', 'p', 0, slots=4))
        assert applied.winner == config.Item(1, P1)

    def test_invalid_change_stays_invalid_when_appended_again(self):
        # The author was told that the change is invalid, so a late repeated
        # append must not be accepted after the profile has been created.
        early = change(2, 'service', 's', 0, profile='p')
        state, results = apply_all(early, P1, early)
        assert outcome_of(results[2]) == 'repeated'
        assert state.service('s') is None

    def test_missing_records_are_an_error_and_change_nothing(self):
        state, _ = apply_all(P1)
        with pytest.raises(config.errors.RecordError):
            config.apply_record(state, 3, changes.encode_change(P1))
        assert state.through == 1

    def test_forgotten_change_id_cannot_revert_an_item(self, monkeypatch):
        monkeypatch.setattr(config, 'SEEN_OFFSETS', 2)
        newer = change(2, 'profile', 'p', 1, slots=4)
        state, results = apply_all(P1, newer, b'', b'', P1)
        assert outcome_of(results[4]) == 'Rejected'
        assert list(state.seen.values()) == [5]
        assert state.version_of(changes.Kind.PROFILE, 'p') == 2

    def test_items_without_effect_are_dropped(self, monkeypatch):
        # Guards against a state that grows without bound: instance ids are
        # used only once.
        monkeypatch.setattr(config, 'SEEN_OFFSETS', 4)
        state, _ = apply_all(
            change(1, 'instance', 'out', 0, in_service=False),
            change(2, 'instance', 'back', 0, in_service=False),
            change(3, 'instance', 'back', 2, in_service=True),
            change(4, 'lift_suspect', 'f', 0),
        )
        before = state.digest()
        for offset in range(5, 9):
            config.apply_record(state, offset, b'')
        assert set(state.items[changes.Kind.INSTANCE]) == {'out'}
        assert state.lifted_suspects == state.seen == {}
        assert state.instances_out == {'out'}
        assert state.digest() != before

    @pytest.mark.parametrize(
        'member',
        [
            {'change_id': 'x'},
            {'author': ''},
            {'at': -1},
            {'kind': 'colour'},
            {'name': 'Upper'},
            {'name': ''},
            {'expected_version': 1.5},
            {'expected_version': 2**60},
            {'body': {'slots': 0}},
            {'body': {'colour': 1}},
            {'body': {'probe_rate_fleet': float('nan')}},
            {'extra': 1},
        ],
    )
    def test_malformed_member_is_invalid(self, member):
        members = json.loads(changes.encode_change(P1)) | member
        data = json.dumps(members).encode()
        assert not pipeline.is_successful(changes.parse_change(data))

    def test_audit_tells_who_changed_what_and_is_bounded(self):
        hosts = ('h' * 3_000,)
        state, _ = apply_all(
            P1,
            *[b''] * 61,
            change(2, 'profile', 'p', 1, slots=4),
            change(3, 'service', 's', 0, profile='p', hosts=hosts),
        )
        assert len(state.audit) == config.AUDIT_ENTRIES
        entry = state.audit[-2]
        assert (entry.author, entry.at_ms, entry.offset) == ('ana', 2, 63)
        assert (entry.before, entry.after) == ({'slots': 3}, {'slots': 4})
        assert set(state.audit[-1].after) == {'bytes', 'sha256'}


class TestAccessors:
    STATE, _ = apply_all(
        P1,
        change(2, 'service', 'b', 0, profile='p', hosts=('X.example',)),
        change(3, 'service', 'a', 0, profile='p', hosts=('x.example', 'b')),
        change(4, 'domain', 'd1', 0, in_service=False),
        change(5, 'instance', 'i/1', 0, in_service=False),
        change(6, 'instance', 'i/2', 0, in_service=False),
        change(7, 'instance', 'i/2', 6, in_service=True),
        change(8, 'lift_suspect', 'f' * 64, 0, reason='fixed'),
    )

    @pytest.mark.parametrize(
        ('host', 'service'),
        [
            ('x.EXAMPLE:8080', 'a'),
            ('b', 'b'),
            ('a:1', 'a'),
            ('y.example', None),
            ('[::1]:80', None),
            ('', None),
        ],
    )
    def test_host_selects_a_service(self, host, service):
        found = self.STATE.service_for_host(host)
        assert (found and found.name) == service

    @pytest.mark.parametrize(
        ('instance', 'domain', 'expected'),
        [
            ('i/1', 'd2', False),
            ('i/2', 'd2', True),
            ('i/2', 'd1', False),
            ('i/3', 'd2', True),
        ],
    )
    def test_target_out_of_service(self, instance, domain, expected):
        target = targets.Target(instance, 'a', '127.0.0.1', 1, domain)
        assert self.STATE.is_in_service(target) is expected

    def test_profile_and_lifted_suspects(self):
        assert self.STATE.profile_of('a').slots == 3
        assert self.STATE.profile_of('c') is None
        assert self.STATE.lifted_suspects == {'f' * 64: 8}

    def test_operator_check_refuses_an_unknown_profile(self):
        bad = change(9, 'service', 'c', 0, profile='none')
        assert not pipeline.is_successful(config.check_change(self.STATE, bad))
        body = models.ServiceModel(profile='p')
        good = changes.ConfigChange('0' * 32, 'x', 1, bad.kind, 'c', 0, body)
        assert pipeline.is_successful(config.check_change(self.STATE, good))
