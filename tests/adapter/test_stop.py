"""The last responses of a gateway process that gets SIGTERM."""

import asyncio
import contextlib
import json
import math
import random
import signal
import typing

import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import __main__ as program
from dragonflyslip_emulator import load
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import slow_caller
from tests.adapter import callers
from tests.adapter import processes

HOST = 'app.example'
START_TIMEOUT_S = 15.0
# Time in which a request reaches its target.
SEND_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 4.0
# At this distance from the stop timeout the gateway cuts what is left.
STOP_MARGIN_S = 0.3
# The gateway stops listening after half of the stop timeout. The response of
# a target with this service time comes shortly after that.
LATE_S = STOP_TIMEOUT_S / 2 + 0.3
# Unused connections close in the middle of this pause of the process.
PAUSE_FROM_S = STOP_TIMEOUT_S / 2 - 0.3
PAUSE_S = 0.6
# Time that a caller takes to read its response.
READ_S = 0.7
# Part of an upload that is sent with the head of its request.
FIRST_BYTES = 1_400
UPLOAD_BYTES = 200 * FIRST_BYTES


class Deployment:
    """A store, a target for each service, and one gateway process."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.stack = stack
        self.store = emulator.EmulatedStore()
        self.targets: dict[str, emulator.EmulatedTarget] = {}
        self.gateway: processes.GatewayProcess | None = None
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, **response_bytes: int) -> None:
        """Start the processes and wait until requests are answered.

        :param response_bytes: size of the responses, by service.
        """
        await self.store.start()
        self.stack.push_async_callback(self.store.close)
        for service, size in response_bytes.items():
            await self._add_target(service, size)
        plans = [program.ServicePlan(name, 1) for name in response_bytes]
        manifest = program.manifest(plans, HOST)
        for route in manifest['routes']:
            route['timeout'] = '10s'
        await self.store.put(store_types.OPERATOR_TOPIC, 'config', manifest)
        self.gateway = processes.GatewayProcess.from_store(
            'edge-1', self.store.url, '--stop-timeout', f'{STOP_TIMEOUT_S}s'
        )
        self.process = await self.gateway.start(asyncio.subprocess.PIPE)
        self.stack.push_async_callback(self._kill)
        await self._wait_until_serving()

    async def _add_target(self, service: str, size: int) -> None:
        target = emulator.EmulatedTarget(service)
        target.body = random.Random(size).randbytes(size)
        await target.start()
        self.stack.push_async_callback(target.close)
        await target.register(self.store)
        self.targets[service] = target

    async def _wait_until_serving(self) -> None:
        generator = load.LoadGenerator(
            [self.gateway.listen], list(self.targets), HOST, random.Random(1)
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            await generator.wait_until_serving()

    async def _kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def send(
        self, service: str, method: str = 'GET', content_length: int = 0
    ) -> slow_caller.SlowCaller:
        """Send the start of a request, and wait until its target has it."""
        caller = slow_caller.SlowCaller(self.gateway.listen)
        self.stack.callback(caller.close)
        runs = self.targets[service].runs
        count = len(runs)
        kind = 'safe' if method == 'GET' else 'unsafe'
        headers = {
            'Host': HOST,
            'X-Request-Id': 'request-1',
            'X-Deadline-Ms': '10000',
            'Content-Length': str(content_length),
        }
        await caller.send_head(method, f'/{service}/{kind}/1', headers)
        if content_length:
            await caller.send_body(FIRST_BYTES, math.inf)
        async with asyncio.timeout(SEND_TIMEOUT_S):
            while len(runs) == count:
                await asyncio.sleep(0.005)
        return caller

    def stop(self) -> None:
        """Send SIGTERM to the gateway."""
        self.process.send_signal(signal.SIGTERM)

    async def connect(self) -> callers.KeptConnection:
        """Open a connection for several requests."""
        port = int(self.gateway.listen.rpartition(':')[2])
        caller = await callers.KeptConnection.open(port)
        self.stack.callback(caller.close)
        return caller

    @contextlib.asynccontextmanager
    async def pause(self) -> typing.AsyncIterator[None]:
        """Pause the process for ``PAUSE_S`` after the block has been run."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
            await asyncio.sleep(PAUSE_S)
        finally:
            self.process.send_signal(signal.SIGCONT)

    async def log_lines(self) -> list[dict]:
        """Return the log of the gateway, as soon as the process has ended."""
        output, _ = await self.process.communicate()
        return [json.loads(line) for line in output.splitlines()]


@pytest.fixture
async def deployment():
    """Yield a deployment that the test starts."""
    async with contextlib.AsyncExitStack() as stack:
        yield Deployment(stack)


