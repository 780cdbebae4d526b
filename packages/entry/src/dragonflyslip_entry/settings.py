"""Settings of an entry that reads published profiles.

A profile holds the settings of a service and comes from the configuration log.
An entry in gateway mode has settings of its own instead.
"""

import typing

import msgspec

from dragonflyslip_entry import flag_settings


class Settings(flag_settings.FlagSettings, frozen=True, kw_only=True):
    """All settings of an entry that reads published profiles."""

    name: typing.Annotated[
        flag_settings.Name,
        msgspec.Meta(description='name of this entry in the instance list'),
    ]
    failure_domain: typing.Annotated[
        flag_settings.Name,
        msgspec.Meta(description='failure domain of this entry'),
    ]
    listen: typing.Annotated[
        flag_settings.Endpoint, msgspec.Meta(description='IP:PORT for callers')
    ] = '127.0.0.1:8080'
    peer_listen: typing.Annotated[
        flag_settings.Endpoint,
        msgspec.Meta(description='IP:PORT for other entries'),
    ] = '127.0.0.1:9080'
    admin_listen: typing.Annotated[
        flag_settings.Endpoint,
        msgspec.Meta(description='IP:PORT for health, metrics and state'),
    ] = '127.0.0.1:10080'
    log_url: typing.Annotated[
        flag_settings.Url, msgspec.Meta(description='URL of the log service')
    ]
    instances_url: typing.Annotated[
        flag_settings.Url, msgspec.Meta(description='URL of the instance list')
    ]
    log_retention_s: typing.Annotated[
        int,
        msgspec.Meta(
            ge=600,
            le=31536000,
            description='seconds that the log keeps records',
        ),
    ] = 86400
    append_rate: typing.Annotated[
        float,
        msgspec.Meta(
            gt=0.0,
            le=100000.0,
            description='claim appends a second, all entries together',
        ),
    ] = 300.0
    drain_delay_s: typing.Annotated[
        float,
        msgspec.Meta(
            ge=0.0,
            le=600.0,
            description='seconds that callers are accepted after SIGTERM',
        ),
    ] = 5.0
    stop_timeout_s: typing.Annotated[
        float,
        msgspec.Meta(
            ge=5.0,
            le=3600.0,
            description='seconds from SIGTERM until the process is killed',
        ),
    ] = 90.0
    log_level: typing.Annotated[
        typing.Literal['debug', 'info', 'warning', 'error'],
        msgspec.Meta(description='lowest level logged'),
    ] = 'info'
