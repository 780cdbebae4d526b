"""Bytes and pages that the store sends without end."""

import asyncio
import zlib

import pytest
from returns import result

import dragonflyslip_adapter
from dragonflyslip_core import feeds
import dragonflyslip_emulator as emulator

Part = emulator.EndlessPart

# A response may have 4 MiB; sockets and one read from them hold the rest.
MAX_ACCEPTED_BYTES = 5_242_880
MAX_ACCEPTED_ERROR_BYTES = 786_432
PARTS = [
    Part.NO_RESPONSE,
    Part.HEADER_LINE,
    Part.HEADERS,
    Part.INTERIM,
    Part.BODY,
    Part.CHUNK_EXTENSION,
    Part.CHUNK_EXTENSIONS,
    Part.TRAILERS,
]


@pytest.fixture
async def open_store():
    """Yield a function that returns a client of a store at a URL."""
    stores = []

    def open_at(url):
        stores.append(dragonflyslip_adapter.Store(url))
        return stores[-1]

    yield open_at
    for store in stores:
        await store.close()


@pytest.fixture
async def serve_body():
    """Yield a function that starts a store with one response.

    It returns the URL of the store.
    """
    servers = []

    async def start(status, body):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n'
                % (status, len(body))
            )
            writer.write(body)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}'

    yield start
    for server in servers:
        server.close()


async def _start_server(part, status):
    server = emulator.EndlessServer(part, status)
    await server.start()
    return server


class TestStoreResponses:
    @pytest.mark.parametrize('part', PARTS)
    @pytest.mark.parametrize('status', [200, 410, 503])
    async def test_endless_response_is_a_failure(
        self, open_store, part, status
    ):
        # Guards against a gateway that runs out of memory because of one
        # response of the store.
        server = await _start_server(part, status)
        store = open_store(server.url)
        outcomes = [
            await store.newest('keyed.op'),
            await store.read('keyed.op', feeds.START, 0.0),
            await store.append('keyed.own', 'key', b'value'),
        ]
        assert all(isinstance(item, result.Failure) for item in outcomes)
        async with asyncio.timeout(5.0):
            while server.running:
                await asyncio.sleep(0.005)
        limit = (
            MAX_ACCEPTED_BYTES
            if (part, status) == (Part.BODY, 200)
            else MAX_ACCEPTED_ERROR_BYTES
        )
        assert max(server.sent) <= limit
        await server.close()

    @pytest.mark.parametrize('part', PARTS)
    async def test_slow_endless_response_ends_with_its_timeout(
        self, open_store, part
    ):
        # Guards against a read that goes on as long as bytes arrive.
        server = emulator.EndlessServer(part, interval_s=0.05)
        await server.start()
        async with asyncio.timeout(5.0):
            outcome = await open_store(server.url).newest('keyed.op')
        assert isinstance(outcome, result.Failure)
        await server.close()

    async def test_callers_are_served_meanwhile(self, platform):
        # Guards against a gateway that the responses of the store keep busy.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        server = await _start_server(Part.BODY, 200)
        platform.gateway.log.url = server.url
        await platform.until(lambda: len(server.sent) >= 3)
        replies = [await platform.call(f'/unsafe/{n}') for n in range(5)]
        assert [reply.status for reply in replies] == [200] * 5
        assert max(server.sent) <= MAX_ACCEPTED_BYTES
        await server.close()

    async def test_compressed_response_is_not_expanded(self, open_store):
        # Guards against a short response that fills the memory when it is
        # decompressed.
        record = bytes(32 * 1_024 * 1_024)
        page = bytes(16) + len(record).to_bytes(4, 'big') + record
        body = zlib.compress(page)

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\n'
                b'Content-Length: %d\r\n\r\n' % len(body)
            )
            writer.write(body)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = open_store(f'http://127.0.0.1:{port}')
        outcome = await store.read('keyed.op', feeds.START, 0.0)
        values = [item.value or b'' for item in outcome.unwrap().records]
        assert sum(len(value) for value in values) <= len(body)
        server.close()

    async def test_deeply_nested_response_is_a_failure(
        self, serve_body, open_store
    ):
        # Guards against a response that ends the gateway.
        store = open_store(await serve_body(200, b'[' * 100_000))
        outcome = await store.newest('keyed.op')
        assert isinstance(outcome, result.Failure)


class TestPaging:
    async def test_endless_pages_are_a_failure(self, platform, open_store):
        # Guards against a gateway that reads pages for ever and keeps them.
        platform.store.endless_paging = True
        outcome = await open_store(platform.store.url).newest('keyed.op')
        assert isinstance(outcome, result.Failure)
        assert platform.store.requests <= 101


ODD_PAGES = {
    'infinite-end': b'{"items":[],"more":false,"end_offset":1e999}',
    'huge-end': b'{"items":[],"more":false,"end_offset":%b}' % (b'9' * 40),
    'negative-end': b'{"items":[],"more":false,"end_offset":-1}',
    'text-end': b'{"items":[],"more":false,"end_offset":"1"}',
    'no-end': b'{"items":[],"more":false}',
    'no-items-but-more': b'{"items":[],"more":true,"end_offset":1}',
    'items-of-another-type': b'{"items":{},"more":false,"end_offset":1}',
    'infinite-offset': b'{"items":[{"key":"a","value":"","offset":1e999}],'
    b'"more":false,"end_offset":1}',
    'key-of-another-type': b'{"items":[{"key":[1],"value":"","offset":0}],'
    b'"more":false,"end_offset":1}',
    'value-no-base64': b'{"items":[{"key":"a","value":"\xc3\xa9","offset":0}],'
    b'"more":false,"end_offset":1}',
    'not-utf-8': b'{"items":[{"key":"\xff","value":"","offset":0}],'
    b'"more":false,"end_offset":1}',
}


class TestOddNumbers:
    @pytest.mark.parametrize('name', ODD_PAGES)
    async def test_odd_page_is_a_failure(self, serve_body, open_store, name):
        """Guards against a page that ends the task that reads the store."""
        store = open_store(await serve_body(200, ODD_PAGES[name]))
        outcome = await store.newest('keyed.op')
        assert isinstance(outcome, result.Failure)

    @pytest.mark.parametrize('offset', [b'1e999', b'"1"', b'null', b'-1'])
    async def test_odd_offset_of_an_append_is_a_failure(
        self, serve_body, open_store, offset
    ):
        """Guards against an offset that ends the registration."""
        body = b'{"offset":%b,"end_offset":1}' % offset
        store = open_store(await serve_body(200, body))
        outcome = await store.append('keyed.op', 'key', b'value')
        assert isinstance(outcome, result.Failure)

    @pytest.mark.parametrize('body', [b'[]', b'{', b'{"first_offset":1e999}'])
    async def test_odd_end_of_history_is_a_failure(
        self, serve_body, open_store, body
    ):
        store = open_store(await serve_body(410, body))
        outcome = await store.read('keyed.op', feeds.START, 0.0)
        assert isinstance(outcome, result.Failure)

    async def test_page_of_huge_offsets_is_read(self, serve_body, open_store):
        """Guards against the lengths of records that exceed their page."""
        page = b'\xff' * 16 + b'\xff\xff\xff\xff' + b'rest'
        store = open_store(await serve_body(200, page))
        outcome = await store.read('keyed.op', feeds.Position(0, 7), 0.0)
        assert outcome.unwrap().records == ()
        assert outcome.unwrap().through == feeds.Position(0, 7)
