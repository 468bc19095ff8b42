"""Codec between the simulator's wire format and the types of `moorusher.scheduling.interface`.

All numbers are little-endian. In a batch, the number of each instance precedes its events. In a reply, it
precedes its actions.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Union

from moorusher.config.scheduler_settings import parse_settings
from moorusher.scheduling import interface as api


class WireError(ValueError):
    """The input violates the wire format."""


@dataclass(slots=True)
class InstanceStarted:
    """A runner has started and needs a new scheduler instance with these settings."""

    settings: api.Settings


@dataclass(slots=True)
class InstanceDied:
    """A runner has exited, and the state of its scheduler instance is lost."""


HostEvent = Union[api.Event, InstanceStarted, InstanceDied]


@dataclass(slots=True)
class Batch:
    """One batch of events from the simulator.

    Attributes:
        now: Time of the events, in ms.
        sequence: Sequence number of the batch.
        groups: Pairs of the number of an instance and its events.
    """

    now: float
    sequence: int
    groups: list[tuple[int, list[HostEvent]]]


class EventCode(IntEnum):
    """Record codes in a batch."""

    INSTANCE_STARTED = 256
    REQUEST = 257
    RUN_ENDED = 258
    CALL_NEEDED = 259
    CALL_ENDED = 260
    DRAIN_NOTICE = 261
    REQUEST_ABANDONED = 262
    TIMER = 263
    INSTANCE_DIED = 264
    INSTANCE = 265  # the following records belong to this instance


class ActionCode(IntEnum):
    """Record codes in a reply."""

    SHARE_RESULT = 256
    LOG = 257
    SET_HEALTH = 258
    FATAL = 259  # the simulation aborts with this error text
    TRIM_CONNECTIONS = 260
    STOP = 261
    FORGET = 262
    FAIL = 263
    REMEMBER = 264
    SET_TIMER = 265
    SIGNAL = 266
    CALL = 267
    START = 268
    INSTANCE = 269  # the following records belong to this instance
    REJECT = 270
    SKIP_CALL = 271


OUTCOMES = {
    0: api.ExecutionOutcome.OK,
    255: api.ExecutionOutcome.ERROR,
    254: api.ExecutionOutcome.FULL,
    253: api.ExecutionOutcome.TIMEOUT,
    252: api.ExecutionOutcome.CONNECT_FAILED,
    251: api.ExecutionOutcome.RESET,
    250: api.ExecutionOutcome.CANCELLED,
    249: api.ExecutionOutcome.NOT_AWAITED,
}

MAX_FRAME_BYTES = 1 << 30
MAX_TEXT_BYTES = 65535

# Bit flags in a request record.
HAS_COST_HINT = 1
IS_RETRY = 2
IS_WRITE = 4

_BATCH_HEADER = struct.Struct("<IdII")
_REPLY_HEADER = struct.Struct("<III")
_CODE = struct.Struct("<H")
_U32 = struct.Struct("<I")
_F64 = struct.Struct("<d")
_INSTANCE_STARTED = struct.Struct("<QI")
_REQUEST = struct.Struct("<IdHIdHBIfQdf")
_RUN_ENDED = struct.Struct("<IdB")
_CALL_ENDED = struct.Struct("<IBd")
_TIMER = struct.Struct("<IB")
_GAUGE_BYTES = 4

_ID = struct.Struct("<HI")
_ID_MS = struct.Struct("<HId")
_REJECT = struct.Struct("<HIdB")
_SET_HEALTH = struct.Struct("<HBB")
_SIGNAL = struct.Struct("<Hf")
_TRIM_CONNECTIONS = struct.Struct("<Hd")
_SET_TIMER = struct.Struct("<HdI")
_TEXT = struct.Struct("<HH")


# ---- batches ----


def decode_batch(frame: bytes) -> Batch:
    """Decode one complete frame, including its header.

    :raises WireError: If the frame violates the wire format.
    :raises ValueError: If the settings of an instance are invalid.
    """
    if len(frame) < _BATCH_HEADER.size:
        raise WireError("frame shorter than its header")
    length, now, count, sequence = _BATCH_HEADER.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"frame says {length} bytes and has {len(frame)}")
    try:
        groups, end = _decode_records(frame, _BATCH_HEADER.size, count)
    except struct.error:
        raise WireError("a record runs past the frame") from None
    if end != len(frame):
        raise WireError(f"{len(frame) - end} bytes left after the last record")
    return Batch(now, sequence, groups)


def frame_length(length_prefix: bytes) -> int:
    """Decode the frame length in bytes from the first four bytes of a frame.

    :raises WireError: If the length is out of range.
    """
    length = int(_U32.unpack(length_prefix)[0])
    if not _BATCH_HEADER.size <= length <= MAX_FRAME_BYTES:
        raise WireError(f"frame length {length} is out of range")
    return length


def _decode_records(frame: bytes, offset: int, count: int) -> tuple[list[tuple[int, list[HostEvent]]], int]:
    """Return the events by instance, and the offset after the last record."""
    groups: list[tuple[int, list[HostEvent]]] = []
    events: list[HostEvent] | None = None
    for _ in range(count):
        (code,) = _CODE.unpack_from(frame, offset)
        offset += _CODE.size
        if code == EventCode.INSTANCE:
            events = []
            groups.append((_U32.unpack_from(frame, offset)[0], events))
            offset += _U32.size
            continue
        if events is None:
            raise WireError(f"event {code} before any instance was named")
        decode = _DECODERS.get(code)
        if decode is None:
            raise WireError(f"unknown event code {code}")
        event, offset = decode(frame, offset)
        events.append(event)
    return groups, offset


def _decode_instance_started(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    seed, size = _INSTANCE_STARTED.unpack_from(frame, offset)
    offset += _INSTANCE_STARTED.size
    if offset + size > len(frame):
        raise WireError("settings run past the frame")
    return InstanceStarted(parse_settings(frame[offset : offset + size], seed)), offset + size


def _decode_request(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    (
        request_id,
        ttl_ms,
        caller,
        tenant,
        waited_ms,
        flags,
        class_index,
        repeat_of,
        rank,
        subject,
        cost_hint_ms,
        memory_kb,
    ) = _REQUEST.unpack_from(frame, offset)
    request = api.Request(
        request_id,
        class_index,
        memory_kb,
        waited_ms,
        ttl_ms,
        caller,
        tenant,
        bool(flags & IS_RETRY),
        bool(flags & IS_WRITE),
        repeat_of or None,
        rank,
        subject or None,
        cost_hint_ms if flags & HAS_COST_HINT else None,
    )
    return request, offset + _REQUEST.size


def _decode_run_ended(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    request_id, latency_ms, outcome = _RUN_ENDED.unpack_from(frame, offset)
    return api.RunEnded(request_id, _outcome(outcome), latency_ms), offset + _RUN_ENDED.size


def _decode_call_needed(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    return api.CallNeeded(_U32.unpack_from(frame, offset)[0]), offset + _U32.size


def _decode_call_ended(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    request_id, outcome, latency_ms = _CALL_ENDED.unpack_from(frame, offset)
    return api.CallEnded(request_id, _outcome(outcome), latency_ms), offset + _CALL_ENDED.size


def _decode_drain_notice(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    return api.DrainNotice(_F64.unpack_from(frame, offset)[0]), offset + _F64.size


def _decode_request_abandoned(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    return api.RequestAbandoned(_U32.unpack_from(frame, offset)[0]), offset + _U32.size


def _decode_timer(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    token, count = _TIMER.unpack_from(frame, offset)
    offset += _TIMER.size
    gauges = struct.unpack_from(f"<{count}f", frame, offset)
    return api.Timer(token, gauges), offset + _GAUGE_BYTES * count


def _decode_instance_died(frame: bytes, offset: int) -> tuple[HostEvent, int]:
    return InstanceDied(), offset


def _outcome(code: int) -> api.ExecutionOutcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


_DECODERS: dict[int, Callable[[bytes, int], tuple[HostEvent, int]]] = {
    EventCode.INSTANCE_STARTED: _decode_instance_started,
    EventCode.REQUEST: _decode_request,
    EventCode.RUN_ENDED: _decode_run_ended,
    EventCode.CALL_NEEDED: _decode_call_needed,
    EventCode.CALL_ENDED: _decode_call_ended,
    EventCode.DRAIN_NOTICE: _decode_drain_notice,
    EventCode.REQUEST_ABANDONED: _decode_request_abandoned,
    EventCode.TIMER: _decode_timer,
    EventCode.INSTANCE_DIED: _decode_instance_died,
}


# ---- replies ----


def encode_reply(
    sequence: int, groups: Iterable[tuple[int, list[api.Action]]], fatal: str | None = None
) -> bytes:
    """Encode the reply to the batch with this sequence number.

    :param groups: Pairs of the number of an instance and its actions.
    :param fatal: Error text with which the simulation aborts.
    """
    records: list[bytes] = []
    for instance, actions in groups:
        if actions:
            records.append(_ID.pack(ActionCode.INSTANCE, instance))
            records.extend(map(encode_action, actions))
    if fatal is not None:
        records.append(_encode_text(ActionCode.FATAL, fatal))
    body = b"".join(records)
    return _REPLY_HEADER.pack(_REPLY_HEADER.size + len(body), len(records), sequence) + body


def encode_action(action: api.Action) -> bytes:
    """Encode one action as a record of the reply."""
    return _ENCODERS[type(action)](action)


def _encode_text(code: int, text: str) -> bytes:
    raw = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(raw)) + raw


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.ShareResult: lambda action: _ID.pack(ActionCode.SHARE_RESULT, action.id),
    api.Log: lambda action: _encode_text(ActionCode.LOG, action.text),
    api.SetHealth: lambda action: _SET_HEALTH.pack(ActionCode.SET_HEALTH, action.healthy, action.stored),
    api.CloseIdleConnections: lambda action: _TRIM_CONNECTIONS.pack(
        ActionCode.TRIM_CONNECTIONS, action.idle_ms
    ),
    api.Stop: lambda action: _ID.pack(ActionCode.STOP, action.id),
    api.DropKey: lambda action: _ID.pack(ActionCode.FORGET, action.id),
    api.Fail: lambda action: _ID.pack(ActionCode.FAIL, action.id),
    api.StoreKey: lambda action: _ID_MS.pack(ActionCode.REMEMBER, action.id, action.ttl_ms),
    api.SetTimer: lambda action: _SET_TIMER.pack(ActionCode.SET_TIMER, action.delay_ms, action.token),
    api.Signal: lambda action: _SIGNAL.pack(ActionCode.SIGNAL, action.value),
    api.StartCall: lambda action: _ID_MS.pack(ActionCode.CALL, action.id, action.timeout_ms),
    api.Start: lambda action: _ID.pack(ActionCode.START, action.id),
    api.Reject: lambda action: _REJECT.pack(
        ActionCode.REJECT, action.id, action.retry_after_ms, action.final
    ),
    api.SkipCall: lambda action: _ID.pack(ActionCode.SKIP_CALL, action.id),
}
