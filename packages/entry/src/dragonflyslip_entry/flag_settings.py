"""Settings given as command-line flags or environment variables."""

import argparse
import collections.abc
import ipaddress
import re
import typing
import urllib.parse

import msgspec

from dragonflyslip_core import names
from dragonflyslip_entry import errors

VARIABLE_PREFIX = 'DRAGONFLYSLIP_'


class Name(str):
    """Name of an instance or of a failure domain."""

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Return the name.

        :raises ValueError: if it is malformed.
        """
        if re.fullmatch(names.NAME_PATTERN, text) is None:
            raise ValueError(f'expected {names.NAME_PATTERN}')
        return cls(text)


class Endpoint(str):
    """Address and port, written as ``IP:PORT``."""

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Return the endpoint.

        :raises ValueError: if it is malformed.
        """
        host, separator, port = text.rpartition(':')
        if not separator:
            raise ValueError('expected IP:PORT')
        try:
            ipaddress.ip_address(host.strip('[]'))
        except ValueError:
            raise ValueError(
                'expected an IP address before the port'
            ) from None
        if not port.isascii() or not port.isdigit() or len(port) > 5:
            raise ValueError('expected a port from 0 to 65535')
        if int(port) > 65_535:
            raise ValueError('expected a port from 0 to 65535')
        return cls(text)


class Url(str):
    """URL of a service."""

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Return the URL.

        :raises ValueError: if it is malformed.
        """
        parts = urllib.parse.urlsplit(text)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise ValueError('expected http://HOST:PORT or https://HOST:PORT')
        return cls(text)


def decode_hook(kind: type, value: object) -> object:
    """Convert a string to ``kind``; a decode hook for msgspec.

    :param kind: type with a class method ``parse``, such as those of this
        module.
    :raises ValueError: if the value is malformed.
    """
    if not isinstance(value, str):
        raise ValueError(f'expected a string, got {type(value).__name__}')
    return kind.parse(value)


class FlagSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that are each a flag and an environment variable.

    The flag of ``listen`` is ``--listen``, its variable
    ``DRAGONFLYSLIP_LISTEN``; a flag takes precedence. A variable that is set
    to the empty text counts as not set.
    """

    @classmethod
    def from_sources(
        cls,
        flags: collections.abc.Mapping[str, str | None],
        environment: collections.abc.Mapping[str, str],
    ) -> typing.Self:
        """Return validated settings.

        :param flags: value by field name; None if the flag was not given.
        :param environment: the process environment.
        :raises SettingsError: if any are invalid; it lists all faults.
        """
        values, faults = {}, []
        for setting in cls.settings():
            text = flags.get(setting.field)
            if text is None:
                # A platform sets the variable to the empty text if it lacks
                # the value with which it would fill it.
                text = environment.get(variable_name(setting.field)) or None
            if text is None:
                if setting.required:
                    faults.append(
                        f'{setting.label}: is required: {setting.description}'
                    )
                continue
            try:
                values[setting.field] = msgspec.convert(
                    text, setting.type, strict=False, dec_hook=decode_hook
                )
            except msgspec.ValidationError as error:
                faults.append(
                    f'{setting.label}: {text!r} is not allowed: '
                    f'{setting.choices or error}'
                )
        if faults:
            raise errors.SettingsError(faults)
        return cls(**values)

    @classmethod
    def settings(cls) -> list['Setting']:
        """Return all settings, in the order of the fields."""
        hints = typing.get_type_hints(cls, include_extras=True)
        return [
            Setting(
                field.name, hints[field.name], field.required, field.default
            )
            for field in msgspec.structs.fields(cls)
        ]

    @classmethod
    def add_flags(cls, parser: argparse.ArgumentParser) -> None:
        """Add a flag for each setting to ``parser``."""
        for setting in cls.settings():
            default = (
                ''
                if setting.required
                else f' (default {setting.default_text})'
            )
            variable = variable_name(setting.field)
            parser.add_argument(
                flag_name(setting.field),
                dest=setting.field,
                metavar='VALUE',
                help=f'{setting.description}{default}; or {variable}',
            )


class Setting(typing.NamedTuple):
    """One setting of a daemon.

    :param type: annotated type with bounds and description.
    :param default: meaningless if the setting is required.
    """

    field: str
    type: typing.Any
    required: bool
    default: typing.Any

    @property
    def description(self) -> str:
        """What the setting does, with its unit."""
        return ' '.join(
            meta.description
            for meta in self.type.__metadata__
            if isinstance(meta, msgspec.Meta) and meta.description
        )

    @property
    def choices(self) -> str:
        """The values of a literal or a bool, as a message; else empty."""
        base = self.type.__origin__
        if base is bool:
            return 'expected true or false'
        if typing.get_origin(base) is not typing.Literal:
            return ''
        return f'expected one of {", ".join(typing.get_args(base))}'

    @property
    def default_text(self) -> str:
        """The default as it is written in a flag."""
        is_bool = isinstance(self.default, bool)
        return str(self.default).lower() if is_bool else str(self.default)

    @property
    def label(self) -> str:
        """The flag and the environment variable, for messages."""
        return f'{flag_name(self.field)} ({variable_name(self.field)})'


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
