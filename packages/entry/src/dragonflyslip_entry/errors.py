"""Errors of the entry daemon."""

from dragonflyslip_core import errors


class EntryError(errors.CoreError):
    """Base of all errors of the daemon."""


class SettingsError(EntryError):
    """Settings are invalid; names every invalid flag and variable.

    :param faults: one line for each invalid setting.
    """

    exit_code = 2

    def __init__(self, faults: list[str]):
        super().__init__('; '.join(faults))
        self.faults = faults

    def format_message(self) -> str:
        return '\n'.join(f'error: {fault}' for fault in self.faults)


class SendRefusedError(EntryError):
    """A check right before the write failed; nothing was written.

    :param kind: stable name of the reason.
    """

    def __init__(self, kind: str, message: str):
        super().__init__(message)
        self.kind = kind


class CallerBodyError(EntryError):
    """The caller's request body ended early or made no progress."""


class OversizedBodyError(CallerBodyError):
    """The caller's request body exceeds the limit."""


class TargetError(EntryError):
    """A target did not return a complete response.

    :param kind: stable name of the reason.
    :param written: whether any byte of the request may have reached the
        target.
    """

    def __init__(self, kind: str, message: str, written: bool):
        super().__init__(message)
        self.kind = kind
        self.written = written


class MalformedHeadError(EntryError):
    """The status line or a header of a response cannot be relayed."""
