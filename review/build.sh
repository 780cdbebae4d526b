#!/bin/sh
# Builds the stand-ins that the scripts start: the project's emulator of the
# platform. Run after the build of the deploy file, at the repository's root.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -R platform/src/dragonflyslip_emulator "$out"
python3 -m compileall -q "$out"
