"""What callers get for their requests while a gateway stops."""

import asyncio
import contextlib
import logging

import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_entry import caller_protocol
from dragonflyslip_entry import drain
from dragonflyslip_entry.gateway import daemon
from dragonflyslip_entry import logs
from tests.adapter import callers
from tests.soak import lost_requests

# More than the buffers between a target and its caller hold.
_STREAM_BYTES = 20_000_000


async def _start(platform, **model) -> None:
    await platform.add_target(**model)
    await platform.publish(
        platform.route('safe'),
        platform.route('unsafe', timeout='20s'),
        platform.route('upload', timeout='20s'),
    )
    await platform.start()


class TestLogs:
    async def test_each_cut_request_is_logged_with_its_targets(
        self, platform, caplog
    ):
        # Guards against a stop whose log does not tell which requests it cut.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await _start(platform)
        (target,) = platform.targets
        target.body = bytes(_STREAM_BYTES)
        caller = await callers.KeptConnection.open(platform.port)
        caller.writer.transport.pause_reading()
        caller.send(callers.encode_request('/unsafe/1', 'POST', 'big', 20_000))
        await platform.until(lambda: target.runs)
        await asyncio.sleep(0.2)
        platform.gateway.stopping.set()
        await platform.until(
            lambda: any(r.message == 'request cut' for r in caplog.records)
        )
        caller.close()
        (line,) = [r for r in caplog.records if r.message == 'request cut']
        assert (line.request, line.targets) == ('big', [target.target_id])
        assert line.ms >= 200

    async def test_dropped_request_without_a_handler_is_logged(
        self, platform, caplog, monkeypatch
    ):
        # Guards against a stop that drops a request which leaves no trace.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request()[:40])
        await asyncio.sleep(0.05)
        monkeypatch.setattr(caller_protocol, 'PART_TIMEOUT_S', 0.2)
        platform.gateway.stopping.set()
        assert await caller.receive_end() == b''
        (line,) = [r for r in caplog.records if r.message == 'connections cut']
        assert line.connections == 1

    async def test_stream_that_is_cut_is_not_logged_as_answered(
        self, platform, caplog
    ):
        # Guards against a truncated response that the log and the metrics
        # show as an error response.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await _start(platform)
        (target,) = platform.targets
        target.body = bytes(_STREAM_BYTES)
        caller = await callers.KeptConnection.open(platform.port)
        caller.writer.transport.pause_reading()
        caller.send(callers.encode_request('/unsafe/1', 'POST', 'big', 500))
        await platform.until(lambda: target.runs)
        await platform.until(lambda: not platform.gateway.handler.in_flight)
        caller.close()
        (line,) = [r for r in caplog.records if hasattr(r, 'ms')]
        assert (line.message, line.status, line.reason) == (
            'response aborted',
            None,
            'timeout',
        )

    @pytest.mark.parametrize('parts', [[b'\r\n'], [b'\r', b'\n\r\n']])
    async def test_empty_line_is_not_a_request(
        self, platform, caplog, monkeypatch, parts
    ):
        # Guards against a stop that waits for the rest of a request, and logs
        # its loss, because of an empty line after the last one.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        monkeypatch.setattr(caller_protocol, 'PART_TIMEOUT_S', 1.5)
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request())
        assert (await caller.receive()).status == 200
        server = platform.gateway.server
        (protocol,) = server.connections
        for part in parts:
            protocol.data_received(part)
        server.close_idle(asyncio.get_running_loop().time())
        assert await caller.receive_end() == b''
        platform.gateway.stopping.set()
        await platform.running
        messages = [record.message for record in caplog.records]
        assert 'connections cut' not in messages
        caller.close()

    async def test_empty_line_while_a_request_runs_is_not_a_request(
        self, platform
    ):
        # Guards against a response that keeps its connection open because of
        # an empty line that arrived before it.
        await _start(platform)
        gate = _hold_requests(platform.targets[0])
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request())
        await platform.until(lambda: gate.waiting)
        (protocol,) = platform.gateway.server.connections
        protocol.data_received(b'\r\n')
        platform.gateway.server.closing = True
        gate.opened.set()
        answer = await caller.receive()
        assert (answer.status, answer.headers['connection']) == (200, 'close')
        caller.close()

    async def test_request_after_an_empty_line_is_answered(self, platform):
        # Guards against a request that is dropped because the empty line
        # before it does not count as a part of a request.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request())
        assert (await caller.receive()).status == 200
        server = platform.gateway.server
        (protocol,) = server.connections
        protocol.data_received(b'\r\n')
        request = callers.encode_request(request_id='last')
        head_bytes = len(request) - 2
        for part in (b'\r\n' + request[:head_bytes], request[head_bytes:]):
            protocol.data_received(part)
            server.close_idle(asyncio.get_running_loop().time())
        assert (await caller.receive()).status == 200
        caller.close()

    async def test_closed_unused_connections_are_logged_once(
        self, platform, caplog
    ):
        # Guards against a log that does not tell when requests may have
        # crossed the close of their connections.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await _start(platform)
        opened = []
        for _ in range(2):
            opened.append(await callers.KeptConnection.open(platform.port))
            opened[-1].send(callers.encode_request())
            assert (await opened[-1].receive()).status == 200
        platform.gateway.stopping.set()
        for caller in opened:
            assert await caller.receive_end() == b''
        await platform.until(lambda: not platform.gateway.server.transports)
        assert [
            record.connections
            for record in caplog.records
            if record.message == 'unused connections closed'
        ] == [2]

    async def test_rest_of_a_refused_upload_is_not_logged_as_a_request(
        self, platform, caplog, monkeypatch
    ):
        # Guards against a stop that reports lost requests where none was.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        monkeypatch.setattr(caller_protocol, 'PART_TIMEOUT_S', 0.01)
        await platform.publish(platform.route('upload'))
        await platform.start()
        caller = await callers.KeptConnection.open(platform.port)
        head = callers.encode_request(
            '/upload/1', 'POST', 'refused', Content_Length=5
        )
        caller.send(head + b'by')
        assert (await caller.receive()).status == 503
        caller.send(b'tes')
        await asyncio.sleep(0.05)
        platform.gateway.stopping.set()
        assert await caller.receive_end() == b''
        messages = [record.message for record in caplog.records]
        assert 'connections cut' not in messages


