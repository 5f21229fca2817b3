#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 the case runs without its disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
