"""A gateway that is paused between the choice of a target and the write."""

import asyncio
import time

import pytest

from dragonflyslip_entry.gateway import clocks
from dragonflyslip_entry.gateway import probing
from tests.adapter import callers

_PAUSE_S = probing.MAX_PROBE_AGE_S + 0.2


def _after_choice(platform, action) -> None:
    """Run an action once, after a target has been chosen."""
    selector = platform.gateway.handler.target_selector
    choose = selector.choose

    async def choose_then_act(*arguments):
        chosen = await choose(*arguments)
        selector.choose = choose
        action()
        return chosen

    selector.choose = choose_then_act


class TestPausedGateway:
    @pytest.mark.parametrize('suspended', [False, True])
    async def test_target_that_left_meanwhile_gets_no_request(
        self, platform, monkeypatch, suspended
    ):
        # Guards against a request that is sent on what a target said before
        # the pause. A suspended machine does not see it on its steady clock.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        (target,) = platform.targets
        real_clock = clocks.elapsed_clock_s

        def pause() -> None:
            target.leaving = True
            if suspended:
                monkeypatch.setattr(
                    clocks, 'elapsed_clock_s', lambda: real_clock() + _PAUSE_S
                )
            else:
                time.sleep(_PAUSE_S)

        _after_choice(platform, pause)
        assert (await platform.call()).status == 503
        assert target.runs == []

    async def test_cold_target_gets_no_request_on_an_old_answer(
        self, platform
    ):
        # Guards against a burst at a target that turned cold in the pause.
        await platform.add_target()
        await platform.add_target()
        await platform.publish()
        await platform.start()

        def pause() -> None:
            platform.targets[0].cold_ms = 10_000
            time.sleep(_PAUSE_S)

        for _ in range(4):
            platform.targets[0].cold_ms = 0
            _after_choice(platform, pause)
            assert (await platform.call(wait_ms=8_000)).status == 200
            assert platform.targets[0].runs == []

    async def test_request_is_sent_after_a_pause(self, platform):
        # The only target is asked again, not excluded.
        await platform.add_target()
        await platform.publish(platform.route('safe', timeout='5s'))
        await platform.start()
        _after_choice(platform, lambda: time.sleep(_PAUSE_S))
        assert (await platform.call(wait_ms=5_000)).status == 200
        assert len(platform.runs()) == 1

    async def test_body_that_begins_late_is_sent_on_a_new_answer(
        self, platform
    ):
        await platform.add_target()
        await platform.publish(platform.route('unsafe', timeout='5s'))
        await platform.start()
        (target,) = platform.targets
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            callers.encode_request(
                '/unsafe/1', 'POST', wait_ms=5_000, Content_Length=1
            )
        )
        await platform.until(lambda: target.health_requests)
        await asyncio.sleep(_PAUSE_S)
        before = target.health_requests
        caller.send(b'x')
        assert (await caller.receive()).status == 200
        assert target.health_requests == before + 1
        (run,) = target.runs
        assert run.body == b'x'
