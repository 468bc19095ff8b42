"""Units of time in microseconds, the program's internal unit."""

from __future__ import annotations

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
