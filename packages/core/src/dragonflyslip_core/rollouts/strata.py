"""Evidence divided by stage and route, as the judge compares it."""

import collections
import collections.abc
import dataclasses
import enum
import functools
import typing

from dragonflyslip_core.rollouts import cells as cell_types
from dragonflyslip_core.rollouts import decisions
from dragonflyslip_core.rollouts import stages

# A response is slow from this many buckets after the bucket of the control's
# median: a factor of 2.8 between the middles of the buckets.
SLOW_BUCKETS = 3
# Responses of the control group that make its median usable.
MIN_MEDIAN_RESPONSES = 20


class Kind(enum.Enum):
    """What is wrong with a response; the value is the decision's reason."""

    FAILURES = decisions.Reason.MORE_FAILURES
    SLOW = decisions.Reason.SLOWER


class Sample(typing.NamedTuple):
    """Bad responses of one kind, and all responses."""

    bad: int
    total: int


EMPTY = Sample(0, 0)


def total_of(samples: collections.abc.Iterable[Sample]) -> Sample:
    """Return the sum of samples."""
    bad = total = 0
    for sample in samples:
        bad += sample.bad
        total += sample.total
    return Sample(bad, total)


@dataclasses.dataclass(frozen=True)
class Stratum:
    """Both groups in one stage and on one route.

    :param is_last: whether it is the last stage, whose control is that of all
        stages before it.
    :param targets: the new group by target.
    """

    route: str
    is_last: bool
    control: Sample
    targets: dict[str, Sample]

    @functools.cached_property
    def all_new(self) -> Sample:
        """The new group."""
        return total_of(self.targets.values())

    def new(self, left_out: collections.abc.Set[str]) -> Sample:
        """Return the new group without some targets."""
        if not left_out:
            return self.all_new
        return total_of(
            sample
            for target, sample in self.targets.items()
            if target not in left_out
        )


Strata = dict[Kind, list[Stratum]]
# Samples of both kinds.
_Samples = tuple[Sample, Sample]
_NO_SAMPLES = (EMPTY, EMPTY)


def stratify(totals: cell_types.Cells) -> Strata:
    """Divide counts by kind of fault, stage and route.

    :param totals: counts of all entries since the order.
    """
    control = _control_by_route(totals)
    medians = {
        route: _median_bucket(counts) for route, counts in control.items()
    }
    controls: dict[tuple[stages.Stage, str], _Samples] = {}
    new: dict[tuple[stages.Stage, str], dict[str, _Samples]] = (
        collections.defaultdict(dict)
    )
    for key, counts in totals.items():
        samples = _samples(counts, medians.get(key.route))
        if key.target is None:
            controls[key.stage, key.route] = samples
        else:
            new[key.stage, key.route][key.target] = samples
    strata: Strata = {kind: [] for kind in Kind}
    for (stage, route), targets in new.items():
        is_last = stage is stages.Stage.LAST
        compared = controls.get((stage, route), _NO_SAMPLES)
        if is_last and route in control:
            compared = _samples(control[route], medians[route])
        for index, kind in enumerate(Kind):
            by_target = {t: samples[index] for t, samples in targets.items()}
            strata[kind].append(
                Stratum(route, is_last, compared[index], by_target)
            )
    return strata


def _control_by_route(
    totals: cell_types.Cells,
) -> dict[str, cell_types.Counts]:
    control: dict[str, cell_types.Counts] = collections.defaultdict(
        cell_types.Counts
    )
    for key, counts in totals.items():
        if key.target is None:
            control[key.route].add(counts)
    return control


def _median_bucket(counts: cell_types.Counts) -> int | None:
    """Return the bucket of the median, None with too few responses."""
    total = counts.successes
    if total < MIN_MEDIAN_RESPONSES:
        return None
    below = 0
    for bucket, count in enumerate(counts.buckets):
        below += count
        if 2 * below >= total:
            return bucket
    return None


def _samples(counts: cell_types.Counts, median: int | None) -> _Samples:
    """Return the failures and the slow responses of a cell.

    Without a median no response counts as slow or fast.
    """
    successes = counts.successes
    failures = Sample(counts.failures, counts.failures + successes)
    if median is None:
        return failures, EMPTY
    slow = sum(counts.buckets[median + SLOW_BUCKETS :])
    return failures, Sample(slow, successes)
