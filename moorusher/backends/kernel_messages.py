"""The messages of the kernel's protocol: a line of JSON to one typed message and back, whole or not at all."""

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
EMPTY_STATUS = "EMPTY"  # of BOOTED: the kernel has lost what an earlier one had

# ---- from the kernel ----


@dataclass(slots=True, frozen=True)
class Booted:
    """The answer to OPEN: the kernel is up, and all notices after the one named there follow.

    is_empty: it knows nothing of earlier runs.
    age_ms: since it was started.
    """

    is_empty: bool
    age_ms: float


@dataclass(slots=True, frozen=True)
class Notice:
    """What the kernel numbers, keeps and replays. It counts as read once it was decoded."""

    number: int


@dataclass(slots=True, frozen=True)
class RunEnded(Notice):
    """A run has ended."""

    rid: str
    reason: EndReason
    body: bytes


@dataclass(slots=True, frozen=True)
class CallNeeded(Notice):
    """A run waits for a downstream call with this body."""

    rid: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Remark(Notice):
    """A notice without a meaning for the runner."""


@dataclass(slots=True, frozen=True)
class Gauges:
    """The figures that SYSINFO request for, with the mark of that question."""

    mark: str
    values: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CommandRejected:
    """EINVAL: a command was not carried out."""

    command: str
    rid: str


@dataclass(slots=True, frozen=True)
class Unknown:
    """A message of a kind that this program does not know."""

    kind: str


KernelMessage = Union[Notice, Booted, Gauges, CommandRejected, Unknown]


def decode_message(line: bytes) -> KernelMessage:
    """Decode a line. Raises UnreadableMessageError, and nothing else."""
    try:
        return _decode(json.loads(line))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise UnreadableMessageError(str(exc)) from exc


def _decode(message: Any) -> KernelMessage:
    kind = message["t"]
    if kind == "REAP":
        return RunEnded(_number(message), _rid(message), RUN_END_REASONS[message["status"]], _body(message))
    if kind == "IOREQ":
        return CallNeeded(_number(message), _rid(message), _body(message))
    if kind == "DMESG":
        return Remark(_number(message))
    if kind == "INFO":
        return Gauges(str(message.get("mark")), tuple(_figure(value) for value in message.get("v") or ()))
    if kind == "BOOTED":
        return Booted(message.get("status") == EMPTY_STATUS, _figure(message.get("time_ms") or 0))
    if kind == "EINVAL":
        return CommandRejected(str(message.get("status")), str(message.get("rid")))
    return Unknown(str(kind))


def _number(message: Any) -> int:
    number = message["no"]
    if isinstance(number, bool) or not isinstance(number, int):
        raise ValueError("a notice without its number")
    return number


def _rid(message: Any) -> str:
    if not (rid := message.get("rid", "")):
        raise ValueError("a notice without its request")
    return str(rid)


def _body(message: Any) -> bytes:
    return binascii.a2b_base64(message.get("b64") or "", strict_mode=True)


def _figure(value: Any) -> float:
    figure = float(value)
    if isinstance(value, bool) or not math.isfinite(figure):
        raise ValueError("a figure that is not a finite number")
    return figure


# ---- to the kernel ----

Command = dict[str, object]

_ENCODER = json.JSONEncoder(separators=(",", ":"))


def encode_command(command: Command) -> bytes:
    """Encode a command as a line."""
    return _ENCODER.encode(command).encode() + b"\n"


def open_after(notice: int) -> Command:
    """Begin a connection: all notices after this one are to be sent again."""
    return {"t": "OPEN", "no": notice}


def run_request(rid: str, route: str, body: bytes) -> Command:
    """Run a request."""
    return {"t": "SCHED", "rid": rid, "route": route, "b64": _base64(body)}


def stop_run(rid: str) -> Command:
    """Stop a run."""
    return {"t": "PREEMPT", "rid": rid}


def call_reply(rid: str, body: bytes) -> Command:
    """Give a run the reply to the call that it waits for."""
    return {"t": "IODONE", "rid": rid, "b64": _base64(body)}


def skip_call(rid: str, notice: int) -> Command:
    """Let a run go on without the call that it request for by that notice."""
    return {"t": "NOIO", "rid": rid, "no": notice}


def ask_for_gauges(mark: str) -> Command:
    """Ask for the gauges; the answer carries the mark."""
    return {"t": "SYSINFO", "mark": mark}


def _base64(body: bytes) -> str:
    return binascii.b2a_base64(body, newline=False).decode()
