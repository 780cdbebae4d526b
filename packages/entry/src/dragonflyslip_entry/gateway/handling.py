"""The path of a request: route, choose, send, repeat, answer."""

import asyncio
import typing

from aiohttp import web

from dragonflyslip_core import admission
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import asking
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import metrics
from dragonflyslip_entry.gateway import repeating
from dragonflyslip_entry.gateway import sending
from dragonflyslip_entry import logs

# Wait of a caller that does not say how long it waits.
DEFAULT_WAIT_S = 30.0
# A caller that meets a process which has just started may come back so soon.
NO_MANIFEST_RETRY_S = 0.25
# Sends that failed before a byte was written cost targets nothing, but one
# request does not try them all.
MAX_UNWRITTEN = 4
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Refused(typing.NamedTuple):
    """A failure of the gateway's own.

    :param retry_after_s: seconds after which a repeat makes sense.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class RequestHandler:
    """Answers requests of callers."""

    def __init__(
        self,
        board: board_types.GatewayBoard,
        asker: asking.Asker,
        sender: sending.Sender,
        dialect: adapters.Dialect,
        measures: metrics.GatewayMetrics,
    ):
        self.board = board
        self.asker = asker
        self.sender = sender
        self.repeater = repeating.Repeater(board, asker, sender)
        self.dialect = dialect
        self.measures = measures
        self.loop = asyncio.get_running_loop()
        self.busy: set[typing.Any] = set()
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

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        call = self._admit(request, now)
        if isinstance(call, Refused):
            self.measures.request_ended('', call.status, 0.0)
            marks = self.dialect.read_request(request.headers)
            logs.request(
                'request refused',
                request=marks.request_id,
                status=call.status,
                reason=call.reason,
                manifest=self._version(),
            )
            return self._refuse(request, call)
        try:
            async with asyncio.timeout_at(call.deadline_at):
                answer = await self._serve(request, call)
        except TimeoutError:
            call.reason = call.reason or 'timeout'
            answer = Refused(504, 'timeout')
        except asyncio.CancelledError:
            self._log(call, 'request cancelled by its caller', None)
            raise
        except Exception as error:
            if request.writer.output_size > 0 or request.transport is None:
                raise
            answer = self._failed(call, error)
        return await self._answer(request, call, answer)

    def _failed(self, call: calls.Call, error: Exception) -> Refused:
        """Answer a request that a fault of the program ended."""
        self.board.count('program_faults')
        logs.LOGGER.error(
            'request met a fault of the program',
            exc_info=error,
            extra={'request': call.request_id},
        )
        call.reason = f'fault: {type(error).__name__}'
        return self._give_up(call)

    def _version(self) -> int | None:
        manifest = self.board.manifest
        return None if manifest is None else manifest.version

    def _admit(
        self, request: web.BaseRequest, now: float
    ) -> calls.Call | Refused:
        manifest = self.board.manifest
        if manifest is None or not self.board.targets_listed:
            return Refused(503, 'no-manifest', NO_MANIFEST_RETRY_S)
        raw = request.raw_path
        path = raw.partition('?')[0]
        route = manifest.find_route(request.headers.get('Host', ''), path)
        if route is None:
            return Refused(404, 'no-route')
        limit = manifest.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            return Refused(413, 'body-too-large')
        service = manifest.services.get(route.choose_service(self.board.rng))
        if service is None:
            return Refused(503, 'unknown-service', NO_MANIFEST_RETRY_S)
        marks = self.dialect.read_request(request.headers)
        wait_s = DEFAULT_WAIT_S if marks.wait_s is None else marks.wait_s
        waited_before_s = self.board.load_of(
            service.name, route.kind
        ).waited_before_s(wait_s)
        self.board.repeats_of(service.name).request()
        return calls.Call(
            request_id=marks.request_id,
            route=route,
            service=service,
            method=request.method,
            path=raw,
            headers=calls.end_to_end_headers(request.headers),
            has_body=request.body_exists,
            arrived_at=now,
            deadline_at=now + min(wait_s, route.timeout_s),
            waited_before_s=waited_before_s,
            urgency=manifest.lowest_rank[service.name] - route.priority,
            version=manifest.version,
        )

    async def _serve(
        self, request: web.BaseRequest, call: calls.Call
    ) -> sending.Answered | Refused | web.StreamResponse:
        body = None
        if call.has_body:
            body = calls.RequestBody(request)
            if request.headers.get('Expect', '').lower() == '100-continue':
                request.transport.write(_CONTINUE)
        excluded: set[str] = set()
        unwritten = 0
        while True:
            asked = await self.asker.choose(
                call.service, excluded, self._near_first(call)
            )
            if isinstance(asked, asking.NoTarget):
                call.reason = call.reason or asked.reason
                return self._give_up(call)
            if not self._is_worth_sending(call, asked):
                self.sender.release(asked, True)
                call.reason = 'targets-busy'
                return self._give_up(call)
            excluded.add(asked.target.target_id)
            sent_before = len(call.sent_to)
            asked, ended = await self.repeater.send(
                call, asked, body, excluded
            )
            if isinstance(ended, sending.Answered):
                if not ended.complete:
                    return await self._stream(request, call, asked, ended)
                if not (ended.failed and self.repeater.may_repeat(call, body)):
                    return ended
                call.reason = f'target answered {ended.response.status}'
                continue
            call.reason = ended.reason
            if len(call.sent_to) == sent_before:
                unwritten += 1
                if unwritten < MAX_UNWRITTEN and (
                    body is None or body.can_restart
                ):
                    continue
                return self._give_up(call)
            if not self.repeater.may_repeat(call, body):
                return self._give_up(call)

    def _is_worth_sending(self, call: calls.Call, asked: asking.Asked) -> bool:
        now = self.loop.time()
        prospect = admission.Prospect(
            waited_s=call.waited_before_s + now - call.arrived_at,
            left_s=call.deadline_at - now,
            target_latency_s=call.route.target_latency_s,
            returned=call.waited_before_s >= admission.RETURNED_S,
            started=bool(call.sent_to),
            urgency=call.urgency,
            expected_work=asked.expected_work,
        )
        load = self.board.load_of(call.service.name, call.route.kind)
        return admission.is_worth_sending(prospect, load)

    def _near_first(self, call: calls.Call) -> bool:
        return call.route.kind is manifest_types.RouteKind.UPLOAD

    def _give_up(self, call: calls.Call) -> Refused:
        if call.may_have_run:
            return Refused(502, call.reason)
        now = self.loop.time()
        retry_after_s = admission.retry_after_s(
            call.route.target_latency_s,
            call.waited_before_s + now - call.arrived_at,
            call.deadline_at - now,
            self.board.rng.random(),
        )
        return Refused(503, call.reason, round(retry_after_s, 3))

    async def _answer(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        answer: sending.Answered | Refused | web.StreamResponse,
    ) -> web.StreamResponse:
        if isinstance(answer, sending.Answered):
            answer = self._checked(call, answer)
        if isinstance(answer, Refused):
            self._log(call, 'request failed', answer.status)
            return self._refuse(request, answer)
        if isinstance(answer, sending.Answered):
            response = self._relayed(answer)
            response.body = answer.body
            self._close_if_draining(response)
        else:
            response = answer
        self._log(call, 'request answered', response.status)
        return response

    def _checked(
        self, call: calls.Call, answer: sending.Answered
    ) -> sending.Answered | Refused:
        """Replace a failure that would falsely say that nothing ran."""
        status = answer.response.status
        if (
            status in self.dialect.not_run_statuses
            and not call.route.kind.repeatable
        ):
            call.reason = f'target answered {status} after it may have run'
            return Refused(502, call.reason)
        return answer

    def _relayed(self, answer: sending.Answered) -> web.Response:
        received = calls.end_to_end_headers(answer.response.headers)
        received.popall('Content-Length', None)
        return web.Response(
            status=answer.response.status,
            reason=answer.response.reason,
            headers=received,
        )

    async def _stream(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        asked: asking.Asked,
        answer: sending.Answered,
    ) -> web.StreamResponse:
        """Relay a response that is too large to be read first."""
        response = answer.response
        relayed = web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=calls.end_to_end_headers(response.headers),
        )
        self._close_if_draining(relayed)
        whole = False
        try:
            await relayed.prepare(request)
            await relayed.write(answer.body)
            async for chunk in response.content.iter_any():
                await relayed.write(chunk)
            if not response.whole:
                raise ConnectionError('the response was cut')
            await relayed.write_eof()
            whole = True
        finally:
            self.sender.release(asked, whole)
            if not whole and request.transport is not None:
                # What the caller has got must not look complete.
                request.transport.abort()
        return relayed

    def _refuse(
        self, request: web.BaseRequest, refused: Refused
    ) -> web.Response:
        response = web.Response(
            status=refused.status, text=f'{refused.reason}\n'
        )
        if refused.retry_after_s is not None:
            response.headers['Retry-After'] = f'{refused.retry_after_s:g}'
        self._close_if_draining(response)
        return response

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        if self.board.draining:
            response.force_close()

    def _log(self, call: calls.Call, event: str, status: int | None) -> None:
        took_s = self.loop.time() - call.arrived_at
        self.measures.request_ended(call.service.name, status or 0, took_s)
        logs.request(
            event,
            request=call.request_id,
            route=call.route.name,
            service=call.service.name,
            manifest=call.version,
            targets=call.sent_to,
            status=status,
            reason=call.reason,
            ms=round(took_s * 1000, 1),
        )
