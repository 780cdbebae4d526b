"""Builds the responses to callers from those of targets, and from errors."""

from aiohttp import web
import multidict

from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import error_responses
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry.gateway import sending


class Responder:
    """Responds to callers.

    :param sender: gets the ends of responses that are streamed.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        dialect: adapters.Dialect,
        sender: sending.Sender,
    ):
        self.board = board
        self.dialect = dialect
        self.sender = sender

    def error(
        self,
        request: web.BaseRequest,
        error_response: error_responses.ErrorResponse,
    ) -> web.Response:
        """Return the response to a caller for an error of the gateway."""
        text = error_response.reason.partition(':')[0]
        response = web.Response(status=error_response.status, text=f'{text}\n')
        if error_response.retry_after_s is not None:
            response.headers['Retry-After'] = (
                f'{error_response.retry_after_s:g}'
            )
        if error_response.challenge is not None:
            response.headers['WWW-Authenticate'] = error_response.challenge
        self._close_if_draining(request, response)
        return response

    def correct_status(
        self, call: calls.Call, answer: sending.Answered
    ) -> sending.Answered | error_responses.ErrorResponse:
        """Replace a status that would falsely state that nothing ran.

        A repeatable request may run twice, so its status is passed on.
        """
        status = answer.response.status
        if (
            status in self.dialect.not_run_statuses
            and not call.route.kind.repeatable
        ):
            call.reason = (
                f'target answered {status} although the request may have run'
            )
            return error_responses.ErrorResponse(502, call.reason)
        return answer

    def relayed(
        self, request: web.BaseRequest, answer: sending.Answered
    ) -> web.Response:
        """Return the response to a caller for a target's, read whole."""
        received = self._end_to_end_headers(answer.response.headers)
        received.popall('Content-Length', None)
        response = web.Response(
            status=answer.response.status,
            reason=answer.response.reason,
            headers=received,
            body=answer.body,
        )
        self._close_if_draining(request, response)
        return response

    async def stream(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
        answer: sending.Answered,
    ) -> web.StreamResponse:
        """Stream a response that is too large to be buffered."""
        response = answer.response
        relayed = web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=self._end_to_end_headers(response.headers),
        )
        self._close_if_draining(request, relayed)
        whole = False
        try:
            await relayed.prepare(request)
            await relayed.write(answer.body)
            async for chunk in response.content.iter_any():
                await relayed.write(chunk)
            if not response.complete:
                raise ConnectionError('the response was truncated')
            await relayed.write_eof()
            whole = True
        finally:
            self.sender.stream_ended(call, probed, body, answer, whole)
            if not whole and request.transport is not None:
                # The part that the caller has received must not look complete.
                request.transport.abort()
        return relayed

    def _end_to_end_headers(
        self, received: adapters.Headers
    ) -> multidict.CIMultiDict[str]:
        return calls.end_to_end_headers(
            received, self.dialect.end_to_end_headers
        )

    def _close_if_draining(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        if self.board.draining:
            request.protocol.close_if_last(response)
