"""Targets that say that they are leaving, or want nothing for a while."""

import asyncio

import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import store as store_types
from tests.adapter import callers

PAUSE_S = 1.2
# Requests that a target may get in its pause, from half a second after it
# asked for it.
MAX_IN_PAUSE = 2


async def start(platform, targets: int) -> None:
    for _ in range(targets):
        await platform.add_target()
    await platform.publish()
    await platform.start()


async def serve(platform, count: int) -> list[int]:
    """Send requests one after another and return their statuses."""
    return [(await platform.call()).status for _ in range(count)]


class TestLeaving:
    @pytest.mark.parametrize(
        'fault', [None, emulator.Fault.ERROR, emulator.Fault.REFUSE]
    )
    async def test_target_that_says_so_gets_nothing_more(
        self, platform, fault
    ):
        # Guards against work at a target that is about to end and has only
        # said so in its answers, whatever they are.
        await start(platform, 2)
        leaving, other = platform.targets
        other.cold_ms = 10_000
        if fault is not None:
            leaving.faults.append(fault)
        write_health = leaving._write_health_response

        def write_unmarked(writer) -> bool:
            leaving.leaving = False
            try:
                return write_health(writer)
            finally:
                leaving.leaving = True

        leaving._write_health_response = write_unmarked
        await platform.call()
        assert len(leaving.runs) + leaving.refused == 1
        other.cold_ms = 0
        before = leaving.health_requests
        assert set(await serve(platform, 10)) == {200}
        assert len(leaving.runs) + leaving.refused == 1
        assert leaving.health_requests == before

    async def test_health_response_says_so(self, platform):
        await start(platform, 2)
        leaving, other = platform.targets
        leaving.leaving = True
        assert set(await serve(platform, 6)) == {200}
        assert (len(leaving.runs), len(other.runs)) == (0, 6)
        assert platform.gateway.board.counters['targets_leaving'] == 1

    async def test_it_holds_without_the_store_and_though_it_is_ready_there(
        self, platform
    ):
        # Guards against a registration that puts the target back in use.
        await start(platform, 2)
        leaving, other = platform.targets
        leaving.leaving = True
        await serve(platform, 2)
        leaving.leaving = False
        await leaving.register(platform.store)
        platform.store.fault = store_types.StoreFault.BUSY
        await asyncio.sleep(0.2)
        assert set(await serve(platform, 5)) == {200}
        assert leaving.runs == []

    async def test_newer_process_under_the_id_is_used(self, platform):
        # Guards against a target that stays out of use after its restart.
        await start(platform, 1)
        (target,) = platform.targets
        target.leaving = True
        assert await serve(platform, 2) == [503, 503]
        target.leaving = False
        target.started_at_ms += 1_000
        await target.register(platform.store)
        usable = platform.gateway.board.directory.usable_targets
        await platform.until(lambda: usable('casebook'))
        assert await serve(platform, 1) == [200]

    async def test_hedge_and_repeat_pass_it_over(self, platform):
        await start(platform, 3)
        for target in platform.targets:
            target.leaving = True
        platform.targets[0].leaving = False
        platform.targets[0].faults.append(emulator.Fault.RESET)
        await platform.call()
        assert [len(target.runs) for target in platform.targets[1:]] == [0, 0]


class TestPause:
    async def test_target_gets_nothing_in_its_pause_and_work_after_it(
        self, platform
    ):
        await start(platform, 1)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.REFUSE)
        target.pause = PAUSE_S
        loop = asyncio.get_running_loop()
        assert await serve(platform, 1) == [503]
        asked_at = loop.time()
        before = target.health_requests
        statuses = []
        while loop.time() < asked_at + PAUSE_S - 0.1:
            started = loop.time()
            statuses += await serve(platform, 1)
            # What cannot be served is refused at once.
            assert loop.time() - started < 0.5
            await asyncio.sleep(0.05)
        assert set(statuses) == {503}
        assert target.runs == []
        assert target.health_requests == before
        await asyncio.sleep(0.3)
        assert await serve(platform, 1) == [200]

    async def test_other_targets_serve_meanwhile(self, platform):
        # The refused request goes to another target at once.
        await start(platform, 2)
        paused, other = platform.targets
        paused.faults.append(emulator.Fault.REFUSE)
        paused.pause = 60
        # The first request goes to the faster target.
        other.work_percent = 130
        assert await serve(platform, 1) == [200]
        assert set(await serve(platform, 10)) == {200}
        assert (paused.refused, len(paused.runs)) == (1, 0)

    async def test_body_that_arrives_in_the_pause_is_not_sent(self, platform):
        # Guards against a request whose target was chosen before it asked for
        # its pause, and whose body arrives in it.
        await start(platform, 1)
        (target,) = platform.targets
        caller = await callers.KeptConnection.open(platform.port)
        caller.send(
            callers.encode_request('/unsafe/1', 'POST', Content_Length=1)
        )
        await platform.until(lambda: target.health_requests)
        await asyncio.sleep(0.1)
        target.faults.append(emulator.Fault.REFUSE)
        target.pause = 60
        assert await serve(platform, 1) == [503]
        caller.send(b'x')
        assert (await caller.receive()).status == 503
        assert target.runs == []

    async def test_probe_in_flight_leads_to_no_request_in_the_pause(
        self, platform
    ):
        # Guards against requests that were about to be sent as the target
        # asked for its pause.
        await start(platform, 1)
        (target,) = platform.targets
        target.slots = 8
        target.faults.append(emulator.Fault.REFUSE)
        target.pause = 60
        await asyncio.gather(*(platform.call() for _ in range(8)))
        await asyncio.sleep(0.5)
        ran = len(target.runs)
        await asyncio.gather(*(platform.call() for _ in range(8)))
        assert len(target.runs) - ran <= MAX_IN_PAUSE

    @pytest.mark.parametrize(
        'value',
        ['-5', 'soon', 'Fri, 31 Dec 2027 23:59:59 GMT', '', 'nan', '1e999'],
    )
    async def test_odd_value_asks_for_no_pause(self, platform, value):
        # Guards against a target that is lost to a malformed header.
        await start(platform, 1)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.REFUSE)
        target.pause = value
        assert await serve(platform, 1) == [503]
        assert await serve(platform, 1) == [200]

    async def test_pause_is_bounded(self, platform):
        await start(platform, 1)
        (target,) = platform.targets
        target.faults.append(emulator.Fault.REFUSE)
        target.pause = 31_536_000
        assert await serve(platform, 1) == [503]
        standing = platform.gateway.board.standing_of(target.target_id)
        left_s = standing.paused_until - asyncio.get_running_loop().time()
        assert 290.0 < left_s <= 300.0
