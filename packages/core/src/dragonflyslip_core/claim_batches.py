"""Records of the log stream ``claims`` and their binary encoding."""

import dataclasses
import struct

from returns import result

from dragonflyslip_core import errors

KEY_HASH_BYTES = 16
FINGERPRINT_BYTES = 8
# About 1,000 claims. With larger batches, a burst of calls at one entry would
# delay every reader of the log.
MAX_BATCH_BYTES = 32_768
# The number of services minus one and the index of a service take one byte
# each.
MAX_BATCH_SERVICES = 256

_FORMAT = 1
_KIND_CLAIM = 0
_KIND_RELEASE = 1
_HEADER = struct.Struct('<BBBH')
_CLAIM = struct.Struct('<BBQ16s8s')
_RELEASE = struct.Struct('<BBQ16s')


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim of the right to run one keyed call.

    :param service: name of the service.
    :param key_hash: 16 bytes, from :func:`claims.parse_key`.
    :param fingerprint: 8 bytes of the request's fingerprint.
    :param entry_id: ``name/incarnation`` of the claiming entry.
    :param claim_id: number of the claim, unique for ``entry_id``.
    """

    service: str
    key_hash: bytes
    fingerprint: bytes
    entry_id: str
    claim_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRecord:
    """Releases a claim: its request was not run and will not be sent.

    :param claim_id: number of the claim that is released.
    """

    service: str
    key_hash: bytes
    entry_id: str
    claim_id: int


def encoded_size(record: ClaimRecord | ReleaseRecord) -> int:
    """Return the encoded bytes of ``record``, without the batch header."""
    layout = _CLAIM if isinstance(record, ClaimRecord) else _RELEASE
    return layout.size


def header_size(entry_id: str, services: list[str]) -> int:
    """Return the bytes of a batch that precede its records."""
    names = sum(1 + len(name.encode()) for name in services)
    return _HEADER.size + len(entry_id.encode()) + names


def encode_batch(
    entry_id: str, records: list[ClaimRecord | ReleaseRecord]
) -> bytes:
    """Encode ``records`` in order as one log record.

    The entry id and each service name are written only once.

    :raises errors.RecordError: if the batch is larger than
        ``MAX_BATCH_BYTES`` or names more than ``MAX_BATCH_SERVICES`` services.
    """
    services = sorted({record.service for record in records})
    if len(services) > MAX_BATCH_SERVICES:
        raise errors.RecordError(
            f'batch names too many services: {len(services)}'
        )
    index = {name: position for position, name in enumerate(services)}
    entry = entry_id.encode()
    parts = [
        _HEADER.pack(
            _FORMAT, len(entry), max(len(services) - 1, 0), len(records)
        ),
        entry,
    ]
    for name in services:
        encoded = name.encode()
        parts.append(bytes([len(encoded)]) + encoded)
    for record in records:
        if isinstance(record, ClaimRecord):
            parts.append(
                _CLAIM.pack(
                    _KIND_CLAIM,
                    index[record.service],
                    record.claim_id,
                    record.key_hash,
                    record.fingerprint,
                )
            )
        else:
            parts.append(
                _RELEASE.pack(
                    _KIND_RELEASE,
                    index[record.service],
                    record.claim_id,
                    record.key_hash,
                )
            )
    data = b''.join(parts)
    if len(data) > MAX_BATCH_BYTES:
        raise errors.RecordError(f'batch is too large: {len(data)} bytes')
    return data


def decode_batch(
    data: bytes,
) -> result.Result[list[ClaimRecord | ReleaseRecord], errors.RecordError]:
    """Decode a batch from :func:`encode_batch`.

    :return: the records, or :exc:`~errors.RecordError` if any part of the
        batch is malformed. Every entry then skips the whole batch.
    """
    try:
        return result.Success(_decode(data))
    except (struct.error, IndexError, ValueError) as error:
        return result.Failure(errors.RecordError(f'invalid batch: {error}'))


def _decode(data: bytes) -> list[ClaimRecord | ReleaseRecord]:
    if len(data) > MAX_BATCH_BYTES:
        raise ValueError(f'too large: {len(data)} bytes')
    version, entry_length, last_service, count = _HEADER.unpack_from(data)
    if version != _FORMAT:
        raise ValueError(f'unknown format {version}')
    position = _HEADER.size
    entry_id = data[position : position + entry_length].decode()
    position += entry_length
    services = []
    for _ in range(last_service + 1 if count else 0):
        end = position + 1 + data[position]
        services.append(data[position + 1 : end].decode())
        position = end
    records: list[ClaimRecord | ReleaseRecord] = []
    for _ in range(count):
        kind = data[position]
        if kind == _KIND_CLAIM:
            _, service, claim_id, key_hash, fingerprint = _CLAIM.unpack_from(
                data, position
            )
            position += _CLAIM.size
            record = ClaimRecord(
                services[service], key_hash, fingerprint, entry_id, claim_id
            )
        elif kind == _KIND_RELEASE:
            _, service, claim_id, key_hash = _RELEASE.unpack_from(
                data, position
            )
            position += _RELEASE.size
            record = ReleaseRecord(
                services[service], key_hash, entry_id, claim_id
            )
        else:
            raise ValueError(f'unknown record kind {kind}')
        records.append(record)
    if position != len(data):
        raise ValueError(f'{len(data) - position} bytes after the records')
    return records
