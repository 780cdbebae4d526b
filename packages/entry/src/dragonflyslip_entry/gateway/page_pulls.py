"""Requests for pages that a gateway lacks and its providers have."""

import collections.abc

from dragonflyslip_core import feeds
from dragonflyslip_core import transfers
from dragonflyslip_entry import peer_links

# A copy that a provider could update, but that reaches no further for this
# long, is not fresh unless a page arrives.
MAX_BEHIND_S = 0.5


class Pull:
    """A request for a page of one feed, until the page has arrived.

    :param link: link to the provider that was asked.
    """

    def __init__(self, link: peer_links.PeerLink, now: float):
        self.link = link
        self.deadline = transfers.TransferDeadline(now)
        self.received_bytes = link.received_bytes

    @property
    def arrives(self) -> bool:
        """Whether a part of the page, or of one before it, has arrived."""
        return self.deadline.body_began_at is not None

    def is_pending(self, now: float) -> bool:
        """Return whether the page may still arrive."""
        if not self.link.open:
            return False
        count = self.link.received_bytes - self.received_bytes
        self.received_bytes = self.link.received_bytes
        if count > 0 and self.link.decoder.has_partial_frame:
            if not self.arrives:
                self.deadline.begin_body(now)
            self.deadline.record_bytes(count, now)
        return now < self.deadline.at


class PagePulls:
    """The requests for pages of all feeds. Times are monotonic seconds.

    :param copies: this gateway's copies by feed.
    """

    def __init__(self, copies: collections.abc.Mapping[str, feeds.FeedCopy]):
        self.copies = copies
        self._pulls: dict[str, Pull] = {}
        # Offset that a copy has reached while a provider has more, and since
        # when it does not reach further.
        self._behind: dict[str, tuple[int | None, float]] = {}

    def begin(self, name: str, link: peer_links.PeerLink, now: float) -> bool:
        """Record that a provider has more of a feed than the copy.

        :return: whether to ask it for a page. Not so while one may arrive.
        """
        through = self.copies[name].through
        behind = self._behind.get(name)
        if behind is None or behind[0] != through:
            self._behind[name] = through, now
        pull = self._pulls.get(name)
        if pull is not None and pull.is_pending(now):
            return False
        self._pulls[name] = Pull(link, now)
        return True

    def end(self, name: str) -> None:
        """Record that a page of a feed has arrived."""
        self._pulls.pop(name, None)

    def is_receiving(self, link: peer_links.PeerLink, now: float) -> bool:
        """Return whether a page is arriving over a link."""
        return any(
            pull.link is link and pull.is_pending(now) and pull.arrives
            for pull in self._pulls.values()
        )

    def is_overdue(self, name: str, now: float) -> bool:
        """Return whether no provider sends a page that one of them has."""
        through, since = self._behind.get(name, (None, now))
        if self.copies[name].through != through:
            self._behind.pop(name, None)
            return False
        if now - since <= MAX_BEHIND_S:
            return False
        pull = self._pulls.get(name)
        return pull is None or not (pull.is_pending(now) and pull.arrives)
