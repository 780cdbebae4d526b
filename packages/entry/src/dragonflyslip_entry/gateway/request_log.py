"""Log lines and metrics of how requests ended."""

import collections.abc
import itertools
import math

from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import error_responses
from dragonflyslip_entry.gateway import metrics
from dragonflyslip_entry.gateway.rollouts import selection
from dragonflyslip_entry import logs

# Lines about single requests that the process logs when it cuts them.
MAX_CUT_LINES = 50


class RequestLog:
    """Logs and counts the ends of requests.

    Points in time are seconds of the event loop's clock.

    :param versions: tells which versions of a service a request was sent to.
    """

    def __init__(
        self,
        gateway_metrics: metrics.GatewayMetrics,
        versions: selection.VersionSelection,
    ):
        self.metrics = gateway_metrics
        self.versions = versions

    def refused(
        self,
        request_id: str,
        refusal: error_responses.ErrorResponse,
        manifest: int | None,
        caller: str | None,
    ) -> None:
        """Record a request that matched no route, or may not use it.

        :param manifest: version of the manifest in force.
        :param caller: address of the caller. It is logged if its key is
            refused, so that operators find whose it is.
        """
        self.metrics.request_ended('', refusal.status, 0.0)
        fields = {}
        if refusal.status == 401:
            fields = {'route': refusal.route, 'caller': caller}
        logs.request(
            'request refused',
            request=request_id,
            status=refusal.status,
            reason=refusal.reason,
            manifest=manifest,
            **fields,
        )

    def ended(
        self,
        call: calls.Call,
        event: str,
        status: int | None,
        stop_at: float,
        now: float,
    ) -> None:
        """Record the end of a request that matched a route.

        :param status: of the response, None if there is none.
        :param stop_at: when a stop ends all requests; infinite without one.
        """
        elapsed_s = now - call.arrived_at
        self.metrics.request_ended(call.service.name, status or 0, elapsed_s)
        logs.request(
            event,
            request=call.request_id,
            route=call.route.name,
            service=call.service.name,
            manifest=call.version,
            targets=call.sent_to,
            **self._version_fields(call),
            status=status,
            reason=call.reason,
            ms=round(elapsed_s * 1000, 1),
            **_stop_fields(call, stop_at),
        )

    def cut(
        self,
        unfinished: collections.abc.Iterable[calls.Call],
        in_flight: int,
        now: float,
    ) -> None:
        """Log the requests that the end of the process leaves unanswered."""
        if not in_flight:
            return
        for call in itertools.islice(unfinished, MAX_CUT_LINES):
            logs.info(
                'request cut',
                request=call.request_id,
                route=call.route.name,
                targets=call.sent_to,
                ms=round((now - call.arrived_at) * 1000, 1),
            )
        logs.info('requests cut', in_flight=in_flight)

    def _version_fields(self, call: calls.Call) -> dict[str, list[str]]:
        """Return the versions of the targets if a service has several."""
        versions = self.versions.versions_of(call.service.name, call.sent_to)
        return {} if versions is None else {'versions': versions}


def _stop_fields(call: calls.Call, stop_at: float) -> dict[str, float]:
    """Return what a stop left for a request when it arrived."""
    if math.isinf(stop_at):
        return {}
    needed_s = call.response_times.needed_s(call.route.target_latency_s)
    return {
        'stop_left_ms': round((stop_at - call.arrived_at) * 1000, 1),
        'needed_ms': round(needed_s * 1000, 1),
    }
