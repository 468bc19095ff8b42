"""A queue of steps that run one at a time, as the changes of one register must."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .effects import Outcome, OutcomeCallback


@dataclass(frozen=True, slots=True)
class Step:
    """An asynchronous step.

    Attributes:
        run: Starts the step, which ends with a call of `SerialQueue.complete`.
        callback: Receives the outcome.
    """

    run: Callable[[], None]
    callback: OutcomeCallback


def ignore_outcome(outcome: Outcome) -> None:
    """Ignore the outcome of a step."""


class SerialQueue:
    """Runs one step at a time.

    Attributes:
        is_blocked: Whether a step is running or the owner of the queue has blocked it.
    """

    def __init__(self, on_idle: Callable[[], None]) -> None:
        self.is_blocked = False
        # Called when the next step could start but the queue is empty.
        self._on_idle = on_idle
        self._steps: deque[Step] = deque()
        self._is_closed = False

    def __len__(self) -> int:
        """Return the number of running and queued steps."""
        return len(self._steps)

    def add(self, run: Callable[[], None], callback: OutcomeCallback) -> None:
        """Append a step, and start it if none is running."""
        self._steps.append(Step(run, callback))
        self.start_next()

    def start_next(self) -> None:
        """Start the first step unless one is running."""
        if self.is_blocked or self._is_closed:
            return
        if self._steps:
            self.is_blocked = True
            self._steps[0].run()
        else:
            self._on_idle()

    def complete(self) -> Step:
        """Remove and return the running step; `start_next` then starts the next one."""
        self.is_blocked = False
        return self._steps.popleft()

    def close(self) -> list[Step]:
        """Prevent further steps from starting, and return the unfinished steps."""
        self._is_closed = True
        steps = list(self._steps)
        self._steps.clear()
        return steps
