"""Matches requests of callers to routes and services."""

from aiohttp import web

from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import authenticating
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import error_responses
from dragonflyslip_entry import request_targets

# Timeout of a caller that does not state one.
DEFAULT_CALLER_TIMEOUT_S = 30.0
# Retry-After for callers that reach a process which has just started, or whose
# manifest lacks the service of a route.
NO_MANIFEST_RETRY_S = 0.25


class RequestMatcher:
    """Finds the route and the service of a request."""

    def __init__(
        self,
        board: board_types.GatewayBoard,
        dialect: adapters.Dialect,
        authenticator: authenticating.Authenticator,
    ):
        self.board = board
        self.dialect = dialect
        self.authenticator = authenticator

    def match(
        self,
        request: web.BaseRequest,
        now: float,
        forward_until: float,
        stop_at: float,
    ) -> calls.Call | error_responses.ErrorResponse:
        """Return the call of a request, or why there is none.

        :param now: time of the event loop.
        :param forward_until: from when on a stop refuses all requests;
            infinite without one.
        :param stop_at: when a stop ends all requests; infinite without one.
        """
        if now >= forward_until:
            return error_responses.STOPPING
        manifest = self.board.manifest
        if manifest is None or not self.board.targets_listed:
            return error_responses.ErrorResponse(
                503, 'no-manifest', NO_MANIFEST_RETRY_S
            )
        target = request_targets.RequestTarget.from_request(request)
        if target is None:
            return error_responses.ErrorResponse(
                400, 'malformed-request-target'
            )
        path = target.path.partition('?')[0]
        route = manifest.find_route(target.host, path)
        if route is None:
            return error_responses.ErrorResponse(404, 'no-route')
        credentials = self.dialect.parse_credentials(request.headers)
        key_check = self.authenticator.check(route, credentials, now)
        if not key_check.allowed:
            return self.authenticator.refusal(key_check, route)
        if _head_bytes(request) > manifest.limits.max_header_bytes:
            return error_responses.ErrorResponse(431, 'head-too-large')
        limit = manifest.limits.max_body_bytes
        if (request.content_length or 0) > limit:
            return error_responses.ErrorResponse(413, 'body-too-large')
        service = manifest.services.get(route.choose_service(self.board.rng))
        if service is None:
            return error_responses.ErrorResponse(
                503, 'unknown-service', NO_MANIFEST_RETRY_S
            )
        metadata = self.dialect.parse_request(request.headers)
        caller_timeout_s = (
            DEFAULT_CALLER_TIMEOUT_S
            if metadata.timeout_s is None
            else metadata.timeout_s
        )
        waited_before_s = self.board.route_load_of(
            service.name, route.kind
        ).waited_before_s(caller_timeout_s)
        forwarded = calls.end_to_end_headers(
            request.headers, self.dialect.end_to_end_headers
        )
        forwarded['Host'] = target.host
        call = calls.Call(
            request_id=metadata.request_id,
            route=route,
            service=service,
            method=request.method,
            path=target.path,
            headers=forwarded,
            has_body=request.body_exists,
            arrived_at=now,
            caller_deadline_at=now + min(caller_timeout_s, route.timeout_s),
            stop_at=stop_at,
            waited_before_s=waited_before_s,
            priority_rank=manifest.priority_rank(
                service.name, route, key_check.account
            ),
            response_times=self.board.response_times_of(route.name),
            version=manifest.version,
            credentials=credentials,
            key_check=key_check,
        )
        return call if call.can_end(now) else error_responses.STOPPING


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the length of a head without optional white space."""
    # Two spaces, the version and the line end; the end of the head.
    size = len(request.method) + len(request.raw_path) + 14
    return size + sum(
        len(name) + len(value) + 3 for name, value in request.raw_headers
    )
