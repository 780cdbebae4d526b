"""The server of callers while it closes."""

import asyncio
import contextlib
import socket
import time

from aiohttp import web
import pytest
import uvloop

from dragonflyslip_entry import caller_server

SEND_TIMEOUT_S = 0.4
ANSWER_TIMEOUT_S = 4.0


@pytest.fixture
async def server():
    """Yield a server whose handler is never reached."""

    async def handle(request):
        raise AssertionError

    made = caller_server.CallerServer(handle)
    yield made
    await made.close()


async def _send_slowly(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b'a')
        await asyncio.sleep(0.1)


class TestFinish:
    async def test_request_without_end_does_not_hold_the_server(self, server):
        # Guards against a stop that lasts as long as a caller sends a head.
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, '127.0.0.1', 0)
        address = listener.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nX-Long: ')
        sender = asyncio.create_task(_send_slowly(writer))
        await asyncio.sleep(0.1)
        listener.close()
        try:
            async with asyncio.timeout(10 * SEND_TIMEOUT_S):
                await server.finish_requests(SEND_TIMEOUT_S)
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sender
            writer.transport.abort()


class _Transport:
    """A transport with bytes that the kernel has not taken."""

    unsent_bytes = 1

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes


class TestSending:
    async def test_last_bytes_of_a_response_are_awaited(self, server):
        # Guards against a response that loses what its handler has written
        # and the kernel has not taken, as on a slow link.
        transport = _Transport()
        server.transports[None] = transport
        sending = asyncio.create_task(server.send_written())
        await asyncio.wait([sending], timeout=SEND_TIMEOUT_S)
        assert not sending.done()
        transport.unsent_bytes = 0
        await sending
        del server.transports[None]


class TestRequestTargets:
    @pytest.mark.parametrize(
        'target',
        [
            b'GET http://xn--/ HTTP/1.1\r\nHost: app.example',
            b'GET http://xn--a-.example/x HTTP/1.1\r\nHost: app.example',
            b'CONNECT xn--:1 HTTP/1.1\r\nHost: app.example',
            b'CONNECT ',
        ],
    )
    async def test_unusual_target_is_answered(self, target):
        # Guards against a connection that stays open without an answer, and
        # delays the stop, because its request cannot be made.
        server = caller_server.CallerServer(_answer)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, '127.0.0.1', 0)
        address = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(target + b'\r\n\r\n')
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            listener.close()
            await server.finish_requests()
        assert head.split()[1] == b'200'
        writer.transport.abort()


class TestArrivals:
    @pytest.mark.parametrize(
        ('connections', 'turn_s'), [(3, 0.12), (10, 0.03), (30, 0.01)]
    )
    def test_connections_to_be_accepted_are_answered_if_busy(
        self, connections, turn_s
    ):
        # Guards against connections that are reset when a listener closes,
        # because a busy event loop accepts only one of them in a turn.
        answered = uvloop.run(_count_answers(connections, turn_s))
        assert answered == connections


async def _count_answers(connections: int, turn_s: float) -> int:
    """Return how many requests are answered that arrive before the close.

    :param turn_s: duration of each turn of the event loop.
    """
    server = caller_server.CallerServer(_answer)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, '127.0.0.1', 0)
    address = listener.sockets[0].getsockname()
    opened = [socket.create_connection(address) for _ in range(connections)]
    for connection in opened:
        connection.sendall(b'GET / HTTP/1.1\r\nHost: app.example\r\n\r\n')
        connection.setblocking(False)
    delaying = asyncio.create_task(_delay_turns(turn_s))
    await server.receive_arrived()
    listener.close()
    delaying.cancel()
    finishing = asyncio.create_task(server.finish_requests())
    answered = 0
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        for connection in opened:
            with connection, contextlib.suppress(ConnectionResetError):
                received = await loop.sock_recv(connection, 1_000)
                answered += received.startswith(b'HTTP/1.1 200 ')
        await finishing
    return answered


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response()


async def _delay_turns(turn_s: float) -> None:
    while True:
        time.sleep(turn_s)
        await asyncio.sleep(0)
