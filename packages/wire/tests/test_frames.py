"""Peer frames: messages survive the round trip, bad input gives an error."""

import struct

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import names as core_names
from dragonflyslip_core import rollouts
from dragonflyslip_core import suspects
from dragonflyslip_core import target_facts
import dragonflyslip_wire as wire
from dragonflyslip_wire import messages

names = strategies.text(
    strategies.characters(exclude_categories=['Cs']), min_size=1, max_size=40
)
uint64 = strategies.integers(0, 2**64 - 1)
uint16 = strategies.integers(0, 2**16 - 1)
digests = strategies.binary(max_size=32)
ages = strategies.integers(0, 10**9).map(lambda number: number / 1000)
entry_ids = strategies.builds(membership.EntryId, names, uint64)
facts = strategies.lists(
    strategies.builds(
        target_facts.TargetFact,
        names,
        names,
        strategies.booleans(),
        uint16,
        ages,
    ),
    max_size=4,
).map(tuple)
marks = strategies.lists(
    strategies.builds(
        suspects.CrashMark,
        names,
        names,
        names,
        ages,
        ages,
        strategies.lists(digests.map(bytes.hex), max_size=3).map(tuple),
    ),
    max_size=3,
).map(tuple)
header_text = strategies.binary(max_size=20).map(
    lambda data: data.decode('utf-8', 'surrogateescape')
)
positions = strategies.builds(
    feeds.Position, strategies.integers(0, 2**32 - 1), uint64
)
uint32 = strategies.integers(0, 2**32 - 1)
uint8 = strategies.integers(0, 2**8 - 1)
rows = strategies.tuples(
    strategies.tuples(uint8, uint16, uint16, uint32, uint8),
    strategies.lists(uint32, max_size=5).map(tuple),
).map(lambda parts: parts[0] + parts[1])
compact_reports = strategies.builds(
    rollouts.CompactReport,
    names,
    uint64,
    positions,
    uint64,
    uint64,
    uint8,
    uint32,
    uint64,
    strategies.lists(names, max_size=3).map(tuple),
    strategies.lists(names, max_size=3).map(tuple),
    strategies.lists(rows, max_size=4).map(tuple),
)
# Feed messages are left out.
any_message = strategies.one_of(
    strategies.builds(
        wire.Hello,
        entry_ids,
        names,
        uint16,
        strategies.none() | entry_ids,
        strategies.booleans(),
    ),
    strategies.builds(
        wire.Heartbeat,
        strategies.builds(
            membership.MemberReport,
            entry_ids,
            uint64,
            uint64,
            digests,
            ages,
            strategies.booleans(),
        ),
        uint64,
        digests,
        strategies.none() | ages,
        facts,
        marks,
    ),
    strategies.builds(wire.Notice, uint64, facts, marks),
    strategies.builds(wire.NoticeAck, uint64),
    strategies.builds(wire.ConfigPull, uint64),
    strategies.builds(
        wire.ConfigPush, uint64, digests, strategies.binary(max_size=300)
    ),
    strategies.builds(
        wire.AnswerQuery,
        names,
        strategies.binary(min_size=16, max_size=16),
        names,
    ),
    strategies.builds(
        wire.Answer,
        names,
        strategies.sampled_from(wire.AnswerState),
        uint16,
        strategies.lists(
            strategies.tuples(header_text, header_text), max_size=3
        ).map(tuple),
        strategies.binary(max_size=300),
    ),
    strategies.builds(wire.RolloutReport, names, names, compact_reports),
    strategies.builds(
        wire.RolloutAdvice,
        names,
        strategies.builds(
            rollouts.Advice, names, positions, strategies.booleans(), uint64
        ),
        strategies.lists(
            strategies.builds(wire.MissingReports, names, uint64, uint64),
            max_size=3,
        ).map(tuple),
    ),
)

# Bytes of the messages of `TestFeedMessages` before they had an era.
SIZES = [37, 28, 25, 84]

derandomized = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True
)


