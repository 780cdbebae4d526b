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

A lost response does not prove a crash, and a silent address does not prove
that a target lives. So a crash is suspected from the loss on, until the same
process is heard of again or is known to have ended.
"""

import collections
import dataclasses
import enum

from dragonflyslip_core import era_holds
from dragonflyslip_core import placement
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
# A process that seems to run may be a new one under the same id. Its
# registration shows that, if it is read within this time.
RESTART_NOTICE_S = 15.0
# Time in which the entries write again what the exchange has lost because it
# came back from an older copy.
REWRITE_S = 5.0
# Bounds the memory that a failure of many targets, or a faulty entry, uses.
MAX_CRASHES = 4096
# One of so many records is dropped when there are too many.
DROPPED_FRACTION = 8


class ProcessState(enum.Enum):
    """What is known of a target's process since a response was lost."""

    # It has been asked, and the result is not known yet.
    UNKNOWN = 'unknown'
    # It does not answer, and is not known to have ended.
    MISSING = 'missing'
    # It is known to have ended.
    ENDED = 'ended'
    # It, or a new process under its id, has answered.
    RUNNING = 'running'


OPEN_STATES = frozenset({ProcessState.UNKNOWN, ProcessState.MISSING})
# A target that is only being asked mostly answers within milliseconds.
COUNTED_STATES = frozenset({ProcessState.MISSING, ProcessState.ENDED})


