"""Finds requests that were lost around stops and other planned work."""

import dragonflyslip_emulator as emulator
from tests.soak import gateways
from tests.soak import history as history_types

# A request that no target got may end without an answer this long after its
# last byte was sent, as it may have crossed the close of its connection.
LOSS_SLACK_S = 0.2
# An unplanned fault excuses a loss this long after it has ended.
SETTLE_TIME_S = 3.0
# Planned work may affect requests this long after a change.
APPLY_TIME_S = 2.0
# A gateway may cut off requests sent until this long after SIGTERM at which
# their targets still work near the end of the stop timeout.
LATEST_EXCUSED_SEND_S = 3.0
# Start of the last sixth of the stop timeout.
LAST_SIXTH_S = gateways.STOP_TIMEOUT_S * 5 / 6
# Timers of gateways and callers may expire this much early.
TIMER_TOLERANCE_S = 0.01


class LossFinder:
    """Decides which requests were lost without an excuse."""

    def __init__(self, history: history_types.History):
        self.history = history

    def find_losses(
        self, runs: dict[str, list[emulator.ExecutedRequest]]
    ) -> list[str]:
        """Return a line for each lost request.

        :param runs: the runs of each request, by its id.
        """
        lines = []
        for attempt in self.history.attempts:
            request_runs = runs.get(attempt.request_id, [])
            cause = self.find_loss(attempt, request_runs)
            if cause:
                lines.append(_describe(attempt, request_runs, cause))
        return lines

    def find_loss(
        self,
        attempt: history_types.CallerAttempt,
        runs: list[emulator.ExecutedRequest],
    ) -> str:
        """Return how a request was lost, or an empty string.

        A gateway may not close the connection of a request that it has read
        whole without a complete answer. While it stops, it may not replace
        the answer of a target that is at work by one of its own, either.
        """
        stop = self._find_stop(attempt)
        if _was_cut_off(attempt, runs):
            loss = f'no complete answer, {self._planned_work(attempt, stop)}'
        elif stop is not None and _was_replaced(attempt, runs):
            loss = f'status {attempt.status} while its target worked, SIGTERM'
        else:
            return ''
        return '' if self._is_excused(attempt, runs, stop) else loss

    def _is_excused(
        self,
        attempt: history_types.CallerAttempt,
        runs: list[emulator.ExecutedRequest],
        stop: history_types.Interval | None,
    ) -> bool:
        return (
            _reached_timeout(attempt)
            or attempt.given_up
            or any(run.broke_off for run in runs)
            or (not runs and self._was_absent(attempt))
            # The response before it may have closed the connection.
            or (not runs and attempt.sent_behind and attempt.status == 0)
            or self._had_unplanned_fault(attempt, runs)
            or (stop is not None and _outlasted_stop(attempt, runs, stop))
        )

    def _was_absent(self, attempt: history_types.CallerAttempt) -> bool:
        """Return whether no process could read the request.

        The link of a gateway accepts connections while it has no process.
        """
        return any(
            absence.subject == attempt.gateway
            and absence.since <= attempt.sent_at
            and attempt.finished_at <= absence.until
            for absence in self.history.absences
        )

    def _find_stop(
        self, attempt: history_types.CallerAttempt
    ) -> history_types.Interval | None:
        """Return the stop of its gateway that the request met."""
        for stop in self.history.terminations:
            if stop.overlaps(
                attempt.gateway, attempt.sent_at, attempt.finished_at
            ):
                return stop
        return None

    def _planned_work(
        self,
        attempt: history_types.CallerAttempt,
        stop: history_types.Interval | None,
    ) -> str:
        """Return the planned work during which a request ended."""
        if stop is not None:
            return 'SIGTERM'
        if any(
            reload.subject == attempt.gateway
            and attempt.sent_at <= reload.since + APPLY_TIME_S
            and reload.since <= attempt.finished_at
            for reload in self.history.reloads
        ):
            return 'SIGHUP'
        if any(
            attempt.sent_at <= manifest.accepted_at + APPLY_TIME_S
            and manifest.accepted_at <= attempt.finished_at
            for manifest in self.history.manifests
        ):
            return 'manifest change'
        return 'no planned work'

    def _had_unplanned_fault(
        self,
        attempt: history_types.CallerAttempt,
        runs: list[emulator.ExecutedRequest],
    ) -> bool:
        since = attempt.sent_at - SETTLE_TIME_S
        until = attempt.finished_at
        # Safe and unsafe requests must not depend on the store.
        kinds = {history_types.FaultKind.UNPLANNED}
        if attempt.kind == 'upload':
            kinds.add(history_types.FaultKind.STORE)
        if any(
            fault.kind in kinds
            and fault.overlaps(attempt.gateway, since, until)
            for fault in self.history.fault_intervals
        ):
            return True
        # A request without a run may have been on its way to any target.
        targets = {run.target_id for run in runs}
        return any(
            fault.since <= until
            and since <= fault.until
            and (not targets or fault.subject in targets)
            for fault in self.history.target_fault_intervals
        )


def _was_cut_off(
    attempt: history_types.CallerAttempt, runs: list[emulator.ExecutedRequest]
) -> bool:
    if attempt.status != 0:
        return False
    # Before a target runs a request, its gateway has read all of it.
    if runs:
        return True
    return attempt.finished_at - attempt.written_at > LOSS_SLACK_S


def _was_cut(run: emulator.ExecutedRequest) -> bool:
    """Return whether its connection closed while the target worked."""
    return not run.finished and run.ended_at < float('inf')


def _was_replaced(
    attempt: history_types.CallerAttempt, runs: list[emulator.ExecutedRequest]
) -> bool:
    made_by_gateway = attempt.status != 0 and not attempt.receipt
    return made_by_gateway and any(_was_cut(run) for run in runs)


def _reached_timeout(attempt: history_types.CallerAttempt) -> bool:
    elapsed_s = attempt.finished_at - attempt.sent_at
    return elapsed_s >= attempt.timeout_s - TIMER_TOLERANCE_S


def _outlasted_stop(
    attempt: history_types.CallerAttempt,
    runs: list[emulator.ExecutedRequest],
    stop: history_types.Interval,
) -> bool:
    """Return whether a target worked until near the end of the stop."""
    sent_early = attempt.sent_at <= stop.since + LATEST_EXCUSED_SEND_S
    last_sixth_at = stop.since + LAST_SIXTH_S
    return sent_early and any(run.ended_at >= last_sixth_at for run in runs)


def _describe(
    attempt: history_types.CallerAttempt,
    runs: list[emulator.ExecutedRequest],
    loss: str,
) -> str:
    targets = [
        f'{run.target_id} {run.started_at - attempt.sent_at:.2f}'
        f'-{run.ended_at - attempt.sent_at:.2f} s'
        for run in runs
    ]
    return (
        f'lost {attempt.kind} {attempt.request_id} {attempt.path} at '
        f'{attempt.gateway}: {loss}; written after '
        f'{attempt.written_at - attempt.sent_at:.2f} s, ended after '
        f'{attempt.finished_at - attempt.sent_at:.2f} s, sent at '
        f'{attempt.sent_at:.2f}, runs {targets}'
    )
