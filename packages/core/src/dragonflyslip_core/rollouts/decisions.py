"""Decisions about rollouts, and how an entry merges those that it reads.

All entries follow the decisions in the log in which they register. A decision
is appended on condition that the log ends where its decider's copy ends, so
two deciders that act at once cannot both append. After the store has come
back older, decisions may still appear twice or with different content.
"""

import collections.abc
import dataclasses
import enum

from dragonflyslip_core import feeds
from dragonflyslip_core.rollouts import orders
from dragonflyslip_core.rollouts import stages

# Versions that a decision excludes at most; the oldest are dropped first.
MAX_SUPERSEDED = 16


class Reason(enum.StrEnum):
    """Why a decision was made."""

    ORDERED = 'ordered'
    ENOUGH_EVIDENCE = 'enough-evidence'
    LITTLE_TRAFFIC = 'little-traffic'
    NO_OLD_TARGET = 'no-old-target'
    CONFIRMED = 'confirmed'
    MORE_FAILURES = 'more-failures'
    SLOWER = 'slower'
    WITHDRAWN = 'withdrawn'
    NO_TARGET = 'no-target'
    NO_TIME = 'no-time'


class RolloutState(enum.StrEnum):
    """State of a rollout as operators see it."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """What is published about the rollout of a service."""

    service: str
    version: str
    state: RolloutState


@dataclasses.dataclass(frozen=True)
class Figures:
    """Counts by which a decision was made.

    :param slow: responses slower than the bound of the judge.
    :param likelihood_log10: strongest likelihood ratio for a bad version.
    :param route: the route to which it belongs, '' for all together.
    """

    new_responses: int = 0
    new_failures: int = 0
    new_slow: int = 0
    control_responses: int = 0
    control_failures: int = 0
    control_slow: int = 0
    likelihood_log10: float = 0.0
    route: str = ''


@dataclasses.dataclass(frozen=True)
class Decision:
    """One step of a rollout.

    :param number: incremented by one with each decision of an order.
    :param superseded: versions that get no requests, oldest first: those
        replaced by earlier rollouts or by this one, and those rolled back.
    :param decider: name of the entry that decided.
    :param since_order_s: seconds from the order to the decision.
    :param replaced: position of the order before this one, None if the
        decider knew of none. It tells a new order from a repeated record
        of an old one after a change of era.
    :param share_limit: largest share of a partial stage.
    """

    order: orders.RolloutOrder
    number: int
    stage: stages.Stage
    superseded: tuple[str, ...]
    reason: Reason
    figures: Figures
    decider: str
    since_order_s: float
    replaced: feeds.Position | None = None
    share_limit: float = 1.0

    @property
    def share(self) -> float:
        """The fraction of the requests that goes to the version."""
        if self.stage.is_partial:
            return min(self.stage.share, self.share_limit)
        return self.stage.share

    @property
    def status(self) -> RolloutStatus:
        """The status that follows from the decision."""
        state = RolloutState.RUNNING
        if self.stage is stages.Stage.SUCCEEDED:
            state = RolloutState.SUCCEEDED
        elif self.stage is stages.Stage.ROLLED_BACK:
            state = RolloutState.ROLLED_BACK
        return RolloutStatus(self.order.service, self.order.version, state)

    def concerns(self, order: orders.RolloutOrder, first_in_era: bool) -> bool:
        """Return whether the decision belongs to an order.

        :param first_in_era: whether no record of the key before ``order`` is
            known in its era.
        """
        own = self.order
        if own.position == order.position:
            return True
        if own.position < order.position:
            return orders.is_same_order(own, order, first_in_era)
        knew_order = (
            self.replaced is not None and self.replaced >= order.position
        )
        return orders.is_same_order(order, own, not knew_order)

    def replaces(self, held: 'Decision') -> bool:
        """Return whether an entry that holds ``held`` adopts this decision.

        Within an order, a higher number wins, but only a running rollout is
        continued. ``SUCCEEDED`` wins over ``ROLLED_BACK``, since the old
        targets are stopped as soon as it is published; both can only be
        decided if the store lost one of them.
        """
        if self.is_of_order_of(held):
            return self._precedence > held._precedence
        return self.order.position > held.order.position

    def is_equal_to(self, held: 'Decision') -> bool:
        """Return whether neither of two decisions precedes the other."""
        return (
            self.is_of_order_of(held) and self._precedence == held._precedence
        )

    def is_of_order_of(self, other: 'Decision') -> bool:
        """Return whether two decisions belong to the same order."""
        older, newer = sorted((self, other), key=lambda d: d.order.position)
        return newer.concerns(older.order, first_in_era=True)

    @property
    def _precedence(self) -> tuple[int, int]:
        finality = {
            stages.Stage.ROLLED_BACK: 1,
            stages.Stage.SUCCEEDED: 2,
        }
        return finality.get(self.stage, 0), self.number


@dataclasses.dataclass(frozen=True)
class HeldDecision:
    """The decision about a service that is in force at an entry.

    :param position: position of its first record in the log.
    :param seen_at: when it was read, monotonic seconds.
    :param ordered_at: earliest known time of the order, monotonic seconds.
    """

    decision: Decision
    position: feeds.Position
    seen_at: float
    ordered_at: float


class DecisionTable:
    """The decision in force for each service, at one entry."""

    def __init__(self):
        self._held: dict[str, HeldDecision] = {}
        # The newest record of each key, which is all that a new entry reads.
        self._logged: dict[str, tuple[feeds.Position, Decision]] = {}

    def of(self, service: str) -> HeldDecision | None:
        """Return the decision in force for a service, None without any."""
        return self._held.get(service)

    def merge(
        self, decision: Decision, position: feeds.Position, now: float
    ) -> bool:
        """Apply a record of the log; return whether it is now in force.

        Records may arrive late and repeatedly. At equal numbers, the first
        record in the log wins.
        """
        service = decision.order.service
        logged = self._logged.get(service)
        if logged is None or position >= logged[0]:
            self._logged[service] = position, decision
        held = self._held.get(service)
        if held is not None and not _takes_precedence(
            decision, position, held
        ):
            return False
        ordered_at = now - decision.since_order_s
        if held is not None and decision.is_of_order_of(held.decision):
            ordered_at = min(ordered_at, held.ordered_at)
        self._held[service] = HeldDecision(decision, position, now, ordered_at)
        return True

    def replace(
        self,
        records: collections.abc.Iterable[tuple[Decision, feeds.Position]],
        now: float,
    ) -> list[str]:
        """Apply a complete list of the records.

        Decisions that it lacks stay in force: the store may have lost them.

        :return: services whose decision changed.
        """
        self._logged.clear()
        return [
            decision.order.service
            for decision, position in records
            if self.merge(decision, position, now)
        ]

    def unlogged(self) -> list[Decision]:
        """Return decisions in force that the log does not hold any more.

        A candidate appends them again, so that entries that read only the
        newest record of each key learn of them. The number is raised where
        the log holds another decision with this number or a higher one.
        """
        found = []
        for service, held in self._held.items():
            decision = held.decision
            _, logged = self._logged.get(service, (None, None))
            if logged == decision:
                continue
            if (
                logged is not None
                and logged.is_of_order_of(decision)
                and logged.number >= decision.number
            ):
                decision = dataclasses.replace(
                    decision, number=logged.number + 1
                )
            found.append(decision)
        return found


def _takes_precedence(
    decision: Decision, position: feeds.Position, held: HeldDecision
) -> bool:
    if decision.is_equal_to(held.decision):
        return position < held.position
    return decision.replaces(held.decision)
