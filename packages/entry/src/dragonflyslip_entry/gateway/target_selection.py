"""Chooses a target for a request by probing the load of a few of them.

The flag ``--ask-rate`` limits the probes.
"""

import asyncio

from dragonflyslip_core import directory
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core import placement
from dragonflyslip_core import rollouts
from dragonflyslip_core.rollouts import versions
from dragonflyslip_core import target_limits
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import probing

# Targets probed for one request in one round, and in the first round when the
# probe budget is used up.
PROBES_PER_ROUND = 6
MIN_PROBES_FIRST_ROUND = 2
# Targets of one service that are probed first; all others are probed only if
# these are heavily loaded.
SUBSET_SIZE = 32
# A target with a queue of this length might not answer any further request.
FULL_QUEUE_REQUESTS = 3
# Further rounds probe more targets while the best one costs more than this, in
# units of the usual duration of a request.
ACCEPTABLE_COST = 1.6
MAX_PROBE_ROUNDS = 3
# Cost of sending a request to another failure domain, in units of the usual
# duration of a request.
CROSS_DOMAIN_COST = 0.03
CROSS_DOMAIN_UPLOAD_COST = 0.4


class NoTarget:
    """No target can take the request now.

    :param reason: stable name, such as ``no-target``.
    """

    def __init__(self, reason: str):
        self.reason = reason


