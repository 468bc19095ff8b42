"""What one runner knows of a key that it has to do with, and what its part in the fleet asks of the runner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from .proposer import CarriedPromise
from .work_record import Key, Owner, WorkRequest, WorkState


class TenureStage(Enum):
    """How far one runner has come with a key."""

    CLAIMING = "claiming"
    HELD = "held"
    STARTING = "beginning"
    STARTED = "begun"
    FINISHING = "over, and its register not yet"
    OWNED_ELSEWHERE = "another has it"


@dataclass(slots=True, eq=False)
class Tenure:
    """A key that this runner has something to do with."""

    key: Key
    body_digest: int
    request: WorkRequest | None
    expires_at: int
    stage: TenureStage
    attempt: int = 0
    owner: Owner | None = None  # where another has it
    state: WorkState = WorkState.HELD  # of the register, as last read
    promise: CarriedPromise | None = None
    watch_serial: int = (
        0  # serial of the watch: an answer or a delay that belongs to an older one counts for nothing
    )
    alive: bool = False  # the owner has answered since
    waiting_seats: set[str] = field(default_factory=set)
    _steps: list[Callable[[], None]] = field(default_factory=list)
    busy: bool = False
    taken_over: bool = False  # it was another's
    result: bytes | None = None

    @property
    def is_held(self) -> bool:
        """Its register says that this runner holds it."""
        return self.stage is TenureStage.HELD

    def run_step(self, step: Callable[[], None]) -> None:
        """One step after the other on each key; each ends with `next_step`."""
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


class NodeHost(Protocol):
    """The runner, as its part in the fleet sees it."""

    def send(self, seat: str, message: Any) -> None: ...
    def reply(self, seat: str, message: Any) -> None: ...  # to the process whose message is being heard
    def random(self) -> float: ...
    def clock(self) -> int: ...
    def wake(self, when: int) -> None: ...  # call `ring` then
    def count(self, name: str) -> None: ...

    # Before a vote counts for anybody: `then` once all that this keeper has changed so far is on its disk; at once
    # where it has none; never where the disk fails.
    def durable(self, then: Callable[[], None], space: int) -> None: ...
    def replier(self, seat: str) -> Callable[[Any], None]: ...  # `reply`, for later

    # What becomes of a key that was claimed.
    def mine(self, key: Key) -> None: ...
    def theirs(self, key: Key) -> None: ...
    def differs(self, key: Key) -> None: ...
    def uncovered(self, key: Key, why: str, proven: bool) -> None: ...  # that nobody else knows of it
    def over(self, key: Key, result: bytes | None) -> None: ...  # of another's run

    def none_ran(self, key: Key) -> None: ...  # another's work, that nobody goes on with

    # What becomes of a run that is to begin.
    def begun(self, key: Key) -> None: ...
    def lost(self, key: Key) -> None: ...  # another has it; `over` follows
    def not_begun(self, key: Key, why: str) -> None: ...

    def given(self, key: Key) -> None: ...  # held work was handed over; `over` follows
    def take_up(self, key: Key, body: int, order: WorkRequest, until: int) -> bool: ...
    def has(self, key: Key) -> tuple[bool, bool, bytes | None]: ...  # in hand, over, its result
    def fit(self) -> bool: ...  # to take work over
    def forgot(self, key: Key) -> None: ...  # nothing more is said of it
