"""What gateways learn of callers outlives all of them."""

import asyncio

from dragonflyslip_core import waits as wait_types
from dragonflyslip_entry.gateway import wait_keeper


def _attempts(board) -> list[float]:
    return [
        board.waits.waited_before_s('route-safe', 3.0)
        for _ in range(wait_types.REPEATS)
    ]


class TestKeeper:
    async def test_gateway_that_starts_knows_how_long_callers_wait(
        self, platform, monkeypatch
    ):
        """Guards against restarts that serve late callers first."""
        monkeypatch.setattr(wait_keeper, 'SAVE_PERIOD_S', 0.02)
        await platform.publish()
        await platform.add_target()
        first = await platform.add_gateway()
        _attempts(first.board)
        keeper = first.feeds.keeper
        await platform.until(lambda: keeper.saved)
        await platform.stop(first)
        second = await platform.add_gateway()
        assert second.board.waits.waited_before_s('route-safe', 2.0) == 1.0
        # The record is no gateway.
        assert second.board.fleet.entries(asyncio.get_running_loop().time())
        assert second.feeds.relay.choice.order == []

    async def test_nothing_is_written_without_news(
        self, platform, monkeypatch
    ):
        """Guards against calls to the store that grow with time."""
        monkeypatch.setattr(wait_keeper, 'SAVE_PERIOD_S', 0.01)
        await platform.publish()
        await platform.add_target()
        gateway = await platform.add_gateway()
        _attempts(gateway.board)
        keeper = gateway.feeds.keeper
        await platform.until(lambda: keeper.saved)
        topic = platform.store.topics['keyed.dragonflyslip']
        records = topic.end
        await asyncio.sleep(0.1)
        _attempts(gateway.board)
        await asyncio.sleep(0.1)
        assert topic.end == records

    async def test_damaged_record_is_skipped(self, platform):
        await platform.publish()
        await platform.add_target()
        await platform.store.put(
            'keyed.dragonflyslip', wait_keeper.KEY, b'{"a": "b"}'
        )
        gateway = await platform.add_gateway()
        assert gateway.feeds.keeper.saved == {}
