"""Configuration folded from the log stream ``config``.

Every instance evaluates the same acceptance rule from log order alone, so
all instances that have read through the same offset hold the same state.
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
# The audit of 64 changes must not make a checkpoint too large to send.
AUDIT_BODY_BYTES = 2_048
# A day at 7,800 changes. An id that is forgotten cannot bring its change
# back: the version that the change expects has passed by then.
SEEN_OFFSETS = 8_192
# Distance from the oldest offset in the window, and the id's bytes.
_SEEN = struct.Struct('<H16s')


@dataclasses.dataclass(frozen=True)
class Item:
    """The change in force for one name of one kind.

    :param version: offset of the change.
    """

    version: int
    change: changes.ConfigChange

    @functools.cached_property
    def encoded(self) -> bytes:
        """The item as a JSON list, as checkpoints hold it."""
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
        """Return the item of a decoded :attr:`encoded`."""
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
    """What the acceptance rule said of a record."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True)
class AuditEntry:
    """Who changed what; kept for the last ``AUDIT_ENTRIES`` records.

    :param at_ms: Unix ms by the author's clock; 0 if the record does not
        parse, as for ``author``, ``kind`` and ``name``, which are empty.
    :param before: body members in force before the record, if any. A body
        of more than ``AUDIT_BODY_BYTES`` is replaced by its size and digest.
    :param after: body members that the record asked for, if it parses.
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
        """The entry as a JSON object, as checkpoints hold it."""
        return changes.canonical_json(dataclasses.asdict(self))


@dataclasses.dataclass(frozen=True)
class Applied:
    """The change is accepted; its offset is the item's new version."""

    offset: int
    change: changes.ConfigChange
    replaced: Item | None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change expects another version than the item has.

    :param winner: the change in force, None if the item has none.
    """

    offset: int
    change: changes.ConfigChange
    winner: Item | None


class IgnoredReason(enum.StrEnum):
    """Why a record has no effect on the configuration."""

    REPEATED = 'repeated'
    CHECKPOINT = 'checkpoint'
    CHECKPOINT_MISMATCH = 'checkpoint-mismatch'
    ALREADY_READ = 'already-read'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True)
class Ignored:
    """The record has no effect.

    :param change_id: of a repeated or invalid change, if it has one.
    :param detail: what is wrong with an invalid record.
    """

    offset: int
    reason: IgnoredReason
    change_id: str | None = None
    detail: str = ''


@dataclasses.dataclass
class ConfigState:
    """Configuration folded from all records through the offset ``through``.

    :param through: offset of the last record folded; 0 before the first.
    :param items: the change in force by kind and name. An instance that is
        back in service and a lifted suspect are dropped, and have version 0
        again, once their change id is.
    :param seen: offset by change id, accepted or rejected, for the last
        ``SEEN_OFFSETS`` offsets, in offset order.
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
        self._sum = 0
        # Items that may be dropped, by the offset of their change.
        self._spent: dict[int, tuple[changes.Kind, str]] = {}

    def version_of(self, kind: changes.Kind, name: str) -> int:
        """Return the item's version, 0 before its first change."""
        item = self.items[kind].get(name)
        return 0 if item is None else item.version

    def service(self, name: str) -> profiles.Service | None:
        """Return the service called ``name``, None if there is none."""
        return self._services.get(name)

    def services(self) -> list[profiles.Service]:
        """Return all services in name order."""
        return [self._services[name] for name in sorted(self._services)]

    def profile_of(self, service: str) -> profiles.Profile | None:
        """Return the profile of the service called ``service``.

        :return: None if there is no such service.
        """
        found = self._services.get(service)
        return None if found is None else self._profiles[found.profile]

    def service_for_host(self, host: str) -> profiles.Service | None:
        """Return the service that a Host header value selects.

        Case and a port are disregarded. A service name takes precedence
        over a host list; of two services that list one host, the first in
        name order gets it.
        """
        host = _host_name(host)
        return self._services.get(self._hosts.get(host, host))

    def is_in_service(self, target: targets.Target) -> bool:
        """Return whether operators let ``target`` receive new work."""
        return (
            target.failure_domain not in self.domains_out
            and target.instance_id not in self.instances_out
        )

    def digest(self) -> str:
        """Return the digest of the whole state in hexadecimal digits.

        It is the SHA-256 of ``through`` and of the sum of the SHA-256 of
        each part. A change adds and removes a few parts; hashing 580
        services again for each change took more than the 1.2 % of a core
        that control may use.
        """
        content = f'{self.through}:{self._sum:x}'.encode()
        return hashlib.sha256(content).hexdigest()

    def encode(self) -> bytes:
        """Return the state as JSON, equal bytes for equal states."""
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
        """Return the state of a decoded :meth:`encode`."""
        try:
            state = cls(through=int(members['through']))
            for encoded in members['items']:
                item = Item.from_members(encoded)
                if isinstance(item, result.Failure):
                    return item
                checked = check_change(state, item.unwrap().change)
                if isinstance(checked, result.Failure):
                    return checked
                state._put(item.unwrap())
            seen = _unpack_seen(members['seen'], state.through)
            for change_id, offset in seen.items():
                state._see(change_id, offset)
            for entry in members['audit']:
                verdict = Verdict(entry['verdict'])
                state._note(AuditEntry(**{**entry, 'verdict': verdict}))
        except (KeyError, TypeError, ValueError) as error:
            return changes.record_failure(f'invalid state: {error!r}')
        state._index_hosts()
        return result.Success(state)

    def _put(self, item: Item) -> None:
        change = item.change
        items = self.items[change.kind]
        if change.name in items:
            self._sum -= _part(items[change.name].encoded)
        items[change.name] = item
        self._sum += _part(item.encoded)
        body = change.body
        if change.kind is changes.Kind.PROFILE:
            profile = profiles.Profile.from_model(change.name, body)
            self._profiles[change.name] = profile
        elif change.kind is changes.Kind.SERVICE:
            service = profiles.Service.from_model(change.name, body)
            self._services[change.name] = service
        elif change.kind is changes.Kind.LIFT_SUSPECT:
            self.lifted_suspects[change.name] = item.version
            self._spent[item.version] = (change.kind, change.name)
        elif change.kind is changes.Kind.DOMAIN:
            _set_member(self.domains_out, change.name, not body.in_service)
        else:
            _set_member(self.instances_out, change.name, not body.in_service)
            if body.in_service:
                self._spent[item.version] = (change.kind, change.name)

    def _see(self, change_id: str, offset: int) -> None:
        self.seen[change_id] = offset
        self._sum += _part(f'{change_id} {offset}'.encode())

    def _note(self, entry: AuditEntry) -> None:
        self.audit.append(entry)
        self._sum += _part(entry.encoded)
        if len(self.audit) > AUDIT_ENTRIES:
            self._sum -= _part(self.audit.popleft().encoded)

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
            self._sum -= _part(f'{change_id} {seen_at}'.encode())
            self._drop_spent(seen_at)

    def _drop_spent(self, offset: int) -> None:
        # Ids of instances and requests are used once, so without this the
        # state would grow for ever. What is dropped here has no effect: the
        # default is in service, and suspicion ends within a day.
        found = self._spent.pop(offset, None)
        if found is None:
            return
        kind, name = found
        item = self.items[kind].get(name)
        if item is not None and item.version == offset:
            del self.items[kind][name]
            self.lifted_suspects.pop(name, None)
            self._sum -= _part(item.encoded)


