"""Relays and replays responses to callers."""

from aiohttp import web

from dragonflyslip_core import answers
from dragonflyslip_core import outcomes
from dragonflyslip_entry import headers
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import progress as progress_module


async def relay(
    request: web.BaseRequest,
    response: http_connection.Response,
    progress: progress_module.ProgressTimeout,
    close: bool,
    head: bytes = b'',
    outcome: outcomes.Outcome | None = None,
) -> web.StreamResponse:
    """Stream a target's response to the caller.

    :param head: part of the body that has been read already.
    :param outcome: outcome header to add, if the target refused the call.
    :param close: whether to close the caller's connection afterwards.
    :raises Exception: if either connection broke. The caller's connection is
        aborted first, so that a truncated response does not look complete.
    """
    relayed = web.StreamResponse(
        status=response.status,
        reason=response.reason,
        headers=headers.forwarded_response_headers(response.headers),
    )
    if outcome is not None:
        relayed.headers[outcomes.OUTCOME_HEADER] = outcome.value
    if close:
        relayed.force_close()
    loop = progress.loop
    progress.response_started()
    try:
        await relayed.prepare(request)
        if head:
            await relayed.write(head)
        if not response.content.is_eof():
            progress.body_started(loop.time())
        async for chunk in response.content.iter_any():
            progress.body_progressed(loop.time())
            await relayed.write(chunk)
        await relayed.write_eof()
    except BaseException:
        if request.transport is not None:
            request.transport.abort()
        raise
    return relayed


def replay(
    answer: answers.Answer, close: bool, replayed: bool
) -> web.Response:
    """Return the response for a stored answer.

    :param replayed: whether the answer is from an earlier attempt of the
        call.
    """
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.clear()
    for name, value in answer.headers:
        response.headers.add(name, value)
    if replayed:
        response.headers[headers.REPLAYED_HEADER] = '1'
    if close:
        response.force_close()
    return response
