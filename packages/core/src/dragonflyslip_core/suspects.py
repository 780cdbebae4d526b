"""Detection of requests that crash targets.

Requests are identified by fingerprints. A request that was in flight at two
crashes of targets becomes a suspect and is refused for some time. Entries
exchange the crashes that they see as crash marks.
"""

import collections
import dataclasses
import itertools
import math

from dragonflyslip_core import outcomes
from dragonflyslip_core import request_identity
from dragonflyslip_core import targets

DIGEST_BYTES = 16

# A restart shows within one connection attempt. A lost connection that is not
# confirmed as a crash within this time was a failure of the connection only.
CONFIRM_WITHIN_S = 5.0
# A failure domain counts as failed if this many of its targets crash within
# the window.
DOMAIN_CRASHES = 3
DOMAIN_WINDOW_S = 1.0
# A target counts as failing by itself if it crashes this many times within the
# window, with no request common to any two of the crashes.
TARGET_CRASHES = 3
TARGET_WINDOW_S = 60.0
# Bounds the memory that a faulty peer can use. 2,900 restarts a day give under
# 50 crashes in twice the default lifetime of a suspicion.
MAX_CRASHES = 4096
MAX_FINGERPRINTS_PER_CRASH = 4096


def key_fingerprint(service: str, key: str) -> str:
    """Return the fingerprint of a call with an idempotency key, in hex."""
    fields = ('key', service, key)
    return request_identity.digest(fields, DIGEST_BYTES).hexdigest()


class StreamFingerprint:
    """Fingerprint of a call without a key, computed while its body streams.

    It covers the first 4 KiB of the body and does not depend on the sizes of
    the chunks. No part of the body is kept.

    :param content_length: bytes of the body; None if it is chunked.
    """

    def __init__(
        self,
        service: str,
        method: str,
        path: str,
        query: str,
        content_length: int | None,
    ):
        length = '' if content_length is None else str(content_length)
        self._hash = request_identity.digest(
            ('call', service, method, path, query, length), DIGEST_BYTES
        )
        self.remaining_bytes = request_identity.BODY_HEAD_BYTES
        if content_length is not None:
            self.remaining_bytes = min(
                content_length, request_identity.BODY_HEAD_BYTES
            )

    @property
    def complete(self) -> bool:
        """Whether further chunks do not change the fingerprint."""
        return self.remaining_bytes == 0

    def update(self, chunk: bytes) -> None:
        """Add the next chunk; bytes beyond the first 4 KiB are ignored."""
        if self.remaining_bytes:
            head = memoryview(chunk)[: self.remaining_bytes]
            self._hash.update(head)
            self.remaining_bytes -= len(head)

    def value(self) -> str:
        """Return the fingerprint of the chunks so far, in hexadecimal."""
        return self._hash.hexdigest()