def equal_within_rounding(sent, received):
    """Compare two messages; ages may differ by rounding to 1 ms."""
    if isinstance(sent, float) and isinstance(received, float):
        return abs(sent - received) <= 0.0011
    if hasattr(sent, '__dataclass_fields__'):
        return type(sent) is type(received) and all(
            equal_within_rounding(getattr(sent, name), getattr(received, name))
            for name in sent.__dataclass_fields__
        )
    if isinstance(sent, tuple):
        return len(sent) == len(received) and all(
            map(equal_within_rounding, sent, received)
        )
    return sent == received


def report(**fields):
    """Return a message with a report that has these fields."""
    order = feeds.Position(0, 1)
    empty = rollouts.CompactReport('e', 1, order, 1, 0, 0, 0, 0, (), (), ())
    return wire.RolloutReport('s', 'e', empty._replace(**fields))


def decode_error(data):
    decoder = wire.FrameDecoder()
    with pytest.raises(wire.WireError) as caught:
        list(decoder.feed(data))
    return decoder, caught.value


class TestRoundTrip:
    @derandomized
    @hypothesis.given(
        sent=strategies.lists(any_message, max_size=4),
        cuts=strategies.lists(strategies.integers(1, 50), min_size=1),
    )
    def test_messages_decode_however_the_stream_is_split(self, sent, cuts):
        data = b''.join(wire.encode_frame(message) for message in sent)
        decoder = wire.FrameDecoder()
        received = []
        at, number = 0, 0
        while at < len(data):
            size = cuts[number % len(cuts)]
            received += decoder.feed(data[at : at + size])
            at, number = at + size, number + 1
        assert equal_within_rounding(tuple(sent), tuple(received))

    def test_large_answer_and_config_fit(self):
        for message in (
            wire.Answer('c', wire.AnswerState.STORED, 200, (), b'\0' * 65536),
            wire.ConfigPush(1, b'd', b'x1y2z3w4' * 120_000, 0, 9),
        ):
            (received,) = wire.FrameDecoder().feed(wire.encode_frame(message))
            assert received == message


class TestFeedMessages:
    def messages(self, era):
        start, end = feeds.Position(era, 0), feeds.Position(era, 900)
        records = tuple(
            feeds.FeedRecord(f'i-{n}', value, feeds.Position(era, n))
            for n, value in enumerate((b'value', None))
        )
        return [
            wire.FeedStatus((wire.FeedState('feed', end, 0.1),), 3),
            wire.FeedPull('feed', end),
            wire.FeedPull('feed', None),
            wire.FeedPush('feed', feeds.FeedPage(records, start, end, True)),
        ]

    @pytest.mark.parametrize('era', [0, 1, 2, feeds.MAX_ERA])
    def test_positions_keep_their_era(self, era):
        sent = self.messages(era)
        data = b''.join(map(wire.encode_frame, sent))
        assert list(wire.FrameDecoder().feed(data)) == sent

    def test_era_takes_few_bytes(self):
        # Guards against an era in each record. The sizes of era 0 are those
        # of messages without the field.
        frames = [
            [len(wire.encode_frame(m)) for m in self.messages(era)]
            for era in (0, 1)
        ]
        assert frames[0] == SIZES
        assert all(b - a <= 2 for a, b in zip(*frames, strict=True))

    def test_era_out_of_bounds_is_not_sent(self):
        for message in self.messages(feeds.MAX_ERA + 1)[:2]:
            with pytest.raises(wire.WireError):
                wire.encode_frame(message)


