"""Measurements of daemons over loopback: calls, connections, fleets."""

import asyncio
import dataclasses
import random
import time

import aiohttp

from bench import fits
from bench import load
from bench import processes
from bench import slopes_objects

SERVICES = 16
TARGET_PROCESSES = 4
# Heartbeats repeat each change of a target for 3 s, which would add to the
# measured bytes and processor time.
_SETTLE_S = 4.0
_MEASURE_S = 4.0
_HEADERS = {'Host': 'casebook'}


class Publisher:
    """Publishes configuration to the fake server for the log over HTTP."""

    def __init__(self, group: processes.Processes):
        self.url = f'{group.log_url}/streams/config/records'
        self.encoder = slopes_objects.ConfigEncoder(random.Random(6))

    async def publish(
        self, session: aiohttp.ClientSession, record: bytes
    ) -> int:
        """Append a record and return its offset."""
        async with session.post(self.url, data=record) as response:
            return (await response.json())['offset']


@dataclasses.dataclass
class Sample:
    """Counters of one daemon at one time.

    :param at: monotonic time in seconds.
    """

    at: float
    cpu_s: float
    resident_bytes: int
    counters: dict[str, float]


async def sample(
    session: aiohttp.ClientSession, group: processes.Processes, name: str
) -> Sample:
    """Read the counters of a daemon."""
    url = f'http://127.0.0.1:{group.admin_ports[name]}/metrics'
    async with session.get(url) as response:
        text = await response.text()
    counters = {}
    for line in text.splitlines():
        if line and line[0] != '#':
            key, _, value = line.rpartition(' ')
            counters[key] = float(value)
    return Sample(
        time.monotonic(),
        group.cpu_seconds(name),
        group.memory_bytes(name),
        counters,
    )


def per_second(first: Sample, last: Sample, counter: str) -> float:
    """Return the rate of a counter between two samples."""
    increase = last.counters.get(counter, 0.0) - first.counters.get(
        counter, 0.0
    )
    return increase / (last.at - first.at)


def cores(first: Sample, last: Sample) -> float:
    """Return the processor seconds per second between two samples."""
    return (last.cpu_s - first.cpu_s) / (last.at - first.at)


async def call_fits(
    group: processes.Processes, session: aiohttp.ClientSession
) -> list[fits.Fit]:
    """Measure calls, callers' connections and claims at one entry."""
    publisher = Publisher(group)
    for number in range(TARGET_PROCESSES):
        group.start_target(f'casebook-{number}', 'casebook')
    profile = publisher.encoder.profile(hedge_after_ms=0, slots=100)
    await publisher.publish(session, profile)
    await publisher.publish(session, publisher.encoder.service('casebook'))
    port = group.start_entry('entry-calls', DRAGONFLYSLIP_APPEND_RATE='50')
    await asyncio.to_thread(group.wait_ready, 'entry-calls')
    url = f'http://127.0.0.1:{port}/'
    await _wait_until_warm(url)
    calls = await _call_points(group, session, url)
    connections = await _connection_points(group, port)
    claims = await _claim_points(group, session, url)
    return [
        fits.Fit(
            'processor time of the daemon under calls',
            'calls/s',
            'cores',
            tuple(calls),
            True,
        ),
        fits.Fit(
            'resident memory per idle caller connection',
            'connections',
            'bytes',
            tuple(connections),
        ),
        *claims,
    ]


async def _wait_until_warm(url: str) -> None:
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        warm = load.Sample()
        await load.run_load(url, 100, 1, random.Random(0), warm)
        if not warm.failed and warm.percentile(0.9) < 25:
            return
    raise TimeoutError('targets did not become warm within 30 s')


async def _call_points(group, session, url) -> list[tuple[float, float]]:
    points = []
    for rate in (100, 250, 500):
        calls = load.Sample()
        first = await sample(session, group, 'entry-calls')
        await load.run_load(url, rate, 3, random.Random(rate), calls)
        last = await sample(session, group, 'entry-calls')
        if calls.failed:
            raise RuntimeError(f'{calls.failed} calls failed at {rate}/s')
        done = len(calls.latencies_ms) / (last.at - first.at)
        points.append((round(done, 1), cores(first, last)))
    return points


