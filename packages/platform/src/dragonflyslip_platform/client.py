"""Base class of the HTTP clients of the log service and instance list."""

import asyncio

import aiohttp


class HttpClient:
    """Base of the clients of one HTTP service.

    :param session: the HTTP session; its owner closes it.
    :param base_url: such as ``http://10.0.0.5:7000``.
    :param timeout_s: seconds after which a request fails.
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
        """Return a one-line description of a failed request."""
        if isinstance(error, aiohttp.ClientConnectorError):
            return f'{self.base_url} refused the connection'
        if isinstance(error, asyncio.TimeoutError):
            return f'{self.base_url} did not respond in time'
        return f'{self.base_url}: {error or type(error).__name__}'
