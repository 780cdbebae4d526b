"""Sends a request to a chosen target and reads its response."""

import asyncio
import contextlib
import dataclasses

from aiohttp import http
import multidict

from dragonflyslip_core import accounts
from dragonflyslip_core import target_limits
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import authenticating
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import clocks
from dragonflyslip_entry.gateway import crash_reports
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry import http_connection
from dragonflyslip_entry import logs

# Responses up to this size are read completely before the caller gets a byte,
# so that a truncated one is detected first.
MAX_BUFFERED_RESPONSE_BYTES = 262_144
# Late responses to earlier requests that are skipped before the right one.
MAX_FOREIGN_RESPONSES = 3
# Length of the bodies of these responses, all together.
MAX_FOREIGN_BODY_BYTES = 262_144
MAX_REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_TIMEOUT_S = 0.1
# Reason of a send that was held up after its target had answered a probe.
OUTDATED_REASON = 'probe-outdated'
# Reason of a send whose key moved to another account, or was removed.
KEY_CHANGED_REASON = 'key-changed'
# Reasons for which the target is not at fault and may be probed again.
TARGET_INDEPENDENT_REASONS = frozenset({OUTDATED_REASON, KEY_CHANGED_REASON})
# Characters of an error in the reason of a failure.
MAX_ERROR_TEXT_LENGTH = 200


@dataclasses.dataclass
class Answered:
    """The target responded to the request.

    :param body: the part of the body that was read; all if ``complete``.
    """

    response: http_connection.Response
    metadata: adapters.ResponseMetadata
    body: bytes
    complete: bool

    @property
    def failed(self) -> bool:
        """Whether the target responded with a server error."""
        return self.response.status >= 500

    @property
    def succeeded(self) -> bool:
        """Whether the target ran the request successfully."""
        return 200 <= self.response.status < 300


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The request certainly did not run.

    Either nothing of it was written, or the target stated so.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class ResponseLost:
    """The request was written and got no usable response; it may have run."""

    reason: str


SendOutcome = Answered | NotRun | ResponseLost


