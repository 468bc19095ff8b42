"""What has happened to a runner: the events of `Scheduler.step`. Times are milliseconds, memory is in KiB."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from moorusher.scheduling.settings import RequestClass, Settings


class ExecutionOutcome(Enum):
    """How a run or a downstream call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected before it started
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"
    NOT_AWAITED = "moot"  # never started, since nobody waits for it

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that no work was started."""
        return self in (ExecutionOutcome.FULL, ExecutionOutcome.CONNECT_FAILED, ExecutionOutcome.NOT_AWAITED)


@dataclass(slots=True)
class Request:
    """A request has been read; it is owed one final answer.

    Attributes:
        id: number of the request, unique among outstanding ones.
        class_index: its class in the settings, or -1 with `request_class` where it is not there any more.
        memory_kb: what it takes while it is outstanding; a run takes more (`Settings.run_memory_factor`).
        waited_ms: time since its caller sent it.
        ttl_ms: time from now for which its caller waits, if stated.
        caller: number of the caller.
        tenant: number of the tenant in the settings, if named.
        is_retry: marked as a retry.
        is_write: marked as a write.
        repeat_of: the request that was read with the same idempotency key and body before.
        rank: by which callers select what they send (`SignalKind.FLOOR`).
        subject: what it is about.
        cost_hint_ms: core time that its caller expects.
        request_class: its class as it was read, where the settings say otherwise by now.
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
    """A run is over, or a request that waited for another's result."""

    id: int
    outcome: ExecutionOutcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A running request cannot go on without a downstream call; it waits off the cores."""

    id: int


@dataclass(slots=True)
class CallEnded:
    """A downstream call has ended; the request is back at its call unless the outcome is ok."""

    id: int
    outcome: ExecutionOutcome
    latency_ms: float = 0.0


@dataclass(slots=True)
class RequestAbandoned:
    """Nobody waits for this request any longer and no answer is owed."""

    id: int


@dataclass(slots=True)
class DrainNotice:
    """The runner is to drain, and is stopped after `remaining_ms`.

    `replaced`: another process of it goes on and takes what is new, so that nobody has to keep away.
    """

    remaining_ms: float
    replaced: bool = False


@dataclass(slots=True)
class Reconfiguration:
    """New settings hold from here on. Requests that were given before keep their class as it was.

    `former_classes`, `former_tenants`: for each one of the new settings, its index in the former, or -1.
    """

    settings: Settings
    former_classes: tuple[int, ...]
    former_tenants: tuple[int, ...] = ()


@dataclass(slots=True)
class PredecessorLoad:
    """What another process of this runner, which this one replaces, still takes.

    `on_cores`: its runs on the cores. `running`: all its runs, those at a downstream call included.
    """

    on_cores: int = 0
    running: int = 0
    memory_kb: float = 0.0


@dataclass(slots=True)
class Timer:
    """A timer is due; `gauges` come in the order of `Settings.gauges`."""

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
