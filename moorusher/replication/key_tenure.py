"""What one runner knows of a key that it has to do with, as its owner or as one that waits for its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from .proposer import CarriedPromise
from .work_record import KeyDigest, Owner, WorkRequest, WorkState


class TenureStage(Enum):
    """How far one runner has come with a key. The values are told by `GET /fleet/work`."""

    CLAIMING = "claiming"
    HELD = "held"
    STARTING = "beginning"
    STARTED = "begun"
    FINISHING = "over, and its register not yet"
    OWNED_ELSEWHERE = "another has it"


@dataclass(slots=True, eq=False)
class Tenure:
    """A key that this runner has something to do with.

    Attributes:
        key: `bytes`.
        body_digest: `int`, of the request that came here.
        request: `WorkRequest`, or None once nobody may take it over.
        expires_at: `int`, us; the key does not count any more from then on.
        stage: `TenureStage`.
        attempt: `int`, of the register, as last read.
        owner: `Owner` where another runner has the work, else None.
        state: `WorkState` of the register, as last read.
        promise: `CarriedPromise` for this runner's next change of the register, or None.
        watch_serial: `int`; an answer or an alarm that belongs to an earlier watch counts for nothing.
        waiting_seats: seats that wait for this runner's result.
        busy: `bool`, a step is under way; see `run_step`.
        taken_over: `bool`, the work was another runner's.
        result: `bytes`, of this runner's run, while it is being written to the register.
    """

    key: KeyDigest
    body_digest: int
    request: WorkRequest | None
    expires_at: int
    stage: TenureStage
    attempt: int = 0
    owner: Owner | None = None
    state: WorkState = WorkState.HELD
    promise: CarriedPromise | None = None
    watch_serial: int = 0
    waiting_seats: set[str] = field(default_factory=set)
    _steps: list[Callable[[], None]] = field(default_factory=list)
    busy: bool = False
    taken_over: bool = False
    result: bytes | None = None

    @property
    def is_held(self) -> bool:
        """Its register says that this runner holds it."""
        return self.stage is TenureStage.HELD

    def take_promise(self) -> CarriedPromise | None:
        """The promise for the next change; it serves one change only."""
        promise = self.promise
        self.promise = None
        return promise

    def run_step(self, step: Callable[[], None]) -> None:
        """Runs steps on the key one after the other; each must end with `finish_step`."""
        if self.busy:
            self._steps.append(step)
        else:
            self.busy = True
            step()

    def finish_step(self) -> None:
        """The step under way is over."""
        if self._steps:
            self._steps.pop(0)()
        else:
            self.busy = False
