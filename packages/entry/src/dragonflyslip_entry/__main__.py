"""Runs ``dragonflyslipd``, also as ``python -m dragonflyslip_entry``."""

import signal
import sys


def main() -> int:
    """Run the command and return its exit code."""
    # SIGHUP ends a process without a handler, and the imports that come
    # before the daemon installs one take some tenths of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dragonflyslip_entry import cli

    return cli.main()


if __name__ == '__main__':
    sys.exit(main())
