"""Gateways of a store that comes back from older copies of itself."""

import asyncio
import collections

import pytest

import dragonflyslip_adapter
from dragonflyslip_core import directory
from dragonflyslip_core import request_crashes
from dragonflyslip_emulator import store as store_types
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway import feeds
from dragonflyslip_entry.gateway import renewals

# A change must be in force at all connected gateways after this time.
IN_FORCE_S = 2.5
ENTRIES_TOPIC = 'keyed.dragonflyslip'
EVACUATION = 'evacuate/zone-b'


@pytest.fixture
def newest_reads(monkeypatch):
    """Count the reads of newest records by client and feed."""
    counts = collections.Counter()
    read = dragonflyslip_adapter.Store._read_newest

    async def count(self, feed):
        counts[self, feed] += 1
        return await read(self, feed)

    monkeypatch.setattr(dragonflyslip_adapter.Store, '_read_newest', count)
    return counts


async def _start(platform, count: int) -> list:
    """Start gateways and wait until they copy from each other."""
    await platform.add_target()
    await platform.publish()
    gateways = [
        await platform.add_gateway(failure_domain=f'zone-{"abc"[n % 3]}')
        for n in range(count)
    ]
    await _wait_until_fresh(platform, gateways)
    return gateways


async def _wait_until_fresh(platform, gateways) -> None:
    # Their order is that of their registrations in the newest era.
    def order(gateway):
        name = gateway.options.name
        return platform.store.topics[ENTRIES_TOPIC].newest[name][0]

    def is_fresh():
        names = platform.store.topics[ENTRIES_TOPIC].newest
        return len(names) == len(gateways) and all(
            item.feeds.relay.provider_selector.fresh_count == min(rank, 2)
            for rank, item in enumerate(sorted(gateways, key=order))
        )

    await platform.until(is_fresh)


async def _wait_until_in_force(platform, gateways) -> None:
    """Publish a change and wait until it is in force at the gateways.

    :raises TimeoutError: if that takes longer than ``IN_FORCE_S``.
    """
    await platform.publish(platform.route('upload'))
    async with asyncio.timeout(IN_FORCE_S):
        while any(
            item.board.manifest.version < platform.version for item in gateways
        ):
            await asyncio.sleep(0.01)


def _eras(gateways) -> set[int]:
    """Return the eras of all copies of the gateways."""
    return {
        feed.era for item in gateways for feed in item.feeds.feeds.values()
    }


async def _wait_for_era(gateways) -> None:
    """Wait until all copies are of the first era after the initial one.

    :raises TimeoutError: if that takes longer than ``IN_FORCE_S``.
    """
    async with asyncio.timeout(IN_FORCE_S):
        while _eras(gateways) != {1}:
            await asyncio.sleep(0.01)


class TestChange:
    async def test_nothing_goes_back(self, platform):
        # Guards against a manifest, a domain or a target that is as it was
        # when the copy was made.
        first = await platform.add_target(zone='zone-a')
        removed = await platform.add_target(zone='zone-a')
        await platform.publish()
        await platform.start()
        board = platform.gateway.board
        saved = platform.store.save()
        lost = await platform.add_target(zone='zone-a')
        await platform.add_target(zone='zone-b')
        await platform.publish(platform.route('upload'))
        operator = store_types.OPERATOR_TOPIC
        await platform.store.put(operator, EVACUATION, {'zone': 'zone-b'})
        topic = store_types.TARGET_TOPIC
        await platform.store.put(topic, removed.target_id, b'')
        usable = board.directory.usable_targets
        ids = {first.target_id, lost.target_id}

        def usable_ids():
            return {item.target_id for item in usable('casebook')}

        await platform.until(lambda: usable_ids() == ids)
        await platform.store.restore(saved)
        await _wait_for_era([platform.gateway])
        assert board.manifest.version == 2
        assert usable_ids() == ids
        # A target that does not register again is dropped after its grace.
        await lost.register(platform.store)
        await asyncio.sleep(directory.REMOVAL_GRACE_S + 0.5)
        assert usable_ids() == ids
        assert len(board.directory.targets) == 2
        assert board.directory.held_domains == ['zone-b']
        await platform.store.put(operator, EVACUATION, b'')
        await platform.until(lambda: not board.directory.domains_out)
        await _wait_until_in_force(platform, [platform.gateway])
        assert board.counters['era_changes'] == 3
        async with platform.session.get(platform.metrics_url) as response:
            assert 'gateway_store_era 1.0' in await response.text()

    @pytest.mark.parametrize('is_woken', [True, False])
    @pytest.mark.parametrize('lost', [1, 5])
    async def test_change_of_the_new_era_is_in_force_in_time(
        self, platform, newest_reads, is_woken, lost
    ):
        # Guards against reads that wait beyond the new end or go on at
        # offsets that were given out again, against a store that does not
        # end them, and against reads by all gateways.
        gateways = await _start(platform, 4)
        saved = platform.store.save()
        for _ in range(lost):
            await _wait_until_in_force(platform, gateways)
        newest_reads.clear()
        reads = [item.board.counters['feed_reads'] for item in gateways]
        platform.store.suppress_notifications = not is_woken
        await platform.store.restore(saved)
        for _ in range(2):
            await platform.publish()
        platform.store.suppress_notifications = False
        await _wait_until_in_force(platform, gateways)
        await _wait_for_era(gateways)
        assert [g.board.counters['feed_reads'] for g in gateways][2:] == (
            reads[2:]
        )
        assert max(newest_reads.values()) == 1
        assert {client for client, _ in newest_reads} <= {
            item.log for item in gateways[:2]
        }

    async def test_one_response_changes_the_era_of_all_feeds(
        self, platform, monkeypatch
    ):
        # Guards against reads that wait on in an era that has ended: copies
        # of it would count as outdated, and other gateways read the store.
        monkeypatch.setattr(feeds, 'READ_WAIT_S', 3.0)
        gateway = (await _start(platform, 1))[0]
        await asyncio.sleep(3.0)
        platform.store.suppress_notifications = True
        await platform.store.restore(platform.store.save())
        await platform.until(lambda: 1 in _eras([gateway]))
        changed_at = _now()
        await _wait_for_era([gateway])
        assert _now() - changed_at < 0.5


