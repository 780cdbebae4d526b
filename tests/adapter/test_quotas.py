"""Quotas of client accounts: four gateways over loopback, one store."""

import asyncio
import collections
import types

import pytest

from dragonflyslip_core import names
from dragonflyslip_core import quotas
from dragonflyslip_core.quotas import holdings
from dragonflyslip_entry.gateway.quotas import statistics

KEY = 'key-limited'
FREE_KEY = 'key-free'
RATE = 40
BURST = 10


def _tenants(rate=RATE, name='north'):
    return [
        {
            'name': name,
            'api_keys': [KEY],
            'rate_per_s': rate,
            'burst': BURST,
        },
        {'name': 'free', 'api_keys': [FREE_KEY]},
    ]


def _most(seconds, rate=RATE):
    return (rate * seconds + BURST) * 1.1 + 20


class _Fleet:
    """Four gateways, and callers that send to all of them in turn."""

    def __init__(self, platform, account='north'):
        self.platform = platform
        self.account = account
        self.gateways = []

    async def start(self):
        self.platform.tenants = _tenants(name=self.account)
        await self.platform.publish()
        await self.platform.add_target(slots=50, work_s=0.001)
        await self.platform.start()
        self.gateways.append(self.platform.gateway)
        for _ in range(3):
            self.gateways.append(await self.platform.add_gateway())
        await self.platform.until(
            lambda: all(len(g.network.gateways) == 4 for g in self.gateways)
        )
        shard = quotas.shard_of(self.account)
        await self.platform.until(
            lambda: all(
                shard in g.quotas.limiter.lenders
                and g.quotas.limiter.lenders[shard].heard
                for g in self.gateways
            )
        )
        await asyncio.sleep(1.2)

    def owner(self):
        names = [g.options.name for g in self.gateways]
        shard = quotas.shard_of(self.account)
        name = quotas.rank_owners(shard, names)[0]
        return next(g for g in self.gateways if g.options.name == name)

    async def load(self, rate, seconds, gateways=None, key=KEY):
        """Return the number of responses by status."""
        gateways = gateways or self.gateways
        statuses = collections.Counter()

        async def call(number):
            listen = gateways[number % len(gateways)].options.listen
            reply = await self.platform.call(listen=listen, key=key)
            statuses[reply.status] += 1
            if reply.status == 429:
                assert float(reply.headers['Retry-After']) > 0

        async with asyncio.TaskGroup() as group:
            for number in range(int(rate * seconds)):
                group.create_task(call(number))
                await asyncio.sleep(1 / rate)
        return statuses


@pytest.fixture
async def fleet(platform):
    made = _Fleet(platform)
    await made.start()
    return made


class TestLimits:
    async def test_account_gets_its_rate_through_all_gateways(self, fleet):
        started = fleet.platform.gateway.loop.time()
        statuses = await fleet.load(rate=120, seconds=3)
        seconds = fleet.platform.gateway.loop.time() - started
        assert set(statuses) == {200, 429}
        assert statuses[200] == len(fleet.platform.runs())
        assert RATE * seconds - BURST <= statuses[200] <= _most(seconds)
        free = await fleet.load(rate=100, seconds=0.5, key=FREE_KEY)
        assert set(free) == {200}

    async def test_lowered_limit_takes_effect(self, fleet):
        fleet.platform.tenants = _tenants(rate=10)
        await fleet.platform.publish()
        await fleet.platform.until(
            lambda: all(g.board.manifest.version == 2 for g in fleet.gateways)
        )
        statuses = await fleet.load(rate=100, seconds=2)
        assert statuses[200] <= _most(2.2, rate=10)

    async def test_request_that_did_not_run_keeps_no_token(self, fleet):
        # Guards against a quota that is spent while no target is there.
        for target in fleet.platform.targets:
            await target.close()
        gateway = [fleet.gateways[0]]
        statuses = await fleet.load(60, 0.5, gateway)
        assert 200 not in statuses
        assert statuses[503] + statuses[502] > 0

    async def test_token_is_returned_when_its_key_was_removed(self, fleet):
        # Guards against an exception at the end of a request whose account
        # is not known any more.
        controller = fleet.gateways[0].quotas
        lot = holdings.Lot(0, 0, controller.clock() + 1.0)
        call = types.SimpleNamespace(
            account=None,
            quota_token=quotas.Admitted('north', lot),
            may_have_run=False,
        )
        controller.finish(call)
        assert controller.limiter.tokens_held('north', controller.clock()) == 1


class TestNames:
    @pytest.mark.parametrize('length', [257, names.MAX_TEXT_LENGTH])
    async def test_account_with_a_long_name_is_served(self, platform, length):
        # Guards against a name that the manifest may state and that no
        # message carries: its error ended each gateway that asks for tokens.
        fleet = _Fleet(platform, 'n' * length)
        await fleet.start()
        statuses = await fleet.load(rate=20, seconds=1)
        assert statuses[200] >= 18
        assert not any(task.done() for task in platform.tasks.values())
        assert not any(
            g.board.counters['program_faults'] for g in fleet.gateways
        )


class TestFaults:
    async def test_failing_step_ends_no_gateway(self, fleet):
        # Guards against an exception for one account that ends the task, and
        # with it each gateway, since all have the same accounts.
        def fail(now):
            raise KeyError('unexpected')

        for gateway in fleet.gateways:
            gateway.quotas.limiter.due_asks = fail
        await fleet.platform.until(
            lambda: all(
                g.board.counters['program_faults'] > 1 for g in fleet.gateways
            )
        )
        assert not any(task.done() for task in fleet.platform.tasks.values())
        statuses = await fleet.load(rate=20, seconds=0.5, key=FREE_KEY)
        assert set(statuses) == {200}

    async def test_owner_is_killed(self, fleet):
        owner = fleet.owner()
        others = [g for g in fleet.gateways if g is not owner]
        # As after SIGKILL: its links end and it answers nothing.
        owner.network.close()
        owner.peer_port.close()
        owner.quotas.owner.handle = lambda *arguments: None
        await fleet.load(20, 1.5, others)
        statuses = await fleet.load(20, 1, others)
        assert statuses[200] >= 18

    async def test_partitioned_gateways_stay_within_the_bound(self, fleet):
        owner = fleet.owner()
        other = next(g for g in fleet.gateways if g is not owner)
        for one, two in ((owner, other), (other, owner)):
            name = two.options.name
            send = one.network.send
            one.network.send = lambda to, message, name=name, send=send: (
                to == name or send(to, message)
            )
        started = owner.loop.time()
        statuses = await fleet.load(rate=120, seconds=3)
        seconds = owner.loop.time() - started
        assert statuses[200] <= _most(seconds)
        assert statuses[200] >= 0.5 * RATE * seconds


class TestStatistics:
    def test_series_are_bounded(self):
        counts = statistics.QuotaStatistics()
        for number in range(1_000):
            counts.limited(f'account-{number}')
        listed = counts.largest(counts.limited_totals)
        assert len(listed) == statistics.MAX_ACCOUNTS + 1
        assert sum(count for _, count in listed) == 1_000
