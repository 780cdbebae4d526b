"""A good and a bad version on 100 gateways in one process.

Run ``python -m tests.adapter.rollout_fleet``; it takes a minute of processor
time, most of it to start the gateways. It
prints the requests that reached the version, the messages between gateways
and the calls of the store that the rollout causes.
"""

import argparse
import asyncio
import collections
import contextlib
import time

import aiohttp

from tests.adapter import conftest
from tests.adapter import rollout_parts as parts

DURATION_S = 12
INTERVAL_S = 0.012
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# Sizes of fleets for which the counts are scaled.
FLEETS = (104, 1_000)
_STORE_CALLS = (
    'rollout_appends',
    'rollout_status_reads',
    'rollout_status_writes',
)


def _sum(gateways) -> collections.Counter[str]:
    total = collections.Counter()
    for gateway in gateways:
        total.update(gateway.board.counters)
    return total


async def _run(count: int, fails_every: int) -> None:
    async with contextlib.AsyncExitStack() as stack:
        platform = conftest.Platform(stack)
        await platform.store.start()
        stack.push_async_callback(platform.store.close)
        platform.session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        conftest.CONDITION_TIMEOUT_S = 30.0
        gateways, old, new = await parts.start(
            platform, count, fails_every=fails_every
        )
        await _measure(platform, gateways, new, fails_every)


async def _measure(platform, gateways, new, fails_every: int) -> None:
    async with parts.callers(platform, gateways, INTERVAL_S) as replies:
        await asyncio.sleep(1.0)
        before, requests_before = _sum(gateways), len(replies)
        started = time.monotonic()
        await parts.order(platform, duration=f'{DURATION_S}s')
        expected = 'rolled_back' if fails_every else 'succeeded'
        await parts.until(
            lambda: parts.state(platform) in ('rolled_back', 'succeeded'),
            2 * DURATION_S,
        )
        took_s = time.monotonic() - started
        await asyncio.sleep(max(0.0, DURATION_S - took_s))
        reached = len(parts.runs(new))
        requests = len(replies) - requests_before
        counts = _sum(gateways) - before
    state = parts.state(platform)
    print(f'state {state} (expected {expected}) after {took_s:.1f} s')
    for item in parts.decisions(platform):
        print(
            f'  {item["since_order_s"]:5.2f} s  stage {item["stage"]}  '
            f'{item["reason"]}'
        )
    bound = EXPOSURE_SHARE * requests + EXPOSURE_SLACK
    print(f'requests {requests}, to the version {reached}', end='')
    print(f', bound for a bad one {bound:.0f}' if fails_every else '')
    messages = counts['rollout_messages_sent']
    rate = messages / len(gateways) / took_s
    calls = {name: counts[name] for name in _STORE_CALLS}
    print(
        f'messages sent {messages}, refused '
        f'{counts["rollout_messages_refused"]}, forwarded reports '
        f'{counts["rollout_reports_forwarded"]}; '
        f'{rate:.1f} a gateway and second'
    )
    print(f'store calls {sum(calls.values())}: {calls}')
    print(f'append failures {counts["rollout_append_failures"]}')
    for fleet in FLEETS:
        print(
            f'scaled to {fleet} gateways: {rate * fleet:.0f} messages/s, '
            f'{rate * fleet * took_s:.0f} in all'
        )
    print(f'program faults {counts["program_faults"]}', flush=True)


def main() -> None:
    """Run both versions and print the counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--gateways', type=int, default=100)
    arguments = parser.parse_args()
    for fails_every in (0, 3):
        asyncio.run(_run(arguments.gateways, fails_every))


if __name__ == '__main__':
    main()
