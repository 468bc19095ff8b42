"""The clock of the laboratory."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the time of the monotonic clock, in us."""
    return time.monotonic_ns() // 1000
