"""Single sends of a call: one target, one connection, one accounting."""

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

# Time for a probe to tell a crash from a lost connection, before the caller
# hears of the failure and may repeat the call at another entry.
_CONFIRM_TIMEOUT_S = 0.2
_LOSS_KINDS = frozenset({'target-disconnected', 'target-refused-connection'})

Extra = collections.abc.Callable[[], bool]


@dataclasses.dataclass
class Sent:
    """A send whose response headers have arrived."""

    grant: dispatcher.Grant
    attempt: http_connection.Attempt
    exchange: upstream.Exchange
    headers_at: float
    report: targets.LoadReport | None

    @property
    def shed(self) -> bool:
        """Whether the target says that it did not run the call."""
        response = self.exchange.response
        return (
            response.status == 503
            and response.headers.get(outcomes.OUTCOME_HEADER)
            == outcomes.Outcome.NOT_RUN.value
        )


class AttemptRunner:
    """Sends calls to granted targets and accounts for how they end."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        granting: dispatcher.Dispatcher,
        pools: connections.ConnectionTable,
        probing: probe_controller.ProbeController,
        peers: peer_controller.PeerController,
    ):
        self.board = board
        self.granting = granting
        self.pools = pools
        self.probing = probing
        self.peers = peers
        self.loop = asyncio.get_running_loop()

    async def send(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        body: progress.CallerBody | None,
        extra_check: Extra | None = None,
        repeated: bool = False,
    ) -> Sent:
        """Send a call to the granted target.

        :param extra_check: last check in the step of the write.
        :param repeated: whether this entry has sent the call before.
        :raises SendRefusedError: if a check failed; nothing was written.
        :raises TargetError: if there is no response.
        """

        def check(now: float) -> None:
            self.granting.check(call, grant, now)
            # Last, because it takes the right to send.
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
        pool = self.pools.of(grant.target, call.profile)
        try:
            exchange = await pool.send(
                request,
                attempt,
                call.profile,
                call.idempotent and not repeated,
                call.deadline_at,
            )
        except errors.SendRefusedError:
            self.granting.finish(grant, dispatcher.Ending(None))
            raise
        except errors.TargetError as error:
            call.lost |= attempt.written
            written_at = attempt.written_at if attempt.written else None
            self.granting.finish(
                grant, dispatcher.Ending(written_at, failed=True)
            )
            await self._report_loss(call, grant, error)
            raise
        except BaseException:
            call.lost |= attempt.written
            self.granting.finish(grant, dispatcher.Ending(None))
            raise
        return self._sent(grant, attempt, exchange)

    def finish(self, call: calls.Call, sent: Sent) -> None:
        """Release the connection and account for the response."""
        complete = sent.exchange.response.whole
        sent.exchange.close()
        failed = sent.exchange.response.status >= 500
        self.granting.finish(
            sent.grant,
            dispatcher.Ending(
                sent.attempt.written_at,
                sent.headers_at,
                failed,
                complete,
                sent.report,
            ),
        )
        if complete and self.board.suspects.any_marks():
            self.board.suspects.completed(
                call.crash_fingerprint(), self.loop.time()
            )

    async def send_hedged(
        self, call: calls.Call, grant: dispatcher.Grant, excluded: set[str]
    ) -> Sent:
        """Send a call, and once more if it has no response in time.

        The first response wins; the other send is cancelled and its
        connection closed.

        :raises SendRefusedError: as :meth:`send`.
        :raises TargetError: as :meth:`send`, if all sends failed.
        """
        control = grant.control
        hedge_at = control.hedge.hedge_at(
            progress_of(call, 1, None), self.loop.time()
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
            await self._drop_losers(call, tasks)

    def _hedge(
        self, call: calls.Call, grant: dispatcher.Grant, excluded: set[str]
    ) -> asyncio.Task[Sent] | None:
        control, now = grant.control, self.loop.time()
        avoided = excluded | {grant.target.instance_id}
        others = [
            state
            for state in control.candidates.states
            if state.target.instance_id not in avoided
        ]
        decision = control.hedge.next_hedge(
            progress_of(call, 1, None),
            now,
            control.free(others),
            len(control.queue),
        )
        if isinstance(decision, retries.NoRepeat):
            return None
        granted = self.granting.try_grant(control, call, avoided, now)
        if not isinstance(granted, result.Success):
            return None
        self.board.count('hedges')
        return self.loop.create_task(
            self.send(call, granted.unwrap(), None, repeated=True)
        )

    async def _drop_losers(
        self, call: calls.Call, tasks: set[asyncio.Task[Sent]]
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

    def _sent(
        self,
        grant: dispatcher.Grant,
        attempt: http_connection.Attempt,
        exchange: upstream.Exchange,
    ) -> Sent:
        report = None
        text = exchange.response.headers.get(targets.LOAD_HEADER)
        if text is not None:
            match targets.parse_load_header(text):
                case result.Success(report):
                    self.probing.observe_report(
                        grant.state, report, attempt.written_at
                    )
                case _:
                    self.board.count('bad_load_headers')
        return Sent(grant, attempt, exchange, self.loop.time(), report)

    async def _report_loss(
        self,
        call: calls.Call,
        grant: dispatcher.Grant,
        error: errors.TargetError,
    ) -> None:
        if error.kind not in _LOSS_KINDS:
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
        self.probing.observe_loss(target_id, refused, now)
        if error.written:
            await self.probing.confirm(target_id, _CONFIRM_TIMEOUT_S)
            await self.probing.marks_sent()


def progress_of(
    call: calls.Call, attempts: int, body: progress.CallerBody | None
) -> retries.CallProgress:
    """Return what the retry decisions need to know of a call."""
    return retries.CallProgress(
        idempotent=call.idempotent,
        attempts=attempts,
        body_sent=body is not None and body.started,
        marked=call.retried,
        deadline=call.deadline_at,
    )


async def _first_success(tasks: set[asyncio.Task[Sent]]) -> Sent:
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
