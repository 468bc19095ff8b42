"""The messages of the kernel protocol: decoding of JSON lines to typed messages, and encoding of commands."""

from __future__ import annotations

import binascii
import json
import math
from dataclasses import dataclass
from typing import Any, Union

from ..core.outcomes import EndReason
from .errors import UnreadableMessageError

RUN_END_REASONS = {
    "PASS": EndReason.RUN_SUCCEEDED,
    "FAIL": EndReason.RUN_FAILED,
    "KILLED": EndReason.RUN_KILLED,
    "NOOP": EndReason.RUN_NEVER_STARTED,
}
EMPTY_STATUS = "EMPTY"  # Status of BOOTED if the kernel has lost the state from before its restart.

# ---- from the kernel ----


@dataclass(slots=True, frozen=True)
class Booted:
    """The answer to OPEN: the kernel is up, and sends all notices after the one that OPEN names.

    Attributes:
        is_empty: Whether the kernel has no record of earlier runs.
        age_ms: Time since the start of the kernel.
    """

    is_empty: bool
    age_ms: float


@dataclass(slots=True, frozen=True)
class Notice:
    """A message that the kernel numbers, stores and replays. It counts as read once it has been decoded."""

    number: int


@dataclass(slots=True, frozen=True)
class RunEnded(Notice):
    """A run has ended; `body` is its result."""

    rid: str
    reason: EndReason
    body: bytes


@dataclass(slots=True, frozen=True)
class CallNeeded(Notice):
    """A run waits for a downstream call; `body` is the body of the call."""

    rid: str
    body: bytes


@dataclass(slots=True, frozen=True)
class IgnoredNotice(Notice):
    """A notice that the runner does not use."""


@dataclass(slots=True, frozen=True)
class Gauges:
    """The answer to a SYSINFO command: the kernel's gauges, and the mark that the command contained."""

    mark: str
    values: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CommandRejected:
    """EINVAL: the kernel rejected a command."""

    command: str
    rid: str


@dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message of a kind that the runner does not know."""

    kind: str


KernelMessage = Union[Notice, Booted, Gauges, CommandRejected, UnknownMessage]


def decode_message(line: bytes) -> KernelMessage:
    """Decode a line.

    :raises UnreadableMessageError: The line is not a valid message. No other error is raised.
    """
    try:
        return _decode(json.loads(line))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise UnreadableMessageError(str(exc)) from exc


def _decode(message: Any) -> KernelMessage:
    kind = message["t"]
    if kind == "REAP":
        return RunEnded(
            _notice_number(message), _rid(message), RUN_END_REASONS[message["status"]], _body(message)
        )
    if kind == "IOREQ":
        return CallNeeded(_notice_number(message), _rid(message), _body(message))
    if kind == "DMESG":
        return IgnoredNotice(_notice_number(message))
    if kind == "INFO":
        return Gauges(
            str(message.get("mark")), tuple(_finite_number(value) for value in message.get("v") or ())
        )
    if kind == "BOOTED":
        return Booted(message.get("status") == EMPTY_STATUS, _finite_number(message.get("time_ms") or 0))
    if kind == "EINVAL":
        return CommandRejected(str(message.get("status")), str(message.get("rid")))
    return UnknownMessage(str(kind))


def _notice_number(message: Any) -> int:
    number = message["no"]
    if isinstance(number, bool) or not isinstance(number, int):
        raise ValueError("notice: `no` must be an integer")
    return number


def _rid(message: Any) -> str:
    if not (rid := message.get("rid", "")):
        raise ValueError("notice: `rid` is missing")
    return str(rid)


def _body(message: Any) -> bytes:
    return binascii.a2b_base64(message.get("b64") or "", strict_mode=True)


def _finite_number(value: Any) -> float:
    number = float(value)
    if isinstance(value, bool) or not math.isfinite(number):
        raise ValueError("expected a finite number")
    return number


# ---- to the kernel ----

Command = dict[str, object]

_ENCODER = json.JSONEncoder(separators=(",", ":"))


def encode_command(command: Command) -> bytes:
    """Encode a command as a line of JSON."""
    return _ENCODER.encode(command).encode() + b"\n"


def open_command(last_notice: int) -> Command:
    """Return the first command of a connection. The kernel sends all notices after `last_notice` again."""
    return {"t": "OPEN", "no": last_notice}


def run_command(rid: str, route: str, body: bytes) -> Command:
    """Return the command that runs a request."""
    return {"t": "SCHED", "rid": rid, "route": route, "b64": _base64(body)}


def stop_command(rid: str) -> Command:
    """Return the command that stops a run."""
    return {"t": "PREEMPT", "rid": rid}


def call_reply_command(rid: str, body: bytes) -> Command:
    """Return the command that passes a run the reply to its call."""
    return {"t": "IODONE", "rid": rid, "b64": _base64(body)}


def skip_call_command(rid: str, notice: int) -> Command:
    """Return the command that continues a run without the call requested by notice `notice`."""
    return {"t": "NOIO", "rid": rid, "no": notice}


def gauges_command(mark: str) -> Command:
    """Return the command that requests the gauges. The kernel returns `mark` in its answer."""
    return {"t": "SYSINFO", "mark": mark}


def _base64(body: bytes) -> str:
    return binascii.b2a_base64(body, newline=False).decode()
