"""Units of time in microseconds, in which the program reckons."""

from __future__ import annotations

MS = 1_000  # us in a millisecond
SECOND = 1_000_000  # us in a second
