"""Requests that crash the targets that run them.

A crash of a target is recorded for each request that was in flight there, by
any entry, and the entries exchange these records. A request is refused once it
was in flight at several crashes that cannot all have had one other cause.

Failures of many targets at one moment, for example of a failure domain, say
nothing about the requests in flight. Each record therefore has a depth: one
more than the highest depth that was known for the request when it was sent.
Only a request that was sent after a crash, and was then in flight at another
one, reaches depth 2. This needs no common clock.

A success takes back the crashes of the highest depth, since a common request
is in flight at many crashes and also succeeds.
"""

import collections
import dataclasses

from dragonflyslip_core import request_identity

# A request is refused after this many crashes, at least one of them of this
# depth.
REFUSED_CRASHES = 3
REFUSED_DEPTH = 2
# Records of crashes are dropped after this time.
MEMORY_S = 1800.0
# Pause before a refused request is tried once more, by one entry only, so
# that one that was refused wrongly is served again. Each further crash
# multiplies it, and there is no trial after so many crashes.
TRIAL_DELAY_S = 15.0
TRIAL_DELAY_FACTOR = 4.0
MAX_TRIAL_CRASHES = 6
# A trial without a result by then has been cancelled.
TRIAL_TIMEOUT_S = 10.0
# Shortest time until a refused caller may come back.
MIN_RETRY_AFTER_S = 1.0
# Bounds the memory that a failure of many targets, or a faulty entry, uses.
MAX_CRASHES = 4096
# One of so many records is dropped when there are too many.
DROPPED_FRACTION = 8


@dataclasses.dataclass(frozen=True)
class RequestCrash:
    """A crash of a target while a request was in flight there.

    :param identity: identity of the request.
    :param target_life: identifies the process of the target.
    :param depth: length of the longest chain of crashes that ends with this
        one, each known when the request was sent to the next target.
    :param entry: name of the entry that recorded it.
    """

    identity: str
    target_life: str
    depth: int
    entry: str

    @property
    def key(self) -> tuple[str, str]:
        """Identifies the crash among all records."""
        return self.identity, self.target_life


@dataclasses.dataclass
class _Known:
    """A crash that this entry knows.

    :param at: monotonic seconds.
    :param shared: whether it came from the entries' exchange.
    :param taken_back: whether the request has succeeded since.
    """

    crash: RequestCrash
    at: float
    shared: bool
    taken_back: bool = False


