"""Counts of responses to the requests of the groups new and control."""

import collections
import dataclasses

from dragonflyslip_core import rollouts


class ResponseCounts:
    """Counts of this gateway in one rollout.

    :param counter: counts for the reports.
    :ivar responses: responses by group, and whether they failed, for metrics.
    """

    def __init__(self, counter: rollouts.ReportCounter):
        self.counter = counter
        self.responses: collections.Counter[tuple[rollouts.Group, bool]] = (
            collections.Counter()
        )

    def record(
        self, cell: rollouts.CellKey, failed: bool, took_s: float
    ) -> None:
        """Count the end of the first attempt of a request."""
        group = rollouts.Group.NEW
        if cell.target is None:
            group = rollouts.Group.CONTROL
        self.responses[group, failed] += 1
        self.counter.record(cell, failed, took_s)


@dataclasses.dataclass(slots=True)
class CountedAttempt:
    """The first attempt of a request that is counted.

    :param written_at: loop time of its write.
    :param answered_at: loop time of the head of its response, None before.
    """

    counts: ResponseCounts
    cell: rollouts.CellKey
    written_at: float
    answered_at: float | None = None
    ended: bool = False

    def end(self, failed: bool, now: float) -> None:
        """Count the attempt, once.

        :param failed: whether the response is a failure, was cut, or did not
            arrive in time.
        """
        if self.ended:
            return
        self.ended = True
        answered_at = now if self.answered_at is None else self.answered_at
        self.counts.record(self.cell, failed, answered_at - self.written_at)

    def discard(self) -> None:
        """Leave the attempt out: it did not run, or its caller left."""
        self.ended = True
