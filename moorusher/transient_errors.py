"""Errors of the operating system that pass by themselves: it had no capacity at that moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

NO_CAPACITY = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
TRANSIENT = NO_CAPACITY | {errno.EINTR, errno.EAGAIN}
RETRY_INTERVAL_S = 0.05


def is_transient(error: Exception) -> bool:
    """Whether the same call may succeed a moment later, with nothing changed by anybody."""
    return isinstance(error, OSError) and error.errno in TRANSIENT


def retry_transient(
    action: Callable[[], Result],
    timeout_s: float,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
    may_pass: Callable[[Exception], bool] = is_transient,
) -> Result:
    """Call `action` until it succeeds, while its errors may pass. Blocks: only for the time before the loop runs.

    :raises Exception: the error of the last attempt, once `timeout_s` is over or an error can't pass.
    """
    deadline_s = clock() + timeout_s
    while True:
        try:
            return action()
        except Exception as error:
            if not may_pass(error) or clock() >= deadline_s:
                raise
        sleep(RETRY_INTERVAL_S)
