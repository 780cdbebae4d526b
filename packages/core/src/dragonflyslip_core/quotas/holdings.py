"""Tokens that a gateway holds for one account, and its demand there."""

import collections
import dataclasses
import math

from dragonflyslip_core.quotas import buckets

# Time over which the demand is averaged.
DEMAND_S = 0.5
# Tokens are asked for ahead of need, for this much time of the demand.
PREFETCH_S = 0.25
# Below this demand, tokens are asked for when a request has arrived. Tokens
# that expire are lost, so asking ahead for few requests wastes the quota.
MIN_PREFETCH_DEMAND_PER_S = 20.0
# A reply that takes longer is not waited for; its tokens are asked for again.
REPLY_S = 0.1
IDLE_S = 10.0
# An account that is short is asked for again after a time within these
# bounds; the owner may get shares or tokens back before it expects them.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.25


@dataclasses.dataclass
class Lot:
    """Tokens of one grant.

    :param lease: that of the grant; 0 for the gateway's own share.
    """

    tokens: int
    lease: int
    expires_at: float


class AccountHoldings:
    """What one gateway knows of one account.

    :ivar waiting: requests that wait for a grant.
    :ivar retry_at: the owner is not asked again before this time.
    :ivar token_at: when the owner had expected to have a token.
    """

    __slots__ = (
        'lots',
        'waiting',
        'retry_at',
        'token_at',
        'own',
        'own_since',
        '_asked',
        '_asked_at',
        '_demand',
        '_demand_at',
    )

    def __init__(self, now: float):
        self.lots: collections.deque[Lot] = collections.deque()
        self.waiting = 0
        self.retry_at = now
        self.token_at = now
        self.own: buckets.QuotaBucket | None = None
        self.own_since = 0.0
        self._asked = 0
        self._asked_at = -math.inf
        self._demand = 0.0
        self._demand_at = now

    def record_request(self, now: float) -> None:
        """Record a request, whether it is admitted or not."""
        self._demand = self.demand_per_s(now) + 1 / DEMAND_S
        self._demand_at = now

    def demand_per_s(self, now: float) -> float:
        """Return the requests per second that arrived recently."""
        age_s = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-age_s / DEMAND_S)

    def is_idle(self, now: float) -> bool:
        """Whether nothing is lost if this object is dropped."""
        return not self.waiting and now - self._demand_at > IDLE_S

    def take(self, now: float) -> Lot | None:
        """Take one token; return its lot, None if there is none."""
        self._drop_expired(now)
        if not self.lots:
            return None
        lot = self.lots[0]
        lot.tokens -= 1
        if not lot.tokens:
            self.lots.popleft()
        return lot

    def add(self, lot: Lot, now: float) -> None:
        """Add the tokens of a grant."""
        self._asked = 0
        if lot.tokens and lot.expires_at > now:
            self.lots.append(lot)

    def record_short(self, retry_after_s: float, now: float) -> None:
        """Record when the owner expects to have a further token."""
        self.token_at = now + retry_after_s
        wait_s = min(max(retry_after_s, MIN_RETRY_S), MAX_RETRY_S)
        self.retry_at = now + wait_s

    def put_back(self, lot: Lot, now: float) -> None:
        """Return a token whose request has not run."""
        if lot.expires_at > now:
            self.lots.appendleft(Lot(1, lot.lease, lot.expires_at))

    def wanted(self, now: float) -> int:
        """Return the number of tokens to ask for now."""
        if now < self.retry_at:
            return 0
        if now - self._asked_at > REPLY_S:
            self._asked = 0
        self._drop_expired(now)
        held = sum(lot.tokens for lot in self.lots) + self._asked
        demand = self.demand_per_s(now)
        target = 0.0
        if demand >= MIN_PREFETCH_DEMAND_PER_S:
            target = PREFETCH_S * demand
        if held >= self.waiting + target / 2:
            return 0
        return math.ceil(self.waiting + target - held)

    def record_ask(self, wanted: int, now: float) -> None:
        """Record that tokens were asked for."""
        if wanted:
            self._asked += wanted
            self._asked_at = now

    def take_unneeded(self, lease: int, now: float) -> int:
        """Remove and return the tokens of a grant that are not needed."""
        if not lease or not self.lots or self.lots[-1].lease != lease:
            return 0
        needed = self.waiting + PREFETCH_S * self.demand_per_s(now)
        held = sum(lot.tokens for lot in self.lots)
        unneeded = min(self.lots[-1].tokens, int(held - needed))
        if unneeded <= 0:
            return 0
        self.lots[-1].tokens -= unneeded
        if not self.lots[-1].tokens:
            self.lots.pop()
        return unneeded

    def _drop_expired(self, now: float) -> None:
        while self.lots and self.lots[0].expires_at <= now:
            self.lots.popleft()
