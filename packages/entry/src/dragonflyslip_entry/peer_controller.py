"""Heartbeats, notices and queries between entries."""

import asyncio
import collections.abc
import dataclasses
import itertools

from dragonflyslip_core import answers
from dragonflyslip_core import blackboard
from dragonflyslip_core import checkpoints
from dragonflyslip_core import membership
from dragonflyslip_core import suspects
from dragonflyslip_core import target_facts
from dragonflyslip_core import targets
from dragonflyslip_core import warmup
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire

# Peers take a notice over before the caller hears of the failure, but a
# peer that does not answer delays it no longer than this.
NOTICE_TIMEOUT_S = 0.1
_MARKS_PER_HEARTBEAT = 8
# A snapshot goes out in parts, so that each fits a frame with room to spare.
_SNAPSHOT_PART_BYTES = 512 * 1024

AdoptSnapshot = collections.abc.Callable[[bytes], bool]


@dataclasses.dataclass
class _Ack:
    missing: set[str]
    done: asyncio.Event


class PeerController:
    """Exchanges state with the other entries.

    :param caller_port: port on which this entry serves callers.
    :param adopt_snapshot: takes over a peer's configuration.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        warmups: warmup.WarmupController,
        stored: answers.AnswerStore,
        failure_domain: str,
        caller_port: int,
        adopt_snapshot: AdoptSnapshot,
    ):
        self.board = board
        self.warmups = warmups
        self.stored = stored
        self.adopt_snapshot = adopt_snapshot
        self.links = peer_links.PeerLinks(
            board,
            wire.Hello(board.membership.own, failure_domain, caller_port),
            self.handle,
        )
        self.loop = asyncio.get_running_loop()
        self._ids = itertools.count(1)
        self._acks: dict[int, _Ack] = {}
        self._queries: dict[str, asyncio.Future[wire.Answer]] = {}
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self._pulled_at = float('-inf')
        self._caller_ports: dict[str, int] = {}

    async def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.links.connect_missing()
            self.send_heartbeats()
            self.board.suspects.expire(self.loop.time())
            await asyncio.sleep(membership.HEARTBEAT_S)

    def send_heartbeats(self) -> None:
        """Send one round of heartbeats."""
        now = self.loop.time()
        report = self.board.membership.next_report(now)
        config = self.board.config
        beat = wire.Heartbeat(
            member=report,
            config_through=0 if config is None else config.through,
            config_digest=(
                b'' if config is None else bytes.fromhex(config.digest())
            ),
            log_read_age_s=self.board.freshness.own_age(now),
            targets=tuple(self.warmups.recent_facts(now)),
            marks=self.board.suspects.marks(now, _MARKS_PER_HEARTBEAT),
        )
        for name in self.links.outgoing:
            echo = self.board.membership.echo_for(name)
            member = dataclasses.replace(report, echo=echo)
            self.links.send(name, dataclasses.replace(beat, member=member))

    def send_facts(self) -> None:
        """Send news of targets at once, without waiting for answers."""
        facts = self.warmups.take_notices(self.loop.time())
        if facts:
            self.links.broadcast(
                wire.Notice(next(self._ids), targets=tuple(facts))
            )

    async def notify(
        self, marks: collections.abc.Sequence[suspects.CrashMark]
    ) -> None:
        """Send crash marks to all peers and wait for their answers."""
        notice = wire.Notice(next(self._ids), marks=tuple(marks))
        names = self.links.broadcast(notice)
        if not names:
            return
        ack = _Ack(set(names), asyncio.Event())
        self._acks[notice.notice_id] = ack
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_S):
                await ack.done.wait()
        except TimeoutError:
            self.board.count('peer_notices_unacknowledged')
        finally:
            del self._acks[notice.notice_id]

    async def query_answer(
        self,
        entry_id: str,
        service: str,
        key_hash: bytes,
        claim_id: int,
        timeout_s: float,
    ) -> wire.Answer | None:
        """Ask the entry that holds a claim for the response to its call.

        :return: None if it cannot be asked or does not answer in time.
        """
        name = membership.EntryId.parse(entry_id).name
        text = f'{entry_id}:{claim_id}'
        future = self._queries.get(text)
        if future is None:
            future = self._queries[text] = self.loop.create_future()
        if not self.links.send(
            name, wire.AnswerQuery(service, key_hash, text)
        ):
            self._queries.pop(text, None)
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            self._queries.pop(text, None)

    def caller_endpoint(self, name: str) -> targets.Target | None:
        """Return where a peer serves callers, None if that is not known."""
        endpoint = self.links.endpoints.get(name)
        port = self._caller_ports.get(name)
        if endpoint is None or not port:
            return None
        return targets.Target(name, '', endpoint[0], port, '')

    def handle(self, link: peer_links.PeerLink, message) -> None:
        """Handle one message of a peer."""
        match message:
            case wire.Hello():
                link.peer = message.sender
                self._caller_ports[message.sender.name] = message.caller_port
                self._greet(message)
            case wire.Heartbeat():
                self._take_heartbeat(link, message)
            case wire.Notice():
                self._take_news(message.targets, message.marks)
                link.send(wire.encode_frame(wire.NoticeAck(message.notice_id)))
            case wire.NoticeAck():
                self._take_ack(link, message)
            case wire.ConfigPull():
                self._push_config(link, message)
            case wire.ConfigPush():
                self._take_config(link, message)
            case wire.AnswerQuery():
                self._answer(link, message)
            case wire.Answer():
                future = self._queries.get(message.claim_id)
                if future is not None and not future.done():
                    future.set_result(message)

    def _greet(self, hello: wire.Hello) -> None:
        facts = self.warmups.all_facts(self.loop.time())
        if facts:
            self.links.send(
                hello.sender.name,
                wire.Notice(next(self._ids), targets=tuple(facts)),
            )

    def _take_heartbeat(
        self, link: peer_links.PeerLink, beat: wire.Heartbeat
    ) -> None:
        now = self.loop.time()
        link.peer = beat.member.entry_id
        if not self.board.membership.observe_heartbeat(beat.member, now):
            return
        name = beat.member.entry_id.name
        self.board.freshness.observe_peer(
            name,
            self.board.membership.proven_at(name),
            beat.log_read_age_s,
            beat.config_through,
        )
        self._take_news(beat.targets, beat.marks)
        self._pull_if_behind(link, beat, now)

    def _take_news(
        self,
        facts: tuple[target_facts.TargetFact, ...],
        marks: tuple[suspects.CrashMark, ...],
    ) -> None:
        now = self.loop.time()
        for fact in facts:
            self.warmups.observe_fact(fact, now)
        for mark in marks:
            self.board.suspects.merge(mark, now)

    def _take_ack(
        self, link: peer_links.PeerLink, message: wire.NoticeAck
    ) -> None:
        ack = self._acks.get(message.notice_id)
        if ack is None:
            return
        for name, known in self.links.outgoing.items():
            if known is link:
                ack.missing.discard(name)
        if not ack.missing:
            ack.done.set()

    def _pull_if_behind(
        self, link: peer_links.PeerLink, beat: wire.Heartbeat, now: float
    ) -> None:
        config = self.board.config
        through = 0 if config is None else config.through
        behind = beat.config_through > through
        # One snapshot at a time: all peers offer the same one.
        if behind and now - self._pulled_at >= membership.HEARTBEAT_S:
            self._pulled_at = now
            link.send(wire.encode_frame(wire.ConfigPull(through)))

    def _push_config(
        self, link: peer_links.PeerLink, pull: wire.ConfigPull
    ) -> None:
        config = self.board.config
        if config is None or config.through <= pull.through:
            return
        snapshot = checkpoints.make_checkpoint(config)
        size = _SNAPSHOT_PART_BYTES
        parts = [
            snapshot[start : start + size]
            for start in range(0, len(snapshot), size)
        ]
        digest = bytes.fromhex(config.digest())
        for number, body in enumerate(parts):
            push = wire.ConfigPush(
                config.through, digest, body, number, len(parts)
            )
            link.send(wire.encode_frame(push))

    def _take_config(
        self, link: peer_links.PeerLink, push: wire.ConfigPush
    ) -> None:
        key = (str(link.peer), push.through)
        if key not in self._parts:
            # One snapshot at a time; what a peer left incomplete is dropped.
            self._parts = {key: {}}
        parts = self._parts[key]
        parts[push.part] = push.body
        if len(parts) < push.parts:
            return
        self._parts.clear()
        snapshot = b''.join(body for _, body in sorted(parts.items()))
        if self.adopt_snapshot(snapshot):
            logs.changed(
                'configuration taken over from a peer',
                through=push.through,
                peer=str(link.peer),
            )

    def _answer(
        self, link: peer_links.PeerLink, query: wire.AnswerQuery
    ) -> None:
        entry_id, _, _ = query.claim_id.rpartition(':')
        if entry_id != str(self.board.membership.own):
            link.send(
                wire.encode_frame(
                    wire.Answer(query.claim_id, wire.AnswerState.UNKNOWN)
                )
            )
            return
        key = (query.service, query.key_hash)
        running = self.stored.running.get(key)

        def reply(answer: answers.Answer | None) -> None:
            link.send(wire.encode_frame(_answer_message(query, answer)))

        if running is not None and self.stored.join(running, reply):
            return
        self.stored.expire(self.loop.time())
        found = self.stored.stored.get(key)
        reply(None if found is None else found.answer)


def _answer_message(
    query: wire.AnswerQuery, answer: answers.Answer | None
) -> wire.Answer:
    if answer is None:
        return wire.Answer(query.claim_id, wire.AnswerState.UNKNOWN)
    return wire.Answer(
        query.claim_id,
        wire.AnswerState.STORED,
        answer.status,
        answer.headers,
        answer.body,
    )
