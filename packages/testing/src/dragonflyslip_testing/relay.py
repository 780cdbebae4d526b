"""TCP relay that simulates network faults.

It can act as a middlebox that has lost the state of open connections and
drops their packets.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct

_HOST = '127.0.0.1'
_CHUNK_BYTES = 65_536
# Small enough that connections which share a limited rate take turns.
_LIMITED_CHUNK_BYTES = 8_192
_RECEIVE_BUFFER_BYTES = 3_000
# Segment size of Ethernet. With the large segments of the loopback interface,
# the kernel would buffer whole responses for a slow connection.
_SEGMENT_BYTES = 1_448


async def open_slow_connection(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a port of the loopback address, with small buffers.

    What is not read from the connection soon stays with the process at its
    other end, as on a slow network.

    :raises OSError: if that fails.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (_HOST, port))
    except OSError:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=_LIMITED_CHUNK_BYTES)


@dataclasses.dataclass
class RateLimit:
    """A rate that several connections share.

    :param bytes_per_s: rate in bytes per second.
    :param free_at: when all bytes that were reserved will have passed.
    """

    bytes_per_s: float
    free_at: float = 0.0

    def reserve(self, count: int, now: float) -> float:
        """Reserve the rate for bytes and return when they have passed.

        >>> limit = RateLimit(bytes_per_s=1_000)
        >>> limit.reserve(500, now=10.0), limit.reserve(500, now=10.0)
        (10.5, 11.0)
        """
        self.free_at = max(self.free_at, now) + count / self.bytes_per_s
        return self.free_at


@dataclasses.dataclass(eq=False)
class _RelayedConnection:
    """The two halves of one relayed connection.

    :param blackholed: whether bytes and the end of the connection are no
        longer forwarded.
    :param request: the bytes that last came from the caller.
    """

    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    blackholed: bool = False
    request: bytes = b''


class Relay:
    """Forwards TCP connections to one target on the loopback interface.

    :param target_port: port to which connections are forwarded.
    :param response_limit: rate that the bytes to all callers share; None if
        it is not limited. Few bytes are then buffered in the relay, so that
        the target has to keep what has not passed yet.
    :ivar blackholed_count: number of connections that ``blackhole`` has
        affected.
    :ivar delay_s: delay of all bytes in seconds, in both directions.
    :ivar lost_responses: texts of requests. For each, the next response to
        such a request is lost, and its connection silent from then on.
    :ivar drops_requests: whether bytes from callers are dropped.
    :ivar drops_responses: whether bytes from the target are dropped.
    """

    def __init__(
        self, target_port: int, response_limit: RateLimit | None = None
    ):
        self.target_port = target_port
        self.response_limit = response_limit
        self.blackholed_count = 0
        self.delay_s = 0.0
        self.lost_responses: list[bytes] = []
        self.drops_requests = False
        self.drops_responses = False
        # Also holds blackholed connections: a writer that is garbage-collected
        # closes its connection, which the other end must not notice.
        self._connections: set[_RelayedConnection] = set()

    @property
    def _chunk_bytes(self) -> int:
        limited = self.response_limit is not None
        return _LIMITED_CHUNK_BYTES if limited else _CHUNK_BYTES

    async def listen(self, port: int) -> asyncio.Server:
        """Accept connections; with port 0, on a free port."""
        return await asyncio.start_server(self._handle_connection, _HOST, port)

    def blackhole(self) -> None:
        """Drop all further bytes of the connections that are open now.

        Both ends keep an open connection on which nothing arrives any more,
        not even its end. Later connections are not affected.
        """
        for connection in self._connections:
            connection.blackholed = True
        self.blackholed_count += len(self._connections)

    def reset(self) -> None:
        """Send a TCP reset to both ends of all open connections."""
        for connection in self._connections:
            _reset(connection.caller)
            _reset(connection.target)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.caller.close()
            connection.target.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await self._connect()
        except OSError:
            writer.close()
            return
        if self.response_limit is not None:
            writer.transport.set_write_buffer_limits(0)
        connection = _RelayedConnection(writer, target_writer)
        self._connections.add(connection)
        await asyncio.gather(
            self._pump(connection, reader, target_writer),
            self._pump(connection, target_reader, writer),
        )
        if not connection.blackholed:
            self._connections.discard(connection)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.response_limit is None:
            return await asyncio.open_connection(_HOST, self.target_port)
        return await open_slow_connection(self.target_port)

    async def _wait_for_rate(
        self,
        connection: _RelayedConnection,
        writer: asyncio.StreamWriter,
        count: int,
    ) -> None:
        if self.response_limit is not None and writer is connection.caller:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(self.response_limit.reserve(count, now) - now)

    async def _pump(
        self,
        connection: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(self._chunk_bytes):
                if writer is connection.target:
                    connection.request = data
                elif self._loses_response(connection):
                    connection.blackholed = True
                    self.blackholed_count += 1
                await self._wait_for_rate(connection, writer, len(data))
                if self.delay_s > 0.0:
                    await asyncio.sleep(self.delay_s)
                if not connection.blackholed and not self._is_dropped(
                    connection, writer
                ):
                    writer.write(data)
                    await writer.drain()
        if not connection.blackholed:
            writer.close()

    def _loses_response(self, connection: _RelayedConnection) -> bool:
        for text in self.lost_responses:
            if text in connection.request:
                self.lost_responses.remove(text)
                return True
        return False

    def _is_dropped(
        self, connection: _RelayedConnection, writer: asyncio.StreamWriter
    ) -> bool:
        if writer is connection.target:
            return self.drops_requests
        return self.drops_responses


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.transport.get_extra_info('socket')
    # The connection may have closed already.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
