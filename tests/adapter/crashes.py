"""A request that crashes emulated targets, and callers that repeat it."""

import asyncio
import itertools

TARGETS = 8
RESTART_AFTER_S = 0.3
KILLER = '/safe/killer'
# After this time from the third crash, a request may be sent three times more.
SETTLE_S = 3.0
MAX_LATE_SENDS = 3
# Some time longer than that.
DURATION_S = 5.5


class Crashes:
    """Targets that a request crashes, and that start again afterwards.

    :param restart_after_s: pause between a crash and the next start.
    :ivar times: when the targets crashed, on the event loop's clock.
    """

    def __init__(self, platform, condition, restart_after_s=RESTART_AFTER_S):
        self.platform = platform
        self.condition = condition
        self.restart_after_s = restart_after_s
        self.times: list[float] = []
        self._restarts: set[asyncio.Task[None]] = set()

    async def add_targets(self, count: int = TARGETS, **attributes) -> None:
        """Start targets that the request crashes.

        :param attributes: further attributes of the targets.
        """
        for _ in range(count):
            target = await self.platform.add_target()
            for name, value in attributes.items():
                setattr(target, name, value)
            target.crashes_on = self.condition
            target.on_crash = lambda target=target: self._restart(target)

    async def wait_until_restarted(self) -> None:
        """Wait until all targets run again."""
        while self._restarts:
            await asyncio.sleep(0.01)

    def _restart(self, target) -> None:
        loop = asyncio.get_running_loop()
        self.times.append(loop.time())
        task = loop.create_task(self._restart_later(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_later(self, target) -> None:
        await asyncio.sleep(self.restart_after_s)
        await target.restart(self.platform.store)

    def late_sends(self) -> int:
        """Return how often the request was sent late after the third crash."""
        limit = sorted(self.times)[2] + SETTLE_S
        return sum(
            self.condition(run) and run.started_at > limit
            for run in self.platform.runs()
        )


def is_killer(run) -> bool:
    return run.path == KILLER


async def start_gateways(platform, count: int) -> list[str]:
    """Start gateways and return where they listen."""
    await platform.start()
    others = [await platform.add_gateway() for _ in range(count - 1)]
    return [g.options.listen for g in (platform.gateway, *others)]


async def send_for(platform, duration_s: float, gateways, *call) -> list[int]:
    """Send the same request again and again, at each gateway in turn.

    :param gateways: where they listen.
    :return: the statuses of the responses.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    statuses = []
    for listen in itertools.cycle(gateways):
        if loop.time() > ends_at:
            return statuses
        reply = await platform.call(*call, listen=listen)
        statuses.append(reply.status)
        await asyncio.sleep(0.1)
