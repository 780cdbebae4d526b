"""Answers that a target writes once more, late, on a kept connection."""

import asyncio

import pytest

from tests.adapter import callers

# Time in which a gateway reads what has arrived on an idle connection.
_ARRIVAL_S = 0.1
_SIZES = {'a': 20, 'b': 30}


async def _start(platform) -> None:
    await platform.add_target()
    await platform.publish(
        *(platform.route(kind) for kind in ('safe', 'unsafe', 'upload'))
    )
    await platform.start()


async def _send(platform, request_id: str, path: str, size: int = 0):
    """Send a request whose answer has a length of its own."""
    caller = await callers.KeptConnection.open(platform.port)
    method = 'POST' if size else 'GET'
    head = callers.encode_request(
        f'{path}?bytes={_SIZES[request_id]}',
        method,
        request_id=request_id,
        content_length=size,
    )
    caller.send(head + bytes(size))
    answer = await caller.receive()
    caller.close()
    return answer


def _assert_own(answer, request_id: str) -> None:
    assert answer.status == 200
    assert answer.headers['x-request-id'] == request_id
    assert len(answer.body) == _SIZES[request_id]


def _repeat_on_next_call(target) -> None:
    """Write the last answer again before the answer to the next request."""
    serve = target._write_health_response

    def serve_health(writer) -> bool:
        target.repeats_response = True
        return serve(writer)

    target._write_health_response = serve_health


class TestRepeatedAnswers:
    """Guards against a caller that gets the answer to another request."""

    @pytest.mark.parametrize('path', ['/safe/1', '/unsafe/1', '/upload/1'])
    @pytest.mark.parametrize('size', [0, 1, 200_000])
    async def test_copy_before_the_next_answer_is_not_passed_on(
        self, platform, path, size
    ):
        await _start(platform)
        _assert_own(await _send(platform, 'a', path), 'a')
        _repeat_on_next_call(platform.targets[0])
        _assert_own(await _send(platform, 'b', path, size), 'b')
        ran = [run.request_id for run in platform.runs()]
        assert ran == ['a', 'b']

    @pytest.mark.parametrize('path', ['/safe/1', '/unsafe/1'])
    async def test_copy_is_not_taken_for_a_health_response(
        self, platform, path
    ):
        await _start(platform)
        _assert_own(await _send(platform, 'a', path), 'a')
        platform.targets[0].repeats_response = True
        _assert_own(await _send(platform, 'b', path), 'b')
        assert not platform.targets[0].repeats_response

    async def test_copy_on_an_idle_connection_is_not_passed_on(self, platform):
        await _start(platform)
        _assert_own(await _send(platform, 'a', '/unsafe/1'), 'a')
        (target,) = platform.targets
        for writer in target._writers:
            writer.write(target.last_response)
        await asyncio.sleep(_ARRIVAL_S)
        _assert_own(await _send(platform, 'b', '/unsafe/1'), 'b')

    async def test_copy_of_a_health_response_answers_no_request(
        self, platform
    ):
        await _start(platform)
        (target,) = platform.targets
        serve = target._write_health_response

        def serve_health(writer) -> bool:
            # The copy arrives behind the health response, before the request.
            serve(writer)
            return serve(writer)

        target._write_health_response = serve_health
        for request_id in _SIZES:
            _assert_own(
                await _send(platform, request_id, '/unsafe/1'), request_id
            )
        assert len(platform.runs()) == 2

    @pytest.mark.parametrize('path', ['/safe/1', '/unsafe/1'])
    async def test_copy_is_not_believed_for_an_id_that_is_used_again(
        self, platform, path
    ):
        # The id is all that tells the copy from the answer that is due.
        await _start(platform)
        first = await _send(platform, 'a', path)
        _assert_own(first, 'a')
        _repeat_on_next_call(platform.targets[0])
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(callers.encode_request(f'{path}?bytes=55', 'GET', 'a'))
        answer = await caller.receive()
        caller.close()
        if answer.status == 200:
            assert len(answer.body) == 55
