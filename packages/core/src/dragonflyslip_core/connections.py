"""Rules for the pooled connections of one entry to one target."""

import dataclasses
import math

from dragonflyslip_core import profiles

# A pooled connection that has been mute this long may be silent. Opening
# another costs 1 ms, so a slow target that is taken for silent loses little.
MUTE_S = 0.25


@dataclasses.dataclass(frozen=True)
class Reuse:
    """Send the request over this idle connection."""

    connection_id: int


@dataclasses.dataclass(frozen=True)
class Open:
    """Open a connection, after closing the idle ones named."""

    close: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Wait:
    """All connections of this entry's share are in use."""


@dataclasses.dataclass(frozen=True)
class Closures:
    """Connections that the caller closes now.

    :param silent: in use and without progress; their requests have failed.
    :param idle: unused ones that are too old, retired or over the share.
    """

    silent: tuple[int, ...] = ()
    idle: tuple[int, ...] = ()


@dataclasses.dataclass
class _Connection:
    connection_id: int
    opened_at: float
    used_at: float
    busy: bool = True
    retired: bool = False
    reused: bool = False
    # When the peer last owed a byte; None while it owes none.
    waiting_since: float | None = None


class ConnectionRules:
    """Which connection to one target a request uses, and which ones close.

    One silence retires all connections opened until then: what lost track
    of one has lost track of the others, and new ones work. Retired ones in
    use finish their request and close. The silence of a retired connection
    retires nothing, so that the new pool is kept.

    :param idle_s: seconds that an unused connection is kept.
    :param progress_s: seconds without a byte on a body before it fails.
    :param max_connections: connections of all entries together.
    :param reserved: connections of this entry's part that it uses otherwise,
        such as the watch connection to a target.
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
        """Connections that this entry may have open."""
        # 100 * 0.29 is just under 29.
        part = math.floor(self.max_connections * self._share + 1e-9)
        return max(0, part - self.reserved)

    def set_share(self, share: float) -> None:
        """Set this entry's part of the connections, from 0 to 1.

        Connections over a smaller share close at the next :meth:`poll` or
        when their request ends.
        """
        self._share = min(1.0, max(0.0, share))

    def acquire(self, idempotent: bool, now: float) -> Reuse | Open | Wait:
        """Choose the connection for a request; the newest idle one first.

        While a reused connection is mute, requests get new connections.
        A non-idempotent request gets a new connection: a pooled one may
        have gone silent, and the request could not be sent again. The
        connections named by the answer are in use or gone afterwards; the
        caller reports a new one with :meth:`opened` before it awaits
        anything.
        """
        idle = [c for c in self._connections.values() if not c.busy]
        if idempotent:
            usable = [c for c in idle if not self._stale(c, now)]
            if usable and not self._mute(now):
                newest = max(usable, key=lambda c: (c.opened_at, c.used_at))
                newest.busy = newest.reused = True
                return Reuse(newest.connection_id)
        surplus = len(self._connections) + 1 - self.limit
        if surplus > len(idle) or self.limit < 1:
            return Wait()
        idle.sort(key=lambda c: (c.opened_at, c.used_at))
        close = tuple(c.connection_id for c in idle[: max(0, surplus)])
        for connection_id in close:
            del self._connections[connection_id]
        return Open(close)

    def opened(self, connection_id: int, now: float) -> None:
        """Count a connection that is being opened for a request.

        :raises ValueError: if the id is in use.
        """
        if connection_id in self._connections:
            raise ValueError(f'connection {connection_id} is already open')
        self._connections[connection_id] = _Connection(connection_id, now, now)

    def await_progress(self, connection_id: int, now: float) -> None:
        """Start the progress deadline, or restart it after a byte.

        The caller starts it as soon as the request is written.

        A body makes progress in either direction: bytes that the target
        accepts count as those that it sends.
        """
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.waiting_since = now

    def pause_progress(self, connection_id: int) -> None:
        """Stop the progress deadline.

        A caller that neither sends nor reads is no silence of the target.
        """
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.waiting_since = None

    def release(self, connection_id: int, reusable: bool, now: float) -> bool:
        """End the request on a connection; return whether it stays open.

        :param reusable: the response was read completely. If not, or on
            False, the caller closes the connection.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            return False
        connection.busy = False
        connection.waiting_since = None
        connection.used_at = now
        over = len(self._connections) > self.limit
        if not reusable or connection.retired or over:
            del self._connections[connection_id]
            return False
        return True

    def closed(self, connection_id: int) -> None:
        """Note that a connection was closed, by either end."""
        self._connections.pop(connection_id, None)

    def silence(self, connection_id: int, now: float) -> Closures:
        """Note that a connection is silent and must close.

        The caller uses this when a call reaches its deadline without a
        byte on a connection that had been reused; :meth:`poll` finds the
        other cases.
        """
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return Closures()
        self._retire_all(connection)
        return Closures((connection_id,), self._take_stale(now))

    def poll(self, now: float) -> Closures:
        """Return what to close now; call it by :meth:`next_deadline`."""
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
        return Closures(ids, self._take_stale(now))

    def next_deadline(self) -> float | None:
        """Return when :meth:`poll` may next have something to close."""
        times = [
            c.waiting_since + self.progress_s
            for c in self._connections.values()
            if c.waiting_since is not None
        ]
        times += [
            c.used_at + self.idle_s
            for c in self._connections.values()
            if not c.busy
        ]
        return min(times, default=None)

    def _retire_all(self, silent: _Connection) -> None:
        if silent.retired:
            return
        for connection in self._connections.values():
            connection.retired = True

    def _mute(self, now: float) -> bool:
        return any(
            c.reused
            and c.waiting_since is not None
            and now - c.waiting_since > MUTE_S
            for c in self._connections.values()
        )

    def _stale(self, connection: _Connection, now: float) -> bool:
        return connection.retired or now >= connection.used_at + self.idle_s

    def _take_stale(self, now: float) -> tuple[int, ...]:
        idle = [c for c in self._connections.values() if not c.busy]
        idle.sort(key=lambda c: (c.opened_at, c.used_at))
        close = [c for c in idle if self._stale(c, now)]
        fresh = [c for c in idle if not self._stale(c, now)]
        surplus = len(self._connections) - len(close) - self.limit
        close += fresh[: max(0, surplus)]
        for connection in close:
            del self._connections[connection.connection_id]
        return tuple(c.connection_id for c in close)
