"""Responses to callers: relayed ones and refusals."""

import json

import aiohttp
from aiohttp import web

from dragonflyslip_core import outcomes
from dragonflyslip_entry import headers
from dragonflyslip_entry import progress as progress_module

_NO_BODY_STATUSES = frozenset({204, 304})


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


def has_known_end(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncation of the response can be told from its end.

    A body that ends with the connection looks complete when it is cut.
    """
    return (
        'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
        or response.method == 'HEAD'
        or response.status in _NO_BODY_STATUSES
    )


async def relay(
    request: web.BaseRequest,
    response: aiohttp.ClientResponse,
    progress: progress_module.Progress,
    close: bool,
) -> web.StreamResponse:
    """Stream a target's response to the caller.

    :param close: whether the caller's connection closes afterwards.
    :raises Exception: if either side broke off; the caller's connection is
        aborted first, so that what it got does not look complete.
    """
    relayed = web.StreamResponse(
        status=response.status,
        reason=response.reason,
        headers=headers.forwarded_response_headers(response.headers),
    )
    if close:
        relayed.force_close()
    loop = progress.loop
    try:
        await relayed.prepare(request)
        async for chunk in response.content.iter_any():
            progress.moved(loop.time())
            await relayed.write(chunk)
        await relayed.write_eof()
    except BaseException:
        if request.transport is not None:
            request.transport.abort()
        raise
    return relayed
