"""How a gateway applies the store's records and survives store outages."""

import asyncio

import pytest

from dragonflyslip_emulator import store as store_types


MALFORMED_RECORDS = [
    b'not json',
    b'[]',
    b'{}',
    b'{"address": "x", "info": {}, "status": {}}',
    b'{"address": 7, "info": 1, "status": null, "born": "soon"}',
]


class TestManifest:
    async def test_new_version_is_in_force_and_an_old_one_is_not(
        self, platform
    ):
        # Guards against an older manifest that replaces a newer one.
        await platform.add_target()
        await platform.add_target('grantdesk')
        await platform.publish()
        await platform.start()
        await platform.publish(platform.route('safe', 'grantdesk'))
        board = platform.gateway.board
        await platform.until(lambda: board.manifest.version == 2)
        platform.version = 0
        await platform.publish()
        await platform.until(lambda: board.counters['old_manifests'] == 1)
        await platform.call()
        assert len(platform.targets[1].runs) == 1

    @pytest.mark.parametrize('value', MALFORMED_RECORDS)
    async def test_record_that_does_not_parse_changes_nothing(
        self, platform, value
    ):
        # Guards against a malformed record that ends the reader.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        board = platform.gateway.board
        await platform.store.put(store_types.TARGET_TOPIC, 'i-foreign', value)
        await platform.store.put(store_types.OPERATOR_TOPIC, 'config', value)
        await platform.until(lambda: board.counters['skipped_records'] == 2)
        assert (await platform.call()).status == 200


class TestTargets:
    async def test_draining_and_removed_targets_get_no_requests(
        self, platform
    ):
        draining = await platform.add_target()
        removed = await platform.add_target()
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await draining.register(platform.store, 'draining')
        await platform.store.put(
            store_types.TARGET_TOPIC, removed.target_id, b''
        )
        usable = platform.gateway.board.directory.usable_targets
        await platform.until(lambda: len(usable('casebook')) == 1)
        for _ in range(5):
            assert (await platform.call()).status == 200
        assert draining.runs == removed.runs == []

    async def test_evacuated_domain_gets_no_requests_until_restored(
        self, platform
    ):
        target = await platform.add_target(zone='zone-b')
        await platform.publish()
        await platform.start()
        key = 'evacuate/zone-b'
        directory = platform.gateway.board.directory
        await platform.store.put(store_types.OPERATOR_TOPIC, key, {'a': 1})
        await platform.until(lambda: not directory.usable_targets('casebook'))
        assert (await platform.call()).status == 503
        await platform.store.put(store_types.OPERATOR_TOPIC, key, b'')
        await platform.until(lambda: directory.usable_targets('casebook'))
        assert (await platform.call()).status == 200
        assert len(target.runs) == 1

    async def test_reused_address_runs_no_request_for_its_former_owner(
        self, platform
    ):
        # Guards against requests sent to another target that has taken over
        # the address.
        old = await platform.add_target()
        await platform.publish()
        await platform.start()
        assert (await platform.call()).status == 200
        old.target_id = 'i-another'
        assert (await platform.call()).status == 503
        assert len(platform.runs()) == 1

    async def test_cold_target_gets_no_requests_while_others_are_warm(
        self, platform
    ):
        cold = await platform.add_target()
        await platform.add_target()
        cold.cold_ms = 3_000
        await platform.publish()
        await platform.start()
        for _ in range(10):
            assert (await platform.call()).status == 200
        assert cold.runs == []

    async def test_cold_targets_get_at_most_the_cold_rate(self, platform):
        # Guards against the crash of targets that all restart together and
        # get too many requests while they are cold.
        cold = await platform.add_target()
        cold.cold_ms = 3_000
        await platform.publish()
        await platform.start(planned_entries=2)
        replies = await asyncio.gather(
            *(platform.call(wait_ms=500) for _ in range(30))
        )
        assert {reply.status for reply in replies} <= {200, 503}
        # 3.5 a second for all gateways, half of it for this one, plus the
        # tokens that the rate limiter has saved.
        assert len(cold.runs) <= 4


