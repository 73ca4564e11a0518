#!/usr/bin/env bash
# Exits with 1 if rule GONE was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0: no client leaves.
cd "$(dirname "$0")" || exit 2
exec timeout --preserve-status 110 python3 case.py
