"""The command ``dragonflyslipd``."""

import argparse
import asyncio
import collections.abc
import contextlib
import faulthandler
import gc
import os
import sys
import time
import traceback
import typing

import uvloop

from dragonflyslip_entry import errors
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import settings as gateway_settings
from dragonflyslip_entry import logs

if typing.TYPE_CHECKING:
    from dragonflyslip_entry.gateway import daemon as gateway_daemon
    from dragonflyslip_entry import settings

# A gateway that has not ended this long before it is killed writes its stack.
TRACE_BEFORE_KILL_S = 0.05

_EPILOG = """\
Each flag can be given as an environment variable; a flag takes precedence.

example:
  dragonflyslipd --name entry-1 --failure-domain scot-central-a \\
      --listen 10.0.0.1:8080 --log-url http://10.0.0.5:7000 \\
      --instances-url http://10.0.0.6:7001

To follow the manifest of a platform: dragonflyslipd gateway --help

exit codes: 0 after a clean stop, 1 after a failure, 2 for invalid settings
"""

_GATEWAY_EPILOG = """\
Each flag can be given as an environment variable; a flag takes precedence.

exit codes: 0 after a clean stop, 1 after a failure, 2 for invalid settings
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    from dragonflyslip_entry import settings

    return _parser(
        'dragonflyslipd',
        'Entry instance of the dragonflyslip load balancer.',
        _EPILOG,
        settings.Settings,
    )


def build_gateway_parser() -> argparse.ArgumentParser:
    """Return the parser of ``dragonflyslipd gateway``."""
    return _parser(
        'dragonflyslipd gateway',
        'Entry instance that follows the manifest of a platform.',
        _GATEWAY_EPILOG,
        gateway_settings.GatewaySettings,
    )


def _parser(
    prog: str,
    description: str,
    epilog: str,
    model: type[flag_settings.FlagSettings],
) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='validate the settings and exit',
    )
    model.add_flags(parser)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon, which ends the process.

    Return an exit code if the daemon is not to run.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    if argv[:1] == ['gateway']:
        parser = build_gateway_parser()
        model, run = gateway_settings.GatewaySettings, _run_gateway
        flags = vars(parser.parse_args(argv[1:]))
    else:
        from dragonflyslip_entry import settings

        model, run = settings.Settings, _run_entry
        flags = vars(build_parser().parse_args(argv))
    check_only = flags.pop('check_settings')
    try:
        options = model.from_sources(flags, os.environ)
    except errors.SettingsError as error:
        print(error.format_message(), file=sys.stderr)
        return error.exit_code
    if check_only:
        print('settings are valid')
        return 0
    logs.configure(options.log_level, options.name)
    _run_to_end(run(options))


def _run_to_end(
    daemon: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> typing.NoReturn:
    """Run a daemon and end the process."""
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    code = _run(runner, daemon)
    # The event loop stays open and the interpreter is not finalized. Both
    # would wait for DNS lookups without a limit, and signals that arrive
    # meanwhile would end the process with a failure.
    sys.stderr.flush()
    os._exit(code)


def _run(
    runner: asyncio.Runner,
    daemon: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> int:
    """Run a daemon and return the exit code."""
    try:
        runner.run(_run_and_write(daemon))
    except errors.EntryError as error:
        print(error.format_message(), file=sys.stderr)
        return error.exit_code
    except OSError as error:
        print(f'error: {error}', file=sys.stderr)
        return 1
    except Exception:
        traceback.print_exc()
        return 1
    return 0


async def _run_and_write(
    daemon: collections.abc.Coroutine[typing.Any, typing.Any, None],
) -> None:
    """Run a daemon, and write what it leaves queued.

    The tasks that it leaves end with the process.
    """
    try:
        await daemon
    finally:
        # The event loop writes at the end of a turn.
        await asyncio.sleep(0)


# Each process imports only the kind of entry that it runs: the modules of the
# other kind would cost start-up time and memory.
async def _run_entry(options: "settings.Settings") -> None:
    from dragonflyslip_entry import daemon

    await daemon.Entry(options).run()


async def _run_gateway(options: gateway_settings.GatewaySettings) -> None:
    _skip_ca_certificates(options.store_url)
    with _gc_paused():
        from dragonflyslip_entry.gateway import adapters
        from dragonflyslip_entry.gateway import daemon

        adapter = adapters.load_adapter(options.adapter)
    gateway = daemon.Gateway(options, adapter)
    tracing = asyncio.create_task(_trace_late_end(gateway))
    await gateway.run()
    tracing.cancel()


async def _trace_late_end(gateway: "gateway_daemon.Gateway") -> None:
    """Write the stacks to standard error if the process ends late.

    A thread does it, as the event loop may be blocked then.
    """
    await gateway.stopping.wait()
    now = time.monotonic()
    killed_at = gateway.signals.since(now) + gateway.options.stop_timeout
    faulthandler.dump_traceback_later(
        max(TRACE_BEFORE_KILL_S, killed_at - TRACE_BEFORE_KILL_S - now)
    )


def _skip_ca_certificates(store_url: str) -> None:
    """Prevent the loading of CA certificates if TLS is not used.

    The HTTP library parses all of them on import, which slows the start of a
    gateway.
    """
    if store_url.startswith('http:'):
        os.environ.setdefault('SSL_CERT_FILE', os.devnull)
        os.environ.setdefault('SSL_CERT_DIR', os.devnull)


@contextlib.contextmanager
def _gc_paused() -> collections.abc.Iterator[None]:
    """Pause garbage collection, for imports.

    The imported modules stay for the life of the process, so their objects
    are excluded from later collections too.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


if __name__ == '__main__':
    sys.exit(main())
