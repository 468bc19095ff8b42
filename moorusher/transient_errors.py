"""Transient errors of the operating system, such as a temporary lack of capacity, and retries after them."""

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
    """Return whether a retry of the same call may succeed without any intervention."""
    return isinstance(error, OSError) and error.errno in TRANSIENT


def retry_transient(
    action: Callable[[], Result],
    timeout_s: float,
    sleep: Callable[[float], None] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
    is_retryable: Callable[[Exception], bool] = is_transient,
) -> Result:
    """Call `action` until it succeeds or fails for good. Blocks, so use it only before the event loop runs.

    :param is_retryable: returns whether to retry after an error.
    :raises Exception: the error of the last attempt, if it is not retryable or `timeout_s` has expired.
    """
    deadline_s = clock() + timeout_s
    while True:
        try:
            return action()
        except Exception as error:
            if not is_retryable(error) or clock() >= deadline_s:
                raise
        sleep(RETRY_INTERVAL_S)
