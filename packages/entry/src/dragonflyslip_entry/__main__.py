"""Run ``dragonflyslipd`` as ``python -m dragonflyslip_entry``."""

import sys

from dragonflyslip_entry import cli

if __name__ == '__main__':
    sys.exit(cli.main())
