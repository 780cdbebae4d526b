"""TCP connections between entries, which carry frames."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

from dragonflyslip_core import membership
import dragonflyslip_wire as wire

CONNECT_TIMEOUT_S = 1.0
# Time in which the last frames are sent as an entry stops.
CLOSE_TIMEOUT_S = 0.2
# A link with more unsent bytes than this is closed, since its peer does not
# read; a new one is opened instead.
_MAX_BUFFERED_BYTES = 8 * wire.MAX_FRAME_BYTES
# Limits what the kernel holds of a link, so that the unsent bytes of this
# process show what a slow network has not carried yet.
_SEND_BUFFER_BYTES = 65_536

OnMessage = collections.abc.Callable[['PeerLink', typing.Any], None]


class Counters(typing.Protocol):
    """Counters that links add to."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


class PeerLink(asyncio.Protocol):
    """One connection to a peer, opened by either side.

    :param on_message: called with the link and each message.
    :ivar finishing: whether nothing more can be sent.
    :ivar received_bytes: number of bytes received so far.
    :ivar closed: set while there is no connection.
    """

    def __init__(self, counters: Counters, on_message: OnMessage):
        self.counters = counters
        self.on_message = on_message
        self.decoder = wire.FrameDecoder()
        self.transport: asyncio.Transport | None = None
        self.peer: membership.EntryId | None = None
        self.finishing = False
        self.received_bytes = 0
        self.closed = asyncio.Event()
        self.closed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        self.closed.clear()

    def data_received(self, data: bytes) -> None:
        """Decode the bytes and pass on each complete message.

        Malformed bytes close the connection.
        """
        self.received_bytes += len(data)
        try:
            for message in self.decoder.feed(data):
                self.on_message(self, message)
        except wire.WireError:
            self.counters.count('peer_bad_frames')
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the transport."""
        self.transport = None
        self.closed.set()

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not self.finishing
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the network."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def send(self, frame: bytes) -> bool:
        """Send a frame; return False if the link is closed or stuck.

        A link is stuck if its peer does not read; it is then closed.
        """
        transport = self.transport
        if transport is None or not self.open:
            return False
        if self.unsent_bytes > _MAX_BUFFERED_BYTES:
            self.counters.count('peer_links_stuck')
            transport.abort()
            return False
        transport.write(frame)
        self.counters.count('peer_bytes_sent', len(frame))
        return True

    def close(self) -> None:
        """Close the connection; what is buffered is lost."""
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Send what is buffered, after which the peer closes the connection.

        Bytes are still received: closing a connection on which they arrive
        resets it, and the peer may then lose the last frames.
        """
        if self.open:
            self.finishing = True
            self.transport.write_eof()


class PeerLinks:
    """Links to all other entries of the instance list.

    This entry sends over the links that it opened and receives over those
    that its peers opened. A reply goes out on the link of the request.

    :param hello: first message on each link that this entry opens.
    :param on_message: called with the link and each message.
    """

    def __init__(
        self,
        counters: Counters,
        hello: wire.Hello,
        on_message: OnMessage,
    ):
        self.counters = counters
        self.hello = hello
        self.on_message = on_message
        self.outgoing: dict[str, PeerLink] = {}
        self.endpoints: dict[str, tuple[str, int]] = {}
        self._incoming: set[PeerLink] = set()
        self._connecting: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept links from other entries."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, reuse_address=True
        )

    def set_endpoints(self, endpoints: dict[str, tuple[str, int]]) -> None:
        """Set the peers, and close the links to those that changed.

        :param endpoints: address and port by entry name.
        """
        for name, link in list(self.outgoing.items()):
            if endpoints.get(name) != self.endpoints.get(name):
                link.close()
                del self.outgoing[name]
        self.endpoints = dict(endpoints)

    def connect_missing(self) -> None:
        """Start to open the missing links, without waiting for them."""
        for name in self.endpoints:
            link = self.outgoing.get(name)
            if (link is not None and link.open) or name in self._connecting:
                continue
            task = asyncio.get_running_loop().create_task(self._connect(name))
            self._connecting[name] = task

    def send(self, name: str, message: wire.Message) -> bool:
        """Send a message to a peer; return False if there is no link."""
        link = self.outgoing.get(name)
        return link is not None and link.send(wire.encode_frame(message))

    def broadcast(self, message: wire.Message) -> list[str]:
        """Send a message to all peers and return their names."""
        frame = wire.encode_frame(message)
        return [
            name for name, link in self.outgoing.items() if link.send(frame)
        ]

    async def close(self) -> None:
        """Close all links after their frames are sent, or a short time."""
        if self._server is not None:
            self._server.close()
        for task in self._connecting.values():
            task.cancel()
        links = (*self.outgoing.values(), *self._incoming)
        for link in links:
            link.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                for link in links:
                    await link.closed.wait()
        for link in links:
            link.close()

    def _accept(self) -> PeerLink:
        link = PeerLink(self.counters, self.on_message)
        self._incoming = {known for known in self._incoming if known.open}
        self._incoming.add(link)
        return link

    async def _connect(self, name: str) -> None:
        host, port = self.endpoints[name]
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: PeerLink(self.counters, self.on_message),
                    host,
                    port,
                )
        except (OSError, TimeoutError):
            self.counters.count('peer_connect_failures')
            return
        finally:
            self._connecting.pop(name, None)
        if self.endpoints.get(name) != (host, port):
            link.close()
            return
        self.outgoing[name] = link
        link.send(wire.encode_frame(self.hello))
