"""Random faults against real gateway processes, judged from outside.

Gateways run as processes of their own, behind loopback relays that delay,
cut, silence and reset their connections; signals pause, stop and kill them.
The store and the targets are emulated in this process, which also holds the
callers, so that what targets ran and callers were told can be compared.

``python -m tests.soak --seeds 50 --first 1`` plays one run a seed. A seed
that fails is printed with its violations; the gateways' logs are kept.
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
from dragonflyslip_emulator import load
from dragonflyslip_emulator import store as store_types
from dragonflyslip_emulator import verdict
from dragonflyslip_testing import ports
from dragonflyslip_testing import relay as relay_types

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = ('casebook', 'grantdesk')
ZONES = ('zone-a', 'zone-b')
HOST = 'app.example'
KINDS = ('safe', 'unsafe', 'upload')
# Bounds of the platform's rules.
CHANGE_S = 2.0
EVACUATE_S = 5.0
SETTLE_S = 3.0
RECOVER_S = 6.0
STOP_TIMEOUT_S = 6.0
# A loaded machine may start a gateway or run a caller late.
PATIENCE_S = 20.0
WAIT_MS = 2_000
COLD_RATE = 3.5
COLD_LIMIT = COLD_RATE * 1.5 + 5
# Requests that are on their way when a target turns cold.
COLD_GRACE_S = 0.3


@dataclasses.dataclass
class Span:
    """Time in which something held for one subject."""

    subject: str
    since: float
    until: float = float('inf')

    def covers(self, subject: str, since: float, until: float) -> bool:
        """Whether it touches the time of ``subject``."""
        return self.subject in ('', subject) and (
            self.since <= until and since <= self.until
        )


@dataclasses.dataclass
class Change:
    """A manifest: the service of each kind of request."""

    version: int
    services: dict[str, str]
    accepted_at: float


class Gateway:
    """One gateway process with its relay to the store."""

    def __init__(self, soak: 'Soak', number: int):
        self.soak = soak
        self.name = f'gateway-{number}'
        self.zone = ZONES[number % 2]
        self.ports = [ports.free_port() for _ in range(4)]
        self.relay = relay_types.Relay(0)
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start the process."""
        listen, ready, peers, measures = (
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
                    *('--peer-listen', peers, '--metrics-listen', measures),
                    *('--store-url', f'http://127.0.0.1:{self.relay_port}'),
                    *('--planned-entries', str(len(self.soak.gateways))),
                ],
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sources)},
                stdout=log,
                stderr=log,
            )

    async def listen(self) -> None:
        """Start the relay to the store."""
        self.relay.target_port = int(self.soak.store.url.rpartition(':')[2])
        server = await self.relay.listen(0)
        self.relay_port = server.sockets[0].getsockname()[1]

    def signal(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self) -> None:
        """Wait for the end of the process; kill it if it is late."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while self.process.poll() is None:
                    await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)


class Soak:
    """One run with one seed."""

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
        self.told: list[verdict.Attempt] = []
        self.changes: list[Change] = []
        # Faults of gateways; '' stands for all of them.
        self.disturbed: list[Span] = []
        self.terminated: list[Span] = []
        self.leaving: list[Span] = []
        self.evacuated: list[Span] = []
        self.cold: list[Span] = []
        self.violations: list[str] = []
        self.busy: set[str] = set()
        self.stopping = False
        for number in range(gateways):
            self.gateways.append(Gateway(self, number))

    def now(self) -> float:
        """Return the event loop's time."""
        return asyncio.get_running_loop().time()

    async def run(self) -> list[str]:
        """Play the run and return what was violated."""
        await self.store.start()
        try:
            await self._start()
            callers = [
                asyncio.create_task(self._call_often(number))
                for number in range(12)
            ]
            faults = asyncio.create_task(self._inject())
            await faults
            await self._check_recovery()
            self.stopping = True
            await asyncio.gather(*callers)
        finally:
            for gateway in self.gateways:
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
            for target in self.targets:
                target.public_port = 0
                await target.close()
            await self.store.close()
        self._judge()
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
                target.public_port = server.sockets[0].getsockname()[1]
                self.relays[target.target_id] = relay
                self.targets.append(target)
                await target.register(self.store)
        await self._publish()
        for gateway in self.gateways:
            await gateway.listen()
            await gateway.start()
        async with asyncio.timeout(PATIENCE_S):
            for gateway in self.gateways:
                while not await self._is_served(gateway):
                    await asyncio.sleep(0.05)

    async def _is_served(self, gateway: Gateway) -> bool:
        async with aiohttp.ClientSession() as session:
            told = await self._attempt(session, gateway, 'safe')
        return told.status == 200

    async def _publish(self) -> None:
        """Write a manifest that sends each kind to some service."""
        version = len(self.changes) + 1
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
                        'cold_per_s': COLD_RATE,
                    }
                    for name in SERVICES
                ],
            },
        )
        self.changes.append(Change(version, services, self.now()))

    # Callers.

    async def _call_often(self, number: int) -> None:
        rng = random.Random(f'{self.seed}/{number}')
        # Connections stay open until the gateway's process is gone.
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                gateway = rng.choice(self.gateways)
                kind = rng.choice(KINDS)
                for _ in range(3):
                    told = await self._attempt(session, gateway, kind, rng)
                    retries = told.status in verdict.NOT_RUN_STATUSES or (
                        kind == 'safe' and told.status != 200
                    )
                    if not retries or self.stopping:
                        break
                    await asyncio.sleep(rng.uniform(0.02, 0.2))
                    gateway = rng.choice(self.gateways)
                await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _attempt(
        self, session, gateway, kind, rng: random.Random | None = None
    ) -> verdict.Attempt:
        number = len(self.told)
        body = b''
        if kind != 'safe' and rng is not None:
            body = rng.randbytes(rng.choice((10, 3_000, 200_000)))
        told = verdict.Attempt(
            f'{self.seed}-{number}',
            kind,
            'GET' if kind == 'safe' else 'POST',
            f'/{kind}/{number}?q=1',
            body,
            gateway.name,
            self.now(),
        )
        self.told.append(told)
        endpoint = f'127.0.0.1:{gateway.ports[0]}'
        await load.send(session, told, endpoint, HOST, WAIT_MS / 1000)
        return told

    # Faults.

    async def _inject(self) -> None:
        """Start faults at random times; they overlap."""
        faults = [
            *([self._pause, self._kill, self._terminate] * 2),
            *(self._hang_up, self._cut_store, self._silence_store),
            *(self._reset_store, self._fail_store, self._compact_store),
            *(self._spoil_answers, self._disturb_target, self._slow_target),
            *([self._change] * 3),
            *(self._evacuate, self._drain_target, self._replace_target),
            self._cool_target,
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
    def _disturbance(self, subject: str):
        span = Span(subject, self.now())
        self.disturbed.append(span)
        try:
            yield
        finally:
            span.until = self.now()

    def _idle_gateway(self) -> Gateway | None:
        free = [g for g in self.gateways if g.name not in self.busy]
        # One gateway is left alone, so that callers find one that serves.
        return self.rng.choice(free) if len(free) > 1 else None

    @contextlib.contextmanager
    def _gateway_fault(self):
        gateway = self._idle_gateway()
        if gateway is None:
            yield None
            return
        self.busy.add(gateway.name)
        try:
            with self._disturbance(gateway.name):
                yield gateway
        finally:
            self.busy.discard(gateway.name)

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
                await gateway.ended()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                await self._restart(gateway)

    async def _terminate(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is None:
                return
            span = Span(gateway.name, self.now())
            self.terminated.append(span)
            gateway.signal(signal.SIGTERM)
            await gateway.ended()
            span.until = self.now()
            if gateway.process.returncode != 0:
                self.violations.append(
                    f'{gateway.name} ended with {gateway.process.returncode}'
                )
            await self._restart(gateway)

    async def _restart(self, gateway: Gateway) -> None:
        await gateway.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                while not await self._is_served(gateway):
                    await asyncio.sleep(0.1)

    async def _hang_up(self) -> None:
        gateway = self._idle_gateway()
        if gateway is not None:
            gateway.signal(signal.SIGHUP)

    async def _cut_store(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is None:
                return
            one_way = self.rng.choice(('drops_requests', 'drops_responses'))
            setattr(gateway.relay, one_way, True)
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            setattr(gateway.relay, one_way, False)
            gateway.relay.reset()

    async def _silence_store(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.relay.silence()

    async def _reset_store(self) -> None:
        with self._gateway_fault() as gateway:
            if gateway is not None:
                gateway.relay.reset()

    async def _fail_store(self) -> None:
        with self._disturbance(''):
            faults = [f for f in store_types.StoreFault]
            self.store.fault = self.rng.choice(faults)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            self.store.fault = store_types.StoreFault.NONE

    async def _compact_store(self) -> None:
        for topic in list(self.store.topics):
            self.store.compact(topic)

    async def _spoil_answers(self) -> None:
        target = self.rng.choice(self.targets)
        faults = [f for f in emulator.Fault if f is not emulator.Fault.EARLY]
        target.faults.extend(self.rng.choices(faults, k=4))

    async def _disturb_target(self) -> None:
        relay = self.relays[self.rng.choice(self.targets).target_id]
        match self.rng.choice(('reset', 'silence', 'delay', 'requests', 'r')):
            case 'reset':
                relay.reset()
            case 'silence':
                relay.silence()
            case 'delay':
                relay.delay_s = self.rng.uniform(0.02, 0.3)
                await asyncio.sleep(2.0)
                relay.delay_s = 0.0
            case 'requests':
                relay.drops_requests = True
                await asyncio.sleep(1.0)
                relay.drops_requests = False
            case _:
                relay.drops_responses = True
                await asyncio.sleep(1.0)
                relay.drops_responses = False

    async def _slow_target(self) -> None:
        target = self.rng.choice(self.targets)
        target.work_s, target.work_percent = 0.2, 1_000
        await asyncio.sleep(1.5)
        target.work_s, target.work_percent = 0.02, 100

    async def _change(self) -> None:
        # A series: the next version follows before the last is everywhere.
        for _ in range(self.rng.randrange(1, 4)):
            await self._publish()
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def _evacuate(self) -> None:
        if 'domain' in self.busy:
            return
        self.busy.add('domain')
        zone = self.rng.choice(ZONES)
        key = f'evacuate/{zone}'
        await self.store.put(store_types.OPERATOR_TOPIC, key, {'zone': zone})
        span = Span(zone, self.now())
        self.evacuated.append(span)
        await asyncio.sleep(self.rng.uniform(0.5, EVACUATE_S + 3.0))
        span.until = self.now()
        await self.store.put(store_types.OPERATOR_TOPIC, key, b'')
        self.busy.discard('domain')

    def _spare_target(self) -> emulator.EmulatedTarget | None:
        # One target a zone and service stays as it is.
        spare = [t for t in self.targets[2:4] + self.targets[6:8]]
        free = [t for t in spare if t.target_id not in self.busy]
        return self.rng.choice(free) if free else None

    async def _drain_target(self) -> None:
        target = self._spare_target()
        if target is None:
            return
        self.busy.add(target.target_id)
        await target.register(self.store, 'draining')
        span = Span(target.target_id, self.now())
        self.leaving.append(span)
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        await self.store.put(store_types.TARGET_TOPIC, target.target_id, b'')
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        span.until = self.now()
        target.born_ms += 1
        await target.register(self.store)
        self.busy.discard(target.target_id)

    async def _replace_target(self) -> None:
        """Give the address of a target to one of the other service."""
        target = self._spare_target()
        if target is None:
            return
        old = target.target_id
        self.busy.add(old)
        relay = self.relays[old]
        await self.store.put(store_types.TARGET_TOPIC, old, b'')
        relay.reset()
        target.target_id = f'{old.partition("+")[0]}+{self.rng.random()}'
        target.service = SERVICES[target.service == SERVICES[0]]
        self.relays[target.target_id] = relay
        self.busy.add(target.target_id)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await target.register(self.store)
        self.busy.discard(target.target_id)

    async def _cool_target(self) -> None:
        target = self._spare_target()
        if target is None:
            return
        self.busy.add(target.target_id)
        target.cold_ms = 2_000
        span = Span(target.target_id, self.now())
        self.cold.append(span)
        await asyncio.sleep(2.0)
        target.cold_ms = 0
        span.until = self.now()
        self.busy.discard(target.target_id)

    # Judgement.

    async def _check_recovery(self) -> None:
        await asyncio.sleep(RECOVER_S)
        for gateway in self.gateways:
            served = [await self._is_served(gateway) for _ in range(3)]
            if not any(served):
                self.violations.append(f'{gateway.name} does not serve again')

    def _judge(self) -> None:
        self.violations += verdict.find_violations(self.told, self.targets)
        sent = {told.request_id: told for told in self.told}
        ran = set()
        for target in self.targets:
            for run in target.runs:
                ran.add(run.request_id)
                if run.request_id in sent:
                    self._judge_run(sent[run.request_id], target, run)
        for told in self.told:
            if told.request_id in ran:
                self._judge_stop(told)
        for span in self.cold:
            self._judge_cold(span)

    def _judge_cold(self, span: Span) -> None:
        times = [
            run.started_at
            for target in self.targets
            for run in target.runs
            if run.target_id == span.subject
            and span.since + COLD_GRACE_S < run.started_at < span.until
        ]
        busiest = max(
            (sum(at <= t < at + 1.0 for t in times) for at in times), default=0
        )
        if busiest > COLD_LIMIT:
            self.violations.append(
                f'{busiest} requests in 1 s at {span.subject} while cold'
            )

    def _judge_run(
        self, told: verdict.Attempt, target, run: emulator.Run
    ) -> None:
        since = told.sent_at
        allowed = {
            change.services[told.kind]
            for change, following in zip(
                self.changes, [*self.changes[1:], None]
            )
            if following is None
            or since <= following.accepted_at + CHANGE_S
            or self._is_disturbed(told.gateway, since)
        }
        if run.service not in allowed:
            self.violations.append(
                f'{told.request_id} at {since:.2f} ran at {run.service}, '
                f'allowed {sorted(allowed)}, by {told.gateway}'
            )
        if self._is_disturbed(told.gateway, since):
            return
        for span, what, bound_s in [
            *((s, run.target_id, CHANGE_S) for s in self.leaving),
            *((s, target.zone, EVACUATE_S) for s in self.evacuated),
        ]:
            if span.subject == what and (
                span.since + bound_s < since and run.started_at < span.until
            ):
                self.violations.append(
                    f'{told.request_id} ran at {what} '
                    f'{since - span.since:.2f} s after it left'
                )

    def _judge_stop(self, told: verdict.Attempt) -> None:
        """Find a request that ran and was cut by a stop in good time."""
        cut = told.status == 0 and told.heard_at - told.sent_at < 1.0
        if cut and any(
            span.covers(told.gateway, told.sent_at, told.sent_at)
            for span in self.terminated
        ):
            if not self._was_killed(told):
                self.violations.append(f'cut by a stop: {told.request_id}')

    def _was_killed(self, told: verdict.Attempt) -> bool:
        return any(
            span.covers(told.gateway, told.sent_at, told.heard_at)
            and told.heard_at - span.since > STOP_TIMEOUT_S - 1.0
            for span in self.terminated
        )

    def _is_disturbed(self, gateway: str, at: float) -> bool:
        return any(
            span.covers(gateway, at - SETTLE_S, at) for span in self.disturbed
        )


def main() -> int:
    """Play the seeds that the command line names."""
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
        statuses = collections.Counter(told.status for told in soak.told)
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
