"""Calls that run at most once, ensured by a claim in the shared log."""

import asyncio
import collections.abc
import contextlib
import hashlib

from returns import result

from dragonflyslip_core import answers
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claims
from dragonflyslip_core import outcomes
from dragonflyslip_core import suspects
from dragonflyslip_entry import calls
from dragonflyslip_entry import claim_controller
from dragonflyslip_entry import peer_controller
from dragonflyslip_entry import progress
import dragonflyslip_wire as wire

_FINGERPRINT_BYTES = 8
_LOG_RETRY_AFTER_S = 5

# Sends a call whose claim is held and returns the response or a refusal. It
# marks the claim as sent right before the write, with no await in between.
RunClaimedCall = collections.abc.Callable[
    [claim_batcher.CallClaim], collections.abc.Awaitable['Ran']
]
# How a keyed call ended: the response to send, a refusal, or None if the
# response has been relayed to the caller already.
Ran = answers.Answer | outcomes.Refusal | None


class KeyedCalls:
    """Runs a keyed call, replays its earlier answer, or refuses it.

    :param claimer: makes the claims of this entry.
    :param answer_store: answers of calls that this entry has run.
    :param peers: asked for answers that other entries store.
    :param timeouts: timeouts of all calls.
    :param clock: returns Unix seconds.
    """

    def __init__(
        self,
        claimer: claim_controller.ClaimController,
        answer_store: answers.AnswerStore,
        peers: peer_controller.PeerController,
        timeouts: progress.CallTimeouts,
        clock: collections.abc.Callable[[], float],
    ):
        self.claimer = claimer
        self.answer_store = answer_store
        self.peers = peers
        self.timeouts = timeouts
        self.clock = clock
        self.loop = asyncio.get_running_loop()

    async def handle(self, call: calls.Call, run: RunClaimedCall) -> Ran:
        """Handle one call.

        :param run: called at most once, with the held claim. It returns
            None if it has sent the response to the caller itself.
        :return: what to send to the caller; None if ``run`` has sent it.
        """
        parsed = claims.parse_key(
            call.key or '', self.clock(), call.profile.key_lifetime_s
        )
        if isinstance(parsed, result.Failure):
            return _bad_key(call, parsed.failure().message)
        key = parsed.unwrap()
        fingerprint = request_fingerprint(call)
        earlier = await self._earlier_answer(call, key, fingerprint)
        if earlier is not None:
            return earlier
        return await self._claim_and_run(call, key, fingerprint, run)

    async def _earlier_answer(
        self, call: calls.Call, key: claims.Key, fingerprint: bytes
    ) -> Ran:
        """Return the earlier answer to the key, or why it cannot be run now.

        :return: None if there is neither, so that the call may be claimed.
        """
        now = self.loop.time()
        found = self.answer_store.find(
            call.service, key.key_hash, fingerprint, now
        )
        match found:
            case answers.Mismatch():
                return _key_reused()
            case answers.StoredAnswer():
                return found.answer
            case answers.RunningCall():
                return await self._await_running_call(call, found)
        table = self.claimer.table
        if table is None or not table.covers(key):
            return _claim_refused(call, 'claims-unread')
        claimed = table.find(call.service, key)
        if claimed is not None and claimed.holder is not None:
            if claimed.fingerprint != fingerprint:
                return _key_reused()
            return await self._ask_holder(call, key, claimed.holder)
        if not self.claimer.available(now):
            return _claim_refused(call, 'log-unavailable')
        return None

    async def _claim_and_run(
        self,
        call: calls.Call,
        key: claims.Key,
        fingerprint: bytes,
        run: RunClaimedCall,
    ) -> Ran:
        service = call.service
        self.answer_store.begin(service, key.key_hash, fingerprint)
        answer: Ran = None
        try:
            claim = await self._claim(call, key, fingerprint)
            if isinstance(claim, outcomes.Refusal):
                return claim
            if claim.state is claim_batcher.ClaimState.HELD:
                answer = await run(claim)
                return answer
        finally:
            self.answer_store.finish(
                service,
                key.key_hash,
                answer if isinstance(answer, answers.Answer) else None,
                self.loop.time(),
            )
        if claim.holder is None:
            return _key_claimed('the call may have run at another entry')
        return await self._ask_holder(call, key, claim.holder)

    async def _claim(
        self, call: calls.Call, key: claims.Key, fingerprint: bytes
    ) -> claim_batcher.CallClaim | outcomes.Refusal:
        try:
            async with self.timeouts.limit(call):
                claim = await self.claimer.claim(
                    call.service, key, fingerprint, call.first_attempt
                )
        except TimeoutError:
            # The claim is abandoned: it may be in the log, but this entry
            # will not send the call.
            return _claim_refused(call, 'claim-timeout')
        if claim is None:
            return _claim_refused(call, 'claims-overloaded')
        return claim

    async def _await_running_call(
        self, call: calls.Call, running: answers.RunningCall
    ) -> Ran:
        future: asyncio.Future[answers.Answer | None] = (
            self.loop.create_future()
        )

        def finished(answer: answers.Answer | None) -> None:
            if not future.done():
                future.set_result(answer)

        if not self.answer_store.join(running, finished):
            return _key_claimed('too many repeats of the call are waiting')
        try:
            async with self.timeouts.limit(call):
                answer = await future
        except TimeoutError:
            return _key_claimed('the call is still running')
        return answer or _key_claimed('the response cannot be replayed')

    async def _ask_holder(
        self, call: calls.Call, key: claims.Key, holder: claims.Holder
    ) -> Ran:
        """Ask the entry that holds the claim for the stored response."""
        reply = None
        with contextlib.suppress(TimeoutError):
            async with self.timeouts.limit(call):
                reply = await self.peers.query_answer(
                    holder.entry_id,
                    call.service,
                    key.key_hash,
                    holder.claim_id,
                    max(0.0, call.deadline_at - self.loop.time()),
                )
        if reply is None or reply.state is not wire.AnswerState.STORED:
            return _key_claimed('the call has been claimed at another entry')
        return answers.Answer(reply.status, reply.headers, reply.body)


def request_fingerprint(call: calls.Call) -> bytes:
    """Return an 8-byte hash that tells requests with the same key apart.

    It is the ``fingerprint`` argument of the methods in this module, not the
    fingerprint in crash marks.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for text in (call.method, call.path, str(call.content_length)):
        data = text.encode('utf-8', 'surrogateescape')
        digest.update(len(data).to_bytes(4, 'little') + data)
    return digest.digest()


def crash_fingerprint(call: calls.Call) -> str:
    """Return the fingerprint of a keyed call in crash marks."""
    return suspects.key_fingerprint(call.service, call.key or '')


def _bad_key(call: calls.Call, message: str) -> outcomes.Refusal:
    # A call whose key has expired may have run while the key was valid.
    return outcomes.Refusal(
        400, call.refused_outcome(), 'bad-idempotency-key', message
    )


def _key_reused() -> outcomes.Refusal:
    return outcomes.Refusal(
        422,
        outcomes.Outcome.NOT_RUN,
        'idempotency-key-reused',
        'the idempotency key was used for another request',
    )


def _key_claimed(detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        409, outcomes.Outcome.UNKNOWN, 'idempotency-key-claimed', detail
    )


def _claim_refused(call: calls.Call, kind: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        503,
        call.refused_outcome(),
        kind,
        'the call cannot be claimed now; repeat it with the same key',
        retry_after_s=_LOG_RETRY_AFTER_S,
    )
