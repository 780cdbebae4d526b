"""The HTTP server towards callers."""

import typing

from aiohttp import http
from aiohttp import web

from dragonflyslip_core import outcomes
from dragonflyslip_entry import problems

# Headers beyond these sizes get 400 and the connection is closed.
_MAX_LINE_BYTES = 16_384
_KEEPALIVE_S = 75.0


class _CallerProtocol(web.RequestHandler):
    """Answers unparsable requests as every other refusal."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if request.writer.output_size > 0:
            raise ConnectionError('the response has been sent in part')
        # The parser leaves the version of a request that does not parse at
        # 1.0, which is not what the caller speaks.
        request._version = http.HttpVersion11
        # 5xx here means that the handler failed, perhaps after a send.
        outcome = outcomes.Outcome.UNKNOWN
        kind = 'internal-error'
        if status < 500:
            outcome = outcomes.Outcome.NOT_RUN
            kind = 'bad-request'
        elif exc is not None:
            self.log_exception('call failed', exc_info=exc)
        return problems.refuse(
            outcomes.Refusal(
                status,
                outcome,
                kind,
                'the request does not parse'
                if status < 500
                else 'the entry failed to handle the call',
            ),
            close=True,
        )


class CallerServer(web.Server):
    """Server whose idle connections can be closed without the busy ones.

    :param handler: coroutine function that answers a request.
    """

    def __init__(self, handler: typing.Any):
        super().__init__(handler, handler_cancellation=True)
        self.busy: set[typing.Any] = set()
        self.options = {
            'keepalive_timeout': _KEEPALIVE_S,
            'access_log': None,
            'max_line_size': _MAX_LINE_BYTES,
            'max_field_size': _MAX_LINE_BYTES,
        }

    def __call__(self) -> web.RequestHandler:
        return _CallerProtocol(self, loop=self._loop, **self.options)

    def close_idle(self) -> None:
        """Close connections without a request.

        A busy connection is left alone: closing it would discard the rest
        of an upload. It closes after its response.
        """
        for protocol in self.connections:
            if protocol not in self.busy:
                # A plain close() ends the task that reads requests, but
                # leaves the connection open, and a request on it unanswered.
                protocol.force_close()
