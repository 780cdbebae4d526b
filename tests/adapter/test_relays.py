"""Copying of feeds between gateways while parts of the system fail."""

import asyncio
import contextlib

import pytest

from dragonflyslip_emulator import endless
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import feeds
from dragonflyslip_entry.gateway import peer_port
from dragonflyslip_entry.gateway import relay
import dragonflyslip_wire as wire
from tests.adapter import relay_parts as parts

# Bytes that a gateway may accept on one link before it closes it: a frame of
# 1 MiB, one read from the socket and the buffers of both sockets.
MAX_ACCEPTED_BYTES = 2_097_152


class TestReaders:
    async def test_only_two_of_five_read_the_store(self, platform):
        # Guards against a read load on the store that grows with the number
        # of gateways.
        gateways = await parts.start(platform, 5)
        await parts.wait_until_in_force(platform, gateways)
        reads = [item.board.counters['feed_reads'] for item in gateways]
        assert reads[2:] == [0, 0, 0]

    async def test_gateways_count_each_other(self, platform):
        gateways = await parts.start(platform, 4)
        await platform.until(
            lambda: all(item.board.entries == 4 for item in gateways)
        )

    async def test_other_links_are_not_counted_as_gateways(self, platform):
        # Guards against limits that are divided among too many gateways.
        first, second = await parts.start(platform, 2)
        await platform.until(
            lambda: (
                len(first.network.gateways) == 2
                and first.network.send('gateway-2', wire.NoticeAck(1))
            )
        )
        counters = second.board.counters
        await platform.until(lambda: counters['peer_messages_received'])
        await asyncio.sleep(relay.STATUS_PERIOD_S)
        assert first.board.fleet.entries(0.0) == 2
        assert second.board.fleet.entries(0.0) == 2
        assert len(first.feeds.relay.subscribers.links) == 1
        assert not second.feeds.relay.subscribers.links


class TestEndlessBytes:
    @pytest.mark.parametrize(
        'block', [b'x' * 16_384, bytes(16_384), b'\x00\x00\x10\x00' * 4_096]
    )
    async def test_bytes_that_are_no_frames_close_the_link(
        self, platform, block
    ):
        # Guards against a gateway that keeps what a process at a peer's
        # former address sends.
        gateways = await parts.start(platform, 1)
        host, _, port = gateways[0].options.peer_listen.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        content = endless.EndlessBytes(b'', block)
        assert await endless.send(writer, content) <= MAX_ACCEPTED_BYTES
        assert gateways[0].board.counters['peer_bad_frames'] == 1
        writer.close()

    @pytest.mark.parametrize('block', [b'x' * 16_384, bytes(16_384)])
    async def test_bytes_from_the_address_of_a_provider_close_the_link(
        self, platform, block
    ):
        """Guards against bytes of another process at a provider's address."""
        sent: list[int] = []

        async def serve(reader, writer):
            content = endless.EndlessBytes(b'', block)
            sent.append(await endless.send(writer, content))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        await platform.store.put(
            parts.ENTRIES_TOPIC,
            'gateway-0',
            {
                'incarnation': 1,
                'failure_domain': 'zone-a',
                'endpoint': f'127.0.0.1:{port}',
            },
        )
        try:
            await parts.start(platform, 1)
            await platform.until(lambda: sent)
        finally:
            server.close()
        assert max(sent) <= MAX_ACCEPTED_BYTES

    async def test_link_that_does_not_subscribe_is_closed(
        self, platform, monkeypatch
    ):
        # Guards against links that hold part of a frame for ever.
        monkeypatch.setattr(peer_port, 'FIRST_MESSAGE_TIMEOUT_S', 0.3)
        gateways = await parts.start(platform, 1)
        host, _, port = gateways[0].options.peer_listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'\x00\x00\x10\x00part of a frame')
        async with asyncio.timeout(3.0):
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b''
        writer.close()


