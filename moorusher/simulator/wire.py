"""Frames of the simulator's wire <-> the types of `moorusher.scheduling.interface`. Nothing is decided here."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar, Union, cast

from moorusher.scheduling import interface as api


class WireError(ValueError):
    """The input is not what the wire allows."""


@dataclass(slots=True)
class Begin:
    """A server has started: a new instance with these settings."""

    settings: api.Settings


@dataclass(slots=True)
class Died:
    """A server is gone, with all that its instance knew."""


HostEvent = Union[api.Event, Begin, Died]


@dataclass(slots=True)
class Batch:
    """One batch of the simulator: events by instance."""

    now: float
    seq: int
    groups: list[tuple[int, list[HostEvent]]]


OUTCOMES = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.FULL,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.CONNECT_FAILED,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.MOOT,
}
EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
HALTING = {h.value: h for h in api.Halting}
SIGNALS = {s.value: s for s in api.SignalKind}
BELOW = {"off": api.Below.OFF, "one_for_all": api.Below.SHARED, "tier": api.Below.TIER}

_HEAD = struct.Struct("<IdII")
_REPLY = struct.Struct("<III")
_CODE = struct.Struct("<H")
_U32 = struct.Struct("<I")
_START = struct.Struct("<QI")
_REQUEST = struct.Struct("<IdHIdHBIfQdf")
_ENDED = struct.Struct("<IdB")
_CALLED = struct.Struct("<IBd")
_F64 = struct.Struct("<d")
_REMINDER = struct.Struct("<IB")
MAX_FRAME = 1 << 30

_T = TypeVar("_T")
_E = TypeVar("_E", bound=Enum)


class _Settings:
    """Reads one JSON object; a missing or wrong value raises with the setting's name."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise WireError(f"setting {path or 'setup'}: expected an object, got {data!r}")
        self.data, self.path = data, path

    def get(self, key: str, default: _T) -> _T:
        """An optional value of the default's type; whole numbers pass for fractional ones."""
        value = self.data.get(key)
        if value is None:
            return default
        kind = type(default)
        fits = isinstance(value, (int, float) if kind is float else kind)
        if not fits or isinstance(value, bool) is not (kind is bool):
            raise WireError(f"setting {self.path}{key}: expected {kind.__name__}, got {value!r}")
        return cast(_T, float(value)) if kind is float else cast(_T, value)

    def need(self, key: str, kind: type[_T]) -> _T:
        if self.data.get(key) is None:
            raise WireError(f"setting {self.path}{key}: required, expected {kind.__name__}")
        return self.get(key, kind())

    def choice(self, key: str, options: Mapping[str, _E], default: _E) -> _E:
        value = self.data.get(key)
        if value is None:
            return default
        if not isinstance(value, str) or value not in options:
            raise WireError(f"setting {self.path}{key}: expected one of {', '.join(options)}, got {value!r}")
        return options[value]

    def sub(self, key: str) -> _Settings:
        return _Settings(self.data.get(key) or {}, f"{self.path}{key}.")

    def values(self, key: str, kind: type[_T]) -> list[_T]:
        """A list of plain values, each of that kind; the error names the item."""
        listed: list[Any] = self.get(key, [])
        names = _Settings({str(i): value for i, value in enumerate(listed)}, f"{self.path}{key}.")
        return [names.need(str(i), kind) for i in range(len(listed))]

    def items(self, key: str) -> list[_Settings]:
        listed: list[Any] = self.get(key, [])
        return [_Settings(item, f"{self.path}{key}[{i}].") for i, item in enumerate(listed)]


def _class(c: _Settings, may_call: bool, worth_without_call: float) -> api.RequestClass:
    try:
        return api.RequestClass(
            aim_ms=c.need("aimMs", float),
            deadline_ms=c.need("deadlineMs", float),
            name=c.get("name", ""),
            worth=c.get("worth", 1.0),
            late_share=c.get("lateShare", 0.0),
            aim_stretch=c.get("aimStretch", 0.0),
            effect=c.choice("effect", EFFECTS, api.Effect.SAFE),
            window_ms=c.get("windowMs", 0.0),
            may_call=may_call,
            worth_without_call=worth_without_call,
        )
    except WireError:
        raise
    except (ValueError, OverflowError) as exc:  # which of the classes, the interface can't know
        raise WireError(str(exc).replace("classes[].", c.path)) from exc


