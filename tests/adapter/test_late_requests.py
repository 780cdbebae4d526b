"""Requests that reach a stopping gateway late are refused, not cut.

A target that is at work when the stop ends has worked in vain, and the caller
of a request that may not be repeated cannot tell whether it ran.
"""

import asyncio
import itertools

import pytest

from dragonflyslip_entry.gateway import daemon
from dragonflyslip_testing import relay as network
from tests.adapter import callers

STOP_TIMEOUT_S = 3.0
# The gateway answers all requests 0.4 s before the stop timeout in this test.
TARGET_LATENCY_S = 0.7
WORK_S = 1.0
# Three quarters of it pass before requests are refused on arrival.
LONG_STOP_TIMEOUT_S = 4.0
# Requests after which a gateway knows how long the work takes.
LEARNED_FROM = 20
# Takes a request's time below two target latencies.
SLOW_PROBE_S = 0.6
_BODY = b'0123456789'


async def _start(platform, targets: int = 1) -> callers.KeptConnection:
    for _ in range(targets):
        await platform.add_target(work_s=WORK_S)
    await platform.publish(
        *(
            platform.route(
                kind, timeout='20s', target_latency=f'{TARGET_LATENCY_S}s'
            )
            for kind in ('safe', 'unsafe', 'upload')
        )
    )
    await platform.start(stop_timeout=f'{STOP_TIMEOUT_S}s')
    return await callers.KeptConnection.open(platform.port)


def _request(method: str, number: int, **headers) -> bytes:
    path = '/safe/1' if method == 'GET' else '/unsafe/1'
    return callers.encode_request(
        path, method, f'late-{number}', 20_000, **headers
    )


class TestLateRequests:
    @pytest.mark.parametrize('method', ['GET', 'DELETE'])
    async def test_request_that_cannot_end_is_refused_and_does_not_run(
        self, platform, method
    ):
        # Guards against a request behind another one on its connection that
        # is passed on late in a stop and cut at its end.
        caller = await _start(platform)
        for number in range(4):
            caller.send(_request(method, number))
        await platform.until(platform.runs)
        platform.gateway.stopping.set()
        answers = [await caller.receive() for _ in range(4)]
        statuses = [answer.status for answer in answers]
        assert statuses[0] == 200
        assert set(statuses) == {200, 503}
        assert statuses == sorted(statuses)
        ran = {run.request_id for run in platform.runs()}
        assert ran == {f'late-{n}' for n in range(statuses.count(200))}
        assert all(run.finished for run in platform.runs())
        assert float(answers[-1].headers['retry-after']) > 0
        assert await caller.receive_end() == b''

    async def test_upload_whose_body_arrives_late_is_not_passed_on(
        self, platform
    ):
        # Guards against a body that begins to arrive late in a stop, so that
        # its target gets the request when it cannot answer any more.
        caller = await _start(platform)
        caller.send(_request('POST', 1, Content_Length=len(_BODY)))
        await platform.until(lambda: platform.gateway.handler.in_flight)
        platform.gateway.stopping.set()
        await asyncio.sleep(STOP_TIMEOUT_S - 2 * TARGET_LATENCY_S)
        caller.send(_BODY)
        assert (await caller.receive()).status == 503
        assert platform.runs() == []

    async def test_request_that_waited_for_a_target_is_not_passed_on(
        self, platform, monkeypatch
    ):
        # Guards against a request that had enough time before its target
        # answered the probe, and not at the write.
        monkeypatch.setattr(daemon, 'ACCEPT_AFTER_STOP_S', STOP_TIMEOUT_S)
        caller = await _start(platform)
        (target,) = platform.targets
        relay = network.Relay(target.port)
        relay.delay_s = SLOW_PROBE_S / 2
        server = await relay.listen(0)
        platform.stack.callback(relay.close)
        platform.stack.callback(server.close)
        target.advertised_port = server.sockets[0].getsockname()[1]
        await target.register(platform.store)
        directory = platform.gateway.board.directory
        await platform.until(
            lambda: (
                directory.targets[target.target_id].registration.port
                == target.advertised_port
            )
        )
        platform.gateway.stopping.set()
        await asyncio.sleep(STOP_TIMEOUT_S - 2 * TARGET_LATENCY_S - 0.7)
        caller.send(_request('GET', 1))
        assert (await caller.receive()).status == 503
        assert platform.runs() == []

    async def test_failed_request_is_not_repeated_late(self, platform):
        # Guards against a repeat that begins late in a stop and is cut.
        caller = await _start(platform, targets=2)
        for target in platform.targets:
            target.work_s = STOP_TIMEOUT_S
        # A request with a body is not hedged.
        caller.send(_request('GET', 1, Content_Length=len(_BODY)) + _BODY)
        await platform.until(platform.runs)
        platform.gateway.stopping.set()
        (run,) = platform.runs()
        await asyncio.sleep(STOP_TIMEOUT_S - 2 * TARGET_LATENCY_S - 0.2)
        for target in platform.targets:
            if target.target_id == run.target_id:
                target.crash()
        assert (await caller.receive()).status == 502
        assert len(platform.runs()) == 1


