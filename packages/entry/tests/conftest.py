"""A whole path in one process: log, list, targets and entries."""

import asyncio
import contextlib
import random
import socket
import time
import uuid

import aiohttp
from aiohttp import web
import pytest
import yarl

from dragonflyslip_core import config
from dragonflyslip_core import models
from dragonflyslip_core import targets
import dragonflyslip_entry as entry
import dragonflyslip_platform as platform
import dragonflyslip_testing as stand_ins
from dragonflyslip_testing import target as target_stand_in


# Below the range from which the kernel takes ports for outgoing connections,
# so that no other connection takes a port between its choice and its use.
_PORTS = range(10_000, 30_000)


def free_port() -> int:
    while True:
        port = random.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port


class Path:
    """Log, list, targets and entries with helpers for tests."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.stack = stack
        self.log = stand_ins.MemoryLog()
        self.instances = stand_ins.MemoryInstances()
        self.targets: dict[str, target_stand_in.TargetModel] = {}
        self.entries: dict[str, entry.Entry] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.session: aiohttp.ClientSession | None = None

    async def add_target(
        self, name: str, service: str = 'casebook', domain: str = 'a', **model
    ) -> target_stand_in.TargetModel:
        state = target_stand_in.TargetModel(name, **model)
        runner = web.AppRunner(
            target_stand_in.target_application(state),
            access_log=None,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        port = free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        self.stack.push_async_callback(runner.cleanup)
        self.targets[name] = state
        self._list(name, 'target', service, port, domain)
        return state

    def _list(self, name, kind, service, port, domain):
        self.instances.rows += (
            platform.ListedInstance(
                name,
                kind,
                service,
                '127.0.0.1',
                port,
                domain,
                targets.InstanceState.LIVE,
            ),
        )

    async def publish(
        self, kind: config.Kind, name: str, body, version: int = 0
    ) -> None:
        change = config.ConfigChange(
            str(uuid.uuid4()),
            'tests',
            int(time.time() * 1000),
            kind,
            name,
            version,
            body,
        )
        await self.log.append('config', config.encode_change(change))

    async def publish_service(self, service: str, **profile) -> None:
        await self.publish(
            config.Kind.PROFILE, service, models.ProfileModel(**profile)
        )
        await self.publish(
            config.Kind.SERVICE, service, models.ServiceModel(profile=service)
        )

    async def add_entry(self, name: str, **options) -> str:
        peer_port = free_port()
        url = f'127.0.0.1:{free_port()}'
        settings = entry.Settings(
            **{
                'name': name,
                'failure_domain': 'a',
                'listen': url,
                'peer_listen': f'127.0.0.1:{peer_port}',
                'admin_listen': f'127.0.0.1:{free_port()}',
                'log_url': 'http://127.0.0.1:1',
                'instances_url': 'http://127.0.0.1:1',
                'drain_delay_s': 0.0,
                **options,
            }
        )
        self._list(name, 'entry', '', peer_port, 'a')
        started = entry.Entry(settings, self.log, self.instances)
        self.entries[name] = started
        self.tasks[name] = asyncio.create_task(started.run())
        return url

    async def stop_all(self) -> None:
        for running in self.entries.values():
            running.request_stop()
            running.request_stop()
        await asyncio.gather(*self.tasks.values())

    async def call(self, url: str, method: str, path: str, **options):
        headers = {'Host': 'casebook', **options.pop('headers', {})}
        async with self.session.request(
            method,
            yarl.URL(f'http://{url}{path}', encoded=True),
            headers=headers,
            **options,
        ) as response:
            return response.status, response.headers, await response.read()

    async def until_served(self, url: str, host: str = 'casebook') -> None:
        """Wait until the entry sends calls to a target."""
        for _ in range(500):
            with contextlib.suppress(aiohttp.ClientError):
                status, _, _ = await self.call(
                    url, 'GET', '/', headers={'Host': host}
                )
                if status == 200:
                    return
            await asyncio.sleep(0.02)
        raise AssertionError('entry did not start to serve')


@pytest.fixture
async def path():
    async with contextlib.AsyncExitStack() as stack:
        made = Path(stack)
        made.session = await stack.enter_async_context(aiohttp.ClientSession())
        stack.push_async_callback(made.stop_all)
        yield made