@dataclasses.dataclass(frozen=True)
class RequestCrash:
    """A crash, or suspected crash, of a target that had a request in flight.

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


@dataclasses.dataclass(frozen=True)
class Chain:
    """What was known of a request when it was sent to a target.

    :param depth: highest depth of its crashes, 0 without one.
    :param open_lives: targets that were being asked because of it. Those that
        turn out to have crashed precede this send.
    """

    depth: int = 0
    open_lives: frozenset[str] = frozenset()


NO_CHAIN = Chain()


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """What the entries' exchange holds, or should hold, of a crash.

    :param age_s: seconds since the response was lost.
    """

    crash: RequestCrash
    age_s: float
    state: ProcessState


@dataclasses.dataclass
class _Known:
    """A crash that this entry knows or suspects.

    Points in time are monotonic seconds.

    :param at: when the response was lost.
    :param known_at: when this entry learned of it.
    :param state_at: when ``state`` changed.
    :param shared: whether the entries' exchange holds it.
    :param after: targets that were being asked when the request was sent.
    :param taken_back: whether the request has succeeded since.
    :param deletion_expected: whether the exchange's record is being deleted
        because the target has answered.
    """

    crash: RequestCrash
    at: float
    known_at: float
    shared: bool
    state: ProcessState
    state_at: float
    after: frozenset[str] = frozenset()
    taken_back: bool = False
    deletion_expected: bool = False

    @property
    def counts(self) -> bool:
        """Whether it counts as a crash by this request."""
        return not self.taken_back and self.state in COUNTED_STATES


class RequestCrashes:
    """The crashes known to one entry.

    All points in time are monotonic seconds.

    :param entry: name of this entry.
    :ivar entries: names of the registered entries.
    """

    def __init__(self, entry: str):
        self.entry = entry
        self.entries: frozenset[str] = frozenset()
        self._by_identity: dict[str, dict[str, _Known]] = {}
        self._by_life: dict[str, dict[str, _Known]] = {}
        self._open_lives: set[str] = set()
        # Number of crashes by the first half of their identities.
        self._paths: collections.Counter[str] = collections.Counter()
        self._count = 0
        self._trials_end_at: dict[str, float] = {}
        # Keys of other entries' crashes that the exchange has lost.
        self._lost = era_holds.EraHolds[tuple[str, str]](REWRITE_S)
        # Own crashes that were deleted and that an older copy holds again.
        self._deleted: list[RequestCrash] = []

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return self._count

    @property
    def has_open(self) -> bool:
        """Whether a target is suspected that may still run."""
        return bool(self._open_lives)

    @property
    def open_lives(self) -> list[str]:
        """The processes of targets that are suspected and may still run."""
        return list(self._open_lives)

    def is_open(self, target_life: str) -> bool:
        """Return whether a target is suspected that may still run."""
        return target_life in self._open_lives

    def knows_path(self, path_half: str) -> bool:
        """Return whether there is a crash with this half of an identity."""
        return path_half in self._paths

    def depth(self, identity: str) -> int:
        """Return the depth that is known for a request, 0 if none is."""
        return max((k.crash.depth for k in self._counted(identity)), default=0)

    def chain(self, identity: str) -> Chain:
        """Return what is known of a request that is about to be sent."""
        lives = self._by_identity.get(identity)
        if not lives:
            return NO_CHAIN
        return Chain(
            self.depth(identity),
            frozenset(
                life
                for life, known in lives.items()
                if known.state is ProcessState.UNKNOWN
            ),
        )

    def suspect(
        self, identity: str, target_life: str, chain: Chain, now: float
    ) -> None:
        """Record that a target has not responded to a request.

        :param chain: result of :meth:`chain` before the request was sent.
        """
        crash = RequestCrash(
            identity, target_life, chain.depth + 1, self.entry
        )
        self.add(crash, now, state=ProcessState.UNKNOWN)
        self._by_identity[identity][target_life].after = chain.open_lives

    def add(
        self,
        crash: RequestCrash,
        now: float,
        age_s: float = 0.0,
        shared: bool = False,
        state: ProcessState = ProcessState.ENDED,
    ) -> bool:
        """Record a crash or a suspicion; return whether it was unknown.

        :param age_s: seconds since the response was lost.
        :param shared: whether it came from the entries' exchange.
        """
        if shared:
            self._lost.release(crash.key)
        known = self._find(crash)
        if known is not None:
            self._update(known, crash, now, shared, state)
            return False
        if age_s >= MEMORY_S:
            return False
        if self._count >= MAX_CRASHES:
            self._drop_least()
        lives = self._by_identity.setdefault(crash.identity, {})
        known = _Known(crash, now - age_s, now, shared, state, now)
        lives[crash.target_life] = known
        self._count_path(known, 1)
        self._by_life.setdefault(crash.target_life, {})[crash.identity] = known
        self._count += 1
        if state in OPEN_STATES:
            self._open_lives.add(crash.target_life)
        return True

    def _update(
        self,
        known: _Known,
        crash: RequestCrash,
        now: float,
        shared: bool,
        state: ProcessState,
    ) -> None:
        """Apply a further report of a known crash."""
        seen_again = not shared or crash.entry != self.entry
        if known.state is ProcessState.RUNNING and seen_again:
            # Another response was lost there.
            known.crash = crash
            known.known_at = now
            known.taken_back = False
            self._set_state([known], state, now)
        elif (
            state is ProcessState.ENDED or known.state is ProcessState.UNKNOWN
        ):
            self._set_state([known], state, now)
        if shared:
            # Several entries may have seen this crash. What the exchange
            # holds is the same for all of them.
            known.crash = crash
            known.shared = True
            if known.state is not ProcessState.RUNNING:
                known.deletion_expected = False

    def missing(self, target_life: str, now: float) -> list[RequestCrash]:
        """Record that a target does not answer.

        :return: records to write for all entries.
        """
        changed = [
            known
            for known in self._of_life(target_life)
            if known.state is ProcessState.UNKNOWN
        ]
        self._resolve_chains(changed)
        self._set_state(changed, ProcessState.MISSING, now)
        return [known.crash for known in changed]

    def running(
        self, target_life: str, asked_at: float, now: float
    ) -> list[RequestCrash]:
        """Record that a target has answered.

        :param asked_at: when it was asked.
        :return: records of this entry to delete for all entries.
        """
        changed = [
            known
            for known in self._of_life(target_life)
            if known.state in OPEN_STATES and known.known_at <= asked_at
        ]
        deleted = [
            known.crash
            for known in changed
            if known.state is ProcessState.MISSING
            and known.crash.entry == self.entry
        ]
        for known in changed:
            known.deletion_expected |= known.state is ProcessState.MISSING
            known.shared = False
        self._set_state(changed, ProcessState.RUNNING, now)
        return deleted

    def ended(self, target_life: str, now: float) -> list[RequestCrash]:
        """Record that a target is known to have ended.

        Also counts if it has seemed to run only a short time ago.

        :return: records to write for all entries.
        """
        changed = [
            known
            for known in self._of_life(target_life)
            if known.state in OPEN_STATES
            or known.state is ProcessState.RUNNING
            and now - known.state_at <= RESTART_NOTICE_S
        ]
        self._resolve_chains(changed)
        self._set_state(changed, ProcessState.ENDED, now)
        return [known.crash for known in changed]

    def remove(self, identity: str, target_life: str) -> None:
        """Drop a record that another entry has deleted."""
        lives = self._by_identity.get(identity, {})
        known = lives.get(target_life)
        if known is None:
            return
        if known.deletion_expected:
            # It follows from an answer, after which the target may have been
            # suspected again, or its restart may become known.
            known.deletion_expected = False
            known.shared = False
            return
        self._drop(known)

    def _drop(self, known: _Known) -> None:
        identity, target_life = known.crash.key
        self._lost.release(known.crash.key)
        lives = self._by_identity[identity]
        del lives[target_life]
        self._count_path(known, -1)
        self._count -= 1
        identities = self._by_life[target_life]
        del identities[identity]
        if not identities:
            del self._by_life[target_life]
        if known.state in OPEN_STATES:
            self._update_open(target_life)
        if not lives:
            del self._by_identity[identity]
            self._trials_end_at.pop(identity, None)

    def replace(
        self, listed: list[CrashReport], now: float, era: int = 0
    ) -> None:
        """Apply a complete list of the records in the entries' exchange.

        Crashes that the first list of a new era lacks stay known: own ones,
        which this entry writes again, and for ``REWRITE_S`` those of others.

        :param era: era of the list, see :class:`feeds.Position`.
        """
        keys = {report.crash.key for report in listed}
        missing = [
            known
            for known in self._all()
            if known.shared and known.crash.key not in keys
        ]
        others = [k.crash.key for k in missing if k.crash.entry != self.entry]
        is_new_era = self._lost.apply_page(others, keys, era, now)
        if is_new_era:
            for known in missing:
                known.shared = known.crash.entry != self.entry
            self._deleted = [
                report.crash
                for report in listed
                if report.crash.entry == self.entry
                and not self._counts_or_may(report.crash)
            ]
        for known in missing:
            if known.shared and known.crash.key not in self._lost:
                self.remove(*known.crash.key)
        for report in listed:
            if report.crash not in self._deleted:
                self.add(report.crash, now, report.age_s, True, report.state)
            known = self._find(report.crash)
            if is_new_era and known is not None and known.shared:
                # An older copy may lack that the target is known to have
                # ended.
                is_own = report.crash.entry == self.entry
                known.shared = not is_own or known.state is report.state

    def unshared(self, now: float) -> list[CrashReport]:
        """Return own crashes that the exchange should hold and does not."""
        return [
            CrashReport(known.crash, now - known.at, known.state)
            for known in self._all()
            if known.crash.entry == self.entry
            and known.state in COUNTED_STATES
            and not known.shared
        ]

    def take_deleted(self) -> list[RequestCrash]:
        """Return own crashes that an older copy of the exchange holds again.

        They are to be deleted again. Each is returned once.
        """
        deleted, self._deleted = self._deleted, []
        return [item for item in deleted if not self._counts_or_may(item)]

    def _counts_or_may(self, crash: RequestCrash) -> bool:
        """Return whether a crash is known and its target has not answered."""
        known = self._find(crash)
        return known is not None and known.state is not ProcessState.RUNNING

    def is_refused(self, identity: str) -> bool:
        """Return whether a request may be sent as a trial only."""
        return _is_refused(self._counted(identity))

    def admit(self, identity: str, now: float) -> float | None:
        """Decide whether a request may be sent.

        It may be the trial of a refused request, which ends with
        :meth:`succeeded` or the next crash.

        :return: None if it may, else seconds until a trial may follow.
        """
        counted = self._counted(identity)
        if not _is_refused(counted):
            return None
        # All entries that know the same crashes agree on the last one.
        last = max(counted, key=lambda k: (k.crash.depth, *k.crash.key))
        extra = len(counted) - REFUSED_CRASHES
        trial_at = last.at + TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**extra
        has_trials = len(counted) < MAX_TRIAL_CRASHES
        if (
            has_trials
            and self._trial_entry(last.crash) == self.entry
            and now >= trial_at
            and now >= self._trials_end_at.get(identity, now)
        ):
            self._trials_end_at[identity] = now + TRIAL_TIMEOUT_S
            return None
        if any(known.state is ProcessState.MISSING for known in counted):
            # It is accepted again as soon as enough of them have answered.
            return MIN_RETRY_AFTER_S
        ends_at = trial_at if has_trials else last.at + MEMORY_S
        return max(MIN_RETRY_AFTER_S, ends_at - now)

    def _trial_entry(self, crash: RequestCrash) -> str:
        """Return the name of the entry that may try the request again.

        It is the one that recorded the crash, or while that is gone another
        one on which all entries agree.
        """
        if crash.entry in self.entries or not self.entries:
            return crash.entry
        return min(
            self.entries,
            key=lambda name: placement.rendezvous_hash(name, crash.identity),
        )

    def succeeded(self, identity: str) -> list[RequestCrash]:
        """Record a success of a request.

        :return: records to delete for all entries, because a trial of the
            refused request has succeeded.
        """
        if self.is_refused(identity):
            known = list(self._by_identity[identity].values())
            for item in known:
                self._drop(item)
            return [item.crash for item in known]
        depth = self.depth(identity)
        for item in self._by_identity.get(identity, {}).values():
            item.taken_back |= item.crash.depth == depth
        return []

    def expire(self, now: float) -> list[RequestCrash]:
        """Drop and return the records that are too old."""
        lost = set(self._lost.expire(now))
        outdated = [
            known
            for known in self._all()
            if (known.shared and known.crash.key in lost)
            or (
                known.state is ProcessState.RUNNING
                and now - known.state_at > RESTART_NOTICE_S
            )
        ]
        for known in outdated:
            self._drop(known)
        expired = [
            known for known in self._all() if now - known.at >= MEMORY_S
        ]
        for known in expired:
            self._drop(known)
        return [known.crash for known in expired]

    def _find(self, crash: RequestCrash) -> _Known | None:
        lives = self._by_identity.get(crash.identity, {})
        return lives.get(crash.target_life)

    def _all(self) -> list[_Known]:
        return [
            known
            for lives in self._by_identity.values()
            for known in lives.values()
        ]

    def _resolve_chains(self, changed: list[_Known]) -> None:
        """Set the depths now that the targets asked before are known."""
        for known in changed:
            lives = self._by_identity[known.crash.identity]
            before = [lives[life] for life in known.after if life in lives]
            depths = [k.crash.depth for k in before if k.counts]
            depth = max([known.crash.depth, *(1 + d for d in depths)])
            if depth > known.crash.depth:
                known.crash = dataclasses.replace(known.crash, depth=depth)

    def _count_path(self, known: _Known, amount: int) -> None:
        if known.state not in COUNTED_STATES:
            return
        half = _path_half(known.crash.identity)
        self._paths[half] += amount
        if not self._paths[half]:
            del self._paths[half]

    def _of_life(self, target_life: str) -> list[_Known]:
        return list(self._by_life.get(target_life, {}).values())

    def _set_state(
        self, changed: list[_Known], state: ProcessState, now: float
    ) -> None:
        for known in changed:
            self._count_path(known, -1)
            known.state = state
            known.state_at = now
            self._count_path(known, 1)
        for target_life in {known.crash.target_life for known in changed}:
            self._update_open(target_life)

    def _update_open(self, target_life: str) -> None:
        if any(k.state in OPEN_STATES for k in self._of_life(target_life)):
            self._open_lives.add(target_life)
        else:
            self._open_lives.discard(target_life)

    def _counted(self, identity: str) -> list[_Known]:
        """Return the crashes of a request that count against it."""
        return [
            known
            for known in self._by_identity.get(identity, {}).values()
            if known.counts
        ]

    def _drop_least(self) -> None:
        """Drop several records.

        Those of targets that have answered go first, then the oldest ones of
        the lowest depth.
        """
        ordered = sorted(
            self._all(),
            key=lambda known: (
                known.state is not ProcessState.RUNNING,
                known.crash.depth,
                known.at,
            ),
        )
        for known in ordered[: 1 + self._count // DROPPED_FRACTION]:
            self._drop(known)


def _is_refused(counted: list[_Known]) -> bool:
    return len(counted) >= REFUSED_CRASHES and any(
        known.crash.depth >= REFUSED_DEPTH for known in counted
    )


def _path_half(identity: str) -> str:
    return identity[: request_identity.HALF_LENGTH]