class TestCallersThatSendAhead:
    """Callers that send each request before the last one is answered."""

    async def _answers_in_stop(
        self, platform, work_s: float, learned: bool
    ) -> list[callers.Answer]:
        """Stop the gateway while a caller keeps two requests on their way.

        :param learned: whether earlier requests have shown how long the work
            takes.
        """
        await platform.add_target(work_s=work_s, slots=LEARNED_FROM)
        await platform.publish(
            platform.route('safe', timeout='20s', target_latency='200ms')
        )
        await platform.start(stop_timeout=f'{LONG_STOP_TIMEOUT_S}s')
        if learned:
            replies = await asyncio.gather(
                *(platform.call(wait_ms=20_000) for _ in range(LEARNED_FROM))
            )
            assert {reply.status for reply in replies} == {200}
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(_request('GET', 1) + _request('GET', 2))
        await platform.until(
            lambda: any(run.request_id == 'late-1' for run in platform.runs())
        )
        platform.gateway.stopping.set()
        answers = []
        for number in itertools.count(3):
            answers.append(await caller.receive())
            if answers[-1].headers.get('connection') == 'close':
                return answers
            caller.send(_request('GET', number))

    @pytest.mark.parametrize(
        'work_s, learned', [(1.0, False), (1.0, True), (1.3, True)]
    )
    async def test_request_whose_work_exceeds_its_objective_is_not_cut(
        self, platform, work_s, learned
    ):
        # Guards against a request that is passed on late in a stop, since its
        # target latency is left, and cut since its work takes longer.
        answers = await self._answers_in_stop(platform, work_s, learned)
        statuses = [answer.status for answer in answers]
        assert set(statuses) == {200, 503}
        assert statuses == sorted(statuses)
        assert statuses.count(200) >= 2
        assert all(run.finished for run in platform.runs())

    async def test_connection_ends_with_the_first_refusals(self, platform):
        # Guards against a caller that learns of the end of its connection
        # only after many refusals.
        answers = await self._answers_in_stop(platform, 1.0, True)
        assert [answer.status for answer in answers].count(503) <= 2

    async def test_short_work_of_a_route_with_a_long_objective_is_done(
        self, platform
    ):
        # Guards against the refusal of all requests in a stop because their
        # target latency is long, although they end within some milliseconds.
        await platform.add_target(work_s=0.02, slots=LEARNED_FROM)
        await platform.publish(
            platform.route('safe', timeout='20s', target_latency='4s')
        )
        await platform.start(stop_timeout=f'{LONG_STOP_TIMEOUT_S}s')
        for _ in range(LEARNED_FROM):
            assert (await platform.call()).status == 200
        caller = await callers.KeptConnection.open(platform.port)
        platform.gateway.stopping.set()
        caller.send(_request('GET', 1))
        assert (await caller.receive()).status == 200
