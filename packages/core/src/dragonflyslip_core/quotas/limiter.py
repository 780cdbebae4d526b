"""The gateway's side: which requests are admitted, and what it asks for."""

import collections.abc
import dataclasses
import random

from dragonflyslip_core.accounts import account as account_types
from dragonflyslip_core.quotas import bounds as bounds_types
from dragonflyslip_core.quotas import buckets
from dragonflyslip_core.quotas import fleet_size
from dragonflyslip_core.quotas import holdings
from dragonflyslip_core.quotas import lender as lender_types
from dragonflyslip_core.quotas import messages
from dragonflyslip_core.quotas import shards

# Shortest time between two asks for tokens of a shard.
ASK_SPACING_S = 0.01
# Accounts of one ask. With the longest names it is still short enough to be
# sent at once; the others are asked for in the next one.
MAX_ASKED_ACCOUNTS = 256
# Shortest Retry-After.
MIN_RETRY_AFTER_S = 0.02
# Retry-After when neither the owner nor the own share gives a time.
NO_OWNER_RETRY_S = 0.25


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may run.

    :param account: the account that pays; the key of the request may belong
        to another one when it ends.
    :param lot: where its token came from.
    """

    account: str
    lot: holdings.Lot


@dataclasses.dataclass(frozen=True)
class Limited:
    """The request must not run.

    :param retry_after_s: seconds until the caller may try again.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Waiting:
    """The owner is asked; the request may wait for its reply."""


@dataclasses.dataclass(frozen=True)
class OutgoingAsk:
    """An ask and the name of the gateway that gets it."""

    owner: str
    ask: messages.QuotaAsk