class TestLastResponses:
    @pytest.mark.parametrize('size', [50_000, 100_000, 250_000, 1_000_000])
    async def test_slow_caller_gets_its_whole_response(self, deployment, size):
        # Guards against the loss of response bytes that the process has not
        # handed to the kernel when it ends.
        await deployment.start(casebook=size)
        target = deployment.targets['casebook']
        target.work_s = LATE_S
        caller = await deployment.send('casebook')
        deployment.stop()
        received = await caller.read_response(size / READ_S)
        body = received.partition(b'\r\n\r\n')[2]
        assert len(body) == size
        assert body == target.body

    @pytest.mark.parametrize('size', [50_000, 250_000, 1_000_000])
    async def test_response_that_began_before_the_drain_ends_its_connection(
        self, deployment, size
    ):
        # Guards against a stop that is late, or cuts a later request, since
        # a connection is kept open after its response.
        await deployment.start(casebook=size)
        caller = await deployment.send('casebook')
        deployment.stop()
        async with asyncio.timeout(STOP_TIMEOUT_S - STOP_MARGIN_S):
            await asyncio.sleep(LATE_S)
            received = await caller.read_response(size / READ_S)
            await deployment.process.wait()
        body = received.partition(b'\r\n\r\n')[2]
        assert body == deployment.targets['casebook'].body

    async def test_caller_that_still_uploads_gets_its_early_response(
        self, deployment
    ):
        # Guards against a TCP reset by unread bytes of an upload, which
        # discards the response that its caller has not read yet.
        await deployment.start(casebook=10)
        deployment.targets['casebook'].faults.append(emulator.Fault.EARLY)
        caller = await deployment.send('casebook', 'POST', UPLOAD_BYTES)
        deployment.stop()
        left = UPLOAD_BYTES - FIRST_BYTES
        await caller.send_body(left, left / LATE_S)
        response = await caller.read_response(math.inf)
        assert response.startswith(b'HTTP/1.1 400 ')
        assert response.endswith(b'\r\n\r\ntoo long')

    async def test_caller_that_reads_nothing_does_not_exceed_the_stop_timeout(
        self, deployment
    ):
        # Guards against a process that is killed before it has stopped, and
        # against unsent bytes that are not logged.
        await deployment.start(small=100_000, large=3_000_000)
        for service, target in deployment.targets.items():
            target.work_s = LATE_S
            await deployment.send(service)
        deployment.stop()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            lines = await deployment.log_lines()
        assert deployment.process.returncode == 0
        fields = {line['message']: line for line in lines}
        assert fields['requests cut']['in_flight'] == 1
        assert fields['responses cut']['connections'] >= 1
        assert fields['responses cut']['unsent_bytes'] > 10_000
        assert lines[-1]['message'] == 'gateway has stopped'


class TestRequestsBehindTheLastResponse:
    """Callers that send requests before they have their response."""

    @pytest.mark.parametrize('ahead', [1, 20])
    @pytest.mark.parametrize('received', [0.1, 0.5, 0.8])
    @pytest.mark.parametrize('size', [50_000, 90_000, 250_000])
    async def test_whole_response_arrives(
        self, deployment, size, received, ahead
    ):
        # Guards against a connection that is reset by a request which arrives
        # after its last response was handed to the kernel: the caller then
        # loses what it has not received of that response.
        await deployment.start(casebook=size)
        target = deployment.targets['casebook']
        target.work_s = 0.2
        caller = await deployment.send('casebook')
        deployment.stop()
        response = await caller.read_part(received * size, size / READ_S)
        assert b'Connection: close' in response
        runs = len(target.runs)
        await caller.send(ahead * _request('behind'))
        response += await caller.read_response(size / READ_S)
        assert response.partition(b'\r\n\r\n')[2] == target.body
        assert len(target.runs) == runs

    async def test_response_that_announces_no_close_arrives(self, deployment):
        # Guards against the same loss when a connection is closed as unused,
        # although its caller has not received the last response.
        await deployment.start(casebook=100_000)
        target = deployment.targets['casebook']
        target.work_s = 0.2
        caller = await deployment.send('casebook')
        response = await caller.read_part(1_000, math.inf)
        deployment.stop()
        await asyncio.sleep(LATE_S)
        await caller.send(_request('behind'))
        response += await caller.read_response(100_000 / READ_S)
        assert response.partition(b'\r\n\r\n')[2] == target.body

    async def test_caller_that_does_not_close_does_not_delay_the_end(
        self, deployment
    ):
        # Guards against a stop that lasts until the stop timeout because of
        # callers that leave their side of a connection open.
        await deployment.start(casebook=10)
        callers_open = [await deployment.connect() for _ in range(5)]
        for caller in callers_open:
            caller.send(_request('first'))
            assert (await caller.receive()).status == 200
            caller.writer.transport.pause_reading()
        deployment.stop()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            lines = await deployment.log_lines()
        assert deployment.process.returncode == 0
        assert 'closing connections cut' not in [
            line['message'] for line in lines
        ]


class TestRequestsAtTheClose:
    async def test_request_on_a_connection_to_be_accepted_is_answered(
        self, deployment
    ):
        # Guards against connections that wait to be accepted and are reset
        # when the listener closes.
        await deployment.start(casebook=10)
        deployment.stop()
        await asyncio.sleep(PAUSE_FROM_S)
        async with deployment.pause():
            opened = [await deployment.connect() for _ in range(5)]
            for caller in opened:
                caller.send(_request('queued'))
        for caller in opened:
            assert (await caller.receive()).status == 200

    async def test_first_request_of_a_new_connection_is_answered(
        self, deployment
    ):
        # Guards against a connection that closes while its first request is
        # on its way.
        await deployment.start(casebook=10)
        unused = await deployment.connect()
        unused.send(_request('earlier'))
        assert (await unused.receive()).status == 200
        deployment.stop()
        await asyncio.sleep(STOP_TIMEOUT_S / 2 - 0.25)
        caller = await deployment.connect()
        assert await unused.receive_end() == b''
        caller.send(_request('first'))
        assert (await caller.receive()).status == 200


def _request(request_id: str) -> bytes:
    return callers.encode_request('/casebook/safe/1', request_id=request_id)
