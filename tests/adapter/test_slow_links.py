"""Long records of the store over links of 5 Mbit/s."""

import asyncio
import random
import struct

import pytest
from returns import result

import dragonflyslip_adapter
from dragonflyslip_core import feeds as feed_types
from dragonflyslip_core import transfers
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import page_pulls
from dragonflyslip_entry.gateway import subscribers
from dragonflyslip_entry import peer_links
from dragonflyslip_testing import relay as network
import dragonflyslip_wire as wire

LINK_BYTES_PER_S = 625_000
# Longest record of the store.
MAX_RECORD_BYTES = 262_144
# Their names make a manifest nearly as long.
LONG_MANIFEST_ROUTES = 1_360
# A change must be in force this long after it was accepted.
IN_FORCE_S = 2.5
VERSIONS = 12
VERSION_GAP_S = 0.33
# A read of a peer that sends without end must end by then.
MAX_READ_S = 5.0
GATEWAYS = 4
# A response that the store sent before a change may arrive so much later.
ON_THE_WAY_S = 0.1
# Does not become short when it is packed.
LONG_VALUE = random.Random(1).randbytes(240_000)


@pytest.fixture
async def slow_link(platform):
    """Yield a function that starts a slow link to the store.

    It returns the URL of the store behind it.
    """
    links = []

    async def start(bytes_per_s=LINK_BYTES_PER_S):
        limit = network.RateLimit(bytes_per_s)
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


def _record(key: bytes, value: bytes) -> bytes:
    """Return a record as a page contains it."""
    record = bytes([len(key)]) + key + value
    return struct.pack('>I', len(record)) + record


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
        read = (await store.read('keyed.op', feed_types.START, 0.0)).unwrap()
        for page in (newest, read):
            assert [item.value for item in page.records] == [value]
            assert page.is_current
        await store.close()

    async def test_short_response_may_come_behind_a_long_one(
        self, platform, slow_link
    ):
        # Guards against a list of targets that counts as lost while a long
        # manifest is on the same link.
        await platform.store.put('keyed.op', 'config', bytes(4_000_000))
        store = dragonflyslip_adapter.Store(await slow_link())
        long_read = asyncio.create_task(
            store.read('keyed.op', feed_types.START, 0.0)
        )
        await asyncio.sleep(0.1)
        while not long_read.done():
            outcome = await store.read('keyed.servers', feed_types.START, 0.2)
            assert isinstance(outcome, result.Success)
        assert isinstance(await long_read, result.Success)
        await store.close()

    async def test_records_that_arrived_are_kept(self, serve_parts):
        # Guards against a page that a broken link never carries whole, and
        # that is requested from its beginning each time.
        records = [_record(b'a', b'1' * 9_000), _record(b'b', b'2' * 9_000)]
        page = struct.pack('>QQ', 3, 0) + b''.join(records)
        url = await serve_parts(40_000, [page, b'\0\0\x23\x28\1c333'])
        store = dragonflyslip_adapter.Store(url)
        async with asyncio.timeout(MAX_READ_S):
            read = (
                await store.read('keyed.op', feed_types.START, 0.0)
            ).unwrap()
        assert [item.key for item in read.records] == ['a', 'b']
        assert read.through == feed_types.Position(0, 2)
        assert not read.is_current
        await store.close()

    async def test_error_that_breaks_off_holds_no_records(self, platform):
        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 503 Busy\r\nContent-Length: 900\r\n\r\n')
            writer.write(struct.pack('>QQ', 1, 0) + _record(b'a', b'1'))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = dragonflyslip_adapter.Store(f'http://127.0.0.1:{port}')
        outcome = await store.read('keyed.op', feed_types.START, 0.0)
        assert isinstance(outcome, result.Failure)
        await store.close()
        server.close()

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
                await store.read('keyed.op', feed_types.START, 0.0),
            ]
        assert all(isinstance(item, result.Failure) for item in outcomes)
        await store.close()

    async def test_newest_version_replaces_all_unread_ones(
        self, platform, slow_link
    ):
        # Guards against a reader that falls behind while versions come
        # faster than its link carries them.
        for number in range(VERSIONS):
            value = bytes([number]) * MAX_RECORD_BYTES
            await platform.store.put('keyed.op', 'config', value)
        store = dragonflyslip_adapter.Store(await slow_link())
        page = (
            await store.read(
                'keyed.op', feed_types.Position(0, 1), 0.0, MAX_RECORD_BYTES
            )
        ).unwrap()
        assert [item.value for item in page.records] == [value]
        assert page.is_current
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

    async def test_quick_versions_of_a_long_manifest_are_in_force_in_time(
        self, platform, slow_link
    ):
        # Guards against a gateway that asks for ever for a page with more
        # versions than its link carries in the time of a read.
        await platform.add_target()
        await platform.publish()
        gateways = [
            await platform.add_gateway(store_url=await slow_link())
            for _ in range(GATEWAYS)
        ]
        loop = asyncio.get_running_loop()
        published_at = {}

        def late_gateways() -> list[str]:
            due = [
                version
                for version, accepted_at in published_at.items()
                if loop.time() > accepted_at + IN_FORCE_S
            ]
            return [
                item.options.name
                for item in gateways
                if item.board.manifest.version < max(due, default=0)
            ]

        until = loop.time()
        for _ in range(VERSIONS):
            await _publish_long_manifest(platform, 'casebook')
            published_at[platform.version] = loop.time()
            until += VERSION_GAP_S
            while loop.time() < until:
                assert late_gateways() == []
                await asyncio.sleep(0.02)
        await platform.until(
            lambda: all(
                item.board.manifest.version == platform.version
                for item in gateways
            )
        )
        assert loop.time() <= max(published_at.values()) + IN_FORCE_S


