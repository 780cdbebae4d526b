"""Typed peer messages and their encoding as packed Cap'n Proto."""

import dataclasses
import enum
import pathlib
import typing
import zlib

import capnp

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import quotas
from dragonflyslip_core import suspects
from dragonflyslip_core import target_facts
from dragonflyslip_wire import errors
from dragonflyslip_wire import fields
from dragonflyslip_wire import quota_codec
from dragonflyslip_wire import rollout_messages

PROTOCOL_VERSION = 1
KEY_HASH_BYTES = 16
MAX_BODY_BYTES = 65_536
"""Largest response body, in bytes, that is stored for repeated calls."""
MAX_MESSAGE_WORDS = 2**19
"""Largest unpacked message, in words of 8 bytes: 4 MiB.

A packed run of zeros unpacks to a thousand times its size, so the limit on
frames does not limit the memory of a message.
"""

MAX_FEED_BYTES = MAX_MESSAGE_WORDS * 8
"""Largest size of the records of one feed page, before compression."""

_FIRST_SEGMENT_WORDS = 1_024
_MAX_HEADERS = 1_000

_schema = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))


class AnswerState(enum.StrEnum):
    """State of a claimed call, as known to the entry that made the claim.

    Entries send only ``UNKNOWN`` and ``STORED``.
    """

    UNKNOWN = 'unknown'
    RUNNING = 'running'
    RELEASED = 'released'
    STORED = 'stored'


@dataclasses.dataclass(frozen=True)
class Hello:
    """First message on a connection; also checks whether the peer answers.

    :param caller_port: port on which the sender serves callers; 0 if none.
    :param recipient: the entry that the sender expects to be the recipient;
        None if any may be.
    :param wants_reply: whether the recipient is to answer with a
        :class:`Hello` of its own.
    """

    sender: membership.EntryId
    failure_domain: str = ''
    caller_port: int = 0
    recipient: membership.EntryId | None = None
    wants_reply: bool = False


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """State of the sender, sent every ``membership.HEARTBEAT_S``.

    :param member: membership report of the sender; its ``echo`` is meant for
        this recipient only.
    :param config_through: offset of the last configuration record that the
        sender has applied.
    :param log_read_age_s: seconds since the last read of the log that
        reached its end, known directly or through a peer; None if there was
        none.
    :param targets: boot ids and warm-up levels that changed. The level is
        the number of concurrent requests that the sender may have at a cold
        target.
    :param marks: crash marks that have not expired. A mark records that a
        target crashed and which requests were in flight.
    """

    member: membership.MemberReport
    config_through: int = 0
    config_digest: bytes = b''
    log_read_age_s: float | None = None
    targets: tuple[target_facts.TargetFact, ...] = ()
    marks: tuple[suspects.CrashMark, ...] = ()


@dataclasses.dataclass(frozen=True)
class Notice:
    """Changes that are sent without waiting for the next heartbeat.

    :param notice_id: returned in the :class:`NoticeAck`.
    """

    notice_id: int
    targets: tuple[target_facts.TargetFact, ...] = ()
    marks: tuple[suspects.CrashMark, ...] = ()


@dataclasses.dataclass(frozen=True)
class NoticeAck:
    """Acknowledges that a notice has been applied."""

    notice_id: int


@dataclasses.dataclass(frozen=True)
class ConfigPull:
    """Requests a configuration newer than the offset ``through``."""

    through: int


@dataclasses.dataclass(frozen=True)
class ConfigPush:
    """Part of a configuration snapshot, opaque to this package.

    :param through: offset of the last record that the snapshot contains.
    :param digest: digest of the whole configuration.
    :param part: number of this part, from 0 to ``parts - 1``.
    """

    through: int
    digest: bytes
    body: bytes
    part: int = 0
    parts: int = 1


@dataclasses.dataclass(frozen=True)
class AnswerQuery:
    """Asks the entry that claimed a call for the response to it."""

    service: str
    key_hash: bytes
    claim_id: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """Reply to an :class:`AnswerQuery`.

    :param status: HTTP status, 0 unless the state is ``stored``.
    :param body: at most ``MAX_BODY_BYTES``.
    """

    claim_id: str
    state: AnswerState
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class FeedSubscribe:
    """Subscribes to :class:`FeedStatus`: now, periodically, on each change.

    It is repeated while the sender wants to stay subscribed.

    :param provider: the entry that the sender expects to be the recipient.
    """

    sender: membership.EntryId
    provider: membership.EntryId


