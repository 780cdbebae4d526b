"""The state that all controllers of one entry share."""

import collections
import dataclasses

from dragonflyslip_core import claims as claim_types
from dragonflyslip_core import config as config_types
from dragonflyslip_core import freshness as freshness_types
from dragonflyslip_core import membership as membership_types
from dragonflyslip_core import suspects as suspect_types
from dragonflyslip_core import targets as target_types


@dataclasses.dataclass
class Blackboard:
    """Shared state of one entry.

    Controllers read and write it instead of each other's state. Each field
    is written by one controller.

    :param config: the folded configuration, None before it was read.
    :param freshness: how current that configuration is.
    :param membership: the entries.
    :param targets: what is known of each target, by instance id.
    :param service_targets: the same states by service.
    :param claims: claims read from the log, None before they were read.
    :param suspects: requests that crash targets.
    :param counters: counts by metric name without the common prefix.
    """

    config: config_types.ConfigState | None = None
    freshness: freshness_types.Freshness | None = None
    membership: membership_types.Membership | None = None
    targets: dict[str, target_types.TargetState] = dataclasses.field(
        default_factory=dict
    )
    service_targets: dict[str, list[target_types.TargetState]] = (
        dataclasses.field(default_factory=dict)
    )
    claims: claim_types.ClaimTable | None = None
    suspects: suspect_types.SuspectTable | None = None
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] += amount
