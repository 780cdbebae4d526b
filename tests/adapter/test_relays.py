"""Copying of feeds between gateways while parts of the system fail."""

import asyncio
import contextlib
import operator

import pytest

from dragonflyslip_emulator import endless
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import feeds
from dragonflyslip_entry.gateway import peer_port
from dragonflyslip_entry.gateway import relay
from dragonflyslip_testing import relay as network
import dragonflyslip_wire as wire

# A change must be in force at all gateways this long after it was accepted.
IN_FORCE_S = 2.0
# Bytes that a gateway may accept on one link before it closes it: a frame of
# 1 MiB, one read from the socket and the buffers of both sockets.
MAX_ACCEPTED_BYTES = 2_097_152
ENTRIES_TOPIC = 'keyed.dragonflyslip'
# Registrations of targets that report each second may expire in an outage of
# this length.
OUTAGE_S = 3.0
OUTAGES = [
    store_types.StoreFault.BUSY,
    store_types.StoreFault.RESET,
    store_types.StoreFault.SILENT,
]


async def _start(platform, count: int, store_urls: list[str] = ()) -> list:
    """Start gateways and wait until they copy from each other.

    :param store_urls: for the first gateways, URLs that replace the store's.
    """
    await platform.add_target()
    await platform.publish()
    urls = [*store_urls, *[platform.store.url] * (count - len(store_urls))]
    gateways = [
        await platform.add_gateway(
            failure_domain=f'zone-{"abc"[n % 3]}', store_url=url
        )
        for n, url in enumerate(urls)
    ]
    await platform.until(
        lambda: all(
            gateway.feeds.relay.provider_selector.fresh_count == min(number, 2)
            for number, gateway in enumerate(gateways)
        )
    )
    return gateways


def _ended_gateway(incarnation: int) -> dict:
    """Return the registration of a process that has ended."""
    return {
        'incarnation': incarnation,
        'failure_domain': f'zone-{"abc"[incarnation % 3]}',
        # Nothing listens on this port.
        'endpoint': '127.0.0.1:1',
    }


async def _wait_until_in_force(platform, gateways) -> None:
    """Publish a change and wait until it is in force at the gateways.

    :raises TimeoutError: if that takes longer than ``IN_FORCE_S``.
    """
    await platform.publish(platform.route('upload'))
    async with asyncio.timeout(IN_FORCE_S):
        while any(
            gateway.board.manifest.version < platform.version
            for gateway in gateways
        ):
            await asyncio.sleep(0.01)


async def _wait_until_removed(platform, gateways) -> None:
    """Remove the first target and wait until the gateways have done so.

    :raises TimeoutError: if that takes longer than ``IN_FORCE_S``.
    """
    removed = platform.targets[0].target_id
    await platform.store.put(store_types.TARGET_TOPIC, removed, b'')
    async with asyncio.timeout(IN_FORCE_S):
        while any(
            removed in item.board.directory.targets for item in gateways
        ):
            await asyncio.sleep(0.01)


def _disconnect_store(gateway) -> None:
    # Nothing listens on this port, and open connections to the store are not
    # used for another URL.
    gateway.log.url = 'http://127.0.0.1:1'


def _stop_messages(gateway) -> None:
    """Stop all messages of a gateway to its subscribers, as if paused."""
    silenced = gateway.feeds.relay.subscribers
    silenced.announce = lambda: None
    silenced.send_page = lambda link, message: None
    silenced.accept = lambda link, message: False


@contextlib.asynccontextmanager
async def _silent_readers(platform, count: int):
    """Start gateways whose two readers of the store are then cut off from it.

    Yields the readers and the other gateways.
    """
    link = network.Relay(int(platform.store.url.rpartition(':')[2]))
    server = await link.listen(0)
    url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'
    gateways = await _start(platform, count, store_urls=[url, url])
    # A change of each feed begins new waiting reads at the same time.
    await platform.add_target()
    await platform.store.put(ENTRIES_TOPIC, 'ended', _ended_gateway(1))
    await platform.publish()
    await platform.until(
        lambda: all(
            item.board.manifest.version == platform.version
            and len(item.board.directory.targets) == len(platform.targets)
            for item in gateways
        )
    )
    await asyncio.sleep(0.1)
    link.drops_requests = link.drops_responses = True
    yield gateways[:2], gateways[2:]
    server.close()
    link.close()


