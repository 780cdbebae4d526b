"""The owner's side: shares lent by gateways, and grants from buckets."""

import dataclasses
import random

from dragonflyslip_core.accounts import account as account_types
from dragonflyslip_core import membership
from dragonflyslip_core.quotas import bounds as bounds_types
from dragonflyslip_core.quotas import buckets
from dragonflyslip_core.quotas import fleet_size
from dragonflyslip_core.quotas import messages
from dragonflyslip_core.quotas import shards

# Leases are counted anew at most this often, so that the cost of an ask does
# not depend on the number of gateways.
RECOUNT_S = 0.02
# Leases of another process are recognized by a time that this clock has not.
_LEASE_BITS = 62
_LEASE_UNITS_PER_S = 1_000


@dataclasses.dataclass
class _Lender:
    """A gateway that has lent its share of a shard, or ended its lease.

    :param counted_to: time up to which its share is in the integral.
    """

    incarnation: int
    number: int
    heard_at: float
    expires_at: float
    counted_to: float

    def settle(self, now: float) -> float:
        """Return the seconds of its lease that were not yet counted."""
        seconds = max(0.0, min(now, self.expires_at) - self.counted_to)
        self.counted_to = now
        return seconds


class _OwnedShard:
    """The shares and buckets of one shard.

    :ivar share: part of the quotas that is lent now, 0 to 1.
    :ivar share_s: integral of the share over time, in seconds.
    """

    def __init__(self):
        self.lenders: dict[str, _Lender] = {}
        self.buckets: dict[str, buckets.QuotaBucket] = {}
        self.share = 0.0
        self.share_s = 0.0
        self.counted_at = -1.0

    def recount(self, now: float, size: int) -> bool:
        """Count the leases; return whether the share has become smaller."""
        seconds = sum(lender.settle(now) for lender in self.lenders.values())
        live = sum(lender.expires_at > now for lender in self.lenders.values())
        self.share_s += seconds / max(size, live, 1)
        before, self.share = self.share, live / max(size, live, 1)
        self.counted_at = now
        for name, lender in list(self.lenders.items()):
            if now - lender.heard_at > bounds_types.LEASE_S:
                del self.lenders[name]
        return self.share < before

    def lend(
        self,
        sender: membership.EntryId,
        number: int,
        expires_at: float,
        now: float,
        size: int,
    ) -> bool:
        """Take or end a lease; return False if a newer ask was handled."""
        known = self.lenders.get(sender.name)
        if known is not None:
            is_same = known.incarnation == sender.incarnation
            if is_same and number <= known.number:
                return False
            self.share_s += known.settle(now) / max(size, 1)
        self.lenders[sender.name] = _Lender(
            sender.incarnation, number, now, expires_at, now
        )
        return True


class QuotaOwner:
    """Grants tokens from the shares that gateways have lent to this one.

    :param rng: chooses the numbers of leases, and random admissions.
    :param now: time of the start.
    :ivar accounts: the accounts of the manifest in force.
    :ivar size: follows the number of registered gateways.
    """

    def __init__(
        self, bounds: bounds_types.QuotaBounds, rng: random.Random, now: float
    ):
        self.bounds = bounds
        self.rng = rng
        self.accounts = shards.ShardedAccounts()
        self.size = fleet_size.RegisteredSize(bounds.window_s)
        self._first_lease = rng.getrandbits(_LEASE_BITS) + 1
        self._started_at = now
        self._shards: dict[int, _OwnedShard] = {}

    def handle(
        self, sender: membership.EntryId, ask: messages.QuotaAsk, now: float
    ) -> messages.QuotaGrant | None:
        """Return the reply to an ask, None if a newer one was handled."""
        shard = self._shards.setdefault(ask.shard, _OwnedShard())
        size = self.size.at(now)
        if now - shard.counted_at >= RECOUNT_S:
            self._recount(ask.shard, shard, size, now)
        age_s = self._lease_age_s(ask.lease, now)
        is_valid = ask.lease != 0 and 0 <= age_s < bounds_types.LEASE_S
        expires_at = now - age_s + bounds_types.LEASE_S if is_valid else now
        if not shard.lend(sender, ask.number, expires_at, now, size):
            return None
        may_return = is_valid and age_s <= self.bounds.token_life_s
        return messages.QuotaGrant(
            ask.shard,
            ask.number,
            self._lease(now),
            tuple(
                self._grant(shard, account_ask, may_return)
                for account_ask in ask.accounts
            ),
        )

    def _recount(
        self, number: int, shard: _OwnedShard, size: int, now: float
    ) -> None:
        shrank = shard.recount(now, size)
        if shard.share == 0:
            shard.buckets.clear()
            shard.share_s = 0.0
        elif shrank:
            # What was saved for shares that have left is dropped at once:
            # their gateways may save it elsewhere and come back.
            for account in self.accounts.by_shard.get(number, ()):
                self._filled(shard, account)

    def _filled(
        self, shard: _OwnedShard, account: account_types.Account
    ) -> buckets.QuotaBucket:
        bucket = shard.buckets.get(account.name)
        if bucket is None:
            # Empty when the shard's first lease began.
            bucket = shard.buckets[account.name] = buckets.QuotaBucket()
        bucket.fill(account, self.bounds, shard.share_s, shard.share)
        return bucket

    def _grant(
        self,
        shard: _OwnedShard,
        ask: messages.AccountAsk,
        may_return: bool,
    ) -> messages.AccountGrant:
        account = self.accounts.by_name.get(ask.account)
        if account is None:
            # The manifest in force here is another one.
            wait_s = buckets.NO_SHARE_RETRY_S if ask.wanted else 0.0
            return messages.AccountGrant(ask.account, 0, wait_s)
        bucket = self._filled(shard, account)
        if may_return:
            bucket.put_back(ask.returned)
        granted = bucket.take(ask.wanted, self.rng)
        short = ask.wanted - granted
        return messages.AccountGrant(
            ask.account, granted, bucket.wait_s(1.0) if short > 0 else 0.0
        )

    def _lease(self, now: float) -> int:
        elapsed = int((now - self._started_at) * _LEASE_UNITS_PER_S)
        return self._first_lease + elapsed

    def _lease_age_s(self, lease: int, now: float) -> float:
        begun = (lease - self._first_lease) / _LEASE_UNITS_PER_S
        return now - self._started_at - begun
