"""Links between any two registered gateways, by name.

A link is opened when there is a message to send, serves both directions, and
is closed when it has not been used for some time. The process at an address
may have been replaced, so each side of a link first says who it is and whom it
expects.
"""

import asyncio
import collections.abc
import functools
import typing

from dragonflyslip_core import membership
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import network_peers
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

CONNECT_TIMEOUT_S = 0.3
# A gateway with little processor time takes some tenths of a second to answer
# a hello.
HELLO_TIMEOUT_S = 1.0
# Room for a link to each gateway of the largest planned fleet, and for some
# of processes that have been replaced.
MAX_LINKS = 1_100
# Messages are refused while more than this waits for one link, or for all.
MAX_LINK_UNSENT_BYTES = 131_072
MAX_UNSENT_BYTES = 2_097_152

Handler = collections.abc.Callable[[membership.EntryId, typing.Any], None]


class PeerNetwork:
    """Sends messages to registered gateways and passes on what they send.

    Messages may be lost, and may overtake each other if both sides open a
    link at the same time.

    :param own_id: id of this gateway.
    :param max_links: number of links, accepted ones included.
    :ivar handlers: called with the sender and the message, by the type of the
        message.
    :ivar gateways: the registered gateways by name.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        own_id: membership.EntryId,
        max_links: int = MAX_LINKS,
    ):
        self.board = board
        self.own_id = own_id
        self.max_links = max_links
        self.loop = asyncio.get_running_loop()
        self.handlers: dict[type, Handler] = {}
        self.gateways: dict[str, entry_records.RegisteredGateway] = {}
        # Processes that are known to have ended, by name.
        self._ended: dict[str, membership.EntryId] = {}
        self.closed = False
        self._peers: dict[str, network_peers.NetworkPeer] = {}
        self._links: dict[peer_links.PeerLink, network_peers.NetworkLink] = {}
        # Not less than the number of bytes that wait for the network.
        self._max_unsent_bytes = 0

    def set_gateways(
        self,
        gateways: collections.abc.Mapping[
            str, entry_records.RegisteredGateway
        ],
    ) -> None:
        """Replace the registered gateways; drop those that were replaced.

        Links to a gateway that is no longer registered stay open: it handles
        its last requests.
        """
        self.gateways = dict(gateways)
        for name, ended in list(self._ended.items()):
            gateway = self.gateways.get(name)
            if gateway is None or gateway.entry_id != ended:
                del self._ended[name]
        for name, peer in list(self._peers.items()):
            gateway = self.gateways.get(name)
            if gateway is None:
                self._stop_opening(peer)
            elif gateway.entry_id != peer.entry_id:
                self._drop_peer(peer)

    @property
    def gone(self) -> collections.abc.Set[str]:
        """Names of registered gateways whose process has ended.

        Their address refuses connections or belongs to another process.
        """
        return self._ended.keys()

    def send(self, name: str, message: wire.Message) -> bool:
        """Send a message to a gateway, and open a link if there is none.

        :return: False if it was not accepted: the name is unknown, the
            gateway could not be reached a moment ago, too many links or bytes
            are in use, or it cannot be encoded or is longer than
            ``MAX_LINK_UNSENT_BYTES``. True does not mean that it arrives;
            until the link is open, it waits.
        """
        now = self.loop.time()
        peer = self._find_peer(name)
        if peer is None:
            return False
        link = peer.best_link
        if link is None and not self._begin_opening(peer, now):
            return False
        frame = self._encode(message)
        if frame is None:
            return False
        if link is not None:
            return self._transmit(link, frame, now)
        if not self._has_room(peer.waiting_bytes, len(frame)):
            return False
        peer.waiting.append(frame)
        self._max_unsent_bytes += len(frame)
        return True

    def _encode(self, message: wire.Message) -> bytes | None:
        """Return a message as a frame, None if a value is out of bounds.

        The values come from records that all gateways read, so an exception
        would end the senders of all of them.
        """
        try:
            return wire.encode_frame(message)
        except wire.WireError as error:
            self.board.count('peer_messages_invalid')
            logs.fault(
                'message not sent',
                error,
                type=type(message).__name__,
                reason=error.message,
            )
            return None

    def accept(self, link: peer_links.PeerLink, message: wire.Hello) -> bool:
        """Take a link that another gateway has opened, or refuse it.

        :return: whether the link belongs to this network now.
        """
        if message.recipient != self.own_id:
            # The process that the sender expects has ended.
            self._send_hello(link, None)
            self.board.count('peer_links_refused')
            return False
        sender = message.sender
        if self._is_replaced(sender) or self._is_full:
            self.board.count('peer_links_refused')
            link.close()
            return False
        peer = self._peers.get(sender.name)
        if peer is not None and peer.entry_id != sender:
            self._drop_peer(peer)
            peer = None
        if peer is None:
            peer = self._add_peer(sender)
        self._send_hello(link, sender)
        self._add_link(peer, link, opener=sender)
        return True

    def receive(
        self, link: peer_links.PeerLink, message: wire.Message
    ) -> None:
        """Handle a message of a peer that has said who it is."""
        state = self._links.get(link)
        if state is None:
            return
        state.record_heard()
        if isinstance(message, wire.Hello):
            if message.wants_reply:
                self._send_hello(link, state.peer)
            return
        state.used_at = self.loop.time()
        self.board.count('peer_messages_received')
        self._handle(state.peer, message)

    def update(self, now: float) -> None:
        """Close, check and forget links; to be called some times a second."""
        for state in list(self._links.values()):
            self._check_link(state, now)
        for name, peer in list(self._peers.items()):
            is_unregistered = name not in self.gateways and not peer.links
            if peer.is_unused or is_unregistered:
                self._stop_opening(peer)
                del self._peers[name]

    def close(self) -> None:
        """Close all links and refuse new ones."""
        self.closed = True
        for peer in list(self._peers.values()):
            self._drop_peer(peer)

    @property
    def _is_full(self) -> bool:
        opening = sum(
            peer.opening is not None for peer in self._peers.values()
        )
        return self.closed or len(self._links) + opening >= self.max_links

    def _is_replaced(self, entry_id: membership.EntryId) -> bool:
        """Return whether another process is known to have this name."""
        if entry_id.name == self.own_id.name:
            return True
        gateway = self.gateways.get(entry_id.name)
        return gateway is not None and gateway.entry_id != entry_id

    def _find_peer(self, name: str) -> network_peers.NetworkPeer | None:
        peer = self._peers.get(name)
        gateway = self.gateways.get(name)
        if peer is not None or gateway is None or self.closed:
            return peer
        if name == self.own_id.name:
            return None
        return self._add_peer(gateway.entry_id)

    def _add_peer(
        self, entry_id: membership.EntryId
    ) -> network_peers.NetworkPeer:
        peer = network_peers.NetworkPeer(entry_id)
        self._peers[entry_id.name] = peer
        return peer

    def _drop_peer(self, peer: network_peers.NetworkPeer) -> None:
        self._stop_opening(peer)
        for state in list(peer.links):
            self._remove_link(state)
        del self._peers[peer.entry_id.name]

    def _begin_opening(
        self, peer: network_peers.NetworkPeer, now: float
    ) -> bool:
        """Open a link to a peer unless one is being opened.

        :return: whether one is being opened now.
        """
        if peer.opening is not None:
            return True
        gateway = self.gateways.get(peer.entry_id.name)
        if gateway is None or now < peer.retry_at:
            return False
        if self._is_full:
            self.board.count('peer_links_refused')
            return False
        peer.opening = self.loop.create_task(self._open(peer, gateway))
        return True

    def _stop_opening(self, peer: network_peers.NetworkPeer) -> None:
        if peer.opening is not None:
            peer.opening.cancel()
            peer.opening = None
        peer.waiting.clear()

    async def _open(
        self,
        peer: network_peers.NetworkPeer,
        gateway: entry_records.RegisteredGateway,
    ) -> None:
        """Open a link and wait until the peer has said who it is.

        The reply cancels this task.
        """
        link = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self.loop.create_connection(
                    lambda: peer_links.PeerLink(
                        self.board,
                        functools.partial(self._receive_reply, peer),
                    ),
                    gateway.host,
                    gateway.port,
                )
            self._send_hello(link, gateway.entry_id, wants_reply=True)
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await link.closed.wait()
            reason = 'closed by the peer'
        except ConnectionRefusedError as error:
            reason = repr(error)
            self._ended[peer.entry_id.name] = peer.entry_id
        except (OSError, TimeoutError) as error:
            reason = repr(error)
        finally:
            if link is not None and link not in self._links:
                link.close()
        peer.opening = None
        self.board.count('peer_connect_failures')
        self._fail(peer, reason)

    def _receive_reply(
        self,
        peer: network_peers.NetworkPeer,
        link: peer_links.PeerLink,
        message: wire.Message,
    ) -> None:
        """Handle the first message on a link that this gateway opened."""
        if (
            not isinstance(message, wire.Hello)
            or message.sender != peer.entry_id
        ):
            self.board.count('peer_links_misdirected')
            if isinstance(message, wire.Hello):
                self._ended[peer.entry_id.name] = peer.entry_id
            link.close()
            return
        if peer.opening is None:
            link.close()
            return
        peer.opening.cancel()
        peer.opening = None
        link.on_message = self.receive
        self._add_link(peer, link, opener=self.own_id)

    def _send_hello(
        self,
        link: peer_links.PeerLink,
        recipient: membership.EntryId | None,
        wants_reply: bool = False,
    ) -> None:
        hello = wire.Hello(
            self.own_id, recipient=recipient, wants_reply=wants_reply
        )
        link.send(wire.encode_frame(hello))

    def _add_link(
        self,
        peer: network_peers.NetworkPeer,
        link: peer_links.PeerLink,
        opener: membership.EntryId,
    ) -> None:
        for known in list(peer.links):
            if known.opener == opener:
                # The peer opened a new one, so it has lost the known one.
                self._remove_link(known)
        if peer.failures:
            logs.info('gateway reached again', gateway=str(peer.entry_id))
            peer.failures = 0
        now = self.loop.time()
        state = network_peers.NetworkLink(link, peer.entry_id, opener, now)
        link.peer = peer.entry_id
        self._ended.pop(peer.entry_id.name, None)
        self._links[link] = state
        peer.links.append(state)
        self.board.count('peer_links_opened')
        waiting, peer.waiting = peer.waiting, []
        for frame in waiting:
            self._transmit(state, frame, now)

    def _remove_link(self, state: network_peers.NetworkLink) -> None:
        state.link.close()
        del self._links[state.link]
        self._peers[state.peer.name].links.remove(state)

    def _check_link(
        self, state: network_peers.NetworkLink, now: float
    ) -> None:
        match state.check(now):
            case network_peers.LinkCheck.PROBE:
                state.probed_at = now
                self._send_hello(state.link, state.peer, wants_reply=True)
            case network_peers.LinkCheck.FINISH:
                state.finished_at = now
                state.link.finish()
            case network_peers.LinkCheck.CLOSE_SILENT:
                self._remove_link(state)
                self.board.count('peer_links_silent')
                self._fail(self._peers[state.peer.name], 'no answer')
            case network_peers.LinkCheck.REMOVE:
                self._remove_link(state)

    def _fail(self, peer: network_peers.NetworkPeer, reason: str) -> None:
        """Record that a peer could not be reached or does not answer."""
        peer.waiting.clear()
        if not peer.failures and peer.best_link is None:
            logs.info(
                'gateway unreachable',
                gateway=str(peer.entry_id),
                reason=reason,
            )
        peer.record_failure(self.loop.time(), self.board.rng)

    def _transmit(
        self, state: network_peers.NetworkLink, frame: bytes, now: float
    ) -> bool:
        if not self._has_room(state.link.unsent_bytes, len(frame)):
            return False
        if not state.link.send(frame):
            return False
        self._max_unsent_bytes += len(frame)
        state.record_sent(now)
        self.board.count('peer_messages_sent')
        return True

    def _has_room(self, link_bytes: int, size: int) -> bool:
        """Return whether a frame may wait for the network; count if not.

        :param link_bytes: bytes that wait for the same link.
        """
        if self._max_unsent_bytes + size > MAX_UNSENT_BYTES:
            self._max_unsent_bytes = sum(
                link.unsent_bytes for link in self._links
            ) + sum(peer.waiting_bytes for peer in self._peers.values())
        has_room = (
            link_bytes + size <= MAX_LINK_UNSENT_BYTES
            and self._max_unsent_bytes + size <= MAX_UNSENT_BYTES
        )
        if not has_room:
            self.board.count('peer_messages_refused')
        return has_room

    def _handle(
        self, sender: membership.EntryId, message: wire.Message
    ) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            self.board.count('peer_unknown_messages')
            return
        try:
            handler(sender, message)
        except Exception as error:
            # A message of one gateway must not end the link, nor this one.
            self.board.count('program_faults')
            logs.fault(
                'message could not be handled',
                error,
                type=type(message).__name__,
                sender=str(sender),
            )
