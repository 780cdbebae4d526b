"""Connection pool rules of one entry for one target.

A connection is silent when no byte has arrived for the progress timeout
although the target was due to send or accept one, for example because a
device on the path lost its state.
"""

import dataclasses
import math

from dragonflyslip_core import profiles

# A reused connection without a byte for this long may be silent, so requests
# get new connections meanwhile. Opening one takes 1 ms, so little is lost
# when the target was only slow.
SUSPECT_SILENT_S = 0.25


@dataclasses.dataclass(frozen=True)
class Reuse:
    """Send the request over this idle connection."""

    connection_id: int


@dataclasses.dataclass(frozen=True)
class Open:
    """Open a connection after closing the idle connections listed."""

    close: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Wait:
    """Wait for a connection, since this entry's whole share is in use."""


@dataclasses.dataclass(frozen=True)
class ConnectionsToClose:
    """Connections that the caller must close now.

    :param silent: ids of connections in use without progress; their
        requests have failed.
    :param idle: ids of unused connections that are too old, retired or
        over the share.
    """

    silent: tuple[int, ...] = ()
    idle: tuple[int, ...] = ()


@dataclasses.dataclass
class _Connection:
    connection_id: int
    opened_at: float
    last_used_at: float
    busy: bool = True
    retired: bool = False
    reused: bool = False
    # When the current wait for a byte of the target began; None while no
    # byte is expected.
    waiting_since: float | None = None