class TestReaders:
    async def test_only_two_of_five_read_the_store(self, platform):
        # Guards against a read load on the store that grows with the number
        # of gateways.
        gateways = await _start(platform, 5)
        await _wait_until_in_force(platform, gateways)
        reads = [item.board.counters['feed_reads'] for item in gateways]
        assert reads[2:] == [0, 0, 0]

    async def test_gateways_count_each_other(self, platform):
        gateways = await _start(platform, 4)
        await platform.until(
            lambda: all(item.board.entries == 4 for item in gateways)
        )

    async def test_other_links_are_not_counted_as_gateways(self, platform):
        # Guards against limits that are divided among too many gateways.
        first, second = await _start(platform, 2)
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


class TestProviderFaults:
    @pytest.mark.parametrize('lost', [[0], [1], [0, 1], [0, 1, 2]])
    async def test_change_is_in_force_though_providers_stop(
        self, platform, lost
    ):
        gateways = await _start(platform, 5)
        for number in lost:
            await platform.stop(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in lost]
        await _wait_until_in_force(platform, left)

    @pytest.mark.parametrize(
        ('owner', 'step'),
        [
            ('feeds', '_update'),
            ('feeds.relay', 'update'),
            ('feeds.registry', 'expire'),
        ],
    )
    async def test_change_is_in_force_where_each_update_fails(
        self, platform, owner, step
    ):
        # Guards against a gateway that stays ready with an old manifest
        # because it no longer chooses whom to copy from.
        gateways = await _start(platform, 4)

        def fail(*arguments) -> None:
            raise KeyError('unexpected')

        failing = gateways[3]
        setattr(operator.attrgetter(owner)(failing), step, fail)
        for provider in gateways[:2]:
            await platform.stop(provider)
        await _wait_until_in_force(platform, [failing])

    @pytest.mark.parametrize('lost', [[0], [0, 1]])
    async def test_change_is_in_force_though_providers_are_silent(
        self, platform, lost
    ):
        # Guards against a gateway that relies on a paused provider.
        gateways = await _start(platform, 4)
        for number in lost:
            _stop_messages(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in lost]
        await _wait_until_in_force(platform, left)

    @pytest.mark.parametrize('cut', [[0], [0, 1], [0, 2], [0, 1, 2]])
    async def test_change_is_in_force_where_the_store_is_reached(
        self, platform, cut
    ):
        # Guards against gateways that keep copying from one that no longer
        # reaches the store.
        gateways = await _start(platform, 4)
        for number in cut:
            _disconnect_store(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in cut]
        await _wait_until_in_force(platform, left)

    @pytest.mark.parametrize('count', [4, 9])
    async def test_change_is_in_force_though_readers_are_cut_in_silence(
        self, platform, count
    ):
        # Guards against gateways that count as current while their waiting
        # reads have not failed yet: the others then keep copying from them.
        async with _silent_readers(platform, count) as (readers, others):
            await _wait_until_in_force(platform, others)
            assert {item.board.manifest.version for item in readers} == {
                platform.version - 1
            }

    @pytest.mark.parametrize('count', [4, 9])
    async def test_target_is_removed_though_readers_are_cut_in_silence(
        self, platform, count
    ):
        # Guards against gateways that take silent readers for an outage of
        # the store, after which they keep removed targets for 2 s more.
        async with _silent_readers(platform, count) as (_, others):
            await _wait_until_removed(platform, others)

    @pytest.mark.parametrize('silent', [[0, 1], [0, 1, 2, 3]])
    @pytest.mark.parametrize('since_s', [0.0, 0.5, 1.0, 2.0])
    async def test_target_is_removed_though_gateways_are_silent(
        self, platform, silent, since_s
    ):
        # Guards against gateways that take the silence of those from which
        # they copy for an outage of the store, and then keep removed targets.
        gateways = await _start(platform, 9)
        for number in silent:
            _stop_messages(gateways[number])
        await asyncio.sleep(since_s)
        await _wait_until_removed(platform, gateways[max(silent) + 1 :])

    async def test_target_is_removed_though_links_to_providers_end(
        self, platform
    ):
        # Guards against the same when providers are killed: without a link to
        # any, no copy was ever known to be current.
        gateways = await _start(platform, 4)
        last = gateways[3]
        for provider_link in last.feeds.relay._links.values():
            provider_link.link.close()
        last.feeds.relay._open_link = lambda provider: None
        await _wait_until_removed(platform, [last])

    async def test_target_is_removed_where_the_store_turns_one_away(
        self, platform
    ):
        # Guards against own reads that fail and count as an outage although
        # the copy of a provider is current.
        gateways = await _start(platform, 4)
        last = gateways[3]
        _disconnect_store(last)
        # With a single fresh provider it reads the store after 2 s.
        _stop_messages(gateways[1])
        _stop_messages(gateways[2])
        failed = last.feeds.feeds[store_types.TARGET_TOPIC].failed_reads
        await platform.until(lambda: failed.reason)
        await _wait_until_removed(platform, [last])

    @pytest.mark.parametrize('fault', OUTAGES)
    async def test_target_stays_if_the_store_is_away_too(
        self, platform, fault
    ):
        # Guards against the loss of targets whose registration expired in an
        # outage that began beside silent gateways.
        gateways = await _start(platform, 5)
        _stop_messages(gateways[0])
        _stop_messages(gateways[1])
        platform.store.fault = fault
        await asyncio.sleep(OUTAGE_S)
        expired = platform.targets[0].target_id
        platform.store.fault = store_types.StoreFault.NONE
        await platform.store.put(store_types.TARGET_TOPIC, expired, b'')
        kept = set()

        def all_kept() -> bool:
            for item in gateways[2:]:
                target = item.board.directory.targets.get(expired)
                if target is None:
                    assert item in kept
                elif target.remove_at is not None:
                    kept.add(item)
            return len(kept) == len(gateways[2:])

        await platform.until(all_kept)

    async def test_gateway_cut_from_all_others_reads_the_store(self, platform):
        gateways = await _start(platform, 4)
        last = gateways[3]
        for provider_link in last.feeds.relay._links.values():
            provider_link.link.transport.pause_reading()
        last.feeds.relay._open_link = lambda provider: None
        await _wait_until_in_force(platform, [last])

    async def test_silent_provider_is_dropped(self, platform, monkeypatch):
        # Guards against provider links to machines without power, which
        # never close and would stay in use for ever.
        monkeypatch.setattr(relay, 'PROVIDER_TIMEOUT_S', 1.0)
        gateways = await _start(platform, 4)
        links = gateways[3].feeds.relay._links
        _stop_messages(gateways[0])
        await platform.until(lambda: gateways[0].feeds.own_id not in links)
        await platform.until(lambda: len(links) == 2)

    async def test_provider_becomes_fresh_while_another_link_opens(
        self, platform
    ):
        # Guards against a gateway that closes the link which is being
        # opened and ends with an error.
        gateways = await _start(platform, 4)
        last = gateways[3].feeds.relay
        last.provider_selector.set_fresh(
            last.provider_selector.order[0], False
        )
        last.provider_selector.opened(last.provider_selector.order[2])
        last.provider_selector.set_fresh(last.provider_selector.order[0], True)
        last.update(asyncio.get_running_loop().time())
        await _wait_until_in_force(platform, gateways)

    async def test_new_process_at_the_address_is_no_provider(self, platform):
        # Guards against two gateways that copy from each other.
        gateways = await _start(platform, 3)
        first, last = gateways[0], gateways[2]
        await platform.stop(first)
        again = await platform.add_gateway(
            name=first.options.name,
            peer_listen=first.options.peer_listen,
        )
        names = [
            str(p.entry_id) for p in last.feeds.relay.provider_selector.order
        ]
        await platform.until(
            lambda: len(last.feeds.relay.provider_selector.order) < len(names)
        )
        assert again.feeds.own_id not in last.feeds.relay._links
        await _wait_until_in_force(platform, [gateways[1], last, again])


