"""Handles calls from admission to the relayed response."""

import asyncio
import collections.abc
import typing

from aiohttp import web

from dragonflyslip_core import answers
from dragonflyslip_core import blackboard
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import outcomes
from dragonflyslip_core import retries
from dragonflyslip_entry import calls
from dragonflyslip_entry import claimed_calls
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import entry_relay
from dragonflyslip_entry import errors
from dragonflyslip_entry import headers
from dragonflyslip_entry import keyed_calls
from dragonflyslip_entry import metrics
from dragonflyslip_entry import plain_calls
from dragonflyslip_entry import problems
from dragonflyslip_entry import request_targets
from dragonflyslip_entry import responses


class Proxy:
    """Handles calls of callers.

    :param plain: answers calls that need no claim.
    :param claimed: sends keyed calls whose claim is held.
    :param keyed: makes the claim of a call with an idempotency key, and runs,
        replays or refuses the call.
    :param relay: forwards calls to the entry that warms up a target.
    :param clock: returns Unix seconds.
    :ivar busy: protocols of the connections whose call is being handled.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        call_dispatcher: dispatcher.Dispatcher,
        plain: plain_calls.PlainCalls,
        claimed: claimed_calls.ClaimedCalls,
        keyed: keyed_calls.KeyedCalls,
        relay: entry_relay.EntryRelay,
        call_metrics: metrics.Metrics,
        clock: collections.abc.Callable[[], float],
    ):
        self.board = board
        self.call_dispatcher = call_dispatcher
        self.plain = plain
        self.claimed = claimed
        self.keyed = keyed
        self.relay = relay
        self.call_metrics = call_metrics
        self.clock = clock
        self.in_flight = 0
        self.busy: set[typing.Any] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.loop = asyncio.get_running_loop()
        self._keyed_tasks: set[asyncio.Task[keyed_calls.Ran]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        self._call_started()
        self.busy.add(request.protocol)
        try:
            return await self._handle(request)
        finally:
            self.busy.discard(request.protocol)
            self._call_ended()

    def _call_started(self) -> None:
        self.in_flight += 1
        self.idle.clear()

    def _call_ended(self) -> None:
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        now = self.loop.time()
        call = self._admit(request, now)
        if isinstance(call, outcomes.Refusal):
            return self._refuse(request, call)
        try:
            answer = await self._answer(request, call)
        except errors.CallerBodyError as error:
            answer = outcomes.Refusal(
                400, call.refused_outcome(), 'bad-body', error.message
            )
        if isinstance(answer, outcomes.Refusal):
            return self._refuse(request, answer, call.asks_no_retry)
        self.call_metrics.observe(
            call.service, answer.status, self.loop.time() - now
        )
        return answer

    def _admit(
        self, request: web.BaseRequest, now: float
    ) -> calls.Call | outcomes.Refusal:
        target = request_targets.RequestTarget.from_request(request)
        if target is None:
            return outcomes.Refusal(
                400,
                outcomes.Outcome.NOT_RUN,
                'bad-request',
                'the request target is malformed',
            )
        if request.method in ('CONNECT', 'TRACE') or target.path == '*':
            return outcomes.Refusal(
                501,
                outcomes.Outcome.NOT_RUN,
                'unsupported-request-target',
                f'{request.method} with this request target is not proxied',
            )
        config = self.board.config
        service = config.service_for_host(target.host)
        profile = None if service is None else config.profile_of(service.name)
        if service is None or profile is None:
            return outcomes.Refusal(
                404,
                outcomes.Outcome.NOT_RUN,
                'unknown-service',
                f'no service is published for host {target.host!r}',
            )
        call = calls.Call.from_request(
            request, service, profile, target.path, now, self.clock()
        )
        call.headers['Host'] = target.host
        return call

    async def _answer(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        control = self.call_dispatcher.services.get(call.service)
        if control is not None:
            control.retry_policy.budget.record_call()
            control.hedge_policy.budget.record_call()
        relayed = await self.relay.handle(request, call)
        if relayed is not None:
            return relayed
        if call.key is not None:
            return await self._answer_keyed(request, call)
        if call.at_most_once and call.profile.missing_key == 'refuse':
            return outcomes.Refusal(
                400,
                outcomes.Outcome.NOT_RUN,
                'missing-idempotency-key',
                f'{call.method} to {call.service} needs {headers.KEY_HEADER}',
            )
        return await self.plain.handle(request, call)

    async def _answer_keyed(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal:
        ran_here = False

        async def run(claim: claim_batcher.CallClaim) -> keyed_calls.Ran:
            nonlocal ran_here
            ran_here = True
            return await self.claimed.run(request, call, claim)

        # The call continues if its caller disconnects. A repeat then gets
        # the answer, while a cancelled call would have an unknown outcome.
        self._call_started()
        task = self.loop.create_task(self.keyed.handle(call, run))
        self._keyed_tasks.add(task)
        task.add_done_callback(self._keyed_task_done)
        ran = await asyncio.shield(task)
        if isinstance(ran, answers.Answer):
            return responses.replay(
                ran, self._close_after_response(request), replayed=not ran_here
            )
        if ran is None:
            # No fault: the response was too large to store and was relayed.
            # The exception keeps the server from sending another one.
            raise ConnectionError('the response has already been sent')
        return ran

    def _keyed_task_done(self, task: asyncio.Task[keyed_calls.Ran]) -> None:
        self._keyed_tasks.discard(task)
        self._call_ended()
        if not task.cancelled() and task.exception() is not None:
            self.board.count('keyed_call_failures')

    def _close_after_response(self, request: web.BaseRequest) -> bool:
        return self.board.membership.draining or not request.content.at_eof()

    def _refuse(
        self,
        request: web.BaseRequest,
        refusal: outcomes.Refusal,
        asks_no_retry: bool = False,
    ) -> web.StreamResponse:
        self.call_metrics.count_refusal(refusal.kind, refusal.outcome.value)
        response = problems.refusal_response(
            refusal, self.board.membership.draining or request.body_exists
        )
        if asks_no_retry:
            response.headers[retries.RETRY_HEADER] = retries.RETRY_VALUE
        return response
