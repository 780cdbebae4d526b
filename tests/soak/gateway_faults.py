"""Signals to the gateway processes of a soak run."""

import asyncio
import contextlib
import random
import signal

from tests.soak import cluster
from tests.soak import faults
from tests.soak import gateways
from tests.soak import history as history_types

# Longest wait for a response that a stop is to interrupt.
ANSWER_WAIT_S = 1.0
EXTRA_SIGNAL_SHARE = 0.3


class GatewayFaults:
    """Pauses, kills, stops and restarts gateways."""

    NAMES = (
        'pause',
        'kill',
        'terminate',
        'terminate_series',
        'terminate_while_answering',
        'send_sighup',
    )

    def __init__(self, scope: faults.FaultScope):
        self.scope = scope
        self.cluster = scope.cluster
        self.history = scope.history

    async def pause(self, rng: random.Random) -> None:
        """Pause a gateway."""
        with self.scope.gateway_fault(rng) as gateway:
            if gateway is not None:
                gateway.signal(signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.2, 3.0))
                gateway.signal(signal.SIGCONT)

    async def kill(self, rng: random.Random) -> None:
        """Kill and restart a gateway."""
        with self.scope.gateway_fault(rng) as gateway:
            if gateway is not None:
                gateway.signal(signal.SIGKILL)
                await gateway.wait_until_ended()
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                await self._restart(gateway)

    async def terminate(self, rng: random.Random) -> None:
        """Stop a gateway gracefully and restart it."""
        with self._planned_work(rng) as gateway:
            if gateway is not None:
                await self._terminate(gateway, rng)

    async def terminate_series(self, rng: random.Random) -> None:
        """Stop several gateways one after another, beside other changes."""
        async with asyncio.TaskGroup() as stops:
            for number in range(len(self.cluster.gateways) - 1):
                stops.create_task(
                    self.terminate(random.Random(f'{rng.random()}/{number}'))
                )
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                if rng.random() < 0.5:
                    await self.cluster.publish_manifest(rng)

    async def terminate_while_answering(self, rng: random.Random) -> None:
        """Stop a gateway while it sends a response."""
        with self._planned_work(rng) as gateway:
            if gateway is None:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_WAIT_S):
                    while not self._is_answering(gateway):
                        await asyncio.sleep(0.002)
            await self._terminate(gateway, rng)

    async def send_sighup(self, rng: random.Random) -> None:
        """Send SIGHUP to a gateway, also during other faults."""
        gateway = rng.choice(self.cluster.gateways)
        # A process that has not installed its handlers yet would end.
        if not gateway.has_started:
            return
        now = self.cluster.now()
        self.history.reloads.append(
            history_types.Interval(gateway.name, now, now)
        )
        gateway.signal(signal.SIGHUP)

    def _planned_work(self, rng: random.Random):
        return self.scope.gateway_fault(rng, history_types.FaultKind.PLANNED)

    def _is_answering(self, gateway: gateways.Gateway) -> bool:
        return any(
            attempt.gateway == gateway.name and attempt.is_being_answered
            for attempt in self.history.attempts[-200:]
        )

    async def _terminate(
        self, gateway: gateways.Gateway, rng: random.Random
    ) -> None:
        interval = history_types.Interval(gateway.name, self.cluster.now())
        self.history.terminations.append(interval)
        gateway.signal(signal.SIGTERM)
        ended = asyncio.create_task(gateway.wait_until_ended())
        if rng.random() < EXTRA_SIGNAL_SHARE:
            await asyncio.sleep(rng.uniform(0.1, 2.9))
            gateway.signal(rng.choice((signal.SIGTERM, signal.SIGHUP)))
        killed = await ended
        interval.until = self.cluster.now()
        if gateway.process.returncode != 0:
            self.history.violations.append(
                f'{gateway.name} exited with status '
                f'{gateway.process.returncode} {killed}'
            )
        await self._restart(gateway)

    async def _restart(self, gateway: gateways.Gateway) -> None:
        now = self.cluster.now()
        absence = history_types.Interval(gateway.name, now, now)
        self.history.absences.append(absence)
        await gateway.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(cluster.START_TIMEOUT_S):
                while not await gateway.accepts_connections():
                    absence.until = self.cluster.now()
                    await asyncio.sleep(0.02)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(cluster.START_TIMEOUT_S):
                while not await self.cluster.is_serving(gateway):
                    await asyncio.sleep(0.1)
