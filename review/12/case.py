"""A planned stop cuts requests that were passed on late in the grace.

Clients keep two requests on their way on each connection, as the clients of
this site do. A gateway gets SIGTERM. It goes on answering on connections on
which further requests have arrived, and passes these on while two target
latencies are left. Those that take longer are cut.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
import world  # noqa: E402

GRACE_S = 6.0
# Requests sent later than this after SIGTERM are not excused by an upstream
# that is at work in the last sixth of the grace.
EXCUSED_S = 3.0
# The site's `seat-check`.
AIM_MS, BUDGET_MS = 609, 6090
MEAN_WORK_S, LONGEST_WORK_S = 0.23, 1.4
CONNECTIONS = 60
OUTSTANDING = 2
STOP_AT_S = 3.0
WATCHED_S = 11.0


class SeatServer(world.Server):
    """A server at which every second request takes long."""

    def work_of(self, request):
        if request['path'].startswith('/seats/long'):
            return LONGEST_WORK_S
        return MEAN_WORK_S


class SeatClient:
    """A client that sends the next request before the first is answered."""

    def __init__(self, record, port):
        self.record = record
        self.client = world.Client(record, port)
        self.sent = []
        self.answers = []

    async def run(self, delay_s, until):
        await asyncio.sleep(delay_s)
        try:
            await self.client.open()
        except OSError:
            return
        receiving = asyncio.create_task(self.receive())
        while time.monotonic() < until and not receiving.done():
            while len(self.sent) - len(self.answers) < OUTSTANDING:
                kind = ('long', 'short')[len(self.sent) % 2]
                path = f'/seats/{kind}/{len(self.sent)}'
                sent_at = time.monotonic()
                request_id = self.client.send(
                    'GET', path, deadline_ms=BUDGET_MS
                )
                self.sent.append((request_id, sent_at))
            await asyncio.sleep(0.005)
        await asyncio.wait([receiving], timeout=GRACE_S + 2.0)
        self.client.close()

    async def receive(self):
        while True:
            answer = await self.client.receive(30.0)
            if not isinstance(answer, tuple):
                return
            request_id = self.sent[len(self.answers)][0]
            self.answers.append(answer)
            self.record(
                f'client gets {answer[0]} for {request_id}',
                answer[1].get('connection', ''),
                answer[2][:40],
            )
            if answer[1].get('connection') == 'close':
                return


async def main(record, trouble):
    platform = world.World(record, {'bounds.grace': f'{GRACE_S:g}s'})
    await platform.start()
    try:
        return await play(platform, record, trouble)
    finally:
        await platform.close()


async def play(platform, record, trouble):
    for _ in range(24):
        await platform.server(SeatServer, 'seatwatch', slots=6)
    await platform.manifest(
        world.route(
            'seats', 'seatwatch', timeout=f'{BUDGET_MS}ms', aim=f'{AIM_MS}ms'
        )
    )
    stopped = await platform.gateway('edge-1')
    await platform.gateway('edge-2', zone='zone-b')
    await asyncio.sleep(1.0)
    start = time.monotonic()
    stop_at = start + STOP_AT_S
    clients = [SeatClient(record, stopped.front) for _ in range(CONNECTIONS)]
    cycle_s = MEAN_WORK_S + LONGEST_WORK_S
    running = [
        asyncio.create_task(
            client.run(cycle_s * number / CONNECTIONS, start + WATCHED_S)
        )
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(STOP_AT_S)
    if trouble:
        stop_at = time.monotonic()
        stopped.signal(signal.SIGTERM)
    await asyncio.wait(running)
    runs = {}
    for server in platform.servers:
        for run in server.runs:
            runs.setdefault(run['id'], []).append(run)
    violations = []
    late = 0
    for client in clients:
        for number, (request_id, sent_at) in enumerate(client.sent):
            sent_s = sent_at - stop_at
            passed_on = runs.get(request_id, [])
            if not EXCUSED_S < sent_s < GRACE_S + 1.0 or not passed_on:
                continue
            late += 1
            answer = None
            if number < len(client.answers):
                answer = client.answers[number]
            own = answer is None or 'x-server-stamp' not in answer[1]
            # An answer of the gateway breaks the rule only if it comes in
            # place of an upstream's that was still at work.
            at_work = [run for run in passed_on if run['ended'] == 'dropped']
            # Without the disruption, the clients end while they are waiting.
            if own and at_work and (trouble or answer is not None):
                violations.append(
                    f'LOST: {request_id} was sent {sent_s:.2f} s after '
                    f'SIGTERM and broken off at {at_work[0]["server"]}; the '
                    f'client got {answer and answer[0]} '
                    f'{answer and answer[2]}'
                )
    most = max(server.most_running for server in platform.servers)
    record(
        f'at most {most} of 6 slots of a server were in use, '
        f'{platform.refusals} requests were turned away by full ones'
    )
    record(
        f'{late} requests sent {EXCUSED_S:g} s after SIGTERM or later were '
        'passed on'
    )
    return violations


world.run_case(main, FOLDER)
