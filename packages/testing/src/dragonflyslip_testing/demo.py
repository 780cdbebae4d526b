"""Demonstrate the whole system in one process.

Starts a log, an instance list, three targets and one entry on the loopback
interface, sends requests, changes a profile and shows when it takes effect.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import time
import uuid

import aiohttp
from aiohttp import web
import uvloop

from dragonflyslip_core import changes
from dragonflyslip_core import models
from dragonflyslip_core import targets
import dragonflyslip_entry as entry
import dragonflyslip_platform as platform
from dragonflyslip_testing import memory_instances
from dragonflyslip_testing import memory_log
from dragonflyslip_testing import target

_HOST = '127.0.0.1'
_SERVICE = 'casebook'
_TARGET_COUNT = 3


@dataclasses.dataclass
class Demo:
    """The running servers of the demo.

    :param base_port: first of the ports that the demo listens on.
    :param stack: stops the servers at the end of the demo.
    """

    base_port: int
    log: memory_log.MemoryLog
    instances: memory_instances.MemoryInstances
    stack: contextlib.AsyncExitStack

    @property
    def url(self) -> str:
        """Base URL at which the entry accepts requests."""
        return f'http://{_HOST}:{self.base_port}'

    async def serve(self, port: int, application: web.Application) -> None:
        """Serve an application until the demo ends."""
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.5
        )
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, _HOST, port).start()

    async def start_targets(self) -> None:
        """Start the targets and add them to the instance list."""
        for number in range(_TARGET_COUNT):
            name = f'{_SERVICE}-{number + 1}'
            port = self.base_port + 10 + number
            model = target.TargetModel(name, service_s=0.005)
            await self.serve(port, target.target_application(model))
            self.instances.rows += (
                platform.ListedInstance(
                    name,
                    'target',
                    _SERVICE,
                    _HOST,
                    port,
                    f'zone-{"ab"[number % 2]}',
                    targets.InstanceState.LIVE,
                ),
            )

    def list_entry(self) -> None:
        """Add the entry to the instance list.

        The operator command finds it there.
        """
        self.instances.rows += (
            platform.ListedInstance(
                'entry-1',
                'entry',
                '',
                _HOST,
                self.base_port + 1,
                'zone-a',
                targets.InstanceState.LIVE,
            ),
        )

    async def publish(
        self, kind: changes.Kind, name: str, body, version: int
    ) -> int:
        """Publish a configuration change and return its log offset."""
        change = changes.ConfigChange(
            str(uuid.uuid4()),
            'demo',
            int(time.time() * 1000),
            kind,
            name,
            version,
            body,
        )
        appended = await self.log.append(
            'config', changes.encode_change(change)
        )
        return appended.unwrap()

    def settings(self) -> entry.Settings:
        """Return the settings of the entry."""
        return entry.Settings(
            name='entry-1',
            failure_domain='zone-a',
            listen=f'{_HOST}:{self.base_port}',
            peer_listen=f'{_HOST}:{self.base_port + 1}',
            admin_listen=f'{_HOST}:{self.base_port + 1001}',
            log_url=f'http://{_HOST}:{self.base_port + 2}',
            instances_url=f'http://{_HOST}:{self.base_port + 3}',
            drain_delay_s=0.0,
        )


async def _wait_for_answer(
    session: aiohttp.ClientSession, url: str, status: int
) -> str:
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(
                url, headers={'Host': _SERVICE}
            ) as response:
                text = await response.text()
                if response.status == status:
                    return text.strip()
        await asyncio.sleep(0.1)
    raise TimeoutError(f'{url} did not answer {status} within 60 s')


async def _wait_for_post_status(
    session: aiohttp.ClientSession, url: str, status: int
) -> float:
    started_at = time.monotonic()
    while time.monotonic() < started_at + 60:
        async with session.post(url, headers={'Host': _SERVICE}) as response:
            await response.read()
            if response.status == status:
                return time.monotonic() - started_at
        await asyncio.sleep(0.02)
    raise TimeoutError(f'POST {url} did not answer {status} within 60 s')


async def _run(base_port: int, hold_s: float) -> None:
    async with contextlib.AsyncExitStack() as stack:
        demo = Demo(
            base_port,
            memory_log.MemoryLog(),
            memory_instances.MemoryInstances(),
            stack,
        )
        await demo.serve(base_port + 2, memory_log.log_application(demo.log))
        await demo.serve(
            base_port + 3,
            memory_instances.instances_application(demo.instances),
        )
        await demo.start_targets()
        profile = models.ProfileModel(warmup_s=1.0)
        version = await demo.publish(changes.Kind.PROFILE, 'demo', profile, 0)
        await demo.publish(
            changes.Kind.SERVICE,
            _SERVICE,
            models.ServiceModel(profile='demo'),
            0,
        )
        demo.list_entry()
        running_entry = entry.Entry(demo.settings())
        task = asyncio.create_task(running_entry.run())
        await _demonstrate(demo, version, hold_s)
        running_entry.request_stop()
        await task


async def _demonstrate(demo: Demo, version: int, hold_s: float) -> None:
    async with aiohttp.ClientSession() as session:
        print('waiting for the entry to warm up its targets (about 8 s) ...')
        answer = await _wait_for_answer(session, f'{demo.url}/hello', 200)
        print(f'answer of a target through the entry: {answer}')
        await _wait_for_post_status(session, f'{demo.url}/form', 400)
        print('a POST without Idempotency-Key is refused with 400')
        await demo.publish(
            changes.Kind.PROFILE,
            'demo',
            models.ProfileModel(warmup_s=1.0, missing_key='run_once'),
            version,
        )
        elapsed_s = await _wait_for_post_status(
            session, f'{demo.url}/form', 200
        )
        print(
            f'{elapsed_s * 1000:.0f} ms after a profile change, it is answered'
        )
    print(f"try it:  curl -H 'Host: {_SERVICE}' {demo.url}/hello")
    print(
        'operate: DRAGONFLYSLIP_LOG_URL='
        f'http://{_HOST}:{demo.base_port + 2} '
        f'DRAGONFLYSLIP_INSTANCES_URL=http://{_HOST}:{demo.base_port + 3} '
        '.venv/bin/dragonflyslip status'
    )
    print(f'serving for {hold_s:.0f} s; stop with Ctrl-C')
    await asyncio.sleep(hold_s)


def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(prog='demo')
    parser.add_argument('--base-port', type=int, default=18080)
    parser.add_argument(
        '--hold-s', type=float, default=60.0, help='seconds to keep serving'
    )
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(_run(arguments.base_port, arguments.hold_s))


if __name__ == '__main__':
    main()
