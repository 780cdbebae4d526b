"""What the HTTP clients of the platform's services share."""

import asyncio

import aiohttp


class HttpClient:
    """Client of one service over HTTP.

    :param session: the HTTP session; its owner closes it.
    :param base_url: such as ``http://10.0.0.5:7000``.
    :param timeout_s: seconds until a request counts as lost.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float = 2.0,
    ):
        self.session = session
        self.base_url = base_url.rstrip('/')
        self.timeout_s = timeout_s

    def describe(self, error: Exception) -> str:
        """Return one line on what failed, for an operator."""
        if isinstance(error, aiohttp.ClientConnectorError):
            return f'{self.base_url} refuses connections'
        if isinstance(error, asyncio.TimeoutError):
            return f'{self.base_url} did not answer in time'
        return f'{self.base_url}: {error or type(error).__name__}'
