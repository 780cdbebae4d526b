"""Error responses that the gateway itself makes."""

import typing

# Retry-After for callers of a gateway that stops: another one can serve them.
STOPPING_RETRY_S = 0.05


class ErrorResponse(typing.NamedTuple):
    """An error response made by the gateway itself.

    :param reason: short text for the log. Callers get the part before a
        colon: what follows is text of an exception, which may quote a target.
    :param retry_after_s: seconds after which the caller may try again; None
        if it should not.
    :param challenge: value of ``WWW-Authenticate``, None for none.
    :param route: name of the route of the request, for the log.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    challenge: str | None = None
    route: str | None = None


# The response to requests that a stopping gateway does not pass on.
STOPPING = ErrorResponse(503, 'gateway-stopping', STOPPING_RETRY_S)
