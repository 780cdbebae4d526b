"""Checks the record of a soak run for violations."""

import collections

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import guarantees
from tests.soak import cluster
from tests.soak import crashing_requests
from tests.soak import history as history_types
from tests.soak import lost_requests

# Time limits that the platform sets for applying a change.
MANIFEST_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
# A gateway may exceed these limits this long after a fault has ended.
FAULT_AFTERMATH_S = 3.0
# The configured rate with a tolerance.
COLD_LIMIT_PER_S = cluster.COLD_RATE_PER_S * 1.5 + 5
# Requests may already be in flight when a target turns cold.
COLD_GRACE_S = 0.3
# A target that states a limit may get in a window this many times what it
# allows and some requests more, once the limit was stated for some time.
LIMIT_SETTLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A request that has crashed so many targets may be sent a few times more
# later than this after the last of them.
REFUSED_CRASHES = 3
CRASH_SETTLE_S = 3.0
MAX_LATE_CRASHES = 3


class Checker:
    """Finds violations in the record of a run."""

    def __init__(
        self,
        history: history_types.History,
        targets: list[emulator.EmulatedTarget],
    ):
        self.history = history
        self.targets = targets

    def check(self) -> None:
        """Add the violations that the record shows to it."""
        self.history.violations += guarantees.find_violations(
            self.history.attempts, self.targets
        )
        sent = {
            attempt.request_id: attempt for attempt in self.history.attempts
        }
        runs = collections.defaultdict(list)
        for target in self.targets:
            for run in target.runs:
                runs[run.request_id].append(run)
                if run.request_id in sent:
                    self._check_run(sent[run.request_id], target, run)
        finder = lost_requests.LossFinder(self.history)
        self.history.violations += finder.find_losses(runs)
        self._check_crashing_request(sent)
        for interval in self.history.cold_intervals:
            self._check_cold_rate(interval)
        for interval in self.history.limit_intervals:
            self._check_limit(interval, sent)

    def _check_limit(
        self,
        interval: history_types.LimitInterval,
        sent: dict[str, history_types.CallerAttempt],
    ) -> None:
        since = interval.since + LIMIT_SETTLE_S
        times = [
            run.started_at
            for target in self.targets
            for run in target.runs
            if run.target_id == interval.subject
            and since < run.started_at < interval.until
            and not self._had_fault(
                sent[run.request_id].gateway, run.started_at
            )
        ]
        peak = max(
            (
                sum(at <= time < at + LIMIT_WINDOW_S for time in times)
                for at in times
            ),
            default=0,
        )
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * interval.limit + LIMIT_SLACK
        if peak > allowed:
            self.history.violations.append(
                f'{peak} requests in {LIMIT_WINDOW_S} s at '
                f'{interval.subject}, whose limit allows {allowed:.1f}'
            )

    def _check_crashing_request(
        self, sent: dict[str, history_types.CallerAttempt]
    ) -> None:
        times = self.history.crash_times
        if len(times) < REFUSED_CRASHES:
            return
        since = times[REFUSED_CRASHES - 1] + CRASH_SETTLE_S
        late = [
            run
            for target in self.targets
            for run in target.runs
            if crashing_requests.is_crashing(run)
            and run.started_at > since
            and not self._had_fault(
                sent[run.request_id].gateway, run.started_at
            )
        ]
        if len(late) > MAX_LATE_CRASHES:
            self.history.violations.append(
                f'a request was sent {len(late)} times later than '
                f'{CRASH_SETTLE_S} s after its third crash at {since:.2f}; '
                f'{len(times)} crashes in all'
            )

    def _check_cold_rate(self, interval: history_types.Interval) -> None:
        times = [
            run.started_at
            for target in self.targets
            for run in target.runs
            if run.target_id == interval.subject
            and interval.since + COLD_GRACE_S < run.started_at < interval.until
        ]
        peak = max(
            (sum(at <= t < at + 1.0 for t in times) for at in times), default=0
        )
        if peak > COLD_LIMIT_PER_S:
            self.history.violations.append(
                f'{peak} requests in 1 s at the cold target {interval.subject}'
            )

    def _check_run(
        self,
        attempt: guarantees.Attempt,
        target,
        run: emulator.ExecutedRequest,
    ) -> None:
        since = attempt.sent_at
        allowed = {
            published.services[attempt.kind]
            for published, successor in zip(
                self.history.manifests, [*self.history.manifests[1:], None]
            )
            if successor is None
            or since <= successor.accepted_at + MANIFEST_LIMIT_S
            or self._had_fault(attempt.gateway, since)
        }
        if run.service not in allowed:
            self.history.violations.append(
                f'{attempt.request_id} at {since:.2f} ran at {run.service}, '
                f'allowed {sorted(allowed)}, by {attempt.gateway}'
            )
        if self._had_fault(attempt.gateway, since):
            return
        for interval, withdrawn, limit_s in [
            *(
                (s, run.target_id, MANIFEST_LIMIT_S)
                for s in self.history.withdrawals
            ),
            *(
                (s, target.zone, EVACUATION_LIMIT_S)
                for s in self.history.evacuations
            ),
        ]:
            if interval.subject == withdrawn and (
                interval.since + limit_s < since
                and run.started_at < interval.until
            ):
                self.history.violations.append(
                    f'{attempt.request_id} ran at {withdrawn} '
                    f'{since - interval.since:.2f} s after its withdrawal'
                )

    def _had_fault(self, gateway: str, at: float) -> bool:
        return any(
            interval.overlaps(gateway, at - FAULT_AFTERMATH_S, at)
            for interval in self.history.fault_intervals
        )
