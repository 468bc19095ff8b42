"""What a server tells the scheduler and what the scheduler answers: settings, events, actions, outcomes.

All times are milliseconds. `Balancer.step(now, events)` takes a clock that never steps back (a step
back raises ValueError) and returns the actions in the order in which they are to be carried out.
Events about requests that are over, or were never given, are ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Union


class Effect(Enum):
    """May a request run again: always, once within its window, or only after a proof that it never ran."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Halting(Enum):
    """What stopping running work does: nothing, lose what was done, or suspend it."""

    OFF = "off"
    DISCARD = "discard"
    FREEZE = "freeze"


class SignalKind(Enum):
    """What callers make of `Signal`: a least rank, a bound on outstanding requests, a probability."""

    OFF = "off"
    FLOOR = "floor"
    ALLOWANCE = "allowance"
    WEIGHT = "weight"


class Below(Enum):
    """What requests may call while they run: nothing, one shared dependency, or a further tier."""

    OFF = "off"
    SHARED = "shared"
    TIER = "tier"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that no work was started."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def _require(ok: bool, name: str, wanted: str, got: object) -> None:
    if not ok:
        raise ValueError(f"setting {name}: expected {wanted}, got {got!r}")


def _check_numbers(owner: object, prefix: str) -> None:
    """Every number of a settings object is finite and not negative, and every enum is the enum."""
    for f in fields(owner):  # type: ignore[arg-type]
        value, name = getattr(owner, f.name), f"{prefix}{f.name}"
        if f.type in ("float", "int"):
            number = isinstance(value, (int, float)) and not isinstance(value, bool)
            _require(number and math.isfinite(value) and value >= 0, name, "a number of at least 0", value)
            _require(f.type != "int" or isinstance(value, int), name, "a whole number", value)
        elif f.type == "bool":
            _require(isinstance(value, bool), name, "true or false", value)
        elif f.type == "str":
            _require(isinstance(value, str), name, "a text", value)
        elif f.type in _ENUMS:
            _require(isinstance(value, _ENUMS[f.type]), name, f"a member of {f.type}", value)