class TestSchedule:
    def test_request_that_is_accepted_last_may_be_cut_off(self):
        # Guards against a request that is accepted so late that its target's
        # work may not be replaced by an error response.
        accepted_until_s = (
            daemon.ACCEPT_AFTER_STOP_S
            + caller_protocol.FIRST_REQUEST_TIMEOUT_S
        )
        assert accepted_until_s <= lost_requests.LATEST_EXCUSED_SEND_S

    @pytest.mark.parametrize('stop_timeout_s', [1.0, 3.0, 6.0, 10.0])
    def test_later_request_is_refused(self, stop_timeout_s):
        # Guards against a request that is passed on so late that its
        # target's work may not be replaced by an error response.
        schedule = drain.DrainSchedule.from_timeout(
            0.0, stop_timeout_s, daemon.ACCEPT_AFTER_STOP_S, 0.3
        )
        assert schedule.close_idle_at < schedule.forward_until
        assert schedule.forward_until < schedule.answer_at
        assert schedule.forward_until < lost_requests.LATEST_EXCUSED_SEND_S

    def test_errors_are_sent_in_the_last_sixth_of_the_stop_timeout(self):
        # Guards against error responses while targets may still respond, and
        # against some that the end of the process overtakes.
        schedule = drain.DrainSchedule.from_timeout(100.0, 6.0, 3.0, 0.3)
        assert schedule.close_idle_at == 103.0
        assert 105.0 <= schedule.answer_at <= schedule.end_at - 0.2
        assert schedule.end_at == 105.7

    def test_short_stop_timeout_keeps_the_order_of_the_steps(self):
        schedule = drain.DrainSchedule.from_timeout(0.0, 1.0, 3.0, 0.1)
        assert schedule.close_idle_at == 0.5
        assert schedule.close_idle_at < schedule.answer_at < schedule.end_at


