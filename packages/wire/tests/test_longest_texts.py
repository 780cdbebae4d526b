"""Every message carries the longest texts that records may state."""

import dataclasses
import enum
import types
import typing

import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import names
import dragonflyslip_wire as wire
from dragonflyslip_wire import messages

# Each character takes three bytes in UTF-8.
LONGEST_TEXT = '\u20ac' * names.MAX_TEXT_LENGTH
# Fields whose values must have a certain form.
FORMS = {
    'fingerprints': ('ab' * 16,),
    'headers': (('x-name', 'value'),),
    'key_hash': b'k' * messages.KEY_HASH_BYTES,
    'part': 0,
    'rows': ((0, 0, 0, 1, 0, 1),),
    'shard': 0,
    'state': wire.AnswerState.STORED,
    'page': feeds.FeedPage(
        (feeds.FeedRecord(LONGEST_TEXT, b'value', feeds.Position(1, 1)),),
        feeds.Position(1, 0),
        feeds.Position(1, 2),
    ),
}


def _build(expected_type: typing.Any) -> typing.Any:
    """Return a value of a type, of which all texts are the longest."""
    if dataclasses.is_dataclass(expected_type) or hasattr(
        expected_type, '_fields'
    ):
        hints = typing.get_type_hints(expected_type)
        return expected_type(
            **{
                name: FORMS[name] if name in FORMS else _build(hint)
                for name, hint in hints.items()
            }
        )
    origin = typing.get_origin(expected_type)
    arguments = typing.get_args(expected_type)
    if origin in (typing.Union, types.UnionType):
        return _build(arguments[0])
    if origin is tuple:
        return (_build(arguments[0]),)
    if issubclass(expected_type, enum.Enum):
        return next(iter(expected_type))
    if expected_type is str:
        return LONGEST_TEXT
    return b'bytes' if expected_type is bytes else expected_type(1)


class TestLongestTexts:
    @pytest.mark.parametrize(
        'message_type', typing.get_args(wire.Message), ids=lambda t: t.__name__
    )
    def test_message_is_sent_and_received(self, message_type):
        # Guards against a text that the records of the store may state and
        # that no message carries: its error ended the task that sends it.
        message = _build(message_type)
        (received,) = wire.FrameDecoder().feed(wire.encode_frame(message))
        assert received == message

    def test_longer_text_is_an_error(self):
        message = wire.FeedPull(LONGEST_TEXT + 'a', None)
        with pytest.raises(wire.MessageError, match='longer than 300'):
            wire.encode_frame(message)