def parse_settings(text: bytes, seed: int = 0) -> api.Settings:
    """The settings of a start record; unknown keys are ignored."""
    try:
        root = _Settings(json.loads(text))
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as exc:
        raise WireError(f"the settings are not valid JSON: {exc}") from exc
    extra, rules, limits = root.sub("extra"), root.sub("invariants"), root.sub("limits")
    calls, without = extra.values("classCalls", bool), extra.values("worthWithout", float)
    classes = tuple(
        _class(c, calls[i] if i < len(calls) else False, without[i] if i < len(without) else 0.0)
        for i, c in enumerate(root.items("classes"))
    )
    tenants = tuple(
        api.Tenant(share=t.get("share", 1.0), name=t.get("name", ""), quota_per_s=t.get("quotaRps", 0.0))
        for t in root.items("realms")
    )
    retry_after = limits.get("retryAfter", True)
    return api.Settings(
        cores=extra.need("cpus", int),
        memory_kb=extra.need("memoryKb", float),
        classes=classes,
        seed=seed,
        tenants=tenants,
        run_memory_factor=extra.get("blowup", 1.0),
        key_entry_kb=extra.get("entryKb", 0.0),
        answer_slack_ms=rules.get("graceToAnswerMs", 50.0),
        drain_grace_ms=rules.get("stopSendingWithinMs", 1000.0),
        crowd_per_core=rules.get("tipMultiple", 3.0),
        crowd_window_ms=rules.get("overloadForMs", 2000.0),
        cold=extra.get("cold", False),
        cold_speed=rules.get("coldShare", 1.0),
        warm_after_ms=rules.get("warmAfterMs", 0.0),
        halting=extra.choice("halt", HALTING, api.Halting.OFF),
        signal=extra.choice("say", SIGNALS, api.SignalKind.OFF),
        signal_heard_ms=extra.get("heardForMs", 1000.0),
        callers=extra.get("upstreams", 1),
        peers=root.get("peersTotal", 1),
        below=extra.choice("below", BELOW, api.Below.OFF),
        fair_calls=extra.get("fairCalls", 0.0),
        call_window_ms=extra.get("depWindowMs", 5000.0),
        abandoned_call_stays_ms=extra.get("staysForMs", 0.0),
        share_answers_ms=extra.get("freshForMs", 0.0),
        deep_checks=extra.get("deepChecks", False),
        passes_deadline=extra.get("passesDeadline", False),
        list_follows_health=extra.get("registryFollows", False),
        tells_gone=extra.get("tellsGone", False),
        retries_marked=root.sub("callers").get("marksRetry", False),
        idle_connection_ms=extra.get("keepaliveMaxMs", 0.0),
        retry_after_max_ms=limits.get("maxRetryAfterMs", 0.0) if retry_after else 0.0,
        over_share_worth=root.get("overShareWorth", 1.0),
        gauges=tuple(extra.values("gauges", str)),
    )


def _outcome(code: int) -> api.Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _request(values: tuple[Any, ...]) -> api.Request:
    rid, ttl, caller, tenant, waited, flags, klass, repeats, rank, subject, hint, memory = values
    return api.Request(
        rid,
        klass,
        memory,
        waited,
        ttl,
        caller,
        tenant,
        bool(flags & 2),
        bool(flags & 4),
        repeats or None,
        rank,
        subject or None,
        hint if flags & 1 else None,
    )


