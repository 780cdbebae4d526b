"""Odd records of other writers, which must not end or mislead a gateway."""

import json

import pytest

from dragonflyslip_emulator import store as store_types
from tests.adapter import conftest

NESTED = b'[' * 100_000
HUGE_NUMBER = '9' * 4_000
HUGE_TIME = '9' * 400 + 's'


def manifest(route: dict | None = None, service: dict | None = None, **fields):
    """Return an encoded manifest with version 1,000 and odd fields."""
    value = {
        'version': 1_000,
        'routes': [conftest.route('safe', **(route or {}))],
        'services': [
            {
                'name': 'casebook',
                'health_check_path': '/health',
                **(service or {}),
            }
        ],
        **fields,
    }
    text = json.dumps(value).replace('"HUGE"', HUGE_NUMBER)
    return text.replace('"INFINITE"', '1e999').encode()


ODD_MANIFESTS = {
    'nested': NESTED,
    'nested-field': b'{"version":1000,"routes":' + NESTED,
    'not-utf-8': b'{"version":1000,"routes":[{"name":"\xff"}]}',
    'huge-version': manifest(version='HUGE'),
    'infinite-version': manifest(version='INFINITE'),
    'negative-version': manifest(version=-1),
    'huge-timeout': manifest({'timeout': HUGE_TIME}),
    'zero-timeout': manifest({'timeout': '0s'}),
    'huge-latency': manifest({'target_latency': HUGE_TIME}),
    'zero-latency': manifest({'target_latency': '0ms'}),
    'huge-priority': manifest({'priority': 'HUGE'}),
    'negative-priority': manifest({'priority': -1}),
    'huge-attempts': manifest({'max_attempts': 'HUGE'}),
    'huge-weights': manifest(
        {'traffic_split': 2 * [{'service': 'casebook', 'weight': 1.7e308}]}
    ),
    'infinite-weight': manifest(
        {'traffic_split': [{'service': 'casebook', 'weight': 'INFINITE'}]}
    ),
    'huge-cold-rate': manifest(service={'cold_per_s': 'HUGE'}),
    'negative-cold-rate': manifest(service={'cold_per_s': -1.0}),
    'health-path-with-line-end': manifest(
        service={'health_check_path': '/a HTTP/1.1\r\nX: y'}
    ),
    'relative-health-path': manifest(service={'health_check_path': 'a'}),
    'negative-limit': manifest(limits={'max_body_bytes': -1}),
    'huge-limit': manifest(limits={'max_body_bytes': 'HUGE'}),
}
ODD_TARGETS = {
    'nested': NESTED,
    'huge-sequence': {'status': {'state': 'ready', 'sequence': 'HUGE'}},
    'huge-start': {'born': 'HUGE'},
    'infinite-start': {'born': 'INFINITE'},
    'huge-cold-time': {
        'status': {
            'state': 'ready',
            'sequence': 1,
            'cold_remaining': HUGE_TIME,
        }
    },
    'port': {'address': '127.0.0.1:99999'},
    'no-address': {'address': '999.1.1.1:80'},
    'huge-slots': {
        'info': {'service': 'casebook', 'zone': 'z', 'slots': 'HUGE'}
    },
}


def registration(target, changes) -> bytes:
    """Return an encoded registration with odd fields."""
    if isinstance(changes, bytes):
        return changes
    value = {**target.next_registration(), **changes}
    text = json.dumps(value).replace('"HUGE"', HUGE_NUMBER)
    return text.replace('"INFINITE"', '1e999').encode()


def gateway_record(incarnation: str, endpoint: str) -> bytes:
    """Return an encoded registration of a gateway."""
    return (
        f'{{"incarnation":{incarnation},"failure_domain":"zone-a",'
        f'"endpoint":"{endpoint}"}}'
    ).encode()


async def assert_serves(platform, gateway) -> None:
    """Assert that a gateway serves requests and its metrics."""
    reply = await platform.call(listen=gateway.options.listen)
    assert reply.status == 200
    url = f'http://{gateway.options.metrics_listen}/metrics'
    async with platform.session.get(url) as response:
        assert response.status == 200


class TestOddRecords:
    @pytest.mark.parametrize('name', ODD_MANIFESTS)
    async def test_odd_manifest_changes_nothing(self, platform, name):
        """Guards against a manifest that ends gateways or their service."""
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.store.put(
            store_types.OPERATOR_TOPIC, 'config', ODD_MANIFESTS[name]
        )
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['skipped_records'] == 1)
        await assert_serves(platform, platform.gateway)
        platform.version = 2_000
        await platform.publish(platform.route('safe'))
        board = platform.gateway.board
        await platform.until(lambda: board.manifest.version == 2_001)

    @pytest.mark.parametrize('name', ODD_TARGETS)
    async def test_odd_target_is_not_used(self, platform, name):
        """Guards against a target that ends all who read the list."""
        target = await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.store.put(
            store_types.TARGET_TOPIC,
            'i-odd',
            registration(target, ODD_TARGETS[name]),
        )
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['skipped_records'] == 1)
        await assert_serves(platform, platform.gateway)
        later = await platform.add_gateway()
        await assert_serves(platform, later)
        added = await platform.add_target()
        known = later.board.directory.targets
        await platform.until(lambda: added.target_id in known)

    @pytest.mark.parametrize(
        'value',
        [
            NESTED,
            gateway_record('1', '127.0.0.1:99999'),
            gateway_record('1e999', '127.0.0.1:9'),
            gateway_record(HUGE_NUMBER, '127.0.0.1:9'),
            b'\xff',
        ],
        ids=['nested', 'port', 'infinite', 'huge', 'not-utf-8'],
    )
    async def test_odd_gateway_is_not_copied_from(self, platform, value):
        """Guards against a registration that ends later gateways."""
        await platform.store.put('keyed.dragonflyslip', 'odd', value)
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.store.put('keyed.dragonflyslip', 'odd-2', value)
        later = await platform.add_gateway()
        await assert_serves(platform, platform.gateway)
        await assert_serves(platform, later)
