"""Configuration state, built by applying the records of stream ``config``.

Whether a change is accepted depends only on the order of the log, so all
entries that have read through the same offset hold the same state.
"""

import base64
import collections
import dataclasses
import enum
import functools
import hashlib
import json
import struct
import typing
import uuid

from returns import result

from dragonflyslip_core import changes
from dragonflyslip_core import errors
from dragonflyslip_core import profiles
from dragonflyslip_core import targets

AUDIT_ENTRIES = 64
# Keeps a checkpoint with the audit of 64 changes small enough to send.
AUDIT_BODY_BYTES = 2_048
# Number of latest offsets whose change ids are kept to detect repeated
# appends: about a day at 7,800 changes a day. If an accepted change is
# appended again after its id was dropped, it is rejected as long as the item
# exists, since the item no longer has the version that the change expects.
SEEN_OFFSETS = 8_192
# Distance from the start of the offset window, and the 16 bytes of the id.
_SEEN_ENTRY = struct.Struct('<H16s')


@dataclasses.dataclass(frozen=True)
class Item:
    """The change in force for one name of one kind.

    :param version: offset of the change.
    """

    version: int
    change: changes.ConfigChange

    @functools.cached_property
    def encoded(self) -> bytes:
        """The item as a JSON list, as stored in checkpoints."""
        change = self.change
        return changes.canonical_json(
            [
                self.version,
                change.kind.value,
                change.name,
                change.change_id,
                change.author,
                change.at_ms,
                change.expected_version,
                change.body_members(),
            ]
        )

    @classmethod
    def from_members(
        cls, members: list[typing.Any]
    ) -> result.Result['Item', errors.RecordError]:
        """Build an item from the decoded list of :attr:`encoded`."""
        version, kind, name, change_id, author, at, expected, body = members
        data = changes.canonical_json(
            {
                'change_id': change_id,
                'author': author,
                'at': at,
                'kind': kind,
                'name': name,
                'expected_version': expected,
                'body': body,
            }
        )
        return changes.parse_change(data).map(
            lambda change: cls(int(version), change)
        )


class Verdict(enum.StrEnum):
    """Result of checking a record."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Who changed what; kept for the last ``AUDIT_ENTRIES`` records.

    ``author``, ``kind`` and ``name`` are empty if the record does not parse.

    :param at_ms: Unix ms by the author's clock; 0 if the record does not
        parse.
    :param before: body members in force before the record, if any. A body
        of more than ``AUDIT_BODY_BYTES`` is replaced by its size and digest.
    :param after: body members that the record requested, if it parses;
        replaced like ``before`` if too large.
    """

    offset: int
    verdict: Verdict
    author: str = ''
    at_ms: int = 0
    kind: str = ''
    name: str = ''
    change_id: str = ''
    before: dict[str, typing.Any] | None = None
    after: dict[str, typing.Any] | None = None

    @functools.cached_property
    def encoded(self) -> bytes:
        """The entry as a JSON object, as stored in checkpoints."""
        return changes.canonical_json(dataclasses.asdict(self))