class TestUnfinishedRequests:
    async def test_request_of_a_silent_target_is_answered_before_the_end(
        self, platform, caplog
    ):
        # Guards against uploads that are cut without an answer because their
        # target stays silent for longer than the stop timeout.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await _start(platform)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.HANG)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            callers.encode_request(
                '/upload/1', 'POST', 'slow', 10_000, Content_Length=5
            )
            + b'bytes'
        )
        await platform.until(lambda: target.running)
        stopped_at = asyncio.get_running_loop().time()
        platform.gateway.stopping.set()
        answer = await caller.receive()
        took_s = asyncio.get_running_loop().time() - stopped_at
        assert (answer.status, answer.headers['connection']) == (504, 'close')
        assert took_s >= 5 / 6 * platform.gateway.options.stop_timeout
        (line,) = [r for r in caplog.records if r.message == 'request failed']
        assert (line.request, line.reason) == ('slow', 'gateway-stopping')

    async def test_request_that_cannot_have_run_is_503(self, platform):
        # Guards against a caller that may not retry a request although no
        # target has received a byte of it.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            callers.encode_request(
                '/upload/1', 'POST', 'slow', 10_000, Content_Length=5
            )
        )
        await platform.until(lambda: platform.gateway.handler.in_flight)
        platform.gateway.stopping.set()
        answer = await caller.receive()
        assert answer.status == 503
        assert float(answer.headers['retry-after']) < 0.5
        assert platform.runs() == []

    async def test_request_received_while_draining_is_answered(
        self, platform, monkeypatch
    ):
        # Guards against a deadline of the stop that only covers requests
        # which arrived before it.
        monkeypatch.setattr(daemon, 'ACCEPT_AFTER_STOP_S', 0.5)
        await _start(platform)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.HANG)
        caller = await callers.KeptConnection.open(platform.port)
        platform.gateway.stopping.set()
        await platform.until(lambda: platform.gateway.board.draining)
        caller.send(
            callers.encode_request('/unsafe/1', 'POST', 'late', 10_000)
        )
        assert (await caller.receive()).status == 504
        assert target.runs[0].deadline_ms <= 2_000

    async def test_streamed_response_continues_until_connections_close(
        self, platform
    ):
        # Guards against streams that are broken off earlier than necessary,
        # as no error response can follow their first part.
        await _start(platform)
        caller = await self._start_stream(platform, 20_000)
        platform.gateway.stopping.set()
        await asyncio.sleep(platform.gateway.options.stop_timeout - 0.25)
        assert platform.gateway.handler.in_flight == 1
        caller.writer.transport.resume_reading()
        answer = await caller.receive()
        assert (answer.status, len(answer.body)) == (200, _STREAM_BYTES)

    async def test_stream_that_is_cut_does_not_look_complete(self, platform):
        # Guards against an error response in the middle of a streamed one.
        await _start(platform)
        caller = await self._start_stream(platform, 500)
        await platform.until(lambda: not platform.gateway.handler.in_flight)
        caller.writer.transport.resume_reading()
        with contextlib.suppress(ConnectionResetError):
            received = await caller.receive_end()
            assert received.count(b'HTTP/1.1') == 1
            assert len(received) < _STREAM_BYTES
        caller.close()

    async def _start_stream(self, platform, wait_ms: int):
        (target,) = platform.targets
        target.body = bytes(_STREAM_BYTES)
        caller = await callers.KeptConnection.open(platform.port)
        caller.writer.transport.pause_reading()
        caller.send(
            callers.encode_request('/unsafe/1', 'POST', 'big', wait_ms)
        )
        await platform.until(lambda: target.runs)
        return caller


