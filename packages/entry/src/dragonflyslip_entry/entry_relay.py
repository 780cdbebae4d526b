"""Passes calls on to the entry that warms up the service's targets.

A cold target takes work from one entry only. While all targets of a service
are cold, the other entries have no target to send to, and a holder without
callers of its own would never warm its target up.
"""

import asyncio
import random

from aiohttp import web

from dragonflyslip_core import blackboard
from dragonflyslip_core import outcomes
from dragonflyslip_core import shares
from dragonflyslip_core import targets
from dragonflyslip_entry import calls
from dragonflyslip_entry import connections
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import headers
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import peer_controller
from dragonflyslip_entry import progress
from dragonflyslip_entry import refusals
from dragonflyslip_entry import responses


class EntryRelay:
    """Passes a call on once, to a peer that holds a cold target.

    :param pools: connections to peers, apart from those to targets.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        granting: dispatcher.Dispatcher,
        peers: peer_controller.PeerController,
        pools: connections.ConnectionTable,
        rng: random.Random,
    ):
        self.board = board
        self.granting = granting
        self.peers = peers
        self.pools = pools
        self.rng = rng
        self.loop = asyncio.get_running_loop()

    async def handle(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal | None:
        """Pass a call on if only a peer may send it.

        :return: None if the call is to be handled here, because this entry
            may send to a target, no peer may, or the peer was not reached.
        """
        if call.passed_on:
            return None
        peer = self._holder(call)
        if peer is None:
            return None
        self.board.count('calls_passed_on')
        try:
            async with asyncio.timeout_at(call.deadline_at) as timer:
                moving = progress.Progress.of_call(call, timer, self.loop)
                return await self._pass_on(request, call, peer, moving)
        except TimeoutError:
            return refusals.timeout(call.refused_outcome())

    def _holder(self, call: calls.Call) -> targets.Target | None:
        now = self.loop.time()
        control = self.granting.services.of(call.service)
        if control is None or not self.granting.may_serve(now):
            return None
        cold = self.granting.only_cold(control, now)
        if not cold:
            return None
        agreement = self.board.membership.agreement(now)
        if not agreement.agreed:
            return None
        state = cold[self.rng.randrange(len(cold))]
        holder = shares.holder_of(state.target.instance_id, agreement.view)
        if holder is None or holder == self.board.membership.own:
            return None
        return self.peers.caller_endpoint(holder.name)

    async def _pass_on(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        peer: targets.Target,
        moving: progress.Progress,
    ) -> web.StreamResponse | outcomes.Refusal | None:
        body = None
        if call.has_body:
            body = progress.CallerBody(request, moving, call.expects_continue)
        marked = call.headers.copy()
        marked[headers.ENTRY_HEADER] = self.board.membership.own.name
        attempt = http_connection.Attempt(lambda now: None)
        pool = self.pools.of(peer, call.profile)
        try:
            exchange = await pool.send(
                http_connection.Request(
                    call.method,
                    call.path,
                    marked,
                    None if body is None else body.stream(),
                    call.expects_continue and body is not None,
                ),
                attempt,
                call.profile,
                call.idempotent,
                call.deadline_at,
            )
        except errors.TargetError as error:
            call.written |= attempt.written
            if attempt.written or (body is not None and body.started):
                return refusals.bad_gateway(call, error.kind)
            return None
        finally:
            call.written |= attempt.written
        try:
            return await responses.relay(
                request,
                exchange.response,
                moving,
                self.board.membership.draining
                or (body is not None and not body.complete),
                outcome=_outcome_of(exchange.response),
            )
        finally:
            exchange.close()


def _outcome_of(
    response: http_connection.Response,
) -> outcomes.Outcome | None:
    text = response.headers.get(outcomes.OUTCOME_HEADER)
    if text is None:
        return None
    if text == outcomes.Outcome.NOT_RUN.value:
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN
