"""Shards of accounts, and the gateways that may own them."""

import collections.abc
import functools
import hashlib

from dragonflyslip_core.accounts import account as account_types

# Few shards keep the renewals of leases few: one ask of each gateway for each
# shard, three times a second.
SHARD_COUNT = 4
# Gateways that may own a shard; further ones are not asked.
OWNER_RANKS = 4


@functools.lru_cache(maxsize=65_536)
def shard_of(account: str) -> int:
    """Return the shard of an account, from its name.

    >>> 0 <= shard_of('north') < SHARD_COUNT
    True
    """
    return _hash(account) % SHARD_COUNT


def rank_owners(
    shard: int, names: collections.abc.Iterable[str]
) -> tuple[str, ...]:
    """Return the first ``OWNER_RANKS`` gateways by rendezvous hashing."""
    key = f'quota/{shard}/'
    ranked = sorted(names, key=lambda name: _hash(key + name), reverse=True)
    return tuple(ranked[:OWNER_RANKS])


class ShardedAccounts:
    """The accounts of a manifest that have a limit.

    :ivar by_name: all of them by name.
    :ivar by_shard: the same by shard; shards without any are left out.
    """

    def __init__(
        self, accounts: collections.abc.Iterable[account_types.Account] = ()
    ):
        self.by_name: dict[str, account_types.Account] = {}
        self.by_shard: dict[int, list[account_types.Account]] = {}
        for account in accounts:
            if account.rate_per_s > 0 and account.name not in self.by_name:
                self.by_name[account.name] = account
                shard = shard_of(account.name)
                self.by_shard.setdefault(shard, []).append(account)


def _hash(text: str) -> int:
    data = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(data)
