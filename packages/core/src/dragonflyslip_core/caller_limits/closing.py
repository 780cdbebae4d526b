"""Which connections of callers are closed, and why."""

import collections.abc
import dataclasses
import enum

from dragonflyslip_core import manifest

# Time in which a body must make progress. Links of 5 Mbit/s that many uploads
# share can stall for some seconds when packets are lost.
BODY_WINDOW_S = 5.0
# Bytes a second that must arrive of a body in each window. An upload that
# shares 5 Mbit/s with 100 others has 6,250.
MIN_BODY_RATE = 1_000.0
# A body may be closed for others if nothing of it has arrived for this time.
BODY_STALL_S = 1.0
# A connection is kept for longer than the idle timeout states, so that a
# request sent shortly before its end is still read.
IDLE_MARGIN_S = 0.5


class Fault(enum.Enum):
    """Why a connection is closed."""

    SLOW_HEAD = 'slow_head'
    IDLE = 'idle'
    SLOW_BODY = 'slow_body'


@dataclasses.dataclass(eq=False)
class ConnectionUse:
    """What a connection is used for; times are seconds of one clock.

    :param idle_since: when its last response ended or it was opened; None
        while a request is handled.
    :param head_since: when the head began that is arriving; None without one.
    :param body_since: when the present window of the body that is arriving
        began; None without a body.
    :param body_bytes: bytes of that body that arrived in the window.
    :param body_at: when a part of that body arrived last.
    :param closing_since: when the end of the stream was sent; None before.
    """

    idle_since: float | None = None
    head_since: float | None = None
    body_since: float | None = None
    body_bytes: int = 0
    body_at: float = 0.0
    closing_since: float | None = None

    def begin_body(self, now: float) -> None:
        """Begin a window in which the progress of a body is measured."""
        self.body_since = self.body_at = now
        self.body_bytes = 0

    def receive_body(self, size_bytes: int, now: float) -> None:
        """Count bytes of a body."""
        self.body_bytes += size_bytes
        self.body_at = now


def find_fault(
    use: ConnectionUse, limits: manifest.CallerLimits, now: float
) -> Fault | None:
    """Return which time limit a connection has exceeded, None if none.

    Begins the next window of a body whose window has ended.
    """
    if use.closing_since is not None:
        return None
    if use.head_since is not None:
        if now - use.head_since > limits.header_timeout_s:
            return Fault.SLOW_HEAD
    elif use.idle_since is not None:
        if now - use.idle_since > limits.idle_timeout_s + IDLE_MARGIN_S:
            return Fault.IDLE
    elif use.body_since is not None and now - use.body_since > BODY_WINDOW_S:
        if use.body_bytes < MIN_BODY_RATE * BODY_WINDOW_S:
            return Fault.SLOW_BODY
        use.body_since, use.body_bytes = now, 0
    return None


def choose_closed(
    uses: collections.abc.Iterable[ConnectionUse], now: float
) -> ConnectionUse | None:
    """Return the connection that is closed first to make room for another.

    Those that are closing come first, then idle ones, the longest idle before
    others, then those whose head has been arriving longest, then the body that
    has stalled longest.
    One whose request makes progress or has arrived is not closed.
    """
    ranks = ((_rank(use, now), use) for use in uses)
    return min(
        ((rank, use) for rank, use in ranks if rank is not None),
        key=lambda ranked: ranked[0],
        default=(None, None),
    )[1]


def choose_stalled_body(
    uses: collections.abc.Iterable[ConnectionUse], now: float
) -> ConnectionUse | None:
    """Return the connection whose body has stalled longest, None if none."""
    return min(
        (use for use in uses if _is_stalled(use, now)),
        key=lambda use: use.body_at,
        default=None,
    )


def _rank(use: ConnectionUse, now: float) -> tuple[int, float] | None:
    if use.closing_since is not None:
        return -1, use.closing_since
    if use.head_since is not None:
        return 1, use.head_since
    if use.idle_since is not None:
        return 0, use.idle_since
    if _is_stalled(use, now):
        return 2, use.body_at
    return None


def _is_stalled(use: ConnectionUse, now: float) -> bool:
    return use.body_since is not None and now - use.body_at > BODY_STALL_S