class QuotaLimiter:
    """Admits the requests of accounts with a limit at one gateway.

    :param now: time of the start.
    """

    def __init__(
        self, bounds: bounds_types.QuotaBounds, rng: random.Random, now: float
    ):
        self.bounds = bounds
        self.rng = rng
        self.started_at = now
        self.accounts = shards.ShardedAccounts()
        self.size = fleet_size.RegisteredSize(bounds.window_s)
        self.lenders: dict[int, lender_types.ShardLender] = {}
        self.holdings: dict[str, holdings.AccountHoldings] = {}
        self._ranked: dict[int, tuple[str, ...]] = {}
        self._active: dict[int, set[str]] = {}

    def set_gateways(
        self, names: collections.abc.Collection[str], now: float
    ) -> None:
        """Apply the names of the registered gateways."""
        self.size.record(len(names), now)
        self._ranked = {
            shard: shards.rank_owners(shard, names)
            for shard in range(shards.SHARD_COUNT)
        }

    def admit(
        self, account: account_types.Account, now: float, may_wait: bool = True
    ) -> Admitted | Limited | Waiting:
        """Decide on a request.

        :param may_wait: whether it has not yet waited for the owner. After
            :class:`Waiting` the caller must call :meth:`end_wait`.
        """
        held = self.holdings_of(account.name, now)
        if may_wait:
            held.record_request(now)
        lot = held.take(now)
        if lot is not None:
            return Admitted(account.name, lot)
        if now < held.retry_at:
            return self._limited(held.token_at - now)
        shard = shards.shard_of(account.name)
        lender = self._lender_of(shard)
        target = self._target(lender, shard, now)
        if may_wait and target is not None:
            held.waiting += 1
            return Waiting()
        if lender.is_lent(now):
            return self._limited(NO_OWNER_RETRY_S)
        return self._admit_from_own_share(account, held, lender, now)

    def tokens_held(self, name: str, now: float) -> int:
        """Return the tokens that are held for an account."""
        held = self.holdings_of(name, now)
        return sum(lot.tokens for lot in held.lots if lot.expires_at > now)

    def is_short(self, name: str, now: float) -> bool:
        """Whether the owner has just granted less than was wanted."""
        return now < self.holdings_of(name, now).retry_at

    def is_answered(self, name: str, now: float) -> bool:
        """Whether a request of an account has no more to wait for."""
        return self.tokens_held(name, now) > 0 or self.is_short(name, now)

    def end_wait(self, account: account_types.Account, now: float) -> None:
        """Record that a request does not wait any more."""
        self.holdings_of(account.name, now).waiting -= 1

    def put_back(self, admitted: Admitted, now: float) -> None:
        """Return the token of a request that no target ran."""
        held = self.holdings_of(admitted.account, now)
        held.put_back(admitted.lot, now)

    def due_asks(self, now: float) -> list[OutgoingAsk]:
        """Return the asks to be sent now."""
        asks: list[OutgoingAsk] = []
        for shard in self.accounts.by_shard:
            asks += self.due_asks_of(shard, now)
        return asks

    def due_asks_of(self, shard: int, now: float) -> list[OutgoingAsk]:
        """Return the asks for one shard to be sent now."""
        lender = self._lender_of(shard)
        best = lender.choose(self._ranked.get(shard, ()), now)
        target = self._target(lender, shard, now)
        # By gateway, whether the ask lends the share.
        receivers: dict[str, bool] = {}
        if best is not None:
            receivers[best] = best == lender.owner
        if best != lender.owner and self._is_usable(lender, shard, now):
            receivers[lender.owner] = target == lender.owner
        asks = []
        for name, lends in receivers.items():
            ask = self._ask(lender, shard, name, lends, name == target, now)
            if ask is not None:
                asks.append(OutgoingAsk(name, ask))
        return asks

    def unsent(self, shard: int, name: str, now: float) -> None:
        """Record that an ask could not be sent."""
        self._lender_of(shard).avoid(name, now)

    def apply(
        self, sender: str, grant: messages.QuotaGrant, now: float
    ) -> None:
        """Apply the reply to an ask."""
        lender = self._lender_of(grant.shard)
        asked_at = lender.end_ask(sender, grant.number, grant.lease, now)
        if asked_at is None:
            return
        # The owner granted them after the ask was sent.
        expires_at = asked_at + self.bounds.token_life_s
        for item in grant.accounts:
            held = self.holdings.get(item.account)
            if held is None:
                continue
            held.add(holdings.Lot(item.granted, grant.lease, expires_at), now)
            if item.retry_after_s > 0:
                held.record_short(item.retry_after_s, now)

    def drop_idle(self, now: float) -> None:
        """Drop the state of accounts without requests."""
        for name, held in list(self.holdings.items()):
            if held.is_idle(now):
                del self.holdings[name]
                self._active[shards.shard_of(name)].discard(name)

    def holdings_of(self, name: str, now: float) -> holdings.AccountHoldings:
        """Return the state of an account, created at first use."""
        held = self.holdings.get(name)
        if held is None:
            held = self.holdings[name] = holdings.AccountHoldings(now)
            self._active.setdefault(shards.shard_of(name), set()).add(name)
        return held

    def _lender_of(self, shard: int) -> lender_types.ShardLender:
        lender = self.lenders.get(shard)
        if lender is None:
            lender = lender_types.ShardLender(self.started_at)
            self.lenders[shard] = lender
        return lender

    def _is_usable(
        self, lender: lender_types.ShardLender, shard: int, now: float
    ) -> bool:
        """Whether the present owner may be asked."""
        return (
            lender.owner in self._ranked.get(shard, ())
            and lender.avoid_until.get(lender.owner, now) <= now
        )

    def _target(
        self, lender: lender_types.ShardLender, shard: int, now: float
    ) -> str | None:
        """Return the gateway to be asked for tokens, None without one."""
        best = lender.choose(self._ranked.get(shard, ()), now)
        if best is not None and lender.is_ready(best, now):
            return best
        if self._is_usable(lender, shard, now) and lender.is_lent(now):
            return lender.owner
        return None

    def _ask(
        self,
        lender: lender_types.ShardLender,
        shard: int,
        name: str,
        lends: bool,
        is_target: bool,
        now: float,
    ) -> messages.QuotaAsk | None:
        since_s = now - lender.asked_at.get(name, -lender_types.RENEW_S)
        is_due = since_s >= lender_types.RENEW_S
        if not is_due and (not is_target or since_s < ASK_SPACING_S):
            return None
        wants: dict[str, int] = {}
        if is_target:
            for account in self._active.get(shard, ()):
                if len(wants) == MAX_ASKED_ACCOUNTS:
                    break
                wanted = self.holdings[account].wanted(now)
                if wanted:
                    wants[account] = wanted
        if not is_due and not wants:
            return None
        number, lease = lender.begin_ask(name, lends, now)
        returns: dict[str, int] = {}
        named = set(wants)
        for account in self._active.get(shard, ()):
            if len(named) == MAX_ASKED_ACCOUNTS:
                break
            unneeded = self.holdings[account].take_unneeded(lease, now)
            if unneeded:
                returns[account] = unneeded
                named.add(account)
        for account, wanted in wants.items():
            self.holdings[account].record_ask(wanted, now)
        return messages.QuotaAsk(
            shard,
            number,
            lease,
            tuple(
                messages.AccountAsk(
                    account, wants.get(account, 0), returns.get(account, 0)
                )
                for account in sorted(named)
            ),
        )

    def _admit_from_own_share(
        self,
        account: account_types.Account,
        held: holdings.AccountHoldings,
        lender: lender_types.ShardLender,
        now: float,
    ) -> Admitted | Limited:
        size = self.size.at(now)
        if size == 0:
            return self._limited(NO_OWNER_RETRY_S)
        if held.own is None or held.own_since != lender.lent_until:
            held.own = buckets.QuotaBucket()
            held.own_since = lender.lent_until
        share_s = (now - lender.lent_until) / size
        held.own.fill(account, self.bounds, share_s, 1 / size)
        if held.own.take(1, self.rng):
            expires_at = now + self.bounds.token_life_s
            return Admitted(account.name, holdings.Lot(0, 0, expires_at))
        return self._limited(min(held.own.wait_s(), NO_OWNER_RETRY_S))

    def _limited(self, left_s: float) -> Limited:
        # Callers that were refused together come back one after the other.
        left_s = max(MIN_RETRY_AFTER_S, left_s)
        return Limited(left_s * (1 + self.rng.random()))
