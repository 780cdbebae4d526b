"""A soak run with one seed."""

import asyncio
import pathlib

from tests.soak import callers
from tests.soak import checks
from tests.soak import cluster
from tests.soak import crashing_requests
from tests.soak import faults
from tests.soak import gateway_faults
from tests.soak import gateways as gateway_types
from tests.soak import history as history_types
from tests.soak import plans
from tests.soak import store_faults
from tests.soak import target_faults

RECOVERY_WAIT_S = 5.0
RECOVERY_ATTEMPTS = 3
# A target that did not answer a probe in time gets no request for 1 s, and all
# targets are silent while this process does not run.
RECOVERY_PAUSE_S = 0.6


class Soak:
    """A soak run with one seed.

    :param seconds: how long faults are injected.
    :param gateways: number of gateway processes.
    :param logs: directory for the logs of the gateways.
    """

    def __init__(
        self, seed: int, seconds: float, gateways: int, logs: pathlib.Path
    ):
        self.history = history_types.History()
        self.cluster = cluster.Cluster(seed, gateways, logs, self.history)
        self.seed = seed
        self.seconds = seconds

    async def run(self) -> list[str]:
        """Run the test and return a message for each violation."""
        test_callers = callers.Callers(self.cluster)
        scope = faults.FaultScope(self.cluster)
        injector = faults.FaultInjector(
            self.cluster,
            (
                gateway_faults.GatewayFaults(scope),
                store_faults.StoreFaults(scope),
                target_faults.TargetFaults(scope),
                crashing_requests.CrashingRequests(scope),
            ),
        )
        try:
            await self.cluster.start()
            calling = asyncio.create_task(test_callers.run())
            await injector.run(plans.plan_faults(self.seed, self.seconds))
            for target in self.cluster.targets:
                target.faults.clear()
            await self._check_recovery()
            test_callers.stopping = True
            await calling
        finally:
            await self.cluster.close()
        checks.Checker(self.history, self.cluster.targets).check()
        return self.history.violations

    async def _check_recovery(self) -> None:
        await asyncio.sleep(RECOVERY_WAIT_S)
        for gateway in self.cluster.gateways:
            if not await self._recovers(gateway):
                self.history.violations.append(
                    f'{gateway.name} did not recover: no request succeeded'
                )

    async def _recovers(self, gateway: gateway_types.Gateway) -> bool:
        for _ in range(RECOVERY_ATTEMPTS):
            if await self.cluster.is_serving(gateway):
                return True
            await asyncio.sleep(RECOVERY_PAUSE_S)
        return False
