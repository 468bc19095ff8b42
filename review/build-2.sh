#!/bin/sh
# Completes the environment that the build of deploy/balancer.toml has made, for the cases of REPORT-2.md.
# It adds what pyproject.toml names and the fleet imports (msgspec), and compiles the stand-ins of these cases.
# The stand-ins are written in Python's standard library and need no other build.
set -eu
cd "$(dirname "$0")/.."
pinned=$(.venv/bin/python -c 'import tomllib; print(next(d for d in tomllib.load(open("pyproject.toml", "rb"))["project"]["dependencies"] if d.startswith("msgspec")))')
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/pip -q install "$pinned"
.venv/bin/python -m py_compile review/stand_ins_2.py
