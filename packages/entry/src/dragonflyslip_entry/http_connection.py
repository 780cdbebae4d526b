"""One HTTP/1.1 connection to a target or to a store.

It uses the protocol, parser and writer of aiohttp's client, but not its
session. A session repeats idempotent requests by itself, does not tell which
connection a request uses, and awaits between a check and the write.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import re
import typing

from aiohttp import client_exceptions
from aiohttp import client_proto
from aiohttp import http
from aiohttp import http_writer
import multidict

from dragonflyslip_core import bounded_read
from dragonflyslip_core import errors as core_errors
from dragonflyslip_entry import errors
from dragonflyslip_entry import response_protocol


# Called with the loop's time; raises SendRefusedError to stop the send.
SendCheck = collections.abc.Callable[[float], None]

Body = collections.abc.AsyncIterable[bytes]

_MAX_LINE_BYTES = 16_384
_READ_BUFFER_BYTES = 65_536
# Requests of callers on one connection, so that their ids can be kept.
MAX_ANSWERED_IDS = 256
# Characters of an error in the reason of a failure.
MAX_ERROR_TEXT_LENGTH = 200
_QUOTING_ERRORS = (
    client_exceptions.ClientPayloadError,
    http.HttpProcessingError,
)
_MIN_STATUS = 100
_MAX_STATUS = 599
_CONTINUE = 100
_SWITCHING_PROTOCOLS = 101
_CONTROL_CHARACTERS = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


@dataclasses.dataclass
class Attempt:
    """One attempt to send a request to one target.

    :param check: called right before the write, with no await in between.
    :param written: whether any byte may have been written.
    :param written_at: loop time of the write.
    """

    check: SendCheck
    written: bool = False
    written_at: float = 0.0

    def begin_write(self, now: float) -> None:
        """Run the check and mark the attempt as written.

        :raises SendRefusedError: if the check fails.
        """
        self.check(now)
        self.written = True
        self.written_at = now


@dataclasses.dataclass
class Response:
    """A response whose status line and headers have arrived.

    :param content: the body as it arrives.
    :param has_known_end: whether the headers tell where the body ends; if
        not, it ends with the connection.
    :param protocol: protocol of the connection that it arrived on.
    """

    method: str
    status: int
    reason: str
    headers: multidict.CIMultiDictProxy[str]
    content: typing.Any
    has_known_end: bool
    protocol: response_protocol.ResponseProtocol

    @property
    def complete(self) -> bool:
        """Whether the body was read to its end and was not truncated."""
        if not self.has_known_end and self.protocol.was_reset:
            return False
        return self.content.is_eof() and self.content.exception() is None


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to a target.

    :param path: path and query, as received.
    :param body: the body, None if there is none.
    :param expect_continue: whether the body waits for ``100 Continue``.
    """

    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    body: Body | None = None
    expect_continue: bool = False


