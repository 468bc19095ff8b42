#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins are Python and need no build; this compiles them as a check.
# A case with a fleet needs what pyproject.toml declares as the project's dependencies and requirements.txt does not have
# (msgspec). It is installed only if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c 'import msgspec' 2>/dev/null; then
    .venv/bin/python -c 'import tomllib
for line in tomllib.load(open("pyproject.toml", "rb"))["project"]["dependencies"]: print(line)' |
        xargs .venv/bin/pip -q install
fi
.venv/bin/python -m compileall -q review
