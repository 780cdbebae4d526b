"""Probes targets within the probe budget and applies their load reports."""

import asyncio
import collections.abc

from dragonflyslip_core import blackboard
from dragonflyslip_core import health
from dragonflyslip_core import suspects
from dragonflyslip_core import targets
from dragonflyslip_core import warmup
from dragonflyslip_entry import errors
from dragonflyslip_entry import service_control
from dragonflyslip_entry import watches

# Interval between checks for due probes. A broken connection starts a check at
# once, and reports take STALE_REPORT_S to become stale, so no shorter interval
# is needed.
POLL_S = 0.1
# Interval between attempts to start a probe that was requested, since the
# probe budget may be used up.
_PROBE_RETRY_S = 0.01
# A target whose last report is older than this is probed. One that answers
# calls needs no probes, because its responses carry reports.
STALE_REPORT_S = 1.0

Notify = collections.abc.Callable[
    [collections.abc.Sequence[suspects.CrashMark]],
    collections.abc.Coroutine[None, None, None],
]


class ProbeController:
    """Sends probes and handles reports from probes and responses.

    :param notify: sends crash marks to the peers and waits until they have
        acknowledged them, for a limited time.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        services: service_control.ServiceTable,
        watch_table: watches.WatchTable,
        warmups: warmup.WarmupController,
        notify: Notify,
    ):
        self.board = board
        self.services = services
        self.watch_table = watch_table
        self.warmups = warmups
        self.notify = notify
        self.loop = asyncio.get_running_loop()
        self._probe_requested = asyncio.Event()
        self._probe_tasks: dict[str, asyncio.Task[None]] = {}
        self._notify_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            now = self.loop.time()
            for control in self.services.controls.values():
                self._start_due(control, now)
            self._probe_requested.clear()
            try:
                async with asyncio.timeout(POLL_S):
                    await self._probe_requested.wait()
            except TimeoutError:
                continue
            # The budget may have no probe left at the moment: do not retry in
            # a tight loop.
            await asyncio.sleep(_PROBE_RETRY_S)

    async def wait_for_probe(self, target_id: str, timeout_s: float) -> None:
        """Wait until the next probe of a suspected target has ended.

        A target that broke a connection is probed before all others, but
        within the budget.

        :param timeout_s: longest wait.
        """
        deadline = self.loop.time() + timeout_s
        while self.loop.time() < deadline:
            state = self.board.targets.get(target_id)
            if state is None or not state.suspected:
                return
            task = self._probe_tasks.get(target_id)
            if task is None:
                self._probe_requested.set()
                await asyncio.sleep(_PROBE_RETRY_S)
                continue
            await asyncio.wait([task], timeout=deadline - self.loop.time())
            return

    def observe_report(
        self,
        state: targets.TargetState,
        report: targets.LoadReport,
        sent_at: float,
    ) -> None:
        """Apply a load report that came with a response.

        :param sent_at: loop time at which the request was written.
        """
        now = self.loop.time()
        target_id = state.target.instance_id
        self.warmups.observe_report(target_id, report, sent_at, now)
        # A new boot id shows that the target has restarted, so requests lost
        # with its earlier boot become crash marks.
        marks = self.board.suspects.boot_seen(target_id, report.boot_id, now)
        self._send_marks(marks)

    def observe_connection_loss(
        self, target_id: str, refused: bool, now: float
    ) -> None:
        """Record that a connection to a target broke or was refused.

        :param refused: whether the target refused it.
        :param now: loop time.
        """
        self.warmups.observe_connection_lost(target_id, now)
        self._probe_requested.set()
        if refused:
            marks = self.board.suspects.connection_refused(target_id, now)
            self._send_marks(marks)

    async def wait_for_marks(self) -> None:
        """Wait for the peers to acknowledge the marks sent so far."""
        if self._notify_tasks:
            await asyncio.wait(set(self._notify_tasks))

    def _send_marks(
        self, marks: collections.abc.Sequence[suspects.CrashMark]
    ) -> None:
        if marks:
            self.board.count('crashes')
            task = self.loop.create_task(self.notify(marks))
            self._notify_tasks.add(task)
            task.add_done_callback(self._notify_tasks.discard)

    def _start_due(
        self, control: service_control.ServiceControl, now: float
    ) -> None:
        due = [
            state
            for state in self.board.service_targets.get(control.name, ())
            if self._is_due(state, now)
        ]
        while due:
            target = control.probe_schedule.next_target(due, now)
            if target is None:
                return
            due = [state for state in due if state.target is not target]
            self.board.count('probes')
            self.board.count('probe_bytes', service_control.PROBE_BYTES)
            task = self.loop.create_task(self._probe(control, target))
            self._probe_tasks[target.instance_id] = task

    def _is_due(self, state: targets.TargetState, now: float) -> bool:
        target_id = state.target.instance_id
        if target_id in self._probe_tasks:
            return False
        return (
            state.suspected
            or now - state.reported_at > STALE_REPORT_S
            or self.watch_table.opened_at(target_id) is None
            or self.warmups.needs_probe(target_id, now)
        )

    async def _probe(
        self, control: service_control.ServiceControl, target: targets.Target
    ) -> None:
        target_id = target.instance_id
        try:
            probed = await self.watch_table.get_or_create(target).probe()
        except errors.TargetError as error:
            self.board.count('probe_failures')
            self.observe_connection_loss(
                target_id, error.kind == 'probe-refused', self.loop.time()
            )
            return
        finally:
            self._probe_tasks.pop(target_id, None)
        state = self.board.targets.get(target_id)
        if state is None:
            return
        now = self.loop.time()
        health.record_report(state, probed.report, now)
        control.policy.probed(target, probed.report, now)
        self.observe_report(state, probed.report, probed.sent_at)
        self.services.invalidate()
