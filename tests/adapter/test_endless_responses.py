"""Bytes that a target or the store sends without end."""

import asyncio
import socket

import pytest

import dragonflyslip_emulator as emulator
from tests.adapter import callers

Part = emulator.EndlessPart

# Bytes that a sender may get rid of on one connection before the gateway
# closes it: what the gateway reads (256 KiB of a body at most), one read from
# the socket (256 KiB), and the buffers of both sockets (256 KiB).
MAX_ACCEPTED_BYTES = 786_432
# Bytes of a response that a caller does not read: buffers of the gateway and
# of four sockets.
MAX_UNREAD_BYTES = 16_777_216

# Part of the response that does not end, kind of request, status that the
# caller gets.
REQUEST_CASES = [
    (Part.NO_RESPONSE, 'safe', 200),
    (Part.NO_RESPONSE, 'unsafe', 502),
    (Part.HEADER_LINE, 'safe', 200),
    (Part.HEADER_LINE, 'unsafe', 502),
    (Part.HEADERS, 'safe', 200),
    (Part.HEADERS, 'unsafe', 502),
    (Part.INTERIM, 'safe', 200),
    (Part.INTERIM, 'unsafe', 502),
    (Part.CHUNK_EXTENSION, 'safe', 200),
    (Part.CHUNK_EXTENSION, 'unsafe', 502),
    (Part.CHUNK_EXTENSIONS, 'safe', 200),
    (Part.CHUNK_EXTENSIONS, 'unsafe', 502),
    (Part.TRAILERS, 'safe', 200),
    (Part.TRAILERS, 'unsafe', 502),
    (Part.FOREIGN, 'safe', 200),
    (Part.FOREIGN, 'unsafe', 502),
    (Part.FOREIGN_SERIES, 'safe', 200),
    (Part.FOREIGN_SERIES, 'unsafe', 502),
    (Part.REFUSAL, 'safe', 200),
    (Part.REFUSAL, 'unsafe', 200),
    (Part.SURPLUS, 'safe', 200),
    (Part.SURPLUS, 'unsafe', 200),
    (Part.SURPLUS_SERIES, 'safe', 200),
    (Part.SURPLUS_SERIES, 'unsafe', 200),
]
HEALTH_PARTS = [
    Part.NO_RESPONSE,
    Part.HEADER_LINE,
    Part.HEADERS,
    Part.INTERIM,
    Part.BODY,
    Part.CHUNK_EXTENSION,
    Part.CHUNK_EXTENSIONS,
    Part.TRAILERS,
    Part.SURPLUS,
    Part.SURPLUS_SERIES,
]


async def _start(platform, **model) -> emulator.EmulatedTarget:
    """Start a gateway with two targets; return the one chosen first."""
    first = await platform.add_target(**model)
    await platform.add_target(work_percent=130)
    # On a busy machine the gateway would refuse requests that are late.
    await platform.publish(
        *(platform.route(k, target_latency='2s') for k in ('safe', 'unsafe'))
    )
    await platform.start()
    return first


async def _sent_until_closed(platform, target) -> int:
    """Return the most bytes of one connection until the gateway closed it."""
    await platform.until(
        lambda: target.endless_sent and not target.endless_running
    )
    return max(target.endless_sent)


class TestHealthResponses:
    @pytest.mark.parametrize('part', HEALTH_PARTS)
    async def test_endless_health_response_is_not_read_whole(
        self, platform, part
    ):
        # Guards against a gateway that runs out of memory, and with it loses
        # all its requests, because of one target's health response.
        first = await _start(platform)
        first.health_fault = part
        replies = [await platform.call(f'/unsafe/{n}') for n in range(5)]
        assert [reply.status for reply in replies] == [200] * 5
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES

    @pytest.mark.parametrize('part', HEALTH_PARTS)
    async def test_slow_endless_health_response_holds_no_request(
        self, platform, part
    ):
        # Guards against a probe that goes on as long as bytes arrive.
        first = await _start(platform)
        first.endless_interval_s = 0.05
        first.health_fault = part
        reply = await platform.call('/unsafe/1', 'POST')
        assert reply.status == 200
        await _sent_until_closed(platform, first)