class TestEndlessBytes:
    @pytest.mark.parametrize(
        'block', [b'x' * 16_384, bytes(16_384), b'\x00\x00\x10\x00' * 4_096]
    )
    async def test_bytes_that_are_no_frames_close_the_link(
        self, platform, block
    ):
        # Guards against a gateway that keeps what a process at a peer's
        # former address sends.
        gateways = await _start(platform, 1)
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
            ENTRIES_TOPIC,
            'gateway-0',
            {
                'incarnation': 1,
                'failure_domain': 'zone-a',
                'endpoint': f'127.0.0.1:{port}',
            },
        )
        try:
            await _start(platform, 1)
            await platform.until(lambda: sent)
        finally:
            server.close()
        assert max(sent) <= MAX_ACCEPTED_BYTES

    async def test_link_that_does_not_subscribe_is_closed(
        self, platform, monkeypatch
    ):
        # Guards against links that hold part of a frame for ever.
        monkeypatch.setattr(peer_port, 'FIRST_MESSAGE_TIMEOUT_S', 0.3)
        gateways = await _start(platform, 1)
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
                ENTRIES_TOPIC, f'ended-{number}', _ended_gateway(number)
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
            await platform.store.put(ENTRIES_TOPIC, name, _ended_gateway(1))
        await platform.add_target()
        await platform.publish()
        gateway = await platform.add_gateway()
        await platform.store.put(ENTRIES_TOPIC, 'replaced', _ended_gateway(2))
        await platform.store.put(ENTRIES_TOPIC, 'left', b'')
        await platform.until(
            lambda: not gateway.feeds.relay.provider_selector.order
        )


