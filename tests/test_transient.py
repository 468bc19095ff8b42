"""Transient errors are retried until a timeout; other errors are raised at once."""

from __future__ import annotations

import errno
import os

import pytest

from moorusher.transient_errors import NO_CAPACITY, RETRY_INTERVAL_S, is_transient, retry_transient


class FailingSystem:
    """A system call that fails with these errors in turn, then succeeds; its clock advances only by sleeping."""

    def __init__(self, *errors: int) -> None:
        self.errors, self.now_s = list(errors), 0.0

    def call(self) -> str:
        if self.errors:
            code = self.errors.pop(0)
            raise OSError(code, os.strerror(code))
        return "done"

    def sleep(self, seconds: float) -> None:
        self.now_s += seconds

    def call_with_retries(self, timeout_s: float) -> str:
        return retry_transient(self.call, timeout_s, self.sleep, lambda: self.now_s)


def test_transient_errors_are_retried_until_the_call_succeeds() -> None:
    system = FailingSystem(*NO_CAPACITY, errno.EINTR)
    assert system.call_with_retries(1.0) == "done" and system.now_s == pytest.approx(
        (len(NO_CAPACITY) + 1) * RETRY_INTERVAL_S
    )


def test_the_error_is_raised_after_the_timeout() -> None:
    system = FailingSystem(*[errno.ENFILE] * 1_000)
    with pytest.raises(OSError, match="Too many open files in system"):
        system.call_with_retries(1.0)
    assert system.now_s == pytest.approx(1.0, abs=RETRY_INTERVAL_S)


@pytest.mark.parametrize("code", [errno.EADDRINUSE, errno.EACCES, errno.EADDRNOTAVAIL, errno.ENOSPC])
def test_an_error_that_needs_an_intervention_is_raised_at_once(code: int) -> None:
    system = FailingSystem(code)
    with pytest.raises(OSError):
        system.call_with_retries(1.0)
    assert system.now_s == 0 and not is_transient(OSError(code, ""))
