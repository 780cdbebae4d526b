#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the
# build of the deploy file: the project's own store, and those in standins-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
cp -R platform/src/dragonflyslip_emulator "$out"
cp review/standins-2/*.py "$out"
python3 -m compileall -q "$out"
