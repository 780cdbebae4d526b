"""Calls that need no claim: send, retry, hedge, relay."""

import asyncio
import random

from aiohttp import web
from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import outcomes
from dragonflyslip_core import retries
from dragonflyslip_entry import attempts
from dragonflyslip_entry import calls
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import progress
from dragonflyslip_entry import refusals
from dragonflyslip_entry import responses

# Sends that failed before a byte was written cost targets nothing, so they
# are no retries; still a call does not try all targets in turn.
MAX_UNWRITTEN = 4

_Ended = attempts.Sent | errors.SendRefusedError | errors.TargetError


class PlainCalls:
    """Sends calls until one is answered or may not be repeated.

    :param rng: source of random delays.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        granting: dispatcher.Dispatcher,
        runner: attempts.AttemptRunner,
        rng: random.Random,
    ):
        self.board = board
        self.granting = granting
        self.runner = runner
        self.rng = rng
        self.loop = asyncio.get_running_loop()

    async def handle(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        """Answer one call, within its deadline."""
        try:
            async with asyncio.timeout_at(call.deadline_at) as timer:
                moving = progress.Progress.of_call(call, timer, self.loop)
                return await self._forward(request, call, moving)
        except TimeoutError:
            return refusals.timeout(call.refused_outcome())

    async def _forward(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        moving: progress.Progress,
    ) -> web.StreamResponse | outcomes.Refusal:
        body = None
        if call.has_body:
            body = progress.CallerBody(request, moving, call.expects_continue)
            # A caller that waits for 100 Continue sends nothing yet; its
            # request is not checked against earlier crashes.
            if not call.expects_continue:
                fingerprint = call.stream_fingerprint()
                await body.read_head(fingerprint)
                call.fingerprint = fingerprint.value()
        suspect = self._suspicion(call)
        if suspect is not None:
            return suspect
        sent = await self._send_until_answered(call, body)
        if isinstance(sent, outcomes.Refusal):
            return sent
        try:
            response = sent.exchange.response
            if not response.has_known_end:
                return refusals.bad_gateway(call, 'unknown-length')
            return await responses.relay(
                request,
                response,
                moving,
                self.board.membership.draining
                or (body is not None and not body.complete),
                outcome=call.refused_outcome() if sent.shed else None,
            )
        finally:
            self.runner.finish(call, sent)

    def _suspicion(self, call: calls.Call) -> outcomes.Refusal | None:
        if not self.board.suspects.any_marks():
            return None
        return self.board.suspects.refusal(
            call.crash_fingerprint(),
            call.refused_outcome(),
            self.loop.time(),
        )

    async def _send_until_answered(
        self, call: calls.Call, body: progress.CallerBody | None
    ) -> attempts.Sent | outcomes.Refusal:
        excluded: set[str] = set()
        unwritten = 0
        while True:
            granted = await self.granting.acquire(call, excluded)
            if isinstance(granted, result.Failure):
                return granted.failure()
            grant = granted.unwrap()
            excluded.add(grant.target.instance_id)
            ended = await self._try(call, grant, body, excluded)
            if isinstance(ended, attempts.Sent) and not ended.shed:
                return ended
            if _is_unwritten(ended, body):
                unwritten += 1
                if unwritten < MAX_UNWRITTEN and not _is_final(ended):
                    continue
                return _refusal_of(call, ended)
            repeat = self._repeat(call, grant, body, ended)
            if isinstance(ended, attempts.Sent):
                if repeat is None:
                    return ended
                self.runner.finish(call, ended)
            if repeat is None:
                return _refusal_of(call, ended)
            await asyncio.sleep(max(0.0, repeat.at - self.loop.time()))

    async def _try(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        excluded: set[str],
    ) -> _Ended:
        try:
            if body is None and not call.sends and call.idempotent:
                sent = await self.runner.send_hedged(call, grant, excluded)
            else:
                sent = await self.runner.send(
                    call, grant, body, repeated=call.sends > 0
                )
        except (errors.SendRefusedError, errors.TargetError) as error:
            return error
        if sent.shed:
            call.written = call.lost
        return sent

    def _repeat(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        ended: _Ended,
    ) -> retries.Repeat | None:
        """Return when to send the call again, None if not at all."""
        mark = None
        if isinstance(ended, attempts.Sent):
            mark = ended.exchange.response.headers.get(retries.RETRY_HEADER)
        control = grant.control
        decision = control.retry.next_attempt(
            attempts.progress_of(call, call.sends, body),
            self.loop.time(),
            self.rng,
            control.queue.needed_s,
            mark,
        )
        if isinstance(decision, retries.NoRepeat):
            self.board.count(f'retries_denied_{decision.reason.name.lower()}')
            call.marks_response |= decision.marks_response
            return None
        self.board.count('retries')
        return decision


def _is_unwritten(ended: _Ended, body: progress.CallerBody | None) -> bool:
    match ended:
        case errors.SendRefusedError():
            return True
        case errors.TargetError():
            return not ended.written and not (body and body.started)
    return False


def _is_final(ended: _Ended) -> bool:
    return (
        isinstance(ended, errors.SendRefusedError)
        and ended.kind == 'suspect-request'
    )


def _refusal_of(call: calls.Call, ended: _Ended) -> outcomes.Refusal:
    if isinstance(ended, errors.SendRefusedError):
        return refusals.not_sent(call, ended)
    return refusals.bad_gateway(call, ended.kind)