@dataclasses.dataclass(frozen=True)
class FeedState:
    """How far one entry has read a feed.

    :param through: position after the last record that the entry has. Its
        offset is one more than ``through`` would be in :class:`ConfigPush`.
    :param age_s: seconds since ``through`` was the end of the log.
    """

    name: str
    through: feeds.Position
    age_s: float


@dataclasses.dataclass(frozen=True)
class FeedStatus:
    """State of the sender's feeds, sent periodically and at each change.

    :param entries: number of live entries that the sender knows of,
        including itself.
    """

    feeds: tuple[FeedState, ...]
    entries: int


@dataclasses.dataclass(frozen=True)
class FeedPull:
    """Requests the changes of a feed.

    :param start: first position; None for everything.
    """

    name: str
    start: feeds.Position | None


@dataclasses.dataclass(frozen=True)
class FeedPush:
    """Reply to a :class:`FeedPull`."""

    name: str
    page: feeds.FeedPage


Message = (
    Hello
    | Heartbeat
    | Notice
    | NoticeAck
    | ConfigPull
    | ConfigPush
    | AnswerQuery
    | Answer
    | FeedSubscribe
    | FeedStatus
    | FeedPull
    | FeedPush
    | rollout_messages.RolloutReport
    | rollout_messages.RolloutAdvice
    | quotas.QuotaAsk
    | quotas.QuotaGrant
)


def encode_message(message: Message) -> bytes:
    """Return a message as packed bytes.

    :raises MessageError: if a value is out of bounds.
    """
    codec = _CODECS_BY_TYPE.get(type(message))
    if codec is None:
        raise errors.MessageError(
            f'{type(message).__name__} is not a peer message'
        )
    try:
        data = _pack(codec, message, _FIRST_SEGMENT_WORDS)
        if not _has_one_segment(data):
            data = _pack(codec, message, MAX_MESSAGE_WORDS)
    except errors.WireError:
        raise
    except Exception as error:
        # pycapnp raises many exception types for values that do not fit.
        raise errors.MessageError(
            f'{codec.member} cannot be encoded: {_first_line(error)}'
        ) from error
    if not _has_one_segment(data):
        raise errors.MessageError(f'{codec.member} is too long')
    return data


