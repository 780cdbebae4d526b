"""Parses the responses on one connection and enforces their bounds."""

import asyncio
import collections.abc
import typing

from aiohttp import client_proto
from aiohttp import http_parser

from dragonflyslip_core import errors
from dragonflyslip_entry import response_bounds

# Called with the error when a connection is closed because of it.
OnOverlong = collections.abc.Callable[[errors.OverlongResponseError], None]

_HEAD_END = b'\r\n\r\n'


class ResponseProtocol(client_proto.ResponseHandler):
    """Closes the connection if the target exceeds the response bounds.

    It also records whether the connection ended with an error.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.was_reset = False
        # Whether no request is waiting for a response.
        self.idle = False
        self.bounds = response_bounds.ResponseBounds()
        self.overlong: errors.OverlongResponseError | None = None
        self._content: typing.Any = None
        self._body_bytes = 0
        self.on_overlong: OnOverlong | None = None

    def data_received(self, data: bytes) -> None:
        # After a pause the base class calls this with no bytes to parse what
        # it has kept, and with bytes only once it has parsed all of it.
        if self.overlong is not None:
            return
        if self.idle and data:
            self.fail(errors.OverlongResponseError('bytes for no request'))
            return
        try:
            if data:
                self.bounds.add_bytes(len(data))
        except errors.OverlongResponseError as error:
            self.fail(error)
            return
        for part in self._split(data):
            earlier = self.exception()
            super().data_received(part)
            error = self.exception()
            if error is not None and error is not earlier:
                self._fail_body(error)

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        # Called with each parsed head and its body.
        message, content = data
        if self.overlong is not None:
            return
        try:
            if message.code >= 200:
                self.bounds.add_response(content)
            else:
                self.bounds.add_interim_response()
        except errors.OverlongResponseError as error:
            self.fail(error)
            return
        if message.code >= 200:
            self._content = content
            self._body_bytes = _content_length(message)
        super().feed_data(data, size)

    def _split(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Yield each head, each body of stated length and the rest.

        If bytes after a response do not parse, the parser drops the responses
        that it has found in the same call. It also parses all heads of a call
        before any of them is counted.
        """
        while True:
            end = self._part_end(data)
            if not 0 < end < len(data):
                yield data
                return
            yield data[:end]
            data = data[end:]
            if not self.is_connected():
                # The part did not parse, or it exceeds the bounds.
                return

    def _part_end(self, data: bytes) -> int:
        """Return the length of the next part, 0 if it is not known."""
        if self._content is None or self._content.is_eof():
            found = data.find(_HEAD_END)
            return 0 if found < 0 else found + len(_HEAD_END)
        return max(0, self._body_bytes - self._content.total_bytes)

    def _fail_body(self, error: BaseException) -> None:
        # The base class fails only the reader of the next head. The reader of
        # a body that does not parse would wait until its timeout.
        if self._content is not None and not self._content.is_eof():
            self._content.set_exception(error)

    def fail(self, error: errors.OverlongResponseError) -> None:
        """Close the connection; its reader gets the error."""
        self.overlong = error
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        if self.on_overlong is not None:
            self.on_overlong(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        # The parser treats a reset as the end of a body of unknown length.
        # Response.complete uses this to detect that the body was truncated.
        self.was_reset = exc is not None or self.overlong is not None
        super().connection_lost(exc)


def _content_length(message: http_parser.RawResponseMessage) -> int:
    """Return the stated length of a body, 0 if its end is marked."""
    text = message.headers.get('Content-Length', '')
    if 'Transfer-Encoding' in message.headers or not text.isdecimal():
        return 0
    return int(text)
