"""Versions of a large manifest come in quick succession on slow links."""

import asyncio
import bisect
import json

from harness import world as world_types

GATEWAYS = 8
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
# Links of 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
MORE_ROUTES = 1360
MAX_RECORD_BYTES = 262_144
# Versions during 4 s. Without the disruption they come one at a time, on the
# same links.
VERSIONS = 12
GAP_S = 0.33
CALM_GAP_S = 3.0
CONFIG_APPLY_S = 2.5
GROWTH_TIME_S = 10.0
REQUESTS_PER_S = 40.0
# Load before the first version, and after the last one.
LOAD_BEFORE_S = 1.0
LOAD_AFTER_S = 15.0


def manifest(version: int) -> bytes:
    """Return a manifest whose first route goes to the version's service."""
    services = [f's{number}' for number in range(VERSIONS + 1)]
    names = ['pay', *(f'r-{number:07}' for number in range(MORE_ROUTES))]
    routes = [
        {
            'name': name,
            'path_prefix': f'/{name}/',
            'type': 'unsafe',
            'service': services[version if name == 'pay' else 0],
        }
        for name in names
    ]
    grown = world_types.manifest(version + 1, routes, services)
    return json.dumps(grown, separators=(',', ':')).encode()


async def case(world: world_types.World) -> list[str]:
    """Run the case; return the breaks of the rule."""
    if len(manifest(VERSIONS)) > MAX_RECORD_BYTES:
        raise world_types.CaseError('the manifest is too long for a record')
    for number in range(VERSIONS + 1):
        for zone in ZONES[:2]:
            await world.add_target(f's{number}', zone)
    gap_s = GAP_S if world.trouble else CALM_GAP_S
    await world.put_manifest(
        world_types.manifest(
            0,
            [
                {
                    'name': 'pay',
                    'path_prefix': '/pay/',
                    'type': 'unsafe',
                    'service': 's0',
                }
            ],
            ['s0'],
        )
    )
    for number in range(GATEWAYS):
        await world.add_gateway(
            f'edge-{number + 1}', ZONES[number % 4], LINK_BYTES_PER_S
        )
    await world.settle()
    acknowledged = [await world.put_manifest(manifest(0))]
    await asyncio.sleep(GROWTH_TIME_S)
    load = asyncio.create_task(
        world.load(
            world.gateways,
            REQUESTS_PER_S,
            LOAD_BEFORE_S + VERSIONS * gap_s + LOAD_AFTER_S,
            'POST',
            lambda number: f'/pay/{number}',
        )
    )
    await asyncio.sleep(LOAD_BEFORE_S)
    for version in range(1, VERSIONS + 1):
        acknowledged.append(await world.put_manifest(manifest(version)))
        await asyncio.sleep(gap_s)
    exchanges = {e.request_id: e for e in await load}
    broken = []
    for target in world.targets:
        for run in target.runs:
            exchange = exchanges[run.request_id]
            due_at = exchange.sent_at - CONFIG_APPLY_S
            due = bisect.bisect_left(acknowledged, due_at) - 1
            version = int(target.service[1:])
            if version < due:
                broken.append(
                    f'{run.request_id}, sent to {exchange.gateway} '
                    f'{exchange.sent_at - acknowledged[due]:.3f} s after the '
                    f'acknowledgement of version {due + 1}, was run by the '
                    f'service of version {version + 1}'
                )
    return broken


world_types.main(__file__, case)