class TestStart:
    async def test_gateways_copy_though_ended_processes_left_their_records(
        self, platform
    ):
        # Guards against reads of the store by all gateways that start: each
        # looked for a provider among the processes that ended before.
        for number in range(40):
            await platform.store.put(
                parts.ENTRIES_TOPIC,
                f'ended-{number}',
                parts.ended_gateway(number),
            )
        await platform.add_target()
        await platform.publish()
        gateways = [await platform.add_gateway() for _ in range(6)]
        reads = [item.board.counters['feed_reads'] for item in gateways]
        assert reads[1:] == [0] * 5

    async def test_registration_that_ended_is_no_provider(self, platform):
        # Guards against connections to the address of a process that has
        # been replaced or has left.
        for name in ('replaced', 'left'):
            await platform.store.put(
                parts.ENTRIES_TOPIC, name, parts.ended_gateway(1)
            )
        await platform.add_target()
        await platform.publish()
        gateway = await platform.add_gateway()
        await platform.store.put(
            parts.ENTRIES_TOPIC, 'replaced', parts.ended_gateway(2)
        )
        await platform.store.put(parts.ENTRIES_TOPIC, 'left', b'')
        await platform.until(
            lambda: not gateway.feeds.relay.provider_selector.order
        )


class TestStartOfReading:
    async def test_gateway_that_begins_to_read_is_current_at_once(
        self, platform
    ):
        # Guards against a first read that waits for a change: until its end,
        # the gateways that copy from this one have no fresh provider.
        gateways = await parts.start(platform, 3)
        last = gateways[2]
        for gateway in gateways[:2]:
            parts.stop_messages(gateway)
        await platform.until(lambda: last.feeds.read_decision.reads)
        started = asyncio.get_running_loop().time()
        await platform.until(
            lambda: all(feed.reading for feed in last.feeds.feeds.values())
        )
        took_s = asyncio.get_running_loop().time() - started
        assert took_s < feeds.READ_WAIT_S / 2


class TestStoreFaults:
    async def test_store_that_does_not_wait_is_read_with_pauses(
        self, platform
    ):
        # Guards against reads without end of a store whose responses hold no
        # whole record.
        gateways = await parts.start(platform, 3)
        await asyncio.sleep(feeds.REREAD_DELAY_S)
        platform.store.fault = store_types.StoreFault.PARTIAL
        before = platform.store.requests
        await asyncio.sleep(2.0)
        # Each feed of each gateway may be read some times in a second.
        assert platform.store.requests - before <= 3 * 3 * 2 * 6
        platform.store.fault = store_types.StoreFault.NONE
        await parts.wait_until_in_force(platform, gateways)

    async def test_all_gateways_follow_again_after_an_outage(self, platform):
        gateways = await parts.start(platform, 4)
        platform.store.fault = store_types.StoreFault.BUSY
        await asyncio.sleep(2.5)
        platform.store.fault = store_types.StoreFault.NONE
        await platform.until(
            lambda: any(item.feeds.read_decision.reads for item in gateways)
        )
        await platform.publish(platform.route('upload'))
        await platform.until(
            lambda: all(g.board.manifest.version == 2 for g in gateways)
        )

    async def test_copying_gateways_rarely_read_an_unavailable_store(
        self, platform
    ):
        # Guards against a load on the store during an outage that grows with
        # the number of gateways.
        gateways = await parts.start(platform, 5)
        platform.store.fault = store_types.StoreFault.BUSY
        await asyncio.sleep(3.0)
        reads = [item.board.counters['feed_reads'] for item in gateways]
        assert max(reads[2:]) <= 8

    async def test_start_during_an_outage_succeeds_after_it(self, platform):
        await platform.add_target()
        await platform.publish()
        platform.store.fault = store_types.StoreFault.RESET
        starting = asyncio.create_task(platform.add_gateway())
        await asyncio.sleep(0.5)
        platform.store.fault = store_types.StoreFault.NONE
        gateway = await starting
        assert gateway.board.manifest.version == 1


class TestRegistration:
    async def test_leaving_gateway_drops_its_registration(self, platform):
        # Guards against a list of gateways that grows with each replacement.
        gateways = await parts.start(platform, 2)
        names = platform.store.topics[parts.ENTRIES_TOPIC].newest
        assert len(names) == 2
        await platform.stop(gateways[0])
        await platform.until(lambda: len(names) == 1)

    @pytest.mark.parametrize('value', [b'{', b'{"endpoint": 3}', b'\xff'])
    async def test_malformed_registration_is_skipped(self, platform, value):
        await platform.store.put(parts.ENTRIES_TOPIC, 'foreign', value)
        gateways = await parts.start(platform, 2)
        assert gateways[0].board.counters['skipped_records'] == 1
        await parts.wait_until_in_force(platform, gateways)
