"""Run ``dragonflyslip`` as ``python -m dragonflyslip_operator``."""

import sys

from dragonflyslip_operator import cli

if __name__ == '__main__':
    sys.exit(cli.main())
