"""Cost of a manifest that is full of keys of client accounts.

``python -m bench.account_keys`` prints the time to decode a manifest of the
largest size and the memory that it then holds.
"""

import gc
import json
import statistics
import time
import tracemalloc

from dragonflyslip_adapter import records
from dragonflyslip_core import accounts

MANIFEST_BYTES = 262_144
RUNS = 15
CHECKS = 20_000
# Length of a key and number of accounts.
SHAPES = ((32, 1), (32, 1_000), (4, 1))


def encode_manifest(key_length: int, account_count: int) -> tuple[bytes, int]:
    """Return a manifest of at most ``MANIFEST_BYTES``, and its keys."""
    tenants: list[dict] = [
        {'name': f'account-{number}', 'api_keys': []}
        for number in range(account_count)
    ]
    value = {'version': 1, 'routes': [], 'services': [], 'tenants': tenants}
    free = MANIFEST_BYTES - len(_encode(value))
    # Two quotes and a comma.
    count = free // (key_length + 3)
    for number in range(count):
        tenants[number % account_count]['api_keys'].append(
            f'{number:0{key_length}x}'
        )
    return _encode(value), count


def measure(key_length: int, account_count: int) -> str:
    """Return a line with the cost of one shape of a manifest."""
    encoded, count = encode_manifest(key_length, account_count)
    times_ms = []
    for _ in range(RUNS):
        started = time.perf_counter()
        records.decode_manifest(encoded).unwrap()
        times_ms.append((time.perf_counter() - started) * 1e3)
    gc.collect()
    tracemalloc.start()
    manifest = records.decode_manifest(encoded).unwrap()
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    known = _check_us(manifest.accounts, f'{1:0{key_length}x}')
    unknown = _check_us(manifest.accounts, 'z' * key_length)
    return (
        f'{account_count} accounts, {count} keys of {key_length}: '
        f'{len(encoded)} B, decoded in {statistics.median(times_ms):.1f} ms '
        f'({max(times_ms):.1f} at most), holds {held / 1e6:.2f} MB '
        f'(peak {peak / 1e6:.2f}); known key {known:.2f} us, '
        f'unknown key {unknown:.2f} us'
    )


def _check_us(directory: accounts.AccountDirectory, key: str) -> float:
    started = time.perf_counter()
    for _ in range(CHECKS):
        directory.check(accounts.Credentials.from_key(key), False, True)
    return (time.perf_counter() - started) / CHECKS * 1e6


def _encode(value: dict) -> bytes:
    return json.dumps(value, separators=(',', ':')).encode()


if __name__ == '__main__':
    for shape in SHAPES:
        print(measure(*shape))