class TargetSelector:
    """Probes targets and chooses the cheapest one that answers."""

    def __init__(
        self, board: board_types.GatewayBoard, prober: probing.Prober
    ):
        self.board = board
        self.prober = prober
        self.loop = asyncio.get_running_loop()
        self._subsets: dict[str, frozenset[str]] = {}
        self._subsets_generation = -1

    async def choose(
        self,
        rules: manifest_types.ServiceRules,
        excluded: set[str],
        prefer_local: bool,
        assignment: rollouts.Assignment = versions.UNRESTRICTED,
    ) -> probing.ProbedTarget | NoTarget:
        """Return a target to send to; the caller must release its connection.

        :param excluded: ids of targets that are not probed.
        :param assignment: the targets that the request may use.
        :param prefer_local: whether sending to another failure domain is
            expensive, as for uploads.
        """
        tried = set(excluded)
        probed: list[probing.ProbedTarget] = []
        chosen: probing.ProbedTarget | None = None
        taken: probing.ProbedTarget | None = None
        rounds = 0
        try:
            while batch := (
                self._sample(rules, tried, prefer_local, chosen, assignment)
                + self._sample_limited(rules, tried, rounds, assignment)
            ):
                tried.update(target.target_id for target in batch)
                probed += await self.prober.probe_all(batch, rules.health_path)
                chosen = self._choose_best(probed, prefer_local)
                rounds += 1
                if chosen is not None and (
                    rounds >= MAX_PROBE_ROUNDS or self._is_good(chosen)
                ):
                    break
            taken = chosen or self._choose_fallback(probed, rules)
            if taken is not None:
                taken.assignment = assignment
            return taken or NoTarget(self._reason(rules, probed))
        finally:
            for other in probed:
                if other is not taken:
                    other.pool.give_back(other.connection)

    def _reason(
        self,
        rules: manifest_types.ServiceRules,
        probed: list[probing.ProbedTarget],
    ) -> str:
        """Return why there is no target."""
        if probed:
            return 'targets-busy'
        now = self.loop.time()
        limits = self.board.target_limits
        usable = self.board.directory.usable_targets(rules.name)
        if any(limits.limit(t.target_id, now) is not None for t in usable):
            return 'targets-limited'
        paused = usable and all(
            self.board.standing_of(target.target_id).paused_until > now
            for target in usable
        )
        return 'targets-paused' if paused else 'no-target'

    def _is_good(self, chosen: probing.ProbedTarget) -> bool:
        option = self._option(chosen, False)
        return placement.cost(option, self.loop.time()) <= ACCEPTABLE_COST

    def _sample(
        self,
        rules: manifest_types.ServiceRules,
        tried: set[str],
        prefer_local: bool,
        chosen: probing.ProbedTarget | None,
        assignment: rollouts.Assignment,
    ) -> list[directory.RegisteredTarget]:
        """Return targets to probe.

        Empty if none are left, or in a further round if the probe budget is
        used up.
        """
        now = self.loop.time()
        limits = self.board.target_limits
        candidates = [
            target
            for target in self._usable_targets(rules, assignment)
            if target.target_id not in tried
            and self._may_probe(target.target_id, now)
            and (not limits.has_any or limits.allows(target.target_id, now))
        ]
        warm = [
            target
            for target in candidates
            if self.board.standing_of(target.target_id).cold_until <= now
        ]
        if chosen is None:
            first = self._subset(rules.name)
            preferred = [t for t in warm if t.target_id in first]
            if len(preferred) >= PROBES_PER_ROUND:
                warm = preferred
        min_count = 0 if chosen is not None else MIN_PROBES_FIRST_ROUND
        count = self.board.probe_budget.take(
            min(PROBES_PER_ROUND, len(candidates)),
            min(min_count, len(candidates)),
            len(self.board.directory.targets),
            now,
        )
        return placement.sample(
            warm or candidates,
            self.board.failure_domain,
            count,
            prefer_local,
            self.board.rng,
        )

    def _usable_targets(
        self,
        rules: manifest_types.ServiceRules,
        assignment: rollouts.Assignment,
    ) -> list[directory.RegisteredTarget]:
        """Return the usable targets of a service that a request may use."""
        usable = self.board.directory.usable_targets(rules.name)
        if assignment.targets is None:
            return usable
        return [t for t in usable if t.target_id in assignment.targets]

    def _may_probe(self, target_id: str, now: float) -> bool:
        standing = self.board.standing_of(target_id)
        return max(standing.skip_until, standing.paused_until) <= now

    def _sample_limited(
        self,
        rules: manifest_types.ServiceRules,
        tried: set[str],
        rounds: int,
        assignment: rollouts.Assignment,
    ) -> list[directory.RegisteredTarget]:
        """Return the target whose limit was stated longest ago, if any.

        It gets no request, but its answer shows whether the limit still
        holds. One is probed for each request.
        """
        now = self.loop.time()
        limits = self.board.target_limits
        if rounds > 0 or not limits.has_any:
            return []
        limited = [
            target
            for target in self._usable_targets(rules, assignment)
            if target.target_id not in tried
            and not limits.allows(target.target_id, now)
            and self.board.standing_of(target.target_id).paused_until <= now
            and limits.age_s(target.target_id, now) >= target_limits.REFRESH_S
        ]
        longest = max(
            limited,
            key=lambda target: limits.age_s(target.target_id, now),
            default=None,
        )
        return [] if longest is None else [longest]

    def _subset(self, service: str) -> frozenset[str]:
        """Return the ids of the targets that are probed first."""
        directory = self.board.directory
        if self._subsets_generation != directory.generation:
            self._subsets.clear()
            self._subsets_generation = directory.generation
        found = self._subsets.get(service)
        if found is None:
            targets = placement.subset(
                directory.usable_targets(service), self.board.name, SUBSET_SIZE
            )
            found = frozenset(target.target_id for target in targets)
            self._subsets[service] = found
        return found

    def _choose_best(
        self, probed: list[probing.ProbedTarget], prefer_local: bool
    ) -> probing.ProbedTarget | None:
        options = [
            self._option(item, prefer_local)
            for item in probed
            if item.reading.healthy
            and not _is_full(item.reading.load)
            and self._is_usable(item)
        ]
        return self._cheapest(options, probed)

    def _choose_fallback(
        self,
        probed: list[probing.ProbedTarget],
        rules: manifest_types.ServiceRules,
    ) -> probing.ProbedTarget | None:
        """Choose among answers of which none is a good choice.

        Includes targets that report themselves unhealthy, and cold ones at
        the limited rate of the service.
        """
        usable = [
            item
            for item in probed
            if not _is_full(item.reading.load) and self._is_usable(item)
        ]
        chosen = self._cheapest(
            [self._option(i, False) for i in usable], probed
        )
        if chosen is not None:
            return chosen
        now = self.loop.time()
        for item in usable:
            if self.board.cold_pacer.take(
                item.target.target_id, rules.cold_rate, now, self.board.rng
            ):
                self.board.count('cold_sends')
                return item
        return None

    def _cheapest(
        self,
        options: list[placement.Option],
        probed: list[probing.ProbedTarget],
    ) -> probing.ProbedTarget | None:
        best = placement.choose(options, self.loop.time(), self.board.rng)
        if best is None:
            return None
        return next(
            item for item in probed if item.target.target_id == best.target_id
        )

    def _is_usable(self, item: probing.ProbedTarget) -> bool:
        # The directory may have changed during the probe.
        now = self.loop.time()
        target_id = item.target.target_id
        return (
            self.board.directory.is_usable(target_id, item.target.service)
            and self.board.standing_of(target_id).paused_until <= now
            and self.board.target_limits.allows(target_id, now)
        )

    def _option(
        self, item: probing.ProbedTarget, prefer_local: bool
    ) -> placement.Option:
        cross_domain = item.target.failure_domain != self.board.failure_domain
        distance = 0.0
        if cross_domain:
            distance = (
                CROSS_DOMAIN_UPLOAD_COST if prefer_local else CROSS_DOMAIN_COST
            )
        return placement.Option(
            item.target.target_id,
            item.reading,
            self.board.standing_of(item.target.target_id),
            distance,
        )


def _is_full(load: placement.LoadReading | None) -> bool:
    return load is not None and load.waiting >= FULL_QUEUE_REQUESTS