class Sender:
    """Sends requests on connections on which a target answered a probe."""

    def __init__(
        self,
        board: board_types.GatewayBoard,
        dialect: adapters.Dialect,
        crashes: crash_reports.CrashReporter,
        authenticator: authenticating.Authenticator,
    ):
        self.board = board
        self.dialect = dialect
        self.crashes = crashes
        self.authenticator = authenticator
        self.loop = asyncio.get_running_loop()

    async def send(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
    ) -> SendOutcome:
        """Send the request once.

        The connection is given back or closed, unless the response is
        incomplete: then the calling code must call :meth:`release`.
        """
        call.crash_chain = self.crashes.chain(call, body)
        standing = self.board.standing_of(probed.target.target_id)
        standing.unseen += 1
        outcome: SendOutcome | None = None
        key_check = self.authenticator.check_call(call, self.loop.time())
        headers = self.authenticator.target_headers(call.headers, key_check)
        attempt = http_connection.Attempt(
            self._pre_send_check(call, probed, body, key_check)
        )
        try:
            outcome = await self._exchange(
                call, probed, body, headers, attempt
            )
        except http_connection.CONNECTION_ERRORS as error:
            reason = f'connection broke: {_describe(error)}'
            outcome = (
                ResponseLost(reason) if attempt.written else NotRun(reason)
            )
        except _NotSent as error:
            outcome = NotRun(error.reason)
        except asyncio.CancelledError:
            # The caller has left, its time is over, or a hedge was faster.
            if attempt.written and not call.answered:
                self.crashes.suspect(call, body, probed.target)
            raise
        finally:
            standing.unseen -= 1
            if not (isinstance(outcome, Answered) and not outcome.complete):
                self.release(probed, isinstance(outcome, Answered | NotRun))
        self._record_outcome(call, probed, outcome, attempt)
        if isinstance(outcome, ResponseLost):
            logs.request(
                'response lost',
                request=call.request_id,
                target=probed.target.target_id,
                identity=calls.identity_of(call, body),
                reason=outcome.reason,
            )
            await self.crashes.response_lost(call, body, probed.target)
        elif isinstance(outcome, Answered):
            call.answered |= not outcome.failed
            if outcome.complete and outcome.succeeded:
                self.crashes.succeeded(call, body)
        return outcome

    def stream_ended(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
        answer: Answered,
        whole: bool,
    ) -> None:
        """Record the end of a response that was sent while it arrived.

        The connection is given back, or closed unless ``whole``.
        """
        self.release(probed, whole)
        if not whole:
            self.crashes.suspect(call, body, probed.target)
        elif answer.succeeded:
            self.crashes.succeeded(call, body)

    def release(self, probed: probing.ProbedTarget, reusable: bool) -> None:
        """Give the connection back, or close it if it is not ``reusable``."""
        if reusable:
            probed.pool.give_back(probed.connection)
        else:
            probed.connection.close()

    def _pre_send_check(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
        key_check: accounts.KeyCheck,
    ):
        """Return the check of a write.

        :param key_check: the result from which the headers were made.
        """

        def check(now: float) -> None:
            known = self.authenticator.check_call(call, now)
            if not (known.allowed and known.is_same_caller(key_check)):
                raise _NotSent(KEY_CHANGED_REASON)
            if self.crashes.is_refused(call, body):
                raise _NotSent('crashes-targets')
            if probed.is_outdated(clocks.elapsed_clock_s()):
                raise _NotSent(OUTDATED_REASON)
            if not self.board.directory.is_usable(
                probed.target.target_id, probed.target.service
            ):
                raise _NotSent('target-withdrawn')
            standing = self.board.standing_of(probed.target.target_id)
            if standing.paused_until > now:
                raise _NotSent('target-paused')
            if not call.can_end(now):
                raise _NotSent('gateway-stopping')
            if not self.board.target_limits.take(probed.target.target_id, now):
                raise _NotSent('target-limited')
            call.sent_to.append(probed.target.target_id)

        return check

    async def _exchange(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        body: calls.RequestBody | None,
        headers: multidict.CIMultiDict[str],
        attempt: http_connection.Attempt,
    ) -> SendOutcome:
        if call.request_id in probed.connection.answered_ids:
            # The next response with this id may be a copy of the earlier one.
            probed.connection.close()
            probed.connection = await probed.pool.open()
        connection = probed.connection
        left_s = call.deadline_at - self.loop.time()
        self.dialect.add_request_headers(
            headers, probed.target.target_id, left_s
        )
        request = http_connection.Request(
            call.method,
            call.path,
            headers,
            None if body is None else body.stream(),
        )
        # The deadline of the call ends the wait before this timeout does.
        response = await connection.send(request, attempt, left_s + 1.0)
        left_bytes = MAX_FOREIGN_BODY_BYTES
        for _ in range(MAX_FOREIGN_RESPONSES):
            metadata = self.dialect.parse_response(
                response.status, response.headers
            )
            if metadata.request_id == call.request_id:
                connection.answered_ids.add(call.request_id)
                self._record_statements(probed, metadata)
                if metadata.not_run:
                    return await self._read_refusal(
                        call, connection, response, metadata
                    )
                return await self._read_response(response, metadata)
            self.board.count('foreign_responses')
            skipped = await connection.read_body(response, left_bytes)
            left_bytes -= len(skipped)
            if not response.has_known_end:
                break
            response = await connection.read_head(call.method)
        return ResponseLost('response to another request')

    def _record_statements(
        self,
        probed: probing.ProbedTarget,
        metadata: adapters.ResponseMetadata,
    ) -> None:
        """Record what the target says of itself beside its response."""
        if metadata.wrong_target:
            return
        target_id = probed.target.target_id
        now = self.loop.time()
        self.board.record_limit(
            target_id, metadata.limit, target_limits.Source.REQUEST, now
        )
        if metadata.leaving:
            self.board.record_leaving(target_id)
        if metadata.not_run and metadata.pause_s is not None:
            self.board.record_pause(target_id, metadata.pause_s, now)

    async def _read_refusal(
        self,
        call: calls.Call,
        connection: http_connection.HttpConnection,
        response: http_connection.Response,
        metadata: adapters.ResponseMetadata,
    ) -> SendOutcome:
        # The body is read only so that the connection can be used again. The
        # head has already stated that the request did not run.
        with contextlib.suppress(*http_connection.CONNECTION_ERRORS):
            await connection.read_body(
                response, MAX_REFUSAL_BODY_BYTES, REFUSAL_BODY_TIMEOUT_S
            )
        if not response.complete:
            connection.close()
        call.refusals += 1
        return NotRun(
            'other-target' if metadata.wrong_target else 'target-refused'
        )

    async def _read_response(
        self,
        response: http_connection.Response,
        metadata: adapters.ResponseMetadata,
    ) -> SendOutcome:
        chunks, size = [], 0
        while (
            size <= MAX_BUFFERED_RESPONSE_BYTES
            and not response.content.at_eof()
        ):
            chunk = await response.content.readany()
            chunks.append(chunk)
            size += len(chunk)
        complete = response.content.at_eof()
        if complete and not response.complete:
            return ResponseLost('response was truncated')
        if 200 <= response.status < 300 and not metadata.has_receipt:
            return ResponseLost('success response without the receipt header')
        return Answered(response, metadata, b''.join(chunks), complete)

    def _record_outcome(
        self,
        call: calls.Call,
        probed: probing.ProbedTarget,
        outcome: SendOutcome,
        attempt: http_connection.Attempt,
    ) -> None:
        if not attempt.written:
            return
        standing = self.board.standing_of(probed.target.target_id)
        now = self.loop.time()
        failed = isinstance(outcome, ResponseLost) or (
            isinstance(outcome, Answered) and outcome.failed
        )
        if isinstance(outcome, NotRun):
            if outcome.reason == 'other-target':
                standing.skip_until = now + probing.PROBE_PAUSE_S
            # It answered the probe with room for the request, so a refusal
            # counts as a failure as well.
            failed = True
        standing.record(failed, now)


def _describe(error: Exception) -> str:
    # A parser's error quotes the bytes of the target, which may repeat a
    # header of the request.
    if isinstance(error, http.HttpProcessingError):
        return type(error).__name__
    return repr(error)[:MAX_ERROR_TEXT_LENGTH]


class _NotSent(Exception):
    """The target may not get the request now; nothing was written to it."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason
