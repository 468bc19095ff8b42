"""Log lines about faults that may come by thousands: at most one a second of each kind."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

EVERY_S = 1.0


class LimitedLog:
    """Writes to a logger. Kinds are few and constant: each is remembered."""

    def __init__(self, log: logging.Logger, clock: Callable[[], float] = time.monotonic) -> None:
        self._log, self._clock = log, clock
        self._last: dict[str, float] = {}
        self._left_out: dict[str, int] = {}

    def write(self, level: int, kind: str, text: str, *args: object) -> None:
        """One line of this kind, or none where the last is younger than a second."""
        now = self._clock()
        if now - self._last.get(kind, -EVERY_S) < EVERY_S:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            return
        self._last[kind] = now
        left_out = self._left_out.pop(kind, 0)
        self._log.log(level, text + (f"; {left_out} like it since the last line" if left_out else ""), *args)
