"""A small installation: store, targets, gateways and their record."""

import asyncio
import collections.abc
import contextlib
import math
import os
import pathlib
import signal
import sys
import tempfile
import time

from dragonflyslip_emulator import store as store_types
from dragonflyslip_emulator import targets as target_types

from harness import clients
from harness import gateways as gateway_types
from harness import proxies
from harness import record as record_types
from harness import stores

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'app.example'
_START_TIMEOUT_S = 20.0
_SETTLE_S = 3.5
# A run takes 120 s at most.
_MAX_CASE_S = 110.0


class CaseError(Exception):
    """The case could not run."""


class World:
    """Everything that a case starts.

    :ivar trouble: whether the disruption of the case is wanted.
    """

    def __init__(self, case: pathlib.Path, logs: pathlib.Path):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = record_types.Record(case / 'record.txt')
        self.logs = logs
        self.store = stores.PagedStore()
        self.targets: list[target_types.EmulatedTarget] = []
        self.gateways: list[gateway_types.Gateway] = []
        self.store_proxies: list[proxies.Proxy] = []
        self.exchanges: list[clients.Exchange] = []

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()

    @property
    def store_port(self) -> int:
        """Port of the store."""
        return int(self.store.url.rpartition(':')[2])

    async def add_target(
        self, service: str, zone: str, work_s: float = 0.1, **options
    ) -> target_types.EmulatedTarget:
        """Start a target and register it."""
        return await self.register_target(
            target_types.EmulatedTarget(
                service, zone, slots=6, work_s=work_s, **options
            )
        )

    async def register_target(
        self, target: target_types.EmulatedTarget
    ) -> target_types.EmulatedTarget:
        """Start a target that was created by the case, and register it."""
        target.started_at_ms = int(time.time() * 1000)
        await target.start()
        await target.register(self.store)
        self.targets.append(target)
        return target

    async def add_gateway(
        self, name: str, zone: str, bytes_per_s: float = math.inf
    ) -> gateway_types.Gateway:
        """Start a gateway behind a proxy to the store; wait until ready.

        :param bytes_per_s: rate of its link to the store.
        """
        proxy = proxies.Proxy(self.store_port, bytes_per_s)
        await proxy.start()
        gateway = gateway_types.Gateway(name, zone, proxy.port, self.logs)
        self.store_proxies.append(proxy)
        self.gateways.append(gateway)
        gateway.start()
        await self.wait_until_ready(gateway)
        return gateway

    async def wait_until_ready(self, gateway: gateway_types.Gateway) -> None:
        """Wait until a gateway says that it is ready.

        :raises CaseError: if it takes too long.
        """
        end_at = time.monotonic() + _START_TIMEOUT_S
        while not await is_ready(gateway):
            if time.monotonic() > end_at or gateway.process.poll() is not None:
                raise CaseError(f'{gateway.name} does not become ready')
            await asyncio.sleep(0.02)
        self.record.write(f'{gateway.name} is ready')

    async def put(self, topic: str, key: str, value: dict | bytes) -> float:
        """Write a record; return the time of its acknowledgement."""
        await self.store.put(topic, key, value)
        acknowledged_at = self.record.now()
        self.record.write(f'store acknowledges {topic} {key} {value!r:.400}')
        return acknowledged_at

    async def put_manifest(self, manifest: dict | bytes) -> float:
        """Write the manifest; return the time of its acknowledgement."""
        return await self.put(store_types.OPERATOR_TOPIC, 'config', manifest)

    async def settle(self) -> None:
        """Wait until all gateways are in touch and copy from each other."""
        await asyncio.sleep(_SETTLE_S)

    async def load(
        self,
        gateways: collections.abc.Sequence[gateway_types.Gateway],
        rate: float,
        seconds: float,
        method: str,
        path: collections.abc.Callable[[int], str],
        body: bytes = b'',
        deadline_ms: int = 2000,
    ) -> list[clients.Exchange]:
        """Send requests to the gateways in turn; return them, answered."""
        tasks = []
        begun_at = time.monotonic()
        number = 0
        while (due_at := begun_at + number / rate) < begun_at + seconds:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            tasks.append(
                asyncio.create_task(
                    clients.send(
                        self.record,
                        gateways[number % len(gateways)],
                        HOST,
                        method,
                        path(number),
                        body,
                        deadline_ms,
                    )
                )
            )
            number += 1
        exchanges = await asyncio.gather(*tasks)
        self.exchanges += exchanges
        return exchanges

    def write_runs(self) -> None:
        """Write what each target ran to the record."""
        offset = time.monotonic() - self.record.now()
        for target in self.targets:
            for run in target.runs:
                self.record.write(
                    f'{target.target_id} ({target.service}) began '
                    f'{run.request_id} {run.method} {run.path} at '
                    f'{run.started_at - offset:.3f}'
                )

    async def close(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.kill()
        for proxy in self.store_proxies:
            proxy.close()
        for target in self.targets:
            with contextlib.suppress(Exception):
                await target.close()
        await self.store.close()
        self.record.close()


async def is_ready(gateway: gateway_types.Gateway) -> bool:
    """Return whether a gateway answers the readiness question with 200."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', gateway.ready
            )
            writer.write(
                b'GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n'
                b'Connection: close\r\n\r\n'
            )
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line


def manifest(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a manifest."""
    return {
        'version': version,
        'routes': [
            {
                'host': HOST,
                'timeout': '2000ms',
                'target_latency': '500ms',
                'priority': 1,
                'max_attempts': 2,
                **route,
            }
            for route in routes
        ],
        'services': [
            {
                'name': name,
                'health_check_path': target_types.HEALTH_PATH,
                'max_connections': 240,
                'cold_start': '3s',
                'cold_per_s': 14.0,
            }
            for name in services
        ],
    }


Case = collections.abc.Callable[[World], collections.abc.Awaitable[list[str]]]


def main(case_file: str, case: Case) -> None:
    """Run a case and exit with its result.

    :param case: returns a line for each way in which the rule was broken.
    """
    folder = pathlib.Path(case_file).resolve().parent
    with tempfile.TemporaryDirectory() as logs:
        sys.exit(asyncio.run(_run(folder, pathlib.Path(logs), case)))


async def _run(folder: pathlib.Path, logs: pathlib.Path, case: Case) -> int:
    world = World(folder, logs)
    # Otherwise SIGTERM would leave the gateways running.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    broken: list[str] = []
    try:
        async with asyncio.timeout(_MAX_CASE_S):
            await world.start_store()
            broken = await case(world)
            world.write_runs()
    except (Exception, asyncio.CancelledError) as error:
        world.record.write(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        return NOT_RUN
    finally:
        for gateway in world.gateways:
            gateway.kill()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in logs.glob('*.log'):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        for line in broken:
            world.record.write(f'BROKEN {line}')
        await world.close()
    for line in broken:
        print(f'broken: {line}')
    print(f'{len(broken)} breaks of the rule')
    return BROKEN if broken else HELD
