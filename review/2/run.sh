#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
# Python would exit with 1 if a module is missing.
python3 -B -c 'import case' || exit 2
exec python3 -B case.py
