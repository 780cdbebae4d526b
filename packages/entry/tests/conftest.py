"""A whole path in one process: log, list, targets and entries."""

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
import dragonflyslip_testing as stand_ins
from dragonflyslip_testing import ports
from dragonflyslip_testing import target as target_stand_in


@pytest.fixture(autouse=True)
def short_periods(monkeypatch):
    """Shorten all periods of membership alike, so that tests start soon."""
    for module, name in (
        (membership, 'LIVE_S'),
        (membership, 'STALE_S'),
        (membership, 'STABLE_S'),
        (membership, 'MAX_GAP_S'),
        (membership, 'HEARTBEAT_S'),
        (shares, 'HOLDER_WAIT_S'),
        (daemon, '_READY_AFTER_S'),
        (fleet_controller, 'POLL_S'),
        (target_controller, 'POLL_S'),
    ):
        monkeypatch.setattr(module, name, getattr(module, name) / 5)


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

    async def fleet(self, entries: int, targets_: int, **profile) -> list[str]:
        """Start entries and targets of one service and wait until served.

        :return: the entries' addresses.
        """
        await self.publish_service('casebook', **profile)
        for number in range(targets_):
            await self.add_target(f'casebook-{number + 1}')
        urls = [
            await self.add_entry(f'entry-{number + 1}')
            for number in range(entries)
        ]
        await self.until_served(*urls)
        return urls

    def runs(self, key: str = '') -> list[target_stand_in.Run]:
        """Return what all targets ran, for one key if given."""
        return [
            run
            for model in self.targets.values()
            for run in model.runs
            if not key or run.key == key
        ]

    @staticmethod
    def new_key(age_s: float = 0.0) -> str:
        """Return a UUIDv7 made ``age_s`` seconds ago."""
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

    async def until_served(self, *urls: str) -> None:
        """Send calls to all entries until all targets are warm for each.

        A cold target warms up by the calls of the one entry that holds it.
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
async def path():
    async with contextlib.AsyncExitStack() as stack:
        made = Path(stack)
        made.session = await stack.enter_async_context(aiohttp.ClientSession())
        stack.push_async_callback(made.stop_all)
        yield made
