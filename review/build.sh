#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins are Python and need no build; this compiles them as a check.
# A case with a fleet needs the dependencies that the project declares in pyproject.toml beyond requirements.txt
# (msgspec). They are installed only if they are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/pip -q install -e .
.venv/bin/python -m compileall -q review
