#!/bin/sh
# Installs the pinned libraries and the workspace's packages into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.sum
sum=$(cksum requirements.lock)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$sum" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --require-hashes \
        --target "$deps" -r requirements.lock
    printf '%s' "$sum" >"$stamp"
fi
rm -rf "$deps"/dragonflyslip_*
cp -R packages/*/src/dragonflyslip_* platform/src/dragonflyslip_* "$deps"
# The processes cannot write to target/, so without compiled files each start
# would compile the modules again.
python3 -m compileall -q "$deps"/dragonflyslip_*
