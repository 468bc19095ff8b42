"""Settings of a runner's scheduler. Times are milliseconds, memory is in KiB.

`config/scheduler_settings.py` maps their names on the wire and in the platform's file.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields
from enum import Enum


class Effect(Enum):
    """Whether a request may run more than once. `check-config` prints the values."""

    IDEMPOTENT = "safe"  # may always run again
    IDEMPOTENT_WITH_KEY = "keyed"  # runs once within a window, ensured by its idempotency key
    NOT_IDEMPOTENT = "unsafe"  # may run again only after proof that it never ran


class Preemption(Enum):
    """Effect of stopping a run."""

    OFF = "off"  # runs cannot be stopped
    DISCARD = "discard"  # the run ends and its progress is lost
    FREEZE = "freeze"  # the run is suspended


class SignalKind(Enum):
    """Meaning for callers of the value that is sent along with every answer (`Signal`)."""

    OFF = "off"
    FLOOR = "floor"  # lowest rank of the requests that callers send
    ALLOWANCE = "allowance"  # maximum number of outstanding requests of each caller
    WEIGHT = "weight"  # probability with which callers send a request to this runner


class Downstream(Enum):
    """Target of the downstream calls of running requests."""

    OFF = "off"
    SHARED = "shared"  # one dependency that all runners share
    TIER = "tier"  # another tier of runners


def _require(is_valid: bool, name: str, expected: str, got: object) -> None:
    if not is_valid:
        raise ValueError(f"setting {name}: expected {expected}, got {got!r}")


def _check_types(owner: object, prefix: str) -> None:
    """Check the type of every field, and that numbers are finite and not negative.

    :param owner: A settings object, which is a dataclass.
    :param prefix: Text before the name of the field in an error message.
    :raises ValueError: If a field has a wrong type or value.
    """
    for setting in fields(owner):  # type: ignore[arg-type]
        value = getattr(owner, setting.name)
        name = f"{prefix}{setting.name}"
        if setting.type in ("float", "int"):
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
            _require(is_number and math.isfinite(value) and value >= 0, name, "a number of at least 0", value)
            _require(setting.type != "int" or isinstance(value, int), name, "a whole number", value)
        elif setting.type == "bool":
            _require(isinstance(value, bool), name, "true or false", value)
        elif setting.type == "str":
            _require(isinstance(value, str), name, "a text", value)
        elif setting.type in _ENUMS:
            _require(isinstance(value, _ENUMS[setting.type]), name, f"a member of {setting.type}", value)


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
        latency_objective_ms: Time from sending within which an answer has its full value.
        deadline_ms: Time from sending within which an answer must be given, at least the objective.
        name: Name of the class.
        priority_weight: Value of an answer in time, relative to other classes.
        late_value_fraction: Share of that value that an answer after the objective has.
        objective_ms_per_cost_ms: Addition to the objective for each millisecond of core time.
        effect: Whether a request of the class may run again.
        idempotency_window_ms: Time from sending within which requests with equal keys share one run.
        may_call: Whether requests of the class may make downstream calls.
        value_fraction_without_call: Share of the value that an answer without the downstream call has. 0 if
            the call is required.

    :raises ValueError: If a value has a wrong type or is out of range.
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
        quota_share: Its share of the service, relative to other tenants.
        name: Name of the tenant.
        quota_per_s: Its quota in requests per second, over all runners.

    :raises ValueError: If a value has a wrong type or is negative.
    """

    quota_share: float
    name: str = ""
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check_types(self, "tenants[].")


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of a runner. Only cores, memory and classes are required.

    Attributes:
        cores: Number of cores of the machine.
        memory_kb: Memory for requests and keys.
        classes: Request classes. `Request.class_index` is an index of them.
        seed: Random seed of the process. The scheduler is deterministic and does not use it.
        tenants: Tenants. If empty, each caller is treated as a tenant.
        run_memory_factor: Memory of a run, as a multiple of the memory of the queued request.
        key_entry_kb: Memory of an entry in the table of idempotency keys.
        answer_slack_ms: Time after a deadline within which an answer still counts as in time.
        drain_grace_ms: Time after a drain notice within which callers may still send requests.
        survivable_runs_per_core: Number of concurrent runs per core that the machine can sustain after the
            warm-up without failing.
        overload_window_ms: Time for which the machine can run more than that without failing.
        warming_up: Whether the machine has just started.
        warm_up_initial_speed: Speed of a machine that has just started, as a share of its full speed.
        warm_up_ms: Time until the machine has its full speed.
        preemption: Effect of stopping a run.
        signal: Meaning of `Signal` for callers.
        signal_ttl_ms: Time for which callers apply a signal.
        callers: Number of callers.
        peers: Number of runners.
        downstream: Target of downstream calls.
        call_quota: Mean number of concurrent downstream calls that this runner may make.
        call_quota_window_ms: Time over which that mean is computed.
        abandoned_call_ms: Time for which the dependency still works on an abandoned call.
        answer_cache_ms: Time for which an answer may be reused for equal requests.
        deep_checks: Whether health checks may do real work.
        discovery_follows_health: Whether service discovery removes a runner whose health checks fail.
        propagates_deadline: Whether callers propagate their deadline. If so, a `ttl_ms` of 0 is a stated
            wait.
        reports_disconnects: Whether the runner is notified when callers disconnect.
        retries_marked: Whether callers mark retries.
        max_idle_connection_ms: Longest time for which idle connections remain open.
        max_retry_after_ms: Longest Retry-After of a rejection.
        over_quota_weight: Value of requests over a tenant's quota, relative to requests within it.
        gauges: Names of the gauges in each `Timer`, in their order.

    :raises ValueError: If a value has a wrong type or is out of range.
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
