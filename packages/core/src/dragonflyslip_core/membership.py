"""Which entries are live, and whether a majority agrees on them."""

import collections
import dataclasses
import hashlib
import typing

LIVENESS_TIMEOUT_S = 3.0
"""Seconds that an entry counts as live after its last heartbeat.

An entry without a recent heartbeat also counts as live for this time after it
first appeared in the list of live entries.
"""

VOTE_MAX_AGE_S = 2.0
"""Seconds after which a report of a peer's view no longer counts as a vote."""

STABLE_S = 3.0
"""Seconds that a view must be unchanged before its entry votes for it.

Longer than ``VOTE_MAX_AGE_S``, so that the votes of one entry for two views
never count at the same time. Two majorities of the same population have an
entry in common, so two views cannot both have a majority at once.
"""

MAX_CHECK_INTERVAL_S = STABLE_S - VOTE_MAX_AGE_S
"""Seconds between two checks up to which agreement counts as continuous.

If two checks are further apart, another view may have had a
majority between them.
"""

POPULATION_TTL_S = 60.0
"""Seconds that an entry stays known after its last listing or heartbeat."""

HEARTBEAT_S = 0.8
"""Seconds between heartbeats.

The age of a vote counts from the heartbeat that it acknowledges, so a vote is
up to two periods old when the next one arrives. Two periods of 1 s would reach
``VOTE_MAX_AGE_S``.
"""

_MAX_SENT_SEQUENCES = 16


