"""Gateway processes that all end at the same moment."""

import asyncio
import contextlib
import random
import sys
import typing

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import __main__ as program
from dragonflyslip_emulator import load
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import ports

# Bound of the platform's rules.
RECOVERY_S = 15.0


class _Gateway(typing.NamedTuple):
    name: str
    listen: str
    arguments: tuple[str, ...]

    async def start(self) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'dragonflyslip_entry', 'gateway'),
            *self.arguments,
            stdout=asyncio.subprocess.DEVNULL,
        )


def _gateway(name: str, store_url: str) -> _Gateway:
    listen, ready, peers, measures = (
        f'127.0.0.1:{ports.free_port()}' for _ in range(4)
    )
    return _Gateway(
        name,
        listen,
        (
            *('--adapter', 'dragonflyslip_adapter', '--name', name),
            *('--failure-domain', 'zone-a', '--listen', listen),
            *('--ready-listen', ready, '--peer-listen', peers),
            *('--metrics-listen', measures, '--store-url', store_url),
        ),
    )


class TestKillOfAll:
    async def test_service_is_back_with_what_the_store_holds(self):
        """Guards against gateways that wait for one another to start.

        The registrations of the killed processes are still in the store,
        so each new one finds only providers that are gone or starting.
        """
        async with contextlib.AsyncExitStack() as stack:
            store = emulator.EmulatedStore()
            await store.start()
            stack.push_async_callback(store.close)
            target = emulator.EmulatedTarget('casebook', slots=4)
            await target.start()
            stack.push_async_callback(target.close)
            await target.register(store)
            plan = [program.ServicePlan('casebook', 1)]
            manifest = program.manifest(plan, 'app.example')
            await store.put(store_types.OPERATOR_TOPIC, 'config', manifest)
            gateways = [_gateway(f'edge-{n}', store.url) for n in range(3)]
            callers = load.Load(
                [gateway.listen for gateway in gateways],
                ['casebook'],
                'app.example',
                random.Random(1),
            )
            for _ in range(2):
                processes = [await item.start() for item in gateways]
                try:
                    async with asyncio.timeout(RECOVERY_S):
                        await callers.wait_until_served()
                finally:
                    for process in processes:
                        process.kill()
                    for process in processes:
                        await process.wait()
