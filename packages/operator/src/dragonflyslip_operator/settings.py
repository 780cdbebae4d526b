"""Settings of the operator command: flags and environment variables."""

import collections.abc
import dataclasses
import math
import typing
import urllib.parse

from returns import result

from dragonflyslip_operator import errors

_MAX_AUTHOR_LENGTH = 200


@dataclasses.dataclass(frozen=True)
class Settings:
    """Validated settings; an empty string means that none was given.

    :param log_url: base address of the log service.
    :param instances_url: base address of the instance list.
    :param adapter: Python module that connects to the platform.
    :param store_url: address of the platform's store.
    :param author: who publishes, as recorded with each change.
    :param admin_port_offset: added to an entry's listed port to get its
        admin port.
    :param timeout_s: seconds to read the log, and to find out whether a
        change was accepted.
    :param wait_timeout_s: seconds to wait for the entries.
    """

    log_url: str = ''
    instances_url: str = ''
    adapter: str = ''
    store_url: str = ''
    author: str = ''
    admin_port_offset: int = 1000
    timeout_s: float = 10.0
    wait_timeout_s: float = 30.0


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    # Reading the port raises ValueError if it is out of range.
    if parts.scheme not in ('http', 'https') or parts.port == 0:
        raise ValueError(text)
    if not parts.hostname or parts.query or parts.fragment:
        raise ValueError(text)
    return text


def _parse_module(text: str) -> str:
    if not all(part.isidentifier() for part in text.split('.')):
        raise ValueError(text)
    return text


def _parse_author(text: str) -> str:
    if not text.strip() or not text.isprintable():
        raise ValueError(text)
    if len(text) > _MAX_AUTHOR_LENGTH:
        raise ValueError(text)
    return text


def _parse_integer(minimum: int, maximum: int) -> typing.Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


def _parse_seconds(
    minimum: float, maximum: float
) -> typing.Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not math.isfinite(value) or not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return parse


@dataclasses.dataclass(frozen=True)
class Setting:
    """How one setting is given, described and parsed.

    :param name: field of :class:`Settings`.
    :param meaning: help text.
    :param allowed: description of the allowed values.
    :param parse: converts a string, or raises :exc:`ValueError`.
    """

    name: str
    meaning: str
    allowed: str
    parse: typing.Callable[[str], typing.Any]

    @property
    def flag(self) -> str:
        """Return the command-line flag, such as ``--log-url``."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return the variable, for example ``DRAGONFLYSLIP_LOG_URL``."""
        return 'DRAGONFLYSLIP_' + self.name.upper()

    @property
    def default(self) -> str:
        """Return the default value as a string; empty if there is none."""
        value = getattr(Settings(), self.name)
        return value if isinstance(value, str) else f'{value:g}'


_URL = 'an http or https address such as http://10.0.0.5:7000'

SETTINGS = (
    Setting('log_url', 'address of the log service', _URL, _parse_url),
    Setting('instances_url', 'address of the instance list', _URL, _parse_url),
    Setting(
        'adapter',
        'Python module that connects to the platform',
        'the name of a module such as dragonflyslip_adapter',
        _parse_module,
    ),
    Setting(
        'store_url',
        "address of the platform's store",
        _URL,
        _parse_url,
    ),
    Setting(
        'author',
        'who publishes; recorded with each change',
        f'1 to {_MAX_AUTHOR_LENGTH} printable characters',
        _parse_author,
    ),
    Setting(
        'admin_port_offset',
        "added to an entry's listed port to reach its admin port",
        'a whole number from 1 to 65534',
        _parse_integer(1, 65_534),
    ),
    Setting(
        'timeout_s',
        'seconds to read the log, and to resolve a change',
        'a number from 0.1 to 600',
        _parse_seconds(0.1, 600.0),
    ),
    Setting(
        'wait_timeout_s',
        'seconds until a wait for the entries gives up',
        'a number from 0.1 to 3600',
        _parse_seconds(0.1, 3_600.0),
    ),
)


def read_settings(
    flags: collections.abc.Mapping[str, str],
    environ: collections.abc.Mapping[str, str],
    required: collections.abc.Set[str] = frozenset(),
) -> result.Result[Settings, errors.SettingsError]:
    """Return the settings, or an error that lists all invalid ones.

    A flag takes precedence over its variable. A variable that is set to the
    empty string counts as not set.

    :param flags: values given as flags, by setting name.
    :param environ: environment variables.
    :param required: names of the settings that the command needs.

    >>> environ = {
    ...     'DRAGONFLYSLIP_AUTHOR': 'moira',
    ...     'DRAGONFLYSLIP_ADMIN_PORT_OFFSET': '7',
    ...     'DRAGONFLYSLIP_TIMEOUT_S': '',
    ... }
    >>> settings = read_settings({'author': 'aroha'}, environ).unwrap()
    >>> settings.author, settings.admin_port_offset, settings.timeout_s
    ('aroha', 7, 10.0)
    """
    values = {}
    problems = []
    for setting in SETTINGS:
        if setting.name in flags:
            text, source = flags[setting.name], setting.flag
        else:
            text, source = environ.get(setting.variable, ''), setting.variable
            if not text:
                if setting.name in required:
                    problems.append(_format_problem(setting, 'is not set'))
                continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError:
            problems.append(
                _format_problem(setting, f'is {text!r} (from {source})')
            )
    if problems:
        return result.Failure(errors.SettingsError(problems))
    return result.Success(Settings(**values))


def _format_problem(setting: Setting, problem: str) -> str:
    return (
        f'{setting.flag} or {setting.variable} {problem}; '
        f'allowed: {setting.allowed}'
    )
