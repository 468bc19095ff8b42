"""A request inside the scheduler, from its arrival to the end of its run."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from moorusher.scheduling.interface import Request, RequestClass
from moorusher.scheduling.timing import NEVER

if TYPE_CHECKING:
    from moorusher.scheduling.fair_queue import TenantQueue
    from moorusher.scheduling.service_time import ClassState

NO_SLOT = -1


class JobState(Enum):
    """Where a job stands. A job that has started never returns to `QUEUED`."""

    QUEUED = auto()
    RUNNING = auto()  # on the cores
    AWAITING_CALL = auto()  # off the cores, its downstream call is not out
    CALLING = auto()  # off the cores, its downstream call is out
    SHARING_RESULT = auto()  # a repeat that waits for the result of the request that it repeats


class Job:
    """A request that is owed an answer, or whose work still takes capacity.

    Names that end in `_at` or `_since` are times in milliseconds of the runner's clock.

    Attributes:
        request: the event that brought it.
        tenant: the queue of its tenant.
        class_state: what is learnt of its class.
        request_class: its class as it was when the request was read; a reconfiguration does not change it.
        id: number of the request.
        memory_kb: memory that it takes while it is outstanding.
        sent_at: when its caller sent it.
        deadline_at: when it must have been answered.
        objective_at: when its latency objective passes; at most `deadline_at`.
        cost_hint_ms: core time that its caller expects, 0 if none was given.
        state: see `JobState`.
        slot: number of the slot that it runs in, `NO_SLOT` without one.
        started_at: when its run began.
        on_core_since: when it took a core last.
        charged_until_ms: the service clock (`Concurrency.service_ms`) up to which it is charged.
        prepaid_ms: core time that is charged to the tenant but not used yet.
        used_ms: core time used.
        call_attempts: failed attempts of its present downstream call.
        call_wanted_at: when it came to need its downstream call.
        next_call_at: when the next attempt may go out.
        call_sent_at: when the present attempt went out.
        call_charge_ms: what the present attempt was charged against the call budget.
        has_run: whether a run was started.
        answered: whether no answer is owed any more.
    """

    __slots__ = (
        "answered",
        "call_attempts",
        "call_charge_ms",
        "call_sent_at",
        "call_wanted_at",
        "charged_until_ms",
        "class_state",
        "cost_hint_ms",
        "deadline_at",
        "has_run",
        "id",
        "memory_kb",
        "next_call_at",
        "objective_at",
        "on_core_since",
        "prepaid_ms",
        "request",
        "request_class",
        "sent_at",
        "slot",
        "started_at",
        "state",
        "tenant",
        "used_ms",
    )

    def __init__(self, request: Request, tenant: TenantQueue, class_state: ClassState, now: float) -> None:
        self.request = request
        self.tenant = tenant
        self.class_state = class_state
        self.request_class: RequestClass = request.request_class or class_state.request_class
        self.id = request.id
        self.memory_kb = request.memory_kb
        self.sent_at = now - request.waited_ms
        self.deadline_at = max(now, self.sent_at + self.request_class.deadline_ms)
        self.objective_at = self.deadline_at
        hint_ms = request.cost_hint_ms
        # A hint that is no number, or a hint of nothing, counts as not given.
        self.cost_hint_ms = hint_ms if hint_ms and 0 < hint_ms < NEVER else 0.0
        self.state = JobState.QUEUED
        self.slot = NO_SLOT
        self.started_at = 0.0
        self.on_core_since = 0.0
        self.charged_until_ms = 0.0
        self.prepaid_ms = 0.0
        self.used_ms = 0.0
        self.call_attempts = 0
        self.call_wanted_at = 0.0
        self.next_call_at = 0.0
        self.call_sent_at = 0.0
        self.call_charge_ms = 0.0
        self.has_run = False
        self.answered = False
