"""Waits until a machine may be taken out: `moorusher outage ask --wait`.

What is asked for is withdrawn where the command ends before that, by a signal or out of time: nobody would work on the
machine that goes out. An exit code of 0 is the only permission.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import click

from ..maintenance.errors import AlreadyClearedError
from ..server.main import OK, REFUSED, UNREACHED
from .api_client import ApiError
from .output import CommandError

WITHDRAWN, OUT_OF_TIME, STOPPED = 5, 6, 130  # exit codes
MAX_POLL_S, MIN_POLL_S = 20.0, 0.1
RETRY_PAUSE_S = 0.5
SERVICE_UNAVAILABLE = 503  # HTTP: the runner, or a majority of the fleet, may be there soon
# Fallback for an answer without a `kind`. Runners name one; stand-ins that were written against the text, as in
# tests/compatibility, don't.
ALREADY_CLEARED_TEXT = "told to go already"
UNREACHABLE_WARNING = (
    "the runner is not there to hear that it is withdrawn; where nobody asks again it takes it back by itself"
)
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)  # the last: the terminal is gone

PostCallback = Callable[..., Any]  # posts keyword arguments as JSON to a path below /outage


class Outcome(Enum):
    """What became of what was asked for. Values are those of the API, but for `OUT_OF_TIME`, which is the command's."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"
    OVER = "over"
    OUT_OF_TIME = "out of time"


class WithdrawStatus(Enum):
    """What became of a withdrawal."""

    WITHDRAWN = auto()
    ALREADY_CLEARED = auto()  # the slot was granted before: it can't be revoked
    UNREACHABLE = auto()  # the runner, which withdraws it by itself where nobody waits for it
    REJECTED = auto()  # for another reason: there is no such request any more


@dataclass(frozen=True, slots=True)
class WithdrawResult:
    """The result of a withdrawal.

    status: what became of it.
    warning: what whoever stops the command should read; "" for nothing.
    """

    status: WithdrawStatus
    warning: str = ""

    def print_warning(self) -> None:
        """Print the warning, if there is one, on standard error."""
        if self.warning:
            click.echo(f"moorusher: {self.warning}", err=True)


EXIT_CODES = {
    Outcome.GRANTED.value: OK,
    Outcome.WITHDRAWN.value: WITHDRAWN,
    Outcome.OVER.value: WITHDRAWN,
    Outcome.OUT_OF_TIME.value: OUT_OF_TIME,
}  # any other: `REFUSED`
STILL_WAITING = "waits"


class Stopped(BaseException):
    """A signal came, or the terminal is gone."""


def _raise_stopped(*_: object) -> None:
    raise Stopped


@contextmanager
def stop_signals() -> Iterator[None]:
    """Raise `Stopped` for signals that end the command; afterwards they have their default action, if none came."""
    for number in STOP_SIGNALS:
        signal.signal(number, _raise_stopped)
    yield
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_DFL)


def exit_code_of(answer: dict[str, Any]) -> int:
    """Return the exit code for the answer to a wait."""
    return EXIT_CODES.get(answer["word"], REFUSED)


def _is_transient(error: CommandError) -> bool:
    """Whether the same request may succeed soon."""
    if isinstance(error, ApiError):
        return error.status == SERVICE_UNAVAILABLE
    return error.exit_code == UNREACHED


def _is_already_cleared(error: CommandError) -> bool:
    """Whether the machine was told that it may go, so that its slot can't be revoked."""
    if not isinstance(error, ApiError):
        return False
    if error.kind:
        return error.kind == AlreadyClearedError.kind
    return ALREADY_CLEARED_TEXT in error.message


@dataclass(frozen=True, slots=True)
class MaintenanceWait:
    """One machine's request for maintenance, and the wait for its slot.

    request_id: the same in each retry.
    seat: the machine's; "" for that of the runner that is asked.
    author: who asks.
    deadline_s: of the monotonic clock; then it is withdrawn.
    """

    post: PostCallback
    request_id: str
    seat: str
    author: str
    deadline_s: float

    def submit(self, request: dict[str, Any]) -> None:
        """Send the request until somebody has it: a runner that is replaced, or has no majority, may have it soon.

        :raises CommandError: it is refused, or nobody has it by the deadline.
        """
        while True:
            try:
                self.post("ask", **request)
                return
            except CommandError as exc:
                if not _is_transient(exc) or time.monotonic() >= self.deadline_s:
                    raise
                time.sleep(RETRY_PAUSE_S)

    def wait(self) -> dict[str, Any]:
        """Return the answer once the wait is over; at the deadline the request is withdrawn.

        :raises CommandError: it is refused.
        """
        while (remaining_s := self.deadline_s - time.monotonic()) > 0:
            poll_s = max(MIN_POLL_S, min(MAX_POLL_S, remaining_s))
            try:
                answer: dict[str, Any] = self.post("wait", id=self.request_id, seat=self.seat, for_s=poll_s)
            except CommandError as exc:
                if exc.exit_code != UNREACHED:
                    raise
                time.sleep(RETRY_PAUSE_S)
                continue
            if answer["word"] != STILL_WAITING:
                return answer
        return self._out_of_time()

    def _out_of_time(self) -> dict[str, Any]:
        """Withdraw the request, and return the answer to the wait: granted where it was granted before that."""
        result = self.withdraw()
        outcome = Outcome.OUT_OF_TIME
        if result.status is WithdrawStatus.ALREADY_CLEARED:
            outcome = Outcome.GRANTED
        else:
            result.print_warning()
        return {"seat": self.seat or "this machine", "word": outcome.value, "note": ""}

    def withdraw(self) -> WithdrawResult:
        """Withdraw the request."""
        try:
            self.post("cancel", id=self.request_id, seats=[], by=self.author)
        except CommandError as exc:
            if _is_already_cleared(exc):
                return WithdrawResult(WithdrawStatus.ALREADY_CLEARED, exc.message)
            if exc.exit_code == UNREACHED:
                return WithdrawResult(WithdrawStatus.UNREACHABLE, UNREACHABLE_WARNING)
            return WithdrawResult(WithdrawStatus.REJECTED)
        return WithdrawResult(WithdrawStatus.WITHDRAWN)
