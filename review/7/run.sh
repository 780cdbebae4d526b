#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=../../target/review-2:../../target/deps
# The stand-ins and the libraries are built.
python3 -c 'import aiohttp, world' || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 python3 case.py record.txt "$folder"
code=$?
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
