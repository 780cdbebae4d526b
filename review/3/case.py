"""All gateways are killed while a large manifest is in force."""

import asyncio
import collections
import json

from harness import world as world_types

GATEWAYS = 6
ZONES = ('zone-a', 'zone-b', 'zone-c')
# Links of 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
MORE_ROUTES = 1360
MAX_RECORD_BYTES = 262_144
GROWTH_TIME_S = 10.0
DOWN_S = 1.5
RECOVERY_S = 15.0
REQUESTS_PER_S = 20.0
LOAD_S = 10.0
MIN_SERVED = 0.25


def manifest(version: int, more: int) -> dict:
    """Return a manifest with one served route and more idle ones."""
    names = ['pay', *(f'r-{number:07}' for number in range(more))]
    routes = [
        {
            'name': name,
            'path_prefix': f'/{name}/',
            'type': 'unsafe',
            'service': 'pay',
        }
        for name in names
    ]
    return world_types.manifest(version, routes, ['pay'])


async def served(world: world_types.World) -> float:
    """Send requests to all gateways; return the share that was served."""
    exchanges = await world.load(
        world.gateways,
        REQUESTS_PER_S,
        LOAD_S,
        'POST',
        lambda number: f'/pay/{number}',
    )
    statuses = collections.Counter(e.status for e in exchanges)
    world.record.write(f'statuses {dict(statuses)}')
    return statuses[200] / len(exchanges)


async def case(world: world_types.World) -> list[str]:
    """Run the case; return the breaks of the rule."""
    for number in range(6):
        await world.add_target('pay', ZONES[number % 3])
    await world.put_manifest(manifest(1, 0))
    for number in range(GATEWAYS):
        await world.add_gateway(
            f'edge-{number + 1}', ZONES[number % 3], LINK_BYTES_PER_S
        )
    await world.settle()
    grown = manifest(2, MORE_ROUTES)
    value = json.dumps(grown, separators=(',', ':')).encode()
    world.record.write(f'{MORE_ROUTES + 1} routes: {len(value)} bytes')
    if len(value) > MAX_RECORD_BYTES:
        raise world_types.CaseError('the manifest is too long for a record')
    await world.put_manifest(value)
    await asyncio.sleep(GROWTH_TIME_S)
    before = await served(world)
    if before < MIN_SERVED:
        raise world_types.CaseError(f'only {before:.2f} served before')
    if world.trouble:
        world.record.write('all gateways are killed')
        for gateway in world.gateways:
            gateway.kill()
        await asyncio.sleep(DOWN_S)
        for gateway in world.gateways:
            gateway.start()
        world.record.write('all gateways have been started')
    await asyncio.sleep(RECOVERY_S)
    after = await served(world)
    ready = [await world_types.is_ready(g) for g in world.gateways]
    world.record.write(f'ready: {ready}')
    if after >= MIN_SERVED:
        return []
    return [
        f'of the requests sent later than {RECOVERY_S:g} s after the gateways '
        f'were back {after:.3f} were served, {before:.3f} before; '
        f'{sum(ready)} of {len(ready)} gateways are ready'
    ]


world_types.main(__file__, case)
