"""What the kernel says: one line of JSON to one typed message, whole or not at all."""

from __future__ import annotations

import binascii
import json
import math
from dataclasses import dataclass
from typing import Any, Union

from ..core.outcomes import EndReason

RUN_ENDS = {
    "PASS": EndReason.RUN_SUCCEEDED,
    "FAIL": EndReason.RUN_FAILED,
    "KILLED": EndReason.RUN_KILLED,
    "NOOP": EndReason.RUN_NEVER_STARTED,
}
COLD = "EMPTY"


class UnreadableMessage(ValueError):
    """A line of the kernel that is no message of the protocol; the link reads on from the last whole notice."""


@dataclass(slots=True, frozen=True)
class Booted:
    """The answer to OPEN: the kernel is up, and all notices after the one named there follow."""

    cold: bool
    age_ms: float


@dataclass(slots=True, frozen=True)
class Notice:
    """What the kernel numbers, keeps and replays: only one that was read whole counts as read."""

    number: int


@dataclass(slots=True, frozen=True)
class RunOver(Notice):
    """A run has ended."""

    rid: str
    ending: EndReason
    body: bytes


@dataclass(slots=True, frozen=True)
class CallNeeded(Notice):
    """A run waits for a call with this body."""

    rid: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Remark(Notice):
    """It means nothing."""


@dataclass(slots=True, frozen=True)
class Gauges:
    """The figures that SYSINFO asked for, with the mark of that question."""

    mark: str
    values: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class CommandRefused:
    """EINVAL: a command was not carried out."""

    command: str
    rid: str


@dataclass(slots=True, frozen=True)
class Unknown:
    """A message of a kind that this program does not know."""

    kind: str


KernelMessage = Union[Notice, Booted, Gauges, CommandRefused, Unknown]


def read_message(line: bytes) -> KernelMessage:
    """Raises UnreadableMessage."""
    try:
        return _read(json.loads(line))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise UnreadableMessage(str(exc)) from exc


def _read(message: Any) -> KernelMessage:
    kind = message["t"]
    if kind == "REAP":
        return RunOver(_number(message), _rid(message), RUN_ENDS[message["status"]], _body(message))
    if kind == "IOREQ":
        return CallNeeded(_number(message), _rid(message), _body(message))
    if kind == "DMESG":
        return Remark(_number(message))
    if kind == "INFO":
        return Gauges(str(message.get("mark")), tuple(_figure(v) for v in message.get("v") or ()))
    if kind == "BOOTED":
        return Booted(message.get("status") == COLD, _figure(message.get("time_ms") or 0))
    if kind == "EINVAL":
        return CommandRefused(str(message.get("status")), str(message.get("rid")))
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
        raise ValueError("a figure that is no number")
    return figure
