"""Choice of a target from load readings taken just before sending.

The load and speed of targets change within milliseconds. So the gateway asks
a few targets for each request and chooses the one that is expected to finish
first.
"""

import dataclasses
import hashlib
import heapq
import random
import typing

from dragonflyslip_core import directory

# How long work takes at normal speed, in percent; see LoadReading.
NORMAL_WORK_PERCENT = 100
# A target with at least this fraction of its slots in use is congested: it
# works more slowly on a new request and on those that it already has.
CONGESTION_UTILISATION = 0.8
# Factor on the duration of a request at a congested target.
CONGESTION_FACTOR = 1.7
# Cost of the delay that one more request causes to the others there. Costs are
# in units of the duration of a usual request.
CONGESTION_COST_TO_OTHERS = 0.4
# Cost of a target that has failed all its recent requests.
FAILURE_COST = 6.0
# Weight of one request in the average of failures.
FAILURE_WEIGHT = 0.5
FAILURE_HALF_LIFE_S = 4.0
# Longest pause that a target can ask for at once.
MAX_PAUSE_S = 300.0
# Assumed for a target that reports no slots.
MIN_SLOTS = 1


@dataclasses.dataclass(frozen=True)
class LoadReading:
    """Load of a target at one moment.

    :param running: requests that occupy a slot.
    :param waiting: requests in the target's queue.
    :param slots: requests that the target runs at once.
    :param work_percent: how long work takes now, in percent of the time at
        normal speed; 200 means half the speed.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = NORMAL_WORK_PERCENT


@dataclasses.dataclass(frozen=True)
class HealthReading:
    """Response of a target's health endpoint.

    :param target_id: id of the target that responded; None if not stated.
    :param healthy: whether the target reports itself as healthy.
    :param load: its load; None if not reported.
    :param cold_s: seconds until the target is warm and can take full load.
    :param limit: requests a second that the target takes from all entries
        together; None if it states no limit.
    :param leaving: whether the target says that it will end soon.
    :param pause_s: seconds for which the target wants nothing from this
        entry; None if it does not ask for a pause.
    """

    target_id: str | None
    healthy: bool
    load: LoadReading | None
    cold_s: float
    limit: float | None = None
    leaving: bool = False
    pause_s: float | None = None


@dataclasses.dataclass
class TargetStanding:
    """What this entry has observed about one target.

    :param failure_average: moving average of recent requests that failed,
        0 to 1, as of ``failure_updated_at``.
    :param unseen: own requests that no load reading includes yet.
    :param unfinished: own requests from their write to the end of their
        response.
    :param cold_until: when the target will be warm, by its last reading.
    :param skip_until: until when the target is not asked for its load.
    :param paused_until: end of the pause that the target asked for.
    """

    failure_average: float = 0.0
    failure_updated_at: float = 0.0
    unseen: int = 0
    unfinished: int = 0
    cold_until: float = float('-inf')
    skip_until: float = float('-inf')
    paused_until: float = float('-inf')

    def pause(self, pause_s: float, now: float) -> None:
        """Record that the target wants nothing for some time.

        :param pause_s: seconds; at most ``MAX_PAUSE_S`` are kept to.
        """
        self.paused_until = now + min(pause_s, MAX_PAUSE_S)

    def decayed_failure(self, now: float) -> float:
        """Return the failure average after its decay until ``now``, 0 to 1."""
        age = max(0.0, now - self.failure_updated_at)
        return self.failure_average * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def record(self, failed: bool, now: float) -> None:
        """Record the result of a request that the target has run."""
        current = self.decayed_failure(now)
        sample_value = 1.0 if failed else 0.0
        self.failure_average = (
            current + (sample_value - current) * FAILURE_WEIGHT
        )
        self.failure_updated_at = now


@dataclasses.dataclass(frozen=True)
class Option:
    """A target that has returned a reading and may be chosen.

    :param distance_cost: cost of transferring the request to its failure
        domain, in units of the duration of a usual request.
    """

    target_id: str
    reading: HealthReading
    standing: TargetStanding
    distance_cost: float = 0.0


def expected_work(load: LoadReading | None, unseen: int = 0) -> float:
    """Return the expected duration of a request, as a multiple of the usual.

    :param load: load of the target; None if not reported.
    :param unseen: own requests that ``load`` does not include yet.

    >>> expected_work(LoadReading(0, 0, 6))
    1.0
    >>> expected_work(LoadReading(1, 0, 2, 200)) > 3.0
    True
    """
    if load is None:
        return CONGESTION_FACTOR + unseen
    slots = max(load.slots, MIN_SLOTS)
    ahead = load.running + load.waiting + unseen
    # Above 1 if the target is slower than normal.
    slowdown = max(load.work_percent, 1) / NORMAL_WORK_PERCENT
    if ahead + 1 > slots:
        rounds = 1 + (ahead + 1 - slots) / slots
        return slowdown * CONGESTION_FACTOR * rounds
    if _is_congested(ahead, slots):
        return slowdown * CONGESTION_FACTOR
    return slowdown


def _is_congested(ahead: int, slots: int) -> bool:
    return (ahead + 1) / slots >= CONGESTION_UTILISATION


def _cost_to_others(load: LoadReading | None) -> float:
    """Return the cost of one more request to those that run there."""
    if load is None or load.running == 0:
        return 0.0
    if _is_congested(load.running + load.waiting, max(load.slots, 1)):
        return CONGESTION_COST_TO_OTHERS
    return 0.0


def cost(option: Option, now: float) -> float:
    """Return the cost of sending to a target; 1 is a usual request."""
    standing = option.standing
    return (
        expected_work(option.reading.load, standing.unseen)
        + _cost_to_others(option.reading.load)
        + FAILURE_COST * standing.decayed_failure(now)
        + option.distance_cost
    )


def choose(
    options: typing.Sequence[Option], now: float, rng: random.Random
) -> Option | None:
    """Return the cheapest healthy and warm target, or None without any.

    A target that reports itself as unhealthy may still work, so such targets
    are chosen if no healthy one is warm. Cold targets are never chosen: see
    :class:`~dragonflyslip_core.pacing.ColdPacer`.
    """
    warm = [o for o in options if o.reading.cold_s <= 0.0]
    healthy = [o for o in warm if o.reading.healthy]
    best = healthy or warm
    if not best:
        return None
    return min(best, key=lambda o: (cost(o, now), rng.random()))


def subset(
    targets: typing.Sequence[directory.RegisteredTarget],
    entry_name: str,
    size: int,
) -> list[directory.RegisteredTarget]:
    """Return the targets of one service that an entry asks first.

    With many targets, each entry would otherwise keep connections to all of
    them. Rendezvous hashing gives each target about the same number of
    entries, and changes few assignments when targets are added or removed.
    """
    if len(targets) <= size:
        return list(targets)
    return heapq.nsmallest(
        size,
        targets,
        key=lambda item: rendezvous_hash(entry_name, item.target_id),
    )


def rendezvous_hash(entry_name: str, target_id: str) -> bytes:
    """Return a value by which entries or targets are ranked for each other."""
    text = f'{entry_name}\n{target_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def sample(
    candidates: typing.Sequence[directory.RegisteredTarget],
    near_domain: str,
    count: int,
    near_first: bool,
    rng: random.Random,
) -> list[directory.RegisteredTarget]:
    """Return ``count`` targets to ask, or all if there are fewer.

    :param near_domain: the failure domain of this entry.
    :param near_first: whether to prefer targets in ``near_domain``, as for
        requests that are expensive to transfer.
    """
    if len(candidates) <= count:
        return list(candidates)
    if not near_first:
        return rng.sample(candidates, count)
    near, far = [], []
    for target in candidates:
        is_near = target.registration.failure_domain == near_domain
        (near if is_near else far).append(target)
    # If ``count`` is above 1, one or two targets elsewhere are always asked.
    # Otherwise, requests would stay in a domain that has become slow.
    wanted = min(len(near), count, max(1, count - 2))
    wanted = max(wanted, count - len(far))
    return rng.sample(near, wanted) + rng.sample(far, count - wanted)
