"""What each entry counts during a rollout, and its reports to candidates.

The counts of an entry are cumulative since the order. A report holds the
cells that changed since the candidate last acknowledged one, so a lost report
is made good by the next.
"""

import dataclasses
import typing

from dragonflyslip_core import errors
from dragonflyslip_core import feeds
from dragonflyslip_core.rollouts import cells as cell_types
from dragonflyslip_core.rollouts import stages

# Time between two reports of an entry, which it also sends without changes.
REPORT_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Report:
    """Counts and state of one entry in a rollout.

    :param reporter: name of the entry.
    :param incarnation: number that identifies its process.
    :param order: position of the order.
    :param sequence: number of the report, from 1 in each incarnation.
    :param since: the report contains all cells that changed after the report
        with this sequence.
    :param stage: stage in force at the entry; ``HELD`` while it holds back
        requests of the version for any reason.
    :param unfinished_old: its requests in flight at targets of other versions
        than that of the order.
    :param requests: requests of the service that reached it since the order,
        whether or not they were refused.
    """

    reporter: str
    incarnation: int
    order: feeds.Position
    sequence: int
    since: int
    stage: stages.Stage
    unfinished_old: int
    requests: int
    cells: cell_types.Cells

    def compact(self) -> 'CompactReport':
        """Return the report in the form in which it is sent."""
        routes: dict[str, int] = {}
        targets: dict[str, int] = {}
        rows = []
        for key, counts in self.cells.items():
            route = routes.setdefault(key.route, len(routes))
            target = 0
            if key.target is not None:
                target = 1 + targets.setdefault(key.target, len(targets))
            rows.append((int(key.stage), route, target, *counts.to_row()))
        return CompactReport(
            self.reporter,
            self.incarnation,
            self.order,
            self.sequence,
            self.since,
            self.stage,
            self.unfinished_old,
            self.requests,
            tuple(routes),
            tuple(targets),
            tuple(rows),
        )


class CompactReport(typing.NamedTuple):
    """A report as it is sent; names occur once.

    The first fields are those of :class:`Report`.

    :param rows: for each cell its stage, the index of its route, 0 or one
        more than the index of its target, and the row of its counts.
    """

    reporter: str
    incarnation: int
    order: feeds.Position
    sequence: int
    since: int
    stage: int
    unfinished_old: int
    requests: int
    routes: tuple[str, ...]
    targets: tuple[str, ...]
    rows: tuple[tuple[int, ...], ...]

    def expand(self) -> Report:
        """Return the report.

        :raises errors.RecordError: if a row is malformed.
        """
        try:
            cells = dict(self._expand_row(row) for row in self.rows)
            stage = stages.Stage(self.stage)
        except (IndexError, ValueError) as error:
            raise errors.RecordError(
                f'malformed rollout report: {error}'
            ) from error
        return Report(
            self.reporter,
            self.incarnation,
            self.order,
            self.sequence,
            self.since,
            stage,
            self.unfinished_old,
            self.requests,
            cells,
        )

    def _expand_row(
        self, row: tuple[int, ...]
    ) -> tuple[cell_types.CellKey, cell_types.Counts]:
        stage, route, target, *counts = row
        if min(route, target) < 0:
            raise ValueError('negative index')
        key = cell_types.CellKey(
            stages.Stage(stage),
            self.routes[route],
            self.targets[target - 1] if target else None,
        )
        return key, cell_types.Counts.from_row(counts)


@dataclasses.dataclass(slots=True)
class _Cell:
    counts: cell_types.Counts
    changed_in: int


class ReportCounter:
    """Counts the responses of one entry during one rollout.

    :param reporter: name of the entry.
    :param incarnation: number that identifies its process.
    :param order: position of the order.
    """

    def __init__(self, reporter: str, incarnation: int, order: feeds.Position):
        self.reporter = reporter
        self.incarnation = incarnation
        self.order = order
        self.sequence = 0
        self.requests = 0
        self._cells: dict[cell_types.CellKey, _Cell] = {}

    def record_request(self) -> None:
        """Count a request that reached the service, whatever becomes of it."""
        self.requests += 1

    def record(
        self, key: cell_types.CellKey, failed: bool, took_s: float
    ) -> None:
        """Count the end of the first attempt of a request.

        Only requests of the groups ``NEW`` and ``CONTROL`` are counted. A
        failure is a response that is one, a response that is cut or late
        beyond the route's timeout, or a connection lost after the write.
        Not counted are refusals that state that the request did not run, and
        requests whose callers left. An attempt that was cancelled because
        another one was faster counts with its time until then.

        :param key: with the stage in force when the request was assigned.
        :param took_s: seconds from the write of the request to the first
            byte of the response.
        """
        cell = self._cells.get(key)
        if cell is None:
            cell = self._cells[key] = _Cell(cell_types.Counts(), 0)
        cell.counts.record(failed, took_s)
        cell.changed_in = self.sequence + 1

    def report(
        self, since: int, stage: stages.Stage, unfinished_old: int
    ) -> Report:
        """Return the next report for one candidate.

        :param since: newest sequence that this candidate acknowledged, 0
            before the first.
        """
        self.sequence += 1
        return Report(
            self.reporter,
            self.incarnation,
            self.order,
            self.sequence,
            since,
            stage,
            unfinished_old,
            self.requests,
            {
                key: cell.counts.copy()
                for key, cell in self._cells.items()
                if cell.changed_in > since
            },
        )
