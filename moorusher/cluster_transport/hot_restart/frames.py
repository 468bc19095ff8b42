"""The messages between two processes of one runner, and their bytes.

A frame is a JSON object, a line end, and the result of a run where the message has one. The names of kinds and fields
are read by processes of other builds: they stand here and nowhere else. Fields that are not known are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Union

from ...core.idempotency_keys import IdempotencyKey
from ...hot_restart.shared_budget import ProcessLoad

VERSION = 1
MAX_FRAME_BYTES = 65_536  # a result has 4 KiB

Fields = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Frame:
    """A frame as it was read: JSON, but its fields are not looked at yet."""

    kind: str
    fields: Fields
    result: bytes


@dataclass(slots=True, frozen=True)
class Hello:
    """A further process has come. `pid` may be missing where the version is another one."""

    version: int
    name: str
    pid: int | None


@dataclass(slots=True, frozen=True)
class Welcome:
    """The process in service hands over; its sockets come beside the frame, in the order of `labels`.

    Attributes:
        maintenance: why an operator has taken the runner out, and until when; None where it is in service.
        key_table_bytes: the size of its key table.
        keys_unknown_until_us: until then its key table may miss keys that have run.
        incarnation: among the runners of a cluster; 0 where there is none.
    """

    labels: list[str]
    maintenance: Fields | None
    key_table_bytes: int
    keys_unknown_until_us: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class UnsupportedWelcome:
    """A `Welcome` of another version."""

    version: object


@dataclass(slots=True, frozen=True)
class KeyRecord:
    """One entry of the key table."""

    key: IdempotencyKey
    body_digest: int
    expires_us: int
    finished: bool
    result: bytes | None


@dataclass(slots=True, frozen=True)
class Claim:
    """The other process wants to run a key."""

    serial: int
    key: IdempotencyKey
    body_digest: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class ClaimGranted:
    """A claim is granted."""

    serial: int
    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyInUse:
    """A claimed key belongs to an attempt of the other process."""

    serial: int
    key: IdempotencyKey
    body_digest: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class KeyTableFull:
    """A claimed key can't be noted by the other process."""

    serial: int
    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """An attempt of the other process never ran."""

    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyFinished:
    """A run of the other process is over."""

    key: IdempotencyKey
    body_digest: int
    expires_us: int
    result: bytes | None


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What the other process takes of the runner's limits."""

    load: ProcessLoad


@dataclass(slots=True, frozen=True)
class MaintenanceChanged:
    """An operator has taken the runner out, or put it back."""

    maintenance: Fields | None


@dataclass(slots=True, frozen=True)
class Ready:
    """The new process can serve, on the sockets with these labels."""

    labels: list[str]


@dataclass(slots=True, frozen=True)
class KeysSynced:
    """All keys have been sent."""


@dataclass(slots=True, frozen=True)
class AcceptPermitted:
    """The process in service accepts nothing more."""


@dataclass(slots=True, frozen=True)
class Busy:
    """The process in service is in another replacement."""


@dataclass(slots=True, frozen=True)
class Bye:
    """The process hangs up, and goes on without the other one."""


Message = Union[
    Hello,
    Welcome,
    UnsupportedWelcome,
    KeyRecord,
    Claim,
    ClaimGranted,
    KeyInUse,
    KeyTableFull,
    KeyReleased,
    KeyFinished,
    LoadReport,
    MaintenanceChanged,
    Ready,
    KeysSynced,
    AcceptPermitted,
    Busy,
    Bye,
]

HELLO = "HELLO"


def split(data: bytes) -> Frame:
    """A frame from its bytes. Raises ValueError, KeyError or TypeError where it is none."""
    head, _, result = data.partition(b"\n")
    fields = json.loads(head)
    return Frame(fields["t"], fields, result)


def decode(frame: Frame) -> Message:
    """The message of a frame. Raises ValueError, KeyError or TypeError where it is none."""
    return _DECODERS[frame.kind](frame.fields, frame.result)


def encode(message: Message) -> bytes:
    """The bytes of a message, without their length."""
    kind, fields, result = _ENCODERS[type(message)](message)
    head = json.dumps({"t": kind} | fields, separators=(",", ":")).encode()
    return head + b"\n" + result


# ---- reading ----


def _key(fields: Fields) -> IdempotencyKey:
    tenant, token = fields["k"]
    if not isinstance(token, str) or not isinstance(tenant, str | None):
        raise ValueError("no key")
    return tenant, token


def _welcome(fields: Fields, result: bytes) -> Message:
    if fields["v"] != VERSION:
        return UnsupportedWelcome(fields["v"])
    return Welcome(
        labels=fields["labels"],
        maintenance=fields["out"],
        key_table_bytes=fields["bytes"],
        keys_unknown_until_us=int(fields["unsure"]),
        incarnation=int(fields.get("fleet", 0)),
    )


