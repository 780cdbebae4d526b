"""Tokens of one account that were neither granted nor used."""

import random

from dragonflyslip_core.accounts import account as account_types
from dragonflyslip_core.quotas import bounds as bounds_types

# Retry-After while no share is lent, as after a change of owner.
NO_SHARE_RETRY_S = 0.1


class QuotaBucket:
    """A bucket that fills at the account's rate for the shares it has.

    It starts empty. A bucket that can hold a whole token grants whole ones
    only. A smaller one admits at random: with x tokens one request is granted
    with probability x, and the x tokens are spent in either case. Otherwise a
    fleet of small buckets would save up one token in each.

    :param share_s: reading of the integral of shares over time, in seconds,
        from which it fills.
    """

    __slots__ = ('tokens', 'share_s', 'capacity', 'rate_per_s')

    def __init__(self, share_s: float = 0.0):
        self.tokens = 0.0
        self.share_s = share_s
        self.capacity = 0.0
        self.rate_per_s = 0.0

    def fill(
        self,
        account: account_types.Account,
        bounds: bounds_types.QuotaBounds,
        share_s: float,
        share: float,
    ) -> None:
        """Add what has flowed in, and drop what exceeds the capacity.

        :param share_s: present reading of the integral.
        :param share: the part of the quota that it has now, 0 to 1.
        """
        self.capacity = share * bounds.saved(account.rate_per_s, account.burst)
        part = 1.0 if self.capacity >= 1 else bounds_types.RANDOM_PART
        self.rate_per_s = part * account.rate_per_s * share
        inflow = part * account.rate_per_s * (share_s - self.share_s)
        self.share_s = share_s
        self.tokens = min(self.capacity, self.tokens + inflow)

    def put_back(self, tokens: float) -> None:
        """Add tokens that were not used."""
        self.tokens = min(self.capacity, self.tokens + tokens)

    def take(self, wanted: int, rng: random.Random) -> int:
        """Return how many of the wanted tokens are granted."""
        if wanted < 1:
            return 0
        if self.capacity >= 1:
            granted = min(wanted, int(self.tokens))
            self.tokens -= granted
            return granted
        granted = int(rng.random() < self.tokens)
        self.tokens = 0.0
        return granted

    def wait_s(self, tokens: float = 1.0) -> float:
        """Return the seconds until it holds a number of tokens."""
        if self.rate_per_s <= 0:
            return NO_SHARE_RETRY_S
        return max(0.0, tokens - self.tokens) / self.rate_per_s
