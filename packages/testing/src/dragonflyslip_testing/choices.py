"""Model of a service whose targets change their speed within milliseconds.

Requests arrive at entries that do not know of each other. Each entry reads
the load of some targets and sends; what it read is a little older when the
request arrives. The oracle reads every target, its speed and the rest of
each request at the moment of arrival.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from dragonflyslip_core import placement
from dragonflyslip_entry.gateway import asking

SPEED_PERIOD_S = 0.3
SLOWEST = 4.0
# Part of the periods in which a target has its usual speed.
USUAL_PART = 0.6
WORK_S = 0.16
WORK_SIGMA = 0.3
LATENCY_S = 0.4
# Time from a reading to the arrival of the request that it decided.
DELAY_S = 0.004


class _Waiting(typing.NamedTuple):
    arrived_at: float
    work_s: float


@dataclasses.dataclass
class ModelTarget:
    """A target with slots and a queue without bound.

    :param speeds: factor on the work in each period.
    :ivar ends: when its running requests end, as a heap.
    :ivar queue: work of the waiting ones.
    """

    target_id: str
    slots: int
    speeds: list[float]
    ends: list[float] = dataclasses.field(default_factory=list)
    queue: collections.deque[_Waiting] = dataclasses.field(
        default_factory=collections.deque
    )

    def speed(self, now: float) -> float:
        """Return the factor on work that starts now."""
        period = int(now / SPEED_PERIOD_S)
        return self.speeds[period % len(self.speeds)]

    def reading(self, now: float) -> placement.HealthReading:
        """Return what the target says of itself."""
        return placement.HealthReading(
            self.target_id,
            True,
            placement.LoadReading(
                len(self.ends),
                len(self.queue),
                self.slots,
                round(100 * self.speed(now)),
            ),
            0.0,
        )

    def duration(self, work_s: float, now: float) -> float:
        """Return how long work takes that gets a slot now."""
        use = (len(self.ends) + 1) / self.slots
        crowded = use >= placement.CROWDED_USE
        knee = placement.CROWDED_FACTOR if crowded else 1.0
        return work_s * self.speed(now) * knee

    def advance(self, now: float) -> list[float]:
        """End what ends by now; return the latencies of queued requests."""
        latencies = []
        while self.ends and self.ends[0] <= now:
            freed_at = heapq.heappop(self.ends)
            if self.queue:
                first = self.queue.popleft()
                ends_at = freed_at + self.duration(first.work_s, freed_at)
                heapq.heappush(self.ends, ends_at)
                latencies.append(ends_at - first.arrived_at)
        return latencies

    def add(self, work_s: float, now: float) -> float | None:
        """Take a request; return its latency if it got a slot."""
        if len(self.ends) >= self.slots:
            self.queue.append(_Waiting(now, work_s))
            return None
        took_s = self.duration(work_s, now)
        heapq.heappush(self.ends, now + took_s)
        return took_s

    def true_wait_s(self, now: float) -> float:
        """Return when a request that arrives now would end, on average."""
        free_in_s = 0.0
        if len(self.ends) >= self.slots:
            # The queue drains through the slots, in the order of their ends.
            ends = sorted(self.ends)
            for item in self.queue:
                ends_at = ends[0] + item.work_s * self.speed(now)
                heapq.heapreplace(ends, ends_at)
            free_in_s = ends[0] - now
        return free_in_s + self.duration(WORK_S, now)


class Way(typing.Protocol):
    """How an entry chooses a target."""

    def __call__(
        self,
        targets: typing.Sequence[ModelTarget],
        own: typing.MutableMapping[str, placement.TargetStanding],
        now: float,
        rng: random.Random,
    ) -> ModelTarget: ...


def two_choices(targets, own, now, rng):
    """Of two random targets, take the one with fewer own requests."""
    return min(rng.sample(targets, 2), key=lambda t: own[t.target_id].unseen)


def oracle(targets, own, now, rng):
    """Take the target that ends an average request first."""
    return min(targets, key=lambda t: (t.true_wait_s(now), rng.random()))


def ask(count: int, rounds: int = 1) -> Way:
    """Return the way that asks ``count`` targets in each round.

    :param rounds: rounds until a target costs as little as a gateway accepts.
    """

    def choose(targets, own, now, rng):
        order = rng.sample(targets, min(len(targets), count * rounds))
        options = []
        for start in range(0, len(order), count):
            options += [
                placement.Option(
                    target.target_id,
                    target.reading(now),
                    placement.TargetStanding(),
                )
                for target in order[start : start + count]
            ]
            best = placement.choose(options, now, rng)
            if placement.cost(best, now) <= asking.GOOD_COST:
                break
        return next(t for t in order if t.target_id == best.target_id)

    return choose


as_gateway = ask(asking.ASKED, asking.MAX_ROUNDS)


class _Sent(typing.NamedTuple):
    arrives_at: float
    number: int
    target: ModelTarget
    work_s: float
    standing: placement.TargetStanding


@dataclasses.dataclass(frozen=True)
class Setup:
    """One run.

    :param use: arrivals in units of what all slots bear at average speed.
    """

    use: float
    targets: int = 22
    slots: int = 2
    entries: int = 18
    seconds: float = 60.0
    seed: int = 7


def play(setup: Setup, way: Way) -> list[float]:
    """Return the latencies of all requests, in seconds."""
    rng = random.Random(setup.seed)
    periods = int(setup.seconds / SPEED_PERIOD_S) + 1
    targets = [
        ModelTarget(f'target-{n}', setup.slots, _speeds(rng, periods))
        for n in range(setup.targets)
    ]
    owns = [
        {t.target_id: placement.TargetStanding() for t in targets}
        for _ in range(setup.entries)
    ]
    mean = sum(sum(t.speeds) for t in targets) / (setup.targets * periods)
    rate = setup.use * setup.targets * setup.slots / (WORK_S * mean)
    choosing = random.Random(f'{setup.seed}/choices')
    latencies: list[float] = []
    # Requests on their way, by arrival.
    sent: list[_Sent] = []
    numbers = itertools.count()
    now = 0.0
    while now < setup.seconds:
        now += rng.expovariate(rate)
        work_s = WORK_S * rng.lognormvariate(0.0, WORK_SIGMA)
        own = rng.choice(owns)
        while sent and sent[0].arrives_at <= now:
            _deliver(heapq.heappop(sent), latencies)
        for target in targets:
            latencies += target.advance(now)
        chosen = way(targets, own, now, choosing)
        own[chosen.target_id].unseen += 1
        delay_s = 0.0 if way is oracle else DELAY_S
        item = _Sent(
            now + delay_s, next(numbers), chosen, work_s, own[chosen.target_id]
        )
        if delay_s:
            heapq.heappush(sent, item)
        else:
            _deliver(item, latencies)
    return latencies


def _deliver(item: _Sent, latencies: list[float]) -> None:
    latencies += item.target.advance(item.arrives_at)
    took_s = item.target.add(item.work_s, item.arrives_at)
    if took_s is not None:
        latencies.append(took_s)
    item.standing.unseen -= 1


def _speeds(rng: random.Random, periods: int) -> list[float]:
    return [
        1.0 if rng.random() < USUAL_PART else rng.uniform(1.0, SLOWEST)
        for _ in range(periods)
    ]
