"""Crashes by a request, however the ends of the targets show."""

import asyncio
import contextlib
import json
import time

import pytest

import dragonflyslip_adapter
from dragonflyslip_core import request_identity
from dragonflyslip_emulator import faults
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway import probing
from tests.adapter import callers
from tests.adapter import conftest
from tests.adapter import crashes as crash_helpers

DURATION_S = 9.0
TARGETS = 12
PROBE_TIMEOUT_S = probing.PROBE_TIMEOUT_S
SILENT = faults.DownAddress.SILENT
RESETS = faults.DownAddress.RESETS
UNSAFE_KILLER = b'killer'


@pytest.fixture(autouse=True)
def production_probe_timeout(monkeypatch):
    """Let a target be silent for as long as in production."""
    monkeypatch.setattr(probing, 'PROBE_TIMEOUT_S', PROBE_TIMEOUT_S)


async def start_targets(platform, restart_after_s=2.0, **attributes):
    """Start targets that the request crashes, and publish a manifest."""
    crashes = crash_helpers.Crashes(
        platform, crash_helpers.is_killer, restart_after_s
    )
    await crashes.add_targets(TARGETS, **attributes)
    await platform.publish(
        platform.route('safe', timeout='500ms'), platform.route('unsafe')
    )
    return crashes


class TestEndsOfTargets:
    @pytest.mark.parametrize('restart_after_s', [0.3, 2.0])
    @pytest.mark.parametrize(
        'attributes',
        [
            {},
            {'address_when_down': SILENT},
            {'address_when_down': RESETS},
            {'address_when_down': SILENT, 'crashes_silently': True},
            {'keeps_id': True},
            {'keeps_id': True, 'address_when_down': SILENT},
            {'keeps_id': True, 'address_when_down': RESETS},
        ],
        ids=[
            'refused',
            'silent',
            'reset',
            'without-power',
            'same-id',
            'same-id-silent',
            'same-id-reset',
        ],
    )
    async def test_request_is_refused_however_targets_end(
        self, platform, attributes, restart_after_s
    ):
        """Guards against crashes that leave no proof at the address."""
        crashes = await start_targets(platform, restart_after_s, **attributes)
        gateways = await crash_helpers.start_gateways(platform, 3)
        await crash_helpers.send_for(
            platform, DURATION_S, gateways, crash_helpers.KILLER
        )
        assert len(crashes.times) >= 3
        assert crashes.late_sends() <= crash_helpers.MAX_LATE_SENDS

    async def test_caller_that_leaves_hides_no_crash(self, platform):
        """Guards against silent ends that are seen by no one who waits."""
        crashes = await start_targets(
            platform, address_when_down=SILENT, crashes_silently=True
        )
        gateways = await crash_helpers.start_gateways(platform, 3)
        ends_at = asyncio.get_running_loop().time() + DURATION_S
        while asyncio.get_running_loop().time() < ends_at:
            for listen in gateways:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.1):
                        await platform.call(
                            crash_helpers.KILLER, listen=listen
                        )
                await asyncio.sleep(0.05)
        assert len(crashes.times) >= 3
        assert crashes.late_sends() <= crash_helpers.MAX_LATE_SENDS

    async def test_crash_in_a_streamed_response_counts(self, platform):
        """Guards against crashes after the response has begun."""
        crashes = await start_targets(platform, bytes_before_crash=400_000)
        gateways = await crash_helpers.start_gateways(platform, 3)
        await crash_helpers.send_for(
            platform, DURATION_S, gateways, crash_helpers.KILLER
        )
        assert len(crashes.times) >= 3
        assert crashes.late_sends() <= crash_helpers.MAX_LATE_SENDS

    async def test_request_that_waited_is_checked_before_the_write(
        self, platform
    ):
        """Guards against a send that was allowed before the crashes."""
        crashes = crash_helpers.Crashes(
            platform, lambda run: run.body == UNSAFE_KILLER
        )
        await crashes.add_targets(TARGETS)
        await platform.publish()
        await platform.start()
        waiting = await callers.KeptConnection.open(platform.port)
        waiting.send(
            b'POST /unsafe/1 HTTP/1.1\r\nHost: %s\r\n'
            b'X-Request-Id: waits\r\nX-Deadline-Ms: 2000\r\n'
            b'Content-Length: %d\r\n\r\n'
            % (conftest.HOST.encode(), len(UNSAFE_KILLER))
        )
        await asyncio.sleep(0.1)
        for _ in range(3):
            await platform.call('/unsafe/1', 'POST', UNSAFE_KILLER)
        waiting.send(UNSAFE_KILLER)
        answer = await waiting.receive()
        assert (answer.status, len(crashes.times)) == (503, 3)


