"""Connections that a gateway closes while their callers still use them."""

import asyncio
import contextlib
import dataclasses
import math
import random

import pytest

from dragonflyslip_core.caller_limits import closing
from dragonflyslip_core.caller_limits import lingering
from dragonflyslip_testing import slow_caller
from tests.adapter import callers
from tests.adapter import conftest

IDLE_TIMEOUT_S = 0.1
# The kernel takes a response of this size from the process at once.
RESPONSE_BYTES = 90_000
# A caller with this rate takes many idle timeouts for a response.
SLOW_BYTES_PER_S = 30_000
HEADERS = {
    'Host': conftest.HOST,
    'X-Request-Id': 'request-1',
    'X-Deadline-Ms': '2000',
}
PART = b'a' * 1_024


@pytest.fixture
def open_caller(platform):
    """Return a function that opens a slow caller of the gateway."""

    def open_one() -> slow_caller.SlowCaller:
        caller = slow_caller.SlowCaller(platform.gateway.options.listen)
        platform.stack.callback(caller.close)
        return caller

    return open_one


async def _start(platform, **limits):
    platform.limits = {'max_body_bytes': 65_536, **limits}
    target = await platform.add_target()
    target.body = random.Random(1).randbytes(RESPONSE_BYTES)
    await platform.publish()
    await platform.start()
    return target


class TestIdleConnections:
    @pytest.fixture
    async def target(self, platform, monkeypatch):
        """Return the target of a gateway with a short idle timeout."""
        monkeypatch.setattr(closing, 'IDLE_MARGIN_S', 0.0)
        return await _start(
            platform, idle_timeout=f'{int(IDLE_TIMEOUT_S * 1000)}ms'
        )

    async def test_slow_caller_gets_its_whole_response(
        self, platform, open_caller, target
    ):
        # Guards against an idle time that begins once the response is with
        # the kernel: a request that is sent while its caller still receives
        # it then resets the connection.
        caller = open_caller()
        await caller.send_head('GET', '/safe/1', HEADERS)
        received = await caller.read_part(
            0.8 * RESPONSE_BYTES, SLOW_BYTES_PER_S
        )
        await caller.send(callers.encode_request(request_id='next'))
        received += await caller.read_response(math.inf)
        _, first, second = received.split(b'HTTP/1.1 200 ')
        assert first.partition(b'\r\n\r\n')[2] == target.body
        assert second.partition(b'\r\n\r\n')[2] == target.body
        assert platform.gateway.board.counters['caller_limit_idle'] == 1

    async def test_caller_that_stops_reading_is_closed(
        self, platform, open_caller, target, monkeypatch
    ):
        # Guards against connections that are held by callers that never take
        # their response.
        monkeypatch.setattr(lingering, 'STALL_TIMEOUT_S', 0.3)
        target.body = target.body[:60_000]
        caller = open_caller()
        await caller.send_head('GET', '/safe/1', HEADERS)
        await platform.until(lambda: platform.gateway.server.transports)
        await platform.until(lambda: not platform.gateway.server.transports)
        counters = platform.gateway.board.counters
        assert counters['caller_limit_idle'] == 1
        assert counters['caller_close_stalled'] == 1


class TestRefusedConnections:
    @pytest.mark.parametrize(
        'begin',
        [
            b'GET /safe/1 HTTP/1.1\r\nX-Long: ' + 32 * PART,
            b'not HTTP\r\n\r\n',
            callers.encode_request(method='PUT', Content_Length=1_000_000_000),
        ],
    )
    async def test_caller_that_goes_on_sending_gets_its_refusal(
        self, platform, begin
    ):
        # Guards against a reset by what arrives behind a refused request,
        # which takes the refusal from callers that read it later.
        await _start(platform, max_header_bytes=2_048)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(begin)
        for _ in range(12):
            await asyncio.sleep(0.1)
            caller.send(PART)
            await caller.writer.drain()
        assert (await caller.receive()).status in (400, 413, 431)

    async def test_caller_that_sends_without_end_is_cut(
        self, platform, monkeypatch
    ):
        # Guards against a refused caller that occupies a gateway for as long
        # as it sends.
        monkeypatch.setattr(lingering, 'MAX_DISCARDED_BYTES', 1_000_000)
        monkeypatch.setattr(lingering, 'TAKEN_TIMEOUT_S', math.inf)
        await _start(platform)
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(b'not HTTP\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(conftest.CONDITION_TIMEOUT_S):
                while not caller.writer.transport.is_closing():
                    caller.send(64 * PART)
                    await caller.writer.drain()
        counters = platform.gateway.board.counters
        assert counters['caller_close_too_many_bytes'] == 1


class TestCrowds:
    async def test_closing_connections_make_room_first(self, platform):
        # Guards against callers that never close their side and use up the
        # connections of a gateway.
        await _start(platform)
        limiter = platform.gateway.limiter
        limiter.budget = dataclasses.replace(limiter.budget, connections=3)
        kept = await callers.KeptConnection.open(platform.port)
        kept.send(callers.encode_request(request_id='kept'))
        assert (await kept.receive()).status == 200
        refused = []
        for _ in range(2):
            caller = await callers.KeptConnection.open(platform.port)
            caller.send(b'not HTTP\r\n\r\n')
            await caller.reader.readuntil(b'\r\n\r\n')
            refused.append(caller)
        await platform.until(
            lambda: (
                sum(use.closing_since is not None for use in limiter.protocols)
                == 2
            )
        )
        await callers.KeptConnection.open(platform.port)
        await platform.until(lambda: len(limiter.protocols) == 3)
        kept.send(callers.encode_request(request_id='again'))
        assert (await kept.receive()).status == 200