class TestConnections:
    @pytest.mark.parametrize('turns', range(4))
    async def test_request_read_before_its_connection_closes_is_answered(
        self, platform, turns
    ):
        # Guards against a request that is dropped because its handler has
        # not started yet when unused connections close.
        await _start(platform)
        caller = await self._open_used(platform)
        server = platform.gateway.server
        (protocol,) = server.connections
        protocol.data_received(callers.encode_request(request_id='last'))
        for _ in range(turns):
            await asyncio.sleep(0)
        server.close_idle(asyncio.get_running_loop().time())
        assert (await caller.receive()).status == 200
        caller.close()

    @pytest.mark.parametrize('turns', range(4))
    async def test_request_after_the_rest_of_an_upload_is_answered(
        self, platform, turns
    ):
        # Guards against a request that is dropped because its first bytes
        # arrive together with the last ones of an upload.
        await _start(platform)
        caller = await self._open_used(platform)
        platform.targets[0].faults.append(emulator.Fault.EARLY)
        size = 50_000
        caller.send(
            callers.encode_request('/upload/1', 'POST', Content_Length=size)
            + bytes(1_000)
        )
        assert (await caller.receive()).status == 400
        server = platform.gateway.server
        (protocol,) = server.connections
        protocol.data_received(
            bytes(size - 1_000) + callers.encode_request(request_id='last')
        )
        for _ in range(turns):
            await asyncio.sleep(0)
        server.close_idle(asyncio.get_running_loop().time())
        assert (await caller.receive()).status == 200
        caller.close()

    async def test_request_that_has_arrived_and_was_not_read_is_answered(
        self, platform
    ):
        # Guards against a busy event loop that closes unused connections
        # before it has looked for the requests that arrived on them.
        await _start(platform)
        caller = await self._open_used(platform)
        finishing = asyncio.ensure_future(
            platform.gateway.server.finish_requests()
        )
        caller.send(callers.encode_request(request_id='last'))
        answer = await caller.receive()
        assert (answer.status, answer.headers['connection']) == (200, 'close')
        await finishing

    async def test_request_that_arrives_in_parts_is_answered(self, platform):
        # Guards against a request that is dropped because a part of its head
        # arrives after unused connections have closed.
        await _start(platform)
        caller = await self._open_used(platform)
        request = callers.encode_request(request_id='last')
        caller.send(request[:40])
        await asyncio.sleep(0.05)
        platform.gateway.stopping.set()
        await asyncio.sleep(0.3)
        caller.send(request[40:])
        answer = await caller.receive()
        assert (answer.status, answer.headers['connection']) == (200, 'close')

    async def test_request_behind_an_answered_upload_is_answered(
        self, platform
    ):
        # Guards against a request that is dropped because the stop began
        # while the rest of the answered upload before it arrived.
        await _start(platform)
        caller = await self._open_used(platform)
        platform.targets[0].faults.append(emulator.Fault.EARLY)
        size = 50_000
        caller.send(
            callers.encode_request('/upload/1', 'POST', Content_Length=size)
            + bytes(1_000)
        )
        answer = await caller.receive()
        assert (answer.status, answer.headers.get('connection')) == (400, None)
        server = platform.gateway.server
        server.close_idle(asyncio.get_running_loop().time())
        caller.send(bytes(size - 1_000) + callers.encode_request())
        assert (await caller.receive()).status == 200
        caller.close()

    async def _open_used(self, platform) -> callers.KeptConnection:
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request(request_id='first'))
        assert (await caller.receive()).status == 200
        return caller


