"""State of the links to one gateway. Times are monotonic seconds."""

import asyncio
import dataclasses
import enum
import random

from dragonflyslip_core import membership
from dragonflyslip_entry import peer_links

# Delay before a gateway is tried again, doubled with each failure.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
IDLE_TIMEOUT_S = 5.0
# A peer that sends nothing back for the first time is asked for a sign of
# life, and its link is closed if none arrives in the second one. Connections
# to machines without power, or across a partition, stay open otherwise.
PROBE_DELAY_S = 1.5
ANSWER_TIMEOUT_S = 1.5
# Time in which the peer of an idle link may still send what it has begun.
FINISH_TIMEOUT_S = 1.0


class LinkCheck(enum.Enum):
    """What a link needs."""

    NOTHING = enum.auto()
    PROBE = enum.auto()
    FINISH = enum.auto()
    CLOSE_SILENT = enum.auto()
    REMOVE = enum.auto()


@dataclasses.dataclass(eq=False)
class NetworkLink:
    """A link whose peer has said who it is.

    :param opener: the process that opened the link.
    :param used_at: when a message was last sent or received.
    :param unanswered_since: when a message was sent first since the peer last
        sent any byte; None if there is none.
    :param probed_at: when the peer was asked for a sign of life since then;
        None if it was not.
    :param finished_at: when this side stopped sending; None if it has not.
    """

    link: peer_links.PeerLink
    peer: membership.EntryId
    opener: membership.EntryId
    used_at: float
    unanswered_since: float | None = None
    probed_at: float | None = None
    finished_at: float | None = None

    def __post_init__(self):
        self._received_bytes = self.link.received_bytes

    def record_sent(self, now: float) -> None:
        """Record that a message was sent."""
        self.used_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now

    def record_heard(self) -> None:
        """Record that the peer has sent something."""
        self._received_bytes = self.link.received_bytes
        self.unanswered_since = None
        self.probed_at = None

    def check(self, now: float) -> LinkCheck:
        """Return what the link needs now."""
        if self.link.received_bytes != self._received_bytes:
            # A long message may arrive for longer than the limits.
            self.record_heard()
        if self.finished_at is not None:
            ended = now - self.finished_at >= FINISH_TIMEOUT_S
            if ended or self.link.closed.is_set():
                return LinkCheck.REMOVE
            return LinkCheck.NOTHING
        if not self.link.open:
            return LinkCheck.REMOVE
        if self._is_silent(self.probed_at, ANSWER_TIMEOUT_S, now):
            return LinkCheck.CLOSE_SILENT
        if self.probed_at is None and self._is_silent(
            self.unanswered_since, PROBE_DELAY_S, now
        ):
            return LinkCheck.PROBE
        if now - self.used_at >= IDLE_TIMEOUT_S:
            return LinkCheck.FINISH
        return LinkCheck.NOTHING

    @staticmethod
    def _is_silent(since: float | None, limit_s: float, now: float) -> bool:
        return since is not None and now - since >= limit_s


@dataclasses.dataclass(eq=False)
class NetworkPeer:
    """The links to one process, and the attempt to open one.

    :param opening: the attempt to open a link, if there is one.
    :param waiting: frames that are sent once a link is open.
    :param failures: attempts that failed since the last one that succeeded.
    :param retry_at: when the next attempt may begin.
    """

    entry_id: membership.EntryId
    links: list[NetworkLink] = dataclasses.field(default_factory=list)
    opening: asyncio.Task[None] | None = None
    waiting: list[bytes] = dataclasses.field(default_factory=list)
    failures: int = 0
    retry_at: float = float('-inf')

    @property
    def best_link(self) -> NetworkLink | None:
        """The link to send on, None if none is open.

        If both sides have opened one, both send on the same, so that the
        other one becomes idle.
        """
        return min(
            (item for item in self.links if item.link.open),
            key=lambda item: item.opener,
            default=None,
        )

    @property
    def waiting_bytes(self) -> int:
        """Length of the frames that wait for a link."""
        return sum(map(len, self.waiting))

    @property
    def is_unused(self) -> bool:
        """Whether nothing is known of the process that must be kept."""
        return not self.links and self.opening is None and not self.failures

    def record_failure(self, now: float, rng: random.Random) -> None:
        """Record that the process could not be reached or does not answer."""
        delay_s = min(RETRY_MIN_S * 2**self.failures, RETRY_MAX_S)
        # Many gateways may lose the same peer at once.
        self.retry_at = now + delay_s * rng.uniform(0.5, 1.0)
        if delay_s < RETRY_MAX_S:
            self.failures += 1
