"""Half of the machines lose power while an upstream is replaced.

16 gateways in 4 zones, and 43 upstreams as on the site. One of four of a
service near its capacity is replaced: a new one starts, cold as each new one.
The old one never reports ``draining``: it is removed from the store, and goes
on serving for some seconds, with a health probe that fails. Right before that,
the two machines of each zone that started first fall silent for 2 s, as
without power; they then start again. The rule DRAIN is checked for requests
that the other eight, which are not disturbed at all, send to the removed
upstream.
"""

import asyncio
import signal
import time

import world
from dragonflyslip_emulator import store as store_types

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
GATEWAYS = 16
DARK = 8
DARK_S = 2.0
DRAIN_S = 2.0
# Those of the service, and those of another one that gets no requests.
UPSTREAMS = 4
OTHERS = 39
SLOTS = 6
QUEUE = 12
WORK_S = 0.14
TARGET_LATENCY = '500ms'
COLD_S = 3.0
# Of each of the eight gateways: together 165 requests a second. The four
# upstreams can take 171, three of them 129.
CLIENTS = 72
PERIOD_S = 3.5
SERVICE = 'plansafe'
# How long the removed upstream serves, counted from its removal: ``drain`` and
# a little longer.
SERVES_ON_S = 4.0


async def play(record, gateways, folder):
    """Play the case and return the breaks of the rule."""
    store = store_types.EmulatedStore()
    await store.start()
    manifest = world.manifest(1, SERVICE)
    for route in manifest['routes']:
        route['target_latency'] = TARGET_LATENCY
    await store.put(store_types.OPERATOR_TOPIC, 'config', manifest)
    upstreams = [
        world.Upstream(
            record,
            store,
            f'i-{i}',
            SERVICE,
            ZONES[i % 4],
            WORK_S,
            SLOTS,
            queue=QUEUE,
        )
        for i in range(UPSTREAMS)
    ]
    leaving = upstreams[0]
    upstreams += [
        world.Upstream(record, store, f'i-o{i}', 'casebook', ZONES[i % 4])
        for i in range(OTHERS)
    ]
    for upstream in upstreams:
        await upstream.start()
    for i in range(GATEWAYS):
        gateway = world.Gateway(f'edge-{i}', ZONES[i % 4], store.url, folder)
        gateways.append(gateway)
        gateway.start()
        if i < DARK:
            # Those that start first are registered first.
            await gateway.wait_until_ready()
    for gateway in gateways:
        await gateway.wait_until_ready()
    await asyncio.sleep(6.0)
    dark, calm = gateways[:DARK], gateways[DARK:]
    clients = [
        world.Client(record, gateway, f'{gateway.name}-c{i}', PERIOD_S)
        for i in range(CLIENTS)
        for gateway in calm
    ]
    tasks = []
    # Half of them come first, so that the gateways learn how long a request
    # usually takes.
    half = len(clients) // 2
    for group in (clients[:half], clients[half:]):
        for client in group:
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(PERIOD_S / half)
        await asyncio.sleep(PERIOD_S)
    if world.has_trouble():
        for gateway in dark:
            gateway.signal(signal.SIGSTOP)
        record.add('power lost', machines=','.join(g.name for g in dark))
    dark_at = time.monotonic()
    replacement = world.Upstream(
        record,
        store,
        'i-new',
        SERVICE,
        ZONES[0],
        WORK_S,
        SLOTS,
        queue=QUEUE,
        cold_s=COLD_S,
    )
    await replacement.start()
    record.add('started', upstream=replacement.name)
    await asyncio.sleep(0.2)
    await leaving.deregister()
    removed_at = time.monotonic()
    record.add('removed from the store', upstream=leaving.name)
    await asyncio.sleep(dark_at + DARK_S - time.monotonic())
    if world.has_trouble():
        for gateway in dark:
            gateway.kill()
            gateway.start()
        record.add('power back', machines=len(dark))
    await asyncio.sleep(removed_at + SERVES_ON_S - time.monotonic())
    leaving.exit()
    record.add('exited', upstream=leaving.name)
    await asyncio.sleep(1.0)
    for client in clients:
        client.stopped = True
    await asyncio.gather(*tasks)
    answers = {}
    sent_to = {}
    for client in clients:
        answers.update(client.answers)
        sent_to.update(dict.fromkeys(client.sent_at, client.gateway.name))
    if 200 not in answers.values():
        raise world.CouldNotRunError('no request was served')
    served = sum(status == 200 for status in answers.values())
    print(f'{len(answers)} requests, {served} served')
    delayed = [
        gateway.name
        for gateway in calm
        if 'target registration lapsed' in open(gateway.log.name).read()
    ]
    print('put the removal off:', ', '.join(delayed) or 'none')
    cut = [run for run in leaving.runs if not run.finished]
    print(f'{len(cut)} requests were at work when the upstream exited')
    return [
        f'{run.request_id} reached {leaving.name} '
        f'{run.at - removed_at:.2f} s after its removal, sent on by '
        f'{sent_to[run.request_id]}, answer {answers.get(run.request_id)}'
        for run in leaving.runs
        if run.at - removed_at > DRAIN_S
    ]


world.run_case(play)
