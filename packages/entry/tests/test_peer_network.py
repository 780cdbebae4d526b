"""Links between gateways whose peers are replaced, silent or gone."""

import asyncio
import random

import pytest

from dragonflyslip_core import membership
from dragonflyslip_core import names
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import entry_records
from dragonflyslip_entry.gateway import network_peers
from dragonflyslip_entry.gateway import peer_network
from dragonflyslip_entry.gateway import peer_port
from dragonflyslip_entry.gateway import subscribers
from dragonflyslip_testing import ports
from dragonflyslip_testing import relay
import dragonflyslip_wire as wire

FRAME_BYTES = 60_000


async def until(condition) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


class Node:
    """A gateway that has only its port for other gateways."""

    def __init__(self, name, number, incarnation=1, **options):
        self.own_id = membership.EntryId(name, incarnation)
        self.number = number
        self.board = board_types.GatewayBoard(
            name, 'zone-a', random.Random(1), 0.0, 0.0, 1.0, 1
        )
        self.count = self.board.counters
        self.network = peer_network.PeerNetwork(
            self.board, self.own_id, **options
        )
        self.subscribers = subscribers.Subscribers(
            self.board, self.own_id, {}, lambda now: {}
        )
        owners = {
            wire.FeedSubscribe: self.subscribers,
            wire.Hello: self.network,
        }
        self.port = peer_port.PeerPort(self.board, owners)
        self.received: list[tuple[membership.EntryId, int]] = []
        self.network.handlers[wire.NoticeAck] = lambda sender, message: (
            self.received.append((sender, message.notice_id))
        )

    async def run(self) -> None:
        while True:
            self.network.update(asyncio.get_running_loop().time())
            await asyncio.sleep(0.01)

    def knows(self, *nodes: 'Node', number: int = 0) -> None:
        self.network.set_gateways(
            {
                node.own_id.name: entry_records.RegisteredGateway(
                    node.own_id, 'a', '127.0.0.1', number or node.number
                )
                for node in nodes
            }
        )

    def send(self, name: str, number: int = 0) -> bool:
        return self.network.send(name, wire.NoticeAck(number))

    def close(self) -> None:
        self.task.cancel()
        self.port.close()
        self.network.close()


@pytest.fixture
async def node(monkeypatch):
    monkeypatch.setattr(network_peers, 'PROBE_DELAY_S', 0.1)
    monkeypatch.setattr(network_peers, 'ANSWER_TIMEOUT_S', 0.2)
    monkeypatch.setattr(network_peers, 'IDLE_TIMEOUT_S', 0.5)
    monkeypatch.setattr(peer_network, 'HELLO_TIMEOUT_S', 0.1)
    made = []

    async def make(name, number=None, **options):
        made.append(Node(name, number or ports.free_port(), **options))
        await made[-1].port.listen('127.0.0.1', made[-1].number)
        made[-1].task = asyncio.create_task(made[-1].run())
        return made[-1]

    yield make
    for item in made:
        item.close()


@pytest.fixture
async def pair(node):
    a, b = await node('a'), await node('b')
    a.knows(a, b)
    b.knows(a, b)
    return a, b


class TestSend:
    async def test_one_link_serves_both_directions(self, pair):
        a, b = pair
        assert not a.send('a') and not a.send('unknown')
        assert all(a.send('b', number) for number in range(3))
        await until(lambda: len(b.received) == 3)
        assert b.received == [(a.own_id, number) for number in range(3)]
        assert b.send('a', 7)
        await until(lambda: a.received == [(b.own_id, 7)])
        assert a.count['peer_links_opened'] == 1
        assert b.count['peer_links_opened'] == 1

    async def test_of_two_links_only_one_stays(self, pair):
        """Guards against two links that both stay in use."""
        a, b = pair
        assert a.send('b') and b.send('a')
        await until(lambda: a.received and b.received)
        await until(
            lambda: (
                a.send('b')
                and b.send('a')
                and len(a.network._links) + len(b.network._links) == 2
            )
        )

    async def test_failing_handler_does_not_end_the_link(self, pair):
        a, b = pair
        b.network.handlers[wire.NoticeAck] = lambda sender, message: 1 / 0
        a.send('b')
        await until(lambda: b.count['program_faults'])
        assert b.send('a') and a.network.send('b', wire.ConfigPull(1))
        await until(lambda: a.received and b.count['peer_unknown_messages'])

    async def test_message_out_of_bounds_is_refused(self, pair):
        # Guards against an exception that ends the task of the sender, for a
        # text from a record that all gateways read.
        a, b = pair
        too_long = 'n' * (names.MAX_TEXT_LENGTH + 1)
        assert not a.network.send('b', wire.FeedPull(too_long, None))
        assert a.count['peer_messages_invalid'] == 1
        assert a.send('b', 7)
        await until(lambda: b.received == [(a.own_id, 7)])

    async def test_link_is_closed_when_idle_and_opened_again(self, pair):
        a, b = pair
        for number in (1, 2):
            a.send('b', number)
            await until(lambda: (a.own_id, number) in b.received)
            await until(lambda: not a.network._links and not b.network._links)
        assert a.count['peer_links_opened'] == 2
        assert not a.count['peer_links_silent']