class TestProviders:
    async def test_cut_off_gateway_copies_the_new_era(self, platform):
        # Guards against a gateway whose copy reaches further in offsets.
        gateways = await _start(platform, 3)
        last = gateways[2]
        saved = platform.store.save()
        for _ in range(5):
            await _wait_until_in_force(platform, gateways)
        platform.store.fault = store_types.StoreFault.BUSY
        for gateway in gateways[:2]:
            _set_silent(gateway, True)
        await _wait_until_lost(platform, [last])
        last.log.url = 'http://127.0.0.1:1'
        platform.store.fault = store_types.StoreFault.NONE
        await platform.store.restore(saved)
        await _wait_until_in_force(platform, gateways[:2])
        assert _eras([last]) == {0}
        for gateway in gateways[:2]:
            _set_silent(gateway, False)
        await _wait_until_in_force(platform, gateways)
        await _wait_for_era(gateways)

    async def test_provider_of_the_former_era_is_not_fresh(self, platform):
        # Guards against a provider that is cut off from the store, or reads
        # a front that lags behind, and confirms copies of the new era.
        gateways = await _start(platform, 4)
        cut = gateways[0]
        lagging = store_types.EmulatedStore()
        lagging.topics = platform.store.topics
        await lagging.start()
        cut.log.url = lagging.url
        await asyncio.sleep(2 * feeds.READ_WAIT_S)
        await platform.store.restore(platform.store.save())
        others = gateways[1:]
        await _wait_until_in_force(platform, others)
        await _wait_for_era(others)
        await asyncio.sleep(2 * feeds.UPDATE_PERIOD_S)
        assert _eras([cut]) == {0}
        for gateway in others:
            connections = gateway.feeds.relay.provider_selector._connections
            former = connections.get(cut.feeds.own_id)
            assert former is None or not former.fresh
            assert max(gateway.feeds._ages(_now()).values()) < IN_FORCE_S
        # Nor is it read again as if it were current.
        others[0].log.url = lagging.url
        await platform.until(lambda: 'keyed.op' in _lost(others[0]))
        assert _eras(others) == {1}
        await lagging.close()


def _now() -> float:
    return asyncio.get_running_loop().time()


def _set_silent(gateway, silent: bool) -> None:
    """Stop or allow all messages of a gateway to its subscribers."""
    for link in gateway.feeds.relay.subscribers.links:
        if silent:
            link.send = lambda frame: None
        else:
            del link.send


def _lost(gateway) -> set[str]:
    return gateway.topology.lost_sources


async def _wait_until_lost(platform, gateways) -> None:
    await platform.until(lambda: all(map(_lost, gateways)))


