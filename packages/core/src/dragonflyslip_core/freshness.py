"""How current the configuration is, and whether an entry may serve.

An entry reads the configuration from a replicated log. Its peers state in
heartbeats how recently they themselves read the end of the log.
"""

import collections.abc
import dataclasses
import enum

# A configuration known to be current within this time is fresh; the same
# limit applies to peers' heartbeats and to failed reads.
FRESH_S = 3.0


class FreshnessState(enum.StrEnum):
    """Whether new work may start.

    ``FRESH``: the configuration is current, so new work may start.
    ``LOG_DOWN``: no entry can read the log, so the configuration cannot
    change and new work may start.
    ``ISOLATED``: this entry may have missed that something was taken out of
    service, so new work is refused.
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
    """Tracks when this entry and its peers last read the log to its end.

    All times are monotonic seconds of this entry. A process that was paused
    handles old responses and heartbeats when it resumes. So each observation
    is dated with a time before it was made, never with the time at which it
    is handled.

    :param name: this entry's name among all known entries.
    :param through: offset of the last record of the configuration that this
        entry has applied.
    :param read_at: when the last own read that reached the end was sent.
    :param failed_at: when the last own read that failed was sent.
    :param peers: what each peer's heartbeats said, by name.
    """

    name: str
    through: int = 0
    read_at: float = float('-inf')
    failed_at: float = float('-inf')
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)

    def observe_read(self, sent_at: float, through: int) -> None:
        """Record an own read that reached the end of the log.

        :param sent_at: when the request was sent.
        :param through: offset of the last record, which is now applied.
        """
        self.through = max(self.through, through)
        self.read_at = max(self.read_at, sent_at)

    def observe_failure(self, sent_at: float) -> None:
        """Record an own read that failed, timed out or missed the end.

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
        """Record a peer's heartbeat.

        :param peer: the peer's name among all known entries.
        :param sent_after: a time on this entry's clock known to precede the
            sending of the heartbeat, such as when this entry sent the
            heartbeat that the peer last acknowledged. The time of receipt
            is not such a time: this entry may have been paused since.
        :param age_s: seconds since the peer's own last read that reached
            the end of the log; None if it never made one.
        :param through: offset through which the peer has applied the
            configuration.
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
        """Record that the configuration was applied through an offset.

        A peer's read counts only once this entry has applied as much as the
        peer had.
        """
        self.through = max(self.through, through)

    def forget(self, now: float, keep_s: float = 60.0) -> None:
        """Drop peers without a heartbeat for ``keep_s`` seconds."""
        self.peers = {
            name: peer
            for name, peer in self.peers.items()
            if now - peer.heard_at <= keep_s
        }

    def age(self, now: float) -> float:
        """Return the seconds since the configuration was last verified."""
        peer_read_times = [
            peer.read_at
            for peer in self.peers.values()
            if peer.through <= self.through
        ]
        return now - max([self.read_at, *peer_read_times])

    def own_age(self, now: float) -> float | None:
        """Return the seconds since this entry's own last read, or None.

        Heartbeats carry this age instead of :meth:`age`. Otherwise, two
        entries could keep each other fresh without either reading the log.
        """
        if self.read_at == float('-inf'):
            return None
        return now - self.read_at

    def state(
        self, now: float, population: collections.abc.Collection[str]
    ) -> FreshnessState:
        """Return whether new work may start at ``now``.

        The log counts as down for all entries if an own read sent within
        the last ``FRESH_S`` failed, a majority of the known entries, itself
        included, sent a heartbeat in that time, and none of those read the
        log in that time.

        :param population: names of all known entries.
        """
        if self.age(now) < FRESH_S:
            return FreshnessState.FRESH
        if now - self.failed_at >= FRESH_S:
            return FreshnessState.ISOLATED
        members = set(population) | {self.name}
        live_peers = [
            peer
            for name, peer in self.peers.items()
            if name in members
            and name != self.name
            and now - peer.heard_at < FRESH_S
        ]
        if any(now - peer.read_at < FRESH_S for peer in live_peers):
            return FreshnessState.ISOLATED
        if 2 * (len(live_peers) + 1) > len(members):
            return FreshnessState.LOG_DOWN
        return FreshnessState.ISOLATED

    def may_serve(
        self, now: float, population: collections.abc.Collection[str]
    ) -> bool:
        """Return whether new work may start: unless the entry is isolated."""
        return self.state(now, population) is not FreshnessState.ISOLATED
