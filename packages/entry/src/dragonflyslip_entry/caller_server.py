"""The HTTP server that accepts calls."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math
import typing

from aiohttp import http
from aiohttp import web
import yarl

from dragonflyslip_entry import caller_protocol
from dragonflyslip_entry import lingering_close
from dragonflyslip_entry import logs

# A longer request line or header gets 400 and the connection is closed.
_MAX_LINE_BYTES = 16_384
_KEEPALIVE_S = 75.0
_CLOSE_PERIOD_S = 0.02
# The event loop may accept a single connection in a turn. It adds the
# connection in a later one, and reads from it in another.
_ARRIVAL_TURNS = 4
# Connections that are opened after this time do not prolong the wait.
_ARRIVAL_TIMEOUT_S = 0.5
# A shutdown without a timeout would wait for all requests in flight.
CANCEL_TIMEOUT_S = 0.03
FLUSH_TIMEOUT_S = 0.05
_NO_HOST_URL = yarl.URL('/')


@dataclasses.dataclass(frozen=True)
class UnsentData:
    """Response bytes that the process still buffers.

    :param connections: number of connections with such bytes.
    """

    connections: int
    size_bytes: int


class CallerServer(web.Server):
    """HTTP server that can close its idle connections only.

    :param handler: coroutine function that answers a request.
    :param make_protocol: makes the protocol of a new connection from the
        server and the options of the base class.
    :ivar busy: protocols of the connections that carry a request now.
    :ivar closing: whether each connection closes after the response to the
        last request that has arrived on it.
    :ivar opened: number of connections that have been opened.
    :ivar transports: transports of the open connections, including those that
        close as soon as their buffer is sent.
    :ivar all_closed: set while no connection is open: all responses have been
        handed to the operating system.
    """

    def __init__(
        self,
        handler: typing.Any,
        make_protocol: collections.abc.Callable[
            ..., caller_protocol.CallerProtocol
        ] = caller_protocol.CallerProtocol,
    ):
        super().__init__(self._handle, handler_cancellation=True)
        self.make_protocol = make_protocol
        self.handler = handler
        self.busy: set[typing.Any] = set()
        self.closing = False
        self.opened = 0
        self.transports: dict[
            web.RequestHandler, lingering_close.LingeringTransport
        ] = {}
        self.all_closed = asyncio.Event()
        self.all_closed.set()
        self.options = {
            'keepalive_timeout': _KEEPALIVE_S,
            'access_log': None,
            'max_line_size': _MAX_LINE_BYTES,
            'max_field_size': _MAX_LINE_BYTES,
        }

    def __call__(self) -> web.RequestHandler:
        return self.make_protocol(self, loop=self._loop, **self.options)

    def connection_made(
        self,
        handler: web.RequestHandler,
        transport: lingering_close.LingeringTransport,
    ) -> None:
        """Add a connection."""
        super().connection_made(handler, transport)
        self.opened += 1
        self.transports[handler] = transport
        self.all_closed.clear()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a connection."""
        super().connection_lost(handler, exc)
        self.transports.pop(handler, None)
        if not self.transports:
            self.all_closed.set()

    def log_unsent_data(self) -> None:
        """Log what is lost if the process ends now.

        The kernel goes on to send what it has, but resets a connection on
        which further bytes arrive.
        """
        left = [
            transport.unacknowledged_bytes()
            for transport in self.transports.values()
            if transport.linger is not None
        ]
        if left:
            logs.info(
                'closing connections cut',
                connections=len(left),
                unacknowledged_bytes=sum(left),
            )
        unsent = self.unsent_data()
        if unsent.connections:
            logs.info(
                'responses cut',
                connections=unsent.connections,
                unsent_bytes=unsent.size_bytes,
            )

    def unsent_data(self) -> UnsentData:
        """Return what the open connections still have to send."""
        sizes = [
            transport.get_write_buffer_size()
            for transport in self.transports.values()
        ]
        return UnsentData(sum(size > 0 for size in sizes), sum(sizes))

    async def receive_arrived(self) -> None:
        """Accept the connections and read the requests that have arrived.

        A busy event loop runs its timers before it looks for these.
        """
        end_at = self._loop.time() + _ARRIVAL_TIMEOUT_S
        opened = self.opened
        turns = 0
        while turns < _ARRIVAL_TURNS:
            await asyncio.sleep(0)
            turns += 1
            if self.opened != opened and self._loop.time() < end_at:
                turns = 0
            opened = self.opened

    async def finish_requests(self, send_timeout_s: float = math.inf) -> None:
        """Wait until each connection has closed after its last response.

        :param send_timeout_s: time for sending the last responses, and for
            the arrival of further parts of requests, from the moment on at
            which no request is handled.
        """
        handled_at = self._loop.time()
        while True:
            await self.receive_arrived()
            if self.all_closed.is_set():
                return
            now = self._loop.time()
            self.close_idle(now)
            if self.busy:
                handled_at = now
            elif now - handled_at >= send_timeout_s:
                return
            await asyncio.sleep(_CLOSE_PERIOD_S)

    def close_idle(self, now: float) -> None:
        """Close the connections that carry no request.

        The others close after their last response: closing them now would
        discard the rest of an upload. A connection on which a request is
        arriving stays open until that has been handled.

        :param now: seconds of the event loop's clock.
        """
        self.closing = True
        closed = dropped = 0
        for protocol in self.connections:
            if protocol in self.busy or protocol.answering:
                continue
            if not protocol.is_receiving(now):
                dropped += protocol.received_at is not None
                protocol.received_at = None
                closed += self._is_open(protocol)
                # close() only ends the task that reads requests. It leaves
                # the connection open, and a request sent on it unanswered.
                protocol.force_close()
        if closed:
            logs.info('unused connections closed', connections=closed)
        _log_cut_connections(dropped)

    def log_unhandled_connections(self) -> None:
        """Log how many connections hold a request that has no handler.

        The request may have been received in part only.
        """
        _log_cut_connections(self._unhandled_connections())

    async def cut_requests(self) -> None:
        """Cancel the requests in flight that do not end within a short time.

        Returns when they have ended, so the calling code bounds the time.
        """
        tasks = set()
        for protocol in self.busy:
            protocol.close()
            if protocol.task is not None:
                tasks.add(protocol.task)
        if not tasks:
            return
        _, late = await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S)
        for task in late:
            task.cancel()
        if late:
            await asyncio.wait(late)

    async def send_written(self) -> None:
        """Wait until all that was written has been handed to the kernel."""
        while self._is_sending():
            await asyncio.sleep(_CLOSE_PERIOD_S)

    async def close(self) -> None:
        """Cancel the requests in flight, and close all connections.

        Responses that were written get a short time to be sent.
        """
        await self.shutdown(CANCEL_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self.all_closed.wait()
        for transport in list(self.transports.values()):
            transport.abort()

    def _make_request(
        self, message: http.RawRequestMessage, *options: typing.Any
    ) -> web.BaseRequest:
        if message.url is None:
            # CONNECT without a target.
            message = message._replace(path='', url=_NO_HOST_URL)
        try:
            return super()._make_request(message, *options)
        except ValueError:
            # The host in the request target is no domain name. The base class
            # would leave the connection open without an answer.
            return super()._make_request(
                message._replace(url=_NO_HOST_URL), *options
            )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request.protocol.received_at = None
        request.protocol.opened_at = None
        request.protocol.body = request.content
        return await self.handler(request)

    def _is_open(self, protocol: web.RequestHandler) -> bool:
        transport = self.transports.get(protocol)
        return transport is not None and not transport.is_closing()

    def _is_sending(self) -> bool:
        return self.unsent_data().connections > 0 or any(
            protocol.response is not None for protocol in self.connections
        )

    def _unhandled_connections(self) -> int:
        return sum(
            protocol.has_unhandled_request for protocol in self.connections
        )


def _log_cut_connections(count: int) -> None:
    if count:
        logs.info('connections cut', connections=count)