class EntryId(typing.NamedTuple):
    """An entry process.

    :param name: name of the entry, the same after a restart.
    :param incarnation: random number chosen when the process starts.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        return f'{self.name}/{self.incarnation:016x}'

    @classmethod
    def parse(cls, text: str) -> 'EntryId':
        """Parse an id of the form ``name/incarnation``.

        The incarnation is in hexadecimal.

        :raises ValueError: if the text has another form.

        >>> EntryId.parse('e1/00000000000000ff').incarnation
        255
        """
        name, separator, incarnation = text.rpartition('/')
        if not separator or not name:
            raise ValueError(
                f'entry id {text!r} does not have the form name/incarnation'
            )
        return cls(name, int(incarnation, 16))


class Member(typing.NamedTuple):
    """A live entry in a view.

    A draining entry is not assigned exclusive rights, which are defined in
    :mod:`dragonflyslip_core.shares`. The incarnation is 0
    for an entry that is listed but has not sent a heartbeat yet.
    """

    entry_id: EntryId
    draining: bool = False


@dataclasses.dataclass(frozen=True)
class MembershipView:
    """The live entries from the point of view of one entry, sorted by id."""

    members: tuple[Member, ...]

    @property
    def digest(self) -> bytes:
        """Digest of eight bytes, the same for equal views."""
        return view_digest(self)

    def rank(self, entry_id: EntryId) -> int | None:
        """Return the zero-based position of an entry, or None if absent."""
        ids = [member.entry_id for member in self.members]
        return ids.index(entry_id) if entry_id in ids else None


def view_digest(view: MembershipView) -> bytes:
    """Return a digest of eight bytes that is the same for equal views."""
    digest = hashlib.blake2b(digest_size=8)
    for member in view.members:
        digest.update(f'{member.entry_id} {member.draining:d}\n'.encode())
    return digest.digest()


@dataclasses.dataclass(frozen=True)
class MemberReport:
    """The membership part of a heartbeat.

    :param sequence: increases with each heartbeat, also across restarts.
    :param echo: last sequence that the sender received from the recipient,
        0 if none. It proves that the report was made after that heartbeat,
        however long it was in transit or waited to be read.
    :param view_age_s: seconds since the sender's view last changed.
    """

    entry_id: EntryId
    sequence: int
    echo: int
    view_digest: bytes
    view_age_s: float
    draining: bool = False


@dataclasses.dataclass(frozen=True)
class Agreement:
    """Whether a majority of the known entries has the same view as this entry.

    :param votes: number of entries that vote for this entry's view.
    :param population: number of known entries, including this one.
    :param live_count: number of these from which a heartbeat arrived within
        ``LIVENESS_TIMEOUT_S``, including this one.
    :param since: start of the continuous agreement, None without agreement.
    :param last_divisor: number of entries among which limits were divided
        when there was agreement last; None if there never was.
    """

    agreed: bool
    view: MembershipView
    votes: int
    population: int
    live_count: int
    since: float | None = None
    last_divisor: int | None = None

    @property
    def has_live_majority(self) -> bool:
        """Whether more than half of the population sent recent heartbeats."""
        return 2 * self.live_count > self.population


@dataclasses.dataclass
class _Peer:
    report: MemberReport
    heard_at: float
    acknowledged_sent_at: float


class Membership:
    """Membership from the point of view of one entry.

    Times named ``now`` are monotonic seconds.

    :param own: id of this entry.
    :param wall: Unix time at the start in seconds. Sequence numbers start at
        this time in ms, so that those of a process that replaces this one
        are higher.
    :ivar superseded: whether a newer process has this entry's name.
    """

    def __init__(self, own: EntryId, wall: float):
        self.own = own
        self.draining = False
        self.superseded = False
        self.sequence = int(wall * 1000)
        self.listed: set[str] = set()
        self._list_known = False
        self._first_listed: dict[str, float] = {}
        self._last_known: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        self._sent: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._view = MembershipView(members=())
        self._view_digest = b''
        self._view_changed_at = float('-inf')
        self._agreed_since: float | None = None
        self._agreed_digest = b''
        self._agreed_checked_at = float('-inf')
        self._last_divisor: int | None = None

    def observe_list(self, live_names: typing.Iterable[str], now: float):
        """Update the names of the entries that are listed as live."""
        names = set(live_names)
        for name in names | self.listed:
            self._last_known[name] = now
        for name in names - self.listed:
            self._first_listed[name] = now
        self.listed = names
        self._list_known = True

    def observe_heartbeat(self, report: MemberReport, now: float) -> bool:
        """Process the report of a peer.

        :return: False if it was ignored, since a later report of that entry
            is known or it has the name of this entry.
        """
        name = report.entry_id.name
        if name == self.own.name:
            if report.entry_id != self.own and report.sequence > self.sequence:
                self.superseded = True
            return False
        known = self._peers.get(name)
        acknowledged_sent_at = self._sent.get(report.echo, float('-inf'))
        if known is not None:
            same_process = known.report.entry_id == report.entry_id
            silent = now - known.heard_at > LIVENESS_TIMEOUT_S
            late = report.sequence <= known.report.sequence
            if late and (same_process or not silent):
                return False
        self._peers[name] = _Peer(report, now, acknowledged_sent_at)
        self._last_known[name] = now
        return True

    def next_report(self, now: float) -> MemberReport:
        """Return the report for the next round of heartbeats.

        The caller sets ``echo`` for each recipient; see :meth:`echo_for`.
        """
        self.sequence += 1
        self._sent[self.sequence] = now
        while len(self._sent) > _MAX_SENT_SEQUENCES:
            self._sent.popitem(last=False)
        self.view(now)
        return MemberReport(
            entry_id=self.own,
            sequence=self.sequence,
            echo=0,
            view_digest=self._view_digest,
            view_age_s=now - self._view_changed_at,
            draining=self.draining,
        )

    def echo_for(self, name: str) -> int:
        """Return the last sequence received from an entry, 0 if none."""
        peer = self._peers.get(name)
        return 0 if peer is None else peer.report.sequence

    def acknowledged_sent_at(self, name: str) -> float:
        """Return a lower bound of when an entry sent its last heartbeat.

        It is the time at which this entry sent the heartbeat that the other
        one acknowledged; ``-inf`` if there was none.
        """
        peer = self._peers.get(name)
        return float('-inf') if peer is None else peer.acknowledged_sent_at

    def view(self, now: float) -> MembershipView:
        """Return the entries that are live at ``now``, including this one."""
        members = [Member(self.own, self.draining)]
        for name, peer in self._peers.items():
            if now - peer.heard_at <= LIVENESS_TIMEOUT_S:
                report = peer.report
                members.append(Member(report.entry_id, report.draining))
        live_member_names = {member.entry_id.name for member in members}
        for name in self.listed - live_member_names:
            if now - self._first_listed[name] < LIVENESS_TIMEOUT_S:
                members.append(Member(EntryId(name, 0)))
        view = MembershipView(tuple(sorted(members)))
        if view != self._view:
            self._view = view
            self._view_digest = view_digest(view)
            self._view_changed_at = now
        return self._view

    def population(self, now: float) -> set[str]:
        """Return the names of all known entries, including this one.

        Entries are forgotten after ``POPULATION_TTL_S``.
        """
        for name in list(self._last_known):
            forgotten = now - self._last_known[name] > POPULATION_TTL_S
            if forgotten and name not in self.listed:
                del self._last_known[name]
                self._peers.pop(name, None)
                self._first_listed.pop(name, None)
        return {self.own.name, *self._last_known}

    def agreement(self, now: float) -> Agreement:
        """Return whether a majority reports the same view as this entry.

        Call this at least every ``MAX_CHECK_INTERVAL_S``. Use a right that
        depends on the result in the same step, without waiting in between.
        """
        view = self.view(now)
        population = self.population(now)
        votes = 0
        if now - self._view_changed_at >= STABLE_S:
            votes = 1 + sum(
                self._counts_as_vote(peer, now)
                for peer in self._peers.values()
            )
        agreed = (
            self._list_known
            and not self.superseded
            and 2 * votes > len(population)
        )
        self._update_agreed(agreed, now)
        if agreed:
            # The divisor is the population and not the view: entries that
            # are disconnected still use half of their last share, see
            # :func:`shares.share_of`.
            self._last_divisor = max(len(population), len(view.members))
        return Agreement(
            agreed=agreed,
            view=view,
            votes=votes,
            population=len(population),
            live_count=1
            + sum(
                now - peer.heard_at <= LIVENESS_TIMEOUT_S
                for peer in self._peers.values()
            ),
            since=self._agreed_since,
            last_divisor=self._last_divisor,
        )

    def _counts_as_vote(self, peer: _Peer, now: float) -> bool:
        return (
            now - peer.acknowledged_sent_at <= VOTE_MAX_AGE_S
            and peer.report.view_age_s >= STABLE_S
            and peer.report.view_digest == self._view_digest
        )

    def _update_agreed(self, agreed: bool, now: float) -> None:
        if not agreed:
            self._agreed_since = None
        elif (
            self._agreed_since is None
            or self._agreed_digest != self._view_digest
            or now - self._agreed_checked_at > MAX_CHECK_INTERVAL_S
        ):
            self._agreed_since = now
            self._agreed_digest = self._view_digest
        self._agreed_checked_at = now
