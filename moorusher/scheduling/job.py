"""State of a request in the scheduler, from its arrival to the end of its run."""

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
    """State of a job. A job that has started never returns to `QUEUED`."""

    QUEUED = auto()
    RUNNING = auto()  # on the cores
    AWAITING_CALL = auto()  # off the cores, before its downstream call is sent
    CALLING = auto()  # off the cores, during its downstream call
    SHARING_RESULT = auto()  # waiting for the result of the request that it repeats


class Job:
    """A request without a final answer, or one whose run still uses resources.

    Names that end in `_at` or `_since` are times in milliseconds of the runner's clock.

    Attributes:
        request: The event with which it arrived.
        tenant: Queue of its tenant.
        class_state: Estimates for its class.
        request_class: Settings of its class on arrival. A reconfiguration does not change them.
        id: Number of the request.
        memory_kb: Memory of the outstanding request.
        sent_at: Time when its caller sent it.
        deadline_at: Time by which it must be answered.
        objective_at: Time until which an answer has its full value, at most `deadline_at`.
        cost_hint_ms: Core time that its caller expects, 0 if not given.
        state: State of the job.
        slot: Number of its slot, or `NO_SLOT`.
        started_at: Time when its run started.
        on_core_since: Time when it last started or resumed on the cores.
        charged_until_ms: Value of the service clock (`Concurrency.service_ms`) up to which it is charged.
        prepaid_ms: Core time that is charged to the tenant but not used yet.
        used_ms: Core time used.
        call_attempts: Number of failed attempts of its current downstream call.
        call_requested_at: Time when it requested its downstream call.
        next_call_at: Earliest time of the next attempt.
        call_sent_at: Time when the current attempt was sent.
        call_charge_ms: Call time charged to the budget for the current attempt.
        has_run: Whether a run was started.
        answered: Whether it needs no further answer.
    """

    __slots__ = (
        "answered",
        "call_attempts",
        "call_charge_ms",
        "call_sent_at",
        "call_requested_at",
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
        # NaN, infinity, and values of 0 or less count as not given.
        self.cost_hint_ms = hint_ms if hint_ms and 0 < hint_ms < NEVER else 0.0
        self.state = JobState.QUEUED
        self.slot = NO_SLOT
        self.started_at = 0.0
        self.on_core_since = 0.0
        self.charged_until_ms = 0.0
        self.prepaid_ms = 0.0
        self.used_ms = 0.0
        self.call_attempts = 0
        self.call_requested_at = 0.0
        self.next_call_at = 0.0
        self.call_sent_at = 0.0
        self.call_charge_ms = 0.0
        self.has_run = False
        self.answered = False
