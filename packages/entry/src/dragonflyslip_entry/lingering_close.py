"""Closes connections of callers without losing their last response.

See :mod:`dragonflyslip_core.caller_limits.lingering` for the reason.
"""

import asyncio
import fcntl
import struct
import termios
import typing

from dragonflyslip_core import caller_limits

CHECK_PERIOD_S = 0.1
_INT = struct.Struct('i')


class ClosingConnection(typing.Protocol):
    """What learns how its connection closes."""

    @property
    def stopping(self) -> bool:
        """Whether the process stops and waits for its connections."""

    def linger_began(self, now: float) -> None:
        """Record that all that is received from now on is discarded."""

    def linger_ended(self, reason: caller_limits.LingerEnd) -> None:
        """Record that the connection is closed before its caller did."""


class LingeringTransport:
    """A transport of which :meth:`close` has two steps.

    All other methods and attributes are those of the transport itself. The
    protocol passes what it receives after :meth:`close` to :meth:`discard`.

    :param transport: the transport of the connection.
    :param connection: is told about the steps.
    :ivar linger: the second step, None before it.
    """

    def __init__(
        self, transport: asyncio.Transport, connection: ClosingConnection
    ):
        self.transport = transport
        self.connection = connection
        self.loop = asyncio.get_running_loop()
        self.linger: caller_limits.Linger | None = None

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self.linger is not None or self.transport.is_closing()

    def close(self) -> None:
        """Send what is buffered and the end of the stream, then discard.

        The connection closes when its caller closes it, or after a time.
        """
        if self.is_closing():
            return
        now = self.loop.time()
        try:
            self.transport.write_eof()
            self.transport.resume_reading()
        except (OSError, RuntimeError):
            # The caller has reset the connection, or the end was sent before.
            self.transport.abort()
            return
        self.linger = caller_limits.Linger(now, self.unacknowledged_bytes())
        self.connection.linger_began(now)
        self.loop.call_later(CHECK_PERIOD_S, self._check)

    def pause_reading(self) -> None:
        """Pause, unless all that is received is discarded."""
        if self.linger is None:
            self.transport.pause_reading()

    def discard(self, size_bytes: int) -> None:
        """Count bytes that were received and are discarded."""
        if self.linger is not None:
            self.linger.discarded_bytes += size_bytes

    def unacknowledged_bytes(self) -> int:
        """Return how many written bytes the caller has not acknowledged.

        It is 1 or more if the operating system cannot tell.
        """
        unsent = self.transport.get_write_buffer_size()
        try:
            # The kernel counts the end of the stream as a byte.
            in_kernel = fcntl.ioctl(
                self.transport.get_extra_info('socket').fileno(),
                termios.TIOCOUTQ,
                bytes(_INT.size),
            )
        except (OSError, ValueError):
            return unsent + 1
        return unsent + _INT.unpack(in_kernel)[0]

    def _check(self) -> None:
        if self.transport.is_closing():
            return
        reason = self.linger.update(
            self.unacknowledged_bytes(),
            self.loop.time(),
            self.connection.stopping,
        )
        if reason is None:
            self.loop.call_later(CHECK_PERIOD_S, self._check)
            return
        self.connection.linger_ended(reason)
        self.transport.abort()
