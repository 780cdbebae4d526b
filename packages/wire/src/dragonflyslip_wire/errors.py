"""Errors of the peer protocol."""

from dragonflyslip_core import errors as core_errors


class WireError(core_errors.CoreError):
    """Base of all errors of this package.

    The receiver of a malformed message must close the connection.
    """


class FrameError(WireError):
    """A frame is empty or longer than allowed."""


class MessageError(WireError):
    """A message cannot be decoded, or one of its values is out of bounds."""


class VersionError(MessageError):
    """A peer uses another version of the protocol.

    :param version: the peer's protocol version.
    """

    def __init__(self, version: int):
        super().__init__(f'peer protocol version {version} is not supported')
        self.version = version
