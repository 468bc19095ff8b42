"""The messages between two processes of one runner. A frame is a JSON object, a newline, and a run's result if any.

Processes of other versions read the names of kinds and fields: define them only here. Unknown fields are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Union

from ...core.idempotency_keys import IdempotencyKey
from ...hot_restart.shared_budget import ProcessLoad

VERSION = 1
MAX_FRAME_BYTES = 65_536  # far more than a frame needs: the result of a run is at most 4 KiB

Fields = dict[str, Any]


@dataclass(slots=True, frozen=True)
class Frame:
    """A frame whose JSON has been parsed and whose fields have not been validated."""

    kind: str
    fields: Fields
    result: bytes


@dataclass(slots=True, frozen=True)
class Hello:
    """The handshake of a new process. `pid` may be None if `version` is not VERSION."""

    version: int
    name: str
    pid: int | None


@dataclass(slots=True, frozen=True)
class Welcome:
    """The answer of the process in service. Its sockets are passed along with the frame.

    Attributes:
        labels: Labels of the sockets, in the order in which the sockets are passed.
        maintenance: Reason and time limits of the maintenance that an operator has set; None if there is none.
        key_table_bytes: Size of its key table.
        keys_unknown_until_us: Time until which its key table may lack keys that have run.
        incarnation: Its incarnation as a member of a cluster; 0 without a cluster.
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
    """One entry of the sender's key table."""

    key: IdempotencyKey
    body_digest: int
    expires_us: int
    finished: bool
    result: bytes | None


@dataclass(slots=True, frozen=True)
class Claim:
    """A request of the sender to run a key. Answers repeat `serial`."""

    serial: int
    key: IdempotencyKey
    body_digest: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class ClaimGranted:
    """Answer to a claim: the receiver may run the key."""

    serial: int
    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyInUse:
    """Answer to a claim: an attempt of the sender has the key."""

    serial: int
    key: IdempotencyKey
    body_digest: int
    expires_us: int


@dataclass(slots=True, frozen=True)
class KeyTableFull:
    """Answer to a claim: the sender's key table has no room for the key."""

    serial: int
    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyReleased:
    """An attempt of the sender has ended and never ran."""

    key: IdempotencyKey


@dataclass(slots=True, frozen=True)
class KeyFinished:
    """A run of the sender has ended."""

    key: IdempotencyKey
    body_digest: int
    expires_us: int
    result: bytes | None


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The share of the runner's limits that the sender uses."""

    load: ProcessLoad


@dataclass(slots=True, frozen=True)
class MaintenanceChanged:
    """An operator has set or ended maintenance. `maintenance` is None if it has ended."""

    maintenance: Fields | None


@dataclass(slots=True, frozen=True)
class Ready:
    """The new process is ready to serve on the sockets with these labels."""

    labels: list[str]


@dataclass(slots=True, frozen=True)
class KeysSynced:
    """The sender has sent its whole key table."""


@dataclass(slots=True, frozen=True)
class AcceptPermitted:
    """The old process has stopped accepting, and the new one may accept."""


@dataclass(slots=True, frozen=True)
class Busy:
    """The process in service is already handing over to another process."""


@dataclass(slots=True, frozen=True)
class Bye:
    """The sender disconnects and continues without the receiver."""


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
    """Parse a frame without its length prefix. Raise ValueError, KeyError or TypeError if it is malformed."""
    head, _, result = data.partition(b"\n")
    fields = json.loads(head)
    return Frame(fields["t"], fields, result)


def decode(frame: Frame) -> Message:
    """Return the message in a frame. Raise ValueError, KeyError or TypeError if it is invalid."""
    return _DECODERS[frame.kind](frame.fields, frame.result)


def encode(message: Message) -> bytes:
    """Encode a message as a frame without its length prefix."""
    kind, fields, result = _ENCODERS[type(message)](message)
    head = json.dumps({"t": kind} | fields, separators=(",", ":")).encode()
    return head + b"\n" + result


# ---- decoding ----


def _key(fields: Fields) -> IdempotencyKey:
    tenant, token = fields["k"]
    if not isinstance(token, str) or not isinstance(tenant, str | None):
        raise ValueError("field 'k' is not a pair of tenant and token")
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

# ---- encoding ----

Encoded = tuple[str, Fields, bytes]  # kind, fields in wire order, result


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
