"""A connection of a caller that is held to limits."""

import http
import math
import typing

from dragonflyslip_core import caller_limits
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_entry import caller_protocol


class Limiter(typing.Protocol):
    """What a connection needs of the limiter of its gateway."""

    heads: caller_limits.MemoryBudget

    @property
    def limits(self) -> manifest_types.CallerLimits:
        """The limits in force."""

    def clock(self) -> float:
        """Return seconds of the event loop's clock."""

    def add(self, opened: 'LimitedProtocol') -> None:
        """Add a connection."""

    def remove(self, closed: 'LimitedProtocol') -> None:
        """Remove a connection."""

    def count(self, reason: str) -> None:
        """Count a refusal or closing."""

    def count_linger_end(self, reason: caller_limits.LingerEnd) -> None:
        """Count a connection that its caller did not close in time."""


class LimitedProtocol(caller_protocol.CallerProtocol):
    """Counts what arrives, and refuses what exceeds the limits.

    :ivar use: what the connection is used for.
    :ivar head_bytes: bytes of the head that is arriving, with the empty lines
        before it.
    :ivar refused: whether it was refused; what arrives is discarded.
    """

    def __init__(
        self, server: typing.Any, limiter: Limiter, **options: typing.Any
    ):
        super().__init__(server, **options)
        self.limiter = limiter
        self.use = caller_limits.ConnectionUse(idle_since=limiter.clock())
        self.head_bytes = 0
        self.refused = False
        # Of the last response, when the idle time was last exceeded.
        self._unacknowledged_bytes = math.inf

    def connection_made(self, transport: typing.Any) -> None:
        """Begin."""
        super().connection_made(transport)
        self.limiter.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End."""
        self.limiter.remove(self)
        self._end_head()
        super().connection_lost(exc)

    def linger_began(self, now: float) -> None:
        """Give back what an incomplete head holds."""
        super().linger_began(now)
        self._end_head()
        self.use.closing_since = now

    def linger_ended(self, reason: caller_limits.LingerEnd) -> None:
        """Count the connection."""
        self.limiter.count_linger_end(reason)

    def data_received(self, data: bytes) -> None:
        """Receive a part of a request."""
        if self.connection.is_closing():
            super().data_received(data)
            return
        if self.refused:
            return
        parsed_count = self._request_count
        in_body = self._is_in_body()
        super().data_received(data)
        now = self.limiter.clock()
        if in_body:
            self.use.receive_body(len(data), now)
        if self._request_count > parsed_count:
            self._end_head()
            self.use.idle_since = None
            if self._is_in_body():
                self.use.begin_body(now)
        elif not (in_body or self._is_held() or self.malformed):
            self._receive_head(data, now)
        if not self._is_in_body():
            self.use.body_since = None

    def update_body(self, now: float) -> None:
        """Begin a new window if the gateway itself does not read the body."""
        if self._reading_paused and self.use.body_since is not None:
            self.use.begin_body(now)

    def refuse(self, status: int, reason: str) -> None:
        """Refuse a request whose head has not arrived completely.

        No response is sent while earlier requests have none; the connection
        closes behind them.
        """
        self.limiter.count(reason)
        self.refused = True
        self.received_at = None
        self._end_head()
        # A request that has left the queue may not have begun.
        if self._request_in_progress or self._request_count > self.begun_count:
            self.close()
        elif self.transport is not None:
            phrase = http.HTTPStatus(status).phrase
            self.transport.write(
                f'HTTP/1.1 {status} {phrase}\r\nConnection: close\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            self.force_close()

    def close_idle(self, now: float) -> bool:
        """Close the connection unless its caller takes its last response.

        :return: whether the connection closes.
        """
        left_bytes = self.connection.unacknowledged_bytes()
        if 0 < left_bytes < self._unacknowledged_bytes:
            self._unacknowledged_bytes = left_bytes
            self.use.idle_since = now
            return False
        self.force_close()
        return True

    def end(self) -> None:
        """Break the connection off; a request on it is cancelled."""
        self.refused = True
        self.received_at = None
        self._end_head()
        self.connection.abort()

    async def _handle_request(
        self, request: typing.Any, *options: typing.Any
    ) -> typing.Any:
        try:
            return await super()._handle_request(request, *options)
        finally:
            if not self._messages:
                self.use.idle_since = self.limiter.clock()
                self._unacknowledged_bytes = math.inf

    def _receive_head(self, data: bytes, now: float) -> None:
        self.head_bytes += len(data)
        fits = self.limiter.heads.take(len(data))
        if not fits:
            self.head_bytes -= len(data)
        # Empty lines before a request are no part of it.
        if self.use.head_since is None and data.strip(b'\r\n'):
            self.use.head_since = now
        if self.head_bytes > self.limiter.limits.max_header_bytes:
            self.refuse(431, 'head_size')
        elif not fits:
            self.refuse(503, 'head_memory')

    def _end_head(self) -> None:
        self.limiter.heads.give_back(self.head_bytes)
        self.head_bytes = 0
        self.use.head_since = None

    def _is_held(self) -> bool:
        """Whether bytes wait to be parsed behind earlier requests."""
        return self._buffer_paused or self._reading_paused or self._upgraded

    def _is_in_body(self) -> bool:
        return self.parsed_body is not None and not self.parsed_body.is_eof()
