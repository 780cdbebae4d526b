"""Fixtures: gateways in front of an emulated platform, in one process."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import json

import aiohttp
import pytest

import dragonflyslip_adapter
import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import daemon
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import settings
from dragonflyslip_testing import ports

HOST = 'app.example'
CONDITION_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 2.0


@dataclasses.dataclass
class Reply:
    """The response that a caller got.

    :param broken: whether it was truncated or the connection failed.
    """

    status: int = 0
    headers: collections.abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    body: bytes = b''
    broken: bool = False


class Platform:
    """An emulated platform and the gateways of a test."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.stack = stack
        self.store = emulator.EmulatedStore()
        self.targets: list[emulator.EmulatedTarget] = []
        self.gateway: daemon.Gateway | None = None
        self.running: asyncio.Task[None] | None = None
        self.tasks: dict[daemon.Gateway, asyncio.Task[None]] = {}
        self.session: aiohttp.ClientSession | None = None
        self.version = 0
        # Client accounts of the manifest, None for a manifest without any.
        self.tenants: list[dict] | None = None
        self.limits: dict[str, int | str] = {'max_body_bytes': 1_000_000}
        self.ids = itertools.count(1)

    async def add_target(
        self, service: str = 'casebook', **model
    ) -> emulator.EmulatedTarget:
        """Start and register a target."""
        target = emulator.EmulatedTarget(service, **model)
        await target.start()
        self.stack.push_async_callback(target.close)
        self.targets.append(target)
        await target.register(self.store)
        return target

    async def publish(self, *routes: dict, **services: dict) -> None:
        """Write a manifest with the next version."""
        self.version += 1
        names = {'casebook', 'grantdesk', *services}
        await self.store.put(
            store_types.OPERATOR_TOPIC,
            'config',
            {
                'version': self.version,
                'routes': list(routes) or [route('safe'), route('unsafe')],
                'services': [
                    {
                        'name': name,
                        'health_check_path': '/health',
                        'max_connections': 100,
                        'cold_start': '3s',
                        'cold_per_s': 3.5,
                        **services.get(name, {}),
                    }
                    for name in sorted(names)
                ],
                'limits': self.limits,
                **({} if self.tenants is None else {'tenants': self.tenants}),
            },
        )

    async def start(self, **options) -> None:
        """Start the gateway that :meth:`call` uses, until it is ready."""
        self.gateway = await self.add_gateway(**options)
        self.running = self.tasks[self.gateway]
        host_port = self.gateway.options.listen
        self.port = int(host_port.rpartition(':')[2])
        self.metrics_url = (
            f'http://{self.gateway.options.metrics_listen}/metrics'
        )
        self.ready_url = (
            f'http://{self.gateway.options.ready_listen}/v1/readiness'
        )

    async def add_gateway(self, **options) -> daemon.Gateway:
        """Start one more gateway and wait until it is ready."""
        listen, ready, peers, metrics = (
            f'127.0.0.1:{ports.free_port()}' for _ in range(4)
        )
        gateway = daemon.Gateway(
            settings.GatewaySettings.from_sources(
                {
                    'name': f'gateway-{len(self.tasks) + 1}',
                    'failure_domain': 'zone-a',
                    'adapter': 'dragonflyslip_adapter',
                    'listen': listen,
                    'ready_listen': ready,
                    'peer_listen': peers,
                    'metrics_listen': metrics,
                    'store_url': self.store.url,
                    'planned_entries': '1',
                    'stop_timeout': '2s',
                    **{name: str(value) for name, value in options.items()},
                },
                {},
            ),
            dragonflyslip_adapter.Adapter(),
        )
        self.tasks[gateway] = asyncio.create_task(gateway.run())
        self.stack.push_async_callback(self.stop, gateway)
        await self.until(lambda: gateway.board.ready)
        return gateway

    async def stop(self, gateway: daemon.Gateway | None = None) -> None:
        """Stop a gateway the way SIGTERM does, and wait for its end."""
        stopped = gateway or self.gateway
        stopped.stopping.set()
        await self.tasks[stopped]
        # As the end of its process does.
        await stopped.close()

    # Tests call the function of this module through the fixture.
    route = staticmethod(lambda *a, **k: route(*a, **k))

    async def until(self, condition) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not within ``CONDITION_TIMEOUT_S``.
        """
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def call(
        self,
        path: str = '/safe/1',
        method: str = 'GET',
        body: bytes | None = None,
        wait_ms: int = 2_000,
        listen: str | None = None,
        key: str | None = None,
    ) -> Reply:
        """Send one request and return its response.

        :param listen: IP:PORT of a gateway, by default of the first one.
        :param key: key of a client account.
        """
        listen = listen or self.gateway.options.listen
        headers = {
            'Host': HOST,
            'X-Request-Id': f'request-{next(self.ids)}',
            'X-Deadline-Ms': str(wait_ms),
        }
        if key is not None:
            headers['Authorization'] = f'Bearer {key}'
        try:
            async with self.session.request(
                method,
                f'http://{listen}{path}',
                headers=headers,
                data=body,
            ) as response:
                reply = Reply(response.status, response.headers)
                reply.body = await response.read()
        except aiohttp.ClientError:
            return Reply(broken=True)
        return reply

    def runs(self) -> list[emulator.ExecutedRequest]:
        """Return the requests that the targets ran."""
        return [run for target in self.targets for run in target.runs]


def route(kind: str, service: str = 'casebook', **fields) -> dict:
    """Return a manifest route for one kind of request."""
    return {
        'name': f'route-{kind}',
        'host': HOST,
        'path_prefix': f'/{kind}/',
        'type': kind,
        'timeout': '2s',
        'target_latency': '300ms',
        'priority': 1,
        'max_attempts': 2,
        'service': service,
        **fields,
    }


def encoded(value: dict) -> bytes:
    """Return the value of a record as the platform writes it."""
    return json.dumps(value).encode()


@pytest.fixture
async def platform(monkeypatch):
    """Yield a platform whose store runs; the test starts the rest."""
    monkeypatch.setattr(daemon, 'ACCEPT_AFTER_STOP_S', 0.05)
    monkeypatch.setattr(daemon, 'STOP_MARGIN_S', 0.1)
    monkeypatch.setattr('dragonflyslip_entry.gateway.feeds.READ_PAUSE_S', 0.0)
    # Targets are silent while this process does not run. One that does not
    # answer a probe in time would get no request for 1 s.
    monkeypatch.setattr(probing, 'PROBE_TIMEOUT_S', PROBE_TIMEOUT_S)
    async with contextlib.AsyncExitStack() as stack:
        made = Platform(stack)
        await made.store.start()
        stack.push_async_callback(made.store.close)
        # Each request uses a new connection, so that a test sees which ones
        # the gateway closes.
        made.session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        yield made
