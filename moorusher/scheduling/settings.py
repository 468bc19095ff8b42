"""What a runner's scheduler is configured with. Times are milliseconds, memory is in KiB.

The names of the settings on the wire and in the platform's file are mapped in `config/scheduler_settings.py`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """Whether a request may run again. The values are printed by `check-config`."""

    IDEMPOTENT = "safe"  # always
    IDEMPOTENT_WITH_KEY = "keyed"  # its idempotency key lets it run once within a window
    NOT_IDEMPOTENT = "unsafe"  # only after a proof that it never ran


class Preemption(Enum):
    """What stopping running work does."""

    OFF = "off"  # nothing: work cannot be stopped
    DISCARD = "discard"  # its progress is lost
    FREEZE = "freeze"  # it is suspended


class SignalKind(Enum):
    """What callers make of the value that accompanies every answer (`Signal`)."""

    OFF = "off"
    FLOOR = "floor"  # the least rank of requests that they send
    ALLOWANCE = "allowance"  # the most requests that each may have outstanding
    WEIGHT = "weight"  # the probability of sending a request here


class Downstream(Enum):
    """What requests may call while they run."""

    OFF = "off"
    SHARED = "shared"  # one dependency that all runners share
    TIER = "tier"  # a further tier of runners


def _require(ok: bool, name: str, expected: str, got: object) -> None:
    if not ok:
        raise ValueError(f"setting {name}: expected {expected}, got {got!r}")


def _check_types(owner: object, prefix: str) -> None:
    """Every number of a settings object is finite and not negative, and every enum is the enum."""
    for one in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, one.name)
        name = f"{prefix}{one.name}"
        if one.type in ("float", "int"):
            number = isinstance(value, (int, float)) and not isinstance(value, bool)
            _require(number and math.isfinite(value) and value >= 0, name, "a number of at least 0", value)
            _require(one.type != "int" or isinstance(value, int), name, "a whole number", value)
        elif one.type == "bool":
            _require(isinstance(value, bool), name, "true or false", value)
        elif one.type == "str":
            _require(isinstance(value, str), name, "a text", value)
        elif one.type in _ENUMS:
            _require(isinstance(value, _ENUMS[one.type]), name, f"a member of {one.type}", value)


_ENUMS: dict[str, type[Enum]] = {
    "Effect": Effect,
    "Preemption": Preemption,
    "SignalKind": SignalKind,
    "Downstream": Downstream,
}


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_ms: time from sending within which an answer has its full value.
        deadline_ms: time from sending within which an answer must be given; at least the objective.
        name: of the class.
        priority_weight: value of an answer in time, relative to other classes.
        late_value_fraction: of that value, what an answer after the objective still has.
        objective_ms_per_cost_ms: what the objective grows by for each millisecond of core time.
        effect: whether a request of the class may run again.
        idempotency_window_ms: time from sending within which repeats of a key share one run.
        may_call: whether it may make a downstream call.
        value_fraction_without_call: of the value, what an answer without the downstream call has; 0 where
            the call is required.

    Raises:
        ValueError: a value of another type or outside its bounds.
    """

    latency_objective_ms: float
    deadline_ms: float
    name: str = ""
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    objective_ms_per_cost_ms: float = 0.0
    effect: Effect = Effect.IDEMPOTENT
    idempotency_window_ms: float = 0.0
    may_call: bool = False
    value_fraction_without_call: float = 0.0

    def __post_init__(self) -> None:
        _check_types(self, "classes[].")
        objective_ms = self.latency_objective_ms
        _require(objective_ms > 0, "classes[].latency_objective_ms", "more than 0", objective_ms)
        _require(
            self.deadline_ms >= objective_ms,
            "classes[].deadline_ms",
            "at least latency_objective_ms",
            self.deadline_ms,
        )


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant.

    Attributes:
        quota_share: its part of the service, relative to other tenants.
        name: of the tenant.
        quota_per_s: requests a second, over all runners, that are within its quota.

    Raises:
        ValueError: a value of another type or negative.
    """

    quota_share: float
    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check_types(self, "tenants[].")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a runner knows when it starts. Only cores, memory and classes are required.

    Attributes:
        cores: of the machine.
        memory_kb: memory for requests and keys.
        classes: of requests; `Request.class_index` counts in them.
        seed: of the process; the scheduler is deterministic and does not use it.
        tenants: empty where callers stand for tenants.
        run_memory_factor: memory of a run, as a multiple of the queued request's.
        key_entry_kb: memory of an entry in the table of idempotency keys.
        answer_slack_ms: time after a deadline within which an answer still counts as given by it.
        drain_grace_ms: time after a drain notice within which callers may still send.
        survivable_runs_per_core: runs for each core that the machine survives when it is warm.
        overload_window_ms: time for which it survives more.
        warming_up: whether the machine has just started.
        warm_up_initial_speed: speed of a machine that has just started, as a part of its later speed.
        warm_up_ms: time until it has its full speed.
        preemption: what stopping running work does.
        signal: what callers make of `Signal`.
        signal_ttl_ms: time for which callers heed a signal.
        callers: number of callers.
        peers: number of runners.
        downstream: what requests may call.
        call_quota: downstream calls at once, in the mean, that are this runner's part.
        call_quota_window_ms: time over which that mean is taken.
        abandoned_call_ms: time for which a call that was given up still takes the dependency's capacity.
        answer_cache_ms: time for which an answer may be given to equal requests.
        deep_checks: whether health checks may do real work.
        discovery_follows_health: whether service discovery drops a runner whose health checks fail.
        propagates_deadline: whether callers pass their deadline on: a `ttl_ms` of 0 is then no absent one.
        reports_disconnects: whether the runner hears of callers that go away.
        retries_marked: whether callers mark retries.
        max_idle_connection_ms: time for which idle connections stay open at most.
        max_retry_after_ms: longest pause that a rejection may ask for.
        over_quota_weight: value of requests over a tenant's quota, relative to those within it.
        gauges: names of the gauges that come with each `Timer`, in their order.

    Raises:
        ValueError: a value of another type or outside its bounds.
    """

    cores: int
    memory_kb: float
    classes: tuple[RequestClass, ...]
    seed: int = 0
    tenants: tuple[Tenant, ...] = ()
    run_memory_factor: float = 1.0
    key_entry_kb: float = 0.0
    answer_slack_ms: float = 50.0
    drain_grace_ms: float = 1000.0
    survivable_runs_per_core: float = 3.0
    overload_window_ms: float = 2000.0
    warming_up: bool = False
    warm_up_initial_speed: float = 1.0
    warm_up_ms: float = 0.0
    preemption: Preemption = Preemption.OFF
    signal: SignalKind = SignalKind.OFF
    signal_ttl_ms: float = 1000.0
    callers: int = 1
    peers: int = 1
    downstream: Downstream = Downstream.OFF
    call_quota: float = 0.0
    call_quota_window_ms: float = 5000.0
    abandoned_call_ms: float = 0.0
    answer_cache_ms: float = 0.0
    deep_checks: bool = False
    discovery_follows_health: bool = False
    propagates_deadline: bool = False
    reports_disconnects: bool = False
    retries_marked: bool = False
    max_idle_connection_ms: float = 0.0
    max_retry_after_ms: float = 0.0
    over_quota_weight: float = 1.0
    gauges: tuple[str, ...] = field(default=())

    def __post_init__(self) -> None:
        _check_types(self, "")
        _require(self.cores >= 1, "cores", "at least 1", self.cores)
        _require(self.memory_kb > 0, "memory_kb", "more than 0", self.memory_kb)
        _require(len(self.classes) > 0, "classes", "at least one class", self.classes)
        _require(self.run_memory_factor >= 1, "run_memory_factor", "at least 1", self.run_memory_factor)
        runs = self.survivable_runs_per_core
        _require(runs >= 1, "survivable_runs_per_core", "at least 1", runs)
        speed = self.warm_up_initial_speed
        _require(speed <= 1, "warm_up_initial_speed", "at most 1", speed)