class TestResponses:
    @pytest.mark.parametrize(('part', 'kind', 'status'), REQUEST_CASES)
    async def test_endless_response_ends_one_request_only(
        self, platform, part, kind, status
    ):
        # Guards against a gateway that runs out of memory because of one
        # target's response, or that serves no other request meanwhile.
        first = await _start(platform)
        first.faults.append(part)
        method = 'GET' if kind == 'safe' else 'POST'
        call = asyncio.create_task(platform.call(f'/{kind}/1', method))
        await platform.until(
            lambda: first.endless_running or first.endless_sent
        )
        others = [await platform.call(f'/unsafe/{n}') for n in range(5)]
        assert [reply.status for reply in others] == [200] * 5
        assert (await call).status == status
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES

    async def test_failure_does_not_quote_the_response_at_length(
        self, platform
    ):
        # Guards against callers and logs that get a faulty target's bytes.
        first = await _start(platform)
        first.faults.append(Part.NO_RESPONSE)
        reply = await platform.call('/unsafe/1', 'POST')
        assert reply.status == 502
        assert len(reply.body) < 300

    @pytest.mark.parametrize(
        'part', [Part.FOREIGN, Part.INTERIM, Part.HEADERS, Part.BODY]
    )
    async def test_slow_endless_response_ends_with_the_deadline(
        self, platform, part
    ):
        # Guards against a request that is held as long as bytes arrive.
        first = await _start(platform)
        first.endless_interval_s = 0.1
        first.faults.append(part)
        async with asyncio.timeout(5.0):
            reply = await platform.call('/unsafe/1', 'POST', wait_ms=500)
        assert reply.broken or reply.status in (502, 504)
        await _sent_until_closed(platform, first)

    async def test_slow_refusal_does_not_hold_its_request(self, platform):
        # Guards against a request that waits for the body of a refusal until
        # its deadline, although another target would serve it.
        first = await _start(platform)
        first.faults.append(Part.REFUSAL)
        first.endless_interval_s = 0.3
        reply = await platform.call('/unsafe/1', 'POST', wait_ms=1_500)
        assert reply.status == 200
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES


class TestUploads:
    @pytest.mark.parametrize(
        'part',
        [
            Part.NO_RESPONSE,
            Part.HEADER_LINE,
            Part.HEADERS,
            Part.INTERIM,
            Part.CHUNK_EXTENSION,
            Part.FOREIGN,
            Part.FOREIGN_SERIES,
        ],
    )
    async def test_endless_response_ends_an_unfinished_upload(
        self, platform, part
    ):
        """Guards against bytes that are read as long as a caller sends."""
        first = await _start(platform)
        first.endless_before_body = True
        first.faults.append(part)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            b'POST /unsafe/1 HTTP/1.1\r\nHost: app.example\r\n'
            b'X-Request-Id: upload-1\r\nX-Deadline-Ms: 4000\r\n'
            b'Content-Length: 1000000\r\n\r\n' + bytes(10_000)
        )
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES
        assert (await platform.call('/unsafe/2', 'POST')).status == 200
        assert (await caller.receive()).status == 502


class TestInquiries:
    @pytest.mark.parametrize('part', HEALTH_PARTS)
    async def test_endless_answer_after_a_lost_response_is_not_read_whole(
        self, platform, part
    ):
        """Guards against a question whose answer does not end."""
        target = await platform.add_target(work_s=0.2)
        await platform.publish()
        await platform.start()
        target.faults.append(emulator.Fault.RESET)
        call = asyncio.create_task(platform.call('/unsafe/1', 'POST'))
        await platform.until(lambda: target.runs)
        target.health_fault = part
        assert (await call).status == 502
        sent = await _sent_until_closed(platform, target)
        assert sent <= MAX_ACCEPTED_BYTES


class TestIdleConnections:
    @pytest.mark.parametrize('part', [Part.IDLE, Part.IDLE_SERIES])
    async def test_bytes_on_an_idle_connection_close_it(self, platform, part):
        # Guards against bytes that wait on an idle connection, in memory or
        # as the response to its next request.
        first = await _start(platform)
        first.faults.append(part)
        assert (await platform.call('/unsafe/1', 'POST')).status == 200
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES
        counters = platform.gateway.board.counters
        assert counters['overlong_responses'] == 1
        assert (await platform.call('/unsafe/2', 'POST')).status == 200

    @pytest.mark.parametrize('part', [Part.IDLE, Part.IDLE_SERIES])
    async def test_bytes_after_a_health_response_close_the_connection(
        self, platform, part
    ):
        first = await _start(platform)
        first.health_fault = part
        replies = [await platform.call(f'/safe/{n}') for n in range(5)]
        assert [reply.status for reply in replies] == [200] * 5
        sent = await _sent_until_closed(platform, first)
        assert sent <= MAX_ACCEPTED_BYTES


class TestLongResponses:
    @pytest.mark.parametrize(
        ('fault', 'size'),
        [(None, 32_000_000), (emulator.Fault.CHUNKED, 200_000)],
    )
    async def test_long_response_arrives_whole(self, platform, fault, size):
        # Guards against bounds that end a proper response because of its
        # length, or because of the framing of its chunks.
        first = await _start(platform)
        first.body = bytes(range(250)) * (size // 250)
        if fault is not None:
            first.faults.append(fault)
        reply = await platform.call('/unsafe/1', 'POST', wait_ms=30_000)
        assert reply.status == 200
        assert reply.body == first.body

    async def test_response_is_read_no_faster_than_its_caller_reads(
        self, platform
    ):
        # Guards against a response that the gateway reads whole into memory
        # for a slow caller.
        first = await _start(platform)
        first.faults.append(Part.BODY)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ('127.0.0.1', platform.port))
        await loop.sock_sendall(
            sock,
            b'POST /unsafe/1 HTTP/1.1\r\nHost: app.example\r\n'
            b'X-Request-Id: slow-1\r\nContent-Length: 0\r\n\r\n',
        )
        await platform.until(lambda: first.endless_running)
        await asyncio.sleep(0.5)
        sock.close()
        assert await _sent_until_closed(platform, first) <= MAX_UNREAD_BYTES
