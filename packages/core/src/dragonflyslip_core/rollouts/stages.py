"""Stages of a rollout, and when each may begin and end.

Times are seconds since the order. The plan keeps the requests to a version
that is found bad in the last but one stage below a tenth of all requests:
0.45 x 8 % + 0.08 x 25 % + 0.08 x 50 % is 9.6 %.
"""

import dataclasses
import enum

# The plan keeps the requests to a bad version below this share of all.
PLANNED_EXPOSURE_SHARE = 0.1
# A decision is in force everywhere after about 0.6 s; a shorter stage would
# begin at some entries only.
MIN_STAGE_S = 0.6
# Until this fraction of the duration, the first stage waits until several
# targets are warm. Later it begins with fewer.
FIRST_STAGE_WAIT_FRACTION = 0.2
# Longest watch over the last stage. What was bad under load showed up before,
# and a fault that begins late is diluted by all responses since the stage
# began.
MAX_LAST_STAGE_S = 4.0
# Time that an end needs: the decision is appended, is in force, and the status
# is written. In a short rollout it is a fraction of the duration.
END_NEEDS_S = 1.0
END_NEEDS_FRACTION = 0.12


class Stage(enum.IntEnum):
    """How far a rollout is.

    ``HELD`` sends nothing to the version, ``LAST`` sends all.
    """

    HELD = 0
    SHARE_8 = 1
    SHARE_25 = 2
    SHARE_50 = 3
    LAST = 4
    SUCCEEDED = 5
    ROLLED_BACK = 6

    @property
    def share(self) -> float:
        """The fraction of the requests that goes to the version."""
        return _SHARES[self]

    @property
    def is_final(self) -> bool:
        """Whether the rollout has ended."""
        return self >= Stage.SUCCEEDED

    @property
    def is_partial(self) -> bool:
        """Whether the version gets some requests, and others are control."""
        return Stage.HELD < self < Stage.LAST


_SHARES = {
    Stage.HELD: 0.0,
    Stage.SHARE_8: 0.08,
    Stage.SHARE_25: 0.25,
    Stage.SHARE_50: 0.5,
    Stage.LAST: 1.0,
    Stage.SUCCEEDED: 1.0,
    Stage.ROLLED_BACK: 0.0,
}


def share_within(stage: Stage, exposure_share: float) -> float:
    """Return the share of a stage under a setting.

    The shares of partial stages shrink in proportion to a setting below that
    of the plan. A larger one leaves them as they are.

    :param exposure_share: share of all requests that a bad version may get.
    """
    if not stage.is_partial:
        return stage.share
    return stage.share * min(1.0, exposure_share / PLANNED_EXPOSURE_SHARE)


@dataclasses.dataclass(frozen=True)
class Step:
    """Plan of a stage, as fractions of the duration.

    :param ends: planned end.
    :param lasts: shortest time in the stage if it began late.
    :param latest: end of a stage that began late or waits for evidence; it
        leaves time for those that follow.
    :param slots: usable slots of the version that it needs, as a fraction of
        those of the old versions.
    """

    ends: float
    lasts: float
    latest: float
    slots: float


STEPS = {
    Stage.SHARE_8: Step(ends=0.45, lasts=0.12, latest=0.66, slots=0.08),
    Stage.SHARE_25: Step(ends=0.53, lasts=0.06, latest=0.72, slots=0.25),
    Stage.SHARE_50: Step(ends=0.61, lasts=0.06, latest=0.78, slots=0.8),
    Stage.LAST: Step(ends=0.73, lasts=0.06, latest=0.84, slots=0.8),
}


def earliest_end_s(stage: Stage, entered_s: float, duration_s: float) -> float:
    """Return when a stage may end at the earliest.

    :param entered_s: when it began.
    """
    step = STEPS[stage]
    late_s = min(entered_s + step.lasts * duration_s, step.latest * duration_s)
    ends_s = max(step.ends * duration_s, late_s)
    if stage is Stage.LAST:
        ends_s = min(ends_s, entered_s + MAX_LAST_STAGE_S)
    return max(ends_s, entered_s + MIN_STAGE_S)


def latest_end_s(stage: Stage, duration_s: float) -> float:
    """Return until when a stage may wait for evidence."""
    return STEPS[stage].latest * duration_s


def rollback_s(duration_s: float) -> float:
    """Return when a rollout that has not succeeded is rolled back.

    Both its end and the status are then in force within the duration.
    """
    return duration_s - min(END_NEEDS_S, END_NEEDS_FRACTION * duration_s)


def has_capacity(stage: Stage, new_slots: int, old_slots: int) -> bool:
    """Return whether a version has enough slots for a stage.

    :param new_slots: slots of its usable warm targets.
    :param old_slots: slots of the usable targets of the old versions.
    """
    return new_slots > 0 and new_slots >= STEPS[stage].slots * old_slots
