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


@dataclasses.dataclass(eq=False)
class _RelayedConnection:
    """The two halves of one relayed connection.

    :param blackholed: whether bytes and the end of the connection are no
        longer forwarded.
    """

    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    blackholed: bool = False


class Relay:
    """Forwards TCP connections to one target on the loopback interface.

    :param target_port: port to which connections are forwarded.
    :ivar blackholed_count: number of connections that ``blackhole`` has
        affected.
    :ivar delay_s: delay of all bytes in seconds, in both directions.
    :ivar drops_requests: whether bytes from callers are dropped.
    :ivar drops_responses: whether bytes from the target are dropped.
    """

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.blackholed_count = 0
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_responses = False
        # Also holds blackholed connections: a writer that is garbage-collected
        # closes its connection, which the other end must not notice.
        self._connections: set[_RelayedConnection] = set()

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
            target_reader, target_writer = await asyncio.open_connection(
                _HOST, self.target_port
            )
        except OSError:
            writer.close()
            return
        connection = _RelayedConnection(writer, target_writer)
        self._connections.add(connection)
        await asyncio.gather(
            self._pump(connection, reader, target_writer),
            self._pump(connection, target_reader, writer),
        )
        if not connection.blackholed:
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.delay_s > 0.0:
                    await asyncio.sleep(self.delay_s)
                if not connection.blackholed and not self._is_dropped(
                    connection, writer
                ):
                    writer.write(data)
                    await writer.drain()
        if not connection.blackholed:
            writer.close()

    def _is_dropped(
        self, connection: _RelayedConnection, writer: asyncio.StreamWriter
    ) -> bool:
        if writer is connection.target:
            return self.drops_requests
        return self.drops_responses


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
