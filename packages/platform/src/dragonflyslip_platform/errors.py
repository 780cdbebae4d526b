"""Errors of the platform's clients.

Each class states what the caller may conclude: whether an append may have
taken effect, and whether a retry makes sense.
"""

from dragonflyslip_core import errors


class PlatformError(errors.CoreError):
    """Base of all errors of the log service and the instance list."""


class UnavailableError(PlatformError):
    """The service could not be reached, or it reported that it did nothing."""


class UncertainAppendError(PlatformError):
    """The response to an append was lost; the record may be in the log.

    Read the stream to find out, or append a record with the same identifier
    again.
    """


class OffsetExpiredError(PlatformError):
    """Records from the requested offset on have expired.

    :param first: lowest offset that the log still holds.
    """

    def __init__(self, message: str, first: int):
        super().__init__(message)
        self.first = first


class RecordTooLargeError(PlatformError):
    """The record exceeds what the log accepts."""


class BadResponseError(PlatformError):
    """The service's response does not parse."""
