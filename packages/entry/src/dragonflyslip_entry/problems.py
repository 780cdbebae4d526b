"""Refusals as responses to callers."""

import json

from aiohttp import web

from dragonflyslip_core import outcomes


def refuse(refusal: outcomes.Refusal, close: bool) -> web.Response:
    """Return the response for a refusal.

    :param close: whether the connection closes afterwards, as it must when
        a request body has not been read.
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
