"""How long a connection is read from after its last response.

A connection is closed in two steps (RFC 9112, section 9.6). The first sends
the end of the stream. In the second, what the caller still sends is read and
discarded: bytes that arrive at a closed socket reset the connection, and the
caller loses the part of the response that it has not received.
"""

import dataclasses
import enum

# Time for the caller to close once it has acknowledged the whole stream. A
# proxy acknowledges bytes that the caller itself receives later.
TAKEN_TIMEOUT_S = 2.0
# The same while the process stops, which callers that never close would delay.
STOPPING_TAKEN_TIMEOUT_S = 0.3
# Slow links that many uploads share can stall for some seconds.
STALL_TIMEOUT_S = 5.0
MAX_LINGER_S = 60.0
MAX_DISCARDED_BYTES = 16_777_216


class LingerEnd(enum.Enum):
    """Why a connection is no longer read from although it is still open."""

    TAKEN = 'taken'
    STALLED = 'stalled'
    TOO_LONG = 'too_long'
    TOO_MANY_BYTES = 'too_many_bytes'


@dataclasses.dataclass
class Linger:
    """The second step of closing a connection; times are monotonic seconds.

    :param began_at: when the end of the stream was sent.
    :param unacknowledged_bytes: what the caller has not acknowledged, the end
        of the stream included.
    :ivar progress_at: when the caller last acknowledged a part of it.
    :ivar discarded_bytes: bytes that were received and discarded.
    """

    began_at: float
    unacknowledged_bytes: int

    def __post_init__(self):
        self.progress_at = self.began_at
        self.discarded_bytes = 0

    def update(
        self, unacknowledged_bytes: int, now: float, stopping: bool = False
    ) -> LingerEnd | None:
        """Return why the connection is to be closed, None if it is not.

        :param stopping: whether the process waits for it to stop.
        """
        if unacknowledged_bytes < self.unacknowledged_bytes:
            self.progress_at = now
        self.unacknowledged_bytes = unacknowledged_bytes
        idle_s = now - self.progress_at
        taken_timeout_s = (
            STOPPING_TAKEN_TIMEOUT_S if stopping else TAKEN_TIMEOUT_S
        )
        if not unacknowledged_bytes and idle_s >= taken_timeout_s:
            return LingerEnd.TAKEN
        if idle_s >= STALL_TIMEOUT_S:
            return LingerEnd.STALLED
        if now - self.began_at >= MAX_LINGER_S:
            return LingerEnd.TOO_LONG
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            return LingerEnd.TOO_MANY_BYTES
        return None
