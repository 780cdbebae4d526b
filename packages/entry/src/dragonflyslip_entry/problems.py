"""Responses to refused calls, in the problem details format (RFC 9457)."""

import json

from aiohttp import web

from dragonflyslip_core import outcomes


def refusal_response(refusal: outcomes.Refusal, close: bool) -> web.Response:
    """Return the response for a refusal.

    :param close: whether to close the connection afterwards, which is
        required if a request body has not been read.
    """
    response = web.Response(
        status=refusal.status,
        body=json.dumps(refusal.problem()).encode(),
        content_type='application/problem+json',
        headers={outcomes.OUTCOME_HEADER: refusal.outcome.value},
    )
    if refusal.retry_after_s is not None:
        response.headers['Retry-After'] = str(refusal.retry_after_s)
    if close:
        response.force_close()
    return response
