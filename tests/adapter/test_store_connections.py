"""Connections of the store's client."""

import asyncio

import pytest

import dragonflyslip_adapter
from dragonflyslip_core import feeds

_PAGE = b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n' + bytes(16)


class TestClose:
    @pytest.mark.parametrize('moved', [False, True])
    async def test_connection_in_use_closes_after_its_response(self, moved):
        # Guards against connections that stay open after the client has
        # closed, or has moved to another URL, during a read.
        ended = asyncio.Event()
        requested = asyncio.Event()
        release = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            requested.set()
            await release.wait()
            writer.write(_PAGE)
            if await reader.read() == b'':
                ended.set()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = dragonflyslip_adapter.Store(f'http://127.0.0.1:{port}')
        read = asyncio.create_task(store.read('keyed.op', feeds.START, 1.0))
        await requested.wait()
        if moved:
            store.url = 'http://127.0.0.1:1'
            await store.read('keyed.op', feeds.START, 0.0)
        else:
            await store.close()
        release.set()
        assert (await read).unwrap().records == ()
        async with asyncio.timeout(1.0):
            await ended.wait()
        server.close()
