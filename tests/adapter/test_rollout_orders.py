"""Orders of rollouts that are malformed, replaced or withdrawn."""

import json

import pytest

import dragonflyslip_adapter
from dragonflyslip_core import feeds
from dragonflyslip_core.rollouts import orders
from dragonflyslip_emulator import store as store_types

ORDER = {'service': 'casebook', 'target_version': 'v2', 'duration': '12s'}
KEY = 'rollout/casebook'


class _Sink:
    """Records the reports of a decoder about orders."""

    def __init__(self):
        self.ordered: list[tuple] = []
        self.skipped: list[str] = []

    def rollout_ordered(self, service, order, position) -> None:
        version = None if order is None else order.target_version
        self.ordered.append((service, version, position))

    def record_skipped(self, key, reason) -> None:
        assert reason
        self.skipped.append(key)


def _record(offset: int, key: str = KEY, **fields) -> feeds.FeedRecord:
    value = json.dumps({**ORDER, **fields}).encode()
    return feeds.FeedRecord(key, value, offset)


@pytest.fixture
def sink():
    return _Sink()


@pytest.fixture
def apply(sink):
    decoder = dragonflyslip_adapter.Adapter().open_decoder(sink)

    def apply_page(*records, complete=False) -> None:
        page = feeds.FeedPage(records, 0, 20, complete)
        decoder.apply(store_types.OPERATOR_TOPIC, page)

    return apply_page


class TestOrders:
    def test_order_is_decoded(self, apply, sink):
        sink.rollout_ordered = lambda *order: sink.ordered.append(order)
        apply(_record(7, duration='1500ms', new=1))
        placed = orders.RolloutOrder('casebook', 'v2', 1.5)
        assert sink.ordered == [('casebook', placed, 7)]

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
    def test_last_readable_order_stays(self, apply, sink, malformed):
        """Guards against an order that a damaged record withdraws."""
        apply(_record(7))
        apply(_record(8, **malformed))
        apply(_record(8, **malformed), _record(7), complete=True)
        assert set(sink.ordered) == {('casebook', 'v2', 7)}
        assert len(sink.skipped) == 2

    @pytest.mark.parametrize(
        ('page', 'position'),
        [
            ({'records': [feeds.FeedRecord(KEY, None, 9)]}, 9),
            ({'records': [], 'complete': True}, 19),
        ],
    )
    def test_order_is_withdrawn(self, apply, sink, page, position):
        """Guards against orders that outlive their records.

        The position of a withdrawal must not be that of the next order.
        """
        other = _record(6, 'rollout/grantdesk', service='grantdesk')
        apply(_record(7), other)
        sink.ordered.clear()
        complete = page.get('complete', False)
        for _ in range(2):
            apply(*page['records'], other, complete=complete)
        withdrawn = [item for item in sink.ordered if item[1] is None]
        assert withdrawn[0] == ('casebook', None, position)
        assert set(withdrawn) == {withdrawn[0]}

    async def test_gateway_follows_orders(self, platform):
        await platform.add_target()
        await platform.publish()
        await platform.start()
        topic = store_types.OPERATOR_TOPIC
        known = platform.gateway.board.rollout_orders
        await platform.store.put(topic, KEY, ORDER)
        await platform.until(lambda: 'casebook' in known)
        await platform.store.put(topic, KEY, b'{')
        counters = platform.gateway.board.counters
        await platform.until(lambda: counters['skipped_records'])
        assert known['casebook'].order.target_version == 'v2'
        await platform.store.put(topic, KEY, b'')
        await platform.until(lambda: not known)


class TestStatus:
    @pytest.mark.parametrize(
        ('state', 'text'),
        [
            (orders.RolloutState.RUNNING, 'running'),
            (orders.RolloutState.SUCCEEDED, 'succeeded'),
            (orders.RolloutState.ROLLED_BACK, 'rolled_back'),
        ],
    )
    def test_status_is_encoded(self, state, text):
        status = orders.RolloutStatus('casebook', state, 'v2')
        adapter = dragonflyslip_adapter.Adapter()
        written = adapter.encode_rollout_status(status)
        assert (written.feed, written.key) == ('keyed.status', KEY)
        assert json.loads(written.value) == {
            'state': text,
            'target_version': 'v2',
        }
