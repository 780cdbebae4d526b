"""Errors of the coordination library.

Each error formats its own message for the user and has the exit code that a
command line should return.
"""

from dragonflyslip_core import feeds


class CoreError(Exception):
    """Base of all errors raised or returned by this library.

    :param message: one sentence for the user, without a trailing period.
    """

    exit_code = 1

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text that a command line prints."""
        return self.message


class HeaderError(CoreError):
    """A header from a caller or a target cannot be parsed."""


class KeyFormatError(CoreError):
    """An idempotency key is missing, malformed, too old or in the future."""


class LogEndError(CoreError):
    """A record was not appended because its log does not end as required.

    :param end: where the log ends.
    :param at: where it should have ended.
    """

    def __init__(self, end: feeds.Position, at: feeds.Position):
        super().__init__(f'the log ends at {end.offset}, not at {at.offset}')
        self.end = end
        self.at = at


class LogEraError(CoreError):
    """A log is of another era than the position where it should have ended.

    The record may have been appended in that era, but not after the records
    that its writer knew.

    :param era: era of the log.
    :param at: where it should have ended.
    """

    def __init__(self, era: int, at: feeds.Position):
        super().__init__(f'the log is of era {era}, not of {at.era}')
        self.era = era
        self.at = at


class OlderEraError(CoreError):
    """A log responded in an older era than one that is already known.

    The response comes from a part of it that lags behind, and what it holds
    may have been replaced.

    :param era: era of the response.
    :param known: newest known era of the log.
    """

    def __init__(self, era: int, known: int):
        super().__init__(f'the response is of era {era}, not of {known}')
        self.era = era
        self.known = known


class OverlongResponseError(CoreError):
    """A peer sent more bytes than a response to its request may have."""


class RecordError(CoreError):
    """A log record cannot be parsed or violates a rule."""


class RoutingError(CoreError):
    """No target, or not the chosen one, can receive the request.

    :param kind: short, stable code of the reason, such as ``no-target``.
    """

    def __init__(self, message: str, kind: str = 'no-target'):
        super().__init__(message)
        self.kind = kind


class ValidationError(CoreError):
    """External input is invalid; lists all faults that were found."""

    exit_code = 2

    def __init__(self, faults: list[str]):
        super().__init__('; '.join(faults))
        self.faults = faults

    def format_message(self) -> str:
        return '\n'.join(self.faults)
