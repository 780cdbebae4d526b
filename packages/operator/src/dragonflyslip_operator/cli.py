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

# 128 plus the signal number, as shells report a process that SIGINT or
# SIGPIPE terminated.
_EXIT_INTERRUPTED = 130
_EXIT_BROKEN_PIPE = 141
# One request to the log service or the instance list may take this fraction
# of the whole timeout, so that there is time to retry a lost request.
_REQUEST_TIMEOUT_FRACTION = 0.25


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
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
                parsing.format_exit_codes(),
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
    """Return the settings from the command line and the environment.

    :raises dragonflyslip_operator.errors.SettingsError: lists all invalid
        or missing settings.
    """
    required = arguments.required
    if getattr(arguments, 'wait', False):
        required = required | parsing.REQUIRES_INSTANCES
    return contexts.unwrap_or_raise(
        settings_module.read_settings(vars(arguments), environ, required)
    )


@contextlib.asynccontextmanager
async def connect(
    arguments: argparse.Namespace,
    settings: settings_module.Settings,
    out: output.Output,
) -> collections.abc.AsyncIterator[contexts.Context]:
    """Provide a context with HTTP clients for the configured services."""
    timeout_s = settings.timeout_s * _REQUEST_TIMEOUT_FRACTION
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
    :param connector: creates the context, with its clients, that the
        command runs in.
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
        return _EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the pipe, such as head, has closed it. Redirect stdout
        # so that the interpreter's flush at exit does not fail a second time.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _EXIT_BROKEN_PIPE
    return 0


if __name__ == '__main__':
    sys.exit(main())
