"""The gateway's side of one shard: to whom its share is lent."""

import collections.abc
import dataclasses

from dragonflyslip_core.quotas import bounds as bounds_types

# A lease counts from the owner's last message, so it must be renewed well
# before half of it has passed.
RENEW_S = 0.3
# An owner that has not replied for this long is not asked for a while.
REPLY_TIMEOUT_S = 0.4
AVOID_S = 2.0


@dataclasses.dataclass(frozen=True)
class _Heard:
    """The newest grant of a gateway."""

    number: int
    lease: int
    at: float


class ShardLender:
    """Lends this gateway's share of a shard to one owner at a time.

    After a start the share is treated as lent: an earlier process of this
    gateway may have lent it.

    :ivar owner: the gateway that the share is lent to, or was last.
    :ivar lent_until: when the last lease ends at the latest.
    """

    def __init__(self, now: float):
        self.owner: str | None = None
        self.lent_until = now + bounds_types.LEASE_S
        self.number = 0
        self.heard: dict[str, _Heard] = {}
        self.avoid_until: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}
        self._sent: dict[int, tuple[str, float]] = {}
        # The ask that ends the present lease, 0 if none does.
        self._end_number = 0

    def is_lent(self, now: float) -> bool:
        """Whether an owner may grant from the share, so nobody else may."""
        return now < self.lent_until

    def choose(
        self, ranked: collections.abc.Sequence[str], now: float
    ) -> str | None:
        """Return the gateway that should own the shard, None without one.

        Moves the lease there when the present one has ended.
        """
        for name, since in list(self._unanswered.items()):
            if now - since > REPLY_TIMEOUT_S:
                self.avoid(name, now)
        best = next(
            (n for n in ranked if self.avoid_until.get(n, now) <= now), None
        )
        if best != self.owner and not self.is_lent(now):
            self.owner = best
        return best

    def is_ready(self, name: str, now: float) -> bool:
        """Whether a gateway has replied within the present lease time."""
        heard = self.heard.get(name)
        return heard is not None and now - heard.at < REPLY_TIMEOUT_S

    def begin_ask(self, name: str, lends: bool, now: float) -> tuple[int, int]:
        """Record an ask that is sent now.

        :param lends: whether it lends the share; only to ``owner``.
        :return: the ask's number and lease.
        """
        self.number += 1
        heard = self.heard.get(name)
        lease = 0
        if lends and heard is not None:
            # The owner counts from its grant, which is not newer than the
            # moment at which it arrived here.
            until = heard.at + bounds_types.LEASE_S
            if until > now:
                lease = heard.lease
                self.lent_until = max(self.lent_until, until)
        if name == self.owner:
            self._end_number = 0 if lease else self.number
        self._sent[self.number] = (name, now)
        self._unanswered.setdefault(name, now)
        self.asked_at[name] = now
        self._forget_old(now)
        return self.number, lease

    def end_ask(
        self, name: str, number: int, lease: int, now: float
    ) -> float | None:
        """Record a grant.

        :return: when its ask was sent; None if it is not awaited any more.
        """
        sent = self._sent.pop(number, None)
        if sent is None or sent[0] != name:
            return None
        heard = self.heard.get(name)
        self._unanswered.pop(name, None)
        self.avoid_until.pop(name, None)
        if heard is None or number > heard.number:
            self.heard[name] = _Heard(number, lease, now)
        if number == self._end_number:
            self.lent_until = min(self.lent_until, now)
        return sent[1]

    def avoid(self, name: str, now: float) -> None:
        """Ask other gateways for a while."""
        self.avoid_until[name] = now + AVOID_S
        self._unanswered.pop(name, None)
        self.heard.pop(name, None)

    def _forget_old(self, now: float) -> None:
        for number, (_, sent_at) in list(self._sent.items()):
            if now - sent_at <= bounds_types.LEASE_S:
                break
            del self._sent[number]
