"""Waits until a machine may be taken out of service: `moorusher outage ask --wait`.

If a signal or the timeout ends the command before that, it withdraws the request: otherwise a slot might be granted
although nobody works on the machine. Only exit code 0 permits work on the machine.
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
RETRY_DELAY_S = 0.5
SERVICE_UNAVAILABLE = 503  # HTTP status: the runner or a majority of the fleet is temporarily unavailable.
# Identifies the error in a response without a `kind`. Runners send a `kind`; test doubles, as in tests/compatibility,
# may send only the text.
ALREADY_CLEARED_TEXT = "told to go already"
UNREACHABLE_WARNING = (
    "the runner is not there to hear that it is withdrawn; where nobody asks again it takes it back by itself"
)
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)  # SIGHUP: the terminal has been closed.

PostFunction = Callable[..., Any]  # Posts its keyword arguments as JSON to a path below /outage.


class Outcome(Enum):
    """The outcome of a request. The values are those of the API, except for `OUT_OF_TIME`, which the command adds."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"
    OVER = "over"
    OUT_OF_TIME = "out of time"


class WithdrawStatus(Enum):
    """The outcome of a withdrawal."""

    WITHDRAWN = auto()
    ALREADY_CLEARED = auto()  # The machine may already be worked on, so its slot can't be revoked.
    # The runner can't be reached. It withdraws the request by itself if nobody waits for it.
    UNREACHABLE = auto()
    REJECTED = auto()  # The runner refused, because the request no longer exists.


@dataclass(frozen=True, slots=True)
class WithdrawResult:
    """The result of a withdrawal.

    Attributes:
        status: Outcome of the withdrawal.
        warning: Message for the user who stops the command; "" for none.
    """

    status: WithdrawStatus
    warning: str = ""

    def print_warning(self) -> None:
        """Print the warning on standard error, if there is one."""
        if self.warning:
            click.echo(f"moorusher: {self.warning}", err=True)


# Outcomes that are not listed exit with `REFUSED`.
EXIT_CODES = {
    Outcome.GRANTED.value: OK,
    Outcome.WITHDRAWN.value: WITHDRAWN,
    Outcome.OVER.value: WITHDRAWN,
    Outcome.OUT_OF_TIME.value: OUT_OF_TIME,
}
STILL_WAITING = "waits"


class Stopped(BaseException):
    """Raised when a stop signal arrives, which includes SIGHUP from a closed terminal."""


def _raise_stopped(*_: object) -> None:
    raise Stopped


@contextmanager
def stop_signals() -> Iterator[None]:
    """Raise `Stopped` on stop signals within the block; if none arrived, restore their default actions afterwards."""
    for number in STOP_SIGNALS:
        signal.signal(number, _raise_stopped)
    yield
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_DFL)


def exit_code_of(answer: dict[str, Any]) -> int:
    """Return the exit code for the answer to a wait."""
    return EXIT_CODES.get(answer["word"], REFUSED)


def _is_transient(error: CommandError) -> bool:
    """Return whether the same request may succeed soon."""
    if isinstance(error, ApiError):
        return error.status == SERVICE_UNAVAILABLE
    return error.exit_code == UNREACHED


def _is_already_cleared(error: CommandError) -> bool:
    """Return whether the error says that the machine may already be worked on, so its slot can't be revoked."""
    if not isinstance(error, ApiError):
        return False
    if error.kind:
        return error.kind == AlreadyClearedError.kind
    return ALREADY_CLEARED_TEXT in error.message


@dataclass(frozen=True, slots=True)
class MaintenanceWait:
    """One machine's maintenance request, and the wait for its slot.

    Attributes:
        post: Sends a request to the runner.
        request_id: ID of the maintenance request, the same in each retry.
        seat: Seat of the machine; "" for that of the runner to which requests are sent.
        author: User who submits the maintenance request.
        deadline_s: Time on the monotonic clock at which the request is withdrawn.
    """

    post: PostFunction
    request_id: str
    seat: str
    author: str
    deadline_s: float

    def submit(self, request: dict[str, Any]) -> None:
        """Send the request, and retry it while the runner is being replaced or has no majority.

        :raises CommandError: The request is refused, or is not accepted by the deadline.
        """
        while True:
            try:
                self.post("ask", **request)
                return
            except CommandError as exc:
                if not _is_transient(exc) or time.monotonic() >= self.deadline_s:
                    raise
                time.sleep(RETRY_DELAY_S)

    def wait(self) -> dict[str, Any]:
        """Return the answer once the wait is over; at the deadline, withdraw the request.

        :raises CommandError: The runner refuses to wait.
        """
        while (remaining_s := self.deadline_s - time.monotonic()) > 0:
            poll_s = max(MIN_POLL_S, min(MAX_POLL_S, remaining_s))
            try:
                answer: dict[str, Any] = self.post("wait", id=self.request_id, seat=self.seat, for_s=poll_s)
            except CommandError as exc:
                if exc.exit_code != UNREACHED:
                    raise
                time.sleep(RETRY_DELAY_S)
                continue
            if answer["word"] != STILL_WAITING:
                return answer
        return self._withdraw_at_deadline()

    def _withdraw_at_deadline(self) -> dict[str, Any]:
        """Withdraw the request, and return the answer to the wait: granted if the machine may already be worked on."""
        result = self.withdraw()
        outcome = Outcome.OUT_OF_TIME
        if result.status is WithdrawStatus.ALREADY_CLEARED:
            outcome = Outcome.GRANTED
        else:
            result.print_warning()
        return {"seat": self.seat or "this machine", "word": outcome.value, "note": ""}

    def withdraw(self) -> WithdrawResult:
        """Withdraw the request, and return the outcome."""
        try:
            self.post("cancel", id=self.request_id, seats=[], by=self.author)
        except CommandError as exc:
            if _is_already_cleared(exc):
                return WithdrawResult(WithdrawStatus.ALREADY_CLEARED, exc.message)
            if exc.exit_code == UNREACHED:
                return WithdrawResult(WithdrawStatus.UNREACHABLE, UNREACHABLE_WARNING)
            return WithdrawResult(WithdrawStatus.REJECTED)
        return WithdrawResult(WithdrawStatus.WITHDRAWN)
