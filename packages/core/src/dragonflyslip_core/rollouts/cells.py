"""Counts of responses by which a version is compared with the old ones."""

import bisect
import collections.abc
import dataclasses
import enum
import math
import random
import typing

from dragonflyslip_core.rollouts import stages

# Response times are counted in buckets. Bucket 0 ends at the lower bound, the
# last one has no end.
FIRST_BOUND_S = 0.001
BUCKET_FACTOR = math.sqrt(2.0)
MAX_BOUND_S = 64.0
_BOUNDS_S = [
    FIRST_BOUND_S * BUCKET_FACTOR**exponent
    for exponent in range(
        round(math.log(MAX_BOUND_S / FIRST_BOUND_S, BUCKET_FACTOR)) + 1
    )
]
BUCKET_COUNT = len(_BOUNDS_S) + 1
# Requests in the control group, at most, for each request to the new version.
# With all others as control, a fault that no control request shares needs 5
# bad responses at a share of 8 %; with as many as new ones it needs 16.
CONTROL_PER_NEW = 12.0


class Group(enum.Enum):
    """Group of a request for the comparison; assigned to it once."""

    NEW = 'new'
    CONTROL = 'control'
    NONE = 'none'


def draw_group(share: float, rng: random.Random) -> Group:
    """Draw the group of a request.

    The group depends on nothing else, so new and control requests come from
    the same times, entries and routes. No request is saved up for later.

    :param share: fraction of the requests that go to the new version.
    """
    if share <= 0.0:
        return Group.NONE
    number = rng.random()
    if number < share:
        return Group.NEW
    if number < share * (1.0 + CONTROL_PER_NEW):
        return Group.CONTROL
    return Group.NONE


def bucket_of(took_s: float) -> int:
    """Return the bucket of a response time.

    >>> bucket_of(0.0), bucket_of(0.001), bucket_of(1000.0)
    (0, 1, 33)
    """
    return bisect.bisect_right(_BOUNDS_S, took_s)


class CellKey(typing.NamedTuple):
    """What one cell counts.

    :param target: id of the target at the new version; None for the control
        group, which is not counted by target.
    """

    stage: stages.Stage
    route: str
    target: str | None


@dataclasses.dataclass(slots=True)
class Counts:
    """Responses of one cell.

    :param failures: responses that are failures; they have no time.
    :param buckets: other responses by bucket of their response time.
    """

    failures: int = 0
    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKET_COUNT
    )

    @property
    def successes(self) -> int:
        """Number of responses that are no failures."""
        return sum(self.buckets)

    @property
    def responses(self) -> int:
        """Number of all responses."""
        return self.failures + sum(self.buckets)

    def record(self, failed: bool, took_s: float) -> None:
        """Count one response."""
        if failed:
            self.failures += 1
        else:
            self.buckets[bucket_of(took_s)] += 1

    def add(self, other: 'Counts', sign: int = 1) -> None:
        """Add the counts of another cell, or subtract them.

        :param sign: 1 or -1.
        """
        self.failures += sign * other.failures
        self.buckets = [
            own + sign * more
            for own, more in zip(self.buckets, other.buckets, strict=True)
        ]

    def to_row(self) -> 'Row':
        """Return the counts in the form in which they are sent and kept."""
        used = [bucket for bucket, count in enumerate(self.buckets) if count]
        if not used:
            return (self.failures, 0)
        first, last = used[0], used[-1]
        return (self.failures, first, *self.buckets[first : last + 1])

    @classmethod
    def from_row(cls, row: 'Row') -> 'Counts':
        """Return the counts of a row.

        :raises ValueError: if it is malformed.
        """
        failures, first, *used = row
        unused = BUCKET_COUNT - first - len(used)
        if min(failures, first, unused, *used) < 0:
            raise ValueError('number out of range')
        return cls(failures, [0] * first + used + [0] * unused)

    def copy(self) -> 'Counts':
        """Return an independent copy."""
        return Counts(self.failures, self.buckets.copy())


# Failures, first bucket in use, and the counts from it through the last one in
# use. A candidate keeps one for each cell of each entry.
Row = tuple[int, ...]
Cells = collections.abc.Mapping[CellKey, Counts]
