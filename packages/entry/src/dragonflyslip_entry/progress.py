"""Deadline of a call and progress of its request and response body."""

import asyncio
import collections.abc
import contextlib
import math

from aiohttp import web

from dragonflyslip_core import outcomes
from dragonflyslip_core import suspects
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors
from dragonflyslip_entry import refusals

# Progress reschedules the timeout at most once in this interval.
_PROGRESS_INTERVAL_S = 0.1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ProgressTimeout:
    """Reschedules the timeout of a call while its bodies make progress.

    The call has a deadline for its response headers. While a body is being
    transferred, only a lack of progress ends the call, since a long upload
    may take minutes. When the request body is complete, the time until the
    deadline starts again.

    :param timer: the timeout of the task that handles the call.
    :param budget_s: seconds until response headers must arrive.
    :param progress_s: seconds without a byte after which the call fails.
    :ivar due_at: when the call ends without a stop, on the event loop's
        clock.
    :ivar stop_at: when a stop ends it.
    :ivar answering: whether a response is being sent.
    """

    def __init__(
        self,
        timer: asyncio.Timeout,
        budget_s: float,
        progress_s: float,
        loop: asyncio.AbstractEventLoop,
    ):
        self.loop = loop
        self.timer = timer
        self.budget_s = budget_s
        self.progress_s = progress_s
        self.progressed_at = loop.time()
        self.due_at = timer.when()
        self.stop_at = math.inf
        self.answering = False

    @classmethod
    def for_call(
        cls,
        call: calls.Call,
        timer: asyncio.Timeout,
        loop: asyncio.AbstractEventLoop,
    ) -> 'ProgressTimeout':
        """Create the progress timeout of a call that ``timer`` limits."""
        return cls(
            timer,
            call.deadline_at - call.arrived_at,
            call.profile.progress_timeout_ms / 1000,
            loop,
        )

    def body_progressed(self, now: float) -> None:
        """Record that bytes of a body were transferred at ``now``.

        :param now: loop time in seconds.
        """
        # Most bodies are complete within one interval, so the timeout is not
        # rescheduled for them.
        if now - self.progressed_at >= _PROGRESS_INTERVAL_S:
            self.progressed_at = now
            self._reschedule(now + _PROGRESS_INTERVAL_S + self.progress_s)

    def body_started(self, now: float) -> None:
        """Replace the deadline by the progress timeout as a body starts."""
        self.progressed_at = now
        self._reschedule(now + _PROGRESS_INTERVAL_S + self.progress_s)

    def body_sent(self, now: float) -> None:
        """Restart the deadline as the request body is complete."""
        self.progressed_at = now
        self._reschedule(now + self.budget_s)

    def end_by(self, stop_at: float) -> None:
        """End the call at ``stop_at`` at the latest.

        :param stop_at: loop time in seconds.
        """
        if not self.answering and stop_at != self.stop_at:
            self.stop_at = stop_at
            self._reschedule(self.due_at)

    def response_started(self) -> None:
        """Let a stop leave the call alone: it can get no other response."""
        self.end_by(math.inf)
        self.answering = True

    def _reschedule(self, when: float) -> None:
        self.due_at = when
        # The upload may still read the body after the timeout has fired.
        if self.timer.when() is not None and not self.timer.expired():
            try:
                self.timer.reschedule(min(when, self.stop_at))
            except RuntimeError:
                pass


class CallTimeouts:
    """Timeouts of all calls in flight, which a stop shortens.

    :ivar stop_at: when calls without a response get an error response
        because of a stop, on the event loop's clock.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stop_at = math.inf
        self.running: set[ProgressTimeout] = set()

    @contextlib.asynccontextmanager
    async def limit(
        self, call: calls.Call
    ) -> collections.abc.AsyncIterator[ProgressTimeout]:
        """Limit a step of a call to its deadline.

        :raises TimeoutError: if the time is over; see :meth:`refusal`.
        """
        # The step may write to a target before its first await.
        if self.loop.time() >= self.stop_at:
            raise TimeoutError
        async with asyncio.timeout_at(call.deadline_at) as timer:
            timeout = ProgressTimeout.for_call(call, timer, self.loop)
            timeout.end_by(self.stop_at)
            self.running.add(timeout)
            try:
                yield timeout
            finally:
                self.running.discard(timeout)

    def answer_by(self, stop_at: float) -> None:
        """End the present and all further calls because of a stop.

        Responses that have begun are not ended.

        :param stop_at: loop time in seconds.
        """
        self.stop_at = stop_at
        for timeout in self.running:
            timeout.end_by(stop_at)

    def refusal(self, outcome: outcomes.Outcome) -> outcomes.Refusal:
        """Return the refusal of a call whose time is over."""
        if self.loop.time() >= self.stop_at:
            return refusals.stopping(outcome)
        return refusals.timeout(outcome)


class CallerBody:
    """The caller's request body, streamed to a target.

    :param expects_continue: whether the caller waits for ``100 Continue``,
        which is sent when the target asks for the body.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        progress: ProgressTimeout,
        expects_continue: bool,
    ):
        self.request = request
        self.progress = progress
        self.expects_continue = expects_continue
        self.loop = progress.loop
        self.buffered: list[bytes] = []
        self.started = False
        self.complete = False
        self.error: errors.CallerBodyError | None = None

    async def buffer_head(
        self, fingerprint: suspects.StreamFingerprint
    ) -> None:
        """Read the start of the body that the fingerprint covers.

        It is buffered and sent first by :meth:`stream`.

        :raises CallerBodyError: if the body ended early.
        """
        self.progress.body_started(self.loop.time())
        while not fingerprint.complete:
            chunk = await self._read()
            if not chunk:
                return
            fingerprint.update(chunk)
            self.buffered.append(chunk)

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        :raises CallerBodyError: if the body ended early.
        """
        self.started = True
        if self.expects_continue and self.request.transport is not None:
            self.request.transport.write(_CONTINUE)
        self.progress.body_started(self.loop.time())
        buffered, self.buffered = self.buffered, []
        for chunk in buffered:
            yield chunk
        while chunk := await self._read():
            yield chunk
        self.complete = True
        self.progress.body_sent(self.loop.time())

    async def _read(self) -> bytes:
        try:
            chunk = await self.request.content.readany()
        except Exception as error:
            self.error = errors.CallerBodyError(
                f'request body ended early: {error!r}'
            )
            raise self.error from error
        self.progress.body_progressed(self.loop.time())
        return chunk
