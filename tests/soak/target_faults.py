"""Faults of the targets of a soak run."""

import asyncio
import random

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from tests.soak import cluster
from tests.soak import faults
from tests.soak import history as history_types

NORMAL_WORK_S = 0.02
# Service times of a target that is slow for a while.
SLOW_WORK_S = (0.2, 1.0, 3.0)
# A large response in chunks of one byte would keep this process busy.
RESPONSE_FAULTS = [
    fault
    for fault in emulator.Fault
    if fault not in (emulator.Fault.EARLY, emulator.Fault.CHUNKED)
]
# Limits that a target states, in requests a second, and for how long.
LIMITS = (0.5, 1.2, 3.0)
LIMIT_SECONDS = (9.0, 11.0)
# At most this many requests in a row get no answer from one target.
MAX_UNANSWERED = 3


class TargetFaults:
    """Impairs, silences, slows down, drains and replaces targets."""

    NAMES = (
        'queue_response_faults',
        'impair_target_connections',
        'silence_targets',
        'slow_target',
        'drain_target',
        'replace_target',
        'make_target_cold',
        'limit_target',
    )

    def __init__(self, scope: faults.FaultScope):
        self.scope = scope
        self.cluster = scope.cluster
        self.history = scope.history

    async def queue_response_faults(self, rng: random.Random) -> None:
        """Let a target answer its next requests wrongly or not at all."""
        target = rng.choice(self.cluster.targets)
        target.faults.extend(rng.choices(RESPONSE_FAULTS, k=4))

    async def silence_targets(self, rng: random.Random) -> None:
        """Let some targets run their next requests and not answer them."""
        kinds = (emulator.Fault.SILENT, emulator.Fault.HANG)
        for target in rng.sample(self.cluster.targets, 3):
            count = rng.randrange(1, MAX_UNANSWERED + 1)
            target.faults.extend(rng.choices(kinds, k=count))

    async def impair_target_connections(self, rng: random.Random) -> None:
        """Reset, silence or delay the connections to a target."""
        target_id = rng.choice(self.cluster.targets).target_id
        relay = self.cluster.relays[target_id]
        with self.scope.record_target(target_id):
            match rng.choice(('reset', 'silence', 'delay', 'drop', 'drop')):
                case 'reset':
                    relay.reset()
                case 'silence':
                    relay.blackhole()
                case 'delay':
                    relay.delay_s = rng.uniform(0.02, 0.3)
                    await asyncio.sleep(2.0)
                    relay.delay_s = 0.0
                case _:
                    direction = rng.choice(
                        ('drops_requests', 'drops_responses')
                    )
                    setattr(relay, direction, True)
                    await asyncio.sleep(1.0)
                    setattr(relay, direction, False)

    async def slow_target(self, rng: random.Random) -> None:
        """Slow a target down."""
        target = rng.choice(self.cluster.targets)
        target.work_s = rng.choice(SLOW_WORK_S)
        target.work_percent = round(100 * target.work_s / NORMAL_WORK_S)
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        target.work_s, target.work_percent = NORMAL_WORK_S, 100

    async def drain_target(self, rng: random.Random) -> None:
        """Withdraw a target and register it again later."""
        target = self._pick_target(rng)
        if target is None:
            return
        target_id = target.target_id
        with self.scope.reserve(target_id):
            await target.register(self.cluster.store, 'draining')
            interval = history_types.Interval(target_id, self.cluster.now())
            self.history.withdrawals.append(interval)
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            await self._remove(target_id)
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            interval.until = self.cluster.now()
            target.started_at_ms += 1
            await target.register(self.cluster.store)

    async def replace_target(self, rng: random.Random) -> None:
        """Reuse the address of a target for a target of the other service."""
        target = self._pick_target(rng)
        if target is None:
            return
        old = target.target_id
        # The old id stays reserved, as no target has it any more.
        self.scope.reserved.add(old)
        relay = self.cluster.relays[old]
        await self._remove(old)
        with self.scope.record_target(old):
            relay.reset()
        target.target_id = f'{old.partition("+")[0]}+{rng.random()}'
        # Index 1 (True) for a target of the first service, otherwise 0.
        target.service = cluster.SERVICES[
            target.service == cluster.SERVICES[0]
        ]
        self.cluster.relays[target.target_id] = relay
        with self.scope.reserve(target.target_id):
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await target.register(self.cluster.store)

    async def make_target_cold(self, rng: random.Random) -> None:
        """Let a target report that it has just started."""
        target = self._pick_target(rng)
        if target is None:
            return
        target_id = target.target_id
        with self.scope.reserve(target_id):
            target.cold_ms = 2_000
            interval = history_types.Interval(target_id, self.cluster.now())
            self.history.cold_intervals.append(interval)
            await asyncio.sleep(2.0)
            target.cold_ms = 0
            interval.until = self.cluster.now()

    async def limit_target(self, rng: random.Random) -> None:
        """Let a target state how many requests a second it takes."""
        target = self._pick_target(rng)
        if target is None:
            return
        with self.scope.reserve(target.target_id):
            target.limit = rng.choice(LIMITS)
            interval = history_types.LimitInterval(
                target.target_id, self.cluster.now(), limit=target.limit
            )
            self.history.limit_intervals.append(interval)
            await asyncio.sleep(rng.uniform(*LIMIT_SECONDS))
            interval.until = self.cluster.now()
            target.limit = None

    def _pick_target(
        self, rng: random.Random
    ) -> emulator.EmulatedTarget | None:
        # These are the third and fourth target of each service. The first
        # two, one in each zone, stay without these faults.
        candidates = self.cluster.targets[2:4] + self.cluster.targets[6:8]
        free = [
            t for t in candidates if t.target_id not in self.scope.reserved
        ]
        return rng.choice(free) if free else None

    async def _remove(self, target_id: str) -> None:
        await self.cluster.store.put(store_types.TARGET_TOPIC, target_id, b'')
