"""The project's emulated store, with pages of bounded length."""

from aiohttp import web

from dragonflyslip_emulator import store as store_types

_HEADER_BYTES = 16
_LENGTH_BYTES = 4


class PagedStore(store_types.EmulatedStore):
    """Ends each page of records at the length that the reader asks for."""

    async def _read(self, request: web.Request) -> web.Response:
        response = await super()._read(request)
        if response.status != 200:
            return response
        limit = int(request.query.get('max_kb', '1024')) * 1024
        body, end = response.body, _HEADER_BYTES
        while end < len(body):
            length = int.from_bytes(body[end : end + _LENGTH_BYTES], 'big')
            after = end + _LENGTH_BYTES + length
            if after - _HEADER_BYTES > limit and end > _HEADER_BYTES:
                break
            end = after
        return web.Response(body=body[:end])
