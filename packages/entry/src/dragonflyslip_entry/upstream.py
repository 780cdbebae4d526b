"""Connections to targets.

The HTTP client's own pool is used, one for each target, with two additions:
a check in the same step as the write, and a limit of one send per attempt,
because the client would repeat idempotent calls by itself.
"""

import asyncio
import collections.abc
import contextvars
import dataclasses
import typing

import aiohttp
import multidict
import yarl

from dragonflyslip_core import targets
from dragonflyslip_entry import errors

# Called with the loop's time; raises SendRefusedError to stop the send.
SendCheck = collections.abc.Callable[[float], None]

Body = collections.abc.AsyncIterable[bytes]

# Added by the client unless named here; a proxy forwards what it received.
_SKIPPED_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_MAX_LINE_BYTES = 16_384
_READ_BUFFER_BYTES = 65_536


@dataclasses.dataclass
class Attempt:
    """One send of a request to one target.

    :param check: called in the step of the write.
    :param written: whether any byte may have been written.
    """

    check: SendCheck
    written: bool = False

    def confirm(self, now: float) -> None:
        """Allow the write, once.

        :raises SendRefusedError: if the check fails or the HTTP client sends
            a second time.
        """
        if self.written:
            raise errors.SendRefusedError(
                'repeated-send', 'an attempt is sent only once'
            )
        self.check(now)
        self.written = True


_ATTEMPT: contextvars.ContextVar[Attempt] = contextvars.ContextVar('attempt')


@dataclasses.dataclass
class _Pool:
    """A session with the number of calls that use it.

    Closing a session ends its busy connections, so a retired pool closes
    when its last call ends.
    """

    session: aiohttp.ClientSession
    in_use: int = 0
    retired: bool = False

    async def release(self) -> None:
        self.in_use -= 1
        await self.close_if_unused()

    async def close_if_unused(self) -> None:
        if self.retired and self.in_use == 0:
            await self.session.close()


class _CheckedRequest(aiohttp.ClientRequest):
    """Confirms the attempt in the step in which bytes are written."""

    async def send(self, conn: typing.Any) -> aiohttp.ClientResponse:
        # A request without body is written in this step; one with a body
        # is written by write_bytes, in a later step of the loop.
        if not self._has_body():
            _ATTEMPT.get().confirm(self.loop.time())
        return await super().send(conn)

    async def write_bytes(
        self,
        writer: typing.Any,
        conn: typing.Any,
        content_length: int | None = None,
    ) -> None:
        if self._has_body():
            try:
                _ATTEMPT.get().confirm(self.loop.time())
            except errors.SendRefusedError as error:
                conn.protocol.set_exception(error)
                conn.close()
                return
        await super().write_bytes(writer, conn, content_length)

    def _has_body(self) -> bool:
        return bool(self.body) or self._continue is not None


@dataclasses.dataclass
class Exchange:
    """A response whose body is still to be read.

    :param response: status and headers have arrived.
    """

    response: aiohttp.ClientResponse
    _pool: _Pool
    closed: bool = False

    async def close(self) -> None:
        """Release the connection.

        It goes back to the pool only if the body was read to its end;
        otherwise it is closed, so that no later call gets the rest.
        """
        if not self.closed:
            self.closed = True
            self.response.close()
            await self._pool.release()


class TargetConnections:
    """The connections of this entry to one target.

    Pooled connections carry idempotent calls. Other calls get a new
    connection each, because a pooled one may have gone silent, and a call
    that is lost on it could not be repeated.

    :param target: the target.
    :param limit: connections that this entry may have to it.
    :param idle_s: seconds that an unused connection is kept.
    """

    def __init__(self, target: targets.Target, limit: int, idle_s: float):
        self.target = target
        self.limit = max(2, limit)
        self.idle_s = idle_s
        host = target.address
        self.authority = f'[{host}]' if ':' in host else host
        self._pooled = _Pool(self._open(reuse=True))
        self._fresh = _Pool(self._open(reuse=False))

    async def send(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        headers: multidict.CIMultiDict[str],
        body: Body | None,
        expect_continue: bool,
        new_connection: bool,
        connect_timeout_s: float,
        read_timeout_s: float,
    ) -> 'Exchange':
        """Send one request and return once response headers arrived.

        :raises SendRefusedError: if the check in the step of the write
            failed; nothing was written.
        :raises TargetError: if the target could not be reached or broke off.
        """
        pool = self._fresh if new_connection else self._pooled
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_s,
            sock_read=read_timeout_s,
        )
        pool.in_use += 1
        token = _ATTEMPT.set(attempt)
        try:
            response = await pool.session.request(
                method,
                self._url(path),
                headers=headers,
                data=body,
                allow_redirects=False,
                expect100=expect_continue,
                timeout=timeout,
            )
        except BaseException as error:
            await pool.release()
            if isinstance(error, (aiohttp.ClientError, OSError)):
                raise _target_error(error, attempt) from error
            raise
        finally:
            _ATTEMPT.reset(token)
        return Exchange(response, pool)

    async def retire_pooled(self) -> None:
        """Stop using the pooled connections; they close after their calls.

        Used after one connection went silent: what lost track of it has
        probably lost the others too.
        """
        old = self._pooled
        self._pooled = _Pool(self._open(reuse=True))
        old.retired = True
        await old.close_if_unused()

    async def retire(self) -> None:
        """Close each connection after its current call."""
        for pool in (self._pooled, self._fresh):
            pool.retired = True
            await pool.close_if_unused()

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.session.close()
        await self._fresh.session.close()

    def _url(self, path: str) -> yarl.URL:
        return yarl.URL(
            f'http://{self.authority}:{self.target.port}{path}', encoded=True
        )

    def _open(self, reuse: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=max(1, self.limit // 2),
            keepalive_timeout=self.idle_s if reuse else None,
            force_close=not reuse,
            use_dns_cache=False,
        )
        return aiohttp.ClientSession(
            connector=connector,
            request_class=_CheckedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_HEADERS,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            read_bufsize=_READ_BUFFER_BYTES,
        )


def _target_error(error: Exception, attempt: Attempt) -> errors.TargetError:
    if isinstance(error, aiohttp.ClientConnectorError):
        kind = 'target-refused-connection'
    elif isinstance(error, asyncio.TimeoutError):
        kind = 'target-timeout'
    elif isinstance(error, aiohttp.ClientResponseError):
        kind = 'target-bad-response'
    else:
        kind = 'target-disconnected'
    return errors.TargetError(kind, f'{kind}: {error!r}', attempt.written)
