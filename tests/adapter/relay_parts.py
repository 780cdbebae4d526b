"""Gateways that copy from each other, for tests of relays and providers."""

import asyncio
import contextlib

from dragonflyslip_emulator import store as store_types
from dragonflyslip_testing import relay as network

# A change must be in force at all gateways this long after it was accepted.
IN_FORCE_S = 2.0
ENTRIES_TOPIC = 'keyed.dragonflyslip'


async def start(platform, count: int, store_urls: list[str] = ()) -> list:
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


def ended_gateway(incarnation: int) -> dict:
    """Return the registration of a process that has ended."""
    return {
        'incarnation': incarnation,
        'failure_domain': f'zone-{"abc"[incarnation % 3]}',
        # Nothing listens on this port.
        'endpoint': '127.0.0.1:1',
    }


async def wait_until_in_force(platform, gateways) -> None:
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


async def wait_until_removed(platform, gateways) -> None:
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


def disconnect_store(gateway) -> None:
    # Nothing listens on this port, and open connections to the store are not
    # used for another URL.
    gateway.log.url = 'http://127.0.0.1:1'


def stop_messages(gateway) -> None:
    """Stop all messages of a gateway to its subscribers, as if paused."""
    silenced = gateway.feeds.relay.subscribers
    silenced.announce = lambda: None
    silenced.send_page = lambda link, message: None
    silenced.accept = lambda link, message: False


@contextlib.asynccontextmanager
async def silent_readers(platform, count: int):
    """Start gateways whose two readers of the store are then cut off from it.

    Yields the readers and the other gateways.
    """
    link = network.Relay(int(platform.store.url.rpartition(':')[2]))
    server = await link.listen(0)
    url = f'http://127.0.0.1:{server.sockets[0].getsockname()[1]}'
    gateways = await start(platform, count, store_urls=[url, url])
    # A change of each feed begins new waiting reads at the same time.
    await platform.add_target()
    await platform.store.put(ENTRIES_TOPIC, 'ended', ended_gateway(1))
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
