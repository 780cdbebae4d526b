"""Operators' orders of rollouts, and the status that a rollout reports."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An order to move the requests of a service to one version.

    :param duration_s: seconds from the order to the end of the rollout.
    """

    service: str
    target_version: str
    duration_s: float


@dataclasses.dataclass(frozen=True)
class PlacedOrder:
    """An order and its place in the feed.

    :param position: offset of its record; a later order has a higher one.
    """

    order: RolloutOrder
    position: int


class RolloutState(enum.StrEnum):
    """Whether a rollout is running, and how it ended."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """What the platform is told of the rollout of a service."""

    service: str
    state: RolloutState
    target_version: str
