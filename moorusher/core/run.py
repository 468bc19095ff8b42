"""Runs in the kernel: what was asked for, what the kernel is known to have read, what to say again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .clock import Clock
from .requests import Request
from .watch import Watch


class Kernel(Protocol):
    """A link to the kernel. It may drop what it is given while it is down: `Runs.say_again` makes up for it."""

    def run(self, rid: str, route: str, body: bytes) -> None: ...
    def stop(self, rid: str) -> None: ...
    def call_done(self, rid: str, body: bytes) -> None: ...
    def call_left_out(self, rid: str, notice: int) -> None: ...
    def ask_gauges(self) -> None: ...


@dataclass(slots=True, eq=False)
class Run:
    """A request that the kernel was told to run, and what was said about it."""

    request: Request
    route: str
    known: bool = False  # the kernel has told something of it, so it has read the command
    stopped: bool = False
    notice: int = 0  # of the call that it waits for; 0 where it waits for none
    calls: int = 0  # calls that it has asked for, this one included
    call: bytes = b""
    told: tuple[int, bytes | None] | None = (
        None  # last notice answered, with the reply or None for 'left out'
    )
    told_at: int = 0
    began: int = 0  # us
    away: int = 0  # us, at calls
    left: int = 0  # when it went to the call that it waits for

    def core_us(self, now: int, cores: int, sharing: int) -> int:
        """About what it took of a core, where `sharing` runs share the cores at its end."""
        wall = now - self.began - self.away - (now - self.left if self.notice else 0)
        return max(0, round(wall * min(1.0, cores / max(1, sharing))))


class Runs:
    """All runs that are not over, and the commands to the kernel for them."""

    def __init__(self, kernel: Kernel, clock: Clock) -> None:
        self._kernel, self._clock = kernel, clock
        self._runs: dict[int, Run] = {}
        self.at_calls = 0  # of them
        self.watch = Watch()

    @property
    def on_cores(self) -> int:
        return len(self._runs) - self.at_calls

    def _crowd(self) -> None:
        self.watch.crowd_is(self._clock.now, self.on_cores)

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, number: int) -> Run | None:
        return self._runs.get(number)

    def start(self, request: Request) -> None:
        run = self._runs[request.number] = Run(request, request.cls.name, began=self._clock.now)
        self._kernel.run(request.rid, run.route, request.body)
        self._crowd()

    def stop(self, number: int) -> None:
        if (run := self._runs.get(number)) is not None and not run.stopped:
            run.stopped = True
            self._kernel.stop(run.request.rid)

    def needs_call(self, number: int, notice: int, body: bytes) -> bool:
        """False where that notice was read before."""
        run = self._runs.get(number)
        if run is None or notice <= run.notice or (run.told is not None and notice <= run.told[0]):
            return False
        if not run.notice:
            self.at_calls += 1
            run.left = self._clock.now
        run.known, run.notice, run.call, run.told = True, notice, body, None
        run.calls += 1
        self._crowd()
        return True

    def go_on(self, number: int, reply: bytes | None) -> None:
        """With the reply to its call, or without the call."""
        run = self._runs.get(number)
        if run is None or not run.notice:
            return  # it waits for no call: the kernel would take this for a fault
        run.told, run.notice, run.call = (run.notice, reply), 0, b""
        run.told_at = self._clock.now
        run.away += self._clock.now - run.left
        self.at_calls -= 1
        self._crowd()
        self._tell(run)

    def _tell(self, run: Run) -> None:
        if run.told is None:
            return
        notice, reply = run.told
        if reply is None:
            self._kernel.call_left_out(run.request.rid, notice)
        else:
            self._kernel.call_done(run.request.rid, reply)

    def over(self, number: int) -> Run | None:
        run = self._runs.pop(number, None)
        if run is not None:
            self.at_calls -= run.notice != 0
            self.watch.ended(self._clock.now)
            self._crowd()
        return run

    def say_again(self, since: int) -> None:
        """After a broken link, once the kernel's replay has been read: whatever it may not have got. A reply from
        before `since` it has: said again, it could be taken for that to a call which the run asks for just now."""
        for run in list(self._runs.values()):
            if not run.known:
                self._kernel.run(run.request.rid, run.route, run.request.body)
            if run.told_at >= since:
                self._tell(run)
            if run.stopped:
                self._kernel.stop(run.request.rid)
