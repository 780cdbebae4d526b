"""Probes targets within the budget, and takes over their load reports."""

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

# A broken connection wakes the loop at once; else reports grow old slowly.
POLL_S = 0.1
_CONFIRM_POLL_S = 0.01
# A target that answers calls needs no probes: its answers carry reports.
STALE_REPORT_S = 1.0

Notify = collections.abc.Callable[
    [collections.abc.Sequence[suspects.CrashMark]],
    collections.abc.Coroutine[None, None, None],
]


class ProbeController:
    """Sends probes and handles reports from probes and responses.

    :param notify: sends crash marks to the peers and waits for their answer.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        services: service_control.ServiceTable,
        watching: watches.WatchTable,
        warmups: warmup.WarmupController,
        notify: Notify,
    ):
        self.board = board
        self.services = services
        self.watching = watching
        self.warmups = warmups
        self.notify = notify
        self.loop = asyncio.get_running_loop()
        self._wanted = asyncio.Event()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._notices: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe for ever."""
        while True:
            now = self.loop.time()
            for control in self.services.controls.values():
                self._start_due(control, now)
            self._wanted.clear()
            try:
                async with asyncio.timeout(POLL_S):
                    await self._wanted.wait()
            except TimeoutError:
                continue
            # The budget may have no probe left at once.
            await asyncio.sleep(_CONFIRM_POLL_S)

    async def confirm(self, target_id: str, timeout_s: float) -> None:
        """Wait for the next probe of a target to end.

        A target that broke a connection is probed before all others, but
        not beyond the budget.
        """
        deadline = self.loop.time() + timeout_s
        while self.loop.time() < deadline:
            state = self.board.targets.get(target_id)
            if state is None or not state.suspected:
                return
            task = self._running.get(target_id)
            if task is None:
                self._wanted.set()
                await asyncio.sleep(_CONFIRM_POLL_S)
                continue
            await asyncio.wait([task], timeout=deadline - self.loop.time())
            return

    def observe_report(
        self,
        state: targets.TargetState,
        report: targets.LoadReport,
        sent_at: float,
    ) -> None:
        """Take over a report that came with a response.

        :param sent_at: loop time at which the request was written.
        """
        now = self.loop.time()
        target_id = state.target.instance_id
        self.warmups.observe_report(target_id, report, sent_at, now)
        marks = self.board.suspects.boot_seen(target_id, report.boot_id, now)
        self._send_marks(marks)

    def observe_loss(self, target_id: str, refused: bool, now: float) -> None:
        """Note that a connection to a target broke or was refused."""
        self.warmups.observe_connection_lost(target_id, now)
        self._wanted.set()
        if refused:
            marks = self.board.suspects.connection_refused(target_id, now)
            self._send_marks(marks)

    async def marks_sent(self) -> None:
        """Wait until the peers have answered the marks sent so far."""
        if self._notices:
            await asyncio.wait(set(self._notices))

    def _send_marks(
        self, marks: collections.abc.Sequence[suspects.CrashMark]
    ) -> None:
        if marks:
            self.board.count('crashes')
            task = self.loop.create_task(self.notify(marks))
            self._notices.add(task)
            task.add_done_callback(self._notices.discard)

    def _start_due(
        self, control: service_control.ServiceControl, now: float
    ) -> None:
        due = [
            state
            for state in self.board.service_targets.get(control.name, ())
            if self._is_due(state, now)
        ]
        while due:
            target = control.schedule.next_target(due, now)
            if target is None:
                return
            due = [state for state in due if state.target is not target]
            self.board.count('probes')
            self.board.count('probe_bytes', service_control.PROBE_BYTES)
            task = self.loop.create_task(self._probe(control, target))
            self._running[target.instance_id] = task

    def _is_due(self, state: targets.TargetState, now: float) -> bool:
        target_id = state.target.instance_id
        if target_id in self._running:
            return False
        return (
            state.suspected
            or now - state.reported_at > STALE_REPORT_S
            or self.watching.opened_at(target_id) is None
            or self.warmups.needs_probe(target_id, now)
        )

    async def _probe(
        self, control: service_control.ServiceControl, target: targets.Target
    ) -> None:
        target_id = target.instance_id
        try:
            probed = await self.watching.of(target).probe()
        except errors.TargetError as error:
            self.board.count('probe_failures')
            self.observe_loss(
                target_id, error.kind == 'probe-refused', self.loop.time()
            )
            return
        finally:
            self._running.pop(target_id, None)
        state = self.board.targets.get(target_id)
        if state is None:
            return
        now = self.loop.time()
        health.record_report(state, probed.report, now)
        control.policy.probed(target, probed.report, now)
        self.observe_report(state, probed.report, probed.sent_at)
        self.services.invalidate()
