"""Blackboard: the state that all controllers of one entry share."""

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

    Controllers exchange data only through this object and do not access
    each other. Each field is written by exactly one controller.

    :param config: current configuration, None until it has been read.
    :param freshness: how up to date that configuration is.
    :param membership: the known entries and their liveness.
    :param targets: state of each target, by instance id.
    :param service_targets: the same target states, by service.
    :param claims: claims read from the log, None until they have been read.
    :param suspects: requests that are suspected of crashing targets.
    :param counters: values by metric name, without ``dragonflyslip_``.
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
