"""Entry point of the command ``dragonflyslip``."""

import argparse
import asyncio
import collections.abc
import contextlib
import os
import sys
import typing

import aiohttp

from dragonflyslip_core import errors as core_errors
from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import commands
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import entries
from dragonflyslip_operator import output
from dragonflyslip_operator import parsing
from dragonflyslip_operator import settings as settings_module
import dragonflyslip_platform as platform

Connector = collections.abc.Callable[
    [argparse.Namespace, settings_module.Settings, output.Output],
    contextlib.AbstractAsyncContextManager[contexts.Context],
]

# As shells report a process that SIGINT or SIGPIPE ended.
_INTERRUPTED = 130
_PIPE_CLOSED = 141
# Part of the timeout that one request to the log or the list may take. A
# lost request leaves time for some more.
_REQUEST_PART = 0.25


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='dragonflyslip',
        description='Publish and inspect the configuration of dragonflyslip.',
        allow_abbrev=False,
        epilog='\n'.join(
            [
                'examples:',
                '  dragonflyslip profile publish status-calls '
                '--preset stairlift',
                '  dragonflyslip service publish casebook '
                '--profile status-calls --wait',
                '  dragonflyslip domain out scot-central-b --wait',
                '  dragonflyslip status',
                '',
                parsing.exit_codes_text(),
            ]
        ),
        formatter_class=parsing.HELP_FORMATTER,
    )
    parsing.add_settings(parser)
    group = parsing.CommandGroup(
        parser.add_subparsers(
            metavar='COMMAND', required=True, title='commands'
        )
    )
    for module in commands.GROUPS:
        module.add_parsers(group)
    return parser


def read_settings(
    arguments: argparse.Namespace,
    environ: collections.abc.Mapping[str, str],
) -> settings_module.Settings:
    """Return the settings that a command line and environment give.

    :raises settings_module.errors.SettingsError: names all faults.
    """
    required = arguments.required
    if getattr(arguments, 'wait', False):
        required = required | parsing.INSTANCES
    return contexts.value_of(
        settings_module.read_settings(vars(arguments), environ, required)
    )


@contextlib.asynccontextmanager
async def connect(
    arguments: argparse.Namespace,
    settings: settings_module.Settings,
    out: output.Output,
) -> collections.abc.AsyncIterator[contexts.Context]:
    """Provide a context for the services that the settings name."""
    timeout_s = settings.timeout_s * _REQUEST_PART
    async with aiohttp.ClientSession() as session:
        yield contexts.Context(
            arguments,
            settings,
            platform.HttpLogService(session, settings.log_url, timeout_s),
            platform.HttpInstanceList(
                session, settings.instances_url, timeout_s
            ),
            entries.HttpEntryAdmin(session, settings.admin_port_offset),
            out,
            clocks.SystemClock(),
        )


async def _run(
    arguments: argparse.Namespace,
    settings: settings_module.Settings,
    out: output.Output,
    connector: Connector,
) -> None:
    async with connector(arguments, settings, out) as context:
        await arguments.run(context)


def main(
    argv: collections.abc.Sequence[str] | None = None,
    environ: collections.abc.Mapping[str, str] | None = None,
    stdout: typing.TextIO | None = None,
    stderr: typing.TextIO | None = None,
    connector: Connector = connect,
) -> int:
    """Run the command line and return its exit code.

    :param argv: arguments without the program's name.
    :param environ: environment variables; those of the process if None.
    :param connector: provides the clients that the command works with.
    """
    arguments = build_parser().parse_args(argv)
    out = output.Output(
        stdout or sys.stdout, stderr or sys.stderr, arguments.json
    )
    try:
        settings = read_settings(
            arguments, os.environ if environ is None else environ
        )
        asyncio.run(_run(arguments, settings, out, connector))
        out.stdout.flush()
    except core_errors.CoreError as error:
        for line in error.format_message().splitlines():
            out.print_message(line)
        return error.exit_code
    except KeyboardInterrupt:
        out.print_message('interrupted')
        return _INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe, such as head, needs no more; a second error
        # when the interpreter flushes stdout would only confuse.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _PIPE_CLOSED
    return 0


if __name__ == '__main__':
    sys.exit(main())