async def _connection_points(group, port) -> list[tuple[int, int]]:
    request = b'GET / HTTP/1.1\r\nHost: casebook\r\n\r\n'
    connections, points = [], []
    for count in (100, 200, 400, 800):
        while len(connections) < count:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            connections.append(writer)
            writer.write(request)
            head = await reader.readuntil(b'\r\n\r\n')
            assert b' 200 ' in head, head
        points.append((count, group.memory_bytes('entry-calls')))
    for writer in connections:
        writer.close()
    return points


def _idempotency_key(rng: random.Random) -> str:
    # A version 7 UUID: Unix time in ms, version, variant and random bits.
    value = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62
    value |= rng.getrandbits(12) << 64 | rng.getrandbits(62)
    text = f'{value:032x}'
    return '-'.join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    )


async def _claim_points(group, session, url) -> list[fits.Fit]:
    rng = random.Random(7)
    appends, cpu_points = [], []
    for rate in (10, 20, 35, 100, 150, 200):
        first = await sample(session, group, 'entry-calls')
        statuses = await _post_keyed_calls(session, url, rate, 2, rng)
        last = await sample(session, group, 'entry-calls')
        if set(statuses) != {200}:
            raise RuntimeError(
                f'keyed calls returned statuses {sorted(set(statuses))}'
            )
        claims = per_second(first, last, 'dragonflyslip_claims_total')
        appends_per_s = per_second(
            first, last, 'dragonflyslip_claim_appends_total'
        )
        appends.append((round(claims, 1), appends_per_s))
        cpu_points.append((round(claims, 1), cores(first, last)))
    name = 'claim appends of one entry, budget 50 a second'
    return [
        fits.Fit(
            f'{name}, fewer claims',
            'claims/s',
            'appends/s',
            tuple(appends[:3]),
        ),
        fits.Fit(
            f'{name}, more claims',
            'claims/s',
            'appends/s',
            tuple(appends[3:]),
        ),
        fits.Fit(
            'processor time of the daemon under keyed calls',
            'claims/s',
            'cores',
            tuple(cpu_points),
            True,
        ),
    ]


async def _post_keyed_calls(session, url, rate, seconds, rng) -> list[int]:
    async def call() -> int:
        headers = {**_HEADERS, 'Idempotency-Key': _idempotency_key(rng)}
        async with session.post(url, headers=headers) as response:
            await response.read()
            return response.status

    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(call()))
        await asyncio.sleep(rng.expovariate(rate))
    return await asyncio.gather(*tasks)


async def target_fits(
    group: processes.Processes, session: aiohttp.ClientSession
) -> list[fits.Fit]:
    """Measure an idle entry for several numbers of watched targets."""
    publisher = Publisher(group)
    await publisher.publish(session, publisher.encoder.profile())
    ports = await _target_ports(group)
    for number in range(SERVICES):
        name = slopes_objects.service_name(number)
        record = publisher.encoder.service(name)
        await publisher.publish(session, record)
    group.start_entry('entry-targets')
    cpu_points, memory, probes = [], [], []
    for count in (20, 80, 240):
        _list_targets(group, ports, count)
        await asyncio.to_thread(group.wait_ready, 'entry-targets')
        await asyncio.sleep(_SETTLE_S)
        first = await sample(session, group, 'entry-targets')
        await asyncio.sleep(_MEASURE_S)
        last = await sample(session, group, 'entry-targets')
        cpu_points.append((count, cores(first, last)))
        memory.append((count, last.resident_bytes))
        probes.append(
            (count, per_second(first, last, 'dragonflyslip_probes_total'))
        )
    return [
        fits.Fit(
            'processor time of an idle daemon, alone in its fleet',
            'targets',
            'cores',
            tuple(cpu_points),
            True,
        ),
        fits.Fit(
            'probes of an idle daemon, alone in its fleet',
            'targets',
            'probes/s',
            tuple(probes),
            True,
        ),
        fits.Fit(
            'resident memory of an idle daemon',
            'targets',
            'bytes',
            tuple(memory),
        ),
    ]


