"""Targets of requests (RFC 9112, section 3.2)."""

import re
import typing

from aiohttp import web

_ABSOLUTE_FORM = re.compile(r'https?://([^/?#@]+)([/?].*)?', re.IGNORECASE)


class RequestTarget(typing.NamedTuple):
    """What a request is meant for.

    :param host: host, and port if there is one. That of a target in absolute
        form goes before the ``Host`` header.
    :param path: path and query as received, or a target in asterisk form or
        authority form.
    """

    host: str
    path: str

    @classmethod
    def from_request(cls, request: web.BaseRequest) -> 'RequestTarget | None':
        """Return the target of a request, None if it is malformed."""
        received = request.raw_path
        if (
            received.startswith('/')
            or received == '*'
            or request.method == 'CONNECT'
        ):
            return cls(request.headers.get('Host', ''), received)
        match = _ABSOLUTE_FORM.fullmatch(received)
        if match is None:
            return None
        path = match[2] or '/'
        return cls(match[1], path if path[0] == '/' else f'/{path}')