_ENUMS: dict[str, type[Enum]] = {
    "Effect": Effect,
    "Halting": Halting,
    "SignalKind": SignalKind,
    "Below": Below,
}


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    aim_ms: float
    deadline_ms: float
    name: str = ""
    worth: float = 1.0
    late_share: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.SAFE
    window_ms: float = 0.0
    may_call: bool = False
    worth_without_call: float = 0.0

    def __post_init__(self) -> None:
        _check_numbers(self, "classes[].")
        _require(self.aim_ms > 0, "classes[].aim_ms", "more than 0", self.aim_ms)
        _require(
            self.deadline_ms >= self.aim_ms, "classes[].deadline_ms", "at least aim_ms", self.deadline_ms
        )


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: its share of the service and the rate, over the fleet, that falls within it."""

    share: float
    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check_numbers(self, "tenants[].")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a server knows when it starts. Only cores, memory and classes are required."""

    cores: int
    memory_kb: float
    classes: tuple[RequestClass, ...]
    seed: int = 0
    tenants: tuple[Tenant, ...] = ()
    run_memory_factor: float = 1.0
    key_entry_kb: float = 0.0
    answer_slack_ms: float = 50.0
    drain_grace_ms: float = 1000.0
    crowd_per_core: float = 3.0
    crowd_window_ms: float = 2000.0
    cold: bool = False
    cold_speed: float = 1.0
    warm_after_ms: float = 0.0
    halting: Halting = Halting.OFF
    signal: SignalKind = SignalKind.OFF
    signal_heard_ms: float = 1000.0
    callers: int = 1
    peers: int = 1
    below: Below = Below.OFF
    fair_calls: float = 0.0
    call_window_ms: float = 5000.0
    abandoned_call_stays_ms: float = 0.0
    share_answers_ms: float = 0.0
    deep_checks: bool = False
    list_follows_health: bool = False
    passes_deadline: bool = False
    tells_gone: bool = False
    retries_marked: bool = False
    idle_connection_ms: float = 0.0
    retry_after_max_ms: float = 0.0
    over_share_worth: float = 1.0
    gauges: tuple[str, ...] = field(default=())

    def __post_init__(self) -> None:
        _check_numbers(self, "")
        _require(self.cores >= 1, "cores", "at least 1", self.cores)
        _require(self.memory_kb > 0, "memory_kb", "more than 0", self.memory_kb)
        _require(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _require(self.run_memory_factor >= 1, "run_memory_factor", "at least 1", self.run_memory_factor)
        _require(self.crowd_per_core >= 1, "crowd_per_core", "at least 1", self.crowd_per_core)
        _require(self.cold_speed <= 1, "cold_speed", "at most 1", self.cold_speed)


# ---- events: what has happened to this server ----


@dataclass(slots=True)
class Request:
    """A request has been read; it is owed one final answer. `ttl_ms` counts from now."""

    id: int
    klass: int
    memory_kb: float = 0.0
    waited_ms: float = 0.0
    ttl_ms: float | None = None
    caller: int = 0
    tenant: int | None = None
    is_retry: bool = False
    is_write: bool = False
    repeats: int | None = None
    rank: float = 0.0
    subject: int | None = None
    cost_hint_ms: float | None = None
    cls: RequestClass | None = None  # its class as it was read, where the settings say otherwise by now


@dataclass(slots=True)
class RunEnded:
    """A run is over, or a request that waited for another's result."""

    id: int
    outcome: Outcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A running request cannot go on without a call below; it waits off the cores."""

    id: int


@dataclass(slots=True)
class CallEnded:
    """A call below has ended; the request is back at its call unless the outcome is ok."""

    id: int
    outcome: Outcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class CallerGone:
    """Nobody waits for this request any longer and no answer is owed."""

    id: int


@dataclass(slots=True)
class DrainNotice:
    """The server is to drain and is stopped after `left_ms`.

    `replaced`: another process of it goes on and takes what is new, so that nobody has to keep away.
    """

    left_ms: float
    replaced: bool = False


@dataclass(slots=True)
class Retune:
    """New settings hold from here on. Requests that were given before keep their class as it was.

    `classes`, `tenants`: for each one of the new settings, its index in the former settings, or -1.
    """

    settings: Settings
    classes: tuple[int, ...]
    tenants: tuple[int, ...] = ()


@dataclass(slots=True)
class Beside:
    """What another process of this server, which it replaces, still takes of the cores and the memory."""

    on_cores: int = 0
    running: int = 0  # calls included
    memory_kb: float = 0.0


@dataclass(slots=True)
class Timer:
    """A timer is due; `gauges` come in the order of `Settings.gauges`."""

    token: int
    gauges: tuple[float, ...] = ()


Event = Union[Request, RunEnded, CallNeeded, CallEnded, CallerGone, DrainNotice, Retune, Beside, Timer]


# ---- actions: what the server is to do ----


@dataclass(slots=True)
class Start:
    """Run a held request, or go on with a suspended one."""

    id: int


@dataclass(slots=True)
class Stop:
    """Stop running work (never sent where halting is off)."""

    id: int


@dataclass(slots=True)
class Reject:
    """Final answer: turned away, with the assurance that it did not run. `final`: do not try elsewhere."""

    id: int
    retry_after_ms: float = 0.0
    final: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error without any assurance."""

    id: int


@dataclass(slots=True)
class Call:
    """Make the call that a request waits for; it is given up after `timeout_ms`."""

    id: int
    timeout_ms: float = 0.0


@dataclass(slots=True)
class SkipCall:
    """Go on without the call."""

    id: int


@dataclass(slots=True)
class Remember:
    """Enter a request in the table of keys, so that its repeats are recognised."""

    id: int
    ttl_ms: float


@dataclass(slots=True)
class Forget:
    """Drop a request's entry from the table of keys."""

    id: int


@dataclass(slots=True)
class ShareResult:
    """Answer a held request with the result of the one that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """What health checks are told; `stored`: from this setting alone, without real work."""

    healthy: bool
    stored: bool = False


@dataclass(slots=True)
class Signal:
    """The value that accompanies every answer; its meaning is `Settings.signal`."""

    value: float


@dataclass(slots=True)
class TrimConnections:
    """Close connections idle for so long."""

    idle_ms: float


@dataclass(slots=True)
class SetTimer:
    """Send a `Timer` event after this time."""

    delay_ms: float
    token: int = 0


@dataclass(slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Union[
    Start,
    Stop,
    Reject,
    Fail,
    Call,
    SkipCall,
    Remember,
    Forget,
    ShareResult,
    SetHealth,
    Signal,
    TrimConnections,
    SetTimer,
    Log,
]
