"""Whether the store responds to the reads of the feeds."""

import collections.abc

from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import followed_feeds
from dragonflyslip_entry import logs

# A copy counts as out of date when it is older than this.
OUTDATED_AGE_S = 1.5


class StoreContact:
    """Tells a store that is away from copies that are merely out of date.

    Times are monotonic seconds.

    :param feeds: the followed feeds by name.
    :param target_feed: name of the feed in which targets register.
    :param log: tells when the store last responded to anything.
    :param sink: learns when the store is away, and when it is back.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        feeds: collections.abc.Mapping[str, followed_feeds.FollowedFeed],
        target_feed: str,
        log: adapters.RecordLog,
        sink: adapters.TopologySink,
    ):
        self.board = board
        self.feeds = feeds
        self.target_feed = target_feed
        self.log = log
        self.sink = sink

    def read_failed(
        self, name: str, due_at: float, now: float, reason: str
    ) -> None:
        """Record that a read of a feed has failed.

        :param due_at: when the store should have responded at the latest.
        """
        self.feeds[name].failed_reads.record(due_at, now, reason)

    def responded(self, name: str) -> None:
        """Record that the store has responded to a read of a feed."""
        self.feeds[name].failed_reads.clear()
        self.sink.source_regained(name)

    def update(
        self, ages: collections.abc.Mapping[str, float], now: float
    ) -> None:
        """Report what has changed.

        :param ages: seconds since the copy of each feed was current.
        """
        self._check_silence()
        for name, age_s in ages.items():
            if self.feeds[name].copy.through is not None:
                self._check_age(name, age_s)
                self._check_reads(name, now - age_s, now)

    def _check_silence(self) -> None:
        """Apply the failed reads of any feed to that of the targets.

        Only if the store has responded to nothing since. Whether it would
        respond to the read of that feed, which may still wait for a change,
        is not known then.
        """
        targets = self.feeds[self.target_feed].failed_reads
        for feed in self.feeds.values():
            since = feed.failed_reads.since
            if since is not None and self.log.heard_at <= since:
                targets.extend(feed.failed_reads)

    def _check_age(self, name: str, age_s: float) -> None:
        """Log whether a copy is out of date."""
        feed = self.feeds[name]
        outdated = age_s > OUTDATED_AGE_S
        if outdated is feed.outdated:
            return
        feed.outdated = outdated
        self.board.count('outdated_copies', outdated)
        logs.info(
            'copy out of date' if outdated else 'copy current again',
            feed=name,
            age_s=round(age_s, 1),
        )

    def _check_reads(self, name: str, current_at: float, now: float) -> None:
        """Report a store that is away, or back.

        A copy that was current after a failed read shows that the store has
        responded since, if only to others.

        :param current_at: when the copy was last current.
        """
        failed_reads = self.feeds[name].failed_reads
        if failed_reads.since is None or current_at > failed_reads.since:
            self.responded(name)
        elif failed_reads.show_outage(now):
            self.sink.source_lost(name, failed_reads.reason)
