"""HTTP/1.1 connections of callers.

Unlike the clients of common libraries, a connection never repeats a request
by itself, so that each request which ends without an answer is seen.
"""

import asyncio
import contextlib
import dataclasses

from dragonflyslip_testing import relay
from tests.soak import history as history_types

_SEND_CHUNK_BYTES = 16_384
_READ_CHUNK_BYTES = 8_192
# Added to the stated deadline, before which a gateway should respond.
_TIMEOUT_MARGIN_S = 0.5
_FAILURES = (OSError, EOFError, ValueError, asyncio.LimitOverrunError)


@dataclasses.dataclass(frozen=True)
class Pace:
    """How fast a caller sends a request and reads its response.

    :param send_pause_s: pause after each chunk of the request body.
    :param read_pause_s: pause after each chunk of the response body.
    """

    send_pause_s: float = 0.0
    read_pause_s: float = 0.0


class CallerConnection:
    """A connection to a gateway that is kept for several requests.

    Several may be on their way; responses arrive in the order of requests.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer
        self.reusable = True
        # A response that is late would be taken for that of the next request.
        self._response_is_late = False
        self._receiving = asyncio.Lock()

    @classmethod
    async def open(cls, port: int) -> 'CallerConnection':
        """Connect to a port of the loopback address.

        :raises OSError: if that fails.
        """
        return cls(*await relay.open_slow_connection(port))

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.reusable
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def exchange(
        self, attempt: history_types.CallerAttempt, host: str, pace: Pace
    ) -> None:
        """Send a request and store its outcome in ``attempt``."""
        loop = asyncio.get_running_loop()
        limit_s = attempt.caller_timeout_s + _TIMEOUT_MARGIN_S
        sending = asyncio.create_task(self._send(attempt, host, pace))
        attempt.sent_behind = self._receiving.locked()
        try:
            async with (
                asyncio.timeout_at(attempt.sent_at + limit_s),
                self._receiving,
            ):
                attempt.given_up = self._response_is_late
                if not attempt.given_up:
                    await self._receive(attempt, pace)
        except _FAILURES as error:
            self.reusable = False
            if isinstance(error, TimeoutError):
                self._response_is_late = True
                self.close()
        attempt.finished_at = loop.time()
        if not sending.done():
            # The response came before the request was sent completely.
            self.reusable = False
            sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await sending

    async def _send(
        self, attempt: history_types.CallerAttempt, host: str, pace: Pace
    ) -> None:
        self.writer.write(_format_head(attempt, host))
        for start in range(0, len(attempt.body), _SEND_CHUNK_BYTES):
            if start > 0 and pace.send_pause_s > 0.0:
                await asyncio.sleep(pace.send_pause_s)
            self.writer.write(attempt.body[start : start + _SEND_CHUNK_BYTES])
            await self.writer.drain()
        await self.writer.drain()
        if not self.reader.at_eof():
            attempt.written_at = asyncio.get_running_loop().time()

    async def _receive(
        self, attempt: history_types.CallerAttempt, pace: Pace
    ) -> None:
        status, headers = _parse_head(await self.reader.readuntil(b'\r\n\r\n'))
        attempt.head_at = asyncio.get_running_loop().time()
        if 'content-length' in headers:
            length = int(headers['content-length'])
            body = await self._read(length, pace)
        elif headers.get('transfer-encoding') == 'chunked':
            body = await self._read_chunked(pace)
        else:
            self.reusable = False
            body = await self.reader.read(-1)
        if headers.get('connection', '').lower() == 'close':
            self.reusable = False
        attempt.response_body = body
        attempt.receipt = headers.get('x-server-stamp', '')
        attempt.response_request_id = headers.get('x-request-id')
        attempt.status = status

    async def _read(self, length: int, pace: Pace) -> bytes:
        body = bytearray()
        while len(body) < length:
            chunk = await self.reader.read(
                min(_READ_CHUNK_BYTES, length - len(body))
            )
            if not chunk:
                raise EOFError('the response is incomplete')
            body += chunk
            if pace.read_pause_s > 0.0:
                await asyncio.sleep(pace.read_pause_s)
        return bytes(body)

    async def _read_chunked(self, pace: Pace) -> bytes:
        body = bytearray()
        while size := int(await self.reader.readuntil(b'\r\n'), 16):
            body += await self._read(size, pace)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return bytes(body)


def _format_head(attempt: history_types.CallerAttempt, host: str) -> bytes:
    lines = [
        f'{attempt.method} {attempt.path} HTTP/1.1',
        f'Host: {host}',
        f'X-Request-Id: {attempt.request_id}',
        f'X-Deadline-Ms: {int(attempt.caller_timeout_s * 1000)}',
    ]
    if attempt.body:
        lines.append(f'Content-Length: {len(attempt.body)}')
    return '\r\n'.join([*lines, '', '']).encode()


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return int(first.split(' ')[1]), headers
