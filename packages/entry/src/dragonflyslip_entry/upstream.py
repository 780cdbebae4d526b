"""Connections to targets.

Which connection a request uses and when a connection closes is decided by
:class:`dragonflyslip_core.connections.ConnectionRules`.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools

from dragonflyslip_core import connections
from dragonflyslip_core import profiles
from dragonflyslip_core import targets
from dragonflyslip_entry import errors
from dragonflyslip_entry import http_connection


# The watch connection to a target counts towards the same limit.
_WATCH_CONNECTIONS = 1


@dataclasses.dataclass
class Exchange:
    """A response whose body is still to be read."""

    response: http_connection.Response
    _owner: 'TargetConnections'
    _connection_id: int
    closed: bool = False

    def close(self) -> None:
        """Release the connection.

        It stays open only if the body was read to its end. Otherwise it is
        closed, so that no later call receives the rest of this body.
        """
        if not self.closed:
            self.closed = True
            self._owner.release(self._connection_id, self.response.complete)


class TargetConnections:
    """The connections of this entry to one target.

    :param rules: decides on reuse and closing.
    """

    def __init__(
        self, target: targets.Target, rules: connections.ConnectionRules
    ):
        self.target = target
        self.rules = rules
        self.open_connections: dict[int, http_connection.HttpConnection] = {}
        self._connection_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()

    @classmethod
    def from_profile(
        cls, target: targets.Target, profile: profiles.Profile, share: float
    ) -> 'TargetConnections':
        """Create the pool of a target whose service has ``profile``.

        :param share: this entry's fraction of fleet-wide limits, 0 to 1.
        """
        rules = connections.ConnectionRules.from_profile(
            profile, reserved=_WATCH_CONNECTIONS
        )
        rules.set_share(share)
        return cls(target, rules)

    async def send(
        self,
        request: http_connection.Request,
        attempt: http_connection.Attempt,
        profile: profiles.Profile,
        idempotent: bool,
        deadline_at: float,
    ) -> Exchange:
        """Send one request and return once response headers have arrived.

        :param idempotent: whether an idle connection may be reused; if not,
            the request gets a new one.
        :param deadline_at: loop time of the call's deadline. If the call is
            cancelled after it, the connection counts as silent, since no
            response has arrived.
        :raises SendRefusedError: if the check right before the write failed;
            nothing was written.
        :raises CallerBodyError: if the request body ended early.
        :raises TargetError: if the target could not be reached, or did not
            respond properly.
        """
        connection_id, connection = await self._acquire(
            idempotent, profile.connect_timeout_ms / 1000
        )
        try:
            response = await connection.send(
                self._track_progress(request, connection_id),
                attempt,
                profile.progress_timeout_ms / 1000,
            )
        except BaseException as error:
            timed_out = isinstance(error, asyncio.TimeoutError) or (
                isinstance(error, asyncio.CancelledError)
                and self._loop.time() >= deadline_at
            )
            if timed_out and attempt.written:
                now = self._loop.time()
                self._close_all(self.rules.mark_silent(connection_id, now))
            self.release(connection_id, False)
            if isinstance(error, http_connection.CONNECTION_ERRORS):
                raise _target_error(error, attempt.written) from error
            raise
        self.rules.stop_progress_timeout(connection_id)
        return Exchange(response, self, connection_id)

    def release(self, connection_id: int, complete: bool) -> None:
        """End the use of a connection.

        :param complete: whether the response was read to its end.
        """
        connection = self.open_connections.get(connection_id)
        reusable = complete and connection is not None and connection.reusable
        if self.rules.release(connection_id, reusable, self._loop.time()):
            connection.set_idle()
        else:
            self._close(connection_id)

    def poll(self, now: float) -> None:
        """Close connections that are silent, idle or above the share."""
        self._close_all(self.rules.poll(now))

    def retire(self) -> None:
        """Close idle connections now and busy ones after their call."""
        self.rules.set_share(0.0)
        self.poll(self._loop.time())

    def close(self) -> None:
        """Close all connections."""
        for connection_id in list(self.open_connections):
            self._close(connection_id)

    async def _acquire(
        self, idempotent: bool, timeout_s: float
    ) -> tuple[int, http_connection.HttpConnection]:
        while True:
            match self.rules.acquire(idempotent, self._loop.time()):
                case connections.Reuse(connection_id):
                    connection = self.open_connections[connection_id]
                    if connection.alive:
                        return connection_id, connection
                    self._close(connection_id)
                case connections.Open(close):
                    for closed_id in close:
                        self._close(closed_id)
                    return await self._open(timeout_s)
                case _:
                    raise errors.TargetError(
                        'no-connection',
                        'all connections to the target are in use',
                        written=False,
                    )

    async def _open(
        self, timeout_s: float
    ) -> tuple[int, http_connection.HttpConnection]:
        connection_id = next(self._connection_ids)
        self.rules.opened(connection_id, self._loop.time())
        try:
            connection = await http_connection.HttpConnection.open(
                self.target.address, self.target.port, timeout_s
            )
        except BaseException as error:
            self.rules.closed(connection_id)
            if isinstance(error, OSError):
                raise errors.TargetError(
                    'target-refused-connection',
                    f'connection failed: {error!r}',
                    written=False,
                ) from error
            raise
        self.open_connections[connection_id] = connection
        return connection_id, connection

    def _track_progress(
        self, request: http_connection.Request, connection_id: int
    ) -> http_connection.Request:
        """Run the progress timeout while the connection waits for the target.

        The rules close a connection whose timeout has passed.
        """
        if request.body is None:
            self.rules.start_progress_timeout(connection_id, self._loop.time())
            return request
        return dataclasses.replace(
            request,
            body=self._track_body_progress(request.body, connection_id),
        )

    async def _track_body_progress(
        self, body: http_connection.Body, connection_id: int
    ) -> collections.abc.AsyncIterator[bytes]:
        async with contextlib.aclosing(body) as chunks:
            async for chunk in chunks:
                self.rules.start_progress_timeout(
                    connection_id, self._loop.time()
                )
                yield chunk
                # Until the next chunk, it waits for the caller instead.
                self.rules.stop_progress_timeout(connection_id)
        self.rules.start_progress_timeout(connection_id, self._loop.time())

    def _close_all(self, closures: connections.ConnectionsToClose) -> None:
        for connection_id in (*closures.silent, *closures.idle):
            self._close(connection_id)

    def _close(self, connection_id: int) -> None:
        self.rules.closed(connection_id)
        connection = self.open_connections.pop(connection_id, None)
        if connection is not None:
            connection.close()


def _target_error(error: Exception, written: bool) -> errors.TargetError:
    if isinstance(error, asyncio.TimeoutError):
        kind = 'target-timeout'
    elif isinstance(error, http_connection.client_proto.HttpProcessingError):
        kind = 'target-bad-response'
    else:
        kind = 'target-disconnected'
    return errors.TargetError(kind, f'{kind}: {error!r}', written)
