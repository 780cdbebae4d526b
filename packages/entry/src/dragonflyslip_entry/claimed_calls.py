"""Sends keyed calls whose claim this entry holds, at most once.

A keyed call carries an idempotency key. An entry may send it only while it
holds the claim to that key in the shared log.
"""

import asyncio

from aiohttp import web
from returns import result

from dragonflyslip_core import answers
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import outcomes
from dragonflyslip_entry import attempts
from dragonflyslip_entry import calls
from dragonflyslip_entry import claim_controller
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import headers
from dragonflyslip_entry import keyed_calls
from dragonflyslip_entry import plain_calls
from dragonflyslip_entry import progress
from dragonflyslip_entry import refusals
from dragonflyslip_entry import responses


class ClaimedCalls:
    """Sends claimed calls for :class:`keyed_calls.KeyedCalls`.

    :param timeouts: timeouts of all calls.
    """

    def __init__(
        self,
        call_dispatcher: dispatcher.Dispatcher,
        runner: attempts.AttemptRunner,
        claimer: claim_controller.ClaimController,
        timeouts: progress.CallTimeouts,
    ):
        self.call_dispatcher = call_dispatcher
        self.runner = runner
        self.claimer = claimer
        self.timeouts = timeouts
        self.loop = asyncio.get_running_loop()

    async def run(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        claim: claim_batcher.CallClaim,
    ) -> keyed_calls.Ran:
        """Send a call whose claim this entry holds.

        :return: the response if it is short enough to be stored, a refusal,
            or None if the response was relayed to the caller.
        """
        call.fingerprint = keyed_calls.crash_fingerprint(call)
        try:
            async with self.timeouts.limit(call) as progress_timeout:
                return await self._send_claimed(
                    request, call, claim, progress_timeout
                )
        except TimeoutError:
            return self.timeouts.refusal(self._release_if_unsent(claim))
        except errors.CallerBodyError as error:
            return outcomes.Refusal(
                400, self._release_if_unsent(claim), 'bad-body', error.message
            )

    async def _send_claimed(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        claim: claim_batcher.CallClaim,
        progress_timeout: progress.ProgressTimeout,
    ) -> keyed_calls.Ran:
        body = None
        if call.has_body:
            body = progress.CallerBody(
                request, progress_timeout, call.expects_continue
            )
        sent = await self._send_once(call, claim, body)
        if isinstance(sent, outcomes.Refusal):
            return sent
        try:
            if sent.shed:
                return outcomes.Refusal(
                    503,
                    self._release(claim),
                    'target-shed',
                    'the target refused the call before running it',
                    retry_after_s=1,
                )
            if not sent.exchange.response.has_known_end:
                return refusals.bad_gateway(call, 'unknown-length')
            return await self._read_or_relay(
                request, sent, progress_timeout, body
            )
        finally:
            self.runner.finish(call, sent)

    async def _send_once(
        self,
        call: calls.Call,
        claim: claim_batcher.CallClaim,
        body: progress.CallerBody | None,
    ) -> attempts.AnsweredAttempt | outcomes.Refusal:
        excluded: set[str] = set()
        while True:
            granted = await self.call_dispatcher.acquire(call, excluded)
            if isinstance(granted, result.Failure):
                refusal = granted.failure()
                return refusals.with_outcome(
                    refusal, self._release_if_unsent(claim)
                )
            grant = granted.unwrap()
            excluded.add(grant.target.instance_id)
            try:
                return await self.runner.send(
                    call, grant, body, extra_check=claim.begin_send
                )
            except errors.SendRefusedError as error:
                if len(excluded) >= plain_calls.MAX_UNWRITTEN_ATTEMPTS or (
                    error.kind == 'suspect-request'
                ):
                    refusal = refusals.not_sent(call, error)
                    return refusals.with_outcome(
                        refusal, self._release_if_unsent(claim)
                    )
            except errors.TargetError as error:
                retriable = not error.written and not (body and body.started)
                if (
                    not retriable
                    or len(excluded) >= plain_calls.MAX_UNWRITTEN_ATTEMPTS
                ):
                    refusal = refusals.bad_gateway(call, error.kind)
                    return refusals.with_outcome(
                        refusal, self._release_if_unsent(claim)
                    )

    async def _read_or_relay(
        self,
        request: web.BaseRequest,
        sent: attempts.AnsweredAttempt,
        progress_timeout: progress.ProgressTimeout,
        body: progress.CallerBody | None,
    ) -> keyed_calls.Ran:
        """Return a response that is short enough to store, or relay it.

        :return: None if the response was relayed to the caller.
        """
        response = sent.exchange.response
        head = b''
        try:
            async for chunk in response.content.iter_any():
                progress_timeout.body_progressed(self.loop.time())
                head += chunk
                if len(head) > answers.MAX_BODY_BYTES:
                    await responses.relay(
                        request, response, progress_timeout, True, head
                    )
                    return None
        except Exception:
            return outcomes.Refusal(
                502,
                outcomes.Outcome.UNKNOWN,
                'target-disconnected',
                'the response of the target ended early',
            )
        kept = headers.forwarded_response_headers(response.headers)
        return answers.Answer(response.status, tuple(kept.items()), head)

    def _release_if_unsent(
        self, claim: claim_batcher.CallClaim
    ) -> outcomes.Outcome:
        if claim.state is claim_batcher.ClaimState.HELD:
            return self._release(claim)
        return outcomes.Outcome.UNKNOWN

    def _release(self, claim: claim_batcher.CallClaim) -> outcomes.Outcome:
        self.claimer.release(claim)
        return outcomes.Outcome.NOT_RUN
