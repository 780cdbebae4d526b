"""Targets with versions, orders and steady callers for tests of rollouts."""

import asyncio
import contextlib
import json

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import faults
from dragonflyslip_emulator import store as store_types

OLD, NEW = 'v1', 'v2'
SERVICE = 'casebook'
STATUS_TOPIC = 'keyed.status'
DECISION_TOPIC = 'keyed.dragonflyslip'
KEY = f'rollout/{SERVICE}'


class VersionedTarget(emulator.EmulatedTarget):
    """A target of a version, some of whose responses are failures.

    :param fails_every: one of so many requests fails; 0 for none.
    :ivar hangs_on: path of the requests that get no response.
    """

    def __init__(
        self, version: str, fails_every: int = 0, service=SERVICE, **model
    ):
        super().__init__(service, **model)
        self.version = version
        self.fails_every = fails_every
        self.hangs_on = ''

    def next_registration(self, state: str = 'ready') -> dict:
        """Return the target's next registration record."""
        record = super().next_registration(state)
        record['info']['version'] = self.version
        return record

    async def _execute(self, request, body, streams, fault):
        if self.fails_every and len(self.runs) % self.fails_every == 0:
            fault = faults.Fault.ERROR
        if request.path == self.hangs_on:
            fault = faults.Fault.HANG
        return await super()._execute(request, body, streams, fault)


async def add_targets(platform, version: str, count: int, **model) -> list:
    """Start and register targets of a version."""
    added = [VersionedTarget(version, **model) for _ in range(count)]
    for target in added:
        await target.start()
        platform.stack.push_async_callback(target.close)
        platform.targets.append(target)
        await target.register(platform.store)
    return added


async def order(platform, version: str = NEW, duration: str = '6s') -> None:
    """Write an operator's order."""
    await platform.store.put(
        store_types.OPERATOR_TOPIC,
        KEY,
        {'service': SERVICE, 'target_version': version, 'duration': duration},
    )


def status(platform) -> dict | None:
    """Return the published status of the rollout."""
    topic = platform.store.topics.get(STATUS_TOPIC)
    if topic is None or KEY not in topic.newest:
        return None
    return json.loads(topic.newest[KEY][1])


def state(platform) -> str | None:
    """Return the published state of the rollout."""
    found = status(platform)
    return None if found is None else found['state']


def decisions(platform) -> list[dict]:
    """Return all decisions in the log, oldest first."""
    return [
        json.loads(record.value)
        for record in platform.store.topics[DECISION_TOPIC].appends
        if record.key == KEY and record.value
    ]


@contextlib.asynccontextmanager
async def callers(platform, gateways, interval_s: float = 0.01):
    """Send requests to the gateways in turn; yield the list of replies."""
    replies = []
    tasks = set()

    async def call(gateway):
        replies.append(await platform.call(listen=gateway.options.listen))

    async def run():
        number = 0
        while True:
            gateway = gateways[number % len(gateways)]
            task = asyncio.create_task(call(gateway))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(interval_s)

    sender = asyncio.create_task(run())
    try:
        yield replies
    finally:
        sender.cancel()
        await asyncio.gather(sender, *tasks, return_exceptions=True)


async def until(condition, timeout_s: float = 20.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


async def until_state(
    platform, expected: str, timeout_s: float = 20.0
) -> None:
    """Wait until a state is published; an error bears all decisions."""
    try:
        await until(lambda: state(platform) == expected, timeout_s)
    except TimeoutError as error:
        error.add_note(f'published: {status(platform)}')
        for decision in decisions(platform):
            error.add_note(f'decided: {decision}')
        raise


async def start(
    platform, gateways: int = 4, zones: str = 'abc', settings=None, **new
):
    """Start gateways in several domains, four old targets and four new ones.

    :param settings: settings of the gateways by name.
    :param new: fields of the new targets.
    :return: the gateways, the old targets and the new ones.
    """
    await platform.publish()
    old = await add_targets(platform, OLD, 4, slots=8)
    started = [
        await platform.add_gateway(
            failure_domain=f'zone-{zones[number % len(zones)]}',
            **(settings or {}),
        )
        for number in range(gateways)
    ]
    return started, old, await add_targets(platform, NEW, 4, slots=8, **new)


def runs(targets) -> list:
    """Return the requests that targets ran."""
    return [run for target in targets for run in target.runs]


def ranked(gateways) -> list:
    """Return the gateways that are candidates, the decider first."""
    by_name = {gateway.board.name: gateway for gateway in gateways}
    names = gateways[0].rollouts.exchange.candidates(SERVICE)
    return [by_name[name] for name in names]


async def kill(platform, gateway) -> None:
    """End a gateway as SIGKILL does: its links close, nothing is written."""
    tasks = [
        platform.tasks[gateway],
        *gateway._tasks,
        *gateway.rollouts.publisher._tasks.values(),
    ]
    for task in tasks:
        task.cancel()
    gateway.peer_port.close()
    gateway.network.close()
    gateway.feeds.close()
    await gateway.log.close()
    await asyncio.gather(*tasks, return_exceptions=True)
    platform.tasks[gateway] = asyncio.create_task(asyncio.sleep(0))
