#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/review:target/deps:review
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import harness.world' || exit 2
exec python3 review/4/case.py
