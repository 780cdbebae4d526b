"""Copying of feeds from gateways that fail, are cut off or replaced."""

import asyncio
import operator

import pytest

from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import relay
from tests.adapter import relay_parts as parts

# Registrations of targets that report each second may expire in an outage of
# this length.
OUTAGE_S = 3.0
OUTAGES = [
    store_types.StoreFault.BUSY,
    store_types.StoreFault.RESET,
    store_types.StoreFault.SILENT,
]


class TestProviderFaults:
    @pytest.mark.parametrize('lost', [[0], [1], [0, 1], [0, 1, 2]])
    async def test_change_is_in_force_though_providers_stop(
        self, platform, lost
    ):
        gateways = await parts.start(platform, 5)
        for number in lost:
            await platform.stop(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in lost]
        await parts.wait_until_in_force(platform, left)

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
        gateways = await parts.start(platform, 4)

        def fail(*arguments) -> None:
            raise KeyError('unexpected')

        failing = gateways[3]
        setattr(operator.attrgetter(owner)(failing), step, fail)
        for provider in gateways[:2]:
            await platform.stop(provider)
        await parts.wait_until_in_force(platform, [failing])

    @pytest.mark.parametrize('lost', [[0], [0, 1]])
    async def test_change_is_in_force_though_providers_are_silent(
        self, platform, lost
    ):
        # Guards against a gateway that relies on a paused provider.
        gateways = await parts.start(platform, 4)
        for number in lost:
            parts.stop_messages(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in lost]
        await parts.wait_until_in_force(platform, left)

    @pytest.mark.parametrize('cut', [[0], [0, 1], [0, 2], [0, 1, 2]])
    async def test_change_is_in_force_where_the_store_is_reached(
        self, platform, cut
    ):
        # Guards against gateways that keep copying from one that no longer
        # reaches the store.
        gateways = await parts.start(platform, 4)
        for number in cut:
            parts.disconnect_store(gateways[number])
        left = [g for n, g in enumerate(gateways) if n not in cut]
        await parts.wait_until_in_force(platform, left)

    @pytest.mark.parametrize('count', [4, 9])
    async def test_change_is_in_force_though_readers_are_cut_in_silence(
        self, platform, count
    ):
        # Guards against gateways that count as current while their waiting
        # reads have not failed yet: the others then keep copying from them.
        async with parts.silent_readers(platform, count) as (readers, others):
            await parts.wait_until_in_force(platform, others)
            assert {item.board.manifest.version for item in readers} == {
                platform.version - 1
            }

    @pytest.mark.parametrize('count', [4, 9])
    async def test_target_is_removed_though_readers_are_cut_in_silence(
        self, platform, count
    ):
        # Guards against gateways that take silent readers for an outage of
        # the store, after which they keep removed targets for 2 s more.
        async with parts.silent_readers(platform, count) as (_, others):
            await parts.wait_until_removed(platform, others)

    @pytest.mark.parametrize('silent', [[0, 1], [0, 1, 2, 3]])
    @pytest.mark.parametrize('since_s', [0.0, 0.5, 1.0, 2.0])
    async def test_target_is_removed_though_gateways_are_silent(
        self, platform, silent, since_s
    ):
        # Guards against gateways that take the silence of those from which
        # they copy for an outage of the store, and then keep removed targets.
        gateways = await parts.start(platform, 9)
        for number in silent:
            parts.stop_messages(gateways[number])
        await asyncio.sleep(since_s)
        await parts.wait_until_removed(platform, gateways[max(silent) + 1 :])

    async def test_target_is_removed_though_links_to_providers_end(
        self, platform
    ):
        # Guards against the same when providers are killed: without a link to
        # any, no copy was ever known to be current.
        gateways = await parts.start(platform, 4)
        last = gateways[3]
        for provider_link in last.feeds.relay._links.values():
            provider_link.link.close()
        last.feeds.relay._open_link = lambda provider: None
        await parts.wait_until_removed(platform, [last])

    async def test_target_is_removed_where_the_store_turns_one_away(
        self, platform
    ):
        # Guards against own reads that fail and count as an outage although
        # the copy of a provider is current.
        gateways = await parts.start(platform, 4)
        last = gateways[3]
        parts.disconnect_store(last)
        # With a single fresh provider it reads the store after 2 s.
        parts.stop_messages(gateways[1])
        parts.stop_messages(gateways[2])
        failed = last.feeds.feeds[store_types.TARGET_TOPIC].failed_reads
        await platform.until(lambda: failed.reason)
        await parts.wait_until_removed(platform, [last])

    @pytest.mark.parametrize('fault', OUTAGES)
    async def test_target_stays_if_the_store_is_away_too(
        self, platform, fault
    ):
        # Guards against the loss of targets whose registration expired in an
        # outage that began beside silent gateways.
        gateways = await parts.start(platform, 5)
        parts.stop_messages(gateways[0])
        parts.stop_messages(gateways[1])
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
        gateways = await parts.start(platform, 4)
        last = gateways[3]
        for provider_link in last.feeds.relay._links.values():
            provider_link.link.transport.pause_reading()
        last.feeds.relay._open_link = lambda provider: None
        await parts.wait_until_in_force(platform, [last])

    async def test_silent_provider_is_dropped(self, platform, monkeypatch):
        # Guards against provider links to machines without power, which
        # never close and would stay in use for ever.
        monkeypatch.setattr(relay, 'PROVIDER_TIMEOUT_S', 1.0)
        gateways = await parts.start(platform, 4)
        links = gateways[3].feeds.relay._links
        parts.stop_messages(gateways[0])
        await platform.until(lambda: gateways[0].feeds.own_id not in links)
        await platform.until(lambda: len(links) == 2)

    async def test_provider_becomes_fresh_while_another_link_opens(
        self, platform
    ):
        # Guards against a gateway that closes the link which is being
        # opened and ends with an error.
        gateways = await parts.start(platform, 4)
        last = gateways[3].feeds.relay
        last.provider_selector.set_fresh(
            last.provider_selector.order[0], False
        )
        last.provider_selector.opened(last.provider_selector.order[2])
        last.provider_selector.set_fresh(last.provider_selector.order[0], True)
        last.update(asyncio.get_running_loop().time())
        await parts.wait_until_in_force(platform, gateways)

    async def test_new_process_at_the_address_is_no_provider(self, platform):
        # Guards against two gateways that copy from each other.
        gateways = await parts.start(platform, 3)
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
        await parts.wait_until_in_force(platform, [gateways[1], last, again])
