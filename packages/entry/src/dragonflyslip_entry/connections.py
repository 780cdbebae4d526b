"""The connection pools of this entry, one for each target.

:mod:`upstream` implements a pool, and :mod:`dragonflyslip_core.connections`
the rules that it follows.
"""

import asyncio

from dragonflyslip_core import profiles
from dragonflyslip_core import targets
from dragonflyslip_entry import upstream

POLL_S = 1.0


class ConnectionTable:
    """Keeps one :class:`upstream.TargetConnections` for each target.

    :param share: this entry's fraction of fleet-wide limits, 0 to 1.
    """

    def __init__(self, share: float = 1.0):
        self.share = share
        self.pools: dict[str, upstream.TargetConnections] = {}

    def get_or_create(
        self, target: targets.Target, profile: profiles.Profile
    ) -> upstream.TargetConnections:
        """Return the pool of ``target``, created at first use."""
        pool = self.pools.get(target.instance_id)
        if pool is None or pool.target != target:
            pool = self._replace(pool, target, profile)
        return pool

    def set_share(self, share: float) -> None:
        """Set this entry's fraction of the connections to each target."""
        self.share = share
        for pool in self.pools.values():
            pool.rules.set_share(share)

    def forget(self, instance_id: str) -> None:
        """Drop a target's pool; busy connections close after their call."""
        pool = self.pools.pop(instance_id, None)
        if pool is not None:
            pool.retire()

    async def run(self) -> None:
        """Close silent and idle connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_S)
            for pool in list(self.pools.values()):
                pool.poll(loop.time())

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()

    def _replace(
        self,
        pool: upstream.TargetConnections | None,
        target: targets.Target,
        profile: profiles.Profile,
    ) -> upstream.TargetConnections:
        same_endpoint = pool is not None and (
            pool.target.address == target.address
            and pool.target.port == target.port
        )
        if pool is not None and same_endpoint:
            pool.target = target
            return pool
        if pool is not None:
            pool.retire()
        pool = upstream.TargetConnections.from_profile(
            target, profile, self.share
        )
        self.pools[target.instance_id] = pool
        return pool
