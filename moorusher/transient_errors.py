"""Errors of the operating system that pass by themselves: it had no room at that moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
PASSING = NO_ROOM | {errno.EINTR, errno.EAGAIN}
AGAIN_S = 0.05


def passes(exc: Exception) -> bool:
    """Whether the same call may succeed a moment later, with nothing changed by anybody."""
    return isinstance(exc, OSError) and exc.errno in PASSING


def persist(
    action: Callable[[], T],
    within_s: float,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
    may_pass: Callable[[Exception], bool] = passes,
) -> T:
    """Do it again until it succeeds, as long as its errors may pass by themselves. Blocks: for the time before the loop
    runs. Raises the last error."""
    until = clock() + within_s
    while True:
        try:
            return action()
        except Exception as exc:
            if not may_pass(exc) or clock() >= until:
                raise
        sleep(AGAIN_S)
