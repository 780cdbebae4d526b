"""Frames: a 4-byte little-endian length, then one packed message."""

import struct
import typing

from dragonflyslip_wire import errors
from dragonflyslip_wire import messages

MAX_FRAME_BYTES = 1_048_576

_LENGTH_PREFIX = struct.Struct('<I')


def encode_frame(message: messages.Message) -> bytes:
    """Return a message as a frame.

    :raises MessageError: if a value is out of bounds.
    :raises FrameError: if the message exceeds 1 MiB.
    """
    data = messages.encode_message(message)
    if len(data) > MAX_FRAME_BYTES:
        raise errors.FrameError(f'message of {len(data)} bytes is too long')
    return _LENGTH_PREFIX.pack(len(data)) + data


class FrameDecoder:
    """Decodes the bytes of a connection into messages.

    After an error the rest of the stream cannot be decoded: the decoder
    drops it and raises the same error again. Close the connection then.
    """

    def __init__(self):
        self.error: errors.WireError | None = None
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether the beginning of a frame has been received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> typing.Iterator[messages.Message]:
        """Add received bytes and return the messages that are now complete.

        :raises WireError: from the iterator, after the messages that
            precede the malformed frame.

        >>> frame = encode_frame(messages.ConfigPull(through=7))
        >>> decoder = FrameDecoder()
        >>> list(decoder.feed(frame[:3])), list(decoder.feed(frame[3:]))
        ([], [ConfigPull(through=7)])
        """
        if self.error is None:
            self._buffer += data
        return self._messages()

    def _messages(self) -> typing.Iterator[messages.Message]:
        while True:
            if self.error is not None:
                raise self.error
            try:
                payload = self._next_payload()
                if payload is None:
                    return
                message = messages.decode_message(payload)
            except errors.WireError as error:
                self.error = error
                self._buffer.clear()
                raise
            yield message

    def _next_payload(self) -> bytes | None:
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return None
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if not 0 < length <= MAX_FRAME_BYTES:
            raise errors.FrameError(f'frame length {length} is not allowed')
        end = _LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[_LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        return payload
