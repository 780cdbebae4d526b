"""Structured logs: one JSON object a line, on standard output.

Lines are queued in a bounded queue and written without blocking. Lines that
find the queue full are dropped; their number is logged from time to time.
"""

import collections
import logging
import os
import sys
import traceback

from pythonjsonlogger import json as json_logger

LOGGER = logging.getLogger('dragonflyslip')

QUEUE_LINES = 10_000
# Request lines beyond this rate are dropped and counted.
REQUEST_LINES_PER_S = 200
SUMMARY_INTERVAL_S = 5.0
# The same unexpected exception is logged once in this time: a task that goes
# on may raise it some times a second.
FAULT_INTERVAL_S = 60.0
# Different exceptions whose last line is remembered.
MAX_REMEMBERED_FAULTS = 100
# Errors of one chain whose tracebacks are logged.
MAX_CHAINED_ERRORS = 4


class QueueHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking."""

    def __init__(self, descriptor: int, limit: int = QUEUE_LINES):
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.limit = limit
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line and start writing; drop it if the queue is full."""
        if len(self.lines) >= self.limit:
            self.dropped += 1
            return
        self.lines.append(self.format(record).encode() + b'\n')
        self.write_queued()

    def write_queued(self) -> None:
        """Write queued lines until the descriptor would block or fails.

        A line that cannot be written, for example to a full disk, stays
        queued.
        """
        while self.lines:
            line = self.lines.popleft()
            try:
                written = os.write(self.descriptor, line)
            except OSError:
                written = 0
            if written < len(line):
                self.lines.appendleft(line[written:])
                return


class _RequestLineLimiter:
    """Limits the rate of request lines."""

    def __init__(self):
        self.second = 0
        self.lines = 0
        self.skipped = 0
        self.reported = 0
        self.reported_at = 0.0

    def allow(self, second: int) -> bool:
        """Return whether one more line may be written in ``second``.

        :param second: Unix time in whole seconds.
        """
        if second != self.second:
            self.second = second
            self.lines = 0
        self.lines += 1
        if self.lines > REQUEST_LINES_PER_S:
            self.skipped += 1
            return False
        return True


class _FaultLineLimiter:
    """Limits how often the same unexpected exception is logged."""

    def __init__(self):
        self.logged_at: dict[str, float] = {}

    def allow(self, fault: str, now: float) -> bool:
        """Return whether to log a fault.

        :param now: Unix seconds.
        """
        logged_at = self.logged_at.get(fault)
        if logged_at is not None and now - logged_at < FAULT_INTERVAL_S:
            return False
        if len(self.logged_at) >= MAX_REMEMBERED_FAULTS:
            self.logged_at.clear()
        self.logged_at[fault] = now
        return True


_request_limiter = _RequestLineLimiter()
_fault_limiter = _FaultLineLimiter()


def configure(level: str, entry_name: str) -> None:
    """Write log lines of ``level`` and above to standard output.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param entry_name: written to each line as ``entry``.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = QueueHandler(descriptor)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'entry': entry_name},
        )
    )
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(level.upper())


def info(message: str, **fields: object) -> None:
    """Log an event, such as a change of state.

    :param fields: JSON members added to the line.
    """
    LOGGER.info(message, extra=fields)


def request(message: str, **fields: object) -> None:
    """Log how an HTTP request ended, unless the rate limit is exceeded.

    :param fields: JSON members added to the line.
    """
    if not LOGGER.isEnabledFor(logging.INFO):
        return
    record = LOGGER.makeRecord(
        LOGGER.name, logging.INFO, '', 0, message, (), None, extra=fields
    )
    if _request_limiter.allow(int(record.created)):
        LOGGER.handle(record)


def fault(message: str, error: BaseException, **fields: object) -> None:
    """Log an unexpected exception after which the process goes on.

    :param fields: JSON members added to the line.
    """
    trace = trace_without_texts(error)
    extra = {**fields, 'trace': trace}
    record = LOGGER.makeRecord(
        LOGGER.name, logging.ERROR, '', 0, message, (), None, extra=extra
    )
    if _fault_limiter.allow(f'{message}\n{trace}', record.created):
        LOGGER.handle(record)


def trace_without_texts(error: BaseException) -> str:
    """Return the traceback of an error, of whose texts only types are shown.

    The text of an error may quote a request, and with it a key.
    """
    parts = []
    cause: BaseException | None = error
    while cause is not None and len(parts) < MAX_CHAINED_ERRORS:
        frames = ''.join(traceback.format_tb(cause.__traceback__))
        parts.append(f'{frames}{type(cause).__name__}')
        cause = cause.__cause__ or cause.__context__
    return '\ncaused by:\n'.join(parts)


def dropped() -> int:
    """Return how many lines were dropped since the start."""
    lost = sum(getattr(handler, 'dropped', 0) for handler in LOGGER.handlers)
    return lost + _request_limiter.skipped


def flush_summary(now: float) -> None:
    """Write queued lines, and log how many were dropped.

    The number is logged at most once in ``SUMMARY_INTERVAL_S``.

    :param now: monotonic seconds.
    """
    for handler in LOGGER.handlers:
        if isinstance(handler, QueueHandler):
            handler.write_queued()
    if (
        now - _request_limiter.reported_at >= SUMMARY_INTERVAL_S
        and dropped() > _request_limiter.reported
    ):
        info('log lines dropped', lines=dropped() - _request_limiter.reported)
        _request_limiter.reported = dropped()
        _request_limiter.reported_at = now
