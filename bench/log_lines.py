"""Size and CPU time of the log line that is written for each request.

Run ``python -m bench.log_lines``; it takes seconds. Times depend on the
machine. The lines go to a pipe whose other end discards them.
"""

import os
import sys
import threading
import time

from dragonflyslip_entry import logs

LINES = 5_000
FIELDS = {
    'request': '04e16c0d986dabed',
    'route': 'r-vrf7s3j',
    'service': 'casebook',
    'manifest': 12,
    'targets': ['i-275bba1221'],
    'status': 200,
    'reason': '',
    'ms': 131.4,
}


def _discard(descriptor: int, sizes: list[int]) -> None:
    while data := os.read(descriptor, 65_536):
        sizes.append(len(data))


def measure(allowed: bool) -> tuple[float, float]:
    """Return µs of CPU time and bytes per line.

    :param allowed: whether the lines stay below the rate limit.
    """
    reading, writing = os.pipe()
    sizes: list[int] = []
    reader = threading.Thread(target=_discard, args=(reading, sizes))
    reader.start()
    logs.REQUEST_LINES_PER_S = LINES * 1_000 if allowed else 0
    with os.fdopen(writing, 'w') as stream:
        stdout, sys.stdout = sys.stdout, stream
        try:
            logs.configure('info', 'edge-scot-central-a-1')
        finally:
            sys.stdout = stdout
        started = time.thread_time()
        for _ in range(LINES):
            logs.request('request answered', **FIELDS)
        cpu_s = time.thread_time() - started
        for handler in logs.LOGGER.handlers:
            while handler.lines:
                handler.write_queued()
        logs.LOGGER.handlers = []
    reader.join()
    os.close(reading)
    return cpu_s / LINES * 1e6, sum(sizes) / LINES


def main() -> None:
    """Print the table."""
    print('| line | µs | bytes |')
    print('|---|---|---|')
    for name, allowed in (('written', True), ('over the rate limit', False)):
        cost_us, size = measure(allowed)
        print(f'| {name} | {cost_us:.0f} | {size:.0f} |')


if __name__ == '__main__':
    main()
