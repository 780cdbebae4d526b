"""Probes of the targets' load endpoints and their budget."""

import collections
import dataclasses
import typing

from dragonflyslip_core import budgets
from dragonflyslip_core import targets


class ProbeBudget:
    """An entry's share of the probe budget of one service.

    Each probe takes from three token buckets: one for its target, one for
    the fleet and one for bytes. Buckets start empty and hold at most one
    probe, so that all entries together send at most ``rate * seconds`` plus
    one probe per entry in any interval.

    :param rate_per_target: probes per second to one target, by all entries.
    :param rate_fleet: probes per second to the service, by all entries.
    :param bytes_per_s: bytes per second of probes, by all entries.
    :param probe_bytes: upper bound of the bytes of one probe and its
        response; the sender must not read beyond it.
    """

    def __init__(
        self,
        rate_per_target: float,
        rate_fleet: float,
        bytes_per_s: float,
        probe_bytes: int,
    ):
        self.rate_per_target = rate_per_target
        self.rate_fleet = rate_fleet
        self.bytes_per_s = bytes_per_s
        self.probe_bytes = probe_bytes
        self.share = 0.0
        self.fleet = budgets.TokenBucket(0.0, 1.0)
        self.bytes = budgets.TokenBucket(0.0, float(probe_bytes))
        self.by_target: dict[str, budgets.TokenBucket] = {}

    def set_share(self, share: float, now: float) -> None:
        """Set this entry's fraction of the budget, 0 to 1, from ``now`` on."""
        self.share = share
        self.fleet.set_rate(share * self.rate_fleet, now)
        self.bytes.set_rate(share * self.bytes_per_s, now)
        for bucket in self.by_target.values():
            bucket.set_rate(share * self.rate_per_target, now)

    def can_take(self, target_id: str, now: float) -> bool:
        """Return whether a probe of the target is within the budget."""
        # The target's bucket must be checked first: it is created, and
        # starts to fill, on first access.
        return (
            self._bucket(target_id, now).delay(1.0, now) == 0.0
            and self.fleet.delay(1.0, now) == 0.0
            and self.bytes.delay(self.probe_bytes, now) == 0.0
        )

    def take(self, target_id: str, now: float) -> bool:
        """Take one probe from all three buckets, or from none.

        :return: whether the probe may be sent.
        """
        if not self.can_take(target_id, now):
            return False
        self.fleet.take(1.0, now)
        self.bytes.take(self.probe_bytes, now)
        return self._bucket(target_id, now).take(1.0, now)

    def forget(self, target_id: str) -> None:
        """Drop the bucket of a target that no longer exists."""
        self.by_target.pop(target_id, None)

    def _bucket(self, target_id, now):
        bucket = self.by_target.get(target_id)
        if bucket is None:
            rate = self.share * self.rate_per_target
            bucket = budgets.TokenBucket(rate, 1.0)
            bucket.refill(now)
            self.by_target[target_id] = bucket
        return bucket


class ProbeSchedule:
    """Chooses the next target to probe.

    Suspected targets come first, since only a probe can clear them without
    risking a request; then the target whose last report or probe is oldest.
    """

    def __init__(self, budget: ProbeBudget):
        self.budget = budget
        self.probed_at: dict[str, float] = {}

    def next_target(
        self, candidates: typing.Sequence[targets.TargetState], now: float
    ) -> targets.Target | None:
        """Take one probe from the budget and return the target to probe.

        :return: None while the budget allows no probe.
        """
        never = float('-inf')
        ordered = sorted(
            candidates,
            key=lambda state: (
                not state.suspected,
                max(
                    state.reported_at,
                    self.probed_at.get(state.target.instance_id, never),
                ),
            ),
        )
        for state in ordered:
            target_id = state.target.instance_id
            if self.budget.take(target_id, now):
                self.probed_at[target_id] = now
                return state.target
        return None

    def forget(self, target_id: str) -> None:
        """Drop what is kept about a target that no longer exists."""
        self.probed_at.pop(target_id, None)
        self.budget.forget(target_id)


@dataclasses.dataclass(slots=True)
class PooledProbe:
    """A probe result that may be used for a few requests.

    :param sends: own requests sent since, which the report does not include.
    """

    report: targets.LoadReport
    received_at: float
    sends: int = 0


class ProbePool:
    """Recent probe results, each used for a limited number of requests.

    :param max_age_s: age after which a result is dropped.
    :param max_uses: requests after which a result is dropped.
    :param size: maximum number of results; the oldest is dropped first.
    """

    def __init__(
        self, max_age_s: float = 1.0, max_uses: int = 3, size: int = 16
    ):
        self.max_age_s = max_age_s
        self.max_uses = max_uses
        self.size = size
        self._probes: collections.OrderedDict[str, PooledProbe] = (
            collections.OrderedDict()
        )

    def add(
        self, target_id: str, report: targets.LoadReport, now: float
    ) -> None:
        """Add a result and replace an older one of the same target."""
        self._probes.pop(target_id, None)
        self._probes[target_id] = PooledProbe(report, now)
        if len(self._probes) > self.size:
            self._probes.popitem(last=False)

    def use(self, target_id: str) -> None:
        """Count a request that was sent to the target."""
        probe = self._probes.get(target_id)
        if probe is not None:
            probe.sends += 1
            if probe.sends >= self.max_uses:
                del self._probes[target_id]

    def live(self, now: float) -> dict[str, PooledProbe]:
        """Drop results that are too old and return the others by target."""
        while self._probes:
            target_id, probe = next(iter(self._probes.items()))
            if now - probe.received_at <= self.max_age_s:
                break
            del self._probes[target_id]
        return self._probes

    def forget(self, target_id: str) -> None:
        """Drop the result of a target that no longer exists."""
        self._probes.pop(target_id, None)
