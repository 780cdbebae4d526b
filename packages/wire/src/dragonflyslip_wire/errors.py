"""Errors of the peer protocol."""

from dragonflyslip_core import errors as core_errors


class WireError(core_errors.CoreError):
    """Base of all errors of this package; the connection is to be closed."""


class FrameError(WireError):
    """A frame has a length that is not allowed."""


class MessageError(WireError):
    """A message does not decode, or a value of it is out of bounds."""


class VersionError(MessageError):
    """A peer speaks another version of the protocol.

    :param version: the version of the peer.
    """

    def __init__(self, version: int):
        super().__init__(f'peer protocol version {version} is not supported')
        self.version = version
