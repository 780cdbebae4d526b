"""Fleet-wide limits that each entry enforces without coordination.

An entry knows roughly how many other entries there are, but not whether it is
partitioned from some of them. Each limit is therefore divided by the number
of planned entries, or by the number recently seen if that is higher.
Limits whose shares depend on an agreement of the entries are divided in
:mod:`dragonflyslip_core.shares`.
"""

import random

from dragonflyslip_core import budgets

# Fraction of the fleet-wide repeat budget that the entries use together.
REPEAT_BUDGET_FRACTION = 0.75
# Fraction of the fleet-wide rate of health probes that the entries use
# together, and the seconds of this rate that an entry may save up: a burst of
# callers needs many health probes at once.
HEALTH_PROBE_RATE_FRACTION = 0.9
HEALTH_PROBE_BURST_S = 20.0
# Health probes that a new entry starts with, as seconds of its rate: it may
# have been restarted during a burst.
HEALTH_PROBE_START_S = 2.0


class RepeatBudget:
    """Budget for retries and hedges of the requests to one service.

    :param ratio: repeats per request, for all entries together.
    :param slack: repeats allowed in addition to ``ratio`` in any time
        window, for all entries together.
    :param entries: number of entries that share the budget.
    """

    def __init__(self, ratio: float, slack: float, entries: int):
        self.ratio = ratio * REPEAT_BUDGET_FRACTION
        self.slack = slack
        self.entries = entries
        self.tokens = self.burst

    @property
    def burst(self) -> float:
        """Repeats that this entry may save up."""
        return max(1.0, REPEAT_BUDGET_FRACTION * self.slack / self.entries)

    def record_request(self) -> None:
        """Record a new request to the service."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one repeat; return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class HealthProbeBudget:
    """Budget for the health probes of one entry to all targets.

    :param rate: health probes a second that one target may receive from
        all entries together.
    :param entries: number of entries that share the rate.
    """

    def __init__(self, rate: float, entries: int):
        self.fleet_rate = HEALTH_PROBE_RATE_FRACTION * rate
        self.entries = entries
        self._bucket = budgets.TokenBucket(0.0, 0.0)

    def take(self, wanted: int, minimum: int, targets: int, now: float) -> int:
        """Take health probes from the budget; return how many it allows.

        :param wanted: health probes that the caller would like to send.
        :param minimum: number that is granted even if the budget is used up.
        :param targets: number of targets of all services.
        :param now: monotonic seconds.
        """
        rate = self.fleet_rate / self.entries * targets
        bucket = self._bucket
        if bucket.updated_at is None:
            bucket.tokens = rate * HEALTH_PROBE_START_S
        bucket.set_rate(rate, now)
        bucket.burst = rate * HEALTH_PROBE_BURST_S
        granted = max(minimum, min(wanted, int(bucket.tokens)))
        # Probes granted beyond the budget are paid back by later refills.
        bucket.tokens = max(bucket.tokens - granted, -bucket.burst)
        return granted


class ColdPacer:
    """Rate limit of requests to cold targets, shared by all entries.

    A cold target has just started and can handle only few requests yet.

    :param entries: number of entries that share the rates.
    """

    def __init__(self, entries: int):
        self.entries = entries
        self._buckets: dict[str, budgets.TokenBucket] = {}

    def take(
        self, target_id: str, cold_rate: float, now: float, rng: random.Random
    ) -> bool:
        """Take one request to a cold target; return whether it may be sent.

        :param cold_rate: requests a second that the target can handle from
            all entries together.
        :param now: monotonic seconds.
        """
        bucket = self._buckets.get(target_id)
        if bucket is None:
            # A random initial level keeps entries from sending all at once.
            bucket = self._buckets[target_id] = budgets.TokenBucket(
                cold_rate / self.entries, 1.0, rng.random(), now
            )
        bucket.set_rate(cold_rate / self.entries, now)
        return bucket.take(1.0, now)

    def forget(self, target_id: str) -> None:
        """Drop the state of a target that was removed."""
        self._buckets.pop(target_id, None)