class TestWrittenAgain:
    async def test_gateways_register_again_in_a_new_order(
        self, platform, monkeypatch
    ):
        # Guards against gateways that nobody knows any more, and against two
        # that copy from each other.
        await platform.add_target()
        await platform.publish()
        first = await platform.add_gateway()
        saved = platform.store.save()
        others = await _start_more(platform, 3)
        gateways = [first, *others]
        await _wait_until_fresh(platform, gateways)
        appended = platform.store.topics[ENTRIES_TOPIC].end
        monkeypatch.setattr(renewals, 'SPREAD_S', 0.0)
        for number, gateway in enumerate(reversed(others)):
            registry = gateway.feeds.registry
            monkeypatch.setattr(
                registry, 'write_again', _delayed(registry, 0.4 * number)
            )
        await platform.store.restore(saved)
        # Others know them meanwhile, and those in the copy do not write.
        await _wait_for_era(gateways)
        names = {item.options.name for item in gateways}
        for gateway in gateways:
            assert gateway.board.request_crashes.entries == names
        await _wait_until_fresh(platform, gateways)
        newest = platform.store.topics[ENTRIES_TOPIC].newest
        order = sorted(newest, key=newest.get)
        assert order == [f'gateway-{number}' for number in (1, 4, 3, 2)]
        assert platform.store.topics[ENTRIES_TOPIC].end == appended
        await _wait_until_in_force(platform, gateways)

    @pytest.mark.parametrize(
        ('is_replaced', 'is_known'),
        [(False, False), (True, True), (True, False)],
    )
    async def test_name_belongs_to_the_process_that_took_it_over(
        self, platform, monkeypatch, is_replaced, is_known
    ):
        # Guards against processes of one name that write over each other.
        monkeypatch.setattr(renewals, 'SPREAD_S', 0.0)
        record = {
            'incarnation': 7,
            'failure_domain': 'zone-a',
            'endpoint': '127.0.0.1:1',
        }
        await platform.store.put(ENTRIES_TOPIC, 'gateway-1', record)
        saved = platform.store.save()
        gateway = (await _start(platform, 1))[0]
        registry = gateway.feeds.registry
        if is_replaced:
            later = {**record, 'incarnation': 8}
            platform.store.suppress_notifications = not is_known
            await platform.store.put(ENTRIES_TOPIC, 'gateway-1', later)
            if is_known:
                await platform.until(lambda: registry._own_record() is None)
            else:
                saved = platform.store.save()
        await platform.store.restore(saved)
        # Another provider, or a history that is gone, may list it once more.
        platform.store.compact(ENTRIES_TOPIC)
        await _wait_for_era([gateway])
        await asyncio.sleep(0.3)
        newest = platform.store.topics[ENTRIES_TOPIC].newest['gateway-1']
        assert (newest[1] == registry.value) is not is_replaced

    async def test_leaving_gateway_removes_its_registration_again(
        self, platform
    ):
        gateways = await _start(platform, 2)
        saved = platform.store.save()
        await gateways[1].feeds.leave()
        await platform.store.restore(saved)
        names = platform.store.topics[ENTRIES_TOPIC].newest
        assert len(names) == 2
        await platform.until(lambda: list(names) == ['gateway-1'])

    async def test_own_crash_records_are_written_or_deleted_again(
        self, platform
    ):
        gateways = await _start(platform, 2)
        crashes = gateways[1].crashes
        newest = platform.store.topics[ENTRIES_TOPIC].newest
        copies = []
        for life in ('deleted', 'lost'):
            copies.append(platform.store.save())
            crash = request_crashes.RequestCrash(
                'a' * 32, life, 1, 'gateway-2'
            )
            crashes.crashes.add(crash, _now())
            crashes._write([crash], True)
            key = f'crash/{"a" * 32}/{life}'
            await platform.until(lambda: key in newest)
            await platform.until(lambda: not crashes.crashes.unshared(_now()))
        value = newest[key][1]
        for crash in crashes.crashes._all():
            if crash.crash.target_life == 'deleted':
                crashes.crashes._drop(crash)
                crashes.writer.put(crash.crash, None)
        await platform.until(lambda: len(newest) == 3)
        await platform.store.restore(copies[1])
        assert key not in newest
        await platform.until(lambda: key in newest and len(newest) == 3)
        # The crash is as old as it was.
        assert abs(_at_ms(newest[key][1]) - _at_ms(value)) < 1_000


def _delayed(registry, delay_s: float):
    write_again = registry.write_again

    async def write_later() -> None:
        await asyncio.sleep(delay_s)
        await write_again()

    return write_later


async def _start_more(platform, count: int) -> list:
    return [await platform.add_gateway() for _ in range(count)]


def _at_ms(value: bytes) -> int:
    return crash_records.decode(value).at_ms
