"""Counts since a recent time, in which a fault that begins late shows up.

In counts since the order, all earlier responses dilute such a fault: bad
responses must make up a fraction of them before it matters.
"""

from dragonflyslip_core.rollouts import cells as cell_types

# Responses of the version after which a new window begins. Two windows
# overlap, so between one and two of them are looked at.
WINDOW_RESPONSES = 50


class EvidenceWindow:
    """The newest part of cumulative counts.

    :ivar number: windows begun so far.
    """

    def __init__(self):
        self.number = 0
        self._start: dict[cell_types.CellKey, cell_types.Counts] = {}
        self._next_start: dict[cell_types.CellKey, cell_types.Counts] = {}
        self._next_begins_at = WINDOW_RESPONSES

    def counts(self, totals: cell_types.Cells) -> cell_types.Cells | None:
        """Return the counts since the window began, None before the first.

        :param totals: counts since the order.
        """
        responses = sum(
            counts.responses
            for key, counts in totals.items()
            if key.target is not None
        )
        if responses >= self._next_begins_at:
            self._begin(totals, responses)
        if self.number < 2:
            return None
        return {
            key: _subtract(counts, self._start.get(key))
            for key, counts in totals.items()
        }

    def _begin(self, totals: cell_types.Cells, responses: int) -> None:
        self.number += 1
        self._start = self._next_start
        self._next_start = {
            key: counts.copy() for key, counts in totals.items()
        }
        self._next_begins_at = responses + WINDOW_RESPONSES


def _subtract(
    counts: cell_types.Counts, earlier: cell_types.Counts | None
) -> cell_types.Counts:
    if earlier is None:
        return counts
    left = counts.copy()
    left.add(earlier, -1)
    return left
