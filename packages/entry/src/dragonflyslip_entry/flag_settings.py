"""Settings from flags and environment variables."""

import argparse
import collections.abc
import ipaddress
import typing
import urllib.parse

import pydantic

from dragonflyslip_entry import errors

VARIABLE_PREFIX = 'DRAGONFLYSLIP_'


def _check_endpoint(text: str) -> str:
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError('expected IP:PORT')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError('expected an IP number before the port') from None
    if not port.isascii() or not port.isdigit():
        raise ValueError('expected a port from 0 to 65535')
    if int(port) > 65_535:
        raise ValueError('expected a port from 0 to 65535')
    return text


def _check_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError('expected http://HOST:PORT or https://HOST:PORT')
    return text


Endpoint = typing.Annotated[str, pydantic.AfterValidator(_check_endpoint)]
Url = typing.Annotated[str, pydantic.AfterValidator(_check_url)]


class FlagSettings(pydantic.BaseModel):
    """Settings of which each is a flag and a variable.

    The flag of ``listen`` is ``--listen``, its variable
    ``DRAGONFLYSLIP_LISTEN``; a flag takes precedence.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    @classmethod
    def from_sources(
        cls,
        flags: collections.abc.Mapping[str, str | None],
        environment: collections.abc.Mapping[str, str],
    ) -> typing.Self:
        """Return validated settings.

        :param flags: value by field name; None if the flag was not given.
        :param environment: the process environment.
        :raises SettingsError: with every fault that was found.
        """
        values = {}
        for field in cls.model_fields:
            value = flags.get(field)
            if value is None:
                value = environment.get(variable_name(field))
            if value is not None:
                values[field] = value
        try:
            return cls.model_validate(values)
        except pydantic.ValidationError as error:
            raise errors.SettingsError(
                [cls._describe(fault) for fault in error.errors()]
            ) from None

    @classmethod
    def add_flags(cls, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting to ``parser``."""
        for field, info in cls.model_fields.items():
            default = (
                '' if info.is_required() else f' (default {info.default})'
            )
            parser.add_argument(
                flag_name(field),
                dest=field,
                metavar='VALUE',
                help=f'{info.description}{default}; or {variable_name(field)}',
            )

    @classmethod
    def _describe(cls, fault: typing.Any) -> str:
        field = str(fault['loc'][0])
        labels = f'{flag_name(field)} ({variable_name(field)})'
        if fault['type'] == 'missing':
            description = cls.model_fields[field].description
            return f'{labels}: is required: {description}'
        message = fault['msg'].removeprefix('Value error, ')
        return f'{labels}: {fault["input"]!r} is not allowed: {message}'


def flag_name(field: str) -> str:
    """Return the flag of a field.

    >>> flag_name('log_url')
    '--log-url'
    """
    return '--' + field.replace('_', '-')


def variable_name(field: str) -> str:
    """Return the environment variable of a field.

    >>> variable_name('log_url')
    'DRAGONFLYSLIP_LOG_URL'
    """
    return VARIABLE_PREFIX + field.upper()


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return address and port.

    >>> split_endpoint('[::1]:80')
    ('::1', 80)
    """
    host, _, port = endpoint.rpartition(':')
    return host.strip('[]'), int(port)
