"""Settings of an entry that reads published profiles."""

import typing

import pydantic

from dragonflyslip_core import names
from dragonflyslip_entry import flag_settings


class Settings(flag_settings.FlagSettings):
    """All settings of an entry that reads published profiles."""

    name: names.Name = pydantic.Field(
        description='name of this entry in the instance list'
    )
    failure_domain: names.Name = pydantic.Field(
        description='failure domain of this entry'
    )
    listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for callers', default='127.0.0.1:8080'
    )
    peer_listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for other entries', default='127.0.0.1:9080'
    )
    admin_listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for health, metrics and state',
        default='127.0.0.1:10080',
    )
    log_url: flag_settings.Url = pydantic.Field(
        description='URL of the log service'
    )
    instances_url: flag_settings.Url = pydantic.Field(
        description='URL of the instance list'
    )
    log_retention_s: int = pydantic.Field(
        default=86_400,
        ge=600,
        le=31_536_000,
        description='seconds that the log keeps records',
    )
    append_rate: float = pydantic.Field(
        default=300.0,
        gt=0.0,
        le=100_000.0,
        description='claim appends a second, all entries together',
    )
    drain_delay_s: float = pydantic.Field(
        default=5.0,
        ge=0.0,
        le=600.0,
        description='seconds that callers are accepted after SIGTERM',
    )
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = (
        pydantic.Field(default='info', description='lowest level logged')
    )
