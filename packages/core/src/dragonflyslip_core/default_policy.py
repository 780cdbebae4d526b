"""The default routing policy, which the daemon uses."""

import math
import random
import typing

from returns import result

from dragonflyslip_core import health
from dragonflyslip_core import routing
from dragonflyslip_core import targets

# Time constant by which a report loses weight, as a multiple of the service's
# latency. A report says little about a queue whose requests have all been
# replaced since.
REPORT_DECAY_RATIO = 0.25
# The same time constant before any latency is known.
_INITIAL_DECAY_S = 0.005
# Load per slot added to a target without a recent report. Its load is
# uncertain, and a long queue there would cost more than a free slot would
# gain.
UNKNOWN_PENALTY = 0.1
# Candidates compared for one choice. This many include enough recent reports;
# comparing more only takes time.
SCAN_LIMIT = 32
# A target is slow when its average latency is above this multiple of the
# service's. Smaller differences are due to chance and to queueing, which the
# load already reflects.
SLOW_RATIO = 3.0
# The cost of a target with requests of this entry in flight rises when it has
# not answered for this multiple of the service's latency.
QUIET_RATIO = 3.0
# Half-life of the slowness of a target without new answers, so that a slow
# target is tried again. Also the time for which the reports of a target are
# distrusted after one contradicted this entry's own requests.
PENALTY_DURATION_S = 10.0
# A target that has failed all its recent requests has its cost multiplied by
# 1 + this; fewer failures raise the cost in proportion.
FAILURE_COST = 20.0
# A report may show this many requests fewer than this entry has in flight at
# the target, since some are still in transit. Below that, it contradicts
# this entry's own requests.
REPORT_TOLERANCE = 2
# A request sent less than this before a report arrives had probably not
# reached the target when it wrote the report: about one round trip.
_REPORT_LAG_S = 0.002
_LATENCY_WEIGHT = 0.2
_BASELINE_WEIGHT = 0.3
# Minimum number of answers between two updates of the baselines.
_BASELINE_ANSWERS = 16
_NEVER = -1e9


class _TargetStats:
    """What the policy knows about one target.

    ``Own`` requests are those of this entry.

    :param cost: one plus reported requests in flight per slot, before the
        policy multiplies it.
    :param own_weight: load per slot that one own request stands for.
    :param unseen: own requests that the report does not include yet.
    :param quiet_since: time of the last answer, or of the first send after
        no own request was in flight.
    :param slowness: average latency as a multiple of the service's.
    :param judged_at: when ``slowness`` was last updated.
    :param distrusted_until: until when a reported load that is lower than
        the load assumed for an unknown target is raised to that load.
    """

    __slots__ = (
        'cost',
        'slots',
        'own_weight',
        'reported_at',
        'unseen',
        'sent_at',
        'in_flight',
        'quiet_since',
        'boot_id',
        'latency_ms',
        'reported_latency_ms',
        'slowness',
        'slow',
        'judged_at',
        'distrusted_until',
    )

    def __init__(self):
        self.cost = 1.0
        self.slots = 1
        self.own_weight = 1.0
        self.reported_at = _NEVER
        self.unseen = 0
        self.sent_at = _NEVER
        self.in_flight = 0
        self.quiet_since = _NEVER
        self.reset_for_process(None)

    def reset_for_process(self, boot_id):
        """Drop what was learned from an earlier process of the target."""
        self.boot_id = boot_id
        self.latency_ms = 0.0
        self.reported_latency_ms = 0.0
        self.slowness = 1.0
        self.slow = False
        self.judged_at = _NEVER
        self.distrusted_until = _NEVER


