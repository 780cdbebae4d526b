"""Quotas of client accounts: the bound on requests, in any fault."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from dragonflyslip_core import accounts
from dragonflyslip_core import membership
from dragonflyslip_core import quotas
from dragonflyslip_core.quotas import holdings
from dragonflyslip_entry.gateway import peer_network
from dragonflyslip_testing import quota_fleet
import dragonflyslip_wire as wire


def account(name='a', rate=40.0, burst=10.0):
    return accounts.Account(name, (), rate_per_s=rate, burst=burst)


def most(limit):
    return quotas.QuotaBounds().most(limit.rate_per_s, limit.burst)


def load(fleet, name, rate, seconds, gateways=None):
    """Spread requests of an account over the gateways."""
    names = gateways or list(fleet.gateways)
    for number in range(int(rate * seconds)):
        fleet.request_later(fleet.rng.choice(names), name, number / rate)
    fleet.run(seconds)


class TestFleet:
    def test_account_at_its_rate_is_not_refused(self):
        # Guards against tokens that are lost between gateways.
        fleet = quota_fleet.QuotaFleet(8, [account()])
        fleet.run(3.0)
        load(fleet, 'a', 38, 20)
        assert fleet.refused['a'] <= 0.01 * 38 * 20

    @pytest.mark.parametrize('gateways', [['g0'], None])
    def test_account_above_its_rate_gets_its_rate(self, gateways):
        fleet = quota_fleet.QuotaFleet(8, [account()])
        fleet.run(3.0)
        load(fleet, 'a', 280, 20, gateways)
        expected = 40 * 20
        assert 0.97 * expected <= len(fleet.admitted['a'])
        assert fleet.most_in_window('a') <= most(account())

    def test_first_request_of_an_idle_account_is_admitted(self):
        fleet = quota_fleet.QuotaFleet(4, [account(rate=0.5, burst=1)])
        fleet.run(30.0)
        load(fleet, 'a', 1, 1)
        assert not fleet.refused['a']

    def test_next_rank_takes_over_from_a_killed_owner(self):
        fleet = quota_fleet.QuotaFleet(8, [account()])
        fleet.run(3.0)
        shard = quotas.shard_of('a')
        owner = quotas.rank_owners(shard, fleet.gateways)[0]
        fleet.kill(owner)
        load(fleet, 'a', 20, 1.2)
        refused = fleet.refused['a']
        load(fleet, 'a', 20, 10)
        # 1 of 8 requests reaches the killed gateway and is not counted.
        assert fleet.refused['a'] - refused <= 6

    def test_gateways_without_an_owner_use_their_own_shares(self):
        fleet = quota_fleet.QuotaFleet(4, [account()])
        names = list(fleet.gateways)
        fleet.cut = {(a, b) for a in names for b in names if a != b}
        fleet.run(5.0)
        load(fleet, 'a', 400, 20)
        assert 0.8 * 800 <= len(fleet.admitted['a'])
        assert fleet.most_in_window('a') <= most(account())

    def test_lent_share_is_not_used_before_the_lease_ends(self):
        # Guards against a share that two gateways use.
        fleet = quota_fleet.QuotaFleet(4, [account()])
        fleet.run(3.0)
        names = list(fleet.gateways)
        fleet.cut = {(a, b) for a in names for b in names if a != b}
        shard = quotas.shard_of('a')
        owner = quotas.rank_owners(shard, names)[0]
        others = [name for name in names if name != owner]
        load(fleet, 'a', 400, 0.6, others)
        assert not fleet.admitted['a']


class TestHoldings:
    def test_expired_tokens_are_neither_used_nor_put_back(self):
        held = holdings.AccountHoldings(10.0)
        held.add(holdings.Lot(2, 1, 10.35), 10.1)
        lot = held.take(10.3)
        assert held.take(10.35) is None
        held.put_back(lot, 10.4)
        assert held.take(10.4) is None

    def test_only_tokens_of_the_named_lease_are_returned(self):
        held = holdings.AccountHoldings(10.0)
        held.add(holdings.Lot(2, 1, 10.35), 10.1)
        assert held.take_unneeded(2, 10.1) == 0
        assert held.take_unneeded(1, 10.1) == 2
        assert held.take(10.1) is None


class TestOwner:
    def ask(self, owner, number, lease, now, returned=0):
        ask = quotas.QuotaAsk(
            quotas.shard_of('a'),
            number,
            lease,
            (quotas.AccountAsk('a', 1, returned),),
        )
        return owner.handle(membership.EntryId('g', 1), ask, now)

    def owner(self):
        owner = quotas.QuotaOwner(
            quotas.QuotaBounds(), random.Random(1), 100.0
        )
        owner.accounts = quotas.ShardedAccounts([account(burst=0.0)])
        owner.size.record(1, 100.0)
        return owner

    def test_late_and_older_asks_lend_nothing(self):
        owner = self.owner()
        lease = self.ask(owner, 1, 0, 100.0).lease
        late = self.ask(owner, 2, lease, 101.1)
        assert late.accounts[0].granted == 0
        assert self.ask(owner, 1, late.lease, 101.2) is None
        self.ask(owner, 3, late.lease, 101.2)
        grant = self.ask(owner, 4, 0, 101.4)
        assert grant.accounts[0].granted == 1
        assert self.ask(owner, 5, 0, 101.5).accounts[0].granted == 0

    def test_lease_of_another_process_lends_nothing(self):
        lease = self.ask(self.owner(), 1, 0, 100.0).lease
        other = quotas.QuotaOwner(
            quotas.QuotaBounds(), random.Random(2), 100.0
        )
        other.accounts = quotas.ShardedAccounts([account()])
        other.size.record(1, 100.0)
        self.ask(other, 1, lease, 100.1)
        assert self.ask(other, 2, lease, 100.5).accounts[0].granted == 0

    def test_short_grant_says_when_a_token_is_free(self):
        owner = self.owner()
        lease = self.ask(owner, 1, 0, 100.0).lease
        self.ask(owner, 2, lease, 100.0)
        grant = self.ask(owner, 3, lease, 100.0205)
        expected = (1 - 40 * 0.0205) / 40
        assert grant.accounts[0].retry_after_s == pytest.approx(expected)


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Any faults, and an account that always wants seven times its rate."""

    names = strategies.sampled_from([f'g{number}' for number in range(5)])
    # Seconds of load after a fault.
    moments = strategies.sampled_from([0.0, 0.7, 1.4])

    @stateful.initialize(
        seed=strategies.integers(0, 1_000),
        # A large burst shows buckets that are counted twice, a high rate
        # without one shows leases that are.
        limit=strategies.sampled_from([(40.0, 300.0), (300.0, 0.0), (5, 9)]),
    )
    def start(self, seed, limit):
        self.limit = account(rate=limit[0], burst=limit[1])
        self.loosest = most(self.limit)
        self.fleet = quota_fleet.QuotaFleet(5, [self.limit], seed)
        self.lowered_at = None
        self.fleet.run(9.0)

    def owner(self, rank):
        ranked = quotas.rank_owners(quotas.shard_of('a'), self.fleet.gateways)
        return ranked[rank]

    def load(self, seconds):
        """Let the account want much more than its rate everywhere."""
        load(self.fleet, 'a', 400 + 2 * self.limit.rate_per_s, seconds)

    @stateful.rule(idle=strategies.sampled_from([0.3, 1.1, 8.0]), load=moments)
    def idle(self, idle, load):
        self.fleet.run(idle)
        self.load(load)

    @stateful.rule(rank=strategies.integers(0, 2), load=moments)
    def kill_or_restart(self, rank, load):
        name = self.owner(rank)
        if self.fleet.gateways[name].is_up:
            self.fleet.kill(name)
        else:
            self.fleet.start(name)
        self.load(load)

    @stateful.rule(load=moments)
    def restart_all(self, load):
        for name in list(self.fleet.gateways):
            self.fleet.kill(name)
            self.fleet.start(name)
        self.load(load)

    @stateful.rule(rank=strategies.integers(0, 2), load=moments)
    def freeze_or_resume(self, rank, load):
        name = self.owner(rank)
        if self.fleet.gateways[name].is_frozen:
            self.fleet.resume(name)
        else:
            self.fleet.freeze(name)
        self.load(load)

    @stateful.rule(
        rank=strategies.integers(0, 1),
        others=strategies.sets(names, max_size=3),
        both=strategies.booleans(),
        load=moments,
    )
    def partition(self, rank, others, both, load):
        group = {self.owner(rank), *others}
        for one in group:
            for other in set(self.fleet.gateways) - group:
                self.fleet.cut.add((one, other))
                if both:
                    self.fleet.cut.add((other, one))
        self.load(load)

    @stateful.rule(load=moments)
    def heal(self, load):
        self.fleet.cut.clear()
        self.fleet.delays.clear()
        self.fleet.loss = 0.0
        self.load(load)

    @stateful.rule(
        name=names,
        delay_s=strategies.sampled_from([0.04, 0.3, 0.9, 1.5]),
        load=moments,
    )
    def delay(self, name, delay_s, load):
        self.fleet.delays[name] = delay_s
        self.load(load)

    @stateful.rule(load=moments)
    def lose_messages(self, load):
        self.fleet.loss = 0.3
        self.load(load)

    @stateful.rule(load=moments)
    def add_or_remove_gateways(self, load):
        for name in ('g5', 'g6'):
            if name in self.fleet.gateways:
                self.fleet.remove(name)
            else:
                self.fleet.start(name)
        self.fleet.register()
        self.load(load)

    @stateful.precondition(lambda self: self.limit.rate_per_s > 10)
    @stateful.rule()
    def lower_limit(self):
        self.limit = account(rate=self.limit.rate_per_s / 2, burst=5.0)
        self.fleet.set_limit(self.limit)
        self.lowered_at = self.fleet.now

    @stateful.invariant()
    def requests_stay_within_the_bound(self):
        fleet = self.fleet
        assert fleet.most_in_window('a') <= self.loosest
        if self.lowered_at is not None:
            since = self.lowered_at + fleet.bounds.window_s
            fleet.admitted['a'] = [
                at
                for at in fleet.admitted['a']
                if at > min(since, fleet.now - fleet.bounds.window_s)
            ]
            if fleet.now > since + fleet.bounds.window_s:
                assert fleet.most_in_window('a') <= most(self.limit)


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestAsks:
    def test_many_accounts_with_long_names_all_get_tokens(self, monkeypatch):
        # Guards against an ask or a grant that is too long for a message
        # because many accounts want tokens at once: it was never sent.
        listed = [
            account(f'{number:04}' + 'n' * 296, rate=5.0, burst=5.0)
            for number in range(2_400)
        ]
        fleet = quota_fleet.QuotaFleet(2, listed)
        lengths = []
        transmit = fleet._transmit

        def record(sender, name, event, message):
            lengths.append(len(wire.encode_frame(message)))
            transmit(sender, name, event, message)

        monkeypatch.setattr(fleet, '_transmit', record)
        fleet.run(3.0)
        for known in listed:
            fleet.request_later('g0', known.name, 0.0)
        fleet.run(1.0)
        assert max(lengths) <= peer_network.MAX_LINK_UNSENT_BYTES
        assert len(fleet.admitted) == len(listed)
