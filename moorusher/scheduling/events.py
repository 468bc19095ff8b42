"""Events that a runner passes to `Scheduler.step`. Times are milliseconds, memory is in KiB."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from moorusher.scheduling.settings import RequestClass, Settings


class ExecutionOutcome(Enum):
    """How a run or a downstream call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected before the start
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    NOT_AWAITED = "moot"  # never started, because nobody waits for the result

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that no work was started."""
        return self in (ExecutionOutcome.FULL, ExecutionOutcome.CONNECT_FAILED, ExecutionOutcome.NOT_AWAITED)


@dataclass(slots=True)
class Request:
    """A new request, which must get exactly one final answer.

    Attributes:
        id: Number of the request, unique among outstanding requests.
        class_index: Index of its class in the settings. -1 if they no longer have the class; then
            `request_class` is set.
        memory_kb: Memory of the outstanding request. A run takes more (`Settings.run_memory_factor`).
        waited_ms: Time since its caller sent it.
        ttl_ms: Time from now for which its caller waits, or None if not stated.
        caller: Number of the caller.
        tenant: Number of the tenant in the settings, or None if not named.
        is_retry: Whether it is marked as a retry.
        is_write: Whether it is marked as a write.
        repeat_of: Number of an earlier request with the same idempotency key and body, or None.
        rank: Rank by which callers select the requests that they send (`SignalKind.FLOOR`).
        subject: Number of the object that the request is about, or None.
        cost_hint_ms: Core time that its caller expects, or None.
        request_class: Its class when it was read, if the settings have changed since then.
    """

    id: int
    class_index: int
    memory_kb: float = 0.0
    waited_ms: float = 0.0
    ttl_ms: float | None = None
    caller: int = 0
    tenant: int | None = None
    is_retry: bool = False
    is_write: bool = False
    repeat_of: int | None = None
    rank: float = 0.0
    subject: int | None = None
    cost_hint_ms: float | None = None
    request_class: RequestClass | None = None


@dataclass(slots=True)
class RunEnded:
    """A run has ended, or a request that shares another request's result has been answered."""

    id: int
    outcome: ExecutionOutcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A running request needs a downstream call and waits for its end without occupying a core."""

    id: int


@dataclass(slots=True)
class CallEnded:
    """A downstream call has ended.

    If the outcome is OK, its request resumes. Otherwise the call is retried or skipped, or the request fails.
    """

    id: int
    outcome: ExecutionOutcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class RequestAbandoned:
    """The caller no longer waits for this request, and no answer is needed."""

    id: int


@dataclass(slots=True)
class DrainNotice:
    """The runner must drain and is stopped later.

    Attributes:
        remaining_ms: Time until the stop.
        replaced: Whether another process of this runner receives new requests, so that callers may go on
            sending.
    """

    remaining_ms: float
    replaced: bool = False


@dataclass(slots=True)
class Reconfiguration:
    """New settings apply from now on. Earlier requests keep the class settings with which they arrived.

    Attributes:
        settings: The new settings.
        former_classes: For each class of the new settings, its index in the former settings, or -1.
        former_tenants: For each tenant of the new settings, its index in the former settings, or -1.
    """

    settings: Settings
    former_classes: tuple[int, ...]
    former_tenants: tuple[int, ...] = ()


@dataclass(slots=True)
class PredecessorLoad:
    """Resources that the predecessor, the process replaced by this one, still uses.

    Attributes:
        on_cores: Number of its runs on the cores.
        running: Number of all its runs, including those at a downstream call.
        memory_kb: Memory that it has reserved.
    """

    on_cores: int = 0
    running: int = 0
    memory_kb: float = 0.0


@dataclass(slots=True)
class Timer:
    """A timer has fired. `gauges` has the values of `Settings.gauges`, in their order."""

    token: int
    gauges: tuple[float, ...] = ()


Event = Union[
    Request,
    RunEnded,
    CallNeeded,
    CallEnded,
    RequestAbandoned,
    DrainNotice,
    Reconfiguration,
    PredecessorLoad,
    Timer,
]
