"""The targets of a service by version, and the entries of the fleet."""

import collections.abc
import dataclasses

from dragonflyslip_core.rollouts import orders
from dragonflyslip_core.rollouts import ranking
from dragonflyslip_core.rollouts import rollout as rollout_types

# While the share is small, requests go to few targets, so that each has a
# usual load. With fewer than this, one bad machine is a large part of them.
MIN_SUBSET_TARGETS = 4


@dataclasses.dataclass(frozen=True)
class VersionedTarget:
    """A registered target.

    :param version: '' if it states none, which is a version of its own.
    :param slots: requests that it runs at once.
    :param started_at_ms: start time of its process, Unix ms.
    :param usable: whether it may receive new work: it does not drain or
        leave, and its failure domain is in service.
    :param warm: whether it can take full load.
    """

    target_id: str
    version: str
    slots: int
    failure_domain: str
    started_at_ms: int = 0
    usable: bool = True
    warm: bool = True


Targets = collections.abc.Sequence[VersionedTarget]


@dataclasses.dataclass(frozen=True)
class FleetState:
    """What a decider knows of targets and entries.

    :param new_targets: usable targets of the order's version.
    :param warm_targets: number of those that are warm.
    :param new_slots: slots of those that are warm.
    :param old_slots: slots of the usable targets of old versions.
    :param old_versions: versions that are replaced, oldest first.
    :param entries: names of the registered entries.
    :param gone: names of those that are known to have ended.
    :param longest_timeout_s: longest timeout of the routes of the service.
    """

    new_targets: int
    warm_targets: int
    new_slots: int
    old_slots: int
    old_versions: tuple[str, ...]
    entries: frozenset[str]
    gone: frozenset[str]
    longest_timeout_s: float

    @classmethod
    def from_targets(
        cls,
        rollout: rollout_types.Rollout,
        targets: Targets,
        entries: collections.abc.Set[str],
        gone: collections.abc.Set[str],
        longest_timeout_s: float,
    ) -> 'FleetState':
        """Return the state for a rollout.

        :param targets: all registered targets of the service.
        """
        new = [t for t in targets if t.version == rollout.order.version]
        old = old_targets(rollout, targets)
        return cls(
            sum(t.usable for t in new),
            sum(t.usable and t.warm for t in new),
            sum(t.slots for t in new if t.usable and t.warm),
            sum(t.slots for t in old if t.usable),
            tuple(
                dict.fromkeys(
                    t.version
                    for t in sorted(old, key=lambda t: t.started_at_ms)
                )
            ),
            frozenset(entries),
            frozenset(gone),
            longest_timeout_s,
        )

    @property
    def has_subset(self) -> bool:
        """Whether enough targets are warm to tell a bad one from the rest."""
        return self.warm_targets >= min(MIN_SUBSET_TARGETS, self.new_targets)

    @property
    def has_old(self) -> bool:
        """Whether any target of an old version is registered."""
        return bool(self.old_versions)

    @property
    def running_entries(self) -> frozenset[str]:
        """Names of the entries that are not known to have ended."""
        return self.entries - self.gone


def old_targets(
    rollout: rollout_types.Rollout, targets: Targets
) -> list[VersionedTarget]:
    """Return the targets of the versions that an order replaces."""
    excluded = {rollout.order.version, *rollout.superseded}
    return [t for t in targets if t.version not in excluded]


def subset_for_share(
    rollout: rollout_types.Rollout, targets: Targets
) -> frozenset[str]:
    """Return the ids of the new targets that take the share of a stage.

    They have the fraction of the old slots that the share is of the requests,
    so each is loaded as the old ones usually are, and faults under load show
    up. All entries compute the same targets; a larger share adds to those of
    a smaller one.

    :param targets: all registered targets of the service.
    """
    warm = [
        t
        for t in rank_new_targets(rollout.order, targets)
        if t.usable and t.warm
    ]
    old_slots = sum(t.slots for t in old_targets(rollout, targets) if t.usable)
    wanted = rollout.share * old_slots
    chosen: list[str] = []
    slots = 0
    for target in warm:
        if len(chosen) >= MIN_SUBSET_TARGETS and slots >= wanted:
            break
        chosen.append(target.target_id)
        slots += target.slots
    return frozenset(chosen)


def rank_new_targets(
    order: orders.RolloutOrder, targets: Targets
) -> list[VersionedTarget]:
    """Return the targets of an order's version, those first used first.

    The first ones are in different failure domains.
    """
    new = {t.target_id: t for t in targets if t.version == order.version}
    domains = {name: target.failure_domain for name, target in new.items()}
    key = f'{order.service}/{order.version}'
    return [new[name] for name in ranking.rank_across_domains(key, domains)]
