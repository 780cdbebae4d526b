"""Stand-ins for one script: the platform, servers, clients and gateways.

The store is the project's emulator of it. Servers and clients are small and
follow PROTOCOL.md. Everything listens on the loopback address.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
sys.path.insert(0, str(DEPS))

from dragonflyslip_emulator import store as store_types  # noqa: E402

HEARTBEAT_S = 1.5


def free_ports(count):
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(('127.0.0.1', 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Record:
    """Writes what happens to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.start = time.monotonic()

    def __call__(self, *parts):
        line = f'{time.monotonic() - self.start:8.3f} ' + ' '.join(
            str(part) for part in parts
        )
        self.file.write(line + '\n')
        self.file.flush()


class Server:
    """A sound server: one request at a time on a connection.

    ``handle`` may be replaced; it gets the request and returns
    (status, headers, body), or None if it has written the answer itself.
    """

    def __init__(self, world, service, zone='zone-a', slots=8, work_s=0.02):
        self.world = world
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.id = 'i-' + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.most_running = 0
        self.runs = []
        self.state = 'ready'
        self.writers = set()
        self.beating = None
        self.health = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**24
        )
        self.port = self.server.sockets[0].getsockname()[1]
        await self.beat()
        self.beating = asyncio.create_task(self._beat())

    async def beat(self, state=None):
        self.state = state or self.state
        self.sequence += 1
        await self.world.store.put(
            store_types.TARGET_TOPIC,
            self.id,
            {
                'address': f'127.0.0.1:{self.port}',
                'info': {
                    'service': self.service,
                    'zone': self.zone,
                    'slots': self.slots,
                    'version': 'v1',
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'cold_remaining': '0ms',
                },
                'born': self.born,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def close(self):
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def read_request(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, path, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            if ':' in line:
                name, value = line.split(':', 1)
                headers[name.strip().lower()] = value.strip()
        return {'method': method, 'path': path, 'headers': headers, 'head': head}

    async def read_body(self, reader, request):
        headers = request['headers']
        if 'chunked' in headers.get('transfer-encoding', '').lower():
            body = b''
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                if size == 0:
                    while (await reader.readline()) not in (b'\r\n', b''):
                        pass
                    return body
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        length = int(headers.get('content-length', 0))
        return await reader.readexactly(length)

    def load(self):
        return f'{self.running},0,{self.slots},100'

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await self.read_request(reader)
                if request['path'] == '/health':
                    self.health += 1
                    status = 200 if self.state == 'ready' else 503
                    self.respond(
                        writer, status,
                        {'X-Instance-Id': self.id, 'X-Server-Load': self.load()},
                        b'',
                    )
                    await writer.drain()
                    continue
                if request['headers'].get('x-expect-instance') != self.id:
                    request['body'] = await self.read_body(reader, request)
                    self.respond(
                        writer, 421,
                        {'X-Request-Id': request['headers'].get('x-request-id', '')},
                        b'',
                    )
                    await writer.drain()
                    continue
                if await self.handle(request, reader, writer) is False:
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.last_error = error
        finally:
            self.writers.discard(writer)
            writer.close()

    def begin(self, request):
        run = {
            'id': request['headers'].get('x-request-id'),
            'method': request['method'],
            'path': request['path'],
            'body': request.get('body'),
            'headers': request['headers'],
            'server': self.id,
            'at': time.monotonic(),
            'ended': None,
        }
        self.runs.append(run)
        self.world.record(f'{self.service} {self.id} runs {run["id"]} {run["path"]}')
        return run

    async def handle(self, request, reader, writer):
        request['body'] = await self.read_body(reader, request)
        if self.running >= self.slots:
            # Full: it says that it does not run the request.
            self.world.record(f'{self.service} {self.id} is full')
            self.world.refusals += 1
            request_id = request['headers'].get('x-request-id', '')
            self.respond(
                writer,
                503,
                {'X-Request-Id': request_id, 'X-Not-Executed': '1'},
                b'',
            )
            return None
        run = self.begin(request)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            work = asyncio.ensure_future(asyncio.sleep(self.work_of(request)))
            while not work.done():
                await asyncio.wait([work], timeout=0.01)
                if reader.at_eof():
                    run['ended'] = 'dropped'
                    self.world.record(f'{self.id} drops {run["id"]}: its connection closed')
                    return False
        finally:
            self.running -= 1
        run['ended'] = 'answered'
        self.answer(writer, request, self.body_of(request))

    def work_of(self, request):
        return self.work_s

    def body_of(self, request):
        return f'{self.id} ran {request["headers"].get("x-request-id")}\n'.encode()

    def answer(self, writer, request, body, status=200, headers=None):
        self.respond(
            writer, status,
            {
                'X-Request-Id': request['headers'].get('x-request-id', ''),
                'X-Server-Stamp': f'{self.id}.{uuid.uuid4().hex[:8]}',
                'X-Server-Load': self.load(),
                'Content-Type': 'text/plain',
                **(headers or {}),
            },
            body,
        )

    def respond(self, writer, status, headers, body):
        lines = [f'HTTP/1.1 {status} x']
        lines += [f'{k}: {v}' for k, v in headers.items()]
        lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, world, name, zone='zone-a', grace='6s', env=None, store=None, **bounds):
        self.world = world
        self.name = name
        self.zone = zone
        self.grace = grace
        self.env = env or {}
        self.front, self.ready, self.peer, self.metrics = free_ports(4)
        self.process = None
        self.store_url = store or world.store.url
        self.log = world.folder / f'{name}.log'

    def command(self):
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        fields = {
            'node': self.name, 'zone': self.zone,
            'listen_addrs.front': f'127.0.0.1:{self.front}',
            'listen_addrs.ready': f'127.0.0.1:{self.ready}',
            'ip': '127.0.0.1', 'internal_port_range.0': str(self.peer),
            'platform.address': self.store_url.removeprefix('http://'),
            'bounds.grace': self.grace, 'bounds.retry_budget_ratio': '0.2',
            'bounds.retry_budget_slack': '60', 'bounds.probes_per_s': '60',
            'limits.memory_mb': '300', 'limits.max_fds': '4100',
            **self.world.settings,
        }
        role = deploy['roles']['gateway']

        def fill(text):
            for name, value in fields.items():
                text = text.replace('{{%s}}' % name, value)
            text = re.sub(r'\{\{[^}]*\}\}', '', text)
            return text

        run = fill(role['run']).replace('127.0.0.1:9464', f'127.0.0.1:{self.metrics}')
        env = {k: fill(v) for k, v in role.get('env', {}).items()}
        return run.split(), env

    def start(self):
        run, env = self.command()
        run[0] = sys.executable
        self.output = open(self.log, 'ab')
        self.process = subprocess.Popen(
            run, cwd=ROOT, stdout=self.output, stderr=self.output,
            env={
                'PATH': os.environ['PATH'], 'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(DEPS), 'PYTHONDONTWRITEBYTECODE': '1',
                **env, **self.env,
            },
        )
        self.world.record(f'gateway {self.name} starts, pid {self.process.pid}')

    async def until_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} does not get ready')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ready)
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.world.record(f'gateway {self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def route(name, service, kind='safe', timeout='3s', aim='300ms', attempts=3, **more):
    return {
        'name': name, 'host': 'app.example', 'path_prefix': f'/{name}/',
        'type': kind, 'timeout': timeout, 'target_latency': aim,
        'priority': 1, 'max_attempts': attempts, 'service': service, **more,
    }


class World:
    def __init__(self, record, settings=None):
        self.record = record
        self.settings = settings or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = store_types.EmulatedStore()
        self.servers = []
        self.gateways = []
        self.version = 0
        # Requests that a full server has turned away.
        self.refusals = 0

    async def start(self):
        await self.store.start()

    async def server(self, kind, service, port=0, **options):
        server = kind(self, service, **options)
        await server.start(port)
        self.servers.append(server)
        return server

    async def gateway(self, name, **options):
        gateway = Gateway(self, name, **options)
        gateway.start()
        self.gateways.append(gateway)
        await gateway.until_ready()
        return gateway

    async def manifest(self, *routes, limits=None, tenants=None, cold_per_s=5.0):
        self.version += 1
        names = {r['service'] for r in routes}
        value = {
            'version': self.version, 'routes': list(routes),
            'services': [
                {'name': n, 'health_check_path': '/health', 'max_connections': 240,
                 'cold_start': '3s', 'cold_per_s': cold_per_s}
                for n in sorted(names)
            ],
            'limits': limits or {
                'max_header_bytes': 16384, 'max_body_bytes': 8_000_000,
                'header_timeout': '3s', 'idle_timeout': '10s',
            },
        }
        if tenants is not None:
            value['tenants'] = tenants
        await self.store.put(store_types.OPERATOR_TOPIC, 'config', value)
        self.record(f'manifest {self.version} acknowledged')

    async def close(self):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            await server.close()
        await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection of a client."""

    def __init__(self, record, port):
        self.record = record
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.port, limit=2**24
        )
        return self

    def send(self, method, path, body=None, deadline_ms=3000, request_id=None, headers=''):
        request_id = request_id or uuid.uuid4().hex[:16]
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: app.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{headers}'
        )
        if body is not None:
            head += f'Content-Length: {len(body)}\r\n'
        self.writer.write(head.encode() + b'\r\n' + (body or b''))
        self.record(f'client sends {request_id} {method} {path}')
        return request_id

    async def receive(self, timeout_s=10.0):
        """Return (status, headers, body), None if the connection ends."""
        try:
            return await asyncio.wait_for(self._receive(), timeout_s)
        except (OSError, asyncio.IncompleteReadError):
            return None
        except asyncio.TimeoutError:
            return 'timeout'

    async def _receive(self):
        head = await self.reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        headers = {}
        for line in lines[1:]:
            if ':' in line:
                name, value = line.split(':', 1)
                headers[name.strip().lower()] = value.strip()
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = b''
            while True:
                size = int((await self.reader.readline()).split(b';')[0], 16)
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if size == 0:
                    return status, headers, body
        length = int(headers.get('content-length', 0))
        return status, headers, await self.reader.readexactly(length)

    def close(self):
        self.writer.close()


def run_case(main, folder, limit_s=100.0):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it failed.

    :param main: coroutine function that takes the record and whether the
        disruption is played; it returns the violations.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE') != '0'
    record('the disruption is', 'played' if trouble else 'left out')

    async def limited():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main(record, trouble)

    try:
        violations = asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        record('the case could not run')
        record(traceback.format_exc())
        sys.exit(2)
    for line in violations:
        record('BROKEN', line)
    record(f'{len(violations)} violations')
    print(f'{len(violations)} violations')
    sys.exit(1 if violations else 0)
