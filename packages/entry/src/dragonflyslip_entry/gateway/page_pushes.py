"""Pages that a gateway sends to those that copy feeds from it."""

import collections.abc

from dragonflyslip_core import feeds
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

# A page longer than this is sent only while few bytes wait for the network.
# Subscribers that get none read the store, over links of their own.
LONG_PAGE_BYTES = 16_384
MAX_UNSENT_BYTES = 524_288


class PagePushes:
    """Encodes and sends pages.

    :param copies: this gateway's copies by feed.
    :param subscribers: links to the gateways that copy from this one.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        copies: collections.abc.Mapping[str, feeds.FeedCopy],
        subscribers: collections.abc.Collection[peer_links.PeerLink],
    ):
        self.board = board
        self.copies = copies
        self.subscribers = subscribers
        # Encoded pages, which several subscribers request, until the copies
        # change.
        self._frames: dict[tuple[str, feeds.Position | None], bytes] = {}

    def forget(self) -> None:
        """Drop the encoded pages, since a copy may have changed."""
        self._frames.clear()

    def send(self, link: peer_links.PeerLink, message: wire.FeedPull) -> None:
        """Send the page that a subscriber requests, unless it would pile up.

        Pages that a slow link cannot carry would pile up on it, since a
        subscriber that gets none asks again.
        """
        frame = self._encode(message)
        if frame is None:
            return
        if len(frame) > LONG_PAGE_BYTES and self._is_congested(link):
            self.board.count('feed_pages_deferred')
            return
        self.board.count('feed_pages_sent')
        link.send(frame)

    def _encode(self, message: wire.FeedPull) -> bytes | None:
        key = message.name, message.start
        if key in self._frames:
            return self._frames[key]
        copy = self.copies.get(message.name)
        page = None if copy is None else copy.changes_since(message.start)
        if page is None:
            return None
        try:
            frame = wire.encode_frame(wire.FeedPush(message.name, page))
        except wire.WireError as error:
            # A subscriber that receives no page reads the log itself.
            self.board.count('feed_pages_too_long')
            logs.info('page not sent', feed=message.name, reason=error.message)
            return None
        self._frames[key] = frame
        return frame

    def _is_congested(self, link: peer_links.PeerLink) -> bool:
        """Return whether the network has too much to carry for a long page."""
        unsent_bytes = sum(item.unsent_bytes for item in self.subscribers)
        return link.unsent_bytes > 0 or unsent_bytes > MAX_UNSENT_BYTES