class TestOutages:
    @pytest.mark.parametrize(
        'fault',
        [
            store_types.StoreFault.BUSY,
            store_types.StoreFault.RESET,
            store_types.StoreFault.SILENT,
        ],
    )
    async def test_requests_are_served_without_the_store(
        self, platform, fault
    ):
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.fault = fault
        await asyncio.sleep(0.2)
        assert (await platform.call()).status == 200
        platform.store.fault = store_types.StoreFault.NONE
        await platform.publish(platform.route('upload'))
        board = platform.gateway.board
        await platform.until(lambda: board.manifest.version == 2)

    async def test_compacted_log_is_read_from_the_start(self, platform):
        # Guards against a reader that misses all later changes because the
        # log no longer holds its offset.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.publish(platform.route('upload'))
        for topic in list(platform.store.topics):
            platform.store.compact(topic)
        board = platform.gateway.board
        await platform.until(lambda: board.manifest.version == 2)

    async def test_change_that_a_waiting_read_misses_is_found(self, platform):
        # Guards against an outdated manifest that stays in force because the
        # store does not wake the read that waits for the next one.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.suppress_notifications = True
        await platform.publish(platform.route('upload'))
        board = platform.gateway.board
        async with asyncio.timeout(3.0):
            while board.manifest.version != 2:
                await asyncio.sleep(0.05)

    async def test_change_is_in_force_in_time_though_an_answer_is_lost(
        self, platform
    ):
        # Guards against an outdated manifest that stays in force for longer
        # than the 2 s allowed because a response of the store was lost.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.responses_to_lose = 1
        await platform.publish(platform.route('upload'))
        board = platform.gateway.board
        async with asyncio.timeout(2.0):
            while board.manifest.version != 2:
                await asyncio.sleep(0.05)

    async def test_target_is_removed_in_time_though_an_answer_is_lost(
        self, platform
    ):
        # Guards against a single lost response that counts as an outage, in
        # which the registration may have expired.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.responses_to_lose = 1
        removed = platform.targets[0].target_id
        await platform.store.put(store_types.TARGET_TOPIC, removed, b'')
        targets = platform.gateway.board.directory.targets
        async with asyncio.timeout(2.0):
            while removed in targets:
                await asyncio.sleep(0.05)

    async def test_target_is_removed_in_time_though_another_feed_is_away(
        self, platform
    ):
        # Guards against an outage of a part of the store that counts as one
        # of the part with the registrations.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        sink = platform.gateway.topology
        sink.source_lost(store_types.OPERATOR_TOPIC, 'a read failed')
        sink.source_regained(store_types.OPERATOR_TOPIC)
        removed = platform.targets[0].target_id
        await platform.store.put(store_types.TARGET_TOPIC, removed, b'')
        targets = platform.gateway.board.directory.targets
        async with asyncio.timeout(1.0):
            while removed in targets:
                await asyncio.sleep(0.05)

    @pytest.mark.parametrize('outage_s', [1.0, 1.8, 3.0])
    async def test_target_that_expired_in_an_outage_stays_for_a_time(
        self, platform, outage_s
    ):
        # Guards against the loss of a target whose registration expired
        # because it could not reach the store either.
        await platform.add_target()
        await platform.publish()
        await platform.start()
        platform.store.fault = store_types.StoreFault.SILENT
        # The store still answers the reads that wait, up to 1.2 s later.
        await asyncio.sleep(1.2 + outage_s)
        platform.store.fault = store_types.StoreFault.NONE
        expired = platform.targets[0].target_id
        await platform.store.put(store_types.TARGET_TOPIC, expired, b'')
        target = platform.gateway.board.directory.targets[expired]
        await platform.until(lambda: target.remove_at is not None)
        await platform.targets[0].register(platform.store)
        known = platform.gateway.board.directory
        await platform.until(lambda: known.targets[expired] is not target)
        await asyncio.sleep(2.5)
        assert known.usable_targets('casebook')

    async def test_targets_beyond_one_page_are_read(self, platform):
        platform.store.page_items = 2
        for _ in range(5):
            await platform.add_target()
        await platform.publish()
        await platform.start()
        assert len(platform.gateway.board.directory.targets) == 5


class TestLifetime:
    async def test_request_in_flight_is_answered_after_sigterm(self, platform):
        target = await platform.add_target(work_s=0.5)
        await platform.publish()
        await platform.start()
        call = asyncio.create_task(platform.call())
        await platform.until(lambda: target.running == 1)
        await platform.stop()
        assert (await call).status == 200

    async def test_unused_connection_closes_while_others_finish(
        self, platform
    ):
        # Guards against an idle connection that stays open during the drain
        # although its requests would never be read.
        target = await platform.add_target(work_s=0.8)
        await platform.publish()
        await platform.start()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', platform.port
        )
        call = asyncio.create_task(platform.call())
        await platform.until(lambda: target.running == 1)
        platform.gateway.stopping.set()
        async with asyncio.timeout(2.0):
            assert await reader.read() == b''
        assert not call.done()
        assert (await call).status == 200
        writer.close()

    async def test_stopping_gateway_is_not_ready_and_still_serves(
        self, platform, monkeypatch
    ):
        # Guards against failures of requests that arrive before the load
        # balancer has noticed that the gateway is not ready.
        monkeypatch.setattr(
            'dragonflyslip_entry.gateway.daemon.ACCEPT_AFTER_STOP_S', 0.5
        )
        await platform.add_target()
        await platform.publish()
        await platform.start()
        async with platform.session.get(platform.ready_url) as response:
            assert response.status == 200
        platform.gateway.stopping.set()
        await platform.until(lambda: platform.gateway.board.draining)
        async with platform.session.get(platform.ready_url) as response:
            assert response.status == 503
        reply = await platform.call()
        assert (reply.status, reply.headers['Connection']) == (200, 'close')

    async def test_counters_are_served_as_text(self, platform):
        await platform.add_target()
        await platform.publish()
        await platform.start()
        await platform.call()
        async with platform.session.get(platform.metrics_url) as response:
            text = await response.text()
        assert (
            'dragonflyslip_gateway_requests_total{service="casebook"'
            ',status="200"} 1.0' in text
        )
