"""Faults of the store and changes by operators during a soak run."""

import asyncio
import random

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from tests.soak import checks
from tests.soak import faults
from tests.soak import gateways
from tests.soak import history as history_types
from tests.soak import plans

_STORE = history_types.FaultKind.STORE
_OPERATOR_READ = b'topic=' + store_types.OPERATOR_TOPIC.encode()
_SPARE_SERVICE = 'spare'
# Longer than a gateway may be late, and what excuses it after a fault.
CHECK_IN_S = 7.0
CHECK_IN_PAUSE_S = 0.05


class StoreFaults:
    """Impairs the store and the connections of gateways to it."""

    NAMES = (
        'drop_store_traffic',
        'blackhole_store',
        'reset_store',
        'fail_store',
        'compact_store',
        'publish_manifests',
        'evacuate',
        plans.LOSS_FAULT,
    )

    def __init__(self, scope: faults.FaultScope):
        self.scope = scope
        self.cluster = scope.cluster
        self.history = scope.history

    async def drop_store_traffic(self, rng: random.Random) -> None:
        """Drop all bytes between a gateway and the store, in one direction."""
        with self.scope.gateway_fault(rng, _STORE) as gateway:
            if gateway is None:
                return
            direction = rng.choice(('drops_requests', 'drops_responses'))
            setattr(gateway.relay, direction, True)
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            setattr(gateway.relay, direction, False)
            gateway.relay.reset()

    async def blackhole_store(self, rng: random.Random) -> None:
        """Silence the open connections of a gateway to the store."""
        with self.scope.gateway_fault(rng, _STORE) as gateway:
            if gateway is not None:
                gateway.relay.blackhole()

    async def reset_store(self, rng: random.Random) -> None:
        """Reset the connections of a gateway to the store."""
        with self.scope.gateway_fault(rng, _STORE) as gateway:
            if gateway is not None:
                gateway.relay.reset()

    async def fail_store(self, rng: random.Random) -> None:
        """Let the store fail for all gateways."""
        with self.scope.record('', _STORE):
            self.cluster.store.fault = rng.choice(list(store_types.StoreFault))
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            self.cluster.store.fault = store_types.StoreFault.NONE

    async def lose_store_response(self, rng: random.Random) -> None:
        """Lose the response with a manifest to a gateway that reads it.

        A target of another service checks in all the time, so that other
        responses arrive meanwhile.
        """
        spare = emulator.EmulatedTarget(_SPARE_SERVICE)
        await spare.start()
        try:
            lost = False
            until = self.cluster.now() + CHECK_IN_S
            for gateway in self.cluster.gateways:
                gateway.relay.lost_responses = [_OPERATOR_READ]
            await self.cluster.publish_manifest(rng)
            while self.cluster.now() < until:
                await spare.register(self.cluster.store)
                await asyncio.sleep(CHECK_IN_PAUSE_S)
                lost = lost or self._record_loss()
        finally:
            for gateway in self.cluster.gateways:
                gateway.relay.lost_responses = []
            await spare.close()

    def _record_loss(self) -> bool:
        """Record the gateways that have lost a response; no more will.

        :return: whether one has.
        """
        losers = [
            gateway
            for gateway in self.cluster.gateways
            if not gateway.relay.lost_responses
        ]
        if not losers:
            return False
        for gateway in self.cluster.gateways:
            gateway.relay.lost_responses = []
        for gateway in losers:
            with self.scope.record(gateway.name, _STORE):
                pass
        return True

    async def compact_store(self, rng: random.Random) -> None:
        """Compact all topics of the store."""
        for topic in list(self.cluster.store.topics):
            self.cluster.store.compact(topic)

    async def publish_manifests(self, rng: random.Random) -> None:
        """Publish manifests, each before all gateways have the previous."""
        for _ in range(rng.randrange(1, 4)):
            await self.cluster.publish_manifest(rng)
            await asyncio.sleep(rng.uniform(0.0, 0.2))

    async def evacuate(self, rng: random.Random) -> None:
        """Evacuate a zone."""
        if 'domain' in self.scope.reserved:
            return
        with self.scope.reserve('domain'):
            zone = rng.choice(gateways.ZONES)
            key = f'evacuate/{zone}'
            topic = store_types.OPERATOR_TOPIC
            await self.cluster.store.put(topic, key, {'zone': zone})
            interval = history_types.Interval(zone, self.cluster.now())
            self.history.evacuations.append(interval)
            await asyncio.sleep(
                rng.uniform(0.5, checks.EVACUATION_LIMIT_S + 3.0)
            )
            interval.until = self.cluster.now()
            await self.cluster.store.put(topic, key, b'')
