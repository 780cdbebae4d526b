"""Reads that wait at a log for a change, and what their silence shows.

A read that has not been answered yet does not show that there is no change:
the log may be cut off. It does so only up to the time at which the log last
responded to any request of this process.
"""

import collections.abc
import dataclasses

from dragonflyslip_core import transfers

# Step between the waits that are compared.
_WAIT_STEP_S = 0.1


@dataclasses.dataclass(frozen=True)
class WaitingRead:
    """A read that waits for a change. Times are monotonic seconds.

    :param begun_at: when it was sent.
    :param due_at: when the log responds if there is no change.
    :param era: era of the position from which it reads.
    """

    begun_at: float
    due_at: float
    era: int = 0

    def current_at(
        self, read_at: float, heard_at: float, now: float, era: int = 0
    ) -> float:
        """Return when the copy was last known to equal the log.

        :param read_at: when the last read showed this.
        :param heard_at: when the log last responded to any request. A change
            before then would have ended this read. Not so once the response
            is overdue, since it may be lost.
        :param era: newest known era of the log. If it is another one than
            that of this read, the log has come back from an older copy and
            may not have ended this read.
        """
        if heard_at < self.begun_at or era != self.era:
            return read_at
        if now > self.due_at + transfers.RESPONSE_TIMEOUT_S:
            return read_at
        return max(read_at, heard_at)


def choose_wait_s(
    now: float,
    others_due_at: collections.abc.Collection[float],
    shortest_s: float,
    longest_s: float,
) -> float:
    """Return how long a read waits, so that responses come evenly spread.

    Each response shows that the other waiting reads still reach the log, and
    costs a request. Of the waits that keep the responses apart, the longest
    is chosen.

    :param others_due_at: when the log responds to the other waiting reads.
    """
    spacing_s = longest_s / (len(others_due_at) + 1)
    best_s, best_gap_s = longest_s, -1.0
    for step in range(int((longest_s - shortest_s) / _WAIT_STEP_S + 1.5)):
        wait_s = longest_s - step * _WAIT_STEP_S
        gap_s = min(
            (abs(now + wait_s - due_at) for due_at in others_due_at),
            default=spacing_s,
        )
        gap_s = min(gap_s, spacing_s)
        if gap_s > best_gap_s + _WAIT_STEP_S / 2:
            best_s, best_gap_s = wait_s, gap_s
    return best_s
