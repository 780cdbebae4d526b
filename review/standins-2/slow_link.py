"""A proxy that stands for a link with a delay, a bandwidth and small windows.

It hands on every byte that it has received, in order, and then the end of the
stream. A reset on one side reaches the other side as an end.
"""

import asyncio
import contextlib
import socket

WINDOW_BYTES = 16_384
CHUNK_BYTES = 4_096


class SlowLink:
    """Forwards connections to one port.

    :param delay_s: one way.
    :param bytes_per_s: of what the port sends on all connections together.
    """

    def __init__(self, port: int, delay_s: float, bytes_per_s: float):
        self.target_port = port
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self.port = 0
        # When all that was received from the port has been sent.
        self.free_at = 0.0
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a port of the loopback address."""
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(200)
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        self._keep(self._accept(listener))

    def _keep(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            client.setblocking(False)
            self._keep(self._forward(client))

    async def _forward(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        server.setblocking(False)
        try:
            with contextlib.suppress(OSError):
                await loop.sock_connect(
                    server, ('127.0.0.1', self.target_port)
                )
                await asyncio.gather(
                    self._pump(client, server, None),
                    self._pump(server, client, self.bytes_per_s),
                )
        finally:
            client.close()
            server.close()

    async def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        bytes_per_s: float | None,
    ) -> None:
        queue: asyncio.Queue = asyncio.Queue()
        sending = asyncio.create_task(self._send_delayed(queue, sink))
        loop = asyncio.get_running_loop()
        data = b'first'
        while data:
            try:
                # Returns what has arrived before a reset.
                data = await loop.sock_recv(source, CHUNK_BYTES)
            except OSError:
                data = b''
            if data and bytes_per_s:
                now = loop.time()
                self.free_at = max(now, self.free_at) + len(data) / bytes_per_s
                await asyncio.sleep(self.free_at - now)
            queue.put_nowait((loop.time() + self.delay_s, data))
        await sending

    async def _send_delayed(
        self, queue: asyncio.Queue, sink: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            with contextlib.suppress(OSError):
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, data)
