"""The path of a call: admit, choose a target, send, relay."""

import asyncio
import time
import typing
import urllib.parse

from aiohttp import web
from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import outcomes
from dragonflyslip_entry import calls
from dragonflyslip_entry import connections
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import metrics
from dragonflyslip_entry import progress
from dragonflyslip_entry import responses
from dragonflyslip_entry import upstream


class Proxy:
    """Handles calls of callers.

    :param draining: whether the entry is about to stop.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        targets: dispatcher.Dispatcher,
        pools: connections.ConnectionTable,
        measures: metrics.Metrics,
    ):
        self.board = board
        self.targets = targets
        self.pools = pools
        self.measures = measures
        self.draining = False
        self.in_flight = 0
        self.busy: set[typing.Any] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.loop = asyncio.get_running_loop()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        self.in_flight += 1
        self.busy.add(request.protocol)
        self.idle.clear()
        try:
            return await self._handle(request)
        finally:
            self.in_flight -= 1
            self.busy.discard(request.protocol)
            if self.in_flight == 0:
                self.idle.set()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        call = self._admit(request, now)
        if isinstance(call, outcomes.Refusal):
            return self._refuse(request, call)
        attempt = _LastAttempt()
        try:
            async with asyncio.timeout_at(call.deadline_at) as timer:
                moving = progress.Progress(
                    timer,
                    call.deadline_at - now,
                    call.profile.progress_timeout_ms / 1000,
                    self.loop,
                )
                answer = await self._forward(request, call, moving, attempt)
        except TimeoutError:
            answer = _timeout_refusal(call, attempt)
        if isinstance(answer, outcomes.Refusal):
            return self._refuse(request, answer)
        self.measures.calls.labels(
            call.service, f'{answer.status // 100}xx'
        ).inc()
        self.measures.latency.labels(call.service).observe(
            self.loop.time() - now
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
            request, service, profile, path, now, time.time()
        )

    async def _forward(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        moving: progress.Progress,
        last: '_LastAttempt',
    ) -> web.StreamResponse | outcomes.Refusal:
        chosen = self.targets.choose(call, set(), self.loop.time())
        if isinstance(chosen, result.Failure):
            return chosen.failure()
        grant = chosen.unwrap()
        attempt = upstream.Attempt(grant.check)
        last.attempt = attempt
        body = None
        if call.has_body:
            body = progress.CallerBody(request, moving, call.expects_continue)
        try:
            exchange = await self._send(call, grant, attempt, body)
            try:
                if not responses.has_known_end(exchange.response):
                    return _bad_gateway(call, attempt, 'unknown-length')
                return await responses.relay(
                    request, exchange.response, moving, self._closes(body)
                )
            finally:
                await exchange.close()
        except errors.SendRefusedError as error:
            return _not_sent(call, error)
        except errors.TargetError as error:
            return _bad_gateway(call, attempt, error.kind)
        finally:
            self.targets.release(grant)

    async def _send(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        attempt: upstream.Attempt,
        body: progress.CallerBody | None,
    ) -> upstream.Exchange:
        pool = self.pools.of(grant.state.target, call.profile)
        return await pool.send(
            attempt,
            call.method,
            call.path,
            call.headers,
            None if body is None else body.stream(),
            call.expects_continue and body is not None,
            idempotent=call.idempotent,
            connect_timeout_s=call.profile.connect_timeout_ms / 1000,
            read_timeout_s=call.profile.progress_timeout_ms / 1000,
        )

    def _closes(self, body: progress.CallerBody | None) -> bool:
        return self.draining or (body is not None and not body.complete)

    def _refuse(
        self, request: web.BaseRequest, refusal: outcomes.Refusal
    ) -> web.StreamResponse:
        self.measures.refusals.labels(
            refusal.kind, refusal.outcome.value
        ).inc()
        return responses.refuse(refusal, self.draining or request.body_exists)


class _LastAttempt:
    attempt: upstream.Attempt | None = None

    @property
    def written(self) -> bool:
        return self.attempt is not None and self.attempt.written


def _target_of(request: web.BaseRequest) -> tuple[str | None, str]:
    raw = request.raw_path
    if request.method in ('CONNECT', 'TRACE') or raw == '*':
        return None, ''
    if raw.startswith('/'):
        return raw, request.headers.get('Host', '')
    parts = urllib.parse.urlsplit(raw)
    path = parts.path or '/'
    return (f'{path}?{parts.query}' if parts.query else path), parts.netloc


def _timeout_refusal(call: calls.Call, last: _LastAttempt) -> outcomes.Refusal:
    outcome = (
        outcomes.Outcome.UNKNOWN if last.written else (call.refused_outcome())
    )
    return outcomes.Refusal(
        504, outcome, 'timeout', 'the deadline of the call has passed'
    )


def _bad_gateway(
    call: calls.Call, attempt: upstream.Attempt, kind: str
) -> outcomes.Refusal:
    outcome = (
        outcomes.Outcome.UNKNOWN
        if attempt.written
        else (call.refused_outcome())
    )
    return outcomes.Refusal(
        502, outcome, kind, 'the target gave no whole response'
    )


def _not_sent(
    call: calls.Call, error: errors.SendRefusedError
) -> outcomes.Refusal:
    return outcomes.Refusal(
        503, call.refused_outcome(), error.kind, error.message, 1
    )
