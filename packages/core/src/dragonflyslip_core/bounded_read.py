"""Reads a body up to a maximum length.

The caller bounds the time, for example with a timeout of its HTTP client.
"""

import collections.abc
import typing

from dragonflyslip_core import errors


class Content(typing.Protocol):
    """A body as it arrives."""

    def at_eof(self) -> bool:
        """Whether the body was read to its end."""

    async def readany(self) -> bytes:
        """Return the next bytes of the body once there are any."""


async def read_chunks(
    content: Content, max_bytes: int
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive.

    :param max_bytes: longest body to read. Slightly more is held in memory:
        what arrives at once.
    :raises OverlongResponseError: if the body is longer. The rest of it is
        still unread then, so the connection must be closed.
    """
    size = 0
    while not content.at_eof():
        chunk = await content.readany()
        size += len(chunk)
        if size > max_bytes:
            raise errors.OverlongResponseError(
                f'body of more than {max_bytes} bytes'
            )
        yield chunk


async def read_at_most(content: Content, max_bytes: int) -> bytes:
    """Return a whole body.

    :param max_bytes: as of :func:`read_chunks`.
    :raises OverlongResponseError: as :func:`read_chunks`.
    """
    return b''.join([chunk async for chunk in read_chunks(content, max_bytes)])
