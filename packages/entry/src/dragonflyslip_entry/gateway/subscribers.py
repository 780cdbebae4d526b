"""Gateways that copy feeds from this one, and the pages sent to them."""

import asyncio
import collections.abc

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

# A page longer than this is sent only while few bytes wait for the network.
# Subscribers that get none read the store, over links of their own.
LONG_PAGE_BYTES = 16_384
MAX_UNSENT_BYTES = 524_288
# A subscriber that does not renew its subscription within this time has ended.
SUBSCRIBER_TIMEOUT_S = 10.0

Copies = collections.abc.Mapping[str, feeds.FeedCopy]
Ages = collections.abc.Callable[[float], dict[str, float]]


class Subscribers:
    """Serves feeds to the gateways that subscribed to this one.

    :param own_id: id of this gateway.
    :param copies: this gateway's copies by feed.
    :param ages: returns the age in seconds of each feed's copy.
    :ivar links: when each subscriber last subscribed, by its link.
    :ivar announced_at: when the state of all feeds was last sent.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        own_id: membership.EntryId,
        copies: Copies,
        ages: Ages,
    ):
        self.board = board
        self.own_id = own_id
        self.copies = copies
        self.ages = ages
        self.loop = asyncio.get_running_loop()
        self.links: dict[peer_links.PeerLink, float] = {}
        self.announced_at = float('-inf')
        self._page_frames: dict[tuple[str, feeds.Position | None], bytes] = {}

    def announce(self) -> None:
        """Send the state of all feeds to the subscribers."""
        self._page_frames.clear()
        self.announced_at = self.loop.time()
        if not self.links:
            return
        frame = wire.encode_frame(self._status())
        for link in self.links:
            link.send(frame)

    def accept(
        self, link: peer_links.PeerLink, message: wire.FeedSubscribe
    ) -> bool:
        """Add or renew a subscriber; refuse it if it expects another process.

        :return: whether it is subscribed.
        """
        if message.provider != self.own_id:
            # The process to which the sender wants to subscribe has ended.
            link.send(wire.encode_frame(wire.Hello(self.own_id)))
            return False
        known = link in self.links
        link.peer = message.sender
        self.links[link] = self.loop.time()
        if not known:
            link.send(wire.encode_frame(self._status()))
        return True

    def receive(
        self, link: peer_links.PeerLink, message: wire.Message
    ) -> None:
        """Handle a message of a subscriber."""
        match message:
            case wire.FeedSubscribe():
                self.accept(link, message)
            case wire.FeedPull():
                self.send_page(link, message)
            case wire.FeedPush():
                # Only a provider is asked for pages.
                self.board.count('peer_unasked_pages')
            case _:
                self.board.count('peer_unknown_messages')

    def send_page(
        self, link: peer_links.PeerLink, message: wire.FeedPull
    ) -> None:
        """Send the changes that a subscriber asks for."""
        copy = self.copies.get(message.name)
        page = None if copy is None else copy.changes_since(message.start)
        if page is None:
            return
        key = message.name, message.start
        frame = self._page_frames.get(key)
        if frame is None:
            try:
                frame = wire.encode_frame(wire.FeedPush(message.name, page))
            except wire.WireError as error:
                # A subscriber that receives no page reads the log itself.
                self.board.count('feed_pages_too_long')
                logs.info(
                    'page not sent', feed=message.name, reason=error.message
                )
                return
            self._page_frames[key] = frame
        if len(frame) > LONG_PAGE_BYTES and self._is_congested(link):
            self.board.count('feed_pages_deferred')
            return
        self.board.count('feed_pages_sent')
        link.send(frame)

    def drop_stale(self, now: float) -> None:
        """Close the links of subscribers that have ended; count the others."""
        for link, subscribed_at in list(self.links.items()):
            if not link.open or now - subscribed_at > SUBSCRIBER_TIMEOUT_S:
                link.close()
                del self.links[link]
        self.board.fleet.record_count(1 + len(self.links), now)

    def close(self) -> None:
        """Close all links; the subscribers find other gateways."""
        for link in self.links:
            link.close()
        self.links.clear()

    def _status(self) -> wire.FeedStatus:
        ages = self.ages(self.loop.time())
        states = tuple(
            wire.FeedState(name, copy.through, ages[name])
            for name, copy in self.copies.items()
            if copy.through is not None
        )
        # Of the live gateways, only this one and its subscribers are counted.
        return wire.FeedStatus(states, 1 + len(self.links))

    def _is_congested(self, link: peer_links.PeerLink) -> bool:
        """Return whether the network has too much to carry for a long page.

        Pages that a slow link cannot carry would pile up on it, since a
        subscriber that gets none asks again.
        """
        unsent_bytes = sum(item.unsent_bytes for item in self.links)
        return link.unsent_bytes > 0 or unsent_bytes > MAX_UNSENT_BYTES
