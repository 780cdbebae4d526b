"""Handles the requests of callers.

A request is matched to a route, sent to a target, repeated if that is allowed,
and answered.
"""

import asyncio
import math
import typing

from aiohttp import web

from dragonflyslip_core import admission
from dragonflyslip_core import rollouts
from dragonflyslip_entry import errors
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.caller_limits import limiter as limiter_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import crash_reports
from dragonflyslip_entry.gateway import error_responses
from dragonflyslip_entry.gateway import metrics
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import quotas
from dragonflyslip_entry.gateway import repeating
from dragonflyslip_entry.gateway import request_log
from dragonflyslip_entry.gateway import request_matching
from dragonflyslip_entry.gateway import responses
from dragonflyslip_entry.gateway import sending
from dragonflyslip_entry.gateway import target_selection
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import logs

# A send that fails before a byte is written costs the target nothing and is
# not counted in the route's max_attempts; this limits such sends per request.
MAX_UNWRITTEN_SENDS = 4
# Reasons of error responses to callers that may still send a long body.
_CLOSING_REASONS = ('body-too-large', 'body-memory')
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestHandler:
    """Answers the requests of callers.

    :ivar busy: protocols of the connections whose request is being handled.
    :ivar unfinished: the requests that are being handled, with the timeout of
        each.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        target_selector: target_selection.TargetSelector,
        sender: sending.Sender,
        dialect: adapters.Dialect,
        gateway_metrics: metrics.GatewayMetrics,
        crashes: crash_reports.CrashReporter,
        quota_controller: quotas.QuotaController,
        limiter: limiter_types.CallerLimiter,
    ):
        self.board = board
        self.limiter = limiter
        self.crashes = crashes
        self.quotas = quota_controller
        self.target_selector = target_selector
        self.sender = sender
        self.versions = sender.versions
        self.repeater = repeating.Repeater(board, target_selector, sender)
        self.responder = responses.Responder(board, dialect, sender)
        self.authenticator = sender.authenticator
        self.matcher = request_matching.RequestMatcher(
            board, dialect, self.authenticator
        )
        self.dialect = dialect
        self.log = request_log.RequestLog(gateway_metrics, self.versions)
        self.loop = asyncio.get_running_loop()
        self.busy: set[typing.Any] = set()
        self.forward_until = math.inf
        self.stop_at = math.inf
        self.unfinished: dict[calls.Call, asyncio.Timeout] = {}
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.busy.add(request.protocol)
        self.in_flight += 1
        self.idle.clear()
        try:
            return await self._handle(request)
        finally:
            self.busy.discard(request.protocol)
            self.in_flight -= 1
            if self.in_flight == 0:
                self.idle.set()

    def answer_by(self, forward_until: float, stop_at: float) -> None:
        """End the present and all further requests because of a stop.

        Times are those of the event loop's clock.

        :param forward_until: when requests begin to be refused on arrival.
        :param stop_at: when requests without a response get an error
            response.
        """
        self.forward_until = forward_until
        self.stop_at = stop_at
        for call, timeout in self.unfinished.items():
            # An expired timeout cannot be rescheduled.
            if not call.streaming and not timeout.expired():
                call.stop_at = stop_at
                timeout.reschedule(call.deadline_at)

    def log_cut_requests(self) -> None:
        """Log the requests that the end of the process leaves unanswered."""
        self.log.cut(self.unfinished, self.in_flight, self.loop.time())

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        call = self.matcher.match(
            request, now, self.forward_until, self.stop_at
        )
        if isinstance(call, error_responses.ErrorResponse):
            self.log.refused(
                self.dialect.parse_request(request.headers).request_id,
                call,
                self._manifest_version(),
                request.remote,
            )
            response = self.responder.error(request, call)
            if call.status in (413, 431):
                self.limiter.count(call.reason.replace('-', '_'))
                response.force_close()
            if _expects_continue(request):
                # Whether its body follows or another request is unknown.
                response.force_close()
            return response
        try:
            async with asyncio.timeout_at(call.deadline_at) as timeout:
                self.unfinished[call] = timeout
                answer = await self.quotas.limit(call)
                if answer is None:
                    self.board.repeat_budget_of(
                        call.service.name
                    ).record_request()
                    answer = await self._serve(request, call)
                else:
                    call.reason = answer.reason
        except TimeoutError:
            answer = self._timeout_response(call)
            if call.streaming:
                self._log_result(call, 'response aborted', None)
                raise
        except asyncio.CancelledError:
            self._log_result(call, 'request cancelled by its caller', None)
            raise
        except Exception as error:
            if request.writer.output_size > 0 or request.transport is None:
                text = http_connection.describe_error(error)
                call.reason = f'response aborted: {text}'
                self._log_result(call, 'response aborted', None)
                raise
            if isinstance(error, errors.CallerBodyError):
                answer = self._body_error_response(call, error)
            else:
                answer = self._fault_response(call, error)
        finally:
            self.unfinished.pop(call, None)
            self.quotas.finish(call)
        return await self._answer(request, call, answer)

    def _timeout_response(
        self, call: calls.Call
    ) -> error_responses.ErrorResponse:
        if not call.ends_with_stop:
            if call.may_have_run:
                call.response_times.record(self.loop.time() - call.arrived_at)
            call.reason = call.reason or 'timeout'
            return error_responses.ErrorResponse(504, 'timeout')
        call.reason = error_responses.STOPPING.reason
        if call.may_have_run:
            return error_responses.ErrorResponse(504, call.reason)
        return error_responses.STOPPING

    def _body_error_response(
        self, call: calls.Call, error: errors.CallerBodyError
    ) -> error_responses.ErrorResponse:
        if isinstance(error, errors.OversizedBodyError):
            call.reason = 'body-too-large'
            self.limiter.count('body_too_large')
            return error_responses.ErrorResponse(
                502 if call.may_have_run else 413, call.reason
            )
        call.reason = 'malformed-body'
        # Targets that got a part of the body may have begun to run it.
        return error_responses.ErrorResponse(
            502 if call.may_have_run else 400, call.reason
        )

    def _fault_response(
        self, call: calls.Call, error: Exception
    ) -> error_responses.ErrorResponse:
        """Log an unexpected exception and return its error response."""
        self.board.count('program_faults')
        logs.LOGGER.error(
            'request failed with an unexpected exception',
            extra={
                'request': call.request_id,
                'trace': logs.trace_without_texts(error),
            },
        )
        call.reason = f'unexpected exception: {type(error).__name__}'
        return self._final_error(call)

    def _manifest_version(self) -> int | None:
        manifest = self.board.manifest
        return None if manifest is None else manifest.version

    async def _serve(
        self, request: web.BaseRequest, call: calls.Call
    ) -> sending.Answered | error_responses.ErrorResponse | web.StreamResponse:
        if not call.has_body:
            return await self._send(request, call, None)
        body = calls.RequestBody(request, self.limiter)
        if not body.begin():
            call.reason = 'body-memory'
            return self._final_error(call)
        try:
            if _expects_continue(request):
                request.transport.write(_CONTINUE)
            return await self._send(request, call, body)
        finally:
            body.end()

    async def _send(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        body: calls.RequestBody | None,
    ) -> sending.Answered | error_responses.ErrorResponse | web.StreamResponse:
        excluded: set[str] = set()
        unwritten = 0
        while True:
            refusal = self._key_refusal(call)
            if refusal is not None:
                return refusal
            refused_s = await self.crashes.refused_for_s(call, body)
            if refused_s is not None:
                call.reason = 'crashes-targets'
                return self._final_error(call, refused_s)
            if not call.can_end(self.loop.time()):
                return self._stopping_error(call)
            probed = await self._choose(call, excluded)
            if isinstance(probed, target_selection.NoTarget):
                call.reason = call.reason or probed.reason
                return self._final_error(call)
            if not self._is_worth_sending(call, probed):
                self.sender.release(probed, True)
                call.reason = 'targets-busy'
                return self._final_error(call)
            excluded.add(probed.target.target_id)
            sent_before = len(call.sent_to)
            probed, outcome = await self.repeater.send(
                call, probed, body, excluded
            )
            if isinstance(outcome, sending.Answered):
                if not outcome.complete:
                    checked = self.responder.correct_status(call, outcome)
                    if isinstance(checked, error_responses.ErrorResponse):
                        self.sender.discard(probed, outcome)
                        return checked
                    self._start_streaming(call)
                    return await self.responder.stream(
                        request, call, probed, body, checked
                    )
                if not (
                    outcome.failed and self.repeater.may_repeat(call, body)
                ):
                    return outcome
                call.reason = f'target answered {outcome.response.status}'
                continue
            call.reason = outcome.reason
            if len(call.sent_to) == sent_before:
                unwritten += 1
                if outcome.reason in sending.TARGET_INDEPENDENT_REASONS:
                    excluded.discard(probed.target.target_id)
                if unwritten < MAX_UNWRITTEN_SENDS and (
                    body is None or body.can_restart
                ):
                    continue
                return self._key_refusal(call) or self._final_error(call)
            if not self.repeater.may_repeat(call, body):
                return self._final_error(call)

    async def _choose(
        self, call: calls.Call, excluded: set[str]
    ) -> probing.ProbedTarget | target_selection.NoTarget:
        """Return a target of a version that the request may use."""
        assignment = self.versions.assign(call)
        probed = await self.target_selector.choose(
            call.service, excluded, self._prefers_local(call), assignment
        )
        if (
            isinstance(probed, target_selection.NoTarget)
            and assignment.group is rollouts.Group.NEW
        ):
            return await self.target_selector.choose(
                call.service,
                excluded,
                self._prefers_local(call),
                self.versions.assign_repeat(call),
            )
        return probed

    def _key_refusal(
        self, call: calls.Call
    ) -> error_responses.ErrorResponse | None:
        """Return the error of a call whose key is no longer known, if so."""
        key_check = self.authenticator.check_call(call, self.loop.time())
        refusal = self.authenticator.refusal(key_check, call.route)
        if refusal is None:
            return None
        call.reason = refusal.reason
        return self._final_error(call) if call.may_have_run else refusal

    def _is_worth_sending(
        self, call: calls.Call, probed: probing.ProbedTarget
    ) -> bool:
        now = self.loop.time()
        admission_request = admission.AdmissionRequest(
            waited_s=call.waited_before_s + now - call.arrived_at,
            left_s=call.deadline_at - now,
            target_latency_s=call.route.target_latency_s,
            is_retry=call.waited_before_s >= admission.RETRY_MIN_WAITED_S,
            started=bool(call.sent_to),
            priority_rank=call.priority_rank,
            expected_work=probed.expected_work,
        )
        load = self.board.route_load_of(call.service.name, call.route.kind)
        return admission.is_worth_sending(admission_request, load)

    def _prefers_local(self, call: calls.Call) -> bool:
        return call.route.kind.large

    def _stopping_error(
        self, call: calls.Call
    ) -> error_responses.ErrorResponse:
        """Return the error of a call that a stop leaves no time to send."""
        if call.may_have_run:
            return error_responses.ErrorResponse(
                502, call.reason or error_responses.STOPPING.reason
            )
        call.reason = error_responses.STOPPING.reason
        return error_responses.STOPPING

    def _final_error(
        self, call: calls.Call, retry_after_s: float | None = None
    ) -> error_responses.ErrorResponse:
        if call.may_have_run:
            return error_responses.ErrorResponse(502, call.reason)
        if retry_after_s is not None:
            return error_responses.ErrorResponse(
                503, call.reason, math.ceil(retry_after_s)
            )
        now = self.loop.time()
        retry_after_s = admission.retry_after_s(
            call.route.target_latency_s,
            call.waited_before_s + now - call.arrived_at,
            call.caller_deadline_at - now,
            self.board.rng.random(),
        )
        return error_responses.ErrorResponse(
            503, call.reason, round(retry_after_s, 3)
        )

    async def _answer(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        answer: sending.Answered
        | error_responses.ErrorResponse
        | web.StreamResponse,
    ) -> web.StreamResponse:
        if isinstance(answer, sending.Answered):
            answer = self.responder.correct_status(call, answer)
        if isinstance(answer, error_responses.ErrorResponse):
            self._log_result(call, 'request failed', answer.status)
            response = self.responder.error(request, answer)
            if answer.reason in _CLOSING_REASONS:
                response.force_close()
            return response
        if isinstance(answer, sending.Answered):
            response = self.responder.relayed(request, answer)
        else:
            response = answer
        if response.status < 500:
            call.response_times.record(self.loop.time() - call.arrived_at)
        self._log_result(call, 'request answered', response.status)
        return response

    def _start_streaming(self, call: calls.Call) -> None:
        # No error response can follow, so the stop does not end a stream
        # before all connections close.
        call.streaming = True
        call.stop_at = math.inf
        timeout = self.unfinished[call]
        if not timeout.expired():
            timeout.reschedule(call.deadline_at)

    def _log_result(
        self, call: calls.Call, event: str, status: int | None
    ) -> None:
        self.log.ended(call, event, status, self.stop_at, self.loop.time())


def _expects_continue(request: web.BaseRequest) -> bool:
    return request.headers.get('Expect', '').lower() == '100-continue'