def decode_message(data: bytes) -> Message:
    """Return the message in packed bytes.

    :raises VersionError: if it has another protocol version.
    :raises MessageError: if it cannot be decoded.
    """
    if not _has_one_segment(data):
        raise errors.MessageError('message has more than one segment')
    try:
        root = _schema.PeerMessage.from_bytes_packed(
            data, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        if root.protocolVersion != PROTOCOL_VERSION:
            raise errors.VersionError(root.protocolVersion)
        member = str(root.which())
        return _CODECS_BY_MEMBER[member].read(getattr(root, member))
    except errors.WireError:
        raise
    except Exception as error:
        # pycapnp raises many exception types for malformed bytes.
        raise errors.MessageError(
            f'malformed peer message: {_first_line(error)}'
        ) from error


def _pack(codec: '_Codec', message: Message, segment_words: int) -> bytes:
    root = _schema.PeerMessage.new_message(
        num_first_segment_words=segment_words,
        protocolVersion=PROTOCOL_VERSION,
    )
    codec.write(root.init(codec.member), message)
    return root.to_bytes_packed()


def _has_one_segment(data: bytes) -> bool:
    # The low bits of the first tag stand for the number of further segments.
    # Messages with further segments are refused because pycapnp reads them
    # lazily, and ends the process if they are malformed.
    return len(data) > 0 and not data[0] & 0x0F


def _first_line(error: Exception) -> str:
    return (str(error).splitlines() or [''])[0][:200]


def _check_key_hash(value: bytes) -> bytes:
    if len(value) != KEY_HASH_BYTES:
        raise errors.MessageError(
            f'key hash is not {KEY_HASH_BYTES} bytes long'
        )
    return bytes(value)


def _check_body(value: bytes) -> bytes:
    if len(value) > MAX_BODY_BYTES:
        raise errors.MessageError(f'body exceeds {MAX_BODY_BYTES} bytes')
    return bytes(value)


def _check_headers(items):
    if len(items) > _MAX_HEADERS:
        raise errors.MessageError(f'more than {_MAX_HEADERS} headers')
    return items


def _check_part(part: int, parts: int) -> None:
    if not 0 <= part < parts:
        raise errors.MessageError(f'part {part} of {parts} does not exist')


def _write_facts(
    builder, facts: typing.Sequence[target_facts.TargetFact]
) -> None:
    if not facts:
        return
    items = builder.init('targets', len(facts))
    for item, fact in zip(items, facts, strict=True):
        item.targetId = fields.check_name(fact.target_id, 'target id')
        item.bootId = fields.check_name(fact.boot_id, 'boot id')
        item.warm = fact.warm
        item.level = fact.level
        # Rounded up: a fact that looks older cannot cause a false suspicion
        # that the target has restarted.
        item.ageMs = fields.to_ms(fact.age_s, round_up=True)


def _read_facts(reader) -> tuple[target_facts.TargetFact, ...]:
    return tuple(
        target_facts.TargetFact(
            target_id=fields.check_name(item.targetId, 'target id'),
            boot_id=fields.check_name(item.bootId, 'boot id'),
            warm=item.warm,
            level=item.level,
            age_s=item.ageMs / 1000,
        )
        for item in reader.targets
    )


def _write_marks(builder, marks: typing.Sequence[suspects.CrashMark]) -> None:
    if not marks:
        return
    items = builder.init('marks', len(marks))
    for item, mark in zip(items, marks, strict=True):
        item.targetId = fields.check_name(mark.target_id, 'target id')
        item.bootId = fields.check_text(mark.boot_id, 'boot id')
        item.failureDomain = fields.check_text(
            mark.failure_domain, 'failure domain'
        )
        item.ageMs = fields.to_ms(mark.age_s, round_up=False)
        item.ttlMs = fields.to_ms(mark.ttl_s, round_up=True)
        fingerprints = item.init('fingerprints', len(mark.fingerprints))
        for number, fingerprint in enumerate(mark.fingerprints):
            fingerprints[number] = bytes.fromhex(fingerprint)


def _read_marks(reader) -> tuple[suspects.CrashMark, ...]:
    return tuple(
        suspects.CrashMark(
            target_id=fields.check_name(item.targetId, 'target id'),
            boot_id=fields.check_text(item.bootId, 'boot id'),
            failure_domain=fields.check_text(
                item.failureDomain, 'failure domain'
            ),
            age_s=item.ageMs / 1000,
            ttl_s=item.ttlMs / 1000,
            fingerprints=tuple(
                fields.check_digest(fingerprint, 'fingerprint').hex()
                for fingerprint in item.fingerprints
            ),
        )
        for item in reader.marks
    )


def _write_hello(builder, message: Hello) -> None:
    fields.write_entry_id(builder.init('sender'), message.sender)
    builder.failureDomain = fields.check_text(
        message.failure_domain, 'failure domain'
    )
    builder.callerPort = message.caller_port
    if message.recipient is not None:
        fields.write_entry_id(builder.init('recipient'), message.recipient)
    builder.wantsReply = message.wants_reply


def _read_hello(reader) -> Hello:
    return Hello(
        sender=fields.read_entry_id(reader.sender),
        failure_domain=fields.check_text(
            reader.failureDomain, 'failure domain'
        ),
        caller_port=reader.callerPort,
        recipient=(
            fields.read_entry_id(reader.recipient)
            if reader._has('recipient')
            else None
        ),
        wants_reply=reader.wantsReply,
    )


def _write_heartbeat(builder, message: Heartbeat) -> None:
    member = message.member
    fields.write_entry_id(builder.init('sender'), member.entry_id)
    builder.sequence = member.sequence
    builder.echo = member.echo
    builder.viewDigest = fields.check_digest(member.view_digest, 'view digest')
    # Rounded down: entries agree on their membership by vote, and a view (the
    # sender's list of members) counts as a vote once it has been unchanged for
    # long enough. One that looks younger counts later, never too early.
    builder.viewAgeMs = fields.to_ms(member.view_age_s, round_up=False)
    builder.draining = member.draining
    builder.configThrough = message.config_through
    builder.configDigest = fields.check_digest(
        message.config_digest, 'config digest'
    )
    if message.log_read_age_s is None:
        builder.logReadAgeMs = fields.UNKNOWN_AGE_MS
    else:
        builder.logReadAgeMs = fields.to_ms(
            message.log_read_age_s, round_up=True
        )
    _write_facts(builder, message.targets)
    _write_marks(builder, message.marks)


def _read_heartbeat(reader) -> Heartbeat:
    log_read_age_ms = reader.logReadAgeMs
    return Heartbeat(
        member=membership.MemberReport(
            entry_id=fields.read_entry_id(reader.sender),
            sequence=reader.sequence,
            echo=reader.echo,
            view_digest=fields.check_digest(reader.viewDigest, 'view digest'),
            view_age_s=reader.viewAgeMs / 1000,
            draining=reader.draining,
        ),
        config_through=reader.configThrough,
        config_digest=fields.check_digest(
            reader.configDigest, 'config digest'
        ),
        log_read_age_s=(
            None
            if log_read_age_ms == fields.UNKNOWN_AGE_MS
            else log_read_age_ms / 1000
        ),
        targets=_read_facts(reader),
        marks=_read_marks(reader),
    )


def _write_notice(builder, message: Notice) -> None:
    builder.noticeId = message.notice_id
    _write_facts(builder, message.targets)
    _write_marks(builder, message.marks)


def _read_notice(reader) -> Notice:
    return Notice(reader.noticeId, _read_facts(reader), _read_marks(reader))


def _write_notice_ack(builder, message: NoticeAck) -> None:
    builder.noticeId = message.notice_id


def _read_notice_ack(reader) -> NoticeAck:
    return NoticeAck(reader.noticeId)


def _write_config_pull(builder, message: ConfigPull) -> None:
    builder.through = message.through


def _read_config_pull(reader) -> ConfigPull:
    return ConfigPull(reader.through)


def _write_config_push(builder, message: ConfigPush) -> None:
    _check_part(message.part, message.parts)
    builder.through = message.through
    builder.digest = fields.check_digest(message.digest, 'config digest')
    builder.body = message.body
    builder.part = message.part
    builder.parts = message.parts


def _read_config_push(reader) -> ConfigPush:
    _check_part(reader.part, reader.parts)
    return ConfigPush(
        through=reader.through,
        digest=fields.check_digest(reader.digest, 'config digest'),
        body=bytes(reader.body),
        part=reader.part,
        parts=reader.parts,
    )


def _write_answer_query(builder, message: AnswerQuery) -> None:
    builder.service = fields.check_name(message.service, 'service')
    builder.keyHash = _check_key_hash(message.key_hash)
    builder.claimId = fields.check_name(message.claim_id, 'claim id')


def _read_answer_query(reader) -> AnswerQuery:
    return AnswerQuery(
        service=fields.check_name(reader.service, 'service'),
        key_hash=_check_key_hash(reader.keyHash),
        claim_id=fields.check_name(reader.claimId, 'claim id'),
    )


def _write_answer(builder, message: Answer) -> None:
    builder.claimId = fields.check_name(message.claim_id, 'claim id')
    builder.state = message.state.value
    builder.status = message.status
    builder.body = _check_body(message.body)
    items = builder.init('headers', len(_check_headers(message.headers)))
    for item, (name, value) in zip(items, message.headers, strict=True):
        # HTTP headers may hold bytes that are not UTF-8.
        item.name = name.encode('utf-8', 'surrogateescape')
        item.value = value.encode('utf-8', 'surrogateescape')


def _read_answer(reader) -> Answer:
    return Answer(
        claim_id=fields.check_name(reader.claimId, 'claim id'),
        state=AnswerState(str(reader.state)),
        status=reader.status,
        headers=tuple(
            (
                bytes(item.name).decode('utf-8', 'surrogateescape'),
                bytes(item.value).decode('utf-8', 'surrogateescape'),
            )
            for item in _check_headers(reader.headers)
        ),
        body=_check_body(reader.body),
    )


def _write_feed_subscribe(builder, message: FeedSubscribe) -> None:
    fields.write_entry_id(builder.init('sender'), message.sender)
    fields.write_entry_id(builder.init('provider'), message.provider)


def _read_feed_subscribe(reader) -> FeedSubscribe:
    return FeedSubscribe(
        fields.read_entry_id(reader.sender),
        fields.read_entry_id(reader.provider),
    )


def _write_feed_status(builder, message: FeedStatus) -> None:
    items = builder.init('feeds', len(message.feeds))
    for item, state in zip(items, message.feeds, strict=True):
        item.name = fields.check_name(state.name, 'feed')
        item.era = state.through.era
        item.through = state.through.offset
        # Rounded up: if the state looks too old, the recipient asks another
        # entry.
        item.ageMs = fields.to_ms(state.age_s, round_up=True)
    builder.entries = message.entries


def _read_feed_status(reader) -> FeedStatus:
    return FeedStatus(
        tuple(
            FeedState(
                fields.check_name(item.name, 'feed'),
                feeds.Position(item.era, item.through),
                item.ageMs / 1000,
            )
            for item in reader.feeds
        ),
        reader.entries,
    )


def _write_feed_pull(builder, message: FeedPull) -> None:
    builder.name = fields.check_name(message.name, 'feed')
    if message.start is not None:
        builder.hasStart = True
        builder.era = message.start.era
        builder.start = message.start.offset


def _read_feed_pull(reader) -> FeedPull:
    start = None
    if reader.hasStart:
        start = feeds.Position(reader.era, reader.start)
    return FeedPull(fields.check_name(reader.name, 'feed'), start)


def _write_feed_push(builder, message: FeedPush) -> None:
    page = message.page
    builder.name = fields.check_name(message.name, 'feed')
    builder.era = page.era
    builder.start = page.start.offset
    builder.through = page.through.offset
    builder.complete = page.complete
    content = _schema.FeedRecords.new_message(
        num_first_segment_words=_max_feed_words(page.records)
    )
    items = content.init('records', len(page.records))
    for item, record in zip(items, page.records, strict=True):
        item.key = fields.check_text(record.key, 'key')
        item.value = record.value or b''
        item.offset = record.position.offset
        item.dropped = record.value is None
    data = content.to_bytes_packed()
    if not _has_one_segment(data):
        raise errors.MessageError('feed records are too long')
    builder.records = zlib.compress(data)


def _max_feed_words(records: typing.Sequence[feeds.FeedRecord]) -> int:
    """Return an upper bound for the size of records, in 8-byte words."""
    size = sum(
        len(record.key.encode()) + len(record.value or b'')
        for record in records
    )
    words = _FIRST_SEGMENT_WORDS + size // 8 + 8 * len(records)
    return min(words, MAX_MESSAGE_WORDS)


def _read_feed_push(reader) -> FeedPush:
    inflater = zlib.decompressobj()
    data = inflater.decompress(reader.records, MAX_FEED_BYTES)
    if not inflater.eof or not _has_one_segment(data):
        raise errors.MessageError('feed records cannot be decoded')
    content = _schema.FeedRecords.from_bytes_packed(
        data, traversal_limit_in_words=MAX_MESSAGE_WORDS
    )
    era = reader.era
    records = tuple(
        feeds.FeedRecord(
            fields.check_text(item.key, 'key'),
            None if item.dropped else bytes(item.value),
            feeds.Position(era, item.offset),
        )
        for item in content.records
    )
    page = feeds.FeedPage(
        records,
        feeds.Position(era, reader.start),
        feeds.Position(era, reader.through),
        reader.complete,
    )
    return FeedPush(fields.check_name(reader.name, 'feed'), page)


class _Codec(typing.NamedTuple):
    type: type
    member: str
    write: typing.Callable
    read: typing.Callable


_CODECS = (
    _Codec(Hello, 'hello', _write_hello, _read_hello),
    _Codec(Heartbeat, 'heartbeat', _write_heartbeat, _read_heartbeat),
    _Codec(Notice, 'notice', _write_notice, _read_notice),
    _Codec(NoticeAck, 'noticeAck', _write_notice_ack, _read_notice_ack),
    _Codec(ConfigPull, 'configPull', _write_config_pull, _read_config_pull),
    _Codec(ConfigPush, 'configPush', _write_config_push, _read_config_push),
    _Codec(
        AnswerQuery, 'answerQuery', _write_answer_query, _read_answer_query
    ),
    _Codec(Answer, 'answer', _write_answer, _read_answer),
    _Codec(
        FeedSubscribe,
        'feedSubscribe',
        _write_feed_subscribe,
        _read_feed_subscribe,
    ),
    _Codec(FeedStatus, 'feedStatus', _write_feed_status, _read_feed_status),
    _Codec(FeedPull, 'feedPull', _write_feed_pull, _read_feed_pull),
    _Codec(FeedPush, 'feedPush', _write_feed_push, _read_feed_push),
    _Codec(
        rollout_messages.RolloutReport,
        'rolloutReport',
        rollout_messages.write_report,
        rollout_messages.read_report,
    ),
    _Codec(
        rollout_messages.RolloutAdvice,
        'rolloutAdvice',
        rollout_messages.write_advice,
        rollout_messages.read_advice,
    ),
    _Codec(
        quotas.QuotaAsk,
        'quotaAsk',
        quota_codec.write_ask,
        quota_codec.read_ask,
    ),
    _Codec(
        quotas.QuotaGrant,
        'quotaGrant',
        quota_codec.write_grant,
        quota_codec.read_grant,
    ),
)
_CODECS_BY_TYPE = {codec.type: codec for codec in _CODECS}
_CODECS_BY_MEMBER = {codec.member: codec for codec in _CODECS}
