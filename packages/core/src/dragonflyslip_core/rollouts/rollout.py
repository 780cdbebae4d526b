"""The rollout of a service as one entry knows it.

The order and the decisions come through different logs, so either may be
known before the other.
"""

import dataclasses

from dragonflyslip_core.rollouts import decisions
from dragonflyslip_core.rollouts import orders
from dragonflyslip_core.rollouts import stages


@dataclasses.dataclass(frozen=True)
class Rollout:
    """The newest order of a service and what was decided about it.

    :param ordered_at: earliest known time of the order, monotonic seconds.
    :param decision: newest decision about this order, None without any.
    :param previous: newest decision if it is about an earlier order.
    :param withdrawn: whether the operator deleted the order.
    """

    order: orders.RolloutOrder
    ordered_at: float
    decision: decisions.Decision | None = None
    previous: decisions.Decision | None = None
    withdrawn: bool = False

    @property
    def stage(self) -> stages.Stage:
        """The stage in force; ``HELD`` before the first decision."""
        if self.decision is None:
            return stages.Stage.HELD
        return self.decision.stage

    @property
    def share(self) -> float:
        """The fraction of the requests that the stage in force allows."""
        return 0.0 if self.decision is None else self.decision.share

    @property
    def is_running(self) -> bool:
        """Whether further decisions follow."""
        return not self.stage.is_final

    @property
    def superseded(self) -> tuple[str, ...]:
        """Versions that get no requests, whatever becomes of the order."""
        if self.decision is not None:
            return self.decision.superseded
        if self.previous is None:
            return ()
        previous = self.previous
        excluded = list(previous.superseded)
        # A rollout that was replaced before its end counts as rolled back.
        if previous.stage is not stages.Stage.SUCCEEDED:
            excluded.append(previous.order.version)
        return limit_superseded(excluded, self.order.version)

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the order."""
        return now - self.ordered_at

    def is_over(self, now: float) -> bool:
        """Return whether the duration of the order has passed."""
        return self.elapsed_s(now) >= self.order.duration_s


def limit_superseded(versions: list[str], wanted: str) -> tuple[str, ...]:
    """Return versions without duplicates, for a decision.

    :param versions: oldest first.
    :param wanted: version of the order, which is left out.
    """
    unique = dict.fromkeys(v for v in versions if v != wanted)
    return tuple(unique)[-decisions.MAX_SUPERSEDED :]


def resolve(
    service: str,
    order_table: orders.OrderTable,
    decision_table: decisions.DecisionTable,
    now: float,
) -> Rollout | None:
    """Return the rollout of a service, None if there was no order.

    :param now: monotonic seconds.
    """
    known = order_table.of(service)
    held = decision_table.of(service)
    if held is None:
        if known is None:
            return None
        return Rollout(known.order, known.seen_at, withdrawn=known.withdrawn)
    decision = held.decision
    if known is None:
        withdrawn = order_table.is_withdrawn(decision.order, now)
        return Rollout(
            decision.order, held.ordered_at, decision, withdrawn=withdrawn
        )
    if decision.concerns(known.order, known.first_in_era):
        return Rollout(
            decision.order,
            min(held.ordered_at, known.seen_at),
            decision,
            withdrawn=known.withdrawn,
        )
    if known.order.position > decision.order.position:
        return Rollout(
            known.order,
            known.seen_at,
            previous=decision,
            withdrawn=known.withdrawn,
        )
    return Rollout(decision.order, held.ordered_at, decision)
