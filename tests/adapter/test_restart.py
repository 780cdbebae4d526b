"""Restart of all gateway processes after all were killed at once."""

import asyncio
import contextlib
import random

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import __main__ as program
from dragonflyslip_emulator import load
from dragonflyslip_emulator import store as store_types
from tests.adapter import processes

# The platform requires recovery within this time.
RECOVERY_S = 15.0


class TestKillOfAllGateways:
    async def test_service_recovers_from_the_records_in_the_store(self):
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
            gateways = [
                processes.GatewayProcess.from_store(f'edge-{n}', store.url)
                for n in range(3)
            ]
            callers = load.LoadGenerator(
                [gateway.listen for gateway in gateways],
                ['casebook'],
                'app.example',
                random.Random(1),
            )
            for _ in range(2):
                started = [await item.start() for item in gateways]
                try:
                    async with asyncio.timeout(RECOVERY_S):
                        await callers.wait_until_serving()
                finally:
                    for process in started:
                        process.kill()
                    for process in started:
                        await process.wait()
