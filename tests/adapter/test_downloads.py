"""Large responses: memory, other requests beside them, and their end."""

import asyncio
import pathlib
import re

import pytest

from dragonflyslip_testing import slow_caller
from tests.adapter import conftest
from tests.adapter import processes

DOWNLOADS = 12
DOWNLOAD_BYTES = 6_000_000
# What a gateway may hold of one download: the part that it reads before the
# caller gets a byte (256 KiB), twice while that part is joined, and the
# buffers of both connections.
MAX_HELD_BYTES = 1_048_576
# Time in which the end of a caller reaches the target.
LEFT_S = 0.5
SMALL_REQUEST_S = 1.0


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1)) * 1_024


async def _publish(platform) -> None:
    await platform.publish(
        *(
            platform.route(kind, timeout='60s', target_latency='20s')
            for kind in ('safe', 'download')
        )
    )


async def _begin_download(
    platform, listen: str, number: int
) -> slow_caller.SlowCaller:
    """Request a download, and read nothing of it yet."""
    caller = slow_caller.SlowCaller(listen)
    platform.stack.callback(caller.close)
    await caller.send_head(
        'GET',
        f'/download/1?bytes={DOWNLOAD_BYTES}',
        {
            'Host': conftest.HOST,
            'X-Request-Id': f'download-{number}',
            'X-Deadline-Ms': '60000',
        },
    )
    return caller


class TestDownloads:
    async def test_slow_downloads_hold_little_memory_and_no_other_request(
        self, platform
    ):
        # Guards against a gateway that holds downloads whole, and against
        # small requests that wait behind them.
        await platform.add_target(slots=2 * DOWNLOADS)
        await _publish(platform)
        process = processes.GatewayProcess.from_store(
            'gateway-1', platform.store.url, '--planned-entries', '1'
        )
        running = await process.start()
        try:
            async with asyncio.timeout(20.0):
                while (await platform.call(listen=process.listen)).broken or (
                    (await platform.call(listen=process.listen)).status != 200
                ):
                    await asyncio.sleep(0.05)
            before = _peak_bytes(running.pid)
            for number in range(DOWNLOADS):
                await _begin_download(platform, process.listen, number)
            await platform.until(lambda: len(platform.runs()) >= DOWNLOADS)
            loop = asyncio.get_running_loop()
            for _ in range(10):
                started = loop.time()
                reply = await platform.call(listen=process.listen)
                assert reply.status == 200
                assert loop.time() - started < SMALL_REQUEST_S
                await asyncio.sleep(0.05)
            growth = _peak_bytes(running.pid) - before
            assert growth <= DOWNLOADS * MAX_HELD_BYTES
        finally:
            running.terminate()
            await running.wait()

    @pytest.mark.parametrize('read_bytes', [0, 400_000])
    async def test_caller_that_leaves_ends_the_transfer(
        self, platform, read_bytes
    ):
        # Guards against a target that goes on sending to nobody.
        await platform.add_target()
        await _publish(platform)
        await platform.start()
        (target,) = platform.targets
        caller = await _begin_download(
            platform, platform.gateway.options.listen, 1
        )
        await platform.until(lambda: target.runs)
        received = 0
        while received < read_bytes:
            data = await caller.loop.sock_recv(caller.socket, 65_536)
            received += len(data)
        await asyncio.sleep(0.2)
        open_before = len(target._writers)
        caller.close()
        async with asyncio.timeout(LEFT_S):
            while len(target._writers) >= open_before:
                await asyncio.sleep(0.01)
        assert len(target.runs) == 1
