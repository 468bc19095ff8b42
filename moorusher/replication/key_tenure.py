"""The state that a runner has of an idempotency key if it owns the key's work or waits for the result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .proposer import CarriedPromise
from .work_record import KeyDigest, Owner, WorkRequest, WorkState


class TenureStage(Enum):
    """A runner's stage in the lifecycle of a key's work. `GET /fleet/work` returns the values."""

    CLAIMING = "claiming"
    QUEUED = "held"
    STARTING = "beginning"
    STARTED = "begun"
    FINISHING = "over, and its register not yet"
    OWNED_ELSEWHERE = "another has it"


@dataclass(slots=True, eq=False)
class Tenure:
    """A runner's state of one idempotency key.

    Attributes:
        key: Digest of tenant and idempotency key.
        body_digest: Digest of the body of the request that this runner received.
        request: Request that another runner can take over, or None if that is no longer allowed.
        expires_at: Time (us) at which the key expires.
        stage: Stage of the work at this runner.
        attempt: Attempt in the register, as last read.
        owner: Owner if another runner owns the work, else None.
        state: State in the register, as last read.
        promise: Promise for this runner's next change of the register, or None.
        watch_serial: Number of the current watch; timers of earlier watches do nothing.
        waiting_seats: Seats that wait for this runner's result.
        busy: Whether a step is in progress; see `run_step`.
        taken_over: Whether this runner took the work over from another one.
        result: Result of this runner's run while it is being written to the register, or None.
    """

    key: KeyDigest
    body_digest: int
    request: WorkRequest | None
    expires_at: int
    stage: TenureStage
    attempt: int = 0
    owner: Owner | None = None
    state: WorkState = WorkState.QUEUED
    promise: CarriedPromise | None = None
    watch_serial: int = 0
    waiting_seats: set[str] = field(default_factory=set)
    _steps: list[Callable[[], None]] = field(default_factory=list)
    busy: bool = False
    taken_over: bool = False
    result: bytes | None = None

    @property
    def is_queued(self) -> bool:
        """Whether this runner owns the work and has not started it."""
        return self.stage is TenureStage.QUEUED

    def consume_promise(self) -> CarriedPromise | None:
        """Return the promise for the next change and clear it, as it is valid for one change only."""
        promise = self.promise
        self.promise = None
        return promise

    def run_step(self, step: Callable[[], None]) -> None:
        """Run a step, after all earlier steps of the key. Each step must end with `finish_step`."""
        if self.busy:
            self._steps.append(step)
        else:
            self.busy = True
            step()

    def finish_step(self) -> None:
        """Record that the current step has ended, and run the next one."""
        if self._steps:
            self._steps.pop(0)()
        else:
            self.busy = False