async def _target_ports(group: processes.Processes) -> list[int]:
    return [
        group.start_fake('target', f'watched-{number}')
        for number in range(TARGET_PROCESSES)
    ]


def _list_targets(group, ports, count: int) -> None:
    # Several rows share a target process to limit the number of processes;
    # the entry still watches each row at the same cost.
    for number in range(count):
        name = f'target-{number:05d}'
        group.rows[name] = {
            'instance_id': name,
            'kind': 'target',
            'service': slopes_objects.service_name(number % SERVICES),
            'address': '127.0.0.1',
            'port': ports[number % len(ports)],
            'failure_domain': 'zone-a',
            'state': 'live',
        }
    group.put_rows()


async def fleet_fits(
    group: processes.Processes, session: aiohttp.ClientSession
) -> list[fits.Fit]:
    """Measure fleets of 3, 9 and 17 daemons with 20 targets."""
    publisher = Publisher(group)
    await publisher.publish(session, publisher.encoder.profile())
    for number in range(SERVICES):
        name = slopes_objects.service_name(number)
        record = publisher.encoder.service(name)
        await publisher.publish(session, record)
    _list_targets(group, await _target_ports(group), 20)
    sent, cpu_points, memory, median_ms, slowest_ms = [], [], [], [], []
    names: list[str] = []
    for count in (3, 9, 17):
        while len(names) < count:
            names.append(f'entry-{len(names):02d}')
            group.start_entry(names[-1])
            await asyncio.sleep(0.25)
        for name in names:
            await asyncio.to_thread(group.wait_ready, name)
        await asyncio.sleep(_SETTLE_S)
        first = [await sample(session, group, name) for name in names]
        await asyncio.sleep(_MEASURE_S)
        last = [await sample(session, group, name) for name in names]
        pairs = list(zip(first, last))
        counter = 'dragonflyslip_peer_bytes_sent_total'
        peers = count - 1
        sent.append((peers, _mean(per_second(*p, counter) for p in pairs)))
        cpu_points.append((peers, _mean(cores(*pair) for pair in pairs)))
        memory.append((peers, _mean(s.resident_bytes for s in last)))
        times = [
            await _time_to_apply(group, session, publisher, names)
            for _ in range(5)
        ]
        median_ms.append((count, sorted(times)[2] * 1000))
        slowest_ms.append((count, max(times) * 1000))
    return [
        fits.Fit(
            'heartbeats and notices sent by an idle daemon, 20 targets',
            'peers',
            'bytes/s',
            tuple(sent),
        ),
        fits.Fit(
            'processor time of an idle daemon, 20 targets',
            'peers',
            'cores',
            tuple(cpu_points),
            True,
        ),
        fits.Fit(
            'resident memory of an idle daemon, 20 targets',
            'peers',
            'bytes',
            tuple(memory),
        ),
        fits.Fit(
            'time until a change is in force everywhere, median of 5',
            'entries',
            'ms',
            tuple(median_ms),
            True,
        ),
        fits.Fit(
            'time until a change is in force everywhere, slowest of 5',
            'entries',
            'ms',
            tuple(slowest_ms),
            True,
        ),
    ]


def _mean(values) -> float:
    values = list(values)
    return sum(values) / len(values)


async def _time_to_apply(group, session, publisher, names) -> float:
    record = publisher.encoder.service(slopes_objects.service_name(0))
    started = time.monotonic()
    offset = await publisher.publish(session, record)

    async def wait_in_force(name: str) -> None:
        url = f'http://127.0.0.1:{group.admin_ports[name]}/state'
        while True:
            async with session.get(url) as response:
                state = await response.json()
            if state['config']['through'] >= offset:
                return
            await asyncio.sleep(0.005)

    await asyncio.gather(*(wait_in_force(name) for name in names))
    return time.monotonic() - started
