"""Connections to targets.

Each connection is a session of the HTTP client with room for one
connection; which one a call uses, and when it closes, is decided by
:class:`dragonflyslip_core.connections.ConnectionRules`. A check runs in the
step of the write, and an attempt is written once, because the client would
repeat idempotent calls by itself.
"""

import asyncio
import collections.abc
import contextvars
import dataclasses
import itertools
import typing

import aiohttp
import multidict
import yarl

from dragonflyslip_core import connections
from dragonflyslip_core import profiles
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
# The rules close idle connections; the client's own timer only backs them.
_CLIENT_KEEPALIVE_S = 600.0


@dataclasses.dataclass
class Attempt:
    """One send of a request to one target.

    :param check: called in the step of the write.
    :param written: whether any byte may have been written.
    """

    check: SendCheck
    written: bool = False
    written_at: float = 0.0

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
        self.written_at = now


_ATTEMPT: contextvars.ContextVar[Attempt] = contextvars.ContextVar('attempt')


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


def open_session() -> aiohttp.ClientSession:
    """Return a session that holds one connection at most."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=1,
            keepalive_timeout=_CLIENT_KEEPALIVE_S,
            use_dns_cache=False,
        ),
        request_class=_CheckedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_SKIPPED_HEADERS,
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
        read_bufsize=_READ_BUFFER_BYTES,
    )


@dataclasses.dataclass
class Exchange:
    """A response whose body is still to be read.

    :param response: status and headers have arrived.
    """

    response: aiohttp.ClientResponse
    _owner: 'TargetConnections'
    _connection_id: int
    closed: bool = False

    def progressed(self, now: float) -> None:
        """Note that bytes of a body moved on the connection."""
        self._owner.rules.await_progress(self._connection_id, now)

    async def close(self) -> None:
        """Release the connection.

        It stays open only if the body was read to its end; otherwise it is
        closed, so that no later call gets the rest.
        """
        if not self.closed:
            self.closed = True
            whole = self.response.content.is_eof()
            self.response.close()
            await self._owner.release(self._connection_id, whole)


class TargetConnections:
    """The connections of this entry to one target.

    :param target: the target.
    :param rules: decides on reuse and closing.
    """

    def __init__(
        self, target: targets.Target, rules: connections.ConnectionRules
    ):
        self.target = target
        self.rules = rules
        host = target.address
        authority = f'[{host}]' if ':' in host else host
        self.base_url = f'http://{authority}:{target.port}'
        self.sessions: dict[int, aiohttp.ClientSession] = {}
        self._ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    @classmethod
    def from_profile(
        cls, target: targets.Target, profile: profiles.Profile, share: float
    ) -> 'TargetConnections':
        """Return the connections to a target of a service with ``profile``.

        :param share: this entry's part of fleet-wide limits, 0 to 1.
        """
        rules = connections.ConnectionRules.from_profile(profile)
        rules.set_share(share)
        return cls(target, rules)

    async def send(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        headers: multidict.CIMultiDict[str],
        body: Body | None,
        expect_continue: bool,
        idempotent: bool,
        connect_timeout_s: float,
        read_timeout_s: float,
    ) -> Exchange:
        """Send one request and return once response headers arrived.

        :raises SendRefusedError: if the check in the step of the write
            failed; nothing was written.
        :raises TargetError: if the target could not be reached or broke off.
        """
        connection_id, session = await self._acquire(idempotent)
        token = _ATTEMPT.set(attempt)
        try:
            response = await session.request(
                method,
                yarl.URL(self.base_url + path, encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
                expect100=expect_continue,
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=connect_timeout_s,
                    sock_read=read_timeout_s,
                ),
            )
        except BaseException as error:
            if isinstance(error, asyncio.TimeoutError) and attempt.written:
                await self._close_all(
                    self.rules.silence(connection_id, self._loop.time())
                )
            await self.release(connection_id, False)
            if isinstance(error, errors.SendRefusedError) and attempt.written:
                # The connection broke after the write, and the client was
                # about to repeat the request by itself.
                raise errors.TargetError(
                    'target-disconnected', 'connection lost', written=True
                ) from error
            if isinstance(error, (aiohttp.ClientError, OSError)):
                raise _target_error(error, attempt) from error
            raise
        finally:
            _ATTEMPT.reset(token)
        return Exchange(response, self, connection_id)

    async def release(self, connection_id: int, reusable: bool) -> None:
        """End the use of a connection."""
        kept = self.rules.release(connection_id, reusable, self._loop.time())
        if not kept:
            await self._close(connection_id)

    async def poll(self, now: float) -> None:
        """Close connections that are idle for too long or over the share."""
        await self._close_all(self.rules.poll(now))

    async def retire(self) -> None:
        """Close idle connections now and busy ones after their call."""
        self.rules.set_share(0.0)
        await self.poll(self._loop.time())

    async def close(self) -> None:
        """Close all connections."""
        for connection_id in list(self.sessions):
            await self._close(connection_id)

    async def _acquire(
        self, idempotent: bool
    ) -> tuple[int, aiohttp.ClientSession]:
        now = self._loop.time()
        match self.rules.acquire(idempotent, now):
            case connections.Reuse(connection_id):
                return connection_id, self.sessions[connection_id]
            case connections.Open(close):
                connection_id = next(self._ids)
                self.rules.opened(connection_id, now)
                session = self.sessions[connection_id] = open_session()
                for closed_id in close:
                    await self._close(closed_id)
                return connection_id, session
        raise errors.TargetError(
            'no-connection',
            f'all connections to {self.target.instance_id} are in use',
            written=False,
        )

    async def _close_all(self, closures: connections.Closures) -> None:
        for connection_id in (*closures.silent, *closures.idle):
            await self._close(connection_id)

    async def _close(self, connection_id: int) -> None:
        session = self.sessions.pop(connection_id, None)
        if session is not None:
            await session.close()


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
