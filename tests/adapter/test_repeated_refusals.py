"""Refusals that a target writes once more on a kept connection."""

import pytest

import dragonflyslip_emulator as emulator
from tests.adapter import callers

Fault = emulator.Fault


async def start(platform, count: int) -> None:
    """Start targets and a gateway; a request may go to each of them."""
    for _ in range(count):
        await platform.add_target()
    await platform.publish(
        *(
            platform.route(kind, max_attempts=count)
            for kind in ('safe', 'unsafe', 'upload')
        )
    )
    await platform.start()


async def send(platform, request_id: str, path: str, body: bytes = b'x'):
    """Send one request with this id and return its answer."""
    caller = await callers.KeptConnection.open(platform.port)
    head = callers.encode_request(
        path, 'POST', request_id=request_id, content_length=len(body)
    )
    caller.send(head + body)
    answer = await caller.receive()
    caller.close()
    return answer


async def refuse_first(platform) -> None:
    """Let all targets refuse the request ``a`` and keep its connection."""
    for target in platform.targets:
        target.faults.append(Fault.REFUSE)
    answer = await send(platform, 'a', '/unsafe/1')
    assert answer.status == 503
    assert all(target.refused == 1 for target in platform.targets)


def repeat_after_health(target: emulator.EmulatedTarget) -> None:
    """Write the refusal again before the response to the next request."""
    serve = target._write_health_response

    def serve_health(writer) -> bool:
        target.repeats_response = True
        return serve(writer)

    target._write_health_response = serve_health


class TestRepeatedRefusals:
    @pytest.mark.parametrize('path', ['/unsafe/1', '/upload/1', '/safe/1'])
    @pytest.mark.parametrize('size', [1, 200_000])
    async def test_is_not_believed_for_another_request(
        self, platform, path, size
    ):
        """Guards against 'not run' for a request that runs."""
        await start(platform, 1)
        await refuse_first(platform)
        repeat_after_health(platform.targets[0])
        answer = await send(platform, 'b', path, bytes(size))
        assert answer.status == 200
        assert [run.request_id for run in platform.runs()] == ['b']

    async def test_is_not_taken_for_a_health_response(self, platform):
        await start(platform, 1)
        await refuse_first(platform)
        target = platform.targets[0]
        target.repeats_response = True
        answer = await send(platform, 'b', '/unsafe/1')
        assert (answer.status, target.repeats_response) == (200, False)
        assert [run.request_id for run in platform.runs()] == ['b']

    async def test_is_not_believed_for_the_same_request(self, platform):
        """Guards against a second run if a caller uses its id again."""
        await start(platform, 2)
        await refuse_first(platform)
        for target in platform.targets:
            repeat_after_health(target)
        answer = await send(platform, 'a', '/unsafe/1')
        runs = len(platform.runs())
        assert runs <= 1
        if runs:
            assert answer.status not in (408, 421, 429, 503)