class DefaultPolicy:
    """Chooses the candidate with the lowest expected time to finish.

    The load of a target is its last report, from a response or a probe, plus
    the requests that this entry has sent since. As the report ages, the load
    moves towards the mean of all targets. It is never less than this entry's
    own requests in flight.

    The cost is the load plus one. It is multiplied when the target is slow,
    has not answered for long or fails requests. The baselines of latency and
    load count each target once: a target that attracts most requests by
    false reports would shift any average over requests.

    :param decay_ratio: time constant by which a report loses weight, as a
        multiple of the service's latency.
    :param unknown_penalty: load per slot added without a recent report.
    :param slow_ratio: latency ratio above which a target is slow.
    :param quiet_ratio: time without an answer, as a multiple of the
        service's latency, from which the cost of a target rises.
    :param scan_limit: maximum number of candidates compared per choice.
    """

    def __init__(
        self,
        decay_ratio: float = REPORT_DECAY_RATIO,
        unknown_penalty: float = UNKNOWN_PENALTY,
        slow_ratio: float = SLOW_RATIO,
        quiet_ratio: float = QUIET_RATIO,
        scan_limit: int = SCAN_LIMIT,
    ):
        self.decay_ratio = decay_ratio
        self.unknown_penalty = unknown_penalty
        self.slow_ratio = slow_ratio
        self.quiet_ratio = quiet_ratio
        self.scan_limit = scan_limit
        self.mean_load = 0.0
        self.mean_own_in_flight = 0.0
        self.latency_ms = 0.0
        self.reported_latency_ms = 0.0
        self._decay_s = _INITIAL_DECAY_S
        self._quiet_limit_s = math.inf
        self._answers_since_update = 0
        self._load_per_own_request = 0.0
        self._stats: dict[str, _TargetStats] = {}

    def choose(
        self,
        candidates: routing.Candidates,
        now: float,
        rng: random.Random,
    ) -> routing.Choice:
        """Return the target for a request; see :class:`routing.Policy`."""
        if not candidates:
            return routing.no_target()
        stats_by_id, decay = self._stats, self._decay_s
        unknown = 1.0 + self.mean_load + self.unknown_penalty
        quiet_limit_s, exp = self._quiet_limit_s, math.exp
        best, lowest = None, math.inf
        for state in self._scan_window(candidates, rng):
            target_id = state.target.instance_id
            stats = stats_by_id.get(target_id)
            if stats is None:
                stats = stats_by_id[target_id] = _TargetStats()
            cost = unknown + (stats.cost - unknown) * exp(
                (stats.reported_at - now) / decay
            )
            if stats.in_flight:
                cost += stats.unseen / stats.slots
                own = 1.0 + stats.in_flight * stats.own_weight
                if cost < own:
                    cost = own
                quiet_s = now - stats.quiet_since
                if quiet_s > quiet_limit_s:
                    cost *= quiet_s / quiet_limit_s
            if stats.slow:
                cost *= self._decayed_slowness(stats, now)
            if state.failure_ewma:
                cost *= 1.0 + FAILURE_COST * health.failure_level(state, now)
            if cost < lowest:
                best, lowest = state, cost
        return result.Success(best.target)

    def sent(self, target: targets.Target, now: float) -> None:
        """See :class:`routing.Policy`."""
        stats = self._stats_of(target)
        if not stats.in_flight:
            stats.quiet_since = now
        stats.in_flight += 1
        stats.unseen += 1
        stats.sent_at = now

    def answered(
        self, target: targets.Target, answer: health.Answer, now: float
    ) -> None:
        """See :class:`routing.Policy`."""
        stats = self._stats.get(target.instance_id)
        if stats is None:
            return
        # After a target was forgotten and added again, answers to requests
        # from before that are not counted in in_flight.
        stats.in_flight = max(0, stats.in_flight - 1)
        stats.quiet_since = now
        if answer.failed or answer.report is None:
            stats.unseen = min(stats.unseen, stats.in_flight)
        else:
            self._apply_report(stats, answer.report, now)
        if not answer.failed:
            # The first latency becomes the average.
            weight = _LATENCY_WEIGHT if stats.latency_ms else 1.0
            stats.latency_ms += weight * (answer.latency_ms - stats.latency_ms)
            stats.judged_at = now
            self._update_slowness(stats)
            self._answers_since_update += 1
            if self._answers_since_update >= max(
                _BASELINE_ANSWERS, len(self._stats)
            ):
                self._answers_since_update = 0
                self._update_baselines()

    def probed(
        self, target: targets.Target, report: targets.LoadReport, now: float
    ) -> None:
        """See :class:`routing.Policy`."""
        stats = self._stats_of(target)
        self._apply_report(stats, report, now)
        # A report can show slowness but not end it early: health and load
        # endpoints may report wrong values, measured latencies do not.
        if self._reported_latency_ratio(stats) > self.slow_ratio:
            stats.judged_at = now
            self._update_slowness(stats)

    def forget(self, target_id: str) -> None:
        """See :class:`routing.Policy`."""
        self._stats.pop(target_id, None)

    def _scan_window(
        self, candidates, rng
    ) -> typing.Sequence[targets.TargetState]:
        # The random start breaks ties. Otherwise, entries without any
        # reports would all choose the same target, for example after all
        # entries restarted.
        count, limit = len(candidates), self.scan_limit
        first = int(rng.random() * count)
        if count <= limit:
            return [*candidates[first:], *candidates[:first]]
        past_end = max(0, first + limit - count)
        return [*candidates[first : first + limit], *candidates[:past_end]]

    def _decayed_slowness(self, stats, now):
        age = now - stats.judged_at
        remaining = 1.0 + (stats.slowness - 1.0) * 0.5 ** (
            age / PENALTY_DURATION_S
        )
        return remaining if remaining > self.slow_ratio else 1.0

    def _apply_report(self, stats, report, now):
        if report.boot_id != stats.boot_id:
            stats.reset_for_process(report.boot_id)
        stats.slots = report.slots or 1
        stats.cost = 1.0 + report.in_flight / stats.slots
        if report.in_flight + REPORT_TOLERANCE < stats.in_flight:
            stats.distrusted_until = now + PENALTY_DURATION_S
        stats.own_weight = 1.0 / stats.slots
        if now < stats.distrusted_until:
            unknown = 1.0 + self.mean_load + self.unknown_penalty
            stats.cost = max(stats.cost, unknown)
            stats.own_weight = max(
                stats.own_weight, self._load_per_own_request
            )
        in_transit = stats.unseen > 0 and now - stats.sent_at < _REPORT_LAG_S
        stats.unseen = int(in_transit)
        stats.reported_at = now
        stats.reported_latency_ms = report.latency_ms or 0.0

    def _reported_latency_ratio(self, stats):
        if not self.reported_latency_ms:
            return 1.0
        return stats.reported_latency_ms / self.reported_latency_ms

    def _update_slowness(self, stats):
        own = stats.latency_ms / self.latency_ms if self.latency_ms else 1.0
        stats.slowness = max(own, self._reported_latency_ratio(stats))
        stats.slow = stats.slowness > self.slow_ratio

    def _update_baselines(self):
        all_stats = self._stats.values()
        self.latency_ms = _median([stats.latency_ms for stats in all_stats])
        self.reported_latency_ms = _median(
            [stats.reported_latency_ms for stats in all_stats]
        )
        loads = [
            stats.cost - 1.0
            for stats in all_stats
            if stats.reported_at > _NEVER
        ]
        if loads:
            mean = sum(loads) / len(loads)
            self.mean_load += _BASELINE_WEIGHT * (mean - self.mean_load)
            own = sum(stats.in_flight for stats in all_stats) / len(all_stats)
            self.mean_own_in_flight += _BASELINE_WEIGHT * (
                own - self.mean_own_in_flight
            )
            # Load per own request, which estimates the requests of all
            # entries at a target whose reports are distrusted.
            if self.mean_own_in_flight > 0.0:
                self._load_per_own_request = (
                    self.mean_load / self.mean_own_in_flight
                )
        if self.latency_ms:
            self._decay_s = self.decay_ratio * self.latency_ms / 1e3
        self._quiet_limit_s = (
            self.quiet_ratio * self.latency_ms / 1e3 or math.inf
        )

    def _stats_of(self, target):
        stats = self._stats.get(target.instance_id)
        if stats is None:
            stats = self._stats[target.instance_id] = _TargetStats()
        return stats


def _median(values):
    """Return the median of the positive values, or 0 without any."""
    ordered = sorted(value for value in values if value > 0.0)
    return ordered[len(ordered) // 2] if ordered else 0.0
