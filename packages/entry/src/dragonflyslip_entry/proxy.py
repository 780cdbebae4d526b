"""The path of a call: admit, choose a target, send, relay."""

import asyncio
import collections.abc
import dataclasses
import random
import typing
import urllib.parse

from aiohttp import web
from returns import result

from dragonflyslip_core import answers
from dragonflyslip_core import blackboard
from dragonflyslip_core import claims
from dragonflyslip_core import outcomes
from dragonflyslip_core import retries
from dragonflyslip_entry import attempts
from dragonflyslip_entry import calls
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import headers
from dragonflyslip_entry import keyed_calls
from dragonflyslip_entry import metrics
from dragonflyslip_entry import progress
from dragonflyslip_entry import responses

# Sends that failed before a byte was written cost targets nothing, so they
# are no retries; still a call does not try all targets in turn.
_MAX_UNWRITTEN = 4


class Proxy:
    """Handles calls of callers.

    :param clock: returns Unix seconds.
    :param rng: source of random delays.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        granting: dispatcher.Dispatcher,
        runner: attempts.AttemptRunner,
        keyed: keyed_calls.KeyedCalls,
        measures: metrics.Metrics,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
    ):
        self.board = board
        self.granting = granting
        self.runner = runner
        self.keyed = keyed
        self.measures = measures
        self.clock = clock
        self.rng = rng
        self.draining = False
        self.in_flight = 0
        self.busy: set[typing.Any] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.loop = asyncio.get_running_loop()
        self._detached: set[asyncio.Task[keyed_calls.Ran]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        self._begin()
        self.busy.add(request.protocol)
        try:
            return await self._handle(request)
        finally:
            self.busy.discard(request.protocol)
            self._end()

    def _begin(self) -> None:
        self.in_flight += 1
        self.idle.clear()

    def _end(self) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        call = self._admit(request, now)
        if isinstance(call, outcomes.Refusal):
            return self._refuse(request, call)
        try:
            answer = await self._answer(request, call)
        except errors.CallerBodyError as error:
            answer = outcomes.Refusal(
                400, call.refused_outcome(), 'bad-body', error.message
            )
        if isinstance(answer, outcomes.Refusal):
            return self._refuse(request, answer, call.marks_response)
        self.measures.observe(
            call.service, answer.status, self.loop.time() - now
        )
        return answer

    def _admit(
        self, request: web.BaseRequest, now: float
    ) -> calls.Call | outcomes.Refusal:
        path, host = _target_of(request)
        if path is None:
            return outcomes.Refusal(
                501,
                outcomes.Outcome.NOT_RUN,
                'unsupported-request-target',
                f'{request.method} with this request target is not proxied',
            )
        config = self.board.config
        service = config.service_for_host(host)
        profile = None if service is None else config.profile_of(service.name)
        if service is None or profile is None:
            return outcomes.Refusal(
                404,
                outcomes.Outcome.NOT_RUN,
                'unknown-service',
                f'no service is published for host {host!r}',
            )
        return calls.Call.from_request(
            request, service, profile, path, now, self.clock()
        )

    async def _answer(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        control = self.granting.services.of(call.service)
        if control is not None:
            control.retry.budget.record_call()
            control.hedge.budget.record_call()
        if call.key is not None:
            return await self._answer_keyed(request, call)
        if call.at_most_once and call.profile.missing_key == 'refuse':
            return outcomes.Refusal(
                400,
                outcomes.Outcome.NOT_RUN,
                'missing-idempotency-key',
                f'{call.method} to {call.service} needs {headers.KEY_HEADER}',
            )
        try:
            async with asyncio.timeout_at(call.deadline_at) as timer:
                return await self._forward(
                    request, call, self._progress(call, timer)
                )
        except TimeoutError:
            return _timeout(call.refused_outcome())

    def _progress(
        self, call: calls.Call, timer: asyncio.Timeout
    ) -> progress.Progress:
        return progress.Progress(
            timer,
            call.deadline_at - call.arrived_at,
            call.profile.progress_timeout_ms / 1000,
            self.loop,
        )

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
                return _bad_gateway(call, 'unknown-length')
            return await responses.relay(
                request,
                response,
                moving,
                self._closes(body),
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
        written, unwritten = 0, 0
        while True:
            granted = await self.granting.acquire(call, excluded)
            if isinstance(granted, result.Failure):
                return granted.failure()
            grant = granted.unwrap()
            excluded.add(grant.target.instance_id)
            mark = None
            try:
                if body is None and not written and call.idempotent:
                    sent = await self.runner.send_hedged(call, grant, excluded)
                else:
                    sent = await self.runner.send(
                        call, grant, body, repeated=written > 0
                    )
                if not sent.shed:
                    return sent
                call.written = call.lost
                mark = sent.exchange.response.headers.get(retries.RETRY_HEADER)
                written += 1
                if not await self._may_repeat(
                    call, grant, written, body, mark
                ):
                    return sent
                self.runner.finish(call, sent)
                continue
            except errors.SendRefusedError as error:
                unwritten += 1
                if unwritten >= _MAX_UNWRITTEN:
                    return _not_sent(call, error)
                if error.kind == 'suspect-request':
                    return _not_sent(call, error)
                continue
            except errors.TargetError as error:
                if not error.written and not (body and body.started):
                    unwritten += 1
                    if unwritten < _MAX_UNWRITTEN:
                        continue
                    return _bad_gateway(call, error.kind)
                written += 1
                if not await self._may_repeat(
                    call, grant, written, body, None
                ):
                    return _bad_gateway(call, error.kind)

    async def _may_repeat(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        written: int,
        body: progress.CallerBody | None,
        response_mark: str | None,
    ) -> bool:
        control = grant.control
        decision = control.retry.next_attempt(
            attempts.progress_of(call, written, body),
            self.loop.time(),
            self.rng,
            control.queue.needed_s,
            response_mark,
        )
        if isinstance(decision, retries.NoRepeat):
            self.board.count(f'retries_denied_{decision.reason.name.lower()}')
            call.marks_response |= decision.marks_response
            return False
        self.board.count('retries')
        await asyncio.sleep(max(0.0, decision.at - self.loop.time()))
        return True

    async def _answer_keyed(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        ran_here = False

        async def run(claim: claims.CallClaim) -> keyed_calls.Ran:
            nonlocal ran_here
            ran_here = True
            return await self._run_claimed(request, call, claim)

        # The call goes on when its caller leaves: a repeat then gets the
        # answer, where a cancelled call would leave its outcome unknown.
        self._begin()
        task = self.loop.create_task(self.keyed.handle(call, run))
        self._detached.add(task)
        task.add_done_callback(self._detached_done)
        ran = await asyncio.shield(task)
        if isinstance(ran, answers.Answer):
            return responses.replay(
                ran, self._closes_early(request), replayed=not ran_here
            )
        if ran is None:
            raise ConnectionError('the response has been sent')
        return ran

    def _detached_done(self, task: asyncio.Task[keyed_calls.Ran]) -> None:
        self._detached.discard(task)
        self._end()
        if not task.cancelled() and task.exception() is not None:
            self.board.count('keyed_call_failures')

    async def _run_claimed(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        claim: claims.CallClaim,
    ) -> keyed_calls.Ran:
        call.fingerprint = keyed_calls.crash_fingerprint(call)
        try:
            async with asyncio.timeout_at(call.deadline_at) as timer:
                return await self._send_claimed(
                    request, call, claim, self._progress(call, timer)
                )
        except TimeoutError:
            return _timeout(self._give_up(claim))

    async def _send_claimed(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        claim: claims.CallClaim,
        moving: progress.Progress,
    ) -> keyed_calls.Ran:
        body = None
        if call.has_body:
            body = progress.CallerBody(request, moving, call.expects_continue)
        sent = await self._send_once(call, claim, body)
        if isinstance(sent, outcomes.Refusal):
            return sent
        try:
            if sent.shed:
                return outcomes.Refusal(
                    503,
                    self._release(claim),
                    'target-shed',
                    'the target refused the call before running it',
                    retry_after_s=1,
                )
            if not sent.exchange.response.has_known_end:
                return _bad_gateway(call, 'unknown-length')
            return await self._collect(request, sent, moving, body)
        finally:
            self.runner.finish(call, sent)

    async def _send_once(
        self,
        call: calls.Call,
        claim: claims.CallClaim,
        body: progress.CallerBody | None,
    ) -> attempts.Sent | outcomes.Refusal:
        excluded: set[str] = set()
        while True:
            granted = await self.granting.acquire(call, excluded)
            if isinstance(granted, result.Failure):
                refusal = granted.failure()
                return _with_outcome(refusal, self._give_up(claim))
            grant = granted.unwrap()
            excluded.add(grant.target.instance_id)
            try:
                return await self.runner.send(
                    call, grant, body, extra_check=claim.begin_send
                )
            except errors.SendRefusedError as error:
                if len(excluded) >= _MAX_UNWRITTEN or (
                    error.kind == 'suspect-request'
                ):
                    refusal = _not_sent(call, error)
                    return _with_outcome(refusal, self._give_up(claim))
            except errors.TargetError as error:
                retriable = not error.written and not (body and body.started)
                if not retriable or len(excluded) >= _MAX_UNWRITTEN:
                    refusal = _bad_gateway(call, error.kind)
                    return _with_outcome(refusal, self._give_up(claim))

    async def _collect(
        self,
        request: web.BaseRequest,
        sent: attempts.Sent,
        moving: progress.Progress,
        body: progress.CallerBody | None,
    ) -> keyed_calls.Ran:
        """Read a response that is short enough to be kept, else relay it."""
        response = sent.exchange.response
        head = b''
        try:
            async for chunk in response.content.iter_any():
                moving.moved(self.loop.time())
                head += chunk
                if len(head) > answers.MAX_BODY_BYTES:
                    await responses.relay(
                        request, response, moving, True, head
                    )
                    return None
        except Exception:
            return outcomes.Refusal(
                502,
                outcomes.Outcome.UNKNOWN,
                'target-disconnected',
                'the response of the target broke off',
            )
        kept = headers.forwarded_response_headers(response.headers)
        return answers.Answer(response.status, tuple(kept.items()), head)

    def _give_up(self, claim: claims.CallClaim) -> outcomes.Outcome:
        if claim.state is claims.ClaimState.HELD:
            return self._release(claim)
        return outcomes.Outcome.UNKNOWN

    def _release(self, claim: claims.CallClaim) -> outcomes.Outcome:
        self.keyed.claiming.release(claim)
        return outcomes.Outcome.NOT_RUN

    def _closes(self, body: progress.CallerBody | None) -> bool:
        return self.draining or (body is not None and not body.complete)

    def _closes_early(self, request: web.BaseRequest) -> bool:
        return self.draining or not request.content.at_eof()

    def _refuse(
        self,
        request: web.BaseRequest,
        refusal: outcomes.Refusal,
        marked: bool = False,
    ) -> web.StreamResponse:
        self.measures.count_refusal(refusal.kind, refusal.outcome.value)
        response = responses.refuse(
            refusal, self.draining or request.body_exists
        )
        if marked:
            response.headers[retries.RETRY_HEADER] = retries.RETRY_VALUE
        return response


def _target_of(request: web.BaseRequest) -> tuple[str | None, str]:
    raw = request.raw_path
    if request.method in ('CONNECT', 'TRACE') or raw == '*':
        return None, ''
    if raw.startswith('/'):
        return raw, request.headers.get('Host', '')
    parts = urllib.parse.urlsplit(raw)
    path = parts.path or '/'
    return (f'{path}?{parts.query}' if parts.query else path), parts.netloc


def _timeout(outcome: outcomes.Outcome) -> outcomes.Refusal:
    return outcomes.Refusal(
        504, outcome, 'timeout', 'the deadline of the call has passed'
    )


def _bad_gateway(call: calls.Call, kind: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        502,
        call.refused_outcome(),
        kind,
        'the target gave no whole response',
    )


def _not_sent(
    call: calls.Call, error: errors.SendRefusedError
) -> outcomes.Refusal:
    return outcomes.Refusal(
        503, call.refused_outcome(), error.kind, error.message, 1
    )


def _with_outcome(
    refusal: outcomes.Refusal, outcome: outcomes.Outcome
) -> outcomes.Refusal:
    return dataclasses.replace(refusal, outcome=outcome)
