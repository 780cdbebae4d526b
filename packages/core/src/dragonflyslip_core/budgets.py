"""Token bucket, for one entry's share of a fleet-wide rate limit."""

import dataclasses


@dataclasses.dataclass
class TokenBucket:
    """Allows ``rate`` units a second with bursts of up to ``burst`` units.

    The bucket starts empty, so that restarts or many new buckets at once
    never exceed the rate.

    :param rate: units a second.
    :param burst: units that the bucket holds at most.
    :param tokens: units that are available.
    :param updated_at: time of the last refill in monotonic seconds, None
        before the first one.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> bucket.take(1.0, now=0.0), bucket.take(1.0, now=0.5)
    (False, True)
    """

    rate: float
    burst: float
    tokens: float = 0.0
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the units accrued until ``now`` (monotonic seconds)."""
        if self.updated_at is not None and now > self.updated_at:
            accrued = (now - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + accrued)
        if self.updated_at is None or now > self.updated_at:
            self.updated_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from ``now`` on; available tokens are kept."""
        self.refill(now)
        self.rate = rate

    def take(self, amount: float, now: float) -> bool:
        """Take ``amount`` units if they are available.

        :return: whether the units were taken; otherwise nothing changes.
        """
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def delay(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` units are available.

        Infinite if they never will be.
        """
        self.refill(now)
        if self.tokens >= amount:
            return 0.0
        if self.rate <= 0.0 or amount > self.burst:
            return float('inf')
        return (amount - self.tokens) / self.rate
