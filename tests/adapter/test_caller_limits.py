"""Limits of the manifest for callers."""

import asyncio

import pytest

from tests.adapter import callers

MAX_HEADER_BYTES = 2_048
MAX_BODY_BYTES = 65_536


async def _start(platform, **limits) -> None:
    platform.limits = {
        'max_header_bytes': MAX_HEADER_BYTES,
        'max_body_bytes': MAX_BODY_BYTES,
        'idle_timeout': '2s',
        **limits,
    }
    await platform.add_target()
    await platform.publish()
    await platform.start()


async def _exchange(platform, *parts: bytes) -> int:
    """Send a request in parts and return the status of its response."""
    kept = await callers.KeptConnection.open(platform.port)
    try:
        for part in parts:
            kept.send(part)
            await asyncio.sleep(0.05)
        return (await kept.receive()).status
    finally:
        kept.close()


def _head(size_bytes: int) -> bytes:
    missing = size_bytes - len(callers.encode_request(X_Long=''))
    return callers.encode_request(X_Long='a' * missing)


class TestHeads:
    @pytest.mark.parametrize(
        ('size', 'status'),
        [
            (MAX_HEADER_BYTES - 1, 200),
            (MAX_HEADER_BYTES + 100, 431),
        ],
    )
    @pytest.mark.parametrize('split', [1, 1_000])
    async def test_limit_is_kept(self, platform, size, status, split):
        # Guards against a limit that holds only for heads in one piece.
        await _start(platform)
        head = _head(size)
        parts = (head,) if split == 1 else (head[:split], head[split:])
        assert await _exchange(platform, *parts) == status

    async def test_slow_head_is_refused(self, platform):
        # Guards against connections that are held by a part of a head.
        await _start(platform, header_timeout='300ms')
        assert await _exchange(platform, _head(500)[:-2]) == 408
        assert platform.runs() == []

    async def test_new_limits_apply_to_open_connections(self, platform):
        await _start(platform)
        kept = await callers.KeptConnection.open(platform.port)
        kept.send(_head(1_500))
        assert (await kept.receive()).status == 200
        platform.limits['max_header_bytes'] = 1_000
        await platform.publish()
        await platform.until(
            lambda: platform.gateway.board.manifest.version == 2
        )
        kept.send(_head(1_500))
        assert (await kept.receive()).status == 431
        kept.close()


class TestBodies:
    @pytest.mark.parametrize('chunked', [False, True])
    @pytest.mark.parametrize(
        ('size', 'statuses'),
        [(MAX_BODY_BYTES, {200}), (MAX_BODY_BYTES + 1, {413, 502})],
    )
    async def test_limit_is_kept(self, platform, chunked, size, statuses):
        # Guards against a limit for announced lengths alone.
        await _start(platform)
        body = b'b' * size
        if chunked:
            head = callers.encode_request(
                method='PUT', Transfer_Encoding='chunked'
            )
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (size, body)
        else:
            head = callers.encode_request(method='PUT', Content_Length=size)
        assert await _exchange(platform, head + body) in statuses


class TestIdleConnections:
    async def test_reuse_at_four_fifths_works(self, platform):
        await _start(platform)
        kept = await callers.KeptConnection.open(platform.port)
        for number in range(2):
            kept.send(callers.encode_request(request_id=f'idle-{number}'))
            assert (await kept.receive()).status == 200
            await asyncio.sleep(1.6 * (1 - number))
        assert await kept.receive_end() == b''
        kept.close()
