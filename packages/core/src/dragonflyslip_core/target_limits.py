"""Limits that targets state for the requests of all entries together.

A share of a low limit for each entry would be less than one request in many
seconds, and the sum of what the entries may send at once would exceed the
limit. Only a few entries, the holders, therefore send requests to a target
that states a limit. They are chosen by rendezvous hashing from the entries
that are registered, so all entries agree on them without talking to each
other, and few change when an entry joins or leaves.
"""

import dataclasses
import enum
import random

from dragonflyslip_core import budgets
from dragonflyslip_core import placement

# Holders of a target: these and one for each whole request a second, so that
# the requests that all holders may send at once stay few beside the limit.
MIN_HOLDERS = 2
# What a holder may save up beside one request, as seconds of its rate.
BURST_S = 0.5
# A target that this entry may not use now is probed again after this time, to
# learn whether its limit has changed.
REFRESH_S = 1.0
# A limit that was not stated again for this time has ended.
MEMORY_S = 10.0


class Source(enum.Enum):
    """The kind of response that states a limit."""

    HEALTH = 'health'
    REQUEST = 'request'


@dataclasses.dataclass
class _Stated:
    """The limit of one target.

    :param limit: requests a second.
    :param sources: the kinds of responses that have stated it. It ends with a
        response of such a kind that lacks it, since a target may state it in
        one kind only.
    :param stated_at: when it was last stated.
    :param bucket: requests that this entry may send.
    """

    limit: float
    sources: set[Source]
    stated_at: float
    bucket: budgets.TokenBucket


class TargetLimits:
    """Decides which requests this entry may send to targets with a limit.

    All points in time are monotonic seconds.

    :param entry: name of this entry.
    :ivar entries: names of the registered entries.
    """

    def __init__(self, entry: str, rng: random.Random):
        self.entry = entry
        self.rng = rng
        self.entries: frozenset[str] = frozenset()
        self._stated: dict[str, _Stated] = {}
        # Ranks of this entry among the entries, by target id.
        self._ranks: dict[str, int] = {}

    @property
    def has_any(self) -> bool:
        """Whether any target states a limit."""
        return bool(self._stated)

    def set_entries(self, entries: frozenset[str]) -> None:
        """Set the names of the registered entries."""
        if entries != self.entries:
            self.entries = entries
            self._ranks.clear()

    def record(
        self, target_id: str, limit: float | None, source: Source, now: float
    ) -> bool:
        """Record what a response of a target states.

        :param limit: requests a second, None if it states no limit.
        :return: whether a limit begins or ends.
        """
        stated = self._stated.get(target_id)
        if limit is None:
            if stated is None or source not in stated.sources:
                return False
            del self._stated[target_id]
            return True
        if stated is not None:
            stated.limit = limit
            stated.sources.add(source)
            stated.stated_at = now
            return False
        # A random level keeps holders from sending at the same moment.
        bucket = budgets.TokenBucket(0.0, 1.0, self.rng.random(), now)
        self._stated[target_id] = _Stated(limit, {source}, now, bucket)
        return True

    def limit(self, target_id: str, now: float) -> float | None:
        """Return the requests a second that a target states, if it does."""
        stated = self._stated.get(target_id)
        if stated is None:
            return None
        if now - stated.stated_at >= MEMORY_S:
            del self._stated[target_id]
            return None
        return stated.limit

    def allows(self, target_id: str, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        bucket = self._refilled_bucket(target_id, now)
        return bucket is None or bucket.tokens >= 1.0

    def take(self, target_id: str, now: float) -> bool:
        """Count one request to a target; return whether it may be sent."""
        bucket = self._refilled_bucket(target_id, now)
        return bucket is None or bucket.take(1.0, now)

    def age_s(self, target_id: str, now: float) -> float:
        """Return the seconds since a target last stated its limit.

        Infinite if it states none.
        """
        stated = self._stated.get(target_id)
        return float('inf') if stated is None else now - stated.stated_at

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that is gone."""
        self._stated.pop(target_id, None)
        self._ranks.pop(target_id, None)

    def _refilled_bucket(
        self, target_id: str, now: float
    ) -> budgets.TokenBucket | None:
        """Return the bucket of a target, None if it states no limit."""
        limit = self.limit(target_id, now)
        if limit is None:
            return None
        bucket = self._stated[target_id].bucket
        holders = min(MIN_HOLDERS + int(limit), len(self.entries))
        if self._rank(target_id) < holders:
            bucket.set_rate(limit / holders, now)
            bucket.burst = 1.0 + BURST_S * bucket.rate
        else:
            bucket.set_rate(0.0, now)
            bucket.tokens = 0.0
        return bucket

    def _rank(self, target_id: str) -> int:
        """Return how many entries come before this one at a target."""
        rank = self._ranks.get(target_id)
        if rank is None:
            own = placement.rendezvous_hash(self.entry, target_id)
            rank = sum(
                placement.rendezvous_hash(name, target_id) < own
                for name in self.entries
            )
            if self.entry not in self.entries:
                rank = len(self.entries)
            self._ranks[target_id] = rank
        return rank