class TestPipelinedRequests:
    @pytest.mark.parametrize('accept_s', [0.0, 1.0])
    async def test_each_request_that_was_read_is_answered(
        self, platform, monkeypatch, accept_s
    ):
        # Guards against requests that are dropped because the response to
        # the one before them closes the connection.
        monkeypatch.setattr(daemon, 'ACCEPT_AFTER_STOP_S', accept_s)
        await _start(platform)
        gate = _hold_requests(platform.targets[0])
        caller = await callers.KeptConnection.open(platform.port)
        names = ['first', 'second', 'third']
        caller.send(
            b''.join(callers.encode_request(request_id=n) for n in names)
        )
        await platform.until(lambda: gate.waiting)
        platform.gateway.stopping.set()
        await self._until_stopping(platform, closing=accept_s == 0)
        gate.opened.set()
        answers = [await caller.receive() for _ in names]
        assert [a.status for a in answers] == [200, 200, 200]
        assert [a.headers['x-request-id'] for a in answers] == names
        connection = [a.headers.get('connection') for a in answers]
        assert connection == [None, None, 'close']
        assert await caller.receive_end() == b''
        caller.close()

    async def test_close_between_two_requests_drops_none(self, platform):
        # Guards against a request that is dropped because unused connections
        # close after it was taken from the queue, before its handler starts.
        await _start(platform)
        gate = _hold_requests(platform.targets[0])
        caller = await callers.KeptConnection.open(platform.port)
        names = ['first', 'second', 'third']
        caller.send(
            b''.join(callers.encode_request(request_id=n) for n in names)
        )
        await platform.until(lambda: gate.waiting)

        async def close_idle() -> None:
            while True:
                now = asyncio.get_running_loop().time()
                platform.gateway.server.close_idle(now)
                await asyncio.sleep(0)

        closing = asyncio.create_task(close_idle())
        gate.opened.set()
        try:
            answers = [await caller.receive() for _ in names]
        finally:
            closing.cancel()
        assert [a.headers['x-request-id'] for a in answers] == names
        caller.close()

    async def test_request_that_was_read_in_part_is_answered(
        self, platform, monkeypatch
    ):
        # Guards against a request that is dropped because only a part of its
        # head had arrived when the one before it was answered.
        monkeypatch.setattr(caller_protocol, 'PART_TIMEOUT_S', 30.0)
        await _start(platform)
        gate = _hold_requests(platform.targets[0])
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request(request_id='first'))
        await platform.until(lambda: gate.waiting)
        request = callers.encode_request(request_id='second')
        caller.send(request[:40])
        (protocol,) = platform.gateway.server.connections
        await platform.until(lambda: protocol.received_at is not None)
        platform.gateway.stopping.set()
        await self._until_stopping(platform, closing=True)
        gate.opened.set()
        assert 'connection' not in (await caller.receive()).headers
        caller.send(request[40:])
        answer = await caller.receive()
        assert (answer.status, answer.headers['connection']) == (200, 'close')
        caller.close()

    async def test_request_behind_a_stream_is_answered(self, platform):
        # Guards against a request that is dropped because the response before
        # it was still being sent when the stop began.
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.writer.transport.pause_reading()
        caller.send(
            callers.encode_request(f'/safe/1?bytes={_STREAM_BYTES}')
            + callers.encode_request(request_id='second')
        )
        await platform.until(lambda: platform.runs())
        platform.gateway.stopping.set()
        await self._until_stopping(platform, closing=True)
        caller.writer.transport.resume_reading()
        assert len((await caller.receive()).body) == _STREAM_BYTES
        answer = await caller.receive()
        assert (answer.status, answer.headers['connection']) == (200, 'close')
        caller.close()

    async def test_request_that_begins_too_late_is_not_passed_on(
        self, platform
    ):
        # Guards against a request without an answer behind one whose target
        # stays silent, and against one that is sent only to be cut.
        await _start(platform)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.HANG)
        caller = await callers.KeptConnection.open(platform.port)
        names = ['first', 'second']
        caller.send(
            b''.join(
                callers.encode_request('/unsafe/1', 'POST', name, 10_000)
                for name in names
            )
        )
        await platform.until(lambda: target.running)
        platform.gateway.stopping.set()
        answers = [await caller.receive() for _ in names]
        assert [a.status for a in answers] == [504, 503]
        assert answers[1].headers['connection'] == 'close'
        assert [run.request_id for run in target.runs] == ['first']
        caller.close()

    async def _until_stopping(self, platform, closing: bool) -> None:
        gateway = platform.gateway
        await platform.until(
            lambda: (
                gateway.board.draining and gateway.server.closing is closing
            )
        )


class _Gate:
    """Holds the requests that arrive at a target until it is opened."""

    def __init__(self):
        self.waiting = 0
        self.opened = asyncio.Event()


def _hold_requests(target: emulator.EmulatedTarget) -> _Gate:
    gate = _Gate()
    execute = target._execute

    async def execute_later(*args) -> bool:
        gate.waiting += 1
        await gate.opened.wait()
        return await execute(*args)

    target._execute = execute_later
    return gate
