"""A bare pass-through on the same libraries: the floor for added latency.

It forwards each request to one target without any decision.
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
            relayed = web.StreamResponse(status=response.status)
            if response.content_length is not None:
                relayed.content_length = response.content_length
            await relayed.prepare(request)
            async for chunk in response.content.iter_any():
                await relayed.write(chunk)
            await relayed.write_eof()
            return relayed

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
