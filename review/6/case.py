"""A planned stop cuts responses to clients that send requests ahead.

Six gateways. The clients of each share a link of 8 ms and 10 Mbit/s. They ask
for a download and send further ``safe`` requests before it has been answered.
The gateways are stopped and started in turn. The rule LOST is checked for
requests that an upstream ran.
"""

import asyncio
import random
import signal
import time

import slow_link
import world
from dragonflyslip_emulator import store as store_types

SERVICE = 'seatwatch'
DOWNLOAD_SERVICE = 'depot'
# Of each gateway.
CLIENTS = 16
# Requests of one turn: a download, and further ones behind it.
TURN = 4
DELAY_S = 0.008
BYTES_PER_S = 10_000_000 / 8
RESPONSE_BYTES = 400
DOWNLOAD_BYTES = 90_000
BUDGET_S = 5.0
GRACE_S = 6.0
GATEWAYS = 6
# Without trouble before each stop; ``settle_window`` is 3 s.
CALM_S = 4.0


class PipeliningClient:
    """Sends requests without waiting for responses, as long as it may."""

    def __init__(self, record, rng, name, port, gateway):
        self.record = record
        self.gateway = gateway
        self.rng = rng
        self.name = name
        self.port = port
        self.stopped = False
        self.number = 0
        self.sent_at = {}
        self.complete = set()
        # When the connection ended without the whole response.
        self.ended_at = {}

    async def run(self):
        """Use one connection after the other until stopped."""
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.port
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self._use(reader, writer)
            writer.close()
            await asyncio.sleep(0.2)

    async def _use(self, reader, writer):
        outstanding = []
        told_to_close = asyncio.Event()
        sending = asyncio.create_task(
            self._send(writer, outstanding, told_to_close)
        )
        try:
            while not (self.stopped and not outstanding):
                if not outstanding:
                    await asyncio.sleep(0.01)
                    continue
                first, headers = await world.read_head(reader)
                if headers.get('connection', '').lower() == 'close':
                    told_to_close.set()
                await world.read_body(headers, reader)
                request_id = outstanding.pop(0)
                self.complete.add(request_id)
                self.record.add(
                    'answered', id=request_id, status=first.split()[1]
                )
                if told_to_close.is_set():
                    return
        except (asyncio.IncompleteReadError, OSError):
            for request_id in outstanding:
                self.ended_at[request_id] = time.monotonic()
            self.record.add(
                'ended', unanswered=','.join(outstanding), client=self.name
            )
        finally:
            told_to_close.set()
            sending.cancel()

    async def _send(self, writer, outstanding, told_to_close):
        while not (told_to_close.is_set() or self.stopped):
            if outstanding:
                await asyncio.sleep(0.01)
                continue
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
            for place in range(TURN):
                if told_to_close.is_set() or self.stopped:
                    return
                self._send_one(
                    writer, outstanding, 'safe' if place else 'download'
                )
                await asyncio.sleep(self.rng.uniform(0.05, 0.25))

    def _send_one(self, writer, outstanding, kind):
        self.number += 1
        request_id = f'{self.name}-{self.number}'
        writer.write(
            f'GET /{kind}/{request_id} HTTP/1.1\r\n'
            f'Host: {world.HOST}\r\nX-Request-Id: {request_id}\r\n'
            f'X-Deadline-Ms: {int(BUDGET_S * 1000)}\r\n\r\n'.encode()
        )
        self.sent_at[request_id] = time.monotonic()
        outstanding.append(request_id)
        self.record.add('sent', id=request_id, kind=kind)


async def play(record, gateways, folder):
    """Play the case and return the breaks of the rule."""
    rng = random.Random(7)
    store = store_types.EmulatedStore()
    await store.start()
    manifest = world.manifest(1, SERVICE)
    download = world.manifest(1, DOWNLOAD_SERVICE)
    route, service = download['routes'][0], download['services'][0]
    route.update(
        name='depot-download', path_prefix='/download/', type='download'
    )
    manifest['routes'].append(route)
    manifest['services'].append(service)
    for route in manifest['routes']:
        route['timeout'] = '5s'
        route['target_latency'] = '1324ms'
    await store.put(store_types.OPERATOR_TOPIC, 'config', manifest)
    upstreams = [
        world.Upstream(record, store, f'i-{i}', SERVICE, 'zone-a', work_s=0.23)
        for i in range(12)
    ] + [
        world.Upstream(
            record,
            store,
            f'i-d{i}',
            DOWNLOAD_SERVICE,
            'zone-a',
            work_s=0.18,
            body_bytes=DOWNLOAD_BYTES,
        )
        for i in range(6)
    ]
    for upstream in upstreams[:12]:
        upstream.body_bytes = RESPONSE_BYTES
    for upstream in upstreams:
        await upstream.start()
    clients = []
    for number in range(GATEWAYS):
        name = f'edge-{number}'
        gateway = world.Gateway(name, 'zone-a', store.url, folder)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_until_ready()
        link = slow_link.SlowLink(gateway.front, DELAY_S, BYTES_PER_S)
        await link.start()
        clients += [
            PipeliningClient(record, rng, f'{name}-c{i}', link.port, gateway)
            for i in range(CLIENTS)
        ]
    await asyncio.sleep(CALM_S)
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(CALM_S)
    stops = []
    for gateway in gateways:
        await asyncio.sleep(CALM_S)
        if not world.has_trouble():
            continue
        stops.append((gateway, time.monotonic()))
        record.add('SIGTERM', machine=gateway.name)
        gateway.signal(signal.SIGTERM)
        while gateway.process.poll() is None:
            if time.monotonic() > stops[-1][1] + GRACE_S:
                gateway.kill()
            await asyncio.sleep(0.05)
        record.add('exited', machine=gateway.name)
        gateway.start()
        await gateway.wait_until_ready()
        record.add('ready', machine=gateway.name)
    await asyncio.sleep(CALM_S)
    for client in clients:
        client.stopped = True
    await asyncio.wait(tasks, timeout=BUDGET_S)
    run_by = {}
    for upstream in upstreams:
        run_by.update({run.request_id: run for run in upstream.runs})
    sent = sum(len(client.sent_at) for client in clients)
    complete = sum(len(client.complete) for client in clients)
    if not complete:
        raise world.CouldNotRunError('no request was served')
    print(f'{sent} requests, {complete} complete responses')
    breaks = []
    for client in clients:
        for request_id, ended_at in client.ended_at.items():
            run = run_by.get(request_id)
            waited_s = ended_at - client.sent_at[request_id]
            since_stop_s = min(
                (
                    ended_at - at
                    for gateway, at in stops
                    if gateway is client.gateway and at <= ended_at
                ),
                default=None,
            )
            # Passed on, answered, cut during the stop, well before the time
            # budget and the last sixth of the grace.
            if (
                run is not None
                and run.finished
                and waited_s < 0.7 * BUDGET_S
                and since_stop_s is not None
                and since_stop_s < GRACE_S * 5 / 6
            ):
                breaks.append(
                    f'{request_id} ran at {run.upstream} to its end, and its '
                    f'connection ended {waited_s:.2f} s after it was sent, '
                    f'{since_stop_s:.2f} s after SIGTERM, without the whole '
                    'response'
                )
    return breaks


world.run_case(play)
