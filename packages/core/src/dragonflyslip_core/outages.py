"""Whether a log was away for so long that records may have expired in it.

Only requests that the log itself did not answer show this. A copy that is out
of date does not: the entries from which it was copied may be silent.
"""

import dataclasses
import typing

from dragonflyslip_core import transfers

# A lost response and the repeat of its read take less than this. A target
# that reports once a second misses three reports in a longer outage only.
MIN_OUTAGE_S = 0.6


@dataclasses.dataclass
class FailedReads:
    """The reads of one feed that have failed since one succeeded.

    Times are monotonic seconds.

    :ivar since: from when on the log did not respond, None if it did.
    :ivar reason: why the last one failed.
    """

    since: float | None = None
    reason: str = ''

    def record(self, due_at: float, now: float, reason: str) -> None:
        """Record a read that failed.

        :param due_at: when the log should have responded at the latest.
        """
        self.reason = reason
        if self.since is None:
            # A process that was paused learns of the failure late.
            earliest = now - transfers.RESPONSE_TIMEOUT_S
            self.since = min(now, max(due_at, earliest))

    def extend(self, other: typing.Self) -> None:
        """Record that the log did not respond to another feed's reads.

        :param other: failed reads since which it has not responded at all.
        """
        if self.since is None:
            self.since, self.reason = other.since, other.reason

    def clear(self) -> None:
        """Record that the log has responded, to this entry or another."""
        self.since = None

    def show_outage(self, now: float) -> bool:
        """Return whether the log has been away for ``MIN_OUTAGE_S``."""
        return self.since is not None and now - self.since >= MIN_OUTAGE_S
