"""Errors that pass by themselves are waited out, for a bounded time; others are not."""

from __future__ import annotations

import errno
import os

import pytest

from moorusher.transient_errors import NO_CAPACITY, RETRY_INTERVAL_S, is_transient, retry_transient


class Machine:
    """Fails with these errors in turn, then succeeds; time goes by as it is slept."""

    def __init__(self, *errors: int) -> None:
        self.errors, self.now = list(errors), 0.0

    def act(self) -> str:
        if self.errors:
            code = self.errors.pop(0)
            raise OSError(code, os.strerror(code))
        return "done"

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def persist(self, within_s: float) -> str:
        return retry_transient(self.act, within_s, self.sleep, lambda: self.now)


def test_it_is_done_again_until_it_succeeds() -> None:
    machine = Machine(*NO_CAPACITY, errno.EINTR)
    assert machine.persist(1.0) == "done" and machine.now == pytest.approx(
        (len(NO_CAPACITY) + 1) * RETRY_INTERVAL_S
    )


def test_it_is_given_up_in_the_end() -> None:
    machine = Machine(*[errno.ENFILE] * 1_000)
    with pytest.raises(OSError, match="Too many open files in system"):
        machine.persist(1.0)
    assert machine.now == pytest.approx(1.0, abs=RETRY_INTERVAL_S)


@pytest.mark.parametrize("code", [errno.EADDRINUSE, errno.EACCES, errno.EADDRNOTAVAIL, errno.ENOSPC])
def test_what_somebody_has_to_change_is_told_at_once(code: int) -> None:
    machine = Machine(code)
    with pytest.raises(OSError):
        machine.persist(1.0)
    assert machine.now == 0 and not is_transient(OSError(code, ""))