class ConnectionRules:
    """Decides which connection a request uses and which ones close.

    When a connection turns out to be silent, all connections opened until
    then are retired: what lost the state of one has lost the state of the
    others, while new connections work.
    Retired connections in use finish their request and close. A retired
    connection that turns out to be silent retires nothing, so that the new
    pool is kept.

    :param idle_s: seconds after which an unused connection is closed.
    :param progress_s: seconds without a byte after which a request fails.
    :param max_connections: limit for the connections of all entries
        together.
    :param reserved: connections of this entry's share that are used outside
        the pool, such as the watch connection, which shows when the
        target's process ends.
    """

    def __init__(
        self,
        idle_s: float,
        progress_s: float,
        max_connections: int,
        reserved: int = 0,
    ):
        self.reserved = reserved
        self.idle_s = idle_s
        self.progress_s = progress_s
        self.max_connections = max_connections
        self._share = 0.0
        self._connections: dict[int, _Connection] = {}

    @classmethod
    def from_profile(
        cls, profile: profiles.Profile, reserved: int = 0
    ) -> 'ConnectionRules':
        """Return the rules for a target whose service uses ``profile``."""
        return cls(
            reserved=reserved,
            idle_s=profile.idle_connection_s,
            progress_s=profile.progress_timeout_ms / 1000,
            max_connections=profile.max_connections_per_target,
        )

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def limit(self) -> int:
        """Maximum number of connections that the pool may have open."""
        # 100 * 0.29 is just under 29 in floating point.
        part = math.floor(self.max_connections * self._share + 1e-9)
        return max(0, part - self.reserved)

    def set_share(self, share: float) -> None:
        """Set this entry's fraction of the connections, from 0 to 1.

        When the share shrinks, surplus connections close at the next
        :meth:`poll` or when their request ends.
        """
        self._share = min(1.0, max(0.0, share))

    def acquire(self, idempotent: bool, now: float) -> Reuse | Open | Wait:
        """Choose the connection for a request, preferring the newest idle one.

        While a reused connection may be silent, requests get new
        connections. A non-idempotent request always gets a new connection:
        a pooled one may be silent, and the request could not be sent again.

        The connection returned for reuse counts as in use, and those
        returned for closing are forgotten. The caller reports a new
        connection with :meth:`opened` before it awaits anything.
        """
        idle = [c for c in self._connections.values() if not c.busy]
        if idempotent:
            usable = [c for c in idle if not self._stale(c, now)]
            if usable and not self._may_have_silent(now):
                newest = max(
                    usable, key=lambda c: (c.opened_at, c.last_used_at)
                )
                newest.busy = newest.reused = True
                return Reuse(newest.connection_id)
        surplus = len(self._connections) + 1 - self.limit
        if surplus > len(idle) or self.limit < 1:
            return Wait()
        idle.sort(key=lambda c: (c.opened_at, c.last_used_at))
        close = tuple(c.connection_id for c in idle[: max(0, surplus)])
        for connection_id in close:
            del self._connections[connection_id]
        return Open(close)

    def opened(self, connection_id: int, now: float) -> None:
        """Add a connection that is being opened for a request.

        :raises ValueError: if the id is already in use.
        """
        if connection_id in self._connections:
            raise ValueError(f'connection {connection_id} is already open')
        self._connections[connection_id] = _Connection(connection_id, now, now)

    def start_progress_timeout(self, connection_id: int, now: float) -> None:
        """Start the progress timeout, or restart it after a byte.

        The caller starts it as soon as the request is written. Bytes count
        in both directions: those that the target accepts and those that it
        sends.
        """
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.waiting_since = now

    def stop_progress_timeout(self, connection_id: int) -> None:
        """Stop the progress timeout.

        Used while the client neither sends nor reads, since the target is
        then not expected to make progress.
        """
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.waiting_since = None

    def release(self, connection_id: int, reusable: bool, now: float) -> bool:
        """End the request on a connection; return whether it stays open.

        :param reusable: whether the response was read completely.
        :return: False if the caller must close the connection.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            return False
        connection.busy = False
        connection.waiting_since = None
        connection.last_used_at = now
        over = len(self._connections) > self.limit
        if not reusable or connection.retired or over:
            del self._connections[connection_id]
            return False
        return True

    def closed(self, connection_id: int) -> None:
        """Remove a connection that either end has closed."""
        self._connections.pop(connection_id, None)

    def mark_silent(
        self, connection_id: int, now: float
    ) -> ConnectionsToClose:
        """Record that a connection is silent and return what to close.

        The caller uses this when a call reaches its deadline without a
        byte on a reused connection; :meth:`poll` detects the other cases.
        """
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return ConnectionsToClose()
        self._retire_all(connection)
        return ConnectionsToClose((connection_id,), self._take_stale(now))

    def poll(self, now: float) -> ConnectionsToClose:
        """Return what to close now; call this by :meth:`next_deadline`."""
        silent = [
            c
            for c in self._connections.values()
            if c.waiting_since is not None
            and now >= c.waiting_since + self.progress_s
        ]
        for connection in silent:
            del self._connections[connection.connection_id]
            self._retire_all(connection)
        ids = tuple(c.connection_id for c in silent)
        return ConnectionsToClose(ids, self._take_stale(now))

    def next_deadline(self) -> float | None:
        """Return the earliest time at which :meth:`poll` is due, or None."""
        times = [
            c.waiting_since + self.progress_s
            for c in self._connections.values()
            if c.waiting_since is not None
        ]
        times += [
            c.last_used_at + self.idle_s
            for c in self._connections.values()
            if not c.busy
        ]
        return min(times, default=None)

    def _retire_all(self, silent: _Connection) -> None:
        if silent.retired:
            return
        for connection in self._connections.values():
            connection.retired = True

    def _may_have_silent(self, now: float) -> bool:
        return any(
            c.reused
            and c.waiting_since is not None
            and now - c.waiting_since > SUSPECT_SILENT_S
            for c in self._connections.values()
        )

    def _stale(self, connection: _Connection, now: float) -> bool:
        return (
            connection.retired or now >= connection.last_used_at + self.idle_s
        )

    def _take_stale(self, now: float) -> tuple[int, ...]:
        idle = [c for c in self._connections.values() if not c.busy]
        idle.sort(key=lambda c: (c.opened_at, c.last_used_at))
        close = [c for c in idle if self._stale(c, now)]
        fresh = [c for c in idle if not self._stale(c, now)]
        surplus = len(self._connections) - len(close) - self.limit
        close += fresh[: max(0, surplus)]
        for connection in close:
            del self._connections[connection.connection_id]
        return tuple(c.connection_id for c in close)
