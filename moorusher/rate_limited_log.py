"""Rate-limited logging of frequent faults: at most one line per second of each kind."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

INTERVAL_S = 1.0


class RateLimitedLog:
    """Writes rate-limited lines to a logger. Kinds must be few and constant, since each is retained."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._clock = clock
        self._written_at_s: dict[str, float] = {}  # Time of the last line by kind.
        self._suppressed: dict[str, int] = {}  # Number of lines suppressed since then, by kind.

    def write(self, level: int, kind: str, text: str, *args: object) -> None:
        """Write a line, or suppress it if the last line of this kind is younger than `INTERVAL_S`."""
        now = self._clock()
        if now - self._written_at_s.get(kind, -INTERVAL_S) < INTERVAL_S:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._written_at_s[kind] = now
        suppressed = self._suppressed.pop(kind, 0)
        suffix = f"; {suppressed} similar lines suppressed" if suppressed else ""
        self._log.log(level, text + suffix, *args)
