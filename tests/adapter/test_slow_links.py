"""Long records of the store over links of 5 Mbit/s."""

import asyncio

import pytest
from returns import result

import dragonflyslip_adapter
from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import relay as network

LINK_BYTES_PER_S = 625_000
# Longest record of the store.
MAX_RECORD_BYTES = 262_144
# Their names make a manifest nearly as long.
LONG_MANIFEST_ROUTES = 1_360
# A change must be in force this long after it was accepted.
IN_FORCE_S = 2.5
# A read of a peer that sends without end must end by then.
MAX_READ_S = 5.0
GATEWAYS = 4


@pytest.fixture
async def slow_link(platform):
    """Yield a function that starts a slow link to the store.

    It returns the URL of the store behind it.
    """
    links = []

    async def start():
        limit = network.RateLimit(LINK_BYTES_PER_S)
        store_port = int(platform.store.url.rpartition(':')[2])
        link = network.Relay(store_port, limit)
        server = await link.listen(0)
        links.append((link, server))
        return f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'

    yield start
    for link, server in links:
        server.close()
        link.close()
    # Connections close in the next step of the loop.
    await asyncio.sleep(0.01)


@pytest.fixture
async def serve_parts():
    """Yield a function that starts a store with one kind of response.

    It sends the parts with pauses between them, then nothing more, and
    returns the URL of the store.
    """
    servers = []

    async def start(length, parts, pause_s=0.0):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length
            )
            try:
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(pause_s)
                await reader.read()
            except OSError:
                pass
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}'

    yield start
    for server in servers:
        server.close()


async def _publish_long_manifest(platform, service: str) -> None:
    routes = [
        platform.route('unsafe', name=f'r-{n}', path_prefix=f'/r-{n:07}/')
        for n in range(LONG_MANIFEST_ROUTES)
    ]
    await platform.publish(platform.route('safe', service), *routes)
    newest = platform.store.topics[store_types.OPERATOR_TOPIC].newest
    _, value = newest['config']
    assert 0.8 * MAX_RECORD_BYTES < len(value) <= MAX_RECORD_BYTES


class TestStoreReads:
    @pytest.mark.parametrize('records', [1, 8])
    async def test_long_record_is_read(self, platform, slow_link, records):
        # Guards against a time for the whole response, after which the same
        # read begins again: a gateway never starts then.
        value = bytes(records * MAX_RECORD_BYTES)
        await platform.store.put('keyed.op', 'config', value)
        store = dragonflyslip_adapter.Store(await slow_link())
        newest = (await store.newest('keyed.op')).unwrap()
        read = (await store.read('keyed.op', 0, 0.0)).unwrap()
        for page in (newest, read):
            assert [item.value for item in page.records] == [value]
        await store.close()

    async def test_short_response_may_come_behind_a_long_one(
        self, platform, slow_link
    ):
        # Guards against a list of targets that counts as lost while a long
        # manifest is on the same link.
        await platform.store.put('keyed.op', 'config', bytes(4_000_000))
        store = dragonflyslip_adapter.Store(await slow_link())
        long_read = asyncio.create_task(store.read('keyed.op', 0, 0.0))
        await asyncio.sleep(0.1)
        while not long_read.done():
            outcome = await store.read('keyed.servers', 0, 0.2)
            assert isinstance(outcome, result.Success)
        assert isinstance(await long_read, result.Success)
        await store.close()

    @pytest.mark.parametrize('pause_s', [0.05, 0.5, 1.5])
    async def test_peer_that_sends_byte_by_byte_does_not_hold_a_read(
        self, serve_parts, pause_s
    ):
        # Guards against a read that goes on as long as bytes arrive.
        url = await serve_parts(100_000, [b'x'] * 100_000, pause_s)
        store = dragonflyslip_adapter.Store(url)
        async with asyncio.timeout(MAX_READ_S):
            outcomes = [
                await store.newest('keyed.op'),
                await store.read('keyed.op', 0, 0.0),
            ]
        assert all(isinstance(item, result.Failure) for item in outcomes)
        await store.close()


class TestGateways:
    async def test_all_start_at_once_with_a_long_manifest(
        self, platform, slow_link
    ):
        # Guards against gateways that never serve again after all of them
        # have been killed.
        await platform.add_target()
        await _publish_long_manifest(platform, 'casebook')
        async with asyncio.timeout(IN_FORCE_S * GATEWAYS):
            gateways = await asyncio.gather(
                *[
                    platform.add_gateway(
                        name=f'gateway-{number}', store_url=await slow_link()
                    )
                    for number in range(GATEWAYS)
                ]
            )
        replies = [
            await platform.call(listen=item.options.listen)
            for item in gateways
        ]
        assert [reply.status for reply in replies] == [200] * GATEWAYS
