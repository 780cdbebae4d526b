"""Configuration changes that operators publish, and their encoding."""

import dataclasses
import enum
import json
import re
import typing
import uuid

import pydantic
from returns import result

from dragonflyslip_core import errors
from dragonflyslip_core import models
from dragonflyslip_core import names

MAX_CHANGE_BYTES = 16_384
_NAME = re.compile(names.NAME_PATTERN)
# Operators do not choose instance ids and request fingerprints, so these need
# not follow the pattern for names that operators choose.
_EXTERNAL_NAME = re.compile(r'^[\x21-\x7e]{1,200}$')
_MAX_JSON_INTEGER = 2**53 - 1

Body: typing.TypeAlias = (
    models.ProfileModel
    | models.ServiceModel
    | models.InServiceModel
    | models.LiftSuspectModel
)


class Kind(enum.StrEnum):
    """Kind of a configuration record."""

    PROFILE = 'profile'
    SERVICE = 'service'
    DOMAIN = 'domain'
    INSTANCE = 'instance'
    LIFT_SUSPECT = 'lift_suspect'
    CHECKPOINT = 'checkpoint'


BODY_MODELS: dict[Kind, type[Body]] = {
    Kind.PROFILE: models.ProfileModel,
    Kind.SERVICE: models.ServiceModel,
    Kind.DOMAIN: models.InServiceModel,
    Kind.INSTANCE: models.InServiceModel,
    Kind.LIFT_SUSPECT: models.LiftSuspectModel,
}


class ChangeModel(pydantic.BaseModel):
    """A configuration record as stored in the log."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    change_id: uuid.UUID
    author: str = pydantic.Field(min_length=1, max_length=200)
    at: int = pydantic.Field(ge=0, le=_MAX_JSON_INTEGER)
    kind: Kind
    name: str = pydantic.Field(max_length=200)
    expected_version: int = pydantic.Field(ge=0, le=_MAX_JSON_INTEGER)
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """One change that an operator publishes.

    :param change_id: UUID text; two records with the same id are the same
        change, appended twice.
    :param author: who publishes the change.
    :param at_ms: Unix ms by the author's clock, used only for the audit.
    :param name: of the profile, service, domain, instance or fingerprint.
    :param expected_version: offset of the change that this one replaces; 0
        if the item has no change yet.
    :param body: the validated body for ``kind``.
    """

    change_id: str
    author: str
    at_ms: int
    kind: Kind
    name: str
    expected_version: int
    body: Body

    def body_members(self) -> dict[str, typing.Any]:
        """Return the body members that the author set, as JSON values."""
        return self.body.model_dump(mode='json', exclude_unset=True)


def canonical_json(value: typing.Any) -> bytes:
    """Encode ``value`` as JSON such that equal values give equal bytes.

    :raises ValueError: for NaN and infinities.
    """
    return json.dumps(
        value, sort_keys=True, separators=(',', ':'), allow_nan=False
    ).encode()


def encode_change(change: ConfigChange) -> bytes:
    """Encode a change as a record to append to the stream ``config``."""
    return canonical_json(
        {
            'change_id': change.change_id,
            'author': change.author,
            'at': change.at_ms,
            'kind': change.kind.value,
            'name': change.name,
            'expected_version': change.expected_version,
            'body': change.body_members(),
        }
    )


def parse_change(
    data: bytes,
) -> result.Result[ConfigChange, errors.RecordError]:
    """Parse a record of any kind except ``checkpoint``.

    :param data: the bytes of one log record.
    :return: the change, or an :exc:`~errors.RecordError` that describes
        why the record is invalid.
    """
    if len(data) > MAX_CHANGE_BYTES:
        return invalid_record(
            f'change has {len(data)} bytes; the maximum is {MAX_CHANGE_BYTES}'
        )
    try:
        model = ChangeModel.model_validate_json(data)
        if model.kind not in BODY_MODELS:
            return invalid_record(
                f'operators cannot publish {model.kind} records'
            )
        body = BODY_MODELS[model.kind].model_validate(model.body)
        change = ConfigChange(
            change_id=str(model.change_id),
            author=model.author,
            at_ms=model.at,
            kind=model.kind,
            name=model.name,
            expected_version=model.expected_version,
            body=body,
        )
        # Raises ValueError for NaN, which checkpoints cannot encode.
        encode_change(change)
    except ValueError as error:
        return invalid_record(f'invalid change: {error}')
    is_external = change.kind in (Kind.INSTANCE, Kind.LIFT_SUSPECT)
    pattern = _EXTERNAL_NAME if is_external else _NAME
    if pattern.fullmatch(change.name) is None:
        return invalid_record(f'invalid {change.kind} name {change.name!r}')
    return result.Success(change)


def invalid_record(message: str) -> result.Failure[errors.RecordError]:
    """Return the failed result for an invalid record."""
    return result.Failure(errors.RecordError(message))
