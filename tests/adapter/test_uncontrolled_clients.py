"""A gateway process beside clients that ignore its limits."""

import asyncio
import contextlib
import pathlib
import re

import aiohttp
import pytest

from tests.adapter import callers
from tests.adapter import processes

CROWD = 80
MAX_DESCRIPTORS = 64
MEMORY_MB = 64
# The share of the budget for callers is 16 MB; the rest covers the ordinary
# request and fragmentation.
MAX_GROWTH_BYTES = 36_000_000
LIMITS = {
    'max_header_bytes': 4_096,
    'max_body_bytes': 65_536,
    'header_timeout': '500ms',
    'idle_timeout': '2s',
}
LARGE_BODY_BYTES = 500_000
SEND_TIMEOUT_S = 4.0
# Time from the end of the crowd's sends until descriptors are counted.
SETTLE_S = 1.0
PIECE_BYTES = 16_384


def _head(**headers: object) -> bytes:
    return callers.encode_request('/safe/1', 'PUT', wait_ms=8_000, **headers)


def _header_lines(count: int) -> bytes:
    return b''.join(
        b'X-%d: %s\r\n' % (number, b'a' * 15_000) for number in range(count)
    )


_OPEN_HEAD = _head()[:-2]
_CHUNK = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'b' * PIECE_BYTES)
_LARGE = _head(Content_Length=LARGE_BODY_BYTES)
_SHORT_BODY = b'b' * (LARGE_BODY_BYTES - 1)
# What each client sends, and what it repeats after that.
CASES = {
    'heads over the limit': (_OPEN_HEAD + _header_lines(100) + b'\r\n', b''),
    'heads without end': (_OPEN_HEAD + _header_lines(100), b''),
    'empty lines': (b'', b'\r\n' * 8_192),
    'bodies announced': (_head(Content_Length=50_000_000), _CHUNK),
    'bodies in chunks': (_head(Transfer_Encoding='chunked'), _CHUNK),
    'bodies at once': (_LARGE + _SHORT_BODY, b''),
    'bodies piece by piece': (_LARGE + _SHORT_BODY, b''),
    'connections that never send': (b'', b''),
    'pipelined heads': (
        callers.encode_request() + _OPEN_HEAD + _header_lines(100),
        b'',
    ),
}
_LARGE_CASES = ('bodies at once', 'bodies piece by piece')
# Time between the pieces of a body that arrives piece by piece.
PIECE_PAUSE_S = 0.05


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1)) * 1_024


def _descriptors(pid: int) -> int:
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


async def _until_served(platform, listen: str) -> None:
    async with asyncio.timeout(20.0):
        while True:
            reply = await platform.call(listen=listen, wait_ms=8_000)
            if reply.status == 200:
                return
            await asyncio.sleep(0.05)


async def _send(writer, first: bytes, repeated: bytes, pause_s: float) -> None:
    """Send until the gateway closes, or for ``SEND_TIMEOUT_S``."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            for start in range(0, len(first), PIECE_BYTES):
                writer.write(first[start : start + PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(pause_s)
            while repeated:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0.01)


async def _connect(listen: str):
    host, port = listen.split(':')
    with contextlib.suppress(OSError):
        return (await asyncio.open_connection(host, int(port)))[1]


class TestUncontrolledClients:
    @pytest.mark.parametrize('case', CASES)
    async def test_process_stays_inside_its_budget(self, platform, case):
        """Guards against a process that callers exhaust."""
        platform.limits = dict(LIMITS)
        pause_s = PIECE_PAUSE_S * (case == 'bodies piece by piece')
        if case in _LARGE_CASES:
            platform.limits['max_body_bytes'] = LARGE_BODY_BYTES
        await platform.add_target(slots=2 * CROWD)
        await platform.publish(
            platform.route('safe', timeout='8s', target_latency='8s')
        )
        gateway = processes.GatewayProcess.from_store(
            'gateway-1',
            platform.store.url,
            *('--planned-entries', '1', '--memory-mb', str(MEMORY_MB)),
            *('--max-descriptors', str(MAX_DESCRIPTORS)),
        )
        running = await gateway.start()
        writers = []
        try:
            with contextlib.suppress(aiohttp.ClientError):
                await _until_served(platform, gateway.listen)
            before = _peak_bytes(running.pid)
            opened = await asyncio.gather(
                *(_connect(gateway.listen) for _ in range(CROWD))
            )
            writers = [writer for writer in opened if writer is not None]
            await asyncio.gather(
                *(_send(writer, *CASES[case], pause_s) for writer in writers)
            )
            await asyncio.sleep(SETTLE_S)
            assert running.returncode is None
            growth = _peak_bytes(running.pid) - before
            descriptors = _descriptors(running.pid)
            print(f'{case}: {before=} {growth=} {descriptors=}')
            await _until_served(platform, gateway.listen)
            assert growth <= MAX_GROWTH_BYTES
            assert descriptors <= MAX_DESCRIPTORS
        finally:
            for writer in writers:
                writer.transport.abort()
            running.terminate()
            await running.wait()
