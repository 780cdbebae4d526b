"""A minimal HTTP proxy on the same libraries, as a latency baseline.

It forwards each request to one target and decides nothing itself.
"""

import argparse
import asyncio

import aiohttp
from aiohttp import web
import uvloop


async def _serve(port: int, target: str) -> None:
    connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False)
    session = aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        async with session.request(
            request.method,
            f'http://{target}{request.raw_path}',
            headers={'Host': request.headers['Host']},
            data=request.content if request.body_exists else None,
        ) as response:
            proxied = web.StreamResponse(status=response.status)
            if response.content_length is not None:
                proxied.content_length = response.content_length
            await proxied.prepare(request)
            async for chunk in response.content.iter_any():
                await proxied.write(chunk)
            await proxied.write_eof()
            return proxied

    loop = asyncio.get_running_loop()
    await loop.create_server(web.Server(handle), '127.0.0.1', port)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--target', required=True, help='IP:PORT')
    arguments = parser.parse_args()
    uvloop.run(_serve(arguments.port, arguments.target))


if __name__ == '__main__':
    main()
