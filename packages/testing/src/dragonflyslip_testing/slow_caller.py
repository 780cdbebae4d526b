"""A caller on a slow link with small packets and buffers."""

import asyncio
import collections.abc
import math
import socket

_RECEIVE_BUFFER_BYTES = 4_096
# The usual segment size of a network. The loopback interface has larger ones,
# with which the kernel buffers a whole response.
_SEGMENT_BYTES = 1_400


class SlowCaller:
    """One connection that receives and sends at a low rate.

    :param endpoint: ``IP:PORT`` to connect to.
    """

    def __init__(self, endpoint: str):
        self.endpoint = endpoint
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES
        )
        self.socket.setblocking(False)

    async def send_head(
        self,
        method: str,
        path: str,
        headers: collections.abc.Mapping[str, str],
    ) -> None:
        """Connect and send a request without its body."""
        address, _, port = self.endpoint.rpartition(':')
        await self.loop.sock_connect(self.socket, (address, int(port)))
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join([*lines, '', '']).encode()
        await self.loop.sock_sendall(self.socket, head)

    async def send_body(self, size: int, bytes_per_s: float) -> None:
        """Send bytes of the body, without reading any response."""
        started_at = self.loop.time()
        for start in range(0, size, _SEGMENT_BYTES):
            await self.loop.sock_sendall(self.socket, bytes(_SEGMENT_BYTES))
            sent = start + _SEGMENT_BYTES
            await self._sleep_until(started_at + sent / bytes_per_s)

    async def send(self, data: bytes) -> None:
        """Send bytes, such as further requests."""
        await self.loop.sock_sendall(self.socket, data)

    async def read_response(self, bytes_per_s: float) -> bytes:
        """Return all bytes that arrive until the connection closes."""
        return await self.read_part(math.inf, bytes_per_s)

    async def read_part(self, size: float, bytes_per_s: float) -> bytes:
        """Return at least this many bytes, fewer if the connection closes."""
        received = bytearray()
        started_at = None
        while len(received) < size:
            data = await self.loop.sock_recv(
                self.socket, _RECEIVE_BUFFER_BYTES
            )
            if not data:
                break
            if started_at is None:
                started_at = self.loop.time()
            received += data
            await self._sleep_until(started_at + len(received) / bytes_per_s)
        return bytes(received)

    async def _sleep_until(self, at: float) -> None:
        # Each sleep ends late on a busy machine. The delays must not add up.
        await asyncio.sleep(at - self.loop.time())

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
