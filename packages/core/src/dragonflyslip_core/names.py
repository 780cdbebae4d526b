"""Names that operators give to instances, services and profiles."""

import typing

import pydantic

NAME_PATTERN = r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
