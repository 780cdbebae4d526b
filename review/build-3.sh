#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They need no compiler and no
# library beyond what the build of the deploy file leaves in target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/dragonflyslip_emulator ]; then
    sh deploy/build.sh
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins-3 python3 -c 'import world'