class RequestCrashes:
    """The crashes known to one entry.

    All points in time are monotonic seconds.

    :param entry: name of this entry.
    """

    def __init__(self, entry: str):
        self.entry = entry
        self._by_identity: dict[str, dict[str, _Known]] = {}
        # Number of identities by their first half.
        self._paths: collections.Counter[str] = collections.Counter()
        self._count = 0
        self._trials_end_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return self._count

    def knows_path(self, path_half: str) -> bool:
        """Return whether a request with this half of an identity is known."""
        return path_half in self._paths

    def depth(self, identity: str) -> int:
        """Return the depth that is known for a request, 0 if none is."""
        return max((c.depth for c in self._counted(identity)), default=0)

    def add(
        self,
        crash: RequestCrash,
        now: float,
        age_s: float = 0.0,
        shared: bool = False,
    ) -> bool:
        """Record a crash; return whether it was unknown.

        :param age_s: seconds since the crash.
        :param shared: whether it came from the entries' exchange.
        """
        known = self._find(crash)
        if known is not None:
            if shared:
                # Several entries may have seen this crash. What the exchange
                # holds is the same for all of them.
                known.crash = crash
                known.shared = True
            return False
        if age_s >= MEMORY_S:
            return False
        if self._count >= MAX_CRASHES:
            self._drop_least()
        lives = self._by_identity.setdefault(crash.identity, {})
        if not lives:
            self._paths[_path_half(crash.identity)] += 1
        lives[crash.target_life] = _Known(crash, now - age_s, shared)
        self._count += 1
        return True

    def remove(self, identity: str, target_life: str) -> None:
        """Drop a record that another entry has deleted."""
        lives = self._by_identity.get(identity, {})
        if lives.pop(target_life, None) is None:
            return
        self._count -= 1
        if not lives:
            del self._by_identity[identity]
            self._trials_end_at.pop(identity, None)
            half = _path_half(identity)
            self._paths[half] -= 1
            if not self._paths[half]:
                del self._paths[half]

    def replace(
        self, listed: list[tuple[RequestCrash, float]], now: float
    ) -> None:
        """Apply a complete list of the records in the entries' exchange.

        :param listed: each crash with its age in seconds.
        """
        keys = {crash.key for crash, _ in listed}
        for known in self._all():
            if known.shared and known.crash.key not in keys:
                self.remove(*known.crash.key)
        for crash, age_s in listed:
            self.add(crash, now, age_s, shared=True)

    def is_refused(self, identity: str) -> bool:
        """Return whether a request may be sent as a trial only."""
        return _is_refused(self._counted(identity))

    def admit(self, identity: str, now: float) -> float | None:
        """Decide whether a request may be sent.

        It may be the trial of a refused request, which ends with
        :meth:`succeeded` or the next crash.

        :return: None if it may, else seconds until a trial may follow.
        """
        crashes = self._counted(identity)
        if not _is_refused(crashes):
            return None
        # All entries that know the same crashes agree on the last one.
        last = max(crashes, key=lambda c: (c.depth, c.target_life))
        at = self._by_identity[identity][last.target_life].at
        extra = len(crashes) - REFUSED_CRASHES
        trial_at = at + TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**extra
        if len(crashes) >= MAX_TRIAL_CRASHES:
            return max(MIN_RETRY_AFTER_S, at + MEMORY_S - now)
        if (
            last.entry == self.entry
            and now >= trial_at
            and now >= self._trials_end_at.get(identity, now)
        ):
            self._trials_end_at[identity] = now + TRIAL_TIMEOUT_S
            return None
        return max(MIN_RETRY_AFTER_S, trial_at - now)

    def succeeded(self, identity: str) -> list[RequestCrash]:
        """Record a success of a request.

        :return: records to delete for all entries, because a trial of the
            refused request has succeeded.
        """
        crashes = self._counted(identity)
        if _is_refused(crashes):
            known = list(self._by_identity[identity].values())
            for item in known:
                self.remove(*item.crash.key)
            return [item.crash for item in known]
        depth = self.depth(identity)
        for item in self._by_identity.get(identity, {}).values():
            item.taken_back |= item.crash.depth == depth
        return []

    def expire(self, now: float) -> list[RequestCrash]:
        """Drop and return the records that are too old."""
        expired = [
            known.crash for known in self._all() if now - known.at >= MEMORY_S
        ]
        for crash in expired:
            self.remove(*crash.key)
        return expired

    def _find(self, crash: RequestCrash) -> _Known | None:
        lives = self._by_identity.get(crash.identity, {})
        return lives.get(crash.target_life)

    def _all(self) -> list[_Known]:
        return [
            known
            for lives in self._by_identity.values()
            for known in lives.values()
        ]

    def _counted(self, identity: str) -> list[RequestCrash]:
        """Return the crashes of a request that no success has taken back."""
        return [
            known.crash
            for known in self._by_identity.get(identity, {}).values()
            if not known.taken_back
        ]

    def _drop_least(self) -> None:
        """Drop the oldest records of the lowest depth, several at once."""
        ordered = sorted(
            self._all(), key=lambda known: (known.crash.depth, known.at)
        )
        for known in ordered[: 1 + self._count // DROPPED_FRACTION]:
            self.remove(*known.crash.key)


def _is_refused(crashes: list[RequestCrash]) -> bool:
    return len(crashes) >= REFUSED_CRASHES and any(
        crash.depth >= REFUSED_DEPTH for crash in crashes
    )


def _path_half(identity: str) -> str:
    return identity[: request_identity.HALF_LENGTH]
