"""Sends, retries, hedges and relays calls that need no claim.

These are the calls without an idempotency key, and all calls whose method the
profile does not limit to one run.
"""

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

# Attempts that failed before a byte was written put no load on targets, so
# they do not count as retries. This limit keeps a call from trying every
# target.
MAX_UNWRITTEN_ATTEMPTS = 4

_SendResult = (
    attempts.AnsweredAttempt | errors.SendRefusedError | errors.TargetError
)


class PlainCalls:
    """Sends a call until it is answered or may not be repeated.

    :param timeouts: timeouts of all calls.
    :param rng: source of random delays.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        call_dispatcher: dispatcher.Dispatcher,
        runner: attempts.AttemptRunner,
        timeouts: progress.CallTimeouts,
        rng: random.Random,
    ):
        self.board = board
        self.call_dispatcher = call_dispatcher
        self.runner = runner
        self.timeouts = timeouts
        self.rng = rng
        self.loop = asyncio.get_running_loop()

    async def handle(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        """Answer one call, within its deadline."""
        try:
            async with self.timeouts.limit(call) as progress_timeout:
                return await self._forward(request, call, progress_timeout)
        except TimeoutError:
            return self.timeouts.refusal(call.refused_outcome())

    async def _forward(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        progress_timeout: progress.ProgressTimeout,
    ) -> web.StreamResponse | outcomes.Refusal:
        body = None
        if call.has_body:
            body = progress.CallerBody(
                request, progress_timeout, call.expects_continue
            )
            # A caller that waits for 100 Continue has sent no body yet, so
            # its request is not matched with the bodies of earlier crashes.
            if not call.expects_continue:
                fingerprint = call.stream_fingerprint()
                await body.buffer_head(fingerprint)
                call.fingerprint = fingerprint.value()
        suspect = self._refuse_suspect(call)
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
                progress_timeout,
                self.board.membership.draining
                or (body is not None and not body.complete),
                outcome=call.refused_outcome() if sent.shed else None,
            )
        finally:
            self.runner.finish(call, sent)

    def _refuse_suspect(self, call: calls.Call) -> outcomes.Refusal | None:
        if not self.board.suspects.has_marks():
            return None
        return self.board.suspects.refusal(
            call.crash_fingerprint(),
            call.refused_outcome(),
            self.loop.time(),
        )

    async def _send_until_answered(
        self, call: calls.Call, body: progress.CallerBody | None
    ) -> attempts.AnsweredAttempt | outcomes.Refusal:
        excluded: set[str] = set()
        unwritten = 0
        while True:
            granted = await self.call_dispatcher.acquire(call, excluded)
            if isinstance(granted, result.Failure):
                return granted.failure()
            grant = granted.unwrap()
            excluded.add(grant.target.instance_id)
            send_result = await self._send_attempt(call, grant, body, excluded)
            if (
                isinstance(send_result, attempts.AnsweredAttempt)
                and not send_result.shed
            ):
                return send_result
            if _is_unwritten(send_result, body):
                unwritten += 1
                if unwritten < MAX_UNWRITTEN_ATTEMPTS and not _is_final(
                    send_result
                ):
                    continue
                return _refusal_of(call, send_result)
            repeat = self._plan_repeat(call, grant, body, send_result)
            if isinstance(send_result, attempts.AnsweredAttempt):
                if repeat is None:
                    return send_result
                self.runner.finish(call, send_result)
            if repeat is None:
                return _refusal_of(call, send_result)
            await asyncio.sleep(max(0.0, repeat.at - self.loop.time()))

    async def _send_attempt(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        excluded: set[str],
    ) -> _SendResult:
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
            call.written = call.lost_attempt
        return sent

    def _plan_repeat(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        send_result: _SendResult,
    ) -> retries.Repeat | None:
        """Return when to repeat the call, None if it must not be repeated."""
        # In a response, this header asks callers not to repeat the call.
        retry_header = None
        if isinstance(send_result, attempts.AnsweredAttempt):
            retry_header = send_result.exchange.response.headers.get(
                retries.RETRY_HEADER
            )
        control = grant.control
        decision = control.retry_policy.next_attempt(
            attempts.call_progress(call, call.sends, body),
            self.loop.time(),
            self.rng,
            control.queue.needed_s,
            retry_header,
        )
        if isinstance(decision, retries.NoRepeat):
            self.board.count(f'retries_denied_{decision.reason.name.lower()}')
            call.asks_no_retry |= decision.marks_response
            return None
        self.board.count('retries')
        return decision


def _is_unwritten(
    send_result: _SendResult, body: progress.CallerBody | None
) -> bool:
    match send_result:
        case errors.SendRefusedError():
            return True
        case errors.TargetError():
            return not send_result.written and not (body and body.started)
    return False


def _is_final(send_result: _SendResult) -> bool:
    return (
        isinstance(send_result, errors.SendRefusedError)
        and send_result.kind == 'suspect-request'
    )


def _refusal_of(
    call: calls.Call, send_result: _SendResult
) -> outcomes.Refusal:
    if isinstance(send_result, errors.SendRefusedError):
        return refusals.not_sent(call, send_result)
    return refusals.bad_gateway(call, send_result.kind)