class _Counters:
    def count(self, name, amount=1):
        pass


class _Transport(asyncio.Transport):
    """A transport to a peer; nothing is sent."""

    def get_extra_info(self, name, default=None):
        return self

    def setsockopt(self, *option):
        pass

    def is_closing(self):
        return False


class TestAges:
    async def test_copy_is_not_current_while_a_change_arrives(
        self, platform, slow_link
    ):
        # Guards against a reader that is stated as current because the store
        # responds, although the response holds a change.
        await platform.add_target()
        await platform.publish()
        # Other traffic takes three quarters of the link.
        url = await slow_link(LINK_BYTES_PER_S / 4)
        gateway = await platform.add_gateway(store_url=url)
        loop = asyncio.get_running_loop()
        stated = []
        for _ in range(3):
            await asyncio.sleep(1.0)
            await _publish_long_manifest(platform, 'casebook')
            published_at = loop.time()
            while gateway.board.manifest.version < platform.version:
                now = loop.time()
                current_at = now - gateway.feeds._ages(now)['keyed.op']
                stated.append(current_at - published_at)
                await asyncio.sleep(0.01)
        assert len(stated) > 3
        assert max(stated) <= ON_THE_WAY_S


class TestLongPages:
    """Pages that gateways copy from each other."""

    @pytest.mark.parametrize('bytes_per_s', [20, 2_000, 100_000, 600_000])
    def test_page_is_asked_for_again_only_without_progress(self, bytes_per_s):
        # Guards against copies of a long page that pile up on a slow link,
        # and against a peer that keeps a gateway waiting with a few bytes.
        page = feed_types.FeedPage(
            (feed_types.FeedRecord('config', LONG_VALUE, feed_types.START),),
            feed_types.START,
            feed_types.Position(0, 1),
        )
        frame = wire.encode_frame(wire.FeedPush('keyed.op', page))
        received = []
        link = peer_links.PeerLink(
            _Counters(), lambda _, message: received.append(message)
        )
        link.connection_made(_Transport())
        pull = page_pulls.Pull(link, 0.0)
        now, sent = 0.0, 0
        while not received and pull.is_pending(now):
            now += 0.1
            end = sent + int(bytes_per_s * 0.1)
            link.data_received(frame[sent:end])
            sent = end
        is_fast = bytes_per_s >= transfers.MIN_BYTES_PER_S
        assert bool(received) is is_fast
        assert is_fast or now < MAX_READ_S

    async def test_change_is_in_force_though_providers_are_congested(
        self, platform, monkeypatch
    ):
        # Guards against gateways that wait until the slow link of a provider
        # has carried a long page to all the others.
        await platform.add_target()
        await platform.publish()
        gateways = [await platform.add_gateway() for _ in range(GATEWAYS)]
        await asyncio.sleep(1.0)
        monkeypatch.setattr(subscribers, 'MAX_UNSENT_BYTES', -1)
        # Manifests become short when they are packed.
        monkeypatch.setattr(subscribers, 'LONG_PAGE_BYTES', 0)
        await _publish_long_manifest(platform, 'casebook')
        async with asyncio.timeout(IN_FORCE_S):
            while any(
                item.board.manifest.version < platform.version
                for item in gateways
            ):
                await asyncio.sleep(0.01)
        deferred = sum(
            item.board.counters['feed_pages_deferred'] for item in gateways
        )
        assert deferred > 0
