"""A log, an instance list, targets and entries in one process."""

import asyncio
import contextlib
import random
import time
import uuid

import aiohttp
from aiohttp import web
import pytest
import yarl

from dragonflyslip_core import changes
from dragonflyslip_core import membership
from dragonflyslip_core import models
from dragonflyslip_core import shares
from dragonflyslip_core import targets
import dragonflyslip_entry as entry
from dragonflyslip_entry import daemon
from dragonflyslip_entry import fleet_controller
from dragonflyslip_entry import target_controller
import dragonflyslip_platform as platform
import dragonflyslip_testing as fakes
from dragonflyslip_testing import ports
from dragonflyslip_testing import target as fake_target


@pytest.fixture(autouse=True)
def short_periods(monkeypatch):
    """Divide periods and delays of entries by 5, so that tests start soon."""
    for module, name in (
        (membership, 'LIVENESS_TIMEOUT_S'),
        (membership, 'VOTE_MAX_AGE_S'),
        (membership, 'STABLE_S'),
        (membership, 'MAX_CHECK_INTERVAL_S'),
        (membership, 'HEARTBEAT_S'),
        (shares, 'HOLDER_WAIT_S'),
        (daemon, '_READY_AFTER_S'),
        (fleet_controller, 'POLL_S'),
        (target_controller, 'POLL_S'),
    ):
        monkeypatch.setattr(module, name, getattr(module, name) / 5)


class Environment:
    """A log, an instance list, targets and entries, with test helpers."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.stack = stack
        self.log = fakes.MemoryLog()
        self.instances = fakes.MemoryInstances()
        self.targets: dict[str, fake_target.TargetModel] = {}
        self.entries: dict[str, entry.Entry] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.session: aiohttp.ClientSession | None = None

    async def add_target(
        self, name: str, service: str = 'casebook', domain: str = 'a', **model
    ) -> fake_target.TargetModel:
        """Start a fake target; ``model`` holds attributes of its model."""
        state = fake_target.TargetModel(name, **model)
        runner = web.AppRunner(
            fake_target.target_application(state),
            access_log=None,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        port = ports.free_port()
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
        self, kind: changes.Kind, name: str, body, version: int = 0
    ) -> None:
        change = changes.ConfigChange(
            str(uuid.uuid4()),
            'tests',
            int(time.time() * 1000),
            kind,
            name,
            version,
            body,
        )
        await self.log.append('config', changes.encode_change(change))

    async def publish_service(self, service: str, **profile) -> None:
        profile = {'warmup_s': 0.1, 'probe_rate_per_target': 50, **profile}
        await self.publish(
            changes.Kind.PROFILE, service, models.ProfileModel(**profile)
        )
        await self.publish(
            changes.Kind.SERVICE, service, models.ServiceModel(profile=service)
        )

    async def add_entry(self, name: str, **options) -> str:
        """Start an entry; return the host and port at which it takes calls."""
        peer_port = ports.free_port()
        url = f'127.0.0.1:{ports.free_port()}'
        settings = entry.Settings(
            **{
                'name': name,
                'failure_domain': 'a',
                'listen': url,
                'peer_listen': f'127.0.0.1:{peer_port}',
                'admin_listen': f'127.0.0.1:{ports.free_port()}',
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

    async def fleet(
        self, entry_count: int, target_count: int, **profile
    ) -> list[str]:
        """Start entries and targets of one service and wait until warm.

        :return: host and port of each entry.
        """
        await self.publish_service('casebook', **profile)
        for number in range(target_count):
            await self.add_target(f'casebook-{number + 1}')
        urls = [
            await self.add_entry(f'entry-{number + 1}')
            for number in range(entry_count)
        ]
        await self.wait_until_warm(*urls)
        return urls

    def runs(self, key: str = '') -> list[fake_target.Run]:
        """Return the runs at all targets, only those of ``key`` if given."""
        return [
            run
            for model in self.targets.values()
            for run in model.runs
            if not key or run.key == key
        ]

    @staticmethod
    def new_key(age_s: float = 0.0) -> str:
        """Return a UUIDv7 with a creation time ``age_s`` seconds ago."""
        created_ms = int((time.time() - age_s) * 1000)
        value = created_ms << 80 | 7 << 76 | random.getrandbits(76)
        value = value & ~(3 << 62) | 2 << 62
        return str(uuid.UUID(int=value))

    async def stop_entry(self, name: str) -> None:
        """Stop an entry at once; it stays in the instance list."""
        self.entries[name].request_stop()
        self.entries[name].request_stop()
        await self.tasks[name]

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

    async def wait_until_warm(self, *urls: str) -> None:
        """Send calls to all entries until all targets are warm at each.

        A cold target takes calls only from the one entry that holds it.
        """
        for _ in range(1000):
            for url in urls:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.call(url, 'GET', '/')
            if self._all_warm():
                return
            await asyncio.sleep(0.01)
        raise AssertionError('targets did not become warm')

    def _all_warm(self) -> bool:
        states = [
            state
            for running in self.entries.values()
            for state in running.board.targets.values()
        ]
        return (
            all(running.ready() for running in self.entries.values())
            and len(states) == len(self.entries) * len(self.targets)
            and all(
                state.warm_limit is None and not state.suspected
                for state in states
            )
        )


@pytest.fixture
async def environment():
    async with contextlib.AsyncExitStack() as stack:
        made = Environment(stack)
        made.session = await stack.enter_async_context(aiohttp.ClientSession())
        stack.push_async_callback(made.stop_all)
        yield made
