"""Settings of the gateway, from flags and environment variables."""

import re
import typing

import pydantic

from dragonflyslip_core import names
from dragonflyslip_entry import flag_settings

_DURATION = re.compile(r'^(\d+(?:\.\d+)?)(ms|s)?$')


def parse_duration(text: str) -> float:
    """Return the seconds of a number with the unit ``ms`` or ``s``.

    :raises ValueError: if it is malformed.

    >>> parse_duration('1500ms'), parse_duration('2.5s'), parse_duration('3')
    (1.5, 2.5, 3.0)
    """
    match = _DURATION.match(text)
    if match is None:
        raise ValueError('expected a number with the unit ms or s')
    value = float(match[1])
    return value / 1000 if match[2] == 'ms' else value


def _duration(value: object) -> object:
    return parse_duration(value) if isinstance(value, str) else value


Duration = typing.Annotated[float, pydantic.BeforeValidator(_duration)]


class GatewaySettings(flag_settings.FlagSettings):
    """All settings of one gateway; durations are such as 1500ms or 2s."""

    name: names.Name = pydantic.Field(description='name of this instance')
    failure_domain: names.Name = pydantic.Field(
        description='failure domain of this instance'
    )
    adapter: str = pydantic.Field(
        description='Python module that connects to the platform'
    )
    listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for callers', default='127.0.0.1:8080'
    )
    ready_listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for readiness', default='127.0.0.1:8081'
    )
    peer_listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for other gateways', default='127.0.0.1:9080'
    )
    metrics_listen: flag_settings.Endpoint = pydantic.Field(
        description='IP:PORT for metrics', default='127.0.0.1:10080'
    )
    store_url: flag_settings.Url = pydantic.Field(
        description='URL of the store that holds manifests and targets'
    )
    stop_timeout: Duration = pydantic.Field(
        default=6.0,
        gt=0.0,
        le=3600.0,
        description='time from SIGTERM until the process is killed',
    )
    repeat_ratio: float = pydantic.Field(
        default=0.2,
        ge=0.0,
        le=1.0,
        description='repeats for each request to a service, fleet',
    )
    repeat_slack: float = pydantic.Field(
        default=60.0,
        ge=0.0,
        description='repeats besides in one budget window, fleet',
    )
    ask_rate: float = pydantic.Field(
        default=60.0,
        gt=0.0,
        description='health requests a second to one target, fleet',
    )
    planned_entries: int = pydantic.Field(
        default=20,
        ge=1,
        le=100_000,
        description='gateways among which limits are divided, at least',
    )
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = (
        pydantic.Field(default='info', description='lowest level logged')
    )
