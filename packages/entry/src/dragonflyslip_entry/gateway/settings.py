"""Settings of the gateway, from flags and environment variables."""

import re
import typing

import msgspec

from dragonflyslip_entry import flag_settings

_DURATION_PATTERN = re.compile(r'^(\d+(?:\.\d+)?)(ms|s)?$')
_MAX_DURATION_S = 3_600.0


def parse_duration(text: str) -> float:
    """Return the seconds of a number with the unit ``ms`` or ``s``.

    Without a unit, the number is in seconds.

    :raises ValueError: if it is malformed.

    >>> parse_duration('1500ms'), parse_duration('2.5s'), parse_duration('3')
    (1.5, 2.5, 3.0)
    """
    match = _DURATION_PATTERN.match(text)
    if match is None:
        raise ValueError('expected a number with the unit ms or s')
    value = float(match[1])
    return value / 1000 if match[2] == 'ms' else value


class Duration(float):
    """Seconds, written with the unit ``ms`` or ``s`` or without a unit."""

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Return the seconds, more than 0 and at most an hour.

        :raises ValueError: if the text is malformed or out of bounds.
        """
        seconds = parse_duration(text)
        if not 0.0 < seconds <= _MAX_DURATION_S:
            raise ValueError('expected more than 0s and at most 3600s')
        return cls(seconds)


class GatewaySettings(flag_settings.FlagSettings, frozen=True, kw_only=True):
    """All settings of one gateway; durations are written as 1500ms or 2s."""

    name: typing.Annotated[
        flag_settings.Name, msgspec.Meta(description='name of this instance')
    ]
    failure_domain: typing.Annotated[
        flag_settings.Name,
        msgspec.Meta(description='failure domain of this instance'),
    ]
    adapter: typing.Annotated[
        str,
        msgspec.Meta(
            description='Python module that connects to the platform'
        ),
    ]
    listen: typing.Annotated[
        flag_settings.Endpoint, msgspec.Meta(description='IP:PORT for callers')
    ] = '127.0.0.1:8080'
    ready_listen: typing.Annotated[
        flag_settings.Endpoint,
        msgspec.Meta(description='IP:PORT for readiness'),
    ] = '127.0.0.1:8081'
    peer_listen: typing.Annotated[
        flag_settings.Endpoint,
        msgspec.Meta(description='IP:PORT for other gateways'),
    ] = '127.0.0.1:9080'
    metrics_listen: typing.Annotated[
        flag_settings.Endpoint, msgspec.Meta(description='IP:PORT for metrics')
    ] = '127.0.0.1:10080'
    store_url: typing.Annotated[
        flag_settings.Url,
        msgspec.Meta(
            description='URL of the store that holds manifests and targets'
        ),
    ]
    stop_timeout: typing.Annotated[
        Duration,
        msgspec.Meta(
            description='time from SIGTERM until the process is killed'
        ),
    ] = 6.0
    repeat_ratio: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            le=1.0,
            description=(
                'retries and hedges allowed per request to a service, '
                'all gateways together'
            ),
        ),
    ] = 0.2
    repeat_slack: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            description=(
                'retries and hedges allowed in addition, per budget window, '
                'all gateways together'
            ),
        ),
    ] = 60.0
    ask_rate: typing.Annotated[
        float,
        msgspec.Meta(
            gt=0.0,
            description=(
                'health requests per second to one target, '
                'all gateways together'
            ),
        ),
    ] = 60.0
    planned_entries: typing.Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=100000,
            description=(
                'lowest number of gateways among which limits are divided'
            ),
        ),
    ] = 20
    exposure_share: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            le=1.0,
            description=(
                'share of the requests of a service that a bad version '
                'may get during a rollout, all gateways together'
            ),
        ),
    ] = 0.1
    exposure_slack: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            description=(
                'requests that a bad version may get in addition, all '
                'gateways together'
            ),
        ),
    ] = 50.0
    rollback_timeout: typing.Annotated[
        Duration,
        msgspec.Meta(
            description=(
                'time from the 50th bad response of a version until it '
                'gets no more requests'
            ),
        ),
    ] = 5.0
    quota_overage: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            description=(
                'share by which the requests of a client account may '
                'exceed its quota in any window'
            ),
        ),
    ] = 0.1
    quota_slack: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            description=(
                'requests of a client account that may run in addition '
                'in any window, all gateways together'
            ),
        ),
    ] = 20.0
    quota_window: typing.Annotated[
        Duration,
        msgspec.Meta(
            description='length of the windows in which quotas are counted',
        ),
    ] = 5.0
    revoke_timeout: typing.Annotated[
        Duration,
        msgspec.Meta(
            description=(
                'age of the copy of the manifest from which on keys are '
                'not confirmed'
            ),
        ),
    ] = 5.0
    strict_revoke: typing.Annotated[
        bool,
        msgspec.Meta(
            description=(
                'whether keys of client accounts are refused while this '
                'gateway cannot confirm them'
            ),
        ),
    ] = False
    memory_mb: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            description=(
                'memory that the process may use, in MB; 0 if this '
                'setting does not limit it'
            ),
        ),
    ] = 0.0
    max_descriptors: typing.Annotated[
        int,
        msgspec.Meta(
            ge=0,
            description=(
                'descriptors that the process may open; 0 if this '
                'setting does not limit them'
            ),
        ),
    ] = 0
    log_level: typing.Annotated[
        typing.Literal['debug', 'info', 'warning', 'error'],
        msgspec.Meta(description='lowest level logged'),
    ] = 'info'
