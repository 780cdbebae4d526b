"""Sends a call to one target, hedges it, and records how it ended."""

import asyncio
import collections.abc
import dataclasses

import multidict
from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import outcomes
from dragonflyslip_core import retries
from dragonflyslip_core import targets
from dragonflyslip_entry import calls
from dragonflyslip_entry import connections
from dragonflyslip_entry import dispatcher
from dragonflyslip_entry import errors
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import peer_controller
from dragonflyslip_entry import probe_controller
from dragonflyslip_entry import progress
from dragonflyslip_entry import upstream

# How long to wait for a probe that tells a crash from a lost connection. The
# caller gets the failure only afterwards, since it may then repeat the call
# at another entry.
_CRASH_CONFIRM_TIMEOUT_S = 0.2
_CONNECTION_LOSS_KINDS = frozenset(
    {'target-disconnected', 'target-refused-connection'}
)

# Decides right before the write whether the call may be sent. It may change
# state: that of a keyed call marks the claim as sent.
ExtraCheck = collections.abc.Callable[[], bool]


@dataclasses.dataclass
class AnsweredAttempt:
    """An attempt whose response headers have arrived.

    :param headers_at: loop time at which the headers arrived.
    :param report: load report in the headers, if any.
    """

    grant: dispatcher.Grant
    attempt: http_connection.Attempt
    exchange: upstream.Exchange
    headers_at: float
    report: targets.LoadReport | None

    @property
    def shed(self) -> bool:
        """Whether the target answered that it did not run the call."""
        response = self.exchange.response
        return (
            response.status == 503
            and response.headers.get(outcomes.OUTCOME_HEADER)
            == outcomes.Outcome.NOT_RUN.value
        )


