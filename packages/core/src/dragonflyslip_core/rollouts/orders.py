"""Orders of operators to move the traffic of a service to another version."""

import collections.abc
import dataclasses

from dragonflyslip_core import feeds

# An order that a store of a newer era lacks is kept for this time: operators
# write their records again after the store has come back from an older copy.
MISSING_GRACE_S = 30.0


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to targets of one version.

    :param duration_s: seconds after the order within which it must end.
    :param position: position of its record; a later record is a later order.
    """

    service: str
    version: str
    duration_s: float
    position: feeds.Position

    def has_same_content(self, other: 'RolloutOrder') -> bool:
        """Return whether both ask for the same version and duration."""
        return (
            self.service == other.service
            and self.version == other.version
            and self.duration_s == other.duration_s
        )


def is_same_order(
    known: RolloutOrder, newer: RolloutOrder, first_in_era: bool
) -> bool:
    """Return whether a record repeats an order after a change of era.

    :param known: the order of the last record from before ``newer``.
    :param first_in_era: whether ``newer`` is the first record of its key in
        its era.
    """
    return (
        first_in_era
        and newer.position.era > known.position.era
        and newer.has_same_content(known)
    )


@dataclasses.dataclass(frozen=True)
class KnownOrder:
    """The newest order of a service that an entry has read.

    :param order: with the position of the first record that stated it.
    :param newest: position of the newest record of the key.
    :param seen_at: when the order was first read, monotonic seconds.
    :param first_in_era: whether no earlier record of the key is known in the
        era of ``order``.
    :param withdrawn: whether the record was deleted.
    :param missing_since: since when a store of a newer era lacks the record.
    """

    order: RolloutOrder
    newest: feeds.Position
    seen_at: float
    first_in_era: bool
    withdrawn: bool = False
    missing_since: float | None = None


class OrderTable:
    """The newest order of each service, as read by one entry.

    Times are monotonic seconds.

    :ivar through: position up to which the orders were read, None at first.
    """

    def __init__(self):
        self.through: feeds.Position | None = None
        self._era_seen_at = float('-inf')
        self._known: dict[str, KnownOrder] = {}

    def of(self, service: str) -> KnownOrder | None:
        """Return the newest order of a service, None if none is known."""
        return self._known.get(service)

    def put(self, order: RolloutOrder, now: float) -> bool:
        """Apply the record of an order; return whether it is a new order.

        A record that merely repeats the known order after a change of era
        keeps the identity and the start of that order.
        """
        known = self._known.get(order.service)
        self.advance(order.position, now)
        if known is None:
            self._known[order.service] = KnownOrder(
                order, order.position, now, first_in_era=True
            )
            return True
        if order.position <= known.newest:
            return False
        first_in_era = order.position.era > known.newest.era
        if not known.withdrawn and is_same_order(
            known.order, order, first_in_era
        ):
            self._known[order.service] = dataclasses.replace(
                known, newest=order.position, missing_since=None
            )
            return False
        self._known[order.service] = KnownOrder(
            order, order.position, now, first_in_era
        )
        return True

    def delete(
        self, service: str, position: feeds.Position, now: float
    ) -> bool:
        """Apply the deletion of a record; return whether it withdraws one."""
        self.advance(position, now)
        known = self._known.get(service)
        if known is None or known.withdrawn or position <= known.newest:
            return False
        self._withdraw(service, position)
        return True

    def replace(
        self,
        orders: collections.abc.Iterable[RolloutOrder],
        through: feeds.Position,
        now: float,
    ) -> list[str]:
        """Apply a complete list of the orders.

        :param through: position up to which the list was read.
        :return: services whose order is new or withdrawn.
        """
        self.advance(through, now)
        listed = {order.service: order for order in orders}
        changed = [
            order.service for order in listed.values() if self.put(order, now)
        ]
        for service, known in list(self._known.items()):
            if service in listed or known.withdrawn:
                continue
            if through.era == known.newest.era:
                self._withdraw(service, through)
                changed.append(service)
            elif known.missing_since is None:
                self._known[service] = dataclasses.replace(
                    known, missing_since=now
                )
        return changed

    def advance(self, through: feeds.Position, now: float) -> None:
        """Record up to which position the orders were read."""
        if self.through is None or through.era > self.through.era:
            self._era_seen_at = now
        if self.through is None or through > self.through:
            self.through = through

    def expire(self, now: float) -> list[str]:
        """Withdraw the orders that did not appear again in a newer era.

        :return: their services.
        """
        expired = [
            service
            for service, known in self._known.items()
            if known.missing_since is not None
            and now - known.missing_since >= MISSING_GRACE_S
        ]
        for service in expired:
            self._withdraw(service, self.through)
        return expired

    def is_withdrawn(self, order: RolloutOrder, now: float) -> bool:
        """Return whether an order of which no record is known was deleted.

        It may also be later than what this entry has read, or lost by a store
        that came back older.

        :param order: the order of a decision.
        """
        if self.through is None or order.position >= self.through:
            return False
        return (
            order.position.era == self.through.era
            or now - self._era_seen_at >= MISSING_GRACE_S
        )

    def _withdraw(self, service: str, position: feeds.Position) -> None:
        self._known[service] = dataclasses.replace(
            self._known[service],
            newest=position,
            withdrawn=True,
            missing_since=None,
        )
