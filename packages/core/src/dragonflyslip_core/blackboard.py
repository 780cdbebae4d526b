"""The state that all controllers of one entry share."""

import collections
import dataclasses
import typing

from dragonflyslip_core import targets as target_types


@dataclasses.dataclass
class Blackboard:
    """Shared state of one entry.

    Controllers read and write it and never call one another. Each field is
    written by one controller, named in ``docs/design.md`` section 5.

    :param config: the folded configuration, a ``config.ConfigState``.
    :param freshness: age of that configuration, a ``config.Freshness``.
    :param membership: the entries, a ``membership.Membership``.
    :param targets: what is known of each target, by instance id.
    :param service_targets: the same states by service.
    :param claims: claims read from the log, a ``claims.ClaimTable``.
    :param suspects: requests that crash targets, a
        ``suspects.SuspectTable``.
    :param counters: counts by metric name without the common prefix.
    """

    config: typing.Any = None
    freshness: typing.Any = None
    membership: typing.Any = None
    targets: dict[str, target_types.TargetState] = dataclasses.field(
        default_factory=dict
    )
    service_targets: dict[str, list[target_types.TargetState]] = (
        dataclasses.field(default_factory=dict)
    )
    claims: typing.Any = None
    suspects: typing.Any = None
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] += amount
