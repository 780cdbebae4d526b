"""A new tenant with a long name ends the gateways.

The operator adds a tenant whose name has 257 characters and which has a usage
cap. The gateways take the manifest. As soon as the tenant sends requests, each
gateway that asks another one for a share of its cap ends by itself; the platform
starts it again, and it ends again.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
import world  # noqa: E402

NAME_LENGTH = 257
GATEWAYS = 5
WATCHED_S = 70.0
RESTART_DELAY_S = 0.5
# Machines, and ends on each, that make a fault of the day.
FAULTY_MACHINES, ENDS = 2, 3
KEYS = {'north': 'key-north', 'n' * NAME_LENGTH: 'key-long'}


def tenants(names):
    return [
        {
            'name': name,
            'api_keys': [KEYS[name]],
            'priority': 1,
            'rate_per_s': 40,
            'burst': 20,
        }
        for name in names
    ]


async def main(record, trouble):
    platform = world.World(record)
    await platform.start()
    try:
        return await play(platform, record, trouble)
    finally:
        await platform.close()


async def call(record, gateway, key):
    try:
        client = await world.Client(record, gateway.front).open()
    except OSError:
        return
    client.send(
        'POST', '/seats/1', b'{}', 6000,
        headers=f'Authorization: Bearer {key}\r\n',
    )
    answer = await client.receive(8.0)
    client.close()
    record(
        f'{gateway.name} answers {key}:',
        (answer[0], answer[2][:40]) if isinstance(answer, tuple) else answer,
    )


async def play(platform, record, trouble):
    for _ in range(6):
        await platform.server(world.Server, 'seatledger', slots=6)
    route = world.route(
        'seats', 'seatledger', 'unsafe', timeout='6s', aim='900ms'
    )
    await platform.manifest(route, tenants=tenants(['north']))
    gateways = [
        await platform.gateway(f'edge-{number}', zone=f'zone-{"ab"[number % 2]}')
        for number in range(GATEWAYS)
    ]
    await asyncio.sleep(3.0)
    names = list(KEYS) if trouble else ['north']
    await platform.manifest(route, tenants=tenants(names))
    await asyncio.sleep(2.0)
    ends = dict.fromkeys((gateway.name for gateway in gateways), 0)
    start_at = {}
    start = time.monotonic()
    while time.monotonic() - start < WATCHED_S:
        for gateway in gateways:
            if gateway.process.poll() is None:
                continue
            now = time.monotonic()
            if gateway.name not in start_at:
                ends[gateway.name] += 1
                record(
                    f'{gateway.name} has ended by itself with code '
                    f'{gateway.process.returncode}'
                )
                start_at[gateway.name] = now + RESTART_DELAY_S
            elif now >= start_at[gateway.name]:
                del start_at[gateway.name]
                gateway.start()
        await asyncio.gather(
            *(
                call(record, gateway, KEYS[name])
                for gateway in gateways
                for name in names
            )
        )
        await asyncio.sleep(0.3)
    for name, count in ends.items():
        record(f'{name} has ended by itself {count} times')
    faulty = [name for name, count in ends.items() if count >= ENDS]
    if len(faulty) >= FAULTY_MACHINES:
        return [
            f'Fault: {name} ended by itself {ends[name]} times without an '
            'impairment'
            for name in faulty
        ]
    return []


world.run_case(main, FOLDER)
