"""Pools of idle connections to targets.

A request uses a connection on which the target has just answered a probe, or
a new one, so it is never sent on a connection that was lost while it was idle.
"""

import asyncio
import collections.abc

from dragonflyslip_core import directory
from dragonflyslip_core import errors
from dragonflyslip_entry import http_connection

CONNECT_TIMEOUT_S = 0.25
# Targets usually close idle connections themselves; this closes the others.
IDLE_TIMEOUT_S = 30.0

# Called when a connection is closed because the target exceeds the bounds of
# responses.
OnOverlong = collections.abc.Callable[
    [directory.Registration, errors.OverlongResponseError], None
]


class TargetPool:
    """Idle connections to one target."""

    def __init__(
        self,
        target: directory.Registration,
        on_overlong: OnOverlong | None = None,
    ):
        self.target = target
        self.on_overlong = on_overlong
        self.idle: list[tuple[float, http_connection.HttpConnection]] = []
        self.retired = False
        self.loop = asyncio.get_running_loop()

    def take(self) -> http_connection.HttpConnection | None:
        """Return the connection used most recently, None if none is open."""
        while self.idle:
            _, connection = self.idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def open(self) -> http_connection.HttpConnection:
        """Return a new connection.

        :raises OSError: if the connection fails.
        :raises TimeoutError: if it takes longer than ``CONNECT_TIMEOUT_S``.
        """
        return await http_connection.HttpConnection.open(
            self.target.host,
            self.target.port,
            CONNECT_TIMEOUT_S,
            self._report_overlong,
        )

    def give_back(self, connection: http_connection.HttpConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if self.retired or not connection.reusable:
            connection.close()
            return
        connection.set_idle()
        self.idle.append((self.loop.time(), connection))

    def close_idle(self, before: float) -> None:
        """Close connections last used before ``before`` (loop time)."""
        while self.idle and self.idle[0][0] < before:
            _, connection = self.idle.pop(0)
            connection.close()

    def retire(self) -> None:
        """Close idle connections now, and busy ones when given back."""
        self.retired = True
        self.close_idle(float('inf'))

    def _report_overlong(self, error: errors.OverlongResponseError) -> None:
        if self.on_overlong is not None:
            self.on_overlong(self.target, error)


class TargetPools:
    """The connection pools of all targets, by target id."""

    def __init__(self):
        self.on_overlong: OnOverlong | None = None
        self.pools: dict[str, TargetPool] = {}

    def get_or_create(self, target: directory.Registration) -> TargetPool:
        """Return the pool of a target.

        A new one is created at first use, and if the address changed.
        """
        pool = self.pools.get(target.target_id)
        if pool is None or (pool.target.host, pool.target.port) != (
            target.host,
            target.port,
        ):
            if pool is not None:
                pool.retire()
            pool = TargetPool(target, self.on_overlong)
            self.pools[target.target_id] = pool
        return pool

    def forget(self, target_id: str) -> None:
        """Remove the pool of a target that is gone."""
        pool = self.pools.pop(target_id, None)
        if pool is not None:
            pool.retire()

    def close_idle(self, now: float) -> None:
        """Close connections that were not used for ``IDLE_TIMEOUT_S``."""
        for pool in self.pools.values():
            pool.close_idle(now - IDLE_TIMEOUT_S)

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in list(self.pools):
            self.forget(target_id)
