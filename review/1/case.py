"""The gateways that read the store are cut off from it; a route moves."""

import asyncio

from harness import world as world_types

GATEWAYS = 12
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
# Two of twelve: a share of 0.17, for 5.5 s.
CUT = 2
CUT_S = 5.5
CONFIG_APPLY_S = 2.0
# Planned work shortly before the cut, and the change right after it.
PLANNED_BEFORE_S = 0.25
CHANGE_DELAY_S = 0.1
REQUESTS_PER_S = 100.0
LOAD_S = 7.0
CHANGES = 6


def manifest(version: int, service: str) -> dict:
    """Return a manifest that sends all requests to one service."""
    route = {
        'name': 'pay',
        'path_prefix': '/pay/',
        'type': 'unsafe',
        'service': service,
    }
    return world_types.manifest(version, [route], ['old', 'new'])


async def case(world: world_types.World) -> list[str]:
    """Run the case; return the breaks of the rule."""
    for service in ('old', 'new'):
        for zone in ZONES:
            await world.add_target(service, zone)
    await world.put_manifest(manifest(1, 'old'))
    for number in range(GATEWAYS):
        # The two oldest gateways read the store, the others copy from them.
        zone = ZONES[max(0, number - 1) % 4]
        await world.add_gateway(f'edge-{number + 1:02}', zone)
    await world.settle()
    broken = []
    for change in range(CHANGES):
        broken += await move_route(world, 2 + 2 * change)
        await world.settle()
    return broken


async def move_route(world: world_types.World, version: int) -> list[str]:
    """Move the route during a cut; return the breaks of the rule."""
    old, new = ('old', 'new') if version % 4 == 2 else ('new', 'old')
    load = asyncio.create_task(
        world.load(
            world.gateways[CUT:],
            REQUESTS_PER_S,
            LOAD_S,
            'POST',
            lambda number: f'/pay/{version}-{number}',
        )
    )
    await asyncio.sleep(0.5)
    # The operator prepares the move: one more target, a new version.
    await world.add_target(new, ZONES[0])
    await world.put_manifest(manifest(version, old))
    await asyncio.sleep(PLANNED_BEFORE_S)
    if world.trouble:
        for proxy in world.store_proxies[:CUT]:
            proxy.cut()
        world.record.write(f'the first {CUT} gateways are cut from the store')
    await asyncio.sleep(CHANGE_DELAY_S)
    acknowledged_at = await world.put_manifest(manifest(version + 1, new))
    await asyncio.sleep(CUT_S - CHANGE_DELAY_S)
    for proxy in world.store_proxies:
        proxy.heal()
    world.record.write('all gateways reach the store')
    exchanges = {e.request_id: e for e in await load}
    broken = []
    for target in world.targets:
        for run in target.runs:
            exchange = exchanges.get(run.request_id)
            if exchange is None or target.service != old:
                continue
            after_s = exchange.sent_at - acknowledged_at
            if after_s > CONFIG_APPLY_S:
                broken.append(
                    f'{run.request_id}, sent to {exchange.gateway} '
                    f'{after_s:.3f} s after the acknowledgement of version '
                    f'{version + 1}, was run by the service of version '
                    f'{version}'
                )
    return broken


world_types.main(__file__, case)
