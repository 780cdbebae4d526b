"""Soak test: random faults against real gateway processes.

Each gateway runs as a separate process. Loopback relays between it, the
store and the targets delay, drop, blackhole and reset connections; signals
pause, stop and kill gateways. The store, the targets and the callers run in
this process, so the requests that targets executed can be compared with the
responses that callers received.

``python -m tests.soak --seeds 50 --first 1`` makes one run per seed. For a
failed seed, the violations are printed; the gateways' logs are kept.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import aiohttp

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import guarantees
from dragonflyslip_emulator import load
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import ports
from dragonflyslip_testing import relay as relay_types

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = ('casebook', 'grantdesk')
ZONES = ('zone-a', 'zone-b')
HOST = 'app.example'
KINDS = ('safe', 'unsafe', 'upload')
# Time limits that the platform sets for applying a change.
MANIFEST_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
# A gateway may exceed these limits this long after a fault has ended.
FAULT_AFTERMATH_S = 3.0
RECOVERY_WAIT_S = 6.0
STOP_TIMEOUT_S = 6.0
# A loaded machine may start a gateway late or delay a caller.
START_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_MS = 2_000
COLD_RATE_PER_S = 3.5
# The configured rate with a tolerance.
COLD_LIMIT_PER_S = COLD_RATE_PER_S * 1.5 + 5
# Requests may already be in flight when a target turns cold.
COLD_GRACE_S = 0.3


@dataclasses.dataclass
class Interval:
    """Interval during which a condition applied to one subject.

    :param subject: name of a gateway, target or zone; empty for all of them.
    :param since: start, on the event loop's clock.
    :param until: end, on the event loop's clock.
    """

    subject: str
    since: float
    until: float = float('inf')

    def overlaps(self, subject: str, since: float, until: float) -> bool:
        """Return whether the condition applied to ``subject`` in a period.

        :param since: start of the period.
        :param until: end of the period.
        """
        return self.subject in ('', subject) and (
            self.since <= until and since <= self.until
        )


@dataclasses.dataclass
class PublishedManifest:
    """A manifest as it was published.

    :param services: the service of each kind of request.
    :param accepted_at: when the store accepted it, on the event loop's clock.
    """

    version: int
    services: dict[str, str]
    accepted_at: float


class Gateway:
    """A gateway process and the relay between it and the store."""

    def __init__(self, soak: 'Soak', number: int):
        self.soak = soak
        self.name = f'gateway-{number}'
        self.zone = ZONES[number % 2]
        self.ports = [ports.free_port() for _ in range(4)]
        self.relay = relay_types.Relay(0)
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start the gateway process."""
        listen, ready, peers, metrics = (
            f'127.0.0.1:{port}' for port in self.ports
        )
        sources = [str(p) for p in sorted(ROOT.glob('packages/*/src'))]
        sources.append(str(ROOT / 'platform/src'))
        log = (self.soak.logs / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, '-m', 'dragonflyslip_entry', 'gateway'),
                    *('--adapter', 'dragonflyslip_adapter'),
                    *('--name', self.name, '--failure-domain', self.zone),
                    *('--listen', listen, '--ready-listen', ready),
                    *('--peer-listen', peers, '--metrics-listen', metrics),
                    *('--store-url', f'http://127.0.0.1:{self.relay_port}'),
                    *('--planned-entries', str(len(self.soak.gateways))),
                ],
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sources)},
                stdout=log,
                stderr=log,
            )

    async def listen(self) -> None:
        """Start the relay through which the gateway reaches the store."""
        self.relay.target_port = int(self.soak.store.url.rpartition(':')[2])
        server = await self.relay.listen(0)
        self.relay_port = server.sockets[0].getsockname()[1]

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_until_ended(self) -> None:
        """Wait for the process to exit, and kill it after a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)


class Soak:
    """A soak run with one seed.

    :param seconds: how long faults are injected.
    :param gateways: number of gateway processes.
    :param logs: directory for the logs of the gateways.
    """

    def __init__(
        self, seed: int, seconds: float, gateways: int, logs: pathlib.Path
    ):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.logs = logs
        self.store = emulator.EmulatedStore()
        self.gateways: list[Gateway] = []
        self.targets: list[emulator.EmulatedTarget] = []
        self.relays: dict[str, relay_types.Relay] = {}
        self.attempts: list[guarantees.Attempt] = []
        self.manifests: list[PublishedManifest] = []
        # The subject is a gateway, or '' for a fault that affects them all.
        self.fault_intervals: list[Interval] = []
        self.terminations: list[Interval] = []
        self.withdrawals: list[Interval] = []
        self.evacuations: list[Interval] = []
        self.cold_intervals: list[Interval] = []
        self.violations: list[str] = []
        # Names of gateways and targets to which a fault is applied now, so
        # that no second one is; also 'domain' during an evacuation.
        self.reserved: set[str] = set()
        self.stopping = False
        for number in range(gateways):
            self.gateways.append(Gateway(self, number))

    def now(self) -> float:
        """Return the event loop's time."""
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        """Run the test and return a message for each violation."""
        await self.store.start()
        try:
            await self._start()
            callers = [
                asyncio.create_task(self._run_caller(number))
                for number in range(12)
            ]
            faults = asyncio.create_task(self._inject_faults())
            await faults
            await self._check_recovery()
            self.stopping = True
            await asyncio.gather(*callers)
        finally:
            for gateway in self.gateways:
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
            for target in self.targets:
                target.advertised_port = 0
                await target.close()
            await self.store.close()
        self._check_guarantees()
        return self.violations

    async def _start(self) -> None:
        for service in SERVICES:
            for number in range(4):
                target = emulator.EmulatedTarget(
                    service, ZONES[number % 2], slots=4, work_s=0.02
                )
                await target.start()
                relay = relay_types.Relay(target.port)
                server = await relay.listen(0)
                target.advertised_port = server.sockets[0].getsockname()[1]
                self.relays[target.target_id] = relay
                self.targets.append(target)
                await target.register(self.store)
        await self._publish_manifest()
        for gateway in self.gateways:
            await gateway.listen()
            await gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self.gateways:
                while not await self._is_serving(gateway):
                    await asyncio.sleep(0.05)

    async def _is_serving(self, gateway: Gateway) -> bool:
        async with aiohttp.ClientSession() as session:
            attempt = await self._send_attempt(session, gateway, 'safe')
        return attempt.status == 200

    async def _publish_manifest(self) -> None:
        """Publish a manifest that routes each kind to a random service."""
        version = len(self.manifests) + 1
        services = {kind: self.rng.choice(SERVICES) for kind in KINDS}
        await self.store.put(
            store_types.OPERATOR_TOPIC,
            'config',
            {
                'version': version,
                'routes': [
                    {
                        'name': kind,
                        'host': HOST,
                        'path_prefix': f'/{kind}/',
                        'type': kind,
                        'timeout': '1.5s',
                        'target_latency': '300ms',
                        'max_attempts': 2,
                        'service': service,
                    }
                    for kind, service in services.items()
                ],
                'services': [
                    {
                        'name': name,
                        'health_check_path': emulator.targets.HEALTH_PATH,
                        'cold_per_s': COLD_RATE_PER_S,
                    }
                    for name in SERVICES
                ],
            },
        )
        self.manifests.append(PublishedManifest(version, services, self.now()))

    # Callers.

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f'{self.seed}/{number}')
        # Connections are kept open until the gateway process exits.
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                gateway = rng.choice(self.gateways)
                kind = rng.choice(KINDS)
                for _ in range(3):
                    attempt = await self._send_attempt(
                        session, gateway, kind, rng
                    )
                    should_retry = (
                        attempt.status in guarantees.NOT_RUN_STATUSES
                        or (kind == 'safe' and attempt.status != 200)
                    )
                    if not should_retry or self.stopping:
                        break
                    await asyncio.sleep(rng.uniform(0.02, 0.2))
                    gateway = rng.choice(self.gateways)
                await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _send_attempt(
        self, session, gateway, kind, rng: random.Random | None = None
    ) -> guarantees.Attempt:
        number = len(self.attempts)
        body = b''
        if kind != 'safe' and rng is not None:
            body = rng.randbytes(rng.choice((10, 3_000, 200_000)))
        attempt = guarantees.Attempt(
            f'{self.seed}-{number}',
            kind,
            'GET' if kind == 'safe' else 'POST',
            f'/{kind}/{number}?q=1',
            body,
            gateway.name,
            self.now(),
        )
        self.attempts.append(attempt)
        endpoint = f'127.0.0.1:{gateway.ports[0]}'
        await load.send_attempt(
            session, attempt, endpoint, HOST, REQUEST_TIMEOUT_MS / 1000
        )
        return attempt

    # Faults.

    async def _inject_faults(self) -> None:
        """Start faults at random times, so that they may overlap."""
        faults = [
            *([self._pause, self._kill, self._terminate] * 2),
            *(
                self._send_sighup,
                self._drop_store_traffic,
                self._blackhole_store,
            ),
            *(self._reset_store, self._fail_store, self._compact_store),
            *(
                self._queue_response_faults,
                self._impair_target_connections,
                self._slow_target,
            ),
            *([self._publish_manifest_series] * 3),
            *(self._evacuate, self._drain_target, self._replace_target),
            self._make_target_cold,
        ]
        running = set()
        ends_at = self.now() + self.seconds
        while self.now() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
            fault = self.rng.choice(faults)
            task = asyncio.create_task(fault())
            running.add(task)
        for task in running:
            await task

    @contextlib.contextmanager
    def _record_fault(self, subject: str):
        """Record a fault that lasts until the end of the block."""
        interval = Interval(subject, self.now())
        self.fault_intervals.append(interval)
        try:
            yield
        finally:
            interval.until = self.now()

    def _pick_gateway(self) -> Gateway | None:
        free = [g for g in self.gateways if g.name not in self.reserved]
        # One gateway stays without faults, so that callers can be served.
        return self.rng.choice(free) if len(free) > 1 else None

    @contextlib.contextmanager
    def _gateway_fault(self):
        """Record a fault of a random gateway; yield None if none is left."""
        gateway = self._pick_gateway()
        if gateway is None:
            yield None
            return
        self.reserved.add(gateway.name)
        try:
            with self._record_fault(gateway.name):
                yield gateway
        finally:
            self.reserved.discard(gateway.name)

    async def _pause(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))
                gateway.signal(signal.SIGCONT)

    async def _kill(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.signal(signal.SIGKILL)
                await gateway.wait_until_ended()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                await self._restart(gateway)

    async def _terminate(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is None:
                return
            interval = Interval(gateway.name, self.now())
            self.terminations.append(interval)
            gateway.signal(signal.SIGTERM)
            await gateway.wait_until_ended()
            interval.until = self.now()
            if gateway.process.returncode != 0:
                self.violations.append(
                    f'{gateway.name} exited with status '
                    f'{gateway.process.returncode}'
                )
            await self._restart(gateway)

    async def _restart(self, gateway: Gateway) -> None:
        await gateway.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_serving(gateway):
                    await asyncio.sleep(0.1)

    async def _send_sighup(self) -> None:
        gateway = self._pick_gateway()
        if gateway is not None:
            gateway.signal(signal.SIGHUP)

    async def _drop_store_traffic(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is None:
                return
            direction = self.rng.choice(('drops_requests', 'drops_responses'))
            setattr(gateway.relay, direction, True)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            setattr(gateway.relay, direction, False)
            gateway.relay.reset()

    async def _blackhole_store(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.relay.blackhole()

    async def _reset_store(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.relay.reset()

    async def _fail_store(self) -> None:
        with self._record_fault(''):
            faults = [f for f in store_types.StoreFault]
            self.store.fault = self.rng.choice(faults)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            self.store.fault = store_types.StoreFault.NONE

    async def _compact_store(self) -> None:
        for topic in list(self.store.topics):
            self.store.compact(topic)

    async def _queue_response_faults(self) -> None:
        target = self.rng.choice(self.targets)
        faults = [f for f in emulator.Fault if f is not emulator.Fault.EARLY]
        target.faults.extend(self.rng.choices(faults, k=4))

    async def _impair_target_connections(self) -> None:
        relay = self.relays[self.rng.choice(self.targets).target_id]
        match self.rng.choice(('reset', 'silence', 'delay', 'requests', 'r')):
            case 'reset':
                relay.reset()
            case 'silence':
                relay.blackhole()
            case 'delay':
                relay.delay_s = self.rng.uniform(0.02, 0.3)
                await asyncio.sleep(2.0)
                relay.delay_s = 0.0
            case 'requests':
                relay.drops_requests = True
                await asyncio.sleep(1.0)
                relay.drops_requests = False
            case _:  # 'r': responses
                relay.drops_responses = True
                await asyncio.sleep(1.0)
                relay.drops_responses = False

    async def _slow_target(self) -> None:
        target = self.rng.choice(self.targets)
        target.work_s, target.work_percent = 0.2, 1_000
        await asyncio.sleep(1.5)
        target.work_s, target.work_percent = 0.02, 100

    async def _publish_manifest_series(self) -> None:
        # Each version is published before all gateways have the previous
        # one.
        for _ in range(self.rng.randrange(1, 4)):
            await self._publish_manifest()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def _evacuate(self) -> None:
        if 'domain' in self.reserved:
            return
        self.reserved.add('domain')
        zone = self.rng.choice(ZONES)
        key = f'evacuate/{zone}'
        await self.store.put(store_types.OPERATOR_TOPIC, key, {'zone': zone})
        interval = Interval(zone, self.now())
        self.evacuations.append(interval)
        await asyncio.sleep(self.rng.uniform(0.5, EVACUATION_LIMIT_S + 3.0))
        interval.until = self.now()
        await self.store.put(store_types.OPERATOR_TOPIC, key, b'')
        self.reserved.discard('domain')

    def _pick_target(self) -> emulator.EmulatedTarget | None:
        # These are the third and fourth target of each service. The first
        # two, one in each zone, stay without these faults.
        candidates = [t for t in self.targets[2:4] + self.targets[6:8]]
        free = [t for t in candidates if t.target_id not in self.reserved]
        return self.rng.choice(free) if free else None

    async def _drain_target(self) -> None:
        target = self._pick_target()
        if target is None:
            return
        self.reserved.add(target.target_id)
        await target.register(self.store, 'draining')
        interval = Interval(target.target_id, self.now())
        self.withdrawals.append(interval)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        await self.store.put(store_types.TARGET_TOPIC, target.target_id, b'')
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        interval.until = self.now()
        target.started_at_ms += 1
        await target.register(self.store)
        self.reserved.discard(target.target_id)

    async def _replace_target(self) -> None:
        """Reuse the address of a target for a target of the other service."""
        target = self._pick_target()
        if target is None:
            return
        old = target.target_id
        self.reserved.add(old)
        relay = self.relays[old]
        await self.store.put(store_types.TARGET_TOPIC, old, b'')
        relay.reset()
        target.target_id = f'{old.partition("+")[0]}+{self.rng.random()}'
        # Index 1 (True) for a target of the first service, otherwise 0.
        target.service = SERVICES[target.service == SERVICES[0]]
        self.relays[target.target_id] = relay
        self.reserved.add(target.target_id)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await target.register(self.store)
        self.reserved.discard(target.target_id)

    async def _make_target_cold(self) -> None:
        target = self._pick_target()
        if target is None:
            return
        self.reserved.add(target.target_id)
        target.cold_ms = 2_000
        interval = Interval(target.target_id, self.now())
        self.cold_intervals.append(interval)
        await asyncio.sleep(2.0)
        target.cold_ms = 0
        interval.until = self.now()
        self.reserved.discard(target.target_id)

    # Checks.

    async def _check_recovery(self) -> None:
        await asyncio.sleep(RECOVERY_WAIT_S)
        for gateway in self.gateways:
            served = [await self._is_serving(gateway) for _ in range(3)]
            if not any(served):
                self.violations.append(
                    f'{gateway.name} did not recover: no request succeeded'
                )

    def _check_guarantees(self) -> None:
        self.violations += guarantees.find_violations(
            self.attempts, self.targets
        )
        sent = {attempt.request_id: attempt for attempt in self.attempts}
        ran = set()
        for target in self.targets:
            for run in target.runs:
                ran.add(run.request_id)
                if run.request_id in sent:
                    self._check_run(sent[run.request_id], target, run)
        for attempt in self.attempts:
            if attempt.request_id in ran:
                self._check_stop(attempt)
        for interval in self.cold_intervals:
            self._check_cold_rate(interval)

    def _check_cold_rate(self, interval: Interval) -> None:
        times = [
            run.started_at
            for target in self.targets
            for run in target.runs
            if run.target_id == interval.subject
            and interval.since + COLD_GRACE_S < run.started_at < interval.until
        ]
        peak = max(
            (sum(at <= t < at + 1.0 for t in times) for at in times), default=0
        )
        if peak > COLD_LIMIT_PER_S:
            self.violations.append(
                f'{peak} requests in 1 s at the cold target {interval.subject}'
            )

    def _check_run(
        self,
        attempt: guarantees.Attempt,
        target,
        run: emulator.ExecutedRequest,
    ) -> None:
        since = attempt.sent_at
        allowed = {
            published.services[attempt.kind]
            for published, successor in zip(
                self.manifests, [*self.manifests[1:], None]
            )
            if successor is None
            or since <= successor.accepted_at + MANIFEST_LIMIT_S
            or self._had_fault(attempt.gateway, since)
        }
        if run.service not in allowed:
            self.violations.append(
                f'{attempt.request_id} at {since:.2f} ran at {run.service}, '
                f'allowed {sorted(allowed)}, by {attempt.gateway}'
            )
        if self._had_fault(attempt.gateway, since):
            return
        for interval, withdrawn, limit_s in [
            *((s, run.target_id, MANIFEST_LIMIT_S) for s in self.withdrawals),
            *((s, target.zone, EVACUATION_LIMIT_S) for s in self.evacuations),
        ]:
            if interval.subject == withdrawn and (
                interval.since + limit_s < since
                and run.started_at < interval.until
            ):
                self.violations.append(
                    f'{attempt.request_id} ran at {withdrawn} '
                    f'{since - interval.since:.2f} s after its withdrawal'
                )

    def _check_stop(self, attempt: guarantees.Attempt) -> None:
        """Report an executed request whose response a graceful stop cut off.

        Responses may be cut off when the stop has taken nearly
        ``STOP_TIMEOUT_S``, after which the process is killed.
        """
        # Longer attempts may have ended by the timeout of their caller.
        cut = (
            attempt.status == 0 and attempt.finished_at - attempt.sent_at < 1.0
        )
        if cut and any(
            interval.overlaps(
                attempt.gateway, attempt.sent_at, attempt.sent_at
            )
            for interval in self.terminations
        ):
            if not self._was_killed(attempt):
                self.violations.append(
                    'response cut off by a graceful stop: '
                    f'{attempt.request_id}'
                )

    def _was_killed(self, attempt: guarantees.Attempt) -> bool:
        return any(
            interval.overlaps(
                attempt.gateway, attempt.sent_at, attempt.finished_at
            )
            and attempt.finished_at - interval.since > STOP_TIMEOUT_S - 1.0
            for interval in self.terminations
        )

    def _had_fault(self, gateway: str, at: float) -> bool:
        return any(
            interval.overlaps(gateway, at - FAULT_AFTERMATH_S, at)
            for interval in self.fault_intervals
        )


def main() -> int:
    """Run the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog='tests.soak')
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--gateways', type=int, default=4)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        soak = Soak(seed, options.seconds, options.gateways, logs)
        found = asyncio.run(soak.run())
        failed += bool(found)
        statuses = collections.Counter(
            attempt.status for attempt in soak.attempts
        )
        print(
            f'seed {seed}: {len(found)} violations, '
            f'statuses {dict(sorted(statuses.items()))}, logs in {logs}',
            flush=True,
        )
        for line in found[:20]:
            print(f'  {line}')
    print(f'{failed} of {options.seeds} seeds failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
