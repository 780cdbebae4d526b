"""Messages of quotas: round trip, and bad input gives an error."""

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyslip_core import names as core_names
from dragonflyslip_core import quotas
import dragonflyslip_wire as wire

TOO_LONG = 'n' * (core_names.MAX_TEXT_LENGTH + 1)
names = strategies.text(
    strategies.characters(exclude_categories=['Cs']), min_size=1, max_size=40
)
uint64 = strategies.integers(0, 2**64 - 1)
uint32 = strategies.integers(0, 2**32 - 1)
shard_numbers = strategies.integers(0, quotas.SHARD_COUNT - 1)
messages = strategies.one_of(
    strategies.builds(
        quotas.QuotaAsk,
        shard_numbers,
        uint64,
        uint64,
        strategies.lists(
            strategies.builds(quotas.AccountAsk, names, uint32, uint32),
            max_size=4,
        ).map(tuple),
    ),
    strategies.builds(
        quotas.QuotaGrant,
        shard_numbers,
        uint64,
        uint64,
        strategies.lists(
            strategies.builds(
                quotas.AccountGrant,
                names,
                uint32,
                strategies.integers(0, 10**6).map(lambda ms: ms / 1000),
            ),
            max_size=4,
        ).map(tuple),
    ),
)
derandomized = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True
)


class TestQuotaMessages:
    @derandomized
    @hypothesis.given(message=messages)
    def test_round_trip(self, message):
        (received,) = wire.FrameDecoder().feed(wire.encode_frame(message))
        assert received == message

    @derandomized
    @hypothesis.given(
        message=messages,
        edits=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 10_000), strategies.integers(0, 255)
            ),
            min_size=1,
            max_size=6,
        ),
    )
    def test_damaged_message_gives_message_or_wire_error(self, message, edits):
        data = bytearray(wire.encode_message(message))
        for position, value in edits:
            data[position % len(data)] = value
        try:
            received = wire.decode_message(bytes(data))
            wire.encode_message(received)
        except wire.WireError:
            pass

    @pytest.mark.parametrize(
        'message',
        [
            quotas.QuotaAsk(quotas.SHARD_COUNT, 1, 1),
            quotas.QuotaAsk(0, -1, 1),
            quotas.QuotaAsk(0, 1, 1, (quotas.AccountAsk('', 1),)),
            quotas.QuotaAsk(0, 1, 1, (quotas.AccountAsk('a', 2**32),)),
            quotas.QuotaGrant(0, 1, 2**64),
            quotas.QuotaGrant(0, 1, 1, (quotas.AccountGrant(TOO_LONG, 1),)),
        ],
    )
    def test_message_out_of_bounds_is_not_sent(self, message):
        with pytest.raises(wire.WireError):
            wire.encode_frame(message)
