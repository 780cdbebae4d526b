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

# The caller learns of a failure only after the peers have applied the notice,
# but a peer that does not answer delays it by no more than this.
NOTICE_TIMEOUT_S = 0.1
_MAX_MARKS_PER_HEARTBEAT = 8
# A snapshot is sent in parts that each fit well within a frame.
_SNAPSHOT_PART_BYTES = 512 * 1024

AdoptSnapshot = collections.abc.Callable[[bytes], bool]


@dataclasses.dataclass
class _PendingNotice:
    # Names of the peers that have not acknowledged the notice.
    unacknowledged: set[str]
    done: asyncio.Event


class PeerController:
    """Exchanges state with the other entries.

    :param answer_store: stored responses, which are sent to peers on request.
    :param caller_port: port on which this entry serves callers.
    :param adopt_snapshot: adopts a peer's configuration if it is newer, and
        returns whether it did.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        warmups: warmup.WarmupController,
        answer_store: answers.AnswerStore,
        failure_domain: str,
        caller_port: int,
        adopt_snapshot: AdoptSnapshot,
    ):
        self.board = board
        self.warmups = warmups
        self.answer_store = answer_store
        self.adopt_snapshot = adopt_snapshot
        self.links = peer_links.PeerLinks(
            board,
            wire.Hello(board.membership.own, failure_domain, caller_port),
            self.handle,
        )
        self.loop = asyncio.get_running_loop()
        self._notice_ids = itertools.count(1)
        self._pending_notices: dict[int, _PendingNotice] = {}
        self._pending_queries: dict[str, asyncio.Future[wire.Answer]] = {}
        self._snapshot_parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self._config_pulled_at = float('-inf')
        self._caller_ports: dict[str, int] = {}

    async def run(self) -> None:
        """Connect to peers and send heartbeats until cancelled."""
        while True:
            self.links.connect_missing()
            self.send_heartbeats()
            self.board.suspects.expire(self.loop.time())
            await asyncio.sleep(membership.HEARTBEAT_S)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each connected peer."""
        now = self.loop.time()
        report = self.board.membership.next_report(now)
        config = self.board.config
        heartbeat = wire.Heartbeat(
            member=report,
            config_through=0 if config is None else config.through,
            config_digest=(
                b'' if config is None else bytes.fromhex(config.digest())
            ),
            log_read_age_s=self.board.freshness.own_age(now),
            targets=tuple(self.warmups.recent_facts(now)),
            marks=self.board.suspects.marks(now, _MAX_MARKS_PER_HEARTBEAT),
        )
        for name in self.links.outgoing:
            # The last sequence number received from this peer.
            echo = self.board.membership.echo_for(name)
            member = dataclasses.replace(report, echo=echo)
            self.links.send(
                name, dataclasses.replace(heartbeat, member=member)
            )

    def send_facts(self) -> None:
        """Send changed target facts at once, without waiting for the peers.

        A target fact holds the boot id and the warm-up state of a target.
        """
        facts = self.warmups.take_notices(self.loop.time())
        if facts:
            self.links.broadcast(
                wire.Notice(next(self._notice_ids), targets=tuple(facts))
            )

    async def notify(
        self, marks: collections.abc.Sequence[suspects.CrashMark]
    ) -> None:
        """Send crash marks to all peers and wait for acknowledgements.

        It waits for at most ``NOTICE_TIMEOUT_S``.
        """
        notice = wire.Notice(next(self._notice_ids), marks=tuple(marks))
        names = self.links.broadcast(notice)
        if not names:
            return
        pending = _PendingNotice(set(names), asyncio.Event())
        self._pending_notices[notice.notice_id] = pending
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_S):
                await pending.done.wait()
        except TimeoutError:
            self.board.count('peer_notices_unacknowledged')
        finally:
            del self._pending_notices[notice.notice_id]

    async def query_answer(
        self,
        entry_id: str,
        service: str,
        key_hash: bytes,
        claim_id: int,
        timeout_s: float,
    ) -> wire.Answer | None:
        """Ask the entry that holds a claim for the response to its call.

        :return: None if the entry cannot be reached or does not answer in
            time.
        """
        name = membership.EntryId.parse(entry_id).name
        full_claim_id = f'{entry_id}:{claim_id}'
        future = self._pending_queries.get(full_claim_id)
        if future is None:
            future = self._pending_queries[full_claim_id] = (
                self.loop.create_future()
            )
        if not self.links.send(
            name, wire.AnswerQuery(service, key_hash, full_claim_id)
        ):
            self._pending_queries.pop(full_claim_id, None)
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(future)
        except TimeoutError:
            return None
        finally:
            self._pending_queries.pop(full_claim_id, None)

    def caller_endpoint(self, name: str) -> targets.Target | None:
        """Return where a peer serves callers; None if that is not known."""
        endpoint = self.links.endpoints.get(name)
        port = self._caller_ports.get(name)
        if endpoint is None or not port:
            return None
        return targets.Target(name, '', endpoint[0], port, '')

    def handle(self, link: peer_links.PeerLink, message) -> None:
        """Handle one message from a peer."""
        match message:
            case wire.Hello():
                link.peer = message.sender
                self._caller_ports[message.sender.name] = message.caller_port
                self._send_all_facts(message)
            case wire.Heartbeat():
                self._handle_heartbeat(link, message)
            case wire.Notice():
                self._merge_facts_and_marks(message.targets, message.marks)
                link.send(wire.encode_frame(wire.NoticeAck(message.notice_id)))
            case wire.NoticeAck():
                self._handle_notice_ack(link, message)
            case wire.ConfigPull():
                self._handle_config_pull(link, message)
            case wire.ConfigPush():
                self._handle_config_push(link, message)
            case wire.AnswerQuery():
                self._handle_answer_query(link, message)
            case wire.Answer():
                future = self._pending_queries.get(message.claim_id)
                if future is not None and not future.done():
                    future.set_result(message)

    def _send_all_facts(self, hello: wire.Hello) -> None:
        facts = self.warmups.all_facts(self.loop.time())
        if facts:
            self.links.send(
                hello.sender.name,
                wire.Notice(next(self._notice_ids), targets=tuple(facts)),
            )

    def _handle_heartbeat(
        self, link: peer_links.PeerLink, heartbeat: wire.Heartbeat
    ) -> None:
        now = self.loop.time()
        link.peer = heartbeat.member.entry_id
        if not self.board.membership.observe_heartbeat(heartbeat.member, now):
            return
        name = heartbeat.member.entry_id.name
        self.board.freshness.observe_peer(
            name,
            self.board.membership.acknowledged_sent_at(name),
            heartbeat.log_read_age_s,
            heartbeat.config_through,
        )
        self._merge_facts_and_marks(heartbeat.targets, heartbeat.marks)
        self._pull_if_behind(link, heartbeat, now)

    def _merge_facts_and_marks(
        self,
        facts: tuple[target_facts.TargetFact, ...],
        marks: tuple[suspects.CrashMark, ...],
    ) -> None:
        now = self.loop.time()
        for fact in facts:
            self.warmups.observe_fact(fact, now)
        for mark in marks:
            self.board.suspects.merge(mark, now)

    def _handle_notice_ack(
        self, link: peer_links.PeerLink, message: wire.NoticeAck
    ) -> None:
        pending = self._pending_notices.get(message.notice_id)
        if pending is None:
            return
        for name, known in self.links.outgoing.items():
            if known is link:
                pending.unacknowledged.discard(name)
        if not pending.unacknowledged:
            pending.done.set()

    def _pull_if_behind(
        self, link: peer_links.PeerLink, heartbeat: wire.Heartbeat, now: float
    ) -> None:
        config = self.board.config
        through = 0 if config is None else config.through
        behind = heartbeat.config_through > through
        # At most one pull per heartbeat interval: all peers have the same
        # snapshot.
        if behind and now - self._config_pulled_at >= membership.HEARTBEAT_S:
            self._config_pulled_at = now
            link.send(wire.encode_frame(wire.ConfigPull(through)))

    def _handle_config_pull(
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

    def _handle_config_push(
        self, link: peer_links.PeerLink, push: wire.ConfigPush
    ) -> None:
        key = (str(link.peer), push.through)
        if key not in self._snapshot_parts:
            # Only one snapshot is assembled at a time; parts of an incomplete
            # one are dropped.
            self._snapshot_parts = {key: {}}
        parts = self._snapshot_parts[key]
        parts[push.part] = push.body
        if len(parts) < push.parts:
            return
        self._snapshot_parts.clear()
        snapshot = b''.join(body for _, body in sorted(parts.items()))
        if self.adopt_snapshot(snapshot):
            logs.info(
                'configuration adopted from a peer',
                through=push.through,
                peer=str(link.peer),
            )

    def _handle_answer_query(
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
        running = self.answer_store.running.get(key)

        def reply(answer: answers.Answer | None) -> None:
            link.send(wire.encode_frame(_answer_message(query, answer)))

        if running is not None and self.answer_store.join(running, reply):
            return
        self.answer_store.expire(self.loop.time())
        found = self.answer_store.stored.get(key)
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
