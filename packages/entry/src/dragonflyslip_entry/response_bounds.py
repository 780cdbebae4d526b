"""Bounds on the bytes that a target may send in response to one request.

A body may have any length: its reader takes it in parts or bounds it with
:func:`dragonflyslip_core.bounded_read.read_at_most`. The bounds of this module
hold for everything else: heads, interim responses (status 1xx), chunk sizes
and extensions, trailers, and bytes that belong to no request.
"""

import typing

from dragonflyslip_core import errors

# Bytes outside of bodies beyond FRAMING_BYTES_PER_BODY_BYTE.
MAX_FRAMING_BYTES = 65_536
# A chunk of one byte has five bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 8
MAX_INTERIM_RESPONSES = 32
# Responses to one request; all but one belong to other requests.
MAX_RESPONSES = 8


class Content(typing.Protocol):
    """A body as it arrives.

    :ivar total_bytes: bytes that have arrived.
    """

    total_bytes: int


class ResponseBounds:
    """Counts what arrives on one connection in response to one request."""

    def __init__(self):
        self.begin()

    def begin(self) -> None:
        """Start to count for the next request."""
        self.interim = 0
        self.contents: list[Content] = []
        self._received_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0

    def add_response(self, content: Content) -> None:
        """Count a final response whose head has arrived.

        :raises OverlongResponseError: if there are too many.
        """
        self.contents.append(content)
        if len(self.contents) > MAX_RESPONSES:
            raise errors.OverlongResponseError(
                f'more than {MAX_RESPONSES} responses to one request'
            )

    def add_interim_response(self) -> None:
        """Count an interim response.

        :raises OverlongResponseError: if there are too many.
        """
        self.interim += 1
        if self.interim > MAX_INTERIM_RESPONSES:
            raise errors.OverlongResponseError(
                f'more than {MAX_INTERIM_RESPONSES} interim responses'
            )

    def add_bytes(self, size: int) -> None:
        """Count bytes that are about to be parsed.

        The bytes of all earlier calls must have been parsed.

        :raises OverlongResponseError: if too many of those were no part of a
            body.
        """
        body_bytes = sum(content.total_bytes for content in self.contents)
        new_body_bytes = body_bytes - self._body_bytes
        self._body_bytes = body_bytes
        # A long body does not permit more framing after it, so the balance
        # does not become negative.
        self._framing_bytes = max(
            0,
            self._framing_bytes
            + self._received_bytes
            - new_body_bytes * (1 + FRAMING_BYTES_PER_BODY_BYTE),
        )
        self._received_bytes = size
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise errors.OverlongResponseError(
                f'more than {MAX_FRAMING_BYTES} bytes outside of the body'
            )
