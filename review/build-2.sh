#!/bin/sh
# Prepares the cases of REPORT-2.md, after the build of deploy/balancer.toml. The stand-ins are written in Python's standard
# library, and are compiled here. The cases 6 and 10 have a fleet, which imports msgspec: pyproject.toml declares it,
# requirements.txt lacks it. It is installed at its pin if it is missing. Where that can't be done (no package index), the
# cases 7, 8 and 9 run all the same, and 6 and 10 exit with 2.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stand_ins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
if ! .venv/bin/python -c 'import msgspec' 2>/dev/null; then
    pinned=$(.venv/bin/python -c 'import tomllib; print(next(d for d in tomllib.load(open("pyproject.toml", "rb"))["project"]["dependencies"] if d.startswith("msgspec")))')
    .venv/bin/pip -q install --retries 1 "$pinned" || echo "build-2: no msgspec: the cases 6 and 10 can't run here" >&2
fi
