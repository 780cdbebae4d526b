#!/bin/sh
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps/dragonflyslip_emulator ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
