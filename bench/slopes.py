"""Growth of an entry's cost with the number of objects that it serves.

Fits a line through measurements at three or more sizes for each figure of
``docs/CAPACITY.md`` and prints it. It takes under three minutes, under 1 GiB
and at most 25 processes::

    python -m bench.slopes
    python -m bench.slopes memory cpu

Sections: ``sockets`` (connections to targets, probes, the instance list),
``memory`` and ``cpu`` (objects in this process), ``calls``, ``targets`` and
``fleet`` (entries as processes of their own).
"""

import argparse
import os
import time

import aiohttp
import uvloop

from bench import fits
from bench import processes
from bench import slopes_fleet
from bench import slopes_objects

# 'sockets' comes first: it reads the resident memory of this process, which
# freed pages of other sections would change.
SECTIONS = ('sockets', 'memory', 'cpu', 'calls', 'targets', 'fleet')


async def measure(section: str) -> list[fits.Fit]:
    """Return the fits of one section."""
    match section:
        case 'memory':
            return await slopes_objects.memory_fits()
        case 'cpu':
            return await slopes_objects.cpu_fits()
    with processes.Processes() as group:
        if section == 'sockets':
            return [
                *await slopes_objects.upstream_fits(group),
                *await slopes_objects.probe_fits(group),
                *await slopes_objects.instance_list_fits(group),
            ]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            match section:
                case 'calls':
                    return await slopes_fleet.call_fits(group, session)
                case 'targets':
                    return await slopes_fleet.target_fits(group, session)
                case _:
                    return await slopes_fleet.fleet_fits(group, session)


def main() -> None:
    """Measure the sections and print their tables."""
    parser = argparse.ArgumentParser(prog='bench.slopes')
    parser.add_argument('sections', nargs='*', metavar='SECTION')
    sections = parser.parse_args().sections or SECTIONS
    unknown = set(sections) - set(SECTIONS)
    if unknown:
        parser.error(f'unknown section {sorted(unknown)[0]}')
    started = time.monotonic()
    for section in sections:
        load = os.getloadavg()[0]
        section_started = time.monotonic()
        measured = uvloop.run(measure(section))
        print(f'\n## {section}\n')
        print(
            f'`python -m bench.slopes {section}`: '
            f'{time.monotonic() - section_started:.0f} s, '
            f'load average {load:.1f} before\n'
        )
        print(fits.table(measured), flush=True)
    print(f'\nAll: {time.monotonic() - started:.0f} s')


if __name__ == '__main__':
    main()
