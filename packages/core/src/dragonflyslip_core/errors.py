"""Errors of the coordination library.

Each error formats itself for a user and knows the exit code that a command
line should end with.
"""


class CoreError(Exception):
    """Base of all errors raised or returned by this library.

    :param message: one sentence for the user, without a final full stop.
    """

    exit_code = 1

    def __init__(self, message: str):
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text that a command line shows."""
        return self.message


class HeaderError(CoreError):
    """A header of a caller or target does not parse."""


class KeyFormatError(CoreError):
    """An idempotency key is missing, malformed, too old or in the future."""


class RecordError(CoreError):
    """A log record does not parse or breaks a rule."""


class RoutingError(CoreError):
    """No target may receive the request.

    :param kind: short stable name of the reason, such as ``no-target``.
    """

    def __init__(self, message: str, kind: str = 'no-target'):
        super().__init__(message)
        self.kind = kind


class ValidationError(CoreError):
    """Input at the border is invalid; lists every fault that was found."""

    exit_code = 2

    def __init__(self, faults: list[str]):
        super().__init__('; '.join(faults))
        self.faults = faults

    def format_message(self) -> str:
        return '\n'.join(self.faults)
