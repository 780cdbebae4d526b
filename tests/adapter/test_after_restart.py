"""What a process that starts takes for current.

Its predecessor knew what had been withdrawn; it must not forget that, whoever
it learns the state from.
"""

import asyncio

import pytest

from dragonflyslip_core import providers
from dragonflyslip_emulator import store as store_types

HELD_S = 0.5


async def _remove(platform) -> None:
    await platform.store.put(
        store_types.TARGET_TOPIC, platform.targets[0].target_id, b''
    )


async def _drain(platform) -> None:
    await platform.targets[0].register(platform.store, 'draining')


async def _evacuate(platform) -> None:
    await platform.store.put(
        store_types.OPERATOR_TOPIC, 'evacuate/zone-b', {'a': 1}
    )


async def _withdraw_route(platform) -> None:
    await platform.publish(platform.route('unsafe', 'grantdesk'))


WITHDRAWALS = [_remove, _drain, _evacuate, _withdraw_route]


async def _start(platform) -> None:
    await platform.add_target(zone='zone-b')
    await platform.add_target('grantdesk')
    await platform.publish()
    await platform.start()


async def _wait_until_behind(platform) -> None:
    """Wait until the copies of the first gateway are not fresh any more."""
    loop = asyncio.get_running_loop()
    ages = platform.gateway.feeds._ages
    await platform.until(
        lambda: min(ages(loop.time()).values()) > providers.FRESH_S
    )


async def _assert_withdrawn(platform, gateway) -> None:
    """Send requests for a while; the first target may get none."""
    loop = asyncio.get_running_loop()
    until = loop.time() + HELD_S
    while loop.time() < until:
        reply = await platform.call(listen=gateway.options.listen)
        assert reply.status in (404, 503)
        await asyncio.sleep(0.02)
    assert platform.targets[0].runs == []


class TestAfterRestart:
    @pytest.mark.parametrize('withdraw', WITHDRAWALS)
    async def test_withdrawal_holds_though_the_provider_is_behind(
        self, platform, withdraw
    ):
        # Guards against a first copy from a gateway that has lost the store,
        # while the process that starts reaches it.
        await _start(platform)
        platform.gateway.log.url = 'http://127.0.0.1:1'
        await _wait_until_behind(platform)
        await withdraw(platform)
        later = await platform.add_gateway()
        await _assert_withdrawn(platform, later)

    @pytest.mark.parametrize('withdraw', WITHDRAWALS)
    @pytest.mark.parametrize('compacted', [False, True])
    async def test_withdrawal_holds_for_the_same_name(
        self, platform, withdraw, compacted
    ):
        # Guards against a process that reads an older state than the one
        # before it, also if the store has dropped its history.
        await _start(platform)
        first = platform.gateway
        await withdraw(platform)
        if compacted:
            for topic in (
                store_types.OPERATOR_TOPIC,
                store_types.TARGET_TOPIC,
            ):
                platform.store.compact(topic)
        await platform.stop(first)
        later = await platform.add_gateway(name=first.options.name)
        await _assert_withdrawn(platform, later)

    async def test_start_waits_for_the_store(self, platform):
        # Guards against a process that serves on a state of unknown age.
        await _start(platform)
        second = await platform.add_gateway()
        name = second.options.name
        await platform.stop(second)
        platform.store.fault = store_types.StoreFault.BUSY
        await _wait_until_behind(platform)
        starting = asyncio.create_task(platform.add_gateway(name=name))
        await asyncio.sleep(0.5)
        # It registers, and so learns of the live gateway, after the outage.
        assert not starting.done()
        platform.store.fault = store_types.StoreFault.NONE
        later = await starting
        reply = await platform.call(listen=later.options.listen)
        assert reply.status == 200

    @pytest.mark.parametrize('fault', list(store_types.StoreFault)[1:4])
    async def test_start_without_the_store_and_gateways_is_not_ready(
        self, platform, fault
    ):
        # Guards against a gateway that serves on what it does not know.
        await platform.add_target()
        await platform.publish()
        platform.store.fault = fault
        starting = asyncio.create_task(platform.add_gateway())
        await asyncio.sleep(1.0)
        assert not starting.done()
        platform.store.fault = store_types.StoreFault.NONE
        later = await starting
        reply = await platform.call(listen=later.options.listen)
        assert reply.status == 200
