"""Asks targets that lost a response whether their process still runs."""

import asyncio
import collections.abc
import dataclasses

from dragonflyslip_core import directory
from dragonflyslip_core import request_crashes
from dragonflyslip_entry.gateway import probing
from dragonflyslip_entry import http_connection

# A target counts as missing if it leaves so many questions unanswered.
ASKS_BEFORE_MISSING = 2
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0
# A probe for another request mostly finds a target within this time, so that
# it need not be asked.
PROBE_WAIT_S = 0.3

ProcessState = request_crashes.ProcessState

# Called with the target, what an answer or its absence shows, and when it was
# asked (loop time).
OnResult = collections.abc.Callable[
    [directory.Registration, ProcessState, float], None
]


@dataclasses.dataclass(eq=False)
class _Inquiry:
    """The questions to one process of a target.

    :ivar urgent: set if a request waits for the first result.
    :ivar has_result: set once there is a result.
    """

    target: directory.Registration
    path: str
    urgent: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    has_result: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    task: asyncio.Task[None] | None = None


class TargetInquiries:
    """Asks targets until they answer or are known to have ended.

    :param targets: the registered targets. Asking ends for a target that
        does not answer and is no longer registered.
    :param is_suspected: returns whether the state of a target matters.
    """

    def __init__(
        self,
        prober: probing.Prober,
        targets: directory.Directory,
        is_suspected: collections.abc.Callable[[directory.Registration], bool],
        on_result: OnResult,
    ):
        self.prober = prober
        self.targets = targets
        self.is_suspected = is_suspected
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        self._running: dict[tuple[str, int], _Inquiry] = {}

    def begin(self, target: directory.Registration, path: str) -> None:
        """Begin to ask a target, unless a probe finds it soon.

        :param path: path of the health request.
        """
        self._get_or_begin(target, path)

    async def first_result(
        self, target: directory.Registration, path: str, timeout_s: float
    ) -> None:
        """Begin to ask a target at once; wait for a result or a timeout.

        :param path: path of the health request.
        """
        inquiry = self._get_or_begin(target, path)
        inquiry.urgent.set()
        await _wait(inquiry.has_result, timeout_s)

    async def close(self) -> None:
        """Stop asking."""
        tasks = [inquiry.task for inquiry in self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _get_or_begin(
        self, target: directory.Registration, path: str
    ) -> _Inquiry:
        key = target.target_id, target.started_at_ms
        inquiry = self._running.get(key)
        if inquiry is None:
            inquiry = self._running[key] = _Inquiry(target, path)
            inquiry.task = self.loop.create_task(self._inquire(inquiry))
            inquiry.task.add_done_callback(lambda _: self._running.pop(key))
        return inquiry

    async def _inquire(self, inquiry: _Inquiry) -> None:
        target = inquiry.target
        await _wait(inquiry.urgent, PROBE_WAIT_S)
        pause_s = PAUSE_MIN_S
        unanswered = 0
        while self.is_suspected(target):
            asked_at = self.loop.time()
            state = await self._ask(inquiry)
            if state is not ProcessState.MISSING:
                self.on_result(target, state, asked_at)
                break
            unanswered += 1
            if unanswered == ASKS_BEFORE_MISSING:
                self.on_result(target, state, asked_at)
                inquiry.has_result.set()
            if unanswered >= ASKS_BEFORE_MISSING and not self._is_registered(
                target
            ):
                break
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, PAUSE_MAX_S)
        inquiry.has_result.set()

    def _is_registered(self, target: directory.Registration) -> bool:
        known = self.targets.targets.get(target.target_id)
        return (
            known is not None
            and known.registration.started_at_ms == target.started_at_ms
        )

    async def _ask(self, inquiry: _Inquiry) -> ProcessState:
        """Return the state that one question shows."""
        try:
            target_id = await self.prober.identify(
                inquiry.target, inquiry.path
            )
        except ConnectionRefusedError:
            return ProcessState.ENDED
        except http_connection.CONNECTION_ERRORS:
            return ProcessState.MISSING
        if target_id is None:
            return ProcessState.MISSING
        if target_id == inquiry.target.target_id:
            return ProcessState.RUNNING
        return ProcessState.ENDED


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until an event is set or the time is over."""
    waiting = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait([waiting], timeout=timeout_s)
    finally:
        waiting.cancel()
