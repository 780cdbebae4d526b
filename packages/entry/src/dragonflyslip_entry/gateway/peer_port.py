"""The port for other gateways, which links of several kinds share."""

import asyncio
import collections.abc
import typing

from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

# A link that no owner has taken within this time is closed.
FIRST_MESSAGE_TIMEOUT_S = 10.0


class LinkOwner(typing.Protocol):
    """Takes accepted links by their first message."""

    def accept(self, link: peer_links.PeerLink, message: typing.Any) -> bool:
        """Handle the first message of a link; return whether to keep it."""

    def receive(
        self, link: peer_links.PeerLink, message: wire.Message
    ) -> None:
        """Handle a further message of a link that was kept."""


class PeerPort:
    """Accepts links and hands each to the owner of its first message.

    :param owners: owners by the type of the first message.
    """

    def __init__(
        self,
        counters: peer_links.Counters,
        owners: collections.abc.Mapping[type, LinkOwner],
    ):
        self.counters = counters
        self.owners = owners
        self.loop = asyncio.get_running_loop()
        # Links without an owner, and when they were accepted.
        self._unowned: dict[peer_links.PeerLink, float] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept links from other gateways."""
        self._server = await self.loop.create_server(
            self._accept, host, port, reuse_address=True
        )

    def update(self, now: float) -> None:
        """Close links that no owner has taken in time."""
        for link, accepted_at in list(self._unowned.items()):
            if now - accepted_at > FIRST_MESSAGE_TIMEOUT_S:
                self._drop(link)

    def close(self) -> None:
        """Stop listening; links that have an owner stay open."""
        if self._server is not None:
            self._server.close()
        for link in list(self._unowned):
            self._drop(link)

    def _accept(self) -> peer_links.PeerLink:
        link = peer_links.PeerLink(self.counters, self._receive)
        self._unowned[link] = self.loop.time()
        return link

    def _receive(
        self, link: peer_links.PeerLink, message: wire.Message
    ) -> None:
        owner = self.owners.get(type(message))
        if owner is None:
            # A page that nobody asked for might bring a record into force
            # that the store does not hold.
            unasked = isinstance(message, wire.FeedPush)
            self.counters.count(
                'peer_unasked_pages' if unasked else 'peer_unknown_messages'
            )
        elif link in self._unowned and owner.accept(link, message):
            del self._unowned[link]
            link.on_message = owner.receive

    def _drop(self, link: peer_links.PeerLink) -> None:
        del self._unowned[link]
        link.close()
