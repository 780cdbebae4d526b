"""The connections of this entry to all targets."""

import asyncio

from dragonflyslip_core import profiles
from dragonflyslip_core import targets
from dragonflyslip_entry import upstream


class ConnectionTable:
    """Keeps one :class:`upstream.TargetConnections` for each target.

    :param share: this entry's share of fleet-wide limits, 0 to 1.
    """

    def __init__(self, share: float = 1.0):
        self.share = share
        self.pools: dict[str, upstream.TargetConnections] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def of(
        self, target: targets.Target, profile: profiles.Profile
    ) -> upstream.TargetConnections:
        """Return the connections to ``target``, opened at first use."""
        pool = self.pools.get(target.instance_id)
        if (
            pool is None
            or pool.target.port != target.port
            or (pool.target.address != target.address)
        ):
            pool = upstream.TargetConnections(
                target,
                int(profile.max_connections_per_target * self.share),
                profile.idle_connection_s,
            )
            self.pools[target.instance_id] = pool
        return pool

    def forget(self, instance_id: str) -> None:
        """Close the connections to a target once its calls have ended."""
        pool = self.pools.pop(instance_id, None)
        if pool is not None:
            task = asyncio.get_running_loop().create_task(pool.retire())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.close()