@dataclasses.dataclass(frozen=True)
class CrashMark:
    """A crash of a target and the requests in flight, as sent to peers.

    :param boot_id: identifies the target's process that crashed.
    :param age_s: seconds since the crash; not a time, since peers have no
        common clock.
    :param ttl_s: seconds that a suspicion based on this mark lasts.
    :param fingerprints: of the requests that were in flight.
    """

    target_id: str
    boot_id: str
    failure_domain: str
    age_s: float
    ttl_s: float
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request that is refused since it is suspected to crash targets.

    :param target_ids: targets at whose crashes it was in flight.
    :param expires_in_s: seconds until it is accepted again.
    """

    fingerprint: str
    target_ids: tuple[str, ...]
    expires_in_s: float


@dataclasses.dataclass
class _Crash:
    target_id: str
    boot_id: str
    failure_domain: str
    at: float
    ttl_s: float
    fingerprints: set[str] = dataclasses.field(default_factory=set)
    excluded: bool = False

    @property
    def key(self) -> tuple[str, str]:
        return self.target_id, self.boot_id

    @property
    def kept_until(self) -> float:
        # Two crashes up to one lifetime apart make a suspicion, which lasts
        # for another lifetime. Whether a crash is excluded depends on crashes
        # up to one window earlier.
        return self.at + 2 * self.ttl_s + TARGET_WINDOW_S


@dataclasses.dataclass
class _ConnectionLoss:
    target: targets.Target
    boot_id: str
    at: float
    ttl_s: float
    fingerprints: set[str] = dataclasses.field(default_factory=set)


class SuspectTable:
    """Crashes known to this entry and its peers, and resulting suspects.

    The state is the union of all reported crashes. A crash is excluded, that
    is, not counted against the requests in flight, if a whole domain or the
    target itself was at fault. Which crashes are excluded and which requests
    are suspects depends only on this union. Entries that
    know the same crashes therefore refuse the same requests, regardless of
    the order in which they learned of the crashes.
    """

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], _Crash] = {}
        self._losses: dict[tuple[str, str], _ConnectionLoss] = {}
        self._by_fingerprint: dict[str, set[tuple[str, str]]] = {}
        # Crashes up to this time do not count for the fingerprint.
        self._cleared: dict[str, float] = {}
        self._cursor = 0
        # A failed domain causes hundreds of marks at once, so exclusions are
        # computed only when a request in flight at two crashes needs them.
        self._exclusions_outdated = False

    def connection_lost(
        self,
        target: targets.Target,
        boot_id: str,
        fingerprint: str | None,
        ttl_s: float,
        now: float,
    ) -> CrashMark | None:
        """Record that a connection to a target was lost.

        :param boot_id: boot id of the target when the request was sent.
        :param fingerprint: of the request; None if the connection was idle.
        :param ttl_s: ``suspicion_ttl_s`` of the profile.
        :param now: monotonic seconds.
        :return: a mark to send to the peers if the crash is already
            confirmed and the request is new to it, else None.
        """
        key = (target.instance_id, boot_id)
        fingerprints = {fingerprint} if fingerprint is not None else set()
        crash = self._crashes.get(key)
        if crash is not None:
            return self._extend(crash, fingerprints, now)
        loss = self._losses.get(key)
        if loss is None or now - loss.at > CONFIRM_WITHIN_S:
            loss = self._losses[key] = _ConnectionLoss(
                target, boot_id, now, ttl_s
            )
        loss.fingerprints |= fingerprints
        return None

    def connection_refused(
        self, target_id: str, now: float
    ) -> tuple[CrashMark, ...]:
        """Record that a target refuses connections.

        This confirms its recent connection losses as crashes.

        :return: the marks to send to the peers.
        """
        return self._confirm(target_id, now)

    def boot_seen(
        self, target_id: str, boot_id: str, now: float
    ) -> tuple[CrashMark, ...]:
        """Record the boot id in a response to a request or probe.

        Connection losses of this boot were not a crash; recent losses of an
        earlier boot are confirmed as crashes.

        :return: the marks to send to the peers.
        """
        self._losses.pop((target_id, boot_id), None)
        return self._confirm(target_id, now)

    def merge(self, mark: CrashMark, now: float) -> bool:
        """Add a mark from a peer; return whether it changed anything."""
        valid = 0 <= mark.age_s < math.inf and 0 < mark.ttl_s < math.inf
        if not valid:
            return False
        at = now - mark.age_s
        key = (mark.target_id, mark.boot_id)
        crash = self._crashes.get(key)
        found = set(mark.fingerprints[:MAX_FINGERPRINTS_PER_CRASH])
        if crash is None:
            crash = _Crash(
                mark.target_id,
                mark.boot_id,
                mark.failure_domain,
                at,
                mark.ttl_s,
                found,
            )
            if crash.kept_until <= now:
                return False
            # Requests of this entry whose connection to the target was lost
            # were in flight at the same crash.
            loss = self._losses.pop(key, None)
            if loss is not None:
                crash.fingerprints |= loss.fingerprints
            self._add(crash)
            return True
        # Delays in transit make a crash seem later, so the earliest counts.
        earlier = at < crash.at
        crash.at = min(crash.at, at)
        crash.ttl_s = max(crash.ttl_s, mark.ttl_s)
        self._exclusions_outdated |= earlier
        return self._extend(crash, found, now) is not None or earlier

    def marks(self, now: float, limit: int) -> tuple[CrashMark, ...]:
        """Return up to ``limit`` marks for a heartbeat.

        Successive calls rotate through all marks that have not expired.
        """
        self.expire(now)
        crashes = list(self._crashes.values())
        count = min(limit, len(crashes))
        if count < 1:
            return ()
        start = self._cursor % len(crashes)
        self._cursor = start + count
        turn = itertools.islice(itertools.cycle(crashes), start, start + count)
        return tuple(_mark(crash, now) for crash in turn)

    def has_marks(self) -> bool:
        """Return whether any crash mark lists a request.

        Usually none does, so callers can skip computing fingerprints.
        """
        return bool(self._by_fingerprint)

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with this fingerprint is refused."""
        return self._suspect(fingerprint, now) is not None

    def refusal(
        self, fingerprint: str, outcome: outcomes.Outcome, now: float
    ) -> outcomes.Refusal | None:
        """Return the refusal of a suspect; None if the request may run."""
        suspect = self._suspect(fingerprint, now)
        if suspect is None:
            return None
        return outcomes.Refusal(
            status=503,
            outcome=outcome,
            kind='suspect-request',
            detail='Instances that ran this request have crashed.',
            retry_after_s=math.ceil(suspect.expires_in_s),
        )

    def completed(self, fingerprint: str, now: float) -> None:
        """Record that a target fully responded to a request.

        Crashes up to now then no longer count for its fingerprint: frequent
        requests are in flight during most crashes without causing them.
        """
        if fingerprint in self._by_fingerprint:
            self._cleared[fingerprint] = now

    def lift(self, fingerprint: str, now: float) -> None:
        """Accept a request again until it is in flight at two more crashes."""
        self._cleared[fingerprint] = now

    def list(self, now: float) -> tuple[Suspect, ...]:
        """Return all suspects, ordered by fingerprint."""
        found = (self._suspect(f, now) for f in sorted(self._by_fingerprint))
        return tuple(suspect for suspect in found if suspect is not None)

    def expire(self, now: float) -> None:
        """Drop crashes and connection losses that no longer matter."""
        for crash in list(self._crashes.values()):
            if crash.kept_until <= now:
                self._drop(crash)
        for key, loss in list(self._losses.items()):
            if now - loss.at > CONFIRM_WITHIN_S:
                del self._losses[key]
        longest = max((c.ttl_s for c in self._crashes.values()), default=0.0)
        oldest = now - 2 * longest - TARGET_WINDOW_S
        for fingerprint, at in list(self._cleared.items()):
            if at < oldest:
                del self._cleared[fingerprint]

    def _confirm(self, target_id: str, now: float) -> tuple[CrashMark, ...]:
        marks = []
        for key, loss in list(self._losses.items()):
            if key[0] != target_id:
                continue
            del self._losses[key]
            if now - loss.at > CONFIRM_WITHIN_S:
                continue
            crash = _Crash(
                target_id,
                loss.boot_id,
                loss.target.failure_domain,
                loss.at,
                loss.ttl_s,
                loss.fingerprints,
            )
            self._add(crash)
            marks.append(_mark(crash, now))
        return tuple(marks)

    def _extend(
        self, crash: _Crash, fingerprints: set[str], now: float
    ) -> CrashMark | None:
        new = fingerprints - crash.fingerprints
        crash.fingerprints |= new
        for fingerprint in new:
            self._index(fingerprint, crash)
        self._exclusions_outdated |= bool(new)
        return _mark(crash, now) if new else None

    def _add(self, crash: _Crash) -> None:
        if len(self._crashes) >= MAX_CRASHES:
            self._drop(min(self._crashes.values(), key=lambda c: c.at))
        self._crashes[crash.key] = crash
        for fingerprint in crash.fingerprints:
            self._index(fingerprint, crash)
        self._exclusions_outdated = True

    def _index(self, fingerprint: str, crash: _Crash) -> None:
        self._by_fingerprint.setdefault(fingerprint, set()).add(crash.key)

    def _drop(self, crash: _Crash) -> None:
        del self._crashes[crash.key]
        for fingerprint in crash.fingerprints:
            keys = self._by_fingerprint[fingerprint]
            keys.discard(crash.key)
            if not keys:
                del self._by_fingerprint[fingerprint]

    def _update_exclusions(self) -> None:
        self._exclusions_outdated = False
        by_domain = collections.defaultdict(list)
        by_target = collections.defaultdict(list)
        # The key gives simultaneous crashes the same order at every entry.
        in_order = sorted(
            self._crashes.values(), key=lambda crash: (crash.at, crash.key)
        )
        for crash in in_order:
            crash.excluded = False
            by_domain[crash.failure_domain].append(crash)
            by_target[crash.target_id].append(crash)
        for crashes in by_domain.values():
            _exclude_failed_domain(crashes)
        for crashes in by_target.values():
            _exclude_failing_target(crashes)

    def _suspect(self, fingerprint: str, now: float) -> Suspect | None:
        keys = self._by_fingerprint.get(fingerprint)
        if keys is None or len(keys) < 2:
            return None
        if self._exclusions_outdated:
            self._update_exclusions()
        cleared = self._cleared.get(fingerprint, -math.inf)
        crashes = [self._crashes[key] for key in keys]
        counted = sorted(
            (c for c in crashes if not c.excluded and c.at > cleared),
            key=lambda c: (c.at, c.key),
        )
        until = -math.inf
        for first, second in itertools.pairwise(counted):
            if second.at - first.at <= second.ttl_s:
                until = second.at + second.ttl_s
        if now >= until:
            return None
        ids = tuple(sorted({crash.target_id for crash in counted}))
        return Suspect(fingerprint, ids, until - now)


