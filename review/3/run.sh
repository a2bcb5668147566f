#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 110 python3 run.py
