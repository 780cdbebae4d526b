"""A TCP proxy on the loopback address that has a rate and can go silent."""

import asyncio
import contextlib
import math

_CHUNK_BYTES = 8_192


class Proxy:
    """Forwards connections to one port, or holds up all their bytes.

    :param target_port: port of the loopback address to connect to.
    :param bytes_per_s: rate of all connections together, in each direction.
    :ivar port: port on which it listens.
    """

    def __init__(self, target_port: int, bytes_per_s: float = math.inf):
        self.target_port = target_port
        self.bytes_per_s = bytes_per_s
        self.port = 0
        self._forwards = asyncio.Event()
        self._forwards.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # When the link has carried all bytes so far, for each direction.
        self._free_at = [0.0, 0.0]

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold up all bytes; connections stay open and silent."""
        self._forwards.clear()

    def heal(self) -> None:
        """Forward the bytes that were held up, and all later ones."""
        self._forwards.set()

    def close(self) -> None:
        """Close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        other = None
        try:
            await self._forwards.wait()
            other_reader, other = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
            self._writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, 0),
                self._pump(other_reader, writer, 1),
            )
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._forwards.wait()
                free_at = max(self._free_at[direction], loop.time())
                free_at += len(data) / self.bytes_per_s
                self._free_at[direction] = free_at
                await asyncio.sleep(free_at - loop.time())
                writer.write(data)
                await writer.drain()
        writer.close()
