"""Orders of rollouts that are malformed, replaced or withdrawn."""

import json

import pytest

import dragonflyslip_adapter
from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_emulator import store as store_types

ORDER = {'service': 'casebook', 'target_version': 'v2', 'duration': '12s'}
KEY = 'rollout/casebook'


def _at(offset: int) -> feeds.Position:
    return feeds.Position(1, offset)


class _Sink:
    """Records the reports of a decoder about orders."""

    def __init__(self):
        self.ordered: list[rollouts.RolloutOrder] = []
        self.withdrawn: list[tuple[str, feeds.Position]] = []
        self.listed: list[tuple[frozenset[str], feeds.Position]] = []
        self.skipped: list[str] = []

    def rollout_ordered(self, order) -> None:
        self.ordered.append(order)

    def rollout_withdrawn(self, service, position) -> None:
        self.withdrawn.append((service, position))

    def rollouts_listed(self, services, through) -> None:
        self.listed.append((services, through))

    def rollouts_through(self, through) -> None:
        """Ignore how far the orders have been read."""

    def domains_out_listed(self, domains, era) -> None:
        """Ignore failure domains."""

    def record_skipped(self, key, reason) -> None:
        assert reason
        self.skipped.append(key)


def _record(offset: int, key: str = KEY, **fields) -> feeds.FeedRecord:
    value = json.dumps({**ORDER, **fields}).encode()
    return feeds.FeedRecord(key, value, _at(offset))


@pytest.fixture
def sink():
    return _Sink()


@pytest.fixture
def apply(sink):
    decoder = dragonflyslip_adapter.Adapter().open_decoder(sink)

    def apply_page(*records, complete=False) -> None:
        page = feeds.FeedPage(records, _at(0), _at(20), complete)
        decoder.apply(store_types.OPERATOR_TOPIC, page)

    return apply_page


class TestOrders:
    def test_order_is_decoded(self, apply, sink):
        apply(_record(7, duration='1500ms', new=1))
        expected = rollouts.RolloutOrder('casebook', 'v2', 1.5, _at(7))
        assert sink.ordered == [expected]

    @pytest.mark.parametrize(
        'malformed',
        [
            {'target_version': ''},
            {'target_version': 2},
            {'duration': '0s'},
            {'duration': '12'},
            {'duration': None},
            {'service': 'grantdesk'},
            {'key': 'rollout/'},
        ],
    )
    def test_malformed_order_is_skipped(self, apply, sink, malformed):
        """Guards against an order that a damaged record withdraws."""
        apply(_record(7))
        apply(_record(8, **malformed))
        apply(_record(8, **malformed), _record(7), complete=True)
        assert {order.position for order in sink.ordered} == {_at(7)}
        assert sink.withdrawn == []
        # A complete list that holds the record withdraws nothing.
        assert all('casebook' in services for services, _ in sink.listed)
        assert len(sink.skipped) == 2

    def test_order_is_withdrawn(self, apply, sink):
        """Guards against orders that outlive their records."""
        apply(_record(7), feeds.FeedRecord(KEY, None, _at(9)))
        assert sink.withdrawn == [('casebook', _at(9))]
        apply(_record(6, 'rollout/grantdesk', service=None), complete=True)
        assert sink.listed == [(frozenset({'grantdesk'}), _at(20))]
        assert sink.ordered[-1].service == 'grantdesk'

    async def test_gateway_follows_orders(self, platform):
        await platform.add_target()
        await platform.publish()
        await platform.start()
        topic = store_types.OPERATOR_TOPIC
        orders = platform.gateway.rollouts.orders
        await platform.store.put(topic, KEY, ORDER)
        await platform.until(lambda: orders.of('casebook'))
        await platform.store.put(topic, KEY, b'{')
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['skipped_records'])
        known = orders.of('casebook')
        assert known.order.version == 'v2' and not known.withdrawn
        await platform.store.put(topic, KEY, b'')
        await platform.until(lambda: orders.of('casebook').withdrawn)


class TestStatus:
    @pytest.mark.parametrize(
        ('state', 'text'),
        [
            (rollouts.RolloutState.RUNNING, 'running'),
            (rollouts.RolloutState.SUCCEEDED, 'succeeded'),
            (rollouts.RolloutState.ROLLED_BACK, 'rolled_back'),
        ],
    )
    def test_status_is_encoded(self, state, text):
        status = rollouts.RolloutStatus('casebook', 'v2', state)
        adapter = dragonflyslip_adapter.Adapter()
        key, value = adapter.encode_status(status)
        assert (adapter.status_feed, key) == ('keyed.status', KEY)
        assert json.loads(value) == {'state': text, 'target_version': 'v2'}
