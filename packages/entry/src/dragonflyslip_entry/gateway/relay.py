"""Copies feeds between gateways.

A gateway subscribes to a few providers, which registered before it, and serves
subscribers of its own. The protocol is that of ``peer.capnp``.
"""

import asyncio
import collections.abc

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import page_pulls
from dragonflyslip_entry.gateway import provider_links
from dragonflyslip_entry.gateway import subscribers as subscriber_types
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

CONNECT_TIMEOUT_S = 0.3
STATUS_PERIOD_S = 0.3
# A provider that sends no status within this time has ended without closing
# the connection.
PROVIDER_TIMEOUT_S = 3.0
# Subscribers renew their subscription, so that providers can drop those that
# have ended.
SUBSCRIBE_PERIOD_S = 3.0

OnPage = collections.abc.Callable[[str, feeds.FeedPage], None]


class FeedRelay:
    """Copies feeds from gateways that registered earlier to later ones.

    :param own_id: id of this gateway.
    :param copies: this gateway's copies by feed.
    :param on_page: applies a page that a provider sent.
    :param ages: returns the age in seconds of each feed's copy.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        own_id: membership.EntryId,
        copies: subscriber_types.Copies,
        on_page: OnPage,
        ages: subscriber_types.Ages,
    ):
        self.board = board
        self.own_id = own_id
        self.copies = copies
        self.on_page = on_page
        self.loop = asyncio.get_running_loop()
        self.provider_selector = provider_types.ProviderSelector(())
        self.subscribers = subscriber_types.Subscribers(
            board, own_id, copies, ages
        )
        self._links: dict[membership.EntryId, provider_links.ProviderLink] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self.pulls = page_pulls.PagePulls(copies)
        # Feeds whose first copy may come from a provider that is not fresh.
        self.unreadable: set[str] = set()

    def follow(self, providers: list[provider_types.Provider]) -> None:
        """Copy from the best of these from the next :meth:`update` on.

        Links to providers that stay among them are kept.

        :param providers: the gateways that registered earlier.
        """
        for provider in self.provider_selector.follow(providers):
            self._close_link(provider)

    def update(self, now: float, starting: bool = False) -> None:
        """Check, close and open links; send the status if it is due.

        :param starting: whether this gateway lacks the copy of a feed.
        """
        for provider_link in list(self._links.values()):
            self._check_provider(provider_link, now)
        for provider in self.provider_selector.unneeded_providers():
            self.provider_selector.disconnected(provider)
            self._links.pop(provider.entry_id).link.close()
        for provider in self.provider_selector.providers_to_connect(
            now, starting
        ):
            self._open_link(provider)
        self.subscribers.drop_stale(now)
        if now - self.subscribers.announced_at >= STATUS_PERIOD_S:
            self.announce()

    def announce(self) -> None:
        """Send the state of all feeds to the subscribers."""
        self.subscribers.announce()

    def age_s(self, name: str, now: float) -> float:
        """Return the seconds since a provider confirmed a copy as current."""
        return min(
            (
                provider_link.age_s(name, now)
                for provider_link in self._links.values()
                if not provider_link.is_of_older_era(
                    name, self.copies[name].through
                )
            ),
            default=float('inf'),
        )

    def registration_ended(self, name: str, before: feeds.Position) -> None:
        """Stop copying from a gateway whose registration has ended.

        :param before: position of the record that ended its registration.
        """
        ended = self.provider_selector.registration_ended(name, before)
        for provider in ended:
            self._close_link(provider)

    def _close_link(self, provider: provider_types.Provider) -> None:
        provider_link = self._links.pop(provider.entry_id, None)
        if provider_link is not None:
            provider_link.link.close()

    def close(self) -> None:
        """Close all links."""
        self.subscribers.close()
        for task in self._connecting:
            task.cancel()
        for provider_link in self._links.values():
            provider_link.link.close()

    @property
    def has_provider(self) -> bool:
        """Whether a connected provider has sent a status."""
        return any(
            provider_link.states for provider_link in self._links.values()
        )

    @property
    def has_promising_provider(self) -> bool:
        """Whether a connected provider is fresh, or has just started.

        One that has just started sends a status without feeds.
        """
        return any(
            provider_link.status_received_at > float('-inf')
            and all(
                map(provider_links.is_fresh, provider_link.states.values())
            )
            for provider_link in self._links.values()
        )

    def _check_provider(
        self, provider_link: provider_links.ProviderLink, now: float
    ) -> None:
        silent_s = now - max(
            provider_link.status_received_at, provider_link.opened_at
        )
        limit_s = (
            PROVIDER_TIMEOUT_S
            if provider_link.states
            else provider_types.FRESH_S
        )
        # Its status may be queued behind a long page.
        is_sending = self.pulls.is_receiving(provider_link.link, now)
        if not provider_link.link.open or (
            silent_s > limit_s and not is_sending
        ):
            self._drop_provider(provider_link, now)
            return
        for name, copy in self.copies.items():
            provider_link.confirm(name, copy.through)
        self._pull_missing(provider_link, now)
        if provider_link.states:
            fresh = all(
                provider_link.age_s(name, now) <= provider_types.FRESH_S
                and not provider_link.is_of_older_era(name, copy.through)
                and not self.pulls.is_overdue(name, now)
                for name, copy in self.copies.items()
            )
            self.provider_selector.set_fresh(provider_link.provider, fresh)
        if now - provider_link.subscribed_at >= SUBSCRIBE_PERIOD_S:
            self._subscribe(provider_link, now)

    def _drop_provider(
        self, provider_link: provider_links.ProviderLink, now: float
    ) -> None:
        provider_link.link.close()
        del self._links[provider_link.provider.entry_id]
        self.provider_selector.closed(provider_link.provider, now)
        logs.info(
            'provider lost', provider=str(provider_link.provider.entry_id)
        )

    def _open_link(self, provider: provider_types.Provider) -> None:
        self.provider_selector.opened(provider)
        task = self.loop.create_task(self._connect(provider))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, provider: provider_types.Provider) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self.loop.create_connection(
                    lambda: peer_links.PeerLink(self.board, self._receive),
                    provider.host,
                    provider.port,
                )
        except (OSError, TimeoutError) as error:
            self.provider_selector.closed(provider, self.loop.time())
            self.board.count('provider_connect_failures')
            logs.info(
                'provider unreachable',
                provider=str(provider.entry_id),
                reason=repr(error),
            )
            return
        link.peer = provider.entry_id
        if not self.provider_selector.contains(provider.entry_id):
            # Its registration ended meanwhile.
            link.close()
            return
        now = self.loop.time()
        provider_link = provider_links.ProviderLink(provider, link, now, now)
        self._links[provider.entry_id] = provider_link
        self._subscribe(provider_link, now)
        logs.info('provider connected', provider=str(provider.entry_id))

    def _subscribe(
        self, provider_link: provider_links.ProviderLink, now: float
    ) -> None:
        provider_link.subscribed_at = now
        provider_link.link.send(
            wire.encode_frame(
                wire.FeedSubscribe(
                    self.own_id, provider_link.provider.entry_id
                )
            )
        )

    def _receive(
        self, link: peer_links.PeerLink, message: wire.Message
    ) -> None:
        match message:
            case wire.FeedStatus():
                self._handle_status(link, message)
            case wire.FeedPush():
                self._handle_page(link, message)
            case wire.Hello():
                # The process to which this gateway subscribed has ended.
                self._handle_refusal(link, message)
            case _:
                self.board.count('peer_unknown_messages')

    def _handle_status(
        self, link: peer_links.PeerLink, message: wire.FeedStatus
    ) -> None:
        provider_link = (
            self._links.get(link.peer) if link.peer is not None else None
        )
        if provider_link is None or provider_link.link is not link:
            return
        now = self.loop.time()
        provider_link.states = {state.name: state for state in message.feeds}
        provider_link.status_received_at = now
        self.board.fleet.record_count(message.entries, now)
        self._check_provider(provider_link, now)

    def _handle_page(
        self, link: peer_links.PeerLink, message: wire.FeedPush
    ) -> None:
        if all(known.link is not link for known in self._links.values()):
            # Only a provider is asked for pages. Another process might bring
            # a record into force that the store does not hold.
            self.board.count('peer_unasked_pages')
            return
        self.pulls.end(message.name)
        copy = self.copies.get(message.name)
        if copy is None:
            return
        self.on_page(message.name, message.page)
        for provider_link in self._links.values():
            provider_link.confirm(message.name, copy.through)

    def _handle_refusal(
        self, link: peer_links.PeerLink, message: wire.Hello
    ) -> None:
        provider_link = (
            self._links.get(link.peer) if link.peer is not None else None
        )
        if (
            provider_link is None
            or message.sender == provider_link.provider.entry_id
        ):
            return
        del self._links[provider_link.provider.entry_id]
        self.provider_selector.replaced(provider_link.provider)
        link.close()
        logs.info('provider replaced', provider=str(message.sender))

    def _pull_missing(
        self, provider_link: provider_links.ProviderLink, now: float
    ) -> None:
        for name, copy in self.copies.items():
            state = provider_link.states.get(name)
            if state is None or (
                copy.through is not None and state.through <= copy.through
            ):
                continue
            if (
                copy.through is None
                and not provider_links.is_fresh(state)
                and name not in self.unreadable
            ):
                # It may lack the end of a target, a domain or a route that
                # the store tells a process which starts.
                continue
            if not self.pulls.begin(name, provider_link.link, now):
                continue
            self.board.count('feed_pulls')
            provider_link.link.send(
                wire.encode_frame(wire.FeedPull(name, copy.through))
            )