def _set_member(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)


def _part(encoded: bytes) -> int:
    return int.from_bytes(hashlib.sha256(encoded).digest())


def _pack_seen(seen: dict[str, int], through: int) -> bytes:
    # Half the size of JSON text, so that a state of 580 services stays
    # below the peer frame's 1 MiB.
    start = through - SEEN_OFFSETS
    packed = b''.join(
        _SEEN.pack(offset - start, bytes.fromhex(change_id.replace('-', '')))
        for change_id, offset in seen.items()
    )
    return base64.b64encode(packed)


def _unpack_seen(text: str, through: int) -> dict[str, int]:
    start = through - SEEN_OFFSETS
    packed = base64.b64decode(text, validate=True)
    if len(packed) % _SEEN.size:
        raise ValueError('change ids seen are truncated')
    return {
        str(uuid.UUID(bytes=change_id)): start + distance
        for distance, change_id in _SEEN.iter_unpack(packed)
    }


def _host_name(host: str) -> str:
    host = host.strip().lower()
    if host.startswith('['):
        return host.partition(']')[0] + ']'
    return host.partition(':')[0]


def check_change(
    state: ConfigState, change: changes.ConfigChange
) -> result.Result[changes.ConfigChange, errors.RecordError]:
    """Check what the record of ``change`` would be refused for as invalid.

    The operator command calls this before it appends a change.
    """
    if change.kind is changes.Kind.SERVICE:
        profile = change.body.profile
        if profile not in state.items[changes.Kind.PROFILE]:
            return changes.record_failure(
                f'service {change.name!r} names unknown profile {profile!r}'
            )
    return changes.parse_change(changes.encode_change(change))


def apply_record(
    state: ConfigState, offset: int, record: bytes
) -> Applied | Rejected | Ignored:
    """Fold one record of ``config`` into ``state``.

    A change that parses but names an unknown profile is invalid, and its
    change id counts as seen: a repeated append must not be accepted after
    its author was told that the change is invalid.

    :param offset: of the record; offsets have no gaps.
    :param record: the bytes of the record.
    :raises errors.RecordError: if records between ``state.through`` and
        ``offset`` are missing. The state is unchanged.
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
        # The text of the parser's error stays out of the state, since it
        # differs between releases and would change the digest.
        state._note(AuditEntry(offset, Verdict.INVALID))
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
    state._see(change.change_id, offset)
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
    state._put(Item(offset, change))
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
    state._note(
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
    """Offset and digest of the state that a checkpoint holds."""

    through: int
    digest: str


def read_checkpoint_header(record: bytes) -> CheckpointHeader | None:
    """Return the header of a checkpoint record, None for another record.

    A record that names itself a checkpoint but has no valid header is not a
    checkpoint; it is then an invalid change on every instance.
    """
    # Spares the parsing of changes twice: the canonical form of checkpoints
    # is the only one that is written.
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
