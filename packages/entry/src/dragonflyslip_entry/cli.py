"""The command ``dragonflyslipd``."""

import argparse
import os
import sys

import uvloop

from dragonflyslip_entry import daemon
from dragonflyslip_entry import errors
from dragonflyslip_entry import logs
from dragonflyslip_entry import settings

_EPILOG = """\
Each flag can be given as an environment variable; a flag takes precedence.

example:
  dragonflyslipd --name entry-1 --failure-domain scot-central-a \\
      --listen 10.0.0.1:8080 --log-url http://10.0.0.5:7000 \\
      --instances-url http://10.0.0.6:7001

exit codes: 0 after a clean stop, 1 after a failure, 2 for invalid settings
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='dragonflyslipd',
        description='Entry instance of the dragonflyslip load balancer.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        '--check-settings',
        action='store_true',
        help='validate the settings and exit',
    )
    settings.add_flags(parser)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    flags = vars(build_parser().parse_args(arguments))
    check_only = flags.pop('check_settings')
    try:
        options = settings.Settings.from_sources(flags, os.environ)
    except errors.SettingsError as error:
        print(error.format_message(), file=sys.stderr)
        return error.exit_code
    if check_only:
        print('settings are valid')
        return 0
    logs.configure(options.log_level, options.name)
    try:
        uvloop.run(_run(options))
    except OSError as error:
        print(f'error: {error}', file=sys.stderr)
        return 1
    return 0


async def _run(options: settings.Settings) -> None:
    await daemon.Entry(options).run()


if __name__ == '__main__':
    sys.exit(main())
