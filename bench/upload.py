"""Memory of an entry while a large upload and download pass through it.

python -m bench.upload --bytes 2147483648
"""

import argparse
import hashlib
import time

import aiohttp
import uvloop

from bench import processes

_CHUNK = bytes(range(256)) * 4096


async def _upload(url: str, size: int) -> tuple[str, str]:
    """Upload ``size`` bytes and return the digests sent and received."""
    digest = hashlib.sha256()

    async def chunks():
        for start in range(0, size, len(_CHUNK)):
            chunk = _CHUNK[: size - start]
            digest.update(chunk)
            yield chunk

    timeout = aiohttp.ClientTimeout(total=600)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.post(
            url, data=chunks(), headers={'Host': 'plansafe'}
        ) as response:
            await response.read()
            response.raise_for_status()
            return digest.hexdigest(), response.headers['X-Test-Digest']


async def _download(url: str, size: int) -> int:
    """Download ``size`` bytes and return how many arrived."""
    headers = {'Host': 'plansafe', 'X-Test-Response-Bytes': str(size)}
    received = 0
    timeout = aiohttp.ClientTimeout(total=600)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(url, headers=headers) as response:
            async for chunk in response.content.iter_any():
                received += len(chunk)
    return received


def main() -> None:
    """Upload, download and print the entry's memory after each step."""
    parser = argparse.ArgumentParser(prog='bench.upload')
    parser.add_argument('--bytes', type=int, default=2 << 30)
    size = parser.parse_args().bytes
    with processes.Processes() as group:
        group.start_target('plansafe-1', 'plansafe')
        group.run_operator(
            'profile', 'publish', 'uploads', '--set', 'missing_key=run_once'
        )
        group.run_operator(
            'service', 'publish', 'plansafe', '--profile=uploads'
        )
        port = group.start_entry('entry-1')
        group.wait_ready('entry-1')
        url = f'http://127.0.0.1:{port}/upload'
        _wait_until_served(url)
        before = group.memory_bytes('entry-1')
        started = time.monotonic()
        sent, received = uvloop.run(_upload(url, size))
        upload_s = time.monotonic() - started
        after_upload = group.memory_bytes('entry-1')
        downloaded = uvloop.run(_download(url, size))
        after = group.memory_bytes('entry-1')
    print(f'{size} bytes each way')
    print('| step | complete | resident memory, MB | MB/s |')
    print('|---|---|---|---|')
    print(f'| before | | {before / 1e6:.1f} | |')
    print(
        f'| upload | {sent == received} | {after_upload / 1e6:.1f} '
        f'| {size / upload_s / 1e6:.0f} |'
    )
    print(f'| download | {downloaded == size} | {after / 1e6:.1f} | |')


def _wait_until_served(url: str) -> None:
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        try:
            uvloop.run(_upload(url, 10))
            return
        except aiohttp.ClientError:
            time.sleep(0.1)
    raise TimeoutError('the entry did not accept an upload within 60 s')


if __name__ == '__main__':
    main()
