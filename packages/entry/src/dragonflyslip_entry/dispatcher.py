"""Assigns a target to each call, queues the call, or refuses it.

A target whose ``warm_limit`` is not None is cold: this entry may have that
many concurrent requests at it, none if another entry warms it up.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import domains
from dragonflyslip_core import health
from dragonflyslip_core import limits
from dragonflyslip_core import outcomes
from dragonflyslip_core import targets
from dragonflyslip_core import warmup
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors
from dragonflyslip_entry import refusals
from dragonflyslip_entry import service_control
from dragonflyslip_entry import watches

POLL_S = 0.02
# The load report of a response comes with its headers. If the body takes
# longer than this, other responses have brought newer reports meanwhile.
_REPORT_MAX_AGE_S = 0.1


@dataclasses.dataclass
class Grant:
    """The right to send one call to one target.

    :param permit: permission of the warm-up controller to write one request
        to the target, cold or warm; obtained right before the write.
    :param released: whether :meth:`Dispatcher.finish` has been called.
    """

    state: targets.TargetState
    control: service_control.ServiceControl
    permit: warmup.Permit | None = None
    released: bool = False

    @property
    def target(self) -> targets.Target:
        """The target that may receive the call."""
        return self.state.target


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """How an attempt to use a grant ended; times are loop times.

    :param written_at: when the request was written; None if it was not
        written, or if it was written but the attempt ended for a reason that
        lies outside the target, such as cancellation.
    :param headers_at: when response headers arrived; None if they did not.
    :param failed: whether the target failed the request.
    :param complete: whether the complete response was read.
    :param report: load report of the response, if any.
    """

    written_at: float | None
    headers_at: float | None = None
    failed: bool = False
    complete: bool = False
    report: targets.LoadReport | None = None


MayServe = collections.abc.Callable[[float], bool]
GrantResult = result.Result[Grant, outcomes.Refusal]


@dataclasses.dataclass
class _Waiter:
    call: calls.Call
    excluded: set[str]
    future: asyncio.Future[GrantResult]


class Dispatcher:
    """Grants targets to calls.

    :param may_serve: takes the loop time and returns whether this entry's
        configuration is recent enough to serve calls.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        services: service_control.ServiceTable,
        warmups: warmup.WarmupController,
        watch_table: watches.WatchTable,
        may_serve: MayServe,
        rng: random.Random,
    ):
        self.board = board
        self.services = services
        self.warmups = warmups
        self.watch_table = watch_table
        self.may_serve = may_serve
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self._call_ids = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._has_waiters = asyncio.Event()

    async def run(self) -> None:
        """Start or shed waiting calls until cancelled.

        A call that ends starts waiting calls directly. This loop covers
        deadlines that pass and targets that become usable.
        """
        while True:
            if not self._waiters:
                self._has_waiters.clear()
                await self._has_waiters.wait()
            await asyncio.sleep(POLL_S)
            now = self.loop.time()
            for control in self.services.controls.values():
                if len(control.queue):
                    self.start_waiting(control, now)

    async def acquire(
        self, call: calls.Call, excluded: set[str]
    ) -> GrantResult:
        """Grant a target; wait in the service's queue if all are busy.

        :param excluded: instance ids that the call must avoid.
        """
        now = self.loop.time()
        control = self.services.get(call.service)
        if control is None:
            return result.Failure(refusals.no_target(call, 'unknown-service'))
        if not len(control.queue):
            granted = self.try_grant(control, call, excluded, now)
            if granted is not None:
                return granted
        return await self._wait(control, call, excluded, now)

    def try_grant(
        self,
        control: service_control.ServiceControl,
        call: calls.Call,
        excluded: set[str],
        now: float,
    ) -> GrantResult | None:
        """Grant a target at once.

        :return: None if the call may wait for one.
        """
        if not self.may_serve(now):
            return result.Failure(refusals.isolated(call))
        candidates = self._candidates(control, now)
        if candidates.refusal_kind is not None:
            return result.Failure(
                refusals.no_target(call, candidates.refusal_kind)
            )
        usable = [
            state
            for state in candidates.states
            if control.has_free_slot(state)
            and state.target.instance_id not in excluded
        ]
        if not usable:
            return self._refuse_unless_worth_waiting(
                candidates, call, excluded
            )
        cold = [s for s in usable if s.warm_limit is not None]
        if cold and self.rng.random() * len(usable) < len(cold):
            # Cold targets get their proportion of calls. Policies prefer
            # targets with recent measurements, so at low load a cold
            # target would get no calls and still be cold in the next burst.
            usable = cold
        split_targets = control.domain_split.select(
            usable, control.profile.slots, now, self.rng
        )
        chosen = control.policy.choose(split_targets, now, self.rng)
        match chosen:
            case result.Success(target):
                return result.Success(self._grant(control, target, now))
            case result.Failure(error):
                return result.Failure(refusals.no_target(call, error.kind))

    def targets_held_by_peers(
        self, control: service_control.ServiceControl, now: float
    ) -> list[targets.TargetState]:
        """Return the cold targets that other entries warm up.

        :return: empty if a target is usable here, or may become so soon.
        """
        states = self._candidates(control, now).states
        if any(s.suspected or s.warm_limit != 0 for s in states):
            return []
        return states

    def check(self, call: calls.Call, grant: Grant, now: float) -> None:
        """Check that the call may be sent, and take the warm-up permit.

        Called right before the write, with no await in between.

        :raises SendRefusedError: if it may not.
        """
        # While a body is transferred, the progress timeout replaces the
        # deadline.
        if now >= call.deadline_at and not call.has_body:
            raise errors.SendRefusedError('deadline', 'deadline has passed')
        if not self.may_serve(now):
            raise errors.SendRefusedError(
                'isolated', 'configuration may be out of date'
            )
        state = grant.state
        if self.board.targets.get(state.target.instance_id) is not state or (
            not domains.in_service(
                (state,),
                self.board.config.domains_out,
                self.board.config.instances_out,
            )
        ):
            raise errors.SendRefusedError(
                'target-withdrawn', 'target may no longer receive calls'
            )
        suspect_table = self.board.suspects
        if suspect_table.has_marks() and suspect_table.is_suspect(
            call.crash_fingerprint(), now
        ):
            raise errors.SendRefusedError(
                'suspect-request',
                'instances that ran this request have crashed',
            )
        grant.permit = self._obtain_permit(state.target.instance_id, now)

    def finish(self, grant: Grant, attempt_result: AttemptResult) -> None:
        """Release a grant, record its result and start waiting calls."""
        if grant.released:
            return
        grant.released = True
        now = self.loop.time()
        control, state = grant.control, grant.state
        control.running -= 1
        if grant.permit is not None:
            self.warmups.finish(
                grant.permit,
                attempt_result.complete,
                not attempt_result.failed,
                now,
            )
        if attempt_result.written_at is None and not attempt_result.failed:
            state.own_in_flight -= 1
            # A failed answer without a report only ends the request in the
            # policy's count of those in flight.
            control.policy.answered(
                state.target, health.Answer(0.0, failed=True), now
            )
        else:
            self._record_response(control, state, attempt_result, now)
        if len(control.queue):
            self.start_waiting(control, now)

    def start_waiting(
        self, control: service_control.ServiceControl, now: float
    ) -> None:
        """Start the queued calls for which targets have free slots."""
        free = control.free_slots(self._candidates(control, now).states)
        self._apply_admission(
            control, control.queue.poll(now, control.running, free)
        )

    def _candidates(
        self, control: service_control.ServiceControl, now: float
    ) -> service_control.Candidates:
        if now < control.candidates.valid_until:
            return control.candidates
        config = self.board.config
        in_service = domains.in_service(
            self.board.service_targets.get(control.name, ()),
            config.domains_out,
            config.instances_out,
        )
        selected = health.select_healthy(
            in_service,
            now,
            control.profile.min_healthy_percent,
            control.profile.when_unhealthy,
        )
        until = now + service_control.CANDIDATES_VALID_S
        match selected:
            case result.Success(selection):
                if selection.too_few and not control.candidates.too_few:
                    self.board.count('too_few_healthy')
                control.candidates = service_control.Candidates(
                    list(selection.usable), None, selection.too_few, until
                )
            case result.Failure(error):
                self.board.count('too_few_healthy')
                control.candidates = service_control.Candidates(
                    [], error.kind, True, until
                )
        return control.candidates

    def _refuse_unless_worth_waiting(
        self,
        candidates: service_control.Candidates,
        call: calls.Call,
        excluded: set[str],
    ) -> GrantResult | None:
        # A cold target that another entry warms up stays unavailable here
        # for seconds, so the caller should rather try another entry.
        may_become_free = any(
            state.suspected or state.warm_limit != 0
            for state in candidates.states
            if state.target.instance_id not in excluded
        )
        if may_become_free:
            return None
        return result.Failure(refusals.no_target(call, 'no-target'))

    def _grant(
        self,
        control: service_control.ServiceControl,
        target: targets.Target,
        now: float,
    ) -> Grant:
        state = self.board.targets[target.instance_id]
        health.record_sent(state)
        control.policy.sent(target, now)
        control.running += 1
        return Grant(state, control)

    def _obtain_permit(self, target_id: str, now: float) -> warmup.Permit:
        opened_at = self.watch_table.opened_at(target_id)
        if opened_at is None:
            self.warmups.observe_connection_lost(target_id, now)
            raise errors.SendRefusedError(
                'target-unconfirmed', 'target may have restarted'
            )
        match self.warmups.start(target_id, opened_at, now):
            case result.Success(permit):
                return permit
            case result.Failure(error):
                raise errors.SendRefusedError(error.kind, error.message)

    def _record_response(
        self,
        control: service_control.ServiceControl,
        state: targets.TargetState,
        attempt_result: AttemptResult,
        now: float,
    ) -> None:
        written_at = (
            now
            if attempt_result.written_at is None
            else attempt_result.written_at
        )
        answered_at = (
            now
            if attempt_result.headers_at is None
            else attempt_result.headers_at
        )
        latency_s = answered_at - written_at
        report = attempt_result.report
        if now - answered_at > _REPORT_MAX_AGE_S:
            report = None
        answer = health.Answer(latency_s * 1000, attempt_result.failed, report)
        in_flight = state.own_in_flight
        health.record_answer(state, answer, now, control.latency_median)
        control.policy.answered(state.target, answer, now)
        limit = control.limit_of(state.target.instance_id)
        if attempt_result.failed:
            limit.record_overload(now)
            return
        if report is not None:
            limit.set_slots(report.slots)
        limit.record_response(latency_s, in_flight, now)
        control.queue.record_service_time(now - written_at)

    async def _wait(
        self,
        control: service_control.ServiceControl,
        call: calls.Call,
        excluded: set[str],
        now: float,
    ) -> GrantResult:
        call_id = next(self._call_ids)
        waiter = _Waiter(call, excluded, self.loop.create_future())
        self._waiters[call_id] = waiter
        self._has_waiters.set()
        waiting = limits.WaitingCall(
            call_id, call.profile.priority, call.deadline_at
        )
        free = control.free_slots(self._candidates(control, now).states)
        self._apply_admission(
            control, control.queue.offer(waiting, now, control.running, free)
        )
        try:
            return await waiter.future
        finally:
            self._waiters.pop(call_id, None)
            control.queue.cancel(call_id)

    def _apply_admission(
        self,
        control: service_control.ServiceControl,
        admission: limits.AdmissionDecision,
    ) -> None:
        for shed in admission.shed:
            waiter = self._waiters.pop(shed.call.call_id, None)
            if waiter is not None and not waiter.future.done():
                self.board.count('calls_shed')
                waiter.future.set_result(
                    result.Failure(shed.refusal(waiter.call.refused_outcome()))
                )
        for started in admission.start:
            waiter = self._waiters.pop(started.call_id, None)
            if waiter is not None and not waiter.future.done():
                self._grant_to_waiter(control, waiter)

    def _grant_to_waiter(
        self, control: service_control.ServiceControl, waiter: _Waiter
    ) -> None:
        granted = self.try_grant(
            control, waiter.call, waiter.excluded, self.loop.time()
        )
        if granted is None:
            # All free targets are excluded for this call.
            granted = result.Failure(
                refusals.no_target(waiter.call, 'no-target')
            )
        waiter.future.set_result(granted)
