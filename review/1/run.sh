#!/usr/bin/env bash
# Writes what was sent, answered and run to review/1/record.txt.
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/1/case.py
