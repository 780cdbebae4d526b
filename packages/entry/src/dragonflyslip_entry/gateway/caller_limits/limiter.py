"""Keeps the connections of callers inside limits and budget."""

import collections
import collections.abc
import resource
import typing

from dragonflyslip_core import caller_limits
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway.caller_limits import protocol
from dragonflyslip_entry.gateway import settings
from dragonflyslip_entry import logs

SUMMARY_PERIOD_S = 1.0
_MB = 1_000_000


def budget_from_settings(
    options: settings.GatewaySettings,
) -> caller_limits.CallerBudget:
    """Return the budget from settings and the limits of the process."""
    return caller_limits.CallerBudget.from_limits(
        _lower(int(options.memory_mb * _MB), resource.RLIMIT_AS),
        _lower(options.max_descriptors, resource.RLIMIT_NOFILE),
    )


def _lower(setting: int, limit: int) -> int:
    """Return the lower one of a setting and a limit; 0 if there is none."""
    soft = resource.getrlimit(limit)[0]
    known = [value for value in (setting, soft) if value > 0]
    return min(known, default=0)


class CallerLimiter:
    """Closes connections that exceed a limit, or to make room for others.

    :param clock: returns seconds of the event loop's clock.
    :ivar protocols: the open connections by their use.
    :ivar heads: received bytes of heads that are not complete.
    :ivar bodies: memory for request bodies.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        budget: caller_limits.CallerBudget,
        clock: collections.abc.Callable[[], float],
    ):
        self.board = board
        self.budget = budget
        self.clock = clock
        self.heads = caller_limits.MemoryBudget(budget.head_bytes)
        self.bodies = caller_limits.MemoryBudget(budget.body_bytes)
        self.protocols: dict[
            caller_limits.ConnectionUse, protocol.LimitedProtocol
        ] = {}
        self._uncounted: collections.Counter[str] = collections.Counter()
        self._logged_at = 0.0

    @property
    def limits(self) -> manifest_types.CallerLimits:
        """The limits of the manifest in force."""
        manifest = self.board.manifest
        if manifest is None:
            return manifest_types.CallerLimits()
        return manifest.limits

    def make_protocol(
        self, server: typing.Any, **options: typing.Any
    ) -> protocol.LimitedProtocol:
        """Return the protocol of a new connection."""
        return protocol.LimitedProtocol(server, self, **options)

    def add(self, opened: protocol.LimitedProtocol) -> None:
        """Add a connection; close another if there are too many."""
        self.protocols[opened.use] = opened
        if len(self.protocols) <= self.budget.connections:
            return
        closed = caller_limits.choose_closed(self.protocols, self.clock())
        # The new connection itself is idle, so there is always one.
        self._close(self.protocols[closed], 'connections')

    def remove(self, closed: protocol.LimitedProtocol) -> None:
        """Remove a connection that was closed."""
        self.protocols.pop(closed.use, None)

    def take_body(self, size_bytes: int) -> bool:
        """Take memory for a body; a stalled one is closed if none is left.

        :return: whether the body may be read.
        """
        if self.bodies.take(size_bytes):
            return True
        stalled = caller_limits.choose_stalled_body(
            self.protocols, self.clock()
        )
        if stalled is None:
            self.count('body_memory')
            return False
        self._close(self.protocols[stalled], 'stalled_body')
        # The closed body gives its memory back when its handler has ended.
        self.bodies.used_bytes += size_bytes
        return True

    def check(self, now: float) -> None:
        """Close the connections that have exceeded a time limit.

        :param now: time of the event loop.
        """
        limits = self.limits
        for use, checked in tuple(self.protocols.items()):
            checked.update_body(now)
            fault = caller_limits.find_fault(use, limits, now)
            if fault is caller_limits.Fault.SLOW_HEAD:
                checked.refuse(408, 'slow_head')
            elif fault is caller_limits.Fault.IDLE:
                if checked.close_idle(now):
                    self.count(fault.value)
            elif fault is not None:
                self._close(checked, fault.value)
        self._log_summary(now)

    def count(self, reason: str) -> None:
        """Count a refusal or closing."""
        self.board.count(f'caller_limit_{reason}')
        self._uncounted[reason] += 1

    def count_linger_end(self, reason: caller_limits.LingerEnd) -> None:
        """Count a connection that its caller did not close in time."""
        self.board.count(f'caller_close_{reason.value}')

    def _close(self, closed: protocol.LimitedProtocol, reason: str) -> None:
        self.count(reason)
        self.remove(closed)
        closed.end()

    def _log_summary(self, now: float) -> None:
        if self._uncounted and now - self._logged_at >= SUMMARY_PERIOD_S:
            logs.info('callers outside the limits', **self._uncounted)
            self._uncounted.clear()
            self._logged_at = now