class TestBadInput:
    @derandomized
    @hypothesis.given(
        message=any_message,
        edits=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 10_000), strategies.integers(0, 255)
            ),
            min_size=1,
            max_size=6,
        ),
        cut_bytes=strategies.integers(0, 20),
    )
    def test_damaged_frame_gives_message_or_wire_error(
        self, message, edits, cut_bytes
    ):
        payload = bytearray(wire.encode_message(message))
        for position, value in edits:
            payload[position % len(payload)] = value
        del payload[len(payload) - min(cut_bytes, len(payload) - 1) :]
        frame = struct.pack('<I', len(payload)) + payload
        decoder = wire.FrameDecoder()
        try:
            for received in decoder.feed(frame):
                wire.encode_frame(received)
        except wire.WireError:
            assert decoder.error is not None

    @derandomized
    @hypothesis.given(data=strategies.binary(max_size=400))
    def test_random_bytes_raise_only_wire_errors(self, data):
        for stream in (data, struct.pack('<I', len(data)) + data):
            try:
                list(wire.FrameDecoder().feed(stream))
            except wire.WireError:
                pass

    @pytest.mark.parametrize(
        'data, error',
        [
            (struct.pack('<I', 0), wire.FrameError),
            (struct.pack('<I', 2**20 + 1), wire.FrameError),
            (b'\xff' * 4, wire.FrameError),
            (struct.pack('<I', 4) + b'junk', wire.MessageError),
        ],
    )
    def test_bad_frame_ends_the_stream(self, data, error):
        decoder, raised = decode_error(data)
        assert isinstance(raised, error)
        good = wire.encode_frame(wire.NoticeAck(1))
        with pytest.raises(error):
            list(decoder.feed(good))

    def test_messages_before_a_bad_frame_are_delivered(self):
        stream = wire.encode_frame(wire.NoticeAck(1)) + b'\xff' * 4
        received = wire.FrameDecoder().feed(stream)
        assert next(received) == wire.NoticeAck(1)
        with pytest.raises(wire.FrameError):
            next(received)

    def test_run_of_zeros_does_not_unpack_without_bound(self):
        # Guards against a small frame that takes up a lot of memory: 2 bytes
        # of packed zeros stand for 2 KiB. The message is complete, so without
        # the bound it would decode to version 0.
        words = 2 * messages.MAX_MESSAGE_WORDS
        header = struct.pack('<II', 0, words)
        packed = b'\xff' + header + b'\0' + b'\0\xff' * (words // 256)
        _, raised = decode_error(struct.pack('<I', len(packed)) + packed)
        assert type(raised) is wire.MessageError

    def test_second_segment_is_refused(self):
        # Guards against a crash: pycapnp ends the process when a second
        # segment is malformed.
        root = messages._schema.PeerMessage.new_message(
            num_first_segment_words=1, protocolVersion=1
        )
        root.init('hello').init('sender').name = 'e1'
        packed = root.to_bytes_packed()
        _, raised = decode_error(struct.pack('<I', len(packed)) + packed)
        assert type(raised) is wire.MessageError

    def test_other_version_raises_version_error(self, monkeypatch):
        monkeypatch.setattr(messages, 'PROTOCOL_VERSION', 2)
        frame = wire.encode_frame(wire.NoticeAck(1))
        monkeypatch.undo()
        _, raised = decode_error(frame)
        assert isinstance(raised, wire.VersionError)
        assert raised.version == 2

    @pytest.mark.parametrize(
        'message',
        [
            wire.AnswerQuery('s', b'short', 'c'),
            wire.AnswerQuery('', b'k' * 16, 'c'),
            wire.Answer('c', wire.AnswerState.STORED, 200, (), b'x' * 65_537),
            wire.Answer('c', wire.AnswerState.STORED, 70_000),
            wire.Answer(
                'c', wire.AnswerState.STORED, 200, (('a', 'b'),) * 1_001
            ),
            wire.ConfigPush(1, b'', b'', part=1, parts=1),
            wire.ConfigPush(1, b'd', b'x1y2z3w4' * 140_000),
            wire.ConfigPull(-1),
            wire.Hello(
                membership.EntryId('n' * (core_names.MAX_TEXT_LENGTH + 1), 1)
            ),
            wire.Hello(membership.EntryId('\ud800', 1)),
            wire.Notice(
                1, (target_facts.TargetFact('t', 'b', True, 2**16, 0),)
            ),
            report(rows=((1, 0, 0, 0),)),
            report(rows=((1, 0, 0, 0, 0, *[1] * 65),)),
            report(rows=((1, 0, 0, -1, 0),)),
            report(routes=('',)),
            report(targets=('t',) * 4_097),
            'text',
        ],
    )
    def test_message_out_of_bounds_is_not_sent(self, message):
        with pytest.raises(wire.WireError):
            wire.encode_frame(message)
