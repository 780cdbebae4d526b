"""The end of a stopping gateway, from its last response to its exit."""

import asyncio
import contextlib
import faulthandler
import os
import signal
import time

import pytest

from dragonflyslip_entry import caller_server
from dragonflyslip_entry import cli
from dragonflyslip_entry import drain
from dragonflyslip_entry.gateway import daemon
from tests.adapter import callers

# Far more than an end takes on a busy machine.
END_TIMEOUT_S = 15.0
ENDLESS_S = 3_600.0
LONG_TURN_S = 0.2


@pytest.fixture
async def endless():
    """Yield a coroutine function that does not end if it is cancelled."""
    released = asyncio.Event()

    async def run(*arguments) -> None:
        while not released.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await released.wait()

    yield run
    released.set()


async def _start(platform) -> callers.KeptConnection:
    """Start a gateway that has answered a request."""
    await platform.add_target()
    await platform.publish()
    await platform.start()
    caller = await callers.KeptConnection.open(platform.port)
    caller.send(callers.encode_request())
    assert (await caller.receive()).status == 200
    return caller


def _schedule(now: float, stop_timeout_s: float) -> drain.DrainSchedule:
    return drain.DrainSchedule.from_timeout(
        now, stop_timeout_s, daemon.ACCEPT_AFTER_STOP_S, daemon.STOP_MARGIN_S
    )


class TestSchedule:
    async def test_time_to_stop_counts_from_the_signal(self, platform):
        # Guards against a schedule that begins when a busy event loop gets
        # to the signal, so that the process is killed before its end.
        await _start(platform)
        gateway = platform.gateway
        os.kill(os.getpid(), signal.SIGTERM)
        received_by = time.monotonic()
        time.sleep(LONG_TURN_S)
        await platform.until(lambda: gateway.board.draining)
        latest = _schedule(received_by, gateway.options.stop_timeout)
        assert gateway.handler.stop_at <= latest.answer_at

    async def test_stack_is_written_before_the_kill(
        self, platform, monkeypatch
    ):
        # Guards against a killed process that does not tell what held it.
        delays_s: list[float] = []
        monkeypatch.setattr(
            faulthandler, 'dump_traceback_later', delays_s.append
        )
        await _start(platform)
        gateway = platform.gateway
        gateway.signals.received_at = time.monotonic()
        gateway.stopping.set()
        await cli._trace_late_end(gateway)
        (delay_s,) = delays_s
        assert 0.0 < delay_s < gateway.options.stop_timeout

    def test_waits_of_the_end_take_less_than_half_of_its_margin(self):
        # Guards against waits that leave a slow processor no time for the
        # end, and against requests that are cut too late to be recorded.
        schedule = _schedule(0.0, 6.0)
        waits_s = schedule.exit_at - schedule.end_at
        assert waits_s < daemon.STOP_MARGIN_S / 2
        assert 2 * caller_server.CANCEL_TIMEOUT_S < waits_s


class TestRecords:
    async def test_target_of_a_response_that_is_cut_is_recorded(
        self, platform, monkeypatch
    ):
        # Guards against an end that does not wait for what its cut requests
        # tell the other gateways.
        monkeypatch.setattr(daemon, 'STOP_MARGIN_S', 3.0)
        await platform.add_target()
        platform.targets[0].body = bytes(20_000_000)
        await platform.publish(platform.route('unsafe', timeout='20s'))
        await platform.start(stop_timeout='4s')
        caller = await callers.KeptConnection.open(platform.port)
        caller.writer.transport.pause_reading()
        caller.send(callers.encode_request('/unsafe/1', 'POST', 'big', 20_000))
        await platform.until(platform.runs)
        platform.gateway.stopping.set()
        await platform.running
        keys = platform.store.topics['keyed.dragonflyslip'].newest
        assert [key for key in keys if key.startswith('crash/')]
        caller.close()


class TestBounds:
    @pytest.mark.parametrize(
        ('owner', 'step'),
        [
            ('feeds', 'leave'),
            ('server', 'shutdown'),
            ('server', 'cut_requests'),
            ('crashes', 'close'),
            ('log', 'close'),
        ],
    )
    async def test_step_without_an_end_does_not_hold_the_process(
        self, platform, endless, monkeypatch, owner, step
    ):
        # Guards against an end that waits for a store, a target or a task
        # for as long as these like.
        caller = await _start(platform)
        with monkeypatch.context() as patch:
            patch.setattr(getattr(platform.gateway, owner), step, endless)
            platform.gateway.stopping.set()
            async with asyncio.timeout(END_TIMEOUT_S):
                await asyncio.wait([platform.running])
        caller.close()

    async def test_open_connections_are_left_to_the_end_of_the_process(
        self, platform
    ):
        # Guards against waits and processor time for each connection, such
        # as one on which a request for metrics does not end.
        caller = await _start(platform)
        metrics = platform.gateway.options.metrics_listen
        reader = await callers.KeptConnection.open(
            int(metrics.rpartition(':')[2])
        )
        reader.send(
            b'GET /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'
        )
        await reader.receive()
        platform.gateway.stopping.set()
        await asyncio.wait([platform.running])
        pools = platform.gateway.pools.pools.values()
        assert sum(len(pool.idle) for pool in pools) > 0
        assert not reader.reader.at_eof()
        reader.close()
        caller.close()

    def test_tasks_that_are_left_are_not_cancelled(self):
        # Guards against a wait for tasks after the last line of the log.
        cancelled = []

        async def linger() -> None:
            try:
                await asyncio.sleep(ENDLESS_S)
            except asyncio.CancelledError:
                cancelled.append('linger')

        async def leave_task() -> None:
            left.append(asyncio.create_task(linger()))
            await asyncio.sleep(0)

        left: list[asyncio.Task[None]] = []
        with asyncio.Runner() as runner:
            assert cli._run(runner, leave_task()) == 0
            assert not cancelled
