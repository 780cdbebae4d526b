"""One connection of a caller."""

import asyncio
import typing

from aiohttp import http
from aiohttp import streams
from aiohttp import web

from dragonflyslip_core import caller_limits
from dragonflyslip_core import outcomes
from dragonflyslip_entry import errors
from dragonflyslip_entry import lingering_close
from dragonflyslip_entry import logs
from dragonflyslip_entry import problems

# A drain waits no longer than this for the next part of a request.
PART_TIMEOUT_S = 1.0
# Nor does it wait longer for the first request of a new connection.
FIRST_REQUEST_TIMEOUT_S = 0.5


class CallerProtocol(web.RequestHandler):
    """Answers malformed requests in the same format as other refusals.

    It tells what a connection is used for, so that a stopping process closes
    only unused ones. A connection is, in this order:

    - receiving: parts of a request have arrived and it has no handler yet, or
      the connection is new and its first request may be on its way;
    - busy: a handler is answering the request, see
      :attr:`.CallerServer.busy`;
    - answering: the response is being written, or the rest of an upload that
      was answered early is read and discarded;
    - unused.

    Further requests may arrive while the first is handled (RFC 9112, section
    9.3.2). A response that announces the close of the connection tells its
    caller that none of them will be processed (section 9.6). So during a stop
    only a response behind which no request has arrived does.

    :ivar connection: the transport, also after :meth:`force_close`.
    :ivar received_at: when the last part was received of a request that has
        no handler yet, on the event loop's clock; None if there is none.
    :ivar opened_at: when the connection was opened; None from its first
        request on.
    :ivar body: body of the last request that got a handler.
    :ivar response: the response that is being written.
    :ivar begun_count: number of requests whose handling has begun. The base
        class counts those whose head was parsed.
    :ivar parsed_body: body of the last request whose head was parsed.
    :ivar malformed: whether bytes arrived that do not parse. All that follow
        them are discarded.
    :ivar malformed_body: the body that does not parse, if the malformed bytes
        belong to one.
    """

    def __init__(self, server: web.Server, **options: typing.Any):
        super().__init__(server, **options)
        self.server = server
        # An error discards the requests that the parser has not returned yet.
        # So it pauses behind each of them. It leaves bodies encoded, as they
        # are passed on the way they were sent.
        self._parser = http.HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_headers=self.max_headers,
            max_field_size=self.max_field_size,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self.connection: lingering_close.LingeringTransport | None = None
        self.received_at: float | None = None
        self.opened_at: float | None = asyncio.get_running_loop().time()
        self.body: streams.StreamReader | None = None
        self.response: web.StreamResponse | None = None
        self.begun_count = 0
        self.parsed_body: streams.StreamReader | None = None
        self.malformed = False
        self.malformed_body: streams.StreamReader | None = None

    @property
    def task(self) -> asyncio.Task[None] | None:
        """The task that handles the requests, None if it has ended."""
        return self._task_handler

    @property
    def answering(self) -> bool:
        """Whether a response is being written, or its caller still uploads.

        The rest of an upload may be longer than what is discarded once the
        end of the stream has been sent, so it is read before.
        """
        return self.response is not None or (
            self.body is not None and not self.body.is_eof()
        )

    def is_receiving(self, now: float) -> bool:
        """Whether a request without a handler is arriving, or expected."""
        # Bytes behind a request to switch protocols are parsed later.
        if self._request_count > self.begun_count or self._message_tail:
            return True
        since, timeout_s = self.received_at, PART_TIMEOUT_S
        if since is None:
            since = self.opened_at
            timeout_s = FIRST_REQUEST_TIMEOUT_S
        return since is not None and now - since < timeout_s

    @property
    def has_unhandled_request(self) -> bool:
        """Whether a request has arrived, at least in part, and not begun.

        One that arrived behind an announced close does not count.
        """
        return self._task_handler is not None and (
            self.received_at is not None
            or self._request_count > self.begun_count
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; whatever closes the connection closes it in two steps."""
        self.connection = lingering_close.LingeringTransport(
            typing.cast(asyncio.Transport, transport), self
        )
        super().connection_made(self.connection)

    @property
    def stopping(self) -> bool:
        """Whether the server closes all its connections."""
        return self.server.closing

    def linger_began(self, now: float) -> None:
        """Drop the request that was arriving; its caller gets no answer."""
        self.received_at = None

    def linger_ended(self, reason: caller_limits.LingerEnd) -> None:
        """Record that the caller did not close the connection in time."""

    def data_received(self, data: bytes) -> None:
        """Receive a part of a request."""
        if self.connection.is_closing():
            self.connection.discard(len(data))
            return
        if self.malformed:
            return
        in_body = self.body is not None and not self.body.is_eof()
        self._parse(data)
        parsed_count = -1
        while self._may_parse_on() and parsed_count != self._request_count:
            parsed_count = self._request_count
            self._parse(b'')
        if self.malformed:
            self._end_malformed_body()
        # The base class calls this with no bytes to go on with its parsing.
        if not data:
            return
        # The next request may arrive together with the rest of an upload.
        if self._messages or not (in_body or self._is_between_requests(data)):
            self.received_at = asyncio.get_running_loop().time()

    def _parse(self, data: bytes) -> None:
        """Parse bytes until a request ends, and queue a request that begins.

        :param data: no bytes to go on behind a request that has ended.
        """
        super().data_received(data)
        if not self._messages:
            return
        message, body = self._messages[-1]
        if isinstance(message, http.RawRequestMessage):
            self.parsed_body = body
            if message.upgrade and body.is_eof() and not self._reading_paused:
                # It would discard what arrived behind an unknown upgrade.
                self._parser.set_upgraded(True)
        else:
            self.malformed = True

    def _may_parse_on(self) -> bool:
        return not (
            self.malformed
            or self._reading_paused
            or len(self._messages) >= self._max_msg_queue_size
        )

    def _is_between_requests(self, data: bytes) -> bool:
        """Whether bytes that belong to no body belong to no request either.

        Empty lines before a request line are ignored (RFC 9112, section 2.2).
        """
        return self.received_at is None and not data.strip(b'\r\n')

    def _end_malformed_body(self) -> None:
        """End the body that was arriving, if there is one.

        The base class answers malformed bytes as if they were a request of
        their own, and leaves the reader of the body waiting.
        """
        body = self.parsed_body
        if body is None or body.is_eof():
            return
        self._messages.pop()
        self._request_count -= 1
        answered = body is self.body and (
            self.response is not None or not self._request_in_progress
        )
        if answered:
            self.close()
        else:
            self.malformed_body = body
            body.set_exception(
                errors.CallerBodyError('the request body is malformed')
            )
        # The base class discards the rest of a body until its end.
        body.feed_eof()

    def close_if_last(self, response: web.StreamResponse) -> None:
        """Announce the close of the connection unless a request follows.

        :param response: a response whose head has not been sent.
        """
        if not self.is_receiving(asyncio.get_running_loop().time()):
            response.force_close()

    async def _handle_request(
        self, request: web.BaseRequest, *options: typing.Any
    ) -> tuple[web.StreamResponse, bool]:
        # Runs in a task of its own, which starts after the request has left
        # the queue.
        self.begun_count += 1
        return await super()._handle_request(request, *options)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response."""
        if self.server.closing and not resp.prepared:
            self.close_if_last(resp)
        malformed = (
            self.malformed_body is not None
            and request.content is self.malformed_body
        )
        if malformed:
            resp.force_close()
        self.body, self.response = request.content, resp
        declined_upgrade = self._upgraded
        try:
            finished = await super().finish_response(request, resp, start_time)
            if declined_upgrade:
                # The base class has parsed one request of those behind it.
                self.data_received(b'')
            return finished
        finally:
            self.response = None

    def log_exception(self, *args: typing.Any, **kw: typing.Any) -> None:
        """Log an unexpected exception, of which the text is left out."""
        error = kw.get('exc_info')
        trace = ''
        if isinstance(error, BaseException):
            trace = logs.trace_without_texts(error)
        logs.LOGGER.error(*args, extra={'trace': trace})

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError('part of the response has already been sent')
        # The parser reports HTTP/1.0 for every malformed request, whatever
        # version the caller uses.
        request._version = http.HttpVersion11
        # 5xx means that the handler failed, possibly after sending the call.
        outcome = outcomes.Outcome.UNKNOWN
        kind = 'internal-error'
        if status < 500:
            outcome = outcomes.Outcome.NOT_RUN
            kind = 'bad-request'
        elif exc is not None:
            self.log_exception('call failed', exc_info=exc)
        return problems.refusal_response(
            outcomes.Refusal(
                status,
                outcome,
                kind,
                'the request is malformed'
                if status < 500
                else 'the entry failed to handle the call',
            ),
            close=True,
        )
