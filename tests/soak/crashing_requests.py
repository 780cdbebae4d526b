"""A caller of a soak run whose request crashes the targets that run it."""

import asyncio
import random

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import faults as emulator_faults
from tests.soak import cluster
from tests.soak import connections
from tests.soak import faults

PATH = '/safe/crashing'
# Long enough to go on after the other faults of a short run, since gateways
# with a fault may exceed the limit.
DURATION_S = 12.0
SEND_PAUSE_S = 0.1
RESTART_SECONDS = (0.3, 2.0)


def is_crashing(run: emulator.ExecutedRequest) -> bool:
    """Return whether a target ran the request that crashes it."""
    return run.path == PATH


class CrashingRequests:
    """Sends a request that crashes targets, again and again."""

    NAMES = ('send_crashing_request',)

    def __init__(self, scope: faults.FaultScope):
        self.scope = scope
        self.cluster = scope.cluster
        self.history = scope.history
        self._restarts: set[asyncio.Task[None]] = set()

    async def send_crashing_request(self, rng: random.Random) -> None:
        """Send it for some seconds, each time at another gateway."""
        for target in self.cluster.targets:
            self._prepare(target, rng)
        ends_at = self.cluster.now() + DURATION_S
        while self.cluster.now() < ends_at:
            await self._send(rng)
            await asyncio.sleep(SEND_PAUSE_S)
        for target in self.cluster.targets:
            target.crashes_on = None
        await asyncio.gather(*self._restarts)

    def _prepare(
        self, target: emulator.EmulatedTarget, rng: random.Random
    ) -> None:
        # The relay in front of the target goes on accepting connections.
        target.address_when_down = rng.choice(
            list(emulator_faults.DownAddress)
        )
        target.crashes_silently = rng.random() < 0.3
        target.keeps_id = True
        # One that is withdrawn would be registered again by its restart.
        target.crashes_on = lambda run: (
            is_crashing(run) and run.target_id not in self.scope.reserved
        )
        target.on_crash = lambda: self._restart(target, rng)

    def _restart(
        self, target: emulator.EmulatedTarget, rng: random.Random
    ) -> None:
        self.history.crash_times.append(self.cluster.now())
        pause_s = rng.uniform(*RESTART_SECONDS)
        task = asyncio.create_task(self._restart_later(target, pause_s))
        self._restarts.add(task)

    async def _restart_later(
        self, target: emulator.EmulatedTarget, pause_s: float
    ) -> None:
        target_id = target.target_id
        with (
            self.scope.reserve(target_id),
            self.scope.record_target(target_id),
        ):
            await asyncio.sleep(pause_s)
            await target.restart(self.cluster.store)

    async def _send(self, rng: random.Random) -> None:
        gateway = rng.choice(self.cluster.gateways)
        attempt = self.cluster.new_attempt(gateway, 'safe', b'', 0)
        attempt.path = PATH
        try:
            connection = await connections.CallerConnection.open(
                gateway.ports[0]
            )
        except OSError:
            attempt.finished_at = self.cluster.now()
            return
        await connection.exchange(attempt, cluster.HOST, connections.Pace())
        connection.close()
