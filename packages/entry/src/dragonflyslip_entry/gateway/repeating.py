"""Repeats requests: retries after failures and hedges slow targets.

A repeat is a retry or a hedge; both use the budget of the flags
``--repeat-ratio`` and ``--repeat-slack``.
"""

import asyncio
import typing

from dragonflyslip_core import admission
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import sending
from dragonflyslip_entry.gateway import target_selection

# A request with less time left is not repeated.
MIN_REPEAT_TIME_S = 0.05


class Repeater:
    """Decides on retries, and hedges requests that get no response."""

    def __init__(
        self,
        board: board_types.GatewayBoard,
        target_selector: target_selection.TargetSelector,
        sender: sending.Sender,
    ):
        self.board = board
        self.target_selector = target_selector
        self.sender = sender
        self.loop = asyncio.get_running_loop()

    def may_repeat(
        self, call: calls.Call, body: calls.RequestBody | None
    ) -> bool:
        """Return whether to repeat the request.

        If so, the repeat is taken from the budget and counted.
        """
        if call.may_have_run and not call.route.kind.repeatable:
            return False
        if call.attempts_left < 1:
            return False
        if body is not None and not body.can_restart:
            return False
        now = self.loop.time()
        if call.deadline_at - now < MIN_REPEAT_TIME_S or not call.can_end(now):
            return False
        if not self.board.repeat_budget_of(call.service.name).take():
            self.board.count('repeats_denied')
            return False
        self.board.count('repeats')
        return True

    async def send(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
        excluded: set[str],
    ) -> tuple[probing.ProbedTarget, sending.SendOutcome]:
        """Send a request, with a hedge if it may run twice and is slow.

        The first successful response is returned with its target. The other
        send is cancelled and its connection closed.
        """
        started = self.loop.time()
        load = self.board.route_load_of(call.service.name, call.route.kind)
        if (
            body is not None
            or not call.route.kind.repeatable
            # It may have crashed a target, so it goes to one at a time.
            or self.sender.crashes.is_known(call)
        ):
            outcome = await self.sender.send(call, probed, body)
            self._record_latency(call, load, probed, outcome, started)
            return probed, outcome
        delay_s = admission.hedge_delay_s(
            probed.expected_work, call.route.target_latency_s, load
        )
        first = self.loop.create_task(self.sender.send(call, probed, None))
        sends = {first: probed}
        winner = None
        try:
            await asyncio.wait(sends, timeout=delay_s)
            while not first.done() and len(sends) == 1:
                await self._hedge(call, sends, excluded)
                # If no target had room for a hedge, try again later.
                delay_s *= 2
                await asyncio.wait(
                    sends,
                    timeout=delay_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            winner = await _first_success(list(sends))
            self._record_latency(
                call, load, sends[winner], winner.result(), started
            )
            return sends[winner], winner.result()
        finally:
            for task, other in sends.items():
                if not task.cancel() and task is not winner:
                    self._discard_response(task, other)

    def _discard_response(
        self,
        task: asyncio.Task[sending.SendOutcome],
        probed: probing.ProbedTarget,
    ) -> None:
        """Close the connection of an unfinished response."""
        if task.cancelled() or task.exception() is not None:
            return
        outcome = task.result()
        if isinstance(outcome, sending.Answered) and not outcome.complete:
            self.sender.discard(probed, outcome)

    async def _hedge(
        self,
        call: calls.Call,
        sends: dict[asyncio.Task[sending.SendOutcome], probing.ProbedTarget],
        excluded: set[str],
    ) -> None:
        """Start a second send unless the first one ends before."""
        first = next(iter(sends))
        choice = self.loop.create_task(
            self.target_selector.choose(
                call.service,
                excluded,
                False,
                self.sender.versions.assign_repeat(call),
            )
        )
        try:
            await asyncio.wait(
                [first, choice], return_when=asyncio.FIRST_COMPLETED
            )
            if first.done() or isinstance(
                choice.result(), target_selection.NoTarget
            ):
                return
            other = choice.result()
            # A hedge would only lengthen the queue of a heavily loaded target.
            if other.expected_work > admission.HEDGE_MAX_WORK:
                return
            if self.sender.crashes.is_known(call) or not self.may_repeat(
                call, None
            ):
                return
            excluded.add(other.target.target_id)
            sends[
                self.loop.create_task(self.sender.send(call, other, None))
            ] = other
            self.board.count('hedges')
        finally:
            choice.add_done_callback(self._releaser_of_unused(sends))
            choice.cancel()

    def _releaser_of_unused(
        self, sends: dict[typing.Any, probing.ProbedTarget]
    ):
        """Return a callback that gives back a connection not in ``sends``."""

        def release_unused(
            choice: asyncio.Task[
                probing.ProbedTarget | target_selection.NoTarget
            ],
        ) -> None:
            if choice.cancelled() or choice.exception() is not None:
                return
            chosen = choice.result()
            unused = not any(chosen is other for other in sends.values())
            if isinstance(chosen, probing.ProbedTarget) and unused:
                self.sender.release(chosen, True)

        return release_unused

    def _record_latency(
        self,
        call: calls.Call,
        load: admission.RouteLoad,
        probed: probing.ProbedTarget,
        outcome: sending.SendOutcome,
        started: float,
    ) -> None:
        if isinstance(outcome, sending.Answered) and not outcome.failed:
            load.record(
                self.loop.time() - started,
                probed.expected_work,
                call.route.target_latency_s,
            )


async def _first_success(
    sends: list[asyncio.Task[sending.SendOutcome]],
) -> asyncio.Task[sending.SendOutcome]:
    """Return the first send that succeeds, or else the last one to end."""
    pending = set(sends)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            outcome = task.result()
            if isinstance(outcome, sending.Answered) and not outcome.failed:
                return task
        if not pending:
            return done.pop()
