"""Model of target selection in a service whose targets change their speed.

The speed of a target may change every ``SLOWDOWN_PERIOD_S``. The model
compares ways to select the target of a request. Requests arrive at
entries that do not communicate with each other. An entry reads the load of
some targets and sends the request to one of them; the reading is slightly
out of date when the request arrives. The oracle sees the queue, the slowdown
and the remaining work of every target at the moment of arrival.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from dragonflyslip_core import placement
from dragonflyslip_entry.gateway import target_selection

SLOWDOWN_PERIOD_S = 0.3
MAX_SLOWDOWN = 4.0
# Fraction of the periods in which a target works at its normal speed.
NORMAL_PERIOD_FRACTION = 0.6
MEDIAN_WORK_S = 0.16
WORK_SIGMA = 0.3
TARGET_LATENCY_S = 0.4
# Time from reading the loads to the arrival of the request at the target.
SEND_DELAY_S = 0.004


class _QueuedRequest(typing.NamedTuple):
    arrived_at: float
    work_s: float


@dataclasses.dataclass
class ModelTarget:
    """A target with a number of slots and an unbounded FIFO queue.

    :param slowdowns: factor on the service time in each period of
        ``SLOWDOWN_PERIOD_S``; 1 is the normal speed.
    :ivar end_times: heap of the times at which running requests end.
    :ivar queue: requests that wait for a slot.
    """

    target_id: str
    slots: int
    slowdowns: list[float]
    end_times: list[float] = dataclasses.field(default_factory=list)
    queue: collections.deque[_QueuedRequest] = dataclasses.field(
        default_factory=collections.deque
    )

    def slowdown(self, now: float) -> float:
        """Return the factor on the service time of requests that start now."""
        period = int(now / SLOWDOWN_PERIOD_S)
        return self.slowdowns[period % len(self.slowdowns)]

    def read_health(self, now: float) -> placement.HealthReading:
        """Return the answer of the target's health endpoint."""
        return placement.HealthReading(
            self.target_id,
            True,
            placement.LoadReading(
                len(self.end_times),
                len(self.queue),
                self.slots,
                round(100 * self.slowdown(now)),
            ),
            0.0,
        )

    def duration(self, work_s: float, now: float) -> float:
        """Return the service time of a request that gets a slot now.

        :param work_s: its service time at normal speed without congestion.
        """
        utilisation = (len(self.end_times) + 1) / self.slots
        is_congested = utilisation >= placement.CONGESTION_UTILISATION
        congestion_factor = (
            placement.CONGESTION_FACTOR if is_congested else 1.0
        )
        return work_s * self.slowdown(now) * congestion_factor

    def advance(self, now: float) -> list[float]:
        """Complete requests that end by ``now`` and start queued ones.

        :return: latencies of the queued requests that got a slot.
        """
        latencies = []
        while self.end_times and self.end_times[0] <= now:
            free_at = heapq.heappop(self.end_times)
            if self.queue:
                first = self.queue.popleft()
                ends_at = free_at + self.duration(first.work_s, free_at)
                heapq.heappush(self.end_times, ends_at)
                latencies.append(ends_at - first.arrived_at)
        return latencies

    def add(self, work_s: float, now: float) -> float | None:
        """Accept a request.

        :return: its latency, or ``None`` if it has to wait for a slot.
        """
        if len(self.end_times) >= self.slots:
            self.queue.append(_QueuedRequest(now, work_s))
            return None
        duration_s = self.duration(work_s, now)
        heapq.heappush(self.end_times, now + duration_s)
        return duration_s

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency of a median request that arrives now."""
        free_in_s = 0.0
        if len(self.end_times) >= self.slots:
            # Each queued request gets the slot that becomes free first.
            end_times = sorted(self.end_times)
            for request in self.queue:
                ends_at = end_times[0] + request.work_s * self.slowdown(now)
                heapq.heapreplace(end_times, ends_at)
            free_in_s = end_times[0] - now
        return free_in_s + self.duration(MEDIAN_WORK_S, now)


class TargetSelector(typing.Protocol):
    """Chooses the target of one request.

    :param standings: what the entry has observed about each target, by
        target id.
    """

    def __call__(
        self,
        targets: typing.Sequence[ModelTarget],
        standings: typing.MutableMapping[str, placement.TargetStanding],
        now: float,
        rng: random.Random,
    ) -> ModelTarget: ...


def two_choices(targets, standings, now, rng):
    """Of two random targets, take the one with fewer requests in transit.

    Only requests that this entry has sent are counted, until they arrive at
    the target (``unseen``: no reading of its load includes them yet).
    """
    return min(
        rng.sample(targets, 2), key=lambda t: standings[t.target_id].unseen
    )


def oracle(targets, standings, now, rng):
    """Take the target with the lowest expected latency."""
    return min(
        targets, key=lambda t: (t.expected_latency_s(now), rng.random())
    )


def probing_selector(
    probes_per_round: int, max_rounds: int = 1
) -> TargetSelector:
    """Return a selector that reads the load of some targets first.

    :param probes_per_round: targets whose load is read in one round.
    :param max_rounds: maximum number of rounds; probing ends earlier if the
        cost of the best target is at most
        ``target_selection.ACCEPTABLE_COST``.
    """

    def choose(targets, standings, now, rng):
        order = rng.sample(
            targets, min(len(targets), probes_per_round * max_rounds)
        )
        options = []
        for start in range(0, len(order), probes_per_round):
            options += [
                placement.Option(
                    target.target_id,
                    target.read_health(now),
                    placement.TargetStanding(),
                )
                for target in order[start : start + probes_per_round]
            ]
            best = placement.choose(options, now, rng)
            if placement.cost(best, now) <= target_selection.ACCEPTABLE_COST:
                break
        return next(t for t in order if t.target_id == best.target_id)

    return choose


gateway_selector = probing_selector(
    target_selection.PROBES_PER_ROUND, target_selection.MAX_PROBE_ROUNDS
)


class _RequestInTransit(typing.NamedTuple):
    arrives_at: float
    number: int
    target: ModelTarget
    work_s: float
    standing: placement.TargetStanding


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Parameters of one simulation.

    :param utilisation: arrival rate as a fraction of what all slots can
        process at their average speed.
    :param slots: slots of each target.
    :param seconds: simulated time.
    """

    utilisation: float
    targets: int = 22
    slots: int = 2
    entries: int = 18
    seconds: float = 60.0
    seed: int = 7


