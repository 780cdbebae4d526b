"""State of one feed that a gateway follows."""

import asyncio
import dataclasses

from dragonflyslip_core import feeds
from dragonflyslip_core import outages
from dragonflyslip_core import waiting_reads


@dataclasses.dataclass
class FollowedFeed:
    """The copy of one feed and the state of its reads.

    Times are monotonic seconds.

    :param read_at: when the store last responded to a read whose page reached
        the end of the log.
    :param reading: whether the last read succeeded, so that the next one may
        wait for a change.
    :param wait: the read that waits for a change now, if any.
    :param wait_timeout: ends that read when it is rescheduled.
    :param failed_reads: the own reads that have failed since one succeeded.
    :param outdated: whether the copy was last found to be out of date.
    """

    copy: feeds.FeedCopy = dataclasses.field(default_factory=feeds.FeedCopy)
    read_at: float = float('-inf')
    reading: bool = False
    wait: waiting_reads.WaitingRead | None = None
    wait_timeout: asyncio.Timeout | None = None
    failed_reads: outages.FailedReads = dataclasses.field(
        default_factory=outages.FailedReads
    )
    outdated: bool = False

    @property
    def era(self) -> int:
        """Era of the copy, 0 if there is none yet."""
        return 0 if self.copy.through is None else self.copy.through.era

    def current_at(self, heard_at: float, era: int, now: float) -> float:
        """Return when own reads last showed that the copy equals the log.

        :param heard_at: when the store last responded to any request.
        :param era: newest known era of the store.
        """
        if self.wait is None:
            return self.read_at
        return self.wait.current_at(self.read_at, heard_at, now, era)

    def end_outdated_wait(self, era: int, now: float) -> None:
        """End the read that waits for a change in an era that has ended.

        :param era: newest known era of the store.
        """
        if self.wait is not None and self.wait.era < era:
            self.wait = None
            self.wait_timeout.reschedule(now)
