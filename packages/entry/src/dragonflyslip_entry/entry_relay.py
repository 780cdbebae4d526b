"""Forwards calls to the entry that warms up the service's targets.

A cold target, whose process has started recently, takes calls from one entry
only, its holder (not to be confused with the holder of a claim). While all
targets of a service are cold, the other entries have no target to send to, and
a holder without callers of its own would never warm up its target.
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
    """Forwards a call once, to the peer that holds a cold target.

    :param pools: connections to peers, separate from those to targets.
    :param timeouts: timeouts of all calls.
    :param rng: source of random choices.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        call_dispatcher: dispatcher.Dispatcher,
        peers: peer_controller.PeerController,
        pools: connections.ConnectionTable,
        timeouts: progress.CallTimeouts,
        rng: random.Random,
    ):
        self.board = board
        self.call_dispatcher = call_dispatcher
        self.peers = peers
        self.pools = pools
        self.timeouts = timeouts
        self.rng = rng
        self.loop = asyncio.get_running_loop()

    async def handle(
        self, request: web.BaseRequest, call: calls.Call
    ) -> web.StreamResponse | outcomes.Refusal | None:
        """Forward a call if only a peer may send it to a target.

        :return: None if the call is to be handled here, because this entry
            may send to a target, no peer may, or the peer is unreachable.
        """
        if call.from_entry:
            return None
        peer = self._peer_for(call)
        if peer is None:
            return None
        self.board.count('calls_passed_on')
        try:
            async with self.timeouts.limit(call) as progress_timeout:
                return await self._forward(
                    request, call, peer, progress_timeout
                )
        except TimeoutError:
            return self.timeouts.refusal(call.refused_outcome())

    def _peer_for(self, call: calls.Call) -> targets.Target | None:
        now = self.loop.time()
        control = self.call_dispatcher.services.get(call.service)
        if control is None or not self.call_dispatcher.may_serve(now):
            return None
        cold = self.call_dispatcher.targets_held_by_peers(control, now)
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

    async def _forward(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        peer: targets.Target,
        progress_timeout: progress.ProgressTimeout,
    ) -> web.StreamResponse | outcomes.Refusal | None:
        body = None
        if call.has_body:
            body = progress.CallerBody(
                request, progress_timeout, call.expects_continue
            )
        request_headers = call.headers.copy()
        request_headers[headers.ENTRY_HEADER] = self.board.membership.own.name
        attempt = http_connection.Attempt(lambda now: None)
        pool = self.pools.get_or_create(peer, call.profile)
        try:
            exchange = await pool.send(
                http_connection.Request(
                    call.method,
                    call.path,
                    request_headers,
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
                progress_timeout,
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
