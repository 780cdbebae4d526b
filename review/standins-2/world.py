"""Stand-ins for the platform, upstreams and clients, and gateway processes.

The store is the project's own (``dragonflyslip_emulator``). Upstreams are
small servers that speak what the pages say. Gateways are separate processes
with the command of the deploy file.
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import traceback

from dragonflyslip_emulator import store as store_types

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'app.example'
HEALTH_PATH = '/health'
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 40.0


# Below the ports that systems give to outgoing connections.
PORTS = range(20_000, 32_000)
_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port of the loopback address that no process uses."""
    while True:
        port = random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: str):
        self.file = open(path, 'w')
        self.started_at = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        at = time.monotonic() - self.started_at
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{at:9.4f} {event} {text}\n')

    def close(self) -> None:
        """Write what is buffered."""
        self.file.close()


async def read_body(
    headers: dict[str, str], reader: asyncio.StreamReader
) -> bytes:
    """Return the body of a request or response with these headers."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    return first, headers


@dataclasses.dataclass
class Run:
    """A request that an upstream began to work on.

    :param finished: whether the upstream has written its response.
    """

    request_id: str
    upstream: str
    at: float
    finished: bool = False


class Upstream:
    """A server of one service.

    :param work_s: how long it works on a request.
    :param body_bytes: shortest length of its responses.
    :param queue: requests that may wait for a slot; further ones get 503 with
        ``X-Not-Executed``.
    :param cold_s: how long it is cold after its start.
    """

    def __init__(
        self,
        record: Record,
        store: store_types.EmulatedStore,
        name: str,
        service: str,
        zone: str,
        work_s: float = 0.16,
        slots: int = 6,
        body_bytes: int = 0,
        queue: int = 4,
        cold_s: float = 0.0,
    ):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.body_bytes = body_bytes
        self.queue = queue
        self.cold_until = time.monotonic() + cold_s
        self.waiting = 0
        self.slot_free = asyncio.Condition()
        # Whether it is leaving: its health probe fails then.
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs: list[Run] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beating: asyncio.Task | None = None
        self.exited = False

    async def start(self) -> None:
        """Listen, register and write heartbeats."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register()
        self.beating = asyncio.create_task(self._beat())

    async def register(self, state: str = 'ready') -> None:
        """Write the next heartbeat."""
        self.sequence += 1
        await self.store.put(
            store_types.TARGET_TOPIC,
            self.name,
            {
                'address': f'127.0.0.1:{self.port}',
                'born': self.born,
                'info': {
                    'service': self.service,
                    'zone': self.zone,
                    'slots': self.slots,
                    'version': 'v1',
                },
                'status': {
                    'state': state,
                    'sequence': self.sequence,
                    'cold_remaining': f'{self.cold_ms()}ms',
                },
            },
        )

    def cold_ms(self) -> int:
        """Return the rest of its cold time in milliseconds."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def deregister(self) -> None:
        """Leave: write no more heartbeats and remove the entry."""
        self.leaving = True
        self.beating.cancel()
        await self.store.put(store_types.TARGET_TOPIC, self.name, b'')

    def exit(self) -> None:
        """End the process: close all connections at once."""
        self.exited = True
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(' ', 2)
                await self._respond(method, path, headers, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        load = (
            f'X-Server-Load: {self.running},{self.waiting},{self.slots},100'
            '\r\n'
        )
        if path == HEALTH_PATH:
            status = '503 Leaving' if self.leaving else '200 OK'
            writer.write(
                f'HTTP/1.1 {status}\r\nX-Instance-Id: {self.name}\r\n'
                f'X-Cold-Ms: {self.cold_ms()}\r\n{load}'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        request_id = headers.get('x-request-id', '')
        common = f'X-Request-Id: {request_id}\r\n{load}'
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n{common}'
                'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        await read_body(headers, reader)
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                writer.write(
                    f'HTTP/1.1 503 Busy\r\n{common}X-Not-Executed: 1\r\n'
                    'Content-Length: 0\r\n\r\n'.encode()
                )
                return
            self.waiting += 1
            async with self.slot_free:
                await self.slot_free.wait_for(
                    lambda: self.running < self.slots
                )
            self.waiting -= 1
        self.running += 1
        run = Run(request_id, self.name, time.monotonic())
        self.runs.append(run)
        self.record.add('run', id=request_id, upstream=self.name, path=path)
        await asyncio.sleep(self.work_s)
        self.running -= 1
        async with self.slot_free:
            self.slot_free.notify()
        if self.exited:
            return
        body = f'{self.name} ran {request_id}'.ljust(self.body_bytes, '.')
        writer.write(
            f'HTTP/1.1 200 OK\r\n{common}X-Server-Stamp: {self.name}.'
            f'{request_id}\r\nContent-Length: {len(body)}\r\n\r\n'
            f'{body}'.encode()
        )
        run.finished = True


def manifest(version: int, service: str, **limits: object) -> dict:
    """Return a manifest with a safe and an unsafe route of one service."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'{service}-{kind}',
                'host': HOST,
                'path_prefix': f'/{kind}/',
                'type': kind,
                'timeout': '2.5s',
                'target_latency': '300ms',
                'priority': 1,
                'max_attempts': 2,
                'service': service,
            }
            for kind in ('safe', 'unsafe')
        ],
        'services': [
            {
                'name': service,
                'health_check_path': HEALTH_PATH,
                'max_connections': 240,
                'cold_start': '3s',
                'cold_per_s': 3.5,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout': '3s',
            'idle_timeout': '15s',
            **limits,
        },
    }


class Gateway:
    """A gateway process, as the deploy file starts it."""

    def __init__(self, name: str, zone: str, store_url: str, folder: str):
        self.name = name
        self.zone = zone
        self.front = free_port()
        self.ready = free_port()
        self.log = open(os.path.join(folder, f'{name}.log'), 'ab')
        self.command = [
            'python3', '-m', 'dragonflyslip_entry', 'gateway',
            '--adapter', 'dragonflyslip_adapter',
            '--name', name,
            '--failure-domain', zone,
            '--listen', f'127.0.0.1:{self.front}',
            '--ready-listen', f'127.0.0.1:{self.ready}',
            '--peer-listen', f'127.0.0.1:{free_port()}',
            '--metrics-listen', f'127.0.0.1:{free_port()}',
            '--store-url', store_url,
            '--stop-timeout', '6s',
            '--repeat-ratio', '0.2',
            '--repeat-slack', '60',
            '--ask-rate', '60',
        ]  # fmt: skip
        self.environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'DRAGONFLYSLIP_MEMORY_MB': '300',
            'DRAGONFLYSLIP_MAX_DESCRIPTORS': '4100',
        }
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        self.process = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env=self.environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ready
                )
                writer.write(
                    b'GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        """Wait until it says that it is ready."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if self.process.poll() is not None:
                raise CouldNotRunError(
                    f'{self.name} ended: ' + open(self.log.name).read()[-300:]
                )
            if time.monotonic() > ends_at:
                raise CouldNotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


class CouldNotRunError(Exception):
    """The case could not be played."""


class Client:
    """Sends requests to one gateway, one after the other.

    :param period_s: time from one request to the next, unless a response
        takes longer or asks for a later return.
    """

    def __init__(
        self,
        record: Record,
        gateway: Gateway,
        name: str,
        period_s: float,
    ):
        self.record = record
        self.gateway = gateway
        self.name = name
        self.period_s = period_s
        self.stopped = False
        # Status by request id; None for a connection that broke.
        self.answers: dict[str, int | None] = {}
        self.sent_at: dict[str, float] = {}
        self._retry_after_s = 0.0
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None

    async def run(self) -> None:
        """Send requests until stopped."""
        number = 0
        while not self.stopped:
            number += 1
            request_id = f'{self.name}-{number}'
            due_at = time.monotonic() + self.period_s
            try:
                async with asyncio.timeout(4.0):
                    status = await self._request(request_id)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                status = None
                self._close()
            self.answers[request_id] = status
            self.record.add('answered', id=request_id, status=status)
            await asyncio.sleep(
                max(due_at - time.monotonic(), self._retry_after_s)
            )
        self._close()

    async def _request(self, request_id: str) -> int:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                '127.0.0.1', self.gateway.front
            )
        self.sent_at[request_id] = time.monotonic()
        self.record.add('sent', id=request_id, gateway=self.gateway.name)
        self._writer.write(
            f'POST /unsafe/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        first, headers = await read_head(self._reader)
        await read_body(headers, self._reader)
        if headers.get('connection', '').lower() == 'close':
            self._close()
        # At most a third of the time that is left.
        wait_s = float(headers.get('retry-after', '0'))
        self._retry_after_s = min(wait_s, 0.8)
        return int(first.split()[1])

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play) -> None:
    """Play a case and exit: 1 broken, 0 held, 2 could not run.

    :param play: coroutine function of the record and a list that gets the
        gateways; returns a text for each break of the rule.
    """
    record = Record(sys.argv[1])
    gateways: list[Gateway] = []
    code = 2
    # A script that takes too long ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks = asyncio.run(play(record, gateways, sys.argv[2]))
        for text in breaks[:20]:
            print('broken:', text)
            record.add('broken', text=text)
        code = 1 if breaks else 0
        print(f'{len(breaks)} breaks of the rule')
    except CouldNotRunError as error:
        print('could not run:', error)
    except (Exception, SystemExit):
        traceback.print_exc()
    finally:
        for gateway in gateways:
            gateway.kill()
        record.close()
    sys.stdout.flush()
    os._exit(code)
