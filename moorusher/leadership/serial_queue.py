"""Steps of one lease holder that run one after the other, as the changes of one register must."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .effects import Outcome, OutcomeCallback


@dataclass(frozen=True, slots=True)
class Step:
    """`run` starts the step; whoever ends it calls `SerialQueue.complete`. `callback` gets its outcome."""

    run: Callable[[], None]
    callback: OutcomeCallback


def ignore_outcome(outcome: Outcome) -> None:
    """The callback of a step whose outcome nobody waits for."""


class SerialQueue:
    """Runs one step at a time.

    is_blocked: bool, a step is running, or the owner of the queue lets none start.
    """

    def __init__(self, on_idle: Callable[[], None]) -> None:
        """`on_idle`: called whenever a step could start and none waits."""
        self.is_blocked = False
        self._on_idle = on_idle
        self._steps: deque[Step] = deque()
        self._is_closed = False

    def __len__(self) -> int:
        """Steps that run or wait."""
        return len(self._steps)

    def add(self, run: Callable[[], None], callback: OutcomeCallback) -> None:
        """Append a step, and start it if none runs."""
        self._steps.append(Step(run, callback))
        self.start_next()

    def start_next(self) -> None:
        """Start the first step, unless one runs."""
        if self.is_blocked or self._is_closed:
            return
        if self._steps:
            self.is_blocked = True
            self._steps[0].run()
        else:
            self._on_idle()

    def complete(self) -> Step:
        """Take the running step off. The next one starts with `start_next`."""
        self.is_blocked = False
        return self._steps.popleft()

    def close(self) -> list[Step]:
        """Start nothing any more. Returns the steps that had not ended."""
        self._is_closed = True
        steps = list(self._steps)
        self._steps.clear()
        return steps