def decode_batch(frame: bytes) -> Batch:
    """One whole frame, header included."""
    if len(frame) < _HEAD.size:
        raise WireError("frame shorter than its header")
    length, now, count, seq = _HEAD.unpack_from(frame)
    if length != len(frame):
        raise WireError(f"frame says {length} bytes and has {len(frame)}")
    groups: list[tuple[int, list[HostEvent]]] = []
    events: list[HostEvent] | None = None
    at = _HEAD.size
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(frame, at)
            at += 2
            if code == 265:
                events = []
                groups.append((_U32.unpack_from(frame, at)[0], events))
                at += 4
                continue
            if events is None:
                raise WireError(f"event {code} before any instance was named")
            if code == 257:
                events.append(_request(_REQUEST.unpack_from(frame, at)))
                at += _REQUEST.size
            elif code == 263:
                token, n = _REMINDER.unpack_from(frame, at)
                at += _REMINDER.size
                events.append(api.Timer(token, struct.unpack_from(f"<{n}f", frame, at)))
                at += 4 * n
            elif code == 258:
                rid, latency, result = _ENDED.unpack_from(frame, at)
                at += _ENDED.size
                events.append(api.RunEnded(rid, _outcome(result), latency))
            elif code == 259:
                events.append(api.CallNeeded(_U32.unpack_from(frame, at)[0]))
                at += 4
            elif code == 260:
                rid, result, latency = _CALLED.unpack_from(frame, at)
                at += _CALLED.size
                events.append(api.CallEnded(rid, _outcome(result), latency))
            elif code == 261:
                events.append(api.DrainNotice(_F64.unpack_from(frame, at)[0]))
                at += 8
            elif code == 262:
                events.append(api.CallerGone(_U32.unpack_from(frame, at)[0]))
                at += 4
            elif code == 264:
                events.append(Died())
            elif code == 256:
                seed, n = _START.unpack_from(frame, at)
                at += _START.size
                if at + n > len(frame):
                    raise WireError("settings run past the frame")
                events.append(Begin(parse_settings(frame[at : at + n], seed)))
                at += n
            else:
                raise WireError(f"unknown event code {code}")
    except struct.error:
        raise WireError("a record runs past the frame") from None
    if at != len(frame):
        raise WireError(f"{len(frame) - at} bytes left after the last record")
    return Batch(now, seq, groups)


def frame_length(head: bytes) -> int:
    """The length that the first four bytes of a frame state."""
    length = int(_U32.unpack(head)[0])
    if not _HEAD.size <= length <= MAX_FRAME:
        raise WireError(f"frame length {length} is out of range")
    return length


_ID = struct.Struct("<HI")
_BOUNCE = struct.Struct("<HIdB")
_ID_MS = struct.Struct("<HId")
_HEALTH = struct.Struct("<HBB")
_SAY = struct.Struct("<Hf")
_TRIM = struct.Struct("<Hd")
_NOTIFY = struct.Struct("<HdI")
_TEXT = struct.Struct("<HH")
_PLAIN: dict[type, int] = {
    api.Start: 268,
    api.Stop: 261,
    api.Fail: 263,
    api.SkipCall: 271,
    api.Forget: 262,
    api.ShareResult: 256,
}


def _text(code: int, text: str) -> bytes:
    raw = text.encode()[:65535]
    return _TEXT.pack(code, len(raw)) + raw


def encode_action(a: api.Action) -> bytes:
    """One action as a record of the reply."""
    if isinstance(a, api.SetTimer):
        return _NOTIFY.pack(265, a.delay_ms, a.token)
    if isinstance(a, api.Reject):
        return _BOUNCE.pack(270, a.id, a.retry_after_ms, a.final)
    if isinstance(a, api.Call):
        return _ID_MS.pack(267, a.id, a.timeout_ms)
    if isinstance(a, api.Remember):
        return _ID_MS.pack(264, a.id, a.ttl_ms)
    if isinstance(a, api.SetHealth):
        return _HEALTH.pack(258, a.healthy, a.stored)
    if isinstance(a, api.Signal):
        return _SAY.pack(266, a.value)
    if isinstance(a, api.TrimConnections):
        return _TRIM.pack(260, a.idle_ms)
    if isinstance(a, api.Log):
        return _text(257, a.text)
    return _ID.pack(_PLAIN[type(a)], a.id)


def encode_reply(seq: int, groups: Iterable[tuple[int, list[api.Action]]], fatal: str | None = None) -> bytes:
    """The reply to batch `seq`; `fatal` ends the day with that text."""
    parts: list[bytes] = []
    for server, actions in groups:
        if actions:
            parts.append(_ID.pack(269, server))
            parts.extend(map(encode_action, actions))
    if fatal is not None:
        parts.append(_text(259, fatal))
    body = b"".join(parts)
    return _REPLY.pack(_REPLY.size + len(body), len(parts), seq) + body