class AttemptRunner:
    """Sends calls to granted targets and records how they end.

    :param peers: receives crash marks, which record that a target crashed
        and which requests were in flight.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        call_dispatcher: dispatcher.Dispatcher,
        pools: connections.ConnectionTable,
        prober: probe_controller.ProbeController,
        peers: peer_controller.PeerController,
    ):
        self.board = board
        self.call_dispatcher = call_dispatcher
        self.pools = pools
        self.prober = prober
        self.peers = peers
        self.loop = asyncio.get_running_loop()

    async def send(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        extra_check: ExtraCheck | None = None,
        repeated: bool = False,
    ) -> AnsweredAttempt:
        """Send a call to the granted target.

        :param body: the request body, None if there is none.
        :param extra_check: returns whether the call may be sent. Called
            last, right before the write, with no await in between.
        :param repeated: whether this entry has sent the call before.
        :raises SendRefusedError: if a check failed; nothing was written.
        :raises TargetError: if there is no response.
        """

        def check(now: float) -> None:
            self.call_dispatcher.check(call, grant, now)
            # Must be the last check: for a call with an idempotency key, it
            # marks the claim in the log as sent, so nothing may prevent
            # the write after it.
            if extra_check is not None and not extra_check():
                raise errors.SendRefusedError('claim', 'claim is not held')
            call.written = True
            call.sends += 1

        attempt = http_connection.Attempt(check)
        request = http_connection.Request(
            call.method,
            call.path,
            _request_headers(call, repeated),
            None if body is None else body.stream(),
            call.expects_continue and body is not None,
        )
        pool = self.pools.get_or_create(grant.target, call.profile)
        # A repeat gets a new connection, as a call that is not idempotent
        # does: a pooled one may be silent.
        try:
            exchange = await pool.send(
                request,
                attempt,
                call.profile,
                call.idempotent and not repeated,
                call.deadline_at,
            )
        except errors.SendRefusedError:
            self.call_dispatcher.finish(grant, dispatcher.AttemptResult(None))
            raise
        except errors.TargetError as error:
            call.lost_attempt |= attempt.written
            written_at = attempt.written_at if attempt.written else None
            self.call_dispatcher.finish(
                grant, dispatcher.AttemptResult(written_at, failed=True)
            )
            await self._report_connection_loss(call, grant, error)
            raise
        except BaseException:
            call.lost_attempt |= attempt.written
            self.call_dispatcher.finish(grant, dispatcher.AttemptResult(None))
            raise
        return self._answered_attempt(grant, attempt, exchange)

    def finish(self, call: calls.Call, sent: AnsweredAttempt) -> None:
        """Release the connection and record how the response ended."""
        complete = sent.exchange.response.complete
        sent.exchange.close()
        failed = sent.exchange.response.status >= 500
        self.call_dispatcher.finish(
            sent.grant,
            dispatcher.AttemptResult(
                sent.attempt.written_at,
                sent.headers_at,
                failed,
                complete,
                sent.report,
            ),
        )
        if complete and self.board.suspects.has_marks():
            self.board.suspects.completed(
                call.crash_fingerprint(), self.loop.time()
            )

    async def send_hedged(
        self, call: calls.Call, grant: dispatcher.Grant, excluded: set[str]
    ) -> AnsweredAttempt:
        """Send a call, and hedge it if no response arrives in time.

        The first response is returned. The other attempt is cancelled and
        its connection is closed.

        :param excluded: instance ids that the hedge must avoid.

        :raises SendRefusedError: as :meth:`send`.
        :raises TargetError: as :meth:`send`, if all attempts failed.
        """
        control = grant.control
        hedge_at = control.hedge_policy.hedge_at(
            call_progress(call, 1, None), self.loop.time()
        )
        if hedge_at is None:
            return await self.send(call, grant, None)
        first = self.loop.create_task(self.send(call, grant, None))
        tasks = {first}
        try:
            await asyncio.wait(
                tasks, timeout=max(0.0, hedge_at - self.loop.time())
            )
            if not first.done():
                second = self._hedge(call, grant, excluded)
                if second is not None:
                    tasks.add(second)
            return await _first_success(tasks)
        finally:
            await self._cancel_losers(call, tasks)

    def _hedge(
        self, call: calls.Call, grant: dispatcher.Grant, excluded: set[str]
    ) -> asyncio.Task[AnsweredAttempt] | None:
        control, now = grant.control, self.loop.time()
        avoided = excluded | {grant.target.instance_id}
        others = [
            state
            for state in control.candidates.states
            if state.target.instance_id not in avoided
        ]
        decision = control.hedge_policy.next_hedge(
            call_progress(call, 1, None),
            now,
            control.free_slots(others),
            len(control.queue),
        )
        if isinstance(decision, retries.NoRepeat):
            return None
        granted = self.call_dispatcher.try_grant(control, call, avoided, now)
        if not isinstance(granted, result.Success):
            return None
        self.board.count('hedges')
        return self.loop.create_task(
            self.send(call, granted.unwrap(), None, repeated=True)
        )

    async def _cancel_losers(
        self, call: calls.Call, tasks: set[asyncio.Task[AnsweredAttempt]]
    ) -> None:
        for task in tasks:
            if not task.done():
                task.cancel()
        if len(tasks) < 2:
            return
        await asyncio.wait(tasks)
        winner_seen = False
        for task in tasks:
            if task.cancelled() or task.exception() is not None:
                continue
            if winner_seen:
                self.finish(call, task.result())
            winner_seen = True

    def _answered_attempt(
        self,
        grant: dispatcher.Grant,
        attempt: http_connection.Attempt,
        exchange: upstream.Exchange,
    ) -> AnsweredAttempt:
        report = None
        text = exchange.response.headers.get(targets.LOAD_HEADER)
        if text is not None:
            match targets.parse_load_header(text):
                case result.Success(report):
                    self.prober.observe_report(
                        grant.state, report, attempt.written_at
                    )
                case _:
                    self.board.count('bad_load_headers')
        return AnsweredAttempt(
            grant, attempt, exchange, self.loop.time(), report
        )

    async def _report_connection_loss(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        error: errors.TargetError,
    ) -> None:
        if error.kind not in _CONNECTION_LOSS_KINDS:
            return
        now = self.loop.time()
        target_id = grant.target.instance_id
        boot_id = None if grant.permit is None else grant.permit.boot_id
        if error.written and boot_id is not None:
            mark = self.board.suspects.connection_lost(
                grant.target,
                boot_id,
                call.crash_fingerprint(),
                float(call.profile.suspicion_ttl_s),
                now,
            )
            if mark is not None:
                await self.peers.notify((mark,))
        refused = error.kind == 'target-refused-connection'
        self.prober.observe_connection_loss(target_id, refused, now)
        if error.written:
            await self.prober.wait_for_probe(
                target_id, _CRASH_CONFIRM_TIMEOUT_S
            )
            await self.prober.wait_for_marks()


def call_progress(
    call: calls.Call, attempts: int, body: progress.CallerBody | None
) -> retries.CallProgress:
    """Return the state of a call on which retry decisions depend.

    It is unrelated to the progress of bodies in :mod:`progress`.

    :param attempts: number of attempts so far.
    """
    return retries.CallProgress(
        idempotent=call.idempotent,
        attempts=attempts,
        body_sent=body is not None and body.started,
        marked=call.retried,
        deadline=call.deadline_at,
    )


async def _first_success(
    tasks: set[asyncio.Task[AnsweredAttempt]],
) -> AnsweredAttempt:
    pending = set(tasks)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not task.cancelled() and task.exception() is None:
                return task.result()
        if not pending:
            return done.pop().result()


def _request_headers(
    call: calls.Call, repeated: bool
) -> multidict.CIMultiDict[str]:
    if not repeated and not call.retried:
        return call.headers
    marked = call.headers.copy()
    marked[retries.RETRY_HEADER] = retries.RETRY_VALUE
    return marked