def _mark(crash: _Crash, now: float) -> CrashMark:
    return CrashMark(
        crash.target_id,
        crash.boot_id,
        crash.failure_domain,
        max(0.0, now - crash.at),
        crash.ttl_s,
        tuple(sorted(crash.fingerprints)),
    )


def _exclude_failed_domain(crashes: list[_Crash]) -> None:
    """Exclude crashes in a failed domain: many targets at once."""
    first = 0
    for last, crash in enumerate(crashes):
        while crash.at - crashes[first].at > DOMAIN_WINDOW_S:
            first += 1
        window = crashes[first : last + 1]
        if len({c.target_id for c in window}) >= DOMAIN_CRASHES:
            for excluded_crash in window:
                excluded_crash.excluded = True


def _exclude_failing_target(crashes: list[_Crash]) -> None:
    """Exclude crashes of a target that crashes whatever it is sent."""
    for start in range(len(crashes) - TARGET_CRASHES + 1):
        run = crashes[start : start + TARGET_CRASHES]
        disjoint = all(
            a.fingerprints.isdisjoint(b.fingerprints)
            for a, b in itertools.combinations(run, 2)
        )
        if disjoint and run[-1].at - run[0].at <= TARGET_WINDOW_S:
            for crash in run:
                crash.excluded = True