class TestStartOfReading:
    async def test_gateway_that_begins_to_read_is_current_at_once(
        self, platform
    ):
        # Guards against a first read that waits for a change: until its end,
        # the gateways that copy from this one have no fresh provider.
        gateways = await _start(platform, 3)
        last = gateways[2]
        for gateway in gateways[:2]:
            _stop_messages(gateway)
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
        gateways = await _start(platform, 3)
        await asyncio.sleep(feeds.REREAD_DELAY_S)
        platform.store.fault = store_types.StoreFault.PARTIAL
        before = platform.store.requests
        await asyncio.sleep(2.0)
        # Each feed of each gateway may be read some times in a second.
        assert platform.store.requests - before <= 3 * 3 * 2 * 6
        platform.store.fault = store_types.StoreFault.NONE
        await _wait_until_in_force(platform, gateways)

    async def test_all_gateways_follow_again_after_an_outage(self, platform):
        gateways = await _start(platform, 4)
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
        gateways = await _start(platform, 5)
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
        gateways = await _start(platform, 2)
        names = platform.store.topics[ENTRIES_TOPIC].newest
        assert len(names) == 2
        await platform.stop(gateways[0])
        await platform.until(lambda: len(names) == 1)

    @pytest.mark.parametrize('value', [b'{', b'{"endpoint": 3}', b'\xff'])
    async def test_malformed_registration_is_skipped(self, platform, value):
        await platform.store.put(ENTRIES_TOPIC, 'foreign', value)
        gateways = await _start(platform, 2)
        assert gateways[0].board.counters['skipped_records'] == 1
        await _wait_until_in_force(platform, gateways)
