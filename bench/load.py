"""Added latency and CPU time of an entry, compared with a bare proxy.

Arrivals are open-loop and latency counts from the intended send time. The
direct path, the bare proxy and the entry take turns within one run, so that
other work on the machine affects all three alike::

    python -m bench.load --rate 2000 --seconds 6 --rounds 3
"""

import argparse
import asyncio
import dataclasses
import random
import time

import aiohttp
import uvloop

from bench import processes


@dataclasses.dataclass
class Sample:
    """Latencies of the answered calls on one path, and failed calls."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0

    def percentile(self, fraction: float) -> float:
        """Return the latency in ms of the percentile ``fraction``, 0 to 1."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


async def run_load(
    url: str, rate: float, seconds: float, rng: random.Random, sample: Sample
) -> None:
    """Send calls as a Poisson process and record their latencies.

    :param rate: calls a second.
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        loop = asyncio.get_running_loop()
        pending = set()
        intended = loop.time() + 0.1
        end = intended + seconds
        while intended < end:
            delay = intended - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            task = loop.create_task(_call(session, url, intended, sample))
            pending.add(task)
            task.add_done_callback(pending.discard)
            intended += rng.expovariate(rate)
        if pending:
            await asyncio.wait(pending, timeout=10)


async def _call(
    session: aiohttp.ClientSession, url: str, intended: float, sample: Sample
) -> None:
    try:
        async with session.get(url, headers={'Host': 'casebook'}) as response:
            await response.read()
            if response.status != 200:
                sample.failed += 1
                return
    except aiohttp.ClientError:
        sample.failed += 1
        return
    elapsed_s = asyncio.get_running_loop().time() - intended
    sample.latencies_ms.append(elapsed_s * 1000)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='bench.load')
    parser.add_argument('--rate', type=float, default=2000.0)
    parser.add_argument('--seconds', type=float, default=6.0)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--targets', type=int, default=4)
    parser.add_argument('--seed', type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Measure all paths in turn and print the table."""
    arguments = _parse_arguments()
    rng = random.Random(arguments.seed)
    with processes.Processes() as group:
        ports = [
            group.start_target(f'casebook-{number}', 'casebook')
            for number in range(arguments.targets)
        ]
        published = group.run_operator(
            'profile', 'publish', 'bench', '--set', 'hedge_after_ms=0'
        )
        assert published.returncode == 0, published.stderr
        published = group.run_operator(
            'service', 'publish', 'casebook', '--profile', 'bench'
        )
        assert published.returncode == 0, published.stderr
        entry_port = group.start_entry('entry-1')
        bare_port = processes.ports.free_port()
        group.start(
            'bare',
            'bench.passthrough',
            f'--port={bare_port}',
            f'--target=127.0.0.1:{ports[0]}',
        )
        group.wait_for_port(bare_port)
        group.wait_ready('entry-1')
        _wait_warm(f'http://127.0.0.1:{entry_port}/', arguments.targets)
        _measure(group, arguments, rng, ports[0], bare_port, entry_port)


def _wait_warm(url: str, targets: int) -> None:
    # Cold targets take one call at a time until their warm-up has ended.
    sample = Sample()
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        sample = Sample()
        uvloop.run(run_load(url, 300, 1, random.Random(0), sample))
        if not sample.failed and sample.percentile(0.99) < 20:
            return
    raise TimeoutError(f'{targets} targets did not become warm')


def _measure(group, arguments, rng, direct_port, bare_port, entry_port):
    paths = {
        'direct': (direct_port, None),
        'bare': (bare_port, 'bare'),
        'entry': (entry_port, 'entry-1'),
    }
    samples = {name: Sample() for name in paths}
    cpu = dict.fromkeys(paths, 0.0)
    for _ in range(arguments.rounds):
        for name, (port, process) in paths.items():
            before = group.cpu_seconds(process) if process else 0.0
            uvloop.run(
                run_load(
                    f'http://127.0.0.1:{port}/',
                    arguments.rate,
                    arguments.seconds,
                    rng,
                    samples[name],
                )
            )
            if process:
                cpu[name] += group.cpu_seconds(process) - before
    print(f'rate {arguments.rate:.0f}/s, seed {arguments.seed}')
    print(
        '| path | calls | failed | p50 ms | p99 ms | p99.9 ms '
        '| added p50 | added p99 | added p99.9 | CPU us a call |'
    )
    print('|---|---|---|---|---|---|---|---|---|---|')
    direct = samples['direct']
    for name, sample in samples.items():
        values = [
            sample.percentile(fraction) for fraction in (0.5, 0.99, 0.999)
        ]
        added = [
            value - direct.percentile(fraction)
            for value, fraction in zip(values, (0.5, 0.99, 0.999))
        ]
        calls = len(sample.latencies_ms)
        cells = [*values, *added]
        text = ' | '.join(f'{cell:.2f}' for cell in cells)
        cpu_us = cpu[name] / max(1, calls) * 1e6
        print(
            f'| {name} | {calls} | {sample.failed} | {text} | {cpu_us:.0f} |'
        )


if __name__ == '__main__':
    main()