def simulate(scenario: Scenario, select_target: TargetSelector) -> list[float]:
    """Simulate a scenario with a target selector.

    :return: latencies in seconds of the requests that got a slot in the
        simulated time.
    """
    rng = random.Random(scenario.seed)
    periods = int(scenario.seconds / SLOWDOWN_PERIOD_S) + 1
    targets = [
        ModelTarget(
            f'target-{n}', scenario.slots, _random_slowdowns(rng, periods)
        )
        for n in range(scenario.targets)
    ]
    standings_by_entry = [
        {t.target_id: placement.TargetStanding() for t in targets}
        for _ in range(scenario.entries)
    ]
    mean_slowdown = sum(sum(t.slowdowns) for t in targets) / (
        scenario.targets * periods
    )
    arrival_rate = (
        scenario.utilisation
        * scenario.targets
        * scenario.slots
        / (MEDIAN_WORK_S * mean_slowdown)
    )
    selection_rng = random.Random(f'{scenario.seed}/choices')
    latencies: list[float] = []
    # Heap of the requests in transit, by arrival time.
    in_transit: list[_RequestInTransit] = []
    sequence_numbers = itertools.count()
    now = 0.0
    while now < scenario.seconds:
        now += rng.expovariate(arrival_rate)
        work_s = MEDIAN_WORK_S * rng.lognormvariate(0.0, WORK_SIGMA)
        standings = rng.choice(standings_by_entry)
        while in_transit and in_transit[0].arrives_at <= now:
            _deliver(heapq.heappop(in_transit), latencies)
        for target in targets:
            latencies += target.advance(now)
        chosen = select_target(targets, standings, now, selection_rng)
        standings[chosen.target_id].unseen += 1
        delay_s = 0.0 if select_target is oracle else SEND_DELAY_S
        request = _RequestInTransit(
            now + delay_s,
            next(sequence_numbers),
            chosen,
            work_s,
            standings[chosen.target_id],
        )
        if delay_s:
            heapq.heappush(in_transit, request)
        else:
            _deliver(request, latencies)
    return latencies


def _deliver(request: _RequestInTransit, latencies: list[float]) -> None:
    latencies += request.target.advance(request.arrives_at)
    duration_s = request.target.add(request.work_s, request.arrives_at)
    if duration_s is not None:
        latencies.append(duration_s)
    request.standing.unseen -= 1


def _random_slowdowns(rng: random.Random, periods: int) -> list[float]:
    return [
        1.0
        if rng.random() < NORMAL_PERIOD_FRACTION
        else rng.uniform(1.0, MAX_SLOWDOWN)
        for _ in range(periods)
    ]
