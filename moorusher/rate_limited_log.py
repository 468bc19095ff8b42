"""Log lines about faults that may occur thousands of times: at most one a second of each kind."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

INTERVAL_S = 1.0


class RateLimitedLog:
    """Writes to a logger. Kinds are few and constant: each is remembered."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float] = time.monotonic) -> None:
        self._log = log
        self._clock = clock
        self._written_at_s: dict[str, float] = {}  # when the last line of a kind was written
        self._suppressed: dict[str, int] = {}  # lines of a kind left out since then

    def write(self, level: int, kind: str, text: str, *args: object) -> None:
        """Write one line of this kind, or none where the last is younger than `INTERVAL_S`."""
        now = self._clock()
        if now - self._written_at_s.get(kind, -INTERVAL_S) < INTERVAL_S:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        self._written_at_s[kind] = now
        suppressed = self._suppressed.pop(kind, 0)
        suffix = f"; {suppressed} like it since the last line" if suppressed else ""
        self._log.log(level, text + suffix, *args)
