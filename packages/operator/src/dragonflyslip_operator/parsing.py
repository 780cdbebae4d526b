"""Builds the parsers of commands with their common options."""

import argparse
import collections.abc
import typing

from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import errors
from dragonflyslip_operator import settings

Run = collections.abc.Callable[
    [contexts.Context], collections.abc.Awaitable[None]
]

LOG = frozenset({'log_url'})
INSTANCES = frozenset({'instances_url'})
_AUTHOR = frozenset({'author'})


# Keeps the line breaks of examples and of the exit codes.
HELP_FORMATTER = argparse.RawDescriptionHelpFormatter


def exit_codes_text() -> str:
    """Return the exit codes as shown by ``--help``."""
    lines = [f'  {code:<4}{text}' for code, text in errors.EXIT_CODES.items()]
    return '\n'.join(['exit codes:', *lines])


def add_settings(parser: argparse.ArgumentParser) -> None:
    """Add the flags of all settings to a parser.

    They are accepted before and after the command. A flag that is not
    given leaves no attribute, so that neither place hides the other.
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

    :param actions: what ``add_subparsers`` returned.
    :param path: the words before the command's own name.
    """

    def __init__(
        self,
        actions: 'argparse._SubParsersAction[argparse.ArgumentParser]',
        path: tuple[str, ...] = (),
    ):
        self.actions = actions
        self.path = path

    def add_group(self, name: str, summary: str) -> 'CommandGroup':
        """Add a command that consists of further commands."""
        parser = self.actions.add_parser(
            name,
            help=summary,
            description=summary,
            allow_abbrev=False,
            epilog=exit_codes_text(),
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
        run: Run,
        summary: str,
        columns: str,
        examples: collections.abc.Sequence[str],
        **defaults: typing.Any,
    ) -> argparse.ArgumentParser:
        command = ' '.join(('dragonflyslip', *self.path, name))
        shown = [f'  {command} {example}'.rstrip() for example in examples]
        parser = self.actions.add_parser(
            name,
            help=summary,
            description=f'{summary[0].upper()}{summary[1:]}.\n\n'
            f'prints, separated by tabs: {columns}',
            allow_abbrev=False,
            epilog='\n'.join(['examples:', *shown, '', exit_codes_text()]),
            formatter_class=HELP_FORMATTER,
        )
        add_settings(parser)
        parser.set_defaults(run=run, **defaults)
        return parser

    def add_reading(
        self,
        name: str,
        run: Run,
        summary: str,
        columns: str,
        examples: collections.abc.Sequence[str],
        required: frozenset[str] = LOG,
    ) -> argparse.ArgumentParser:
        """Add a command that reads; it gets ``--json``.

        :param columns: names of the columns printed.
        :param examples: arguments that make sense.
        :param required: settings that the command needs.
        """
        parser = self._add(
            name, run, summary, columns, examples, required=required
        )
        parser.add_argument(
            '--json', action='store_true', help='print one JSON document'
        )
        return parser

    def add_changing(
        self,
        name: str,
        run: Run,
        summary: str,
        examples: collections.abc.Sequence[str],
    ) -> argparse.ArgumentParser:
        """Add a command that publishes a change; it gets ``--wait``."""
        parser = self._add(
            name,
            run,
            summary,
            '"accepted", offset, kind, name; with --wait also "in-force", '
            'offset, number of entries',
            examples,
            required=LOG | _AUTHOR,
            json=False,
        )
        parser.add_argument(
            '--wait',
            action='store_true',
            help='wait until the change is in force on every listed entry',
        )
        parser.add_argument(
            '--expected-version',
            type=offset_type,
            metavar='OFFSET',
            help='publish only if this is the version in force; 0 for an '
            'item without a version',
        )
        return parser


def offset_type(text: str) -> int:
    """Convert an offset argument.

    >>> offset_type('12')
    12
    """
    if not text.isascii() or not text.isdigit():
        raise argparse.ArgumentTypeError(
            f'invalid offset {text!r}: allowed are whole numbers from 0'
        )
    return int(text)


def add_reason(parser: argparse.ArgumentParser) -> None:
    """Add the option that records why a change is made."""
    parser.add_argument(
        '--reason', default='', help='recorded with the change'
    )
