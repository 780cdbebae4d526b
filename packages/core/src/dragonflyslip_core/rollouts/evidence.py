"""What a candidate knows of a rollout, merged from the reports of all entries.

Reports may arrive late, repeatedly, in any order and through other
candidates. Within an incarnation counts only grow, so the larger counts of a
cell are the newer ones.
"""

import collections.abc
import dataclasses

from dragonflyslip_core import feeds
from dragonflyslip_core.rollouts import cells as cell_types
from dragonflyslip_core.rollouts import reports
from dragonflyslip_core.rollouts import stages

# An entry counts as heard if its last report arrived within this time, which
# is that of six reports.
HEARD_S = 1.5

# Name and incarnation of a reporter.
ReporterKey = tuple[str, int]


@dataclasses.dataclass
class _Reporter:
    """What one incarnation of an entry reported.

    :param newest: newest report.
    :param complete_through: sequence up to which no changed cell is missing.
    :param cells: its cells, each with the sequence that changed it here.
    """

    newest: reports.Report
    heard_at: float
    complete_through: int
    cells: dict[cell_types.CellKey, tuple[int, cell_types.Row]]


class EvidenceTable:
    """Merged reports about one order, at one candidate.

    Times are monotonic seconds.

    :param order: position of the order; other reports are ignored.
    :ivar totals: counts of all entries by cell.
    """

    def __init__(self, order: feeds.Position):
        self.order = order
        self.totals: dict[cell_types.CellKey, cell_types.Counts] = {}
        self._reporters: dict[ReporterKey, _Reporter] = {}
        # Incarnations have no order; the one heard last is the running one.
        self._last_heard: dict[str, int] = {}

    def merge(self, report: reports.Report, now: float) -> bool:
        """Apply a report; return whether it was new."""
        if report.order != self.order:
            return False
        key = report.reporter, report.incarnation
        known = self._reporters.get(key)
        if known is None:
            known = self._reporters[key] = _Reporter(report, now, 0, {})
            self._last_heard[report.reporter] = report.incarnation
        elif report.sequence > known.newest.sequence:
            known.newest = report
            known.heard_at = now
            self._last_heard[report.reporter] = report.incarnation
        elif report.sequence <= known.complete_through:
            return False
        if report.since <= known.complete_through:
            known.complete_through = max(
                known.complete_through, report.sequence
            )
        for cell, counts in report.cells.items():
            self._merge_cell(known, cell, counts, report.sequence)
        return True

    def _merge_cell(
        self,
        known: _Reporter,
        key: cell_types.CellKey,
        counts: cell_types.Counts,
        sequence: int,
    ) -> None:
        _, row = known.cells.get(key, (0, None))
        old = None if row is None else cell_types.Counts.from_row(row)
        if old is not None and counts.responses <= old.responses:
            return
        known.cells[key] = sequence, counts.to_row()
        total = self.totals.setdefault(key, cell_types.Counts())
        total.add(counts)
        if old is not None:
            total.add(old, -1)

    def acknowledged(self, reporter: str, incarnation: int) -> int:
        """Return the sequence through which a process's cells are known."""
        known = self._reporters.get((reporter, incarnation))
        return 0 if known is None else known.complete_through

    def acknowledgements(self) -> dict[ReporterKey, int]:
        """Return :meth:`acknowledged` of each process, for a forwarder."""
        return {
            key: known.complete_through
            for key, known in self._reporters.items()
        }

    def forward(
        self, acknowledged: collections.abc.Mapping[ReporterKey, int]
    ) -> list[reports.Report]:
        """Return reports of what another candidate does not know yet.

        :param acknowledged: its :meth:`acknowledgements`.
        """
        return [
            dataclasses.replace(
                known.newest,
                since=acknowledged.get(key, 0),
                cells={
                    cell: cell_types.Counts.from_row(row)
                    for cell, (sequence, row) in known.cells.items()
                    if sequence > acknowledged.get(key, 0)
                },
            )
            for key, known in self._reporters.items()
            if known.complete_through > acknowledged.get(key, 0)
            and known.complete_through >= known.newest.sequence
        ]

    @property
    def requests(self) -> int:
        """Requests of the service that reached any entry since the order."""
        return sum(known.newest.requests for known in self._reporters.values())

    def heard(self, now: float) -> int:
        """Return how many entries have reported recently."""
        return sum(now - known.heard_at <= HEARD_S for known in self._newest())

    def unconfirmed(
        self,
        stage: stages.Stage,
        now: float,
        silence_s: float,
        gone: collections.abc.Set[str] = frozenset(),
    ) -> list[str]:
        """Return names of entries that may still use old versions.

        These are those that reported and whose newest report does not state
        the stage and no unfinished request at an old version.

        :param stage: ``LAST`` or ``SUCCEEDED``, which includes ``LAST``.
        :param silence_s: an entry that was silent for longer is left out.
        :param gone: entries that are known to have ended.
        """
        confirming = {stage, stages.Stage.SUCCEEDED}
        return [
            known.newest.reporter
            for known in self._newest()
            if now - known.heard_at <= silence_s
            and known.newest.reporter not in gone
            and (
                known.newest.stage not in confirming
                or known.newest.unfinished_old > 0
            )
        ]

    @property
    def reporters(self) -> collections.abc.Set[str]:
        """Names of all entries that have reported."""
        return self._last_heard.keys()

    def _newest(self) -> collections.abc.Iterator[_Reporter]:
        for key in self._last_heard.items():
            yield self._reporters[key]
