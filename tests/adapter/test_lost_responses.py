"""Lost responses of the store beside others that arrive."""

import asyncio

import pytest

from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import relay as network

# A change must be in force this long after it was accepted.
IN_FORCE_S = 2.0
TARGETS = 16
HEARTBEAT_S = 1.5
OPERATOR_READ = b'topic=' + store_types.OPERATOR_TOPIC.encode()
TARGET_READ = b'topic=' + store_types.TARGET_TOPIC.encode()
# Longer than what the shortest wait of a read leaves over.
SETTLE_S = 1.5


class Reader:
    """A gateway that reads the store over a relay, beside check-ins."""

    def __init__(self, platform):
        self.platform = platform
        self.relay: network.Relay | None = None
        self.gateway = None

    async def start(self, interval_s: float, size: int) -> None:
        """Start the gateway, and targets that check in one after the other.

        :param interval_s: time between two check-ins.
        :param size: length of a foreign record that each one is followed by.
        """
        store = self.platform.store
        self.relay = network.Relay(int(store.url.rpartition(':')[2]))
        server = await self.relay.listen(0)
        self.platform.stack.callback(self.relay.close)
        self.platform.stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        for _ in range(TARGETS):
            await self.platform.add_target()
        await self.platform.publish()
        self.gateway = await self.platform.add_gateway(
            store_url=f'http://127.0.0.1:{port}'
        )
        task = asyncio.create_task(self._check_in(interval_s, size))
        self.platform.stack.callback(task.cancel)
        await asyncio.sleep(SETTLE_S)

    async def _check_in(self, interval_s: float, size: int) -> None:
        while True:
            for target in list(self.platform.targets):
                await target.register(self.platform.store)
                if size:
                    await self.platform.store.put(
                        store_types.TARGET_TOPIC, 'foreign', bytes(size)
                    )
                await asyncio.sleep(interval_s)

    async def time_until(self, condition) -> float:
        """Return after how many seconds a condition holds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(4 * IN_FORCE_S):
            while not condition():
                await asyncio.sleep(0.01)
        return loop.time() - started


@pytest.fixture
def reader(platform):
    return Reader(platform)


class TestLostResponses:
    @pytest.mark.parametrize(
        'interval_s, size',
        [
            (HEARTBEAT_S / TARGETS, 0),
            (100.0, 0),
            (0.4, 0),
            (0.02, 0),
            (0.05, 20_000),
        ],
    )
    async def test_change_is_in_force_in_time(
        self, platform, reader, interval_s, size
    ):
        # Guards against a read whose response is lost, and which is waited
        # for as long as other responses arrive: the old manifest stays.
        await reader.start(interval_s, size)
        reader.relay.lost_responses = [OPERATOR_READ]
        await platform.publish()
        took_s = await reader.time_until(
            lambda: reader.gateway.board.manifest.version == platform.version
        )
        assert reader.relay.blackholed_count == 1
        assert took_s <= IN_FORCE_S

    async def test_target_that_is_gone_gets_nothing(self, platform, reader):
        # Guards against the same for a lost end of a registration.
        await reader.start(0.4, 0)
        reader.relay.lost_responses = [TARGET_READ]
        gone = platform.targets.pop()
        await platform.store.put(store_types.TARGET_TOPIC, gone.target_id, b'')
        took_s = await reader.time_until(
            lambda: (
                gone.target_id not in reader.gateway.board.directory.targets
            )
        )
        assert reader.relay.blackholed_count == 1
        assert took_s <= IN_FORCE_S

    async def test_evacuation_is_in_force_in_time(self, platform, reader):
        # Guards against the same for a lost evacuation.
        await reader.start(HEARTBEAT_S / TARGETS, 0)
        reader.relay.lost_responses = [OPERATOR_READ]
        await platform.store.put(
            store_types.OPERATOR_TOPIC, 'evacuate/zone-b', b'{}'
        )
        took_s = await reader.time_until(
            lambda: 'zone-b' in reader.gateway.board.directory.domains_out
        )
        assert took_s <= IN_FORCE_S

    async def test_lost_registration_is_written_again(self, platform, reader):
        # Guards against a gateway that starts late since the response to its
        # registration is lost.
        await reader.start(HEARTBEAT_S / TARGETS, 0)
        reader.relay.lost_responses = [b'/v1/log-append']
        started = asyncio.get_running_loop().time()
        port = reader.gateway.options.store_url
        await platform.add_gateway(store_url=port)
        assert asyncio.get_running_loop().time() - started <= IN_FORCE_S
        assert reader.relay.blackholed_count == 1