class TestIdentity:
    async def test_process_that_took_over_an_address_gets_nothing(self, node):
        """Guards against messages to a process that replaced the gateway."""
        old, a = await node('b'), await node('a')
        old.close()
        new = await node('b', old.number, incarnation=2)
        a.knows(old)
        assert a.send('b', 1)
        await until(lambda: a.count['peer_links_misdirected'])
        assert not new.count['peer_links_opened']
        a.knows(new)
        await until(lambda: a.send('b', 2) and new.received)
        assert {number for _, number in new.received} == {2}

    async def test_replaced_process_is_refused(self, pair, node):
        """Guards against a process that resumes after it was replaced."""
        a, b = pair
        assert a.send('b')
        await until(lambda: b.received)
        b.knows(b, await node('a', incarnation=2))
        assert not b.network._links
        await until(lambda: a.send('b') and b.count['peer_links_refused'])
        assert len(b.received) == 1

    async def test_gateway_whose_registration_ended_is_answered(self, pair):
        """Guards against a stopping gateway that gets no answers."""
        a, b = pair
        a.send('b')
        await until(lambda: b.received)
        b.knows(b)
        assert b.send('a')
        await until(lambda: a.received)


class TestUnreachable:
    @pytest.mark.parametrize('kind', ['refused', 'silent', 'echo', 'closed'])
    async def test_attempts_are_few_until_the_peer_is_back(self, node, kind):
        """Guards against a storm of connections, and a peer given up."""
        accepted = []

        async def serve(reader, writer):
            accepted.append(writer)
            while kind != 'closed' and (data := await reader.read(4_096)):
                writer.write(data if kind == 'echo' else b'')
            writer.close()

        a, b = await node('a'), await node('b')
        b.close()
        a.knows(a, b)
        if kind != 'refused':
            server = await asyncio.start_server(serve, '127.0.0.1', b.number)
        for _ in range(100):
            a.send('b')
            await asyncio.sleep(0.01)
        failures = a.count['peer_connect_failures']
        assert 2 <= failures <= 8
        assert len(accepted) <= failures + 1
        if kind != 'refused':
            server.close()
            for writer in accepted:
                writer.transport.abort()
        back = await node('b', b.number)
        await until(lambda: a.send('b', 9) and back.received)

    def test_delay_is_bounded(self):
        peer = network_peers.NetworkPeer(membership.EntryId('a', 1))
        rng, delays = random.Random(1), []
        for _ in range(2_000):
            peer.record_failure(0.0, rng)
            delays.append(peer.retry_at)
        assert max(delays) <= network_peers.RETRY_MAX_S

    async def test_silent_partition_closes_the_link(self, pair, node):
        """Guards against messages that vanish on a link that stays open."""
        _, b = pair
        middle = relay.Relay(b.number)
        server = await middle.listen(0)
        a = await node('c')
        a.knows(a, b, number=server.sockets[0].getsockname()[1])
        # Messages without a reply keep a link to a live peer.
        for _ in range(60):
            assert a.send('b')
            await asyncio.sleep(0.01)
        middle.drops_requests = middle.drops_responses = True
        await until(lambda: not a.send('b'))
        assert a.count['peer_links_silent'] == 1
        server.close()
        middle.close()


class TestBounds:
    async def test_links_are_bounded(self, node):
        a = await node('a', max_links=1)
        b, c = await node('b'), await node('c')
        a.knows(a, b, c)
        c.knows(a, b, c)
        assert a.send('b') and not a.send('c')
        assert c.send('a')
        await until(lambda: c.count['peer_connect_failures'])
        assert a.count['peer_links_refused'] == 2

    @pytest.mark.parametrize('links, total', [(2, 9), (9, 2)])
    async def test_unsent_bytes_are_bounded(
        self, pair, monkeypatch, links, total
    ):
        """Guards against memory that a peer which does not read fills."""
        for name, frames in (
            ('MAX_LINK_UNSENT_BYTES', links),
            ('MAX_UNSENT_BYTES', total),
        ):
            monkeypatch.setattr(peer_network, name, frames * FRAME_BYTES)
        a, b = pair
        a.send('b')
        await until(lambda: b.received)
        (link,) = b.network._links
        link.transport.pause_reading()
        page = wire.ConfigPush(1, b'', random.Random(1).randbytes(FRAME_BYTES))
        while a.network.send('b', page):
            await asyncio.sleep(0)
        (link,) = a.network._links
        assert FRAME_BYTES / 2 < link.unsent_bytes <= 2 * FRAME_BYTES
        assert a.count['peer_messages_refused'] == 1


class TestClose:
    async def test_closed_network_neither_opens_nor_accepts(self, pair):
        a, b = pair
        a.send('b')
        await until(lambda: b.received)
        a.network.close()
        await until(lambda: not b.network._links)
        assert not a.send('b') and b.send('a')
        await until(lambda: b.count['peer_connect_failures'])
        assert not a.received and not a.network._links


class TestPeerPort:
    async def test_first_message_decides_who_gets_a_link(self, pair):
        """Guards against links of the network that count as gateways."""
        a, b = pair
        a.send('b')
        await until(lambda: b.received)
        reader, writer = await asyncio.open_connection('127.0.0.1', b.number)
        decoder = wire.FrameDecoder()
        for provider, reply in (
            (membership.EntryId('b', 9), wire.Hello(b.own_id)),
            (b.own_id, wire.FeedStatus((), 2)),
        ):
            subscribe = wire.FeedSubscribe(a.own_id, provider)
            writer.write(wire.encode_frame(subscribe))
            assert list(decoder.feed(await reader.read(4_096))) == [reply]
        b.subscribers.drop_stale(0.0)
        assert b.board.fleet.entries(0.0) == 2
        writer.close()
