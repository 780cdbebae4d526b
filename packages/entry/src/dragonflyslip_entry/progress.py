"""Deadlines and progress of the two bodies of a call."""

import asyncio
import collections.abc

from aiohttp import web

from dragonflyslip_core import suspects
from dragonflyslip_entry import calls
from dragonflyslip_entry import errors

# Progress is noted at this interval at most.
_STEP_S = 0.1
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Progress:
    """Moves the timeout of a call as bytes move.

    Until response headers arrive, the deadline counts; while a body is on
    its way, only a lack of progress ends the call, since a long upload may
    take minutes. Once the request body is complete, the deadline counts
    anew.

    :param timer: the timeout of the task that handles the call.
    :param budget_s: seconds to response headers.
    :param progress_s: seconds without a byte after which the call fails.
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
        self.moved_at = loop.time()

    @classmethod
    def of_call(
        cls,
        call: calls.Call,
        timer: asyncio.Timeout,
        loop: asyncio.AbstractEventLoop,
    ) -> 'Progress':
        """Return the progress of a call that ``timer`` bounds."""
        return cls(
            timer,
            call.deadline_at - call.arrived_at,
            call.profile.progress_timeout_ms / 1000,
            loop,
        )

    def moved(self, now: float) -> None:
        """Note that bytes of a body moved at ``now`` (loop time)."""
        # Most bodies end before this, and need no change of the timer.
        if now - self.moved_at >= _STEP_S:
            self.moved_at = now
            self._reschedule(now + _STEP_S + self.progress_s)

    def body_started(self, now: float) -> None:
        """Note that a body is on its way, so that the deadline is off."""
        self.moved_at = now
        self._reschedule(now + _STEP_S + self.progress_s)

    def body_sent(self, now: float) -> None:
        """Note that the request body is complete."""
        self.moved_at = now
        self._reschedule(now + self.budget_s)

    def _reschedule(self, when: float) -> None:
        # The HTTP client may still pull the body after the timeout fired.
        if self.timer.when() is not None and not self.timer.expired():
            try:
                self.timer.reschedule(when)
            except RuntimeError:
                pass


class CallerBody:
    """The caller's request body as it streams to a target.

    :param expects_continue: whether the caller waits for ``100 Continue``,
        which is sent when the target asks for the body.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        progress: Progress,
        expects_continue: bool,
    ):
        self.request = request
        self.progress = progress
        self.expects_continue = expects_continue
        self.loop = progress.loop
        self.head: list[bytes] = []
        self.started = False
        self.complete = False
        self.error: errors.CallerBodyError | None = None

    async def read_head(self, fingerprint: suspects.StreamFingerprint) -> None:
        """Read what the fingerprint covers and hold it for the stream.

        :raises CallerBodyError: if the caller broke off.
        """
        self.progress.body_started(self.loop.time())
        while not fingerprint.complete:
            chunk = await self._read()
            if not chunk:
                return
            fingerprint.update(chunk)
            self.head.append(chunk)

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body in the chunks in which it arrives.

        :raises CallerBodyError: if the caller broke off.
        """
        self.started = True
        if self.expects_continue and self.request.transport is not None:
            self.request.transport.write(_CONTINUE)
        self.progress.body_started(self.loop.time())
        head, self.head = self.head, []
        for chunk in head:
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
                f'request body broke off: {error!r}'
            )
            raise self.error from error
        self.progress.moved(self.loop.time())
        return chunk
