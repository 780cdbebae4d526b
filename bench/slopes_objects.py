"""Memory and processor time of one entry's objects, in this process.

Memory is what tracemalloc counts as allocated for the objects. Processor
time is that of this process, so other processes affect it only through
caches and clock rates.
"""

import asyncio
import collections.abc
import gc
import math
import os
import pathlib
import random
import time
import tracemalloc
import uuid

import multidict

from bench import fits
from bench import processes
from dragonflyslip_core import answers
from dragonflyslip_core import budgets
from dragonflyslip_core import changes
from dragonflyslip_core import checkpoints
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claims
from dragonflyslip_core import config
from dragonflyslip_core import connections
from dragonflyslip_core import membership
from dragonflyslip_core import models
from dragonflyslip_core import profiles
from dragonflyslip_core import target_facts
from dragonflyslip_core import targets
import dragonflyslip_entry as entry
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import peer_links
from dragonflyslip_entry import upstream
import dragonflyslip_platform as platform
from dragonflyslip_testing import memory_instances
from dragonflyslip_testing import memory_log
import dragonflyslip_wire as wire

SERVICES = 580
TARGETS_PER_SERVICE = 17
_REPEATS = 3
_POLL_MEASURE_S = 1.0
_KEY_BYTES = 16
_UNREACHABLE_URL = 'http://127.0.0.1:1'


def allocated_bytes(build: collections.abc.Callable[[], object]) -> int:
    """Return the bytes that ``build`` allocates and that stay allocated.

    They belong to what it returns or to objects that existed before.
    """
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def cpu_us(work: collections.abc.Callable[[], object], times: int) -> float:
    """Return the processor time of one call of ``work`` in microseconds.

    It is the least of several runs of ``times`` calls each.
    """
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.process_time()
        for _ in range(times):
            work()
        best = min(best, time.process_time() - started)
    return best / times * 1e6


