"""Checks and conversions of the fields of peer messages."""

import math

from dragonflyslip_core import membership
from dragonflyslip_core import names
from dragonflyslip_wire import errors

UNKNOWN_AGE_MS = 0xFFFFFFFF
_MAX_DIGEST_BYTES = 64


def to_ms(age_s: float, round_up: bool) -> int:
    """Return an age in milliseconds, within the bounds of its field."""
    milliseconds = age_s * 1000
    if not milliseconds < UNKNOWN_AGE_MS - 1:
        return UNKNOWN_AGE_MS - 1
    whole = math.ceil(milliseconds) if round_up else int(milliseconds)
    return max(0, whole)


def check_text(value: str, what: str) -> str:
    """Return a text.

    :param what: its name in the error.
    :raises MessageError: if it is too long.
    """
    if len(value) > names.MAX_TEXT_LENGTH:
        raise errors.MessageError(
            f'{what} is longer than {names.MAX_TEXT_LENGTH} characters'
        )
    return value


def check_name(value: str, what: str) -> str:
    """Return a text that is not empty, as :func:`check_text` does."""
    if not value:
        raise errors.MessageError(f'{what} is empty')
    return check_text(value, what)


def check_digest(value: bytes, what: str) -> bytes:
    """Return a digest, as :func:`check_text` does."""
    if len(value) > _MAX_DIGEST_BYTES:
        raise errors.MessageError(f'{what} is too long')
    return bytes(value)


def write_entry_id(builder, entry_id: membership.EntryId) -> None:
    """Write an id to a builder of ``EntryId``."""
    builder.name = check_name(entry_id.name, 'entry name')
    builder.incarnation = entry_id.incarnation


def read_entry_id(reader) -> membership.EntryId:
    """Return the id in a reader of ``EntryId``."""
    return membership.EntryId(
        check_name(reader.name, 'entry name'), reader.incarnation
    )
