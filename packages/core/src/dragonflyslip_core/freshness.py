"""How current the configuration is, and whether an entry may serve."""

import collections.abc
import dataclasses
import enum

FRESH_S = 3.0


class FreshnessState(enum.StrEnum):
    """Whether new work may start.

    ``LOG_DOWN``: no entry can read the log, so nothing changes; serve.
    ``ISOLATED``: something may have been taken out of service unseen;
    refuse.
    """

    FRESH = 'fresh'
    LOG_DOWN = 'log-down'
    ISOLATED = 'isolated'


@dataclasses.dataclass
class _Peer:
    heard_at: float
    read_at: float
    through: int


@dataclasses.dataclass
class Freshness:
    """Times of the last reads of the log that reached its end.

    All times are monotonic seconds of this entry. A paused process handles
    old responses and heartbeats when it resumes. So each observation counts
    from a time before it was made, never from when it was handled.

    :param name: this entry's name in the population.
    :param through: offset through which this entry has the configuration.
    """

    name: str
    through: int = 0
    read_at: float = float('-inf')
    failed_at: float = float('-inf')
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)

    def observe_read(self, sent_at: float, through: int) -> None:
        """Note an own read that reached the end of the log.

        :param sent_at: when the request was sent.
        :param through: offset of the last record, now applied.
        """
        self.through = max(self.through, through)
        self.read_at = max(self.read_at, sent_at)

    def observe_failure(self, sent_at: float) -> None:
        """Note an own read that failed, timed out or missed the end.

        :param sent_at: when the request was sent.
        """
        self.failed_at = max(self.failed_at, sent_at)

    def observe_peer(
        self,
        peer: str,
        sent_after: float,
        age_s: float | None,
        through: int,
    ) -> None:
        """Note a peer's heartbeat.

        :param peer: the peer's name in the population.
        :param sent_after: a time on this entry's clock known to precede the
            sending of the heartbeat, such as when this entry sent the
            heartbeat that the peer last acknowledged. The time of receipt
            is not such a time: this entry may have been paused since.
        :param age_s: seconds since the peer's own last read that reached
            the end of the log; None if it never made one.
        :param through: the peer's configuration offset.
        """
        age_s = float('inf') if age_s is None else max(age_s, 0.0)
        known = self.peers.get(peer)
        if known is None:
            known = _Peer(float('-inf'), float('-inf'), 0)
            self.peers[peer] = known
        known.heard_at = max(known.heard_at, sent_after)
        if sent_after - age_s > known.read_at:
            known.read_at = sent_after - age_s
            known.through = through

    def observe_through(self, through: int) -> None:
        """Note that the configuration was applied through an offset.

        A peer's read counts once this entry has what the peer read.
        """
        self.through = max(self.through, through)

    def forget(self, now: float, keep_s: float = 60.0) -> None:
        """Drop peers that were not heard for ``keep_s`` seconds."""
        self.peers = {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.heard_at <= keep_s
        }

    def age(self, now: float) -> float:
        """Return the seconds since the configuration was known current."""
        relayed = [
            peer.read_at
            for peer in self.peers.values()
            if peer.through <= self.through
        ]
        return now - max([self.read_at, *relayed])

    def own_age(self, now: float) -> float | None:
        """Return the seconds since this entry's own last read, or None.

        Heartbeats pass on this age and not :meth:`age`, so that two entries
        cannot keep each other fresh.
        """
        if self.read_at == float('-inf'):
            return None
        return now - self.read_at

    def state(
        self, now: float, population: collections.abc.Collection[str]
    ) -> FreshnessState:
        """Return whether new work may start at ``now``.

        The log counts as down for everyone if this entry's own read, sent
        within ``FRESH_S``, failed, and a majority of the population,
        itself included, was heard within ``FRESH_S`` and none of them read
        the log within ``FRESH_S``.

        :param population: names of all known entries.
        """
        if self.age(now) < FRESH_S:
            return FreshnessState.FRESH
        if now - self.failed_at >= FRESH_S:
            return FreshnessState.ISOLATED
        members = set(population) | {self.name}
        heard = [
            peer
            for name, peer in self.peers.items()
            if name in members
            and name != self.name
            and now - peer.heard_at < FRESH_S
        ]
        if any(now - peer.read_at < FRESH_S for peer in heard):
            return FreshnessState.ISOLATED
        if 2 * (len(heard) + 1) > len(members):
            return FreshnessState.LOG_DOWN
        return FreshnessState.ISOLATED

    def may_serve(
        self, now: float, population: collections.abc.Collection[str]
    ) -> bool:
        """Return whether new work may start; not while isolated."""
        return self.state(now, population) is not FreshnessState.ISOLATED