class HttpConnection:
    """An open connection that carries one request at a time.

    :ivar answered_ids: ids of the requests that were answered or refused on
        it. A target that writes such a response once more would seem to
        respond to a request that has the same id.
    """

    def __init__(
        self,
        protocol: response_protocol.ResponseProtocol,
        loop: asyncio.AbstractEventLoop,
        opened_at: float,
    ):
        self.protocol = protocol
        self.loop = loop
        self.opened_at = opened_at
        self.upload: asyncio.Task[None] | None = None
        self.answered_ids: set[str] = set()
        self._continue_received: asyncio.Future[None] | None = None

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        timeout_s: float,
        on_overlong: response_protocol.OnOverlong | None = None,
        uses_tls: bool = False,
    ) -> 'HttpConnection':
        """Open a connection.

        :param host: IP address or name.
        :param on_overlong: called when the connection is closed because the
            target exceeds the response bounds.
        :raises OSError: if it is refused.
        :raises TimeoutError: if it takes longer than ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        opened_at = loop.time()
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: response_protocol.ResponseProtocol(loop),
                host,
                port,
                ssl=uses_tls or None,
            )
        protocol.on_overlong = on_overlong
        return cls(protocol, loop, opened_at)

    @property
    def alive(self) -> bool:
        """Whether the connection is open as far as this process knows."""
        return self.protocol.is_connected()

    @property
    def reusable(self) -> bool:
        """Whether the last exchange is complete and left nothing unread."""
        if self.upload is not None and not self.upload.done():
            return False
        return (
            self.alive
            and not self.protocol.should_close
            and len(self.answered_ids) < MAX_ANSWERED_IDS
        )

    async def send(
        self,
        request: Request,
        attempt: Attempt,
        read_timeout_s: float | None,
    ) -> Response:
        """Send a request and return once the response headers have arrived.

        :param read_timeout_s: seconds without a byte of the response after
            which it fails. None if the caller bounds the time.
        :raises SendRefusedError: if the check of the attempt failed.
        :raises CallerBodyError: if the request body ended early.
        :raises ClientError: if the connection broke or the response is
            malformed.
        :raises OverlongResponseError: if the response exceeds the bounds.
        """
        self.protocol.idle = False
        self.protocol.bounds.begin()
        self.protocol.set_response_params(
            skip_payload=request.method == 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
            read_timeout=read_timeout_s,
            read_bufsize=_READ_BUFFER_BYTES,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        writer = http_writer.StreamWriter(self.protocol, self.loop)
        headers = request.headers
        if request.body is not None and 'Content-Length' not in headers:
            headers = headers.copy()
            headers['Transfer-Encoding'] = 'chunked'
            writer.enable_chunking()
        if request.expect_continue:
            headers = headers.copy()
            headers['Expect'] = '100-continue'
        # This only buffers the headers. They are written after the check,
        # with no await in between.
        await writer.write_headers(
            f'{request.method} {request.path} HTTP/1.1', headers
        )
        if request.body is None:
            self._begin_write(attempt)
            writer.set_eof()
            self.protocol.start_timeout()
        else:
            self.upload = self.loop.create_task(
                self._upload(writer, request, attempt)
            )
        return await self.read_head(request.method)

    def set_idle(self) -> None:
        """End the use of the connection for a request and its response.

        Bytes that arrive before the next request close the connection.
        """
        self.protocol.idle = True

    def close(self) -> None:
        """Close the connection and cancel an incomplete upload."""
        if self.upload is not None:
            self.upload.cancel()
        self.protocol.close()

    async def read_head(self, method: str) -> Response:
        """Return the next final response once its headers have arrived.

        :param method: method of the request that it answers.
        :raises ClientError: as :meth:`send`.
        :raises MalformedHeadError: if the head cannot be relayed, or switches
            to another protocol.
        """
        while True:
            message, content = await self.protocol.read()
            if not _MIN_STATUS <= message.code <= _MAX_STATUS:
                # A caller might take it for a success.
                raise errors.MalformedHeadError(
                    f'status {message.code} is none of HTTP'
                )
            if (
                message.code == _CONTINUE
                and self._continue_received is not None
            ):
                if not self._continue_received.done():
                    self._continue_received.set_result(None)
            if message.code == _SWITCHING_PROTOCOLS:
                # No request asks for it, and a caller would wait on for the
                # final response.
                raise errors.MalformedHeadError('status 101 without a request')
            if message.code >= 200:
                break
        _check_head(message)
        coding = message.headers.get('Transfer-Encoding', '').lower()
        return Response(
            method,
            message.code,
            message.reason,
            message.headers,
            content,
            has_known_end=(
                'Content-Length' in message.headers
                or 'chunked' in coding
                or method == 'HEAD'
                or message.code in (204, 304)
            ),
            protocol=self.protocol,
        )

    async def read_body(
        self,
        response: Response,
        max_bytes: int,
        timeout_s: float | None = None,
    ) -> bytes:
        """Return the whole body of a response.

        :raises OverlongResponseError: if it has more than ``max_bytes`` or
            takes longer than ``timeout_s``; the connection is closed then.
        :raises ClientError: as :meth:`send`.
        """
        try:
            async with asyncio.timeout(timeout_s) as timer:
                return await bounded_read.read_at_most(
                    response.content, max_bytes
                )
        except TimeoutError as error:
            if not timer.expired():
                raise
            overlong = core_errors.OverlongResponseError(
                f'body that takes longer than {timeout_s} s'
            )
            self.protocol.fail(overlong)
            raise overlong from error
        except core_errors.OverlongResponseError as error:
            if self.protocol.overlong is None:
                self.protocol.fail(error)
            raise

    def _begin_write(self, attempt: Attempt) -> None:
        if not self.alive:
            raise client_exceptions.ClientConnectionResetError(
                'the connection closed before the request was written'
            )
        attempt.begin_write(self.loop.time())

    async def _upload(
        self,
        writer: http_writer.StreamWriter,
        request: Request,
        attempt: Attempt,
    ) -> None:
        try:
            if request.expect_continue:
                self._continue_received = self.loop.create_future()
                self._begin_write(attempt)
                writer.send_headers()
                await self._continue_received
            async with contextlib.aclosing(request.body) as chunks:
                async for chunk in chunks:
                    if not attempt.written:
                        self._begin_write(attempt)
                    await writer.write(chunk)
            if not attempt.written:
                self._begin_write(attempt)
            await writer.write_eof()
            self.protocol.start_timeout()
        except Exception as error:
            # Wakes the reader of the response. The connection is closed, not
            # reused, so the target sees a truncated body and cannot take it
            # for a complete, shorter one.
            self.protocol.set_exception(error)


def _check_head(message: http.RawResponseMessage) -> None:
    """Check that the status line and the headers can be relayed.

    The parser accepts some control characters that the server refuses to
    write to a caller.

    :raises MalformedHeadError: if they cannot.
    """
    texts = itertools.chain([message.reason or ''], message.headers.values())
    if any(map(_CONTROL_CHARACTERS.search, texts)):
        raise errors.MalformedHeadError('control character in the head')


def describe_error(error: Exception) -> str:
    """Return the text of an error for the log.

    A parser's error quotes the bytes that it read, which may hold a key: a
    target may repeat a header of the request, and a store sends the keys of
    all accounts. So only its type is named.
    """
    if isinstance(error, _QUOTING_ERRORS):
        return type(error).__name__
    return repr(error)[:MAX_ERROR_TEXT_LENGTH]


# Raised for a broken connection, or a malformed or overlong response.
CONNECTION_ERRORS = (
    client_exceptions.ClientError,
    client_proto.HttpProcessingError,
    core_errors.OverlongResponseError,
    errors.MalformedHeadError,
    OSError,
)
