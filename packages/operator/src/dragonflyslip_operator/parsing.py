"""Builds the argument parsers of commands with their common options."""

import argparse
import collections.abc
import typing

from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import settings

CommandHandler = collections.abc.Callable[
    [contexts.Context], collections.abc.Awaitable[None]
]

REQUIRES_LOG = frozenset({'log_url'})
REQUIRES_INSTANCES = frozenset({'instances_url'})
REQUIRES_STORE = frozenset({'adapter', 'store_url'})
_REQUIRES_AUTHOR = frozenset({'author'})


# Keeps the line breaks in the lists of examples and exit codes.
HELP_FORMATTER = argparse.RawDescriptionHelpFormatter


def format_exit_codes() -> str:
    """Return the list of exit codes for ``--help``."""
    lines = [f'  {code:<4}{text}' for code, text in errors.EXIT_CODES.items()]
    return '\n'.join(['exit codes:', *lines])


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Add the flags of all settings to a parser.

    The flags are accepted before and after the command's name. A flag that
    is not given sets no attribute, so that the parser of the command does
    not overwrite a value given before its name with a default.
    """
    group = parser.add_argument_group('settings')
    for setting in settings.SETTINGS:
        default = f', default {setting.default}' if setting.default else ''
        group.add_argument(
            setting.flag,
            dest=setting.name,
            metavar='VALUE',
            default=argparse.SUPPRESS,
            help=f'{setting.meaning} [{setting.variable}{default}]',
        )


class CommandGroup:
    """Adds the commands of one group, such as ``profile``.

    :param subparsers: the return value of ``add_subparsers``.
    :param path: names of the enclosing groups, outermost first.
    """

    def __init__(
        self,
        subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
        path: tuple[str, ...] = (),
    ):
        self.subparsers = subparsers
        self.path = path

    def add_group(self, name: str, summary: str) -> 'CommandGroup':
        """Add a command that has subcommands."""
        parser = self.subparsers.add_parser(
            name,
            help=summary,
            description=summary,
            allow_abbrev=False,
            epilog=format_exit_codes(),
            formatter_class=HELP_FORMATTER,
        )
        add_settings(parser)
        return CommandGroup(
            parser.add_subparsers(
                metavar='COMMAND', required=True, title='commands'
            ),
            (*self.path, name),
        )

    def _add(
        self,
        name: str,
        handler: CommandHandler,
        summary: str,
        columns: str,
        examples: collections.abc.Sequence[str],
        **defaults: typing.Any,
    ) -> argparse.ArgumentParser:
        command = ' '.join(('dragonflyslip', *self.path, name))
        example_lines = [
            f'  {command} {example}'.rstrip() for example in examples
        ]
        parser = self.subparsers.add_parser(
            name,
            help=summary,
            description=f'{summary[0].upper()}{summary[1:]}.\n\n'
            f'prints, separated by tabs: {columns}',
            allow_abbrev=False,
            epilog='\n'.join(
                ['examples:', *example_lines, '', format_exit_codes()]
            ),
            formatter_class=HELP_FORMATTER,
        )
        add_settings(parser)
        parser.set_defaults(run=handler, **defaults)
        return parser

    def add_read_command(
        self,
        name: str,
        handler: CommandHandler,
        summary: str,
        columns: str,
        examples: collections.abc.Sequence[str],
        required: frozenset[str] = REQUIRES_LOG,
    ) -> argparse.ArgumentParser:
        """Add a command that only reads, with the option ``--json``.

        :param handler: coroutine function that runs the command.
        :param summary: one line for ``--help``.
        :param columns: description of the columns printed.
        :param examples: arguments of the examples in ``--help``.
        :param required: names of the settings that the command needs.
        """
        parser = self._add(
            name, handler, summary, columns, examples, required=required
        )
        parser.add_argument(
            '--json', action='store_true', help='print one JSON document'
        )
        return parser

    def add_change_command(
        self,
        name: str,
        handler: CommandHandler,
        summary: str,
        examples: collections.abc.Sequence[str],
    ) -> argparse.ArgumentParser:
        """Add a command that publishes a change.

        It has the options ``--wait`` and ``--expected-version``.
        """
        parser = self._add(
            name,
            handler,
            summary,
            '"accepted", offset, kind, name; with --wait also "in-force", '
            'offset, number of entries',
            examples,
            required=REQUIRES_LOG | _REQUIRES_AUTHOR,
            json=False,
        )
        parser.add_argument(
            '--wait',
            action='store_true',
            help='wait until the change is in force on every listed entry',
        )
        parser.add_argument(
            '--expected-version',
            type=parse_offset,
            metavar='OFFSET',
            help='publish only if this is the version in force; 0 for an '
            'item without a version',
        )
        return parser


def parse_offset(text: str) -> int:
    """Return the offset that a command-line argument gives.

    >>> parse_offset('12')
    12
    """
    if not text.isascii() or not text.isdigit():
        raise argparse.ArgumentTypeError(
            f'invalid offset {text!r}: a whole number from 0 is required'
        )
    return int(text)


def add_reason(parser: argparse.ArgumentParser) -> None:
    """Add ``--reason``, which is recorded with the change."""
    parser.add_argument(
        '--reason', default='', help='recorded with the change'
    )