def _hello(fields: Fields, result: bytes) -> Message:
    version = fields["v"]
    pid = fields["pid"] if version == VERSION else fields.get("pid")
    return Hello(version, fields["name"], pid)


def _key_record(fields: Fields, result: bytes) -> Message:
    cached = result if fields["r"] else None
    return KeyRecord(_key(fields), fields["b"], fields["u"], fields["o"], cached)


def _decode_key_finished(fields: Fields, result: bytes) -> Message:
    return KeyFinished(_key(fields), fields["b"], fields["u"], result if fields["r"] else None)


def _load(fields: Fields, result: bytes) -> Message:
    return LoadReport(
        ProcessLoad(
            on_cores=int(fields["on_cores"]),
            running=int(fields["running"]),
            memory_kb=float(fields["memory_kb"]),
            connections=int(fields["connections"]),
        )
    )


_DECODERS: dict[str, Callable[[Fields, bytes], Message]] = {
    HELLO: _hello,
    "WELCOME": _welcome,
    "KEY": _key_record,
    "CLAIM": lambda fields, _: Claim(fields["n"], _key(fields), fields["b"], fields["u"]),
    "GRANTED": lambda fields, _: ClaimGranted(fields["n"], _key(fields)),
    "HELD": lambda fields, _: KeyInUse(fields["n"], _key(fields), fields["b"], fields["u"]),
    "FULL": lambda fields, _: KeyTableFull(fields["n"], _key(fields)),
    "FREED": lambda fields, _: KeyReleased(_key(fields)),
    "SETTLED": _decode_key_finished,
    "LOAD": _load,
    "OUT": lambda fields, _: MaintenanceChanged(fields["out"]),
    "READY": lambda fields, _: Ready(fields["labels"]),
    "SYNCED": lambda fields, _: KeysSynced(),
    "GO": lambda fields, _: AcceptPermitted(),
    "BUSY": lambda fields, _: Busy(),
    "BYE": lambda fields, _: Bye(),
}

# ---- writing ----

Encoded = tuple[str, Fields, bytes]  # kind, fields in their order, result


def _encode_welcome(message: Welcome) -> Encoded:
    fields = {
        "v": VERSION,
        "labels": message.labels,
        "out": message.maintenance,
        "bytes": message.key_table_bytes,
        "unsure": message.keys_unknown_until_us,
        "fleet": message.incarnation,
    }
    return "WELCOME", fields, b""


def _encode_key_record(message: KeyRecord) -> Encoded:
    fields = {
        "k": message.key,
        "b": message.body_digest,
        "u": message.expires_us,
        "o": message.finished,
        "r": message.result is not None,
    }
    return "KEY", fields, message.result or b""


def _encode_key_finished(message: KeyFinished) -> Encoded:
    fields = {
        "k": message.key,
        "b": message.body_digest,
        "u": message.expires_us,
        "r": message.result is not None,
    }
    return "SETTLED", fields, message.result or b""


def _encode_load(message: LoadReport) -> Encoded:
    load = message.load
    fields = {
        "on_cores": load.on_cores,
        "running": load.running,
        "memory_kb": load.memory_kb,
        "connections": load.connections,
    }
    return "LOAD", fields, b""


def _claim_fields(message: Claim | KeyInUse) -> Fields:
    return {"n": message.serial, "k": message.key, "b": message.body_digest, "u": message.expires_us}


_ENCODERS: dict[type, Callable[[Any], Encoded]] = {
    Hello: lambda hello: (HELLO, {"v": hello.version, "name": hello.name, "pid": hello.pid}, b""),
    Welcome: _encode_welcome,
    KeyRecord: _encode_key_record,
    Claim: lambda claim: ("CLAIM", _claim_fields(claim), b""),
    ClaimGranted: lambda granted: ("GRANTED", {"n": granted.serial, "k": granted.key}, b""),
    KeyInUse: lambda answer: ("HELD", _claim_fields(answer), b""),
    KeyTableFull: lambda full: ("FULL", {"n": full.serial, "k": full.key}, b""),
    KeyReleased: lambda released: ("FREED", {"k": released.key}, b""),
    KeyFinished: _encode_key_finished,
    LoadReport: _encode_load,
    MaintenanceChanged: lambda changed: ("OUT", {"out": changed.maintenance}, b""),
    Ready: lambda ready: ("READY", {"labels": ready.labels}, b""),
    KeysSynced: lambda _: ("SYNCED", {}, b""),
    AcceptPermitted: lambda _: ("GO", {}, b""),
    Busy: lambda _: ("BUSY", {}, b""),
    Bye: lambda _: ("BYE", {}, b""),
}
