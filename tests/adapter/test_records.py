"""Decoding of the platform's records, among them malformed ones."""

import json

import pytest
from returns import result

from dragonflyslip_adapter import records
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_emulator import store as store_types
from tests.adapter import conftest

_REGISTRATION = {
    'address': '10.0.0.1:80',
    'born': 1,
    'info': {'service': 'casebook', 'zone': 'zone-a', 'slots': 2},
    'status': {'state': 'ready', 'sequence': 1, 'cold_remaining': '1.5s'},
}


def _registration(**changes) -> bytes:
    return json.dumps({**_REGISTRATION, **changes}).encode()


def _manifest(**route) -> bytes:
    return json.dumps(
        {
            'version': 1,
            'routes': [conftest.route('safe', **route)],
            'services': [{'name': 'casebook', 'health_check_path': '/health'}],
        }
    ).encode()


class TestManifest:
    @pytest.mark.parametrize(
        'name, kind',
        [
            ('safe', manifest_types.RouteKind.IDEMPOTENT),
            ('download', manifest_types.RouteKind.DOWNLOAD),
            ('unsafe', manifest_types.RouteKind.AT_MOST_ONCE),
            ('upload', manifest_types.RouteKind.UPLOAD),
            ('novel', manifest_types.RouteKind.UNKNOWN),
            ('Safe', manifest_types.RouteKind.UNKNOWN),
        ],
    )
    def test_type_is_decoded(self, name, kind):
        found = records.decode_manifest(_manifest(type=name)).unwrap()
        (route,) = found.routes
        assert route.kind is kind
        assert route.kind.repeatable == (name in ('safe', 'download'))

    @pytest.mark.parametrize('type_value', [None, 7, '', ['safe']])
    def test_type_that_is_no_name_is_malformed(self, type_value):
        """Guards against a damaged record that replaces a valid manifest."""
        outcome = records.decode_manifest(_manifest(type=type_value))
        assert isinstance(outcome, result.Failure)

    def test_unknown_fields_are_ignored(self):
        outcome = records.decode_manifest(_manifest(new={'a': [1]}))
        assert isinstance(outcome, result.Success)

    async def test_unknown_service_fails_only_its_part_of_a_route(
        self, platform
    ):
        """Guards against an unknown service that fails a whole manifest."""
        await platform.add_target()
        await platform.add_target('nowhere')
        parts = [
            {'service': name, 'weight': 1.0}
            for name in ('casebook', 'nowhere')
        ]
        await platform.publish(
            platform.route('safe'),
            platform.route('unsafe', traffic_split=parts),
        )
        await platform.start()
        assert (await platform.call()).status == 200
        replies = [await platform.call('/unsafe/1') for _ in range(30)]
        assert {reply.status for reply in replies} == {200, 503}
        assert platform.targets[1].runs == []


class TestOperatorRecords:
    @pytest.mark.parametrize('value', [b'[', b'7', b'{"zone": 1}'])
    async def test_domain_is_out_whatever_its_record_holds(
        self, platform, value
    ):
        """Guards against a domain that stays in use as its record is odd."""
        await platform.add_target(zone='zone-b')
        await platform.publish()
        await platform.start()
        await platform.store.put(
            store_types.OPERATOR_TOPIC, 'evacuate/zone-b', value
        )
        usable = platform.gateway.board.directory.usable_targets
        await platform.until(lambda: not usable('casebook'))

    @pytest.mark.parametrize('value', [b'[', b'{"version": 9}'])
    async def test_record_with_another_key_changes_nothing(
        self, platform, value
    ):
        """Guards against an unknown record that is taken for a manifest."""
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.store.put(store_types.OPERATOR_TOPIC, 'novel/a', value)
        await platform.publish()
        board = platform.gateway.board
        await platform.until(lambda: board.manifest.version == 2)
        assert (await platform.call()).status == 200


class TestRegistration:
    def test_record_is_decoded(self):
        found = records.decode_registration('i-1', _registration()).unwrap()
        assert (found.host, found.port) == ('10.0.0.1', 80)
        assert found.cold_s == 1.5

    @pytest.mark.parametrize(
        ('version', 'decoded'),
        [({'version': 'v2'}, 'v2'), ({}, ''), ({'version': None}, '')],
    )
    def test_version_is_optional(self, version, decoded):
        info = {**_REGISTRATION['info'], **version}
        found = records.decode_registration('i-1', _registration(info=info))
        assert found.unwrap().version == decoded

    def test_unknown_fields_are_ignored(self):
        found = records.decode_registration(
            'i-1', _registration(new={'a': [1]})
        )
        assert isinstance(found, result.Success)

    @pytest.mark.parametrize(
        'value',
        [
            b'',
            b'\xff',
            b'[]',
            b'null',
            b'{"address": ' + b'[' * 100_000,
            _registration()[:-1],
            _registration(address='10.0.0.1'),
            _registration(address='10.0.0.1:80\n'),
            _registration(address=7),
            _registration(address='10.0.0.1:0'),
            _registration(address='10.0.0.1:65536'),
            _registration(born='1'),
            _registration(info={**_REGISTRATION['info'], 'slots': 0}),
            _registration(info={**_REGISTRATION['info'], 'service': ''}),
            _registration(info={**_REGISTRATION['info'], 'version': 2}),
            _registration(status={**_REGISTRATION['status'], 'state': 'gone'}),
            _registration(
                status={**_REGISTRATION['status'], 'cold_remaining': 3}
            ),
            _registration(
                status={**_REGISTRATION['status'], 'cold_remaining': '3 s'}
            ),
            _registration(
                status={**_REGISTRATION['status'], 'sequence': True}
            ),
        ],
        ids=range(19),
    )
    def test_malformed_record_is_a_failure_with_a_reason(self, value):
        """Guards against a malformed record that raises or is accepted."""
        outcome = records.decode_registration('i-1', value)
        assert isinstance(outcome, result.Failure)
        assert outcome.failure().message
