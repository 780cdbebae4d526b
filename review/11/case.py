"""One answer of the store is lost; a gateway acts on the old manifest.

A gateway that reads the store itself waits for a change of ``keyed.op``. The
operator moves a route to another service. The answer that carries the new
manifest is lost, and its connection returns nothing further. All other
connections, and all later answers, are in order.
"""

import asyncio
import pathlib
import sys
import time
import urllib.parse

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
import world  # noqa: E402

SETTLE_S = 3.0
CONFIG_APPLY_S = 2.0
# Requests sent this much later than the bounds are judged.
MARGIN_S = 0.3
WATCHED_S = 8.0
TOPIC = 'keyed.op'


class LosingProxy:
    """A link to the store on which one answer can be lost."""

    def __init__(self, record, store_port):
        self.record = record
        self.store_port = store_port
        self.armed = False
        self.lost = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'

    async def serve(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            '127.0.0.1', self.store_port
        )
        state = {'topic': '', 'silent': False}

        async def to_store():
            try:
                while data := await reader.read(65536):
                    if data.startswith((b'GET /', b'POST /')):
                        query = data.split(b' ', 2)[1].partition(b'?')[2]
                        fields = urllib.parse.parse_qs(query.decode())
                        state['topic'] = ''
                        if data.startswith(b'GET /v1/log-read'):
                            state['topic'] = fields['topic'][0]
                    store_writer.write(data)
                    await store_writer.drain()
            except OSError:
                pass
            finally:
                store_writer.close()

        async def from_store():
            try:
                while data := await store_reader.read(65536):
                    if self.armed and state['topic'] == TOPIC:
                        self.armed = False
                        state['silent'] = True
                        self.lost += 1
                        self.record(f'the answer to a read of {TOPIC} is lost')
                    if not state['silent']:
                        writer.write(data)
                        await writer.drain()
            except OSError:
                pass
            finally:
                if not state['silent']:
                    writer.close()

        await asyncio.gather(to_store(), from_store())
        writer.close()


async def main(record, trouble):
    platform = world.World(record)
    await platform.start()
    try:
        return await play(platform, record, trouble)
    finally:
        await platform.close()


async def play(platform, record, trouble):
    for number in range(16):
        await platform.server(
            world.Server,
            ('old-service', 'new-service')[number % 2],
            zone=('zone-a', 'zone-b')[number // 8],
        )
        # Their check-ins, every 1.5 s, come one after the other.
        await asyncio.sleep(world.HEARTBEAT_S / 16)
    other = world.route('other', 'new-service')
    await platform.manifest(
        world.route('payment', 'old-service', 'unsafe'), other
    )
    store_port = int(platform.store.url.rsplit(':', 1)[1])
    proxy = LosingProxy(record, store_port)
    await proxy.start()
    first = await platform.gateway('edge-1', store=proxy.url)
    second = await platform.gateway('edge-2', zone='zone-b')
    # Both have been in touch for more than the settle window.
    await asyncio.sleep(SETTLE_S + 2.0)

    proxy.armed = trouble
    await platform.manifest(
        world.route('payment', 'new-service', 'unsafe'), other
    )
    acknowledged_at = time.monotonic()
    violations = []
    latest = {first.name: 0.0, second.name: 0.0}
    while time.monotonic() - acknowledged_at < WATCHED_S:
        for gateway in (first, second):
            client = await world.Client(record, gateway.front).open()
            sent_s = time.monotonic() - acknowledged_at
            request_id = client.send('POST', '/payment/1', b'{}')
            answer = await client.receive()
            client.close()
            ran_by = {
                server.service
                for server in platform.servers
                for run in server.runs
                if run['id'] == request_id
            }
            record(
                f'{gateway.name}: sent {sent_s:.2f} s after the '
                f'acknowledgement, run by {sorted(ran_by)}, answer',
                answer[0] if isinstance(answer, tuple) else answer,
            )
            if 'old-service' not in ran_by:
                continue
            latest[gateway.name] = sent_s
            # The lost answer is the only impairment; the store and the
            # machine have been without one for the settle window.
            if sent_s > max(SETTLE_S, CONFIG_APPLY_S) + MARGIN_S:
                violations.append(
                    f'CONFIG: {gateway.name} sent {request_id} to the old '
                    f'service {sent_s:.2f} s after the acknowledgement'
                )
        await asyncio.sleep(0.1)
    if trouble and proxy.lost != 1:
        raise RuntimeError('no answer was lost')
    for name, sent_s in latest.items():
        record(f'{name}: last request at the old service {sent_s:.2f} s')
    return violations


world.run_case(main, FOLDER)