class TestManyRequestsInFlight:
    async def test_every_request_at_a_crash_is_recorded(self, platform):
        """Guards against records that are dropped when many come at once."""
        target = await platform.add_target(slots=60, work_s=5.0)
        target.crashes_on = crash_helpers.is_killer
        await platform.publish(platform.route('safe', max_attempts=1))
        await platform.start()
        paths = [f'/safe/{number}' for number in range(45)]
        async with asyncio.TaskGroup() as group:
            for path in paths:
                group.create_task(platform.call(path))
            await platform.until(lambda: len(target.runs) == len(paths))
            await platform.call(crash_helpers.KILLER)
        topic = platform.store.topics[
            dragonflyslip_adapter.Adapter.entries_feed
        ]
        await platform.until(
            lambda: (
                sum(key.startswith('crash/') for key in topic.newest)
                == len(paths) + 1
            )
        )


class TestStop:
    async def test_gateway_that_stops_leaves_what_it_suspects(self, platform):
        """Guards against a suspicion that ends with its gateway."""
        await start_targets(
            platform, address_when_down=SILENT, crashes_silently=True
        )
        await platform.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await platform.call(crash_helpers.KILLER)
        await platform.stop()
        topic = platform.store.topics[
            dragonflyslip_adapter.Adapter.entries_feed
        ]
        records = [
            json.loads(value)
            for key, (_, value) in topic.newest.items()
            if key.startswith('crash/')
        ]
        assert [record['ended'] for record in records] == [False]


class TestRequestsNearAnEnd:
    @pytest.mark.parametrize('address', faults.DownAddress)
    async def test_common_request_is_served(self, platform, address):
        """Guards against a refusal of what was in flight by chance."""
        crashes = await start_targets(platform, address_when_down=address)
        for target in platform.targets:
            target.work_s = 0.03
        gateways = await crash_helpers.start_gateways(platform, 2)
        *common, _ = await asyncio.gather(
            *(
                crash_helpers.send_for(platform, 5.0, gateways, '/safe/common')
                for _ in range(6)
            ),
            crash_helpers.send_for(
                platform, 4.0, gateways, crash_helpers.KILLER
            ),
        )
        assert len(crashes.times) >= 3
        for statuses in common:
            assert set(statuses[-5:]) == {200}

    async def test_targets_that_were_silent_for_a_time_are_cleared(
        self, platform
    ):
        """Guards against a refusal after targets that could not be reached."""
        for _ in range(4):
            target = await platform.add_target()
            target.faults.extend([faults.Fault.SILENT] * 4)
        await platform.publish(
            platform.route('safe', timeout='300ms', max_attempts=1)
        )
        await platform.start()
        for count in range(1, 4):
            call = asyncio.create_task(platform.call('/safe/1'))
            await platform.until(lambda: len(platform.runs()) == count)
            for target in platform.targets:
                if target.runs:
                    target.suspend()
            await call
        for target in platform.targets:
            target.faults.clear()
            target.resume()
        await asyncio.sleep(2.5)
        assert (await platform.call('/safe/1')).status == 200

    async def test_answer_to_a_probe_ends_what_another_gateway_suspects(
        self, platform
    ):
        """Guards against suspicions that outlive the gateway that had them."""
        for _ in range(3):
            await platform.add_target()
        identity = request_identity.identity(
            request_identity.path_identity('GET', conftest.HOST, '/safe/1'),
            b'',
        )
        for depth, target in enumerate(platform.targets, 1):
            life = crash_records.target_life(
                target.target_id, target.started_at_ms
            )
            await platform.store.put(
                dragonflyslip_adapter.Adapter.entries_feed,
                f'crash/{identity}/{life}',
                {
                    'depth': depth,
                    'entry': 'gone',
                    'at_ms': int(time.time() * 1000),
                    'ended': False,
                },
            )
        await platform.publish()
        await platform.start()
        crashes = platform.gateway.board.request_crashes
        await platform.until(lambda: len(crashes) == 3)
        assert (await platform.call('/safe/1')).status == 503
        for number in range(2, 12):
            await platform.call(f'/safe/{number}')
        assert (await platform.call('/safe/1')).status == 200
