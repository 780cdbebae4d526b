"""The store, targets and gateways of a soak run."""

import asyncio
import pathlib
import random
import signal

from dragonflyslip_core import names
import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import guarantees
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import relay as relay_types
from tests.soak import connections
from tests.soak import gateways
from tests.soak import history as history_types
from tests.soak import targets

SERVICES = ('casebook', 'grantdesk')
HOST = 'app.example'
KINDS = ('safe', 'unsafe', 'upload', 'download')
# A loaded machine may start a gateway late or delay a caller.
START_TIMEOUT_S = 20.0
# Uploads wait longer than a gateway takes to stop.
CALLER_TIMEOUTS_S = {
    'safe': 3.0,
    'unsafe': 4.0,
    'upload': 9.0,
    'download': 6.0,
}
ROUTE_TIMEOUTS_S = {
    'safe': 2.5,
    'unsafe': 4.0,
    'upload': 20.0,
    'download': 6.0,
}
_PROBE_BYTES = 100
COLD_RATE_PER_S = 3.5


class Cluster:
    """The store, targets and gateways, and the requests sent to them.

    :param gateway_count: number of gateway processes.
    :param logs: directory for the logs of the gateways.
    """

    def __init__(
        self,
        seed: int,
        gateway_count: int,
        logs: pathlib.Path,
        history: history_types.History,
    ):
        self.seed = seed
        self.gateway_count = gateway_count
        self.logs = logs
        self.history = history
        self.rng = random.Random(seed)
        self.store = emulator.EmulatedStore()
        self.gateways: list[gateways.Gateway] = []
        self.targets: list[targets.SoakTarget] = []
        self.relays: dict[str, relay_types.Relay] = {}

    def now(self) -> float:
        """Return the event loop's time."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start all parts and wait until each gateway serves requests."""
        await self.store.start()
        for service in SERVICES:
            for number in range(4):
                target = targets.SoakTarget(
                    service, gateways.ZONES[number % 2], slots=4, work_s=0.02
                )
                await target.start()
                relay = relay_types.Relay(target.port)
                server = await relay.listen(0)
                target.advertised_port = server.sockets[0].getsockname()[1]
                self.relays[target.target_id] = relay
                self.targets.append(target)
                await target.register(self.store)
        await self.publish_manifest(self.rng)
        for number in range(self.gateway_count):
            self.gateways.append(
                gateways.Gateway(
                    number, self.gateway_count, self.store.url, self.logs
                )
            )
        for gateway in self.gateways:
            await gateway.listen()
            await gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self.gateways:
                while not await self.is_serving(gateway):
                    await asyncio.sleep(0.05)

    async def is_serving(self, gateway: gateways.Gateway) -> bool:
        """Return whether a gateway serves a request successfully."""
        attempt = self.new_attempt(gateway, 'safe', b'', _PROBE_BYTES)
        try:
            connection = await connections.CallerConnection.open(
                gateway.ports[0]
            )
        except OSError:
            attempt.finished_at = self.now()
            return False
        await connection.exchange(attempt, HOST, connections.Pace())
        connection.close()
        served = attempt.status == 200
        gateway.has_started = gateway.has_started or served
        return served

    async def publish_manifest(self, rng: random.Random) -> None:
        """Publish a manifest that routes each kind to a random service."""
        version = len(self.history.manifests) + 1
        services = {kind: rng.choice(SERVICES) for kind in KINDS}
        await self.store.put(
            store_types.OPERATOR_TOPIC,
            'config',
            {
                'version': version,
                'routes': [
                    {
                        'name': kind.ljust(names.MAX_TEXT_LENGTH, '-'),
                        'host': HOST,
                        'path_prefix': f'/{kind}/',
                        'type': kind,
                        'timeout': f'{ROUTE_TIMEOUTS_S[kind]}s',
                        'target_latency': '300ms',
                        'max_attempts': 2,
                        'service': service,
                    }
                    for kind, service in services.items()
                ],
                'services': [
                    {
                        'name': name,
                        'health_check_path': emulator.targets.HEALTH_PATH,
                        'cold_per_s': COLD_RATE_PER_S,
                    }
                    for name in SERVICES
                ],
            },
        )
        self.history.manifests.append(
            history_types.PublishedManifest(version, services, self.now())
        )

    def new_attempt(
        self,
        gateway: gateways.Gateway,
        kind: str,
        body: bytes,
        response_bytes: int,
        work_s: float = 0.0,
    ) -> history_types.CallerAttempt:
        """Record a request that is about to be sent.

        :param response_bytes: size of the response body that targets send.
        :param work_s: service time in seconds; 0 for that of its target.
        """
        number = len(self.history.attempts)
        attempt = history_types.CallerAttempt(
            f'{self.seed}-{number}',
            kind,
            guarantees.method_of(kind),
            targets.path_of(kind, number, response_bytes, work_s),
            body,
            gateway.name,
            self.now(),
            caller_timeout_s=CALLER_TIMEOUTS_S[kind],
            route_timeout_s=ROUTE_TIMEOUTS_S[kind],
        )
        self.history.attempts.append(attempt)
        return attempt

    async def close(self) -> None:
        """Kill the gateways and stop the other parts."""
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
            gateway.relay.reset()
            gateway.link.reset()
        for relay in self.relays.values():
            relay.reset()
        for target in self.targets:
            target.advertised_port = 0
            await target.close()
        await self.store.close()