class ConfigEncoder:
    """Encodes configuration records, each with the version it replaces.

    :param rng: source of the change IDs.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.offset = 0
        self.versions: dict[tuple[changes.Kind, str], int] = {}

    def encode(self, kind: changes.Kind, name: str, body) -> bytes:
        """Return the next record of the stream."""
        self.offset += 1
        change = changes.ConfigChange(
            str(uuid.UUID(int=self.rng.getrandbits(128), version=4)),
            'bench',
            1_700_000_000_000,
            kind,
            name,
            self.versions.get((kind, name), 0),
            body,
        )
        self.versions[kind, name] = self.offset
        return changes.encode_change(change)

    def profile(self, name: str = 'bench', **fields) -> bytes:
        """Return a record that publishes a profile."""
        return self.encode(
            changes.Kind.PROFILE, name, models.ProfileModel(**fields)
        )

    def service(self, name: str, profile: str = 'bench') -> bytes:
        """Return a record that publishes a service."""
        return self.encode(
            changes.Kind.SERVICE,
            name,
            models.ServiceModel(profile=profile, hosts=(f'{name}.example',)),
        )


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f'service-{number:03d}'


def instance_rows(count: int, port: int = 1, services: int = SERVICES):
    """Return rows of the instance list for ``count`` targets."""
    return tuple(
        platform.ListedInstance(
            f'target-{number:05d}',
            'target',
            service_name(number // TARGETS_PER_SERVICE % services),
            '127.0.0.1',
            port,
            f'zone-{"abcd"[number % 4]}',
            targets.InstanceState.LIVE,
        )
        for number in range(count)
    )


async def make_entry(
    services: int, rows=(), encoder: ConfigEncoder | None = None
) -> entry.Entry:
    """Return an entry that has read its configuration and the list.

    :param encoder: encodes the configuration; pass one to append
        further records later.
    """
    log = memory_log.MemoryLog()
    options = entry.Settings(
        name='entry-00',
        failure_domain='zone-a',
        log_url=_UNREACHABLE_URL,
        instances_url=_UNREACHABLE_URL,
    )
    daemon = entry.Entry(
        options, log, memory_instances.MemoryInstances(tuple(rows))
    )
    encoder = encoder or ConfigEncoder(random.Random(1))
    await log.append('config', encoder.profile())
    for number in range(services):
        await log.append('config', encoder.service(service_name(number)))
    while not daemon.config.caught_up.is_set():
        await daemon.config.read_once()
    await daemon.targets.read_once()
    return daemon


def _create_target_state(daemon: entry.Entry) -> None:
    # Creates the state that calls and probes keep per target, without sockets.
    now = daemon.loop.time()
    daemon.fleet.step(now)
    for state in daemon.board.targets.values():
        target = state.target
        control = daemon.services.get(target.service)
        report = targets.LoadReport(1, 6, f'boot-{target.instance_id}')
        control.limit_of(target.instance_id)
        control.policy.probed(target, report, now)
        control.probe_schedule.next_target([state], now)
        daemon.watch_table.get_or_create(target)
        daemon.pools.get_or_create(target, control.profile)
        state.report = report
        daemon.warmups.observe_report(target.instance_id, report, now, now)


async def memory_fits() -> list[fits.Fit]:
    """Measure memory per target, service, change, peer, claim and answer."""
    by_target, by_service = [], []
    for count in (85, 170, 340):
        daemon = await make_entry(40, instance_rows(count, services=40))
        by_target.append(
            (count, allocated_bytes(lambda d=daemon: _create_target_state(d)))
        )
        entry_bytes = await _entry_bytes(40, instance_rows(count, services=40))
        # Add the memory of an entry that has only read configuration and list.
        by_target[-1] = (count, by_target[-1][1] + entry_bytes)
        await daemon.session.close()
    for count in (73, 145, 290):
        by_service.append((count, await _entry_bytes(count, ())))
    change_ids = [
        (count, allocated_bytes(lambda n=count: _config_state(20, n)))
        for count in (1024, 2048, 4096)
    ]
    peers = [
        (n, allocated_bytes(lambda n=n: _peer_state(n))) for n in (16, 64, 256)
    ]
    figures = [
        ('memory per target', 'targets', by_target),
        ('memory per service', 'services', by_service),
        ('memory per change id kept', 'changes', change_ids),
        ('memory per peer, without sockets', 'peers', peers),
    ]
    for size in (1, 32):
        figures.append(
            (
                f'memory per claim, batches of {size}',
                'claims',
                [
                    (
                        n,
                        allocated_bytes(
                            lambda n=n, s=size: _claim_table(n, s)
                        ),
                    )
                    for n in (1600, 3200, 6400)
                ],
            )
        )
    figures.append(
        (
            'memory per stored answer of 200 bytes',
            'answers',
            [
                (n, allocated_bytes(lambda n=n: _answer_store(n)))
                for n in (500, 1000, 2000)
            ],
        )
    )
    return [
        fits.Fit(name, x, 'bytes', tuple(points))
        for name, x, points in figures
    ]


async def _entry_bytes(services: int, rows) -> int:
    gc.collect()
    tracemalloc.start()
    daemon = await make_entry(services, rows)
    daemon.log.streams.clear()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    await daemon.session.close()
    return size


def _config_state(services: int, count: int) -> config.ConfigState:
    # Further versions of the profile fill the history of change ids.
    encoder = ConfigEncoder(random.Random(2))
    state = config.ConfigState()
    config.apply_record(state, 1, encoder.profile())
    for number in range(services):
        record = encoder.service(service_name(number))
        config.apply_record(state, encoder.offset, record)
    while encoder.offset < count:
        record = encoder.profile(slots=1 + encoder.offset % 9)
        config.apply_record(state, encoder.offset, record)
    return state


def _peer_state(count: int) -> object:
    own = membership.EntryId('entry', 1)
    known = membership.Membership(own, 1.0)
    links = []
    for number in range(count):
        entry_id = membership.EntryId(f'entry-{number:03d}', number)
        report = membership.MemberReport(entry_id, 9, 1, bytes(8), 5.0)
        known.observe_heartbeat(report, 1.0)
        links += [peer_links.PeerLink(None, None) for _ in range(2)]
    known.observe_list([f'entry-{n:03d}' for n in range(count)], 1.0)
    known.view(1.0)
    return known, links


def _claim_batches(count: int, size: int) -> list[bytes]:
    rng = random.Random(3)
    entry_id = f'entry-07/{1 << 63:016x}'
    return [
        claims.claim_batches.encode_batch(
            entry_id,
            [
                claims.ClaimRecord(
                    'grantdesk',
                    rng.randbytes(_KEY_BYTES),
                    rng.randbytes(8),
                    entry_id,
                    start + number,
                )
                for number in range(size)
            ],
        )
        for start in range(0, count, size)
    ]


def _claim_table(count: int, size: int) -> claims.ClaimTable:
    table = claims.ClaimTable()
    batches = _claim_batches(count, size)
    for offset, data in enumerate(batches, 1):
        # Batches of a busy stream arrive some milliseconds apart.
        claims.apply_claim_record(table, offset, 1000 + 20 * offset, data)
    return table


def _answer_store(count: int) -> answers.AnswerStore:
    store = answers.AnswerStore()
    rng = random.Random(4)
    for _ in range(count):
        key_hash, fingerprint = rng.randbytes(_KEY_BYTES), rng.randbytes(8)
        store.begin('grantdesk', key_hash, fingerprint)
        headers = tuple(
            (f'X-Header-{n}-{rng.random():.6f}', f'{rng.random():.12f}')
            for n in range(6)
        )
        answer = answers.Answer(200, headers, rng.randbytes(200))
        store.finish('grantdesk', key_hash, answer, 1.0)
    return store


async def cpu_fits() -> list[fits.Fit]:
    """Measure CPU time of changes, checkpoints, heartbeats and claims."""
    return [
        *await _change_fits(),
        *_checkpoint_fits(),
        *await _heartbeat_fits(),
        *await _fleet_step_fits(),
        *await _poll_fits(),
        *_claim_fits(),
    ]


async def _change_cpu(services: int, count: int) -> float:
    encoder = ConfigEncoder(random.Random(5))
    rows = instance_rows(count, services=services)
    daemon = await make_entry(services, rows, encoder)
    best = float('inf')
    for number in range(12):
        record = encoder.service(service_name(number))
        await daemon.log.append('config', record)
        started = time.process_time()
        await daemon.config.read_once()
        best = min(best, time.process_time() - started)
    await daemon.session.close()
    return best * 1e6


async def _change_fits() -> list[fits.Fit]:
    by_service = [(n, await _change_cpu(n, 20)) for n in (145, 290, 580)]
    by_target = [(n, await _change_cpu(580, n)) for n in (20, 340, 1360)]
    return [
        fits.Fit(
            'processor time per change read and applied, 20 targets',
            'services',
            'us',
            tuple(by_service),
            True,
        ),
        fits.Fit(
            'processor time per change read and applied, 580 services',
            'targets',
            'us',
            tuple(by_target),
            True,
        ),
    ]


def _checkpoint_fits() -> list[fits.Fit]:
    made, loaded, size = [], [], []
    made_by_history, loaded_by_history = [], []
    for services, history_size in (
        (145, 8192),
        (290, 8192),
        (580, 8192),
        (580, 4096),
        (580, 2048),
    ):
        state = _config_state(services, history_size)
        record = checkpoints.make_checkpoint(state)
        make = cpu_us(lambda s=state: checkpoints.make_checkpoint(s), 3)
        load = cpu_us(lambda r=record: checkpoints.load_checkpoint(r), 1)
        if history_size == 8192:
            made.append((services, make))
            loaded.append((services, load))
            size.append((services, len(record)))
        if services == 580:
            made_by_history.append((history_size, make))
            loaded_by_history.append((history_size, load))
    history = '8,192 change ids'
    figures = [
        (f'checkpoint made, {history}', 'services', made),
        (f'checkpoint loaded, {history}', 'services', loaded),
        ('checkpoint made, 580 services', 'change ids', made_by_history),
        ('checkpoint loaded, 580 services', 'change ids', loaded_by_history),
    ]
    return [
        fits.Fit(f'processor time per {name}', x, 'us', tuple(points), True)
        for name, x, points in figures
    ] + [
        fits.Fit(
            f'bytes of a checkpoint, {history}',
            'services',
            'bytes',
            tuple(size),
        )
    ]


class _DiscardingTransport:
    """A transport that counts the bytes written to it and drops them."""

    def __init__(self):
        self.bytes = 0

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        self.bytes += len(data)


def _heartbeat_frame(number: int, sequence: int, facts: int) -> bytes:
    known = tuple(
        target_facts.TargetFact(
            f'target-{n:05d}', f'boot-{n:06d}', True, 0, 1.5
        )
        for n in range(facts)
    )
    report = membership.MemberReport(
        membership.EntryId(f'entry-{number:02d}', number + 1),
        sequence,
        sequence - 1,
        bytes(range(8)),
        60.0,
    )
    return wire.encode_frame(
        wire.Heartbeat(report, 9000, bytes(range(32)), 0.4, known)
    )


async def _heartbeat_fits() -> list[fits.Fit]:
    sent, size, received = [], [], []
    daemon = await make_entry(20, instance_rows(340, services=20))
    _create_target_state(daemon)
    # Heartbeats repeat recent changes of targets, so mark all changes as old
    # to measure a steady round.
    for record in daemon.warmups._records.values():
        record.changed_at = float('-inf')
    for count in (4, 8, 16):
        transports = []
        for number in range(1, count + 1):
            link = peer_links.PeerLink(daemon.board, daemon.peers.handle)
            link.transport = _DiscardingTransport()
            transports.append(link.transport)
            daemon.peers.links.outgoing[f'entry-{number:02d}'] = link
        sent.append((count, cpu_us(daemon.peers.send_heartbeats, 20)))
        for transport in transports:
            transport.bytes = 0
        daemon.peers.send_heartbeats()
        size.append((count, sum(transport.bytes for transport in transports)))
    frame_bytes = [
        (n, len(_heartbeat_frame(1, 10**12, n))) for n in (1, 8, 32)
    ]
    link = peer_links.PeerLink(daemon.board, daemon.peers.handle)
    link.transport = _DiscardingTransport()
    sequence = 10**12
    for facts in (1, 8, 32):
        frames = []
        for _ in range(300):
            sequence += 1
            frames.append(_heartbeat_frame(1, sequence, facts))
        supply = iter(frames)
        cost = cpu_us(lambda s=supply: link.data_received(next(s)), 100)
        received.append((facts, cost))
    await daemon.session.close()
    return [
        fits.Fit(
            'processor time per round of heartbeats sent',
            'peers',
            'us',
            tuple(sent),
            True,
        ),
        fits.Fit(
            'bytes per round of heartbeats sent, one fact each',
            'peers',
            'bytes',
            tuple(size),
        ),
        fits.Fit(
            'bytes of one heartbeat',
            'targets reported',
            'bytes',
            tuple(frame_bytes),
        ),
        fits.Fit(
            'processor time per heartbeat received',
            'targets reported',
            'us',
            tuple(received),
            True,
        ),
    ]


async def _fleet_step_fits() -> list[fits.Fit]:
    points = []
    for count in (170, 340, 680):
        daemon = await make_entry(40, instance_rows(count, services=40))
        _create_target_state(daemon)
        now = daemon.loop.time()
        points.append((count, cpu_us(lambda d=daemon: d.fleet.step(now), 10)))
        await daemon.session.close()
    return [
        fits.Fit(
            'processor time per step of shares and warm-up',
            'targets',
            'us',
            tuple(points),
            True,
        )
    ]


async def _poll_cores(services: int, count: int) -> float:
    # Every target is due for a probe and no budget allows one, so each pass
    # over the targets takes as long as it can.
    daemon = await make_entry(
        services, instance_rows(count, services=services)
    )
    daemon.services.set_share(0.0, daemon.loop.time())
    loops = [
        daemon.loop.create_task(daemon.prober.run()),
        daemon.loop.create_task(daemon.dispatcher.run()),
    ]
    started, cpu = time.monotonic(), time.process_time()
    await asyncio.sleep(_POLL_MEASURE_S)
    cores = (time.process_time() - cpu) / (time.monotonic() - started)
    for task in loops:
        task.cancel()
    await asyncio.gather(*loops, return_exceptions=True)
    await daemon.session.close()
    return cores


async def _poll_fits() -> list[fits.Fit]:
    by_service = [(n, await _poll_cores(n, 20)) for n in (20, 145, 580)]
    by_target = [(n, await _poll_cores(20, n)) for n in (20, 80, 320)]
    name = 'processor time of the loops over services (probes, queues)'
    return [
        fits.Fit(f'{name}, {fixed}', x, 'cores', tuple(points), True)
        for fixed, x, points in (
            ('20 targets', 'services', by_service),
            ('20 services', 'targets, all due', by_target),
        )
    ]


def _claim_fits() -> list[fits.Fit]:
    applied, encoded, size = [], [], []
    for count in (1, 10, 100, 900):
        batches = _claim_batches(count * 30, count)
        offsets = iter(range(1, 31))
        table = claims.ClaimTable()
        batcher = claim_batcher.ClaimBatcher(
            'entry-01/1', budgets.TokenBucket(1.0, 1.0)
        )

        def apply_batch(
            supply=offsets, data=batches, table=table, batcher=batcher
        ) -> None:
            offset = next(supply)
            events = claims.apply_claim_record(
                table, offset, 20 * offset, data[offset - 1]
            )
            batcher.observe(table, events)

        applied.append((count, cpu_us(apply_batch, 10)))
        records = claims.claim_batches.decode_batch(batches[0]).unwrap()
        entry_id = records[0].entry_id
        encoded.append(
            (
                count,
                cpu_us(
                    lambda e=entry_id, r=records: (
                        claims.claim_batches.encode_batch(e, r)
                    ),
                    20,
                ),
            )
        )
        size.append((count, len(batches[0])))
    return [
        fits.Fit(
            f'processor time per claim batch {name}',
            'claims in the batch',
            'us',
            tuple(points),
            True,
        )
        for name, points in (('applied', applied), ('encoded', encoded))
    ] + [
        fits.Fit(
            'bytes of a claim batch',
            'claims in the batch',
            'bytes',
            tuple(size),
        )
    ]


async def instance_list_fits(group: processes.Processes) -> list[fits.Fit]:
    """Measure a read of the instance list over HTTP for several sizes."""
    cpu_points, size = [], []
    for count in (250, 1000, 4000):
        rows = instance_rows(count)
        body = [
            {
                'instance_id': row.instance_id,
                'kind': row.kind,
                'service': row.service,
                'address': row.address,
                'port': row.port,
                'failure_domain': row.failure_domain,
                'state': row.state.value,
            }
            for row in rows
        ]
        _put_rows(group, body)
        daemon = await make_entry(580, rows)
        daemon.targets.instances = platform.HttpInstanceList(
            daemon.session, group.instances_url
        )
        best = float('inf')
        for _ in range(3):
            started = time.process_time()
            await daemon.targets.read_once()
            best = min(best, time.process_time() - started)
        cpu_points.append((count, best * 1e6))
        url = f'{group.instances_url}/instances'
        async with daemon.session.get(url) as response:
            size.append((count, len(await response.read())))
        await daemon.session.close()
    group.put_rows()
    return [
        fits.Fit(
            'processor time per read of the instance list',
            'rows',
            'us',
            tuple(cpu_points),
            True,
        ),
        fits.Fit('bytes of the instance list', 'rows', 'bytes', tuple(size)),
    ]


def _put_rows(group: processes.Processes, body: list) -> None:
    # The fake server refuses bodies over 1 MiB, which is some 5,000 rows.
    url = f'{group.instances_url}/instances'
    processes.http_json(url, 'PUT', body)


async def probe_fits(group: processes.Processes) -> list[fits.Fit]:
    """Measure probes over an open watch connection."""
    port = group.start_target('probed', 'probed')
    daemon = await make_entry(1, instance_rows(1, port, 1))
    target = next(iter(daemon.board.targets.values())).target
    watch = daemon.watch_table.get_or_create(target)
    # The first probes also fill the client's caches.
    for _ in range(200):
        await watch.probe()
    points = []
    for count in (100, 200, 400):
        best = float('inf')
        for _ in range(_REPEATS):
            started = time.process_time()
            for _ in range(count):
                await watch.probe()
            best = min(best, time.process_time() - started)
        points.append((count, best * 1e6))
    daemon.watch_table.close()
    await daemon.session.close()
    return [
        fits.Fit(
            'processor time of probes sent and read',
            'probes',
            'us',
            tuple(points),
            True,
        )
    ]


def _own_resident_bytes() -> int:
    statm = pathlib.Path('/proc/self/statm').read_text()
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


async def upstream_fits(group: processes.Processes) -> list[fits.Fit]:
    """Measure resident memory of connections to targets."""
    port = group.start_target('held', 'held')
    target = targets.Target('held', 'held', '127.0.0.1', port, 'zone-a')
    rules = connections.ConnectionRules(300.0, 15.0, 2000)
    rules.set_share(1.0)
    pool = upstream.TargetConnections(target, rules)
    profile = profiles.Profile.from_model('held', models.ProfileModel())
    points = []
    for count in (100, 200, 400, 800):
        while len(rules) < count:
            exchange = await pool.send(
                http_connection.Request(
                    'GET', '/', multidict.CIMultiDict({'Host': 'held'})
                ),
                http_connection.Attempt(lambda now: None),
                profile,
                idempotent=False,
                deadline_at=math.inf,
            )
            await exchange.response.content.read()
            exchange.close()
        points.append((count, _own_resident_bytes()))
    pool.close()
    return [
        fits.Fit(
            'resident memory per connection to a target',
            'connections',
            'bytes',
            tuple(points),
        )
    ]