@dataclasses.dataclass(frozen=True)
class Applied:
    """The change was accepted; its offset is the item's new version.

    :param replaced: the change that was in force before, None if none was.
    """

    offset: int
    change: changes.ConfigChange
    replaced: Item | None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change expected another version than the item has.

    :param winner: the change in force, None if the item has none.
    """

    offset: int
    change: changes.ConfigChange
    winner: Item | None


class IgnoredReason(enum.StrEnum):
    """Why a record had no effect on the configuration."""

    REPEATED = 'repeated'
    CHECKPOINT = 'checkpoint'
    CHECKPOINT_MISMATCH = 'checkpoint-mismatch'
    ALREADY_READ = 'already-read'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True)
class Ignored:
    """The record had no effect.

    :param change_id: id of a repeated or invalid change, if it has one.
    :param detail: why an invalid record is invalid.
    """

    offset: int
    reason: IgnoredReason
    change_id: str | None = None
    detail: str = ''


@dataclasses.dataclass
class ConfigState:
    """Configuration after all records through the offset ``through``.

    :param through: offset of the last applied record; 0 before the first.
    :param items: the change in force by kind and name. An instance that is
        back in service and a lifted suspect are removed when their change id
        leaves ``seen``, and from then on have version 0 again.
    :param seen: the offset of each change in the last ``SEEN_OFFSETS``
        offsets, accepted or not, by change id and in offset order.
    :param audit: the last ``AUDIT_ENTRIES`` entries, oldest first.
    """

    through: int = 0
    items: dict[changes.Kind, dict[str, Item]] = dataclasses.field(
        default_factory=lambda: {kind: {} for kind in changes.BODY_MODELS}
    )
    seen: dict[str, int] = dataclasses.field(default_factory=dict)
    audit: collections.deque[AuditEntry] = dataclasses.field(
        default_factory=collections.deque
    )

    def __post_init__(self):
        self.domains_out: set[str] = set()
        self.instances_out: set[str] = set()
        self.lifted_suspects: dict[str, int] = {}
        self._profiles: dict[str, profiles.Profile] = {}
        self._services: dict[str, profiles.Service] = {}
        self._hosts: dict[str, str] = {}
        self._hash_sum = 0
        # Instances back in service and lifted suspects, by the offset of
        # their change. They have no lasting effect, so they are removed when
        # that offset leaves the window of ``seen``.
        self._without_effect: dict[int, tuple[changes.Kind, str]] = {}

    def version_of(self, kind: changes.Kind, name: str) -> int:
        """Return the version of an item, 0 before its first change."""
        item = self.items[kind].get(name)
        return 0 if item is None else item.version

    def service(self, name: str) -> profiles.Service | None:
        """Return the service ``name``, None if there is none."""
        return self._services.get(name)

    def services(self) -> list[profiles.Service]:
        """Return all services in name order."""
        return [self._services[name] for name in sorted(self._services)]

    def profile_of(self, service: str) -> profiles.Profile | None:
        """Return the profile of the service ``service``.

        :return: the profile, None if there is no such service.
        """
        found = self._services.get(service)
        return None if found is None else self._profiles[found.profile]

    def service_for_host(self, host: str) -> profiles.Service | None:
        """Return the service that a Host header value selects.

        Case and port are ignored. A service name takes precedence over a
        host list; if two services list the same host, the first in name
        order is selected.
        """
        host = _host_name(host)
        return self._services.get(self._hosts.get(host, host))

    def is_in_service(self, target: targets.Target) -> bool:
        """Return whether operators allow ``target`` to receive new work.

        Neither its failure domain nor the instance may be out of service.
        """
        return (
            target.failure_domain not in self.domains_out
            and target.instance_id not in self.instances_out
        )

    def digest(self) -> str:
        """Return the digest of the whole state in hexadecimal digits.

        It is the SHA-256 of ``through`` and of the sum of the SHA-256
        hashes of all parts, that is, items, seen change ids and audit
        entries. The sum is updated incrementally: hashing 580 services
        again for each change took more than the 1.2 % of a core that
        control tasks may use.
        """
        content = f'{self.through}:{self._hash_sum:x}'.encode()
        return hashlib.sha256(content).hexdigest()

    def encode(self) -> bytes:
        """Encode the state as JSON such that equal states give equal bytes."""
        items = b','.join(
            self.items[kind][name].encoded
            for kind in changes.BODY_MODELS
            for name in sorted(self.items[kind])
        )
        audit = b','.join(entry.encoded for entry in self.audit)
        seen = _pack_seen(self.seen, self.through)
        return b'{"audit":[%b],"items":[%b],"seen":"%b","through":%d}' % (
            audit,
            items,
            seen,
            self.through,
        )

    @classmethod
    def from_members(
        cls, members: dict[str, typing.Any]
    ) -> result.Result['ConfigState', errors.RecordError]:
        """Build a state from the decoded object of :meth:`encode`.

        :return: the state, or an :exc:`~errors.RecordError` if a member is
            missing or invalid.
        """
        try:
            state = cls(through=int(members['through']))
            for encoded in members['items']:
                item = Item.from_members(encoded)
                if isinstance(item, result.Failure):
                    return item
                checked = check_change(state, item.unwrap().change)
                if isinstance(checked, result.Failure):
                    return checked
                state._put_item(item.unwrap())
            seen = _unpack_seen(members['seen'], state.through)
            for change_id, offset in seen.items():
                state._add_seen(change_id, offset)
            for entry in members['audit']:
                verdict = Verdict(entry['verdict'])
                state._add_audit_entry(
                    AuditEntry(**{**entry, 'verdict': verdict})
                )
        except (KeyError, TypeError, ValueError) as error:
            return changes.invalid_record(f'invalid state: {error!r}')
        state._index_hosts()
        return result.Success(state)

    def _put_item(self, item: Item) -> None:
        change = item.change
        items = self.items[change.kind]
        if change.name in items:
            self._hash_sum -= _hash_part(items[change.name].encoded)
        items[change.name] = item
        self._hash_sum += _hash_part(item.encoded)
        body = change.body
        if change.kind is changes.Kind.PROFILE:
            profile = profiles.Profile.from_model(change.name, body)
            self._profiles[change.name] = profile
        elif change.kind is changes.Kind.SERVICE:
            service = profiles.Service.from_model(change.name, body)
            self._services[change.name] = service
        elif change.kind is changes.Kind.LIFT_SUSPECT:
            self.lifted_suspects[change.name] = item.version
            self._without_effect[item.version] = (change.kind, change.name)
        elif change.kind is changes.Kind.DOMAIN:
            _set_member(self.domains_out, change.name, not body.in_service)
        else:
            _set_member(self.instances_out, change.name, not body.in_service)
            if body.in_service:
                self._without_effect[item.version] = (change.kind, change.name)

    def _add_seen(self, change_id: str, offset: int) -> None:
        self.seen[change_id] = offset
        self._hash_sum += _hash_part(f'{change_id} {offset}'.encode())

    def _add_audit_entry(self, entry: AuditEntry) -> None:
        self.audit.append(entry)
        self._hash_sum += _hash_part(entry.encoded)
        if len(self.audit) > AUDIT_ENTRIES:
            self._hash_sum -= _hash_part(self.audit.popleft().encoded)

    def _index_hosts(self) -> None:
        self._hosts = {}
        for name in sorted(self._services):
            for host in self._services[name].hosts:
                self._hosts.setdefault(_host_name(host), name)
        self._hosts.update({name: name for name in self._services})

    def _advance(self, offset: int) -> None:
        self.through = offset
        while self.seen:
            change_id = next(iter(self.seen))
            seen_at = self.seen[change_id]
            if seen_at > offset - SEEN_OFFSETS:
                break
            del self.seen[change_id]
            self._hash_sum -= _hash_part(f'{change_id} {seen_at}'.encode())
            self._drop_without_effect(seen_at)

    def _drop_without_effect(self, offset: int) -> None:
        # Ids of instances and requests are used only once, so keeping their
        # items would let the state grow without bound. Removing them has no
        # effect: instances are in service by default, and a suspicion
        # expires within a day.
        found = self._without_effect.pop(offset, None)
        if found is None:
            return
        kind, name = found
        item = self.items[kind].get(name)
        if item is not None and item.version == offset:
            del self.items[kind][name]
            self.lifted_suspects.pop(name, None)
            self._hash_sum -= _hash_part(item.encoded)


def _set_member(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)


def _hash_part(encoded: bytes) -> int:
    return int.from_bytes(hashlib.sha256(encoded).digest())


def _pack_seen(seen: dict[str, int], through: int) -> bytes:
    # Half the size of JSON text, which keeps a state with 580 services below
    # the 1 MiB limit of a frame sent to a peer.
    start = through - SEEN_OFFSETS
    packed = b''.join(
        _SEEN_ENTRY.pack(
            offset - start, bytes.fromhex(change_id.replace('-', ''))
        )
        for change_id, offset in seen.items()
    )
    return base64.b64encode(packed)


def _unpack_seen(text: str, through: int) -> dict[str, int]:
    start = through - SEEN_OFFSETS
    packed = base64.b64decode(text, validate=True)
    if len(packed) % _SEEN_ENTRY.size:
        raise ValueError('list of seen change ids is truncated')
    return {
        str(uuid.UUID(bytes=change_id)): start + distance
        for distance, change_id in _SEEN_ENTRY.iter_unpack(packed)
    }


def _host_name(host: str) -> str:
    host = host.strip().lower()
    if host.startswith('['):
        return host.partition(']')[0] + ']'
    return host.partition(':')[0]


def check_change(
    state: ConfigState, change: changes.ConfigChange
) -> result.Result[changes.ConfigChange, errors.RecordError]:
    """Check whether the record of ``change`` would be valid.

    The operator command calls this before it appends a change. Versions are
    not checked.

    :return: the change, or an :exc:`~errors.RecordError` with the reason.
    """
    if change.kind is changes.Kind.SERVICE:
        profile = change.body.profile
        if profile not in state.items[changes.Kind.PROFILE]:
            return changes.invalid_record(
                f'service {change.name!r} uses unknown profile {profile!r}'
            )
    return changes.parse_change(changes.encode_change(change))


def apply_record(
    state: ConfigState, offset: int, record: bytes
) -> Applied | Rejected | Ignored:
    """Apply one record of ``config`` to ``state``.

    A change that parses but refers to an unknown profile is invalid, and its
    change id is added to ``seen``: a repeated append must not be accepted
    after the author was told that the change is invalid.

    :param offset: offset of the record; offsets have no gaps.
    :param record: the bytes of the record.
    :raises errors.RecordError: if records between ``state.through`` and
        ``offset`` are missing. The state is then unchanged.
    """
    if offset <= state.through:
        return Ignored(offset, IgnoredReason.ALREADY_READ)
    if offset != state.through + 1:
        raise errors.RecordError(
            f'records {state.through + 1} to {offset - 1} are missing'
        )
    checkpoint = read_checkpoint_header(record)
    if checkpoint is not None:
        matches = checkpoint.through != state.through or (
            checkpoint.digest == state.digest()
        )
        state._advance(offset)
        if matches:
            return Ignored(offset, IgnoredReason.CHECKPOINT)
        return Ignored(offset, IgnoredReason.CHECKPOINT_MISMATCH)
    parsed = changes.parse_change(record)
    state._advance(offset)
    if isinstance(parsed, result.Failure):
        # The parser's error text is not stored in the state: it differs
        # between releases and would change the digest.
        state._add_audit_entry(AuditEntry(offset, Verdict.INVALID))
        return Ignored(
            offset,
            IgnoredReason.INVALID,
            detail=parsed.failure().message,
        )
    return _apply_change(state, offset, parsed.unwrap())


def _apply_change(
    state: ConfigState, offset: int, change: changes.ConfigChange
) -> Applied | Rejected | Ignored:
    if change.change_id in state.seen:
        return Ignored(offset, IgnoredReason.REPEATED, change.change_id)
    state._add_seen(change.change_id, offset)
    current = state.items[change.kind].get(change.name)
    if change.expected_version != state.version_of(change.kind, change.name):
        _record_audit(state, offset, Verdict.REJECTED, change, current)
        return Rejected(offset, change, current)
    checked = check_change(state, change)
    if isinstance(checked, result.Failure):
        _record_audit(state, offset, Verdict.INVALID, change, current)
        return Ignored(
            offset,
            IgnoredReason.INVALID,
            change.change_id,
            checked.failure().message,
        )
    state._put_item(Item(offset, change))
    if change.kind is changes.Kind.SERVICE:
        state._index_hosts()
    _record_audit(state, offset, Verdict.ACCEPTED, change, current)
    return Applied(offset, change, current)


def _record_audit(
    state: ConfigState,
    offset: int,
    verdict: Verdict,
    change: changes.ConfigChange,
    current: Item | None,
) -> None:
    state._add_audit_entry(
        AuditEntry(
            offset=offset,
            verdict=verdict,
            author=change.author,
            at_ms=change.at_ms,
            kind=change.kind.value,
            name=change.name,
            change_id=change.change_id,
            before=None if current is None else _audit_body(current.change),
            after=_audit_body(change),
        )
    )


def _audit_body(change: changes.ConfigChange) -> dict[str, typing.Any]:
    members = change.body_members()
    encoded = changes.canonical_json(members)
    if len(encoded) <= AUDIT_BODY_BYTES:
        return members
    digest = hashlib.sha256(encoded).hexdigest()
    return {'bytes': len(encoded), 'sha256': digest}


@dataclasses.dataclass(frozen=True)
class CheckpointHeader:
    """Offset and digest of the state in a checkpoint."""

    through: int
    digest: str


def read_checkpoint_header(record: bytes) -> CheckpointHeader | None:
    """Return the header of a checkpoint record, None for other records.

    A record of kind ``checkpoint`` without a valid header is not treated as
    a checkpoint; every entry then reports it as an invalid change.
    """
    # Avoids parsing every change twice. Checkpoints are only ever written in
    # canonical form, so they contain exactly these bytes.
    if b'"kind":"checkpoint"' not in record:
        return None
    try:
        members = json.loads(record)
        if members['kind'] != changes.Kind.CHECKPOINT:
            return None
        through = members['body']['through']
        digest = members['body']['digest']
    except (KeyError, TypeError, ValueError, RecursionError):
        return None
    if type(through) is not int or type(digest) is not str:
        return None
    return CheckpointHeader(through, digest)
