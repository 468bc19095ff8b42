"""Runs in the kernel: what was asked for, what the kernel is known to have read, what to say again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import Evidence, may_retry

from .clock import Clock
from .observer import Watch
from .requests import Request

NOT_WRITTEN = 0  # the place of a command that was dropped, as the link was down
# The kernel takes a reply for whichever call the run waits for: a copy could be given to a later call.
EFFECT_OF_REPLY = Effect.NOT_IDEMPOTENT


class Kernel(Protocol):
    """A link to the kernel. It may drop what it is given while it is down: `Runs.say_again` makes up for it. Commands
    are numbered in the order in which they are written; NOT_WRITTEN is returned for those that are dropped."""

    def run(self, rid: str, route: str, body: bytes) -> int: ...
    def stop(self, rid: str) -> int: ...
    def call_done(self, rid: str, body: bytes) -> int: ...
    def call_left_out(self, rid: str, notice: int) -> int: ...
    def ask_gauges(self) -> None: ...


@dataclass(slots=True, frozen=True)
class CallReply:
    """What was said to a run about its call: the reply, or None to go on without it."""

    notice: int  # of the call
    content: bytes | None
    written: int  # the place of the command


@dataclass(slots=True, frozen=True)
class SaidAgain:
    """What a new link was told of runs, by request number."""

    runs: list[int]
    replies: list[int]
    uncertain: list[int]  # a reply may be lost, and nothing proves it: it must not be said again
    unwanted: list[int]  # never written, and nobody waits any more: it is not begun


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
    commanded: int = NOT_WRITTEN  # the place of the command to run it
    told: CallReply | None = None  # about its last call
    uncertain: bool = False  # whether the kernel has read that
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
        run.commanded = self._kernel.run(request.rid, run.route, request.body)
        self._crowd()

    def stop(self, number: int) -> None:
        if (run := self._runs.get(number)) is not None and not run.stopped:
            run.stopped = True
            self._kernel.stop(run.request.rid)

    def stop_uncertain(self, number: int) -> None:
        """Nobody waits for it any more, and it may wait for a reply that is lost: it would keep its memory for good."""
        if (run := self._runs.get(number)) is not None and run.uncertain:
            self.stop(number)

    def needs_call(self, number: int, notice: int, body: bytes) -> bool:
        """False where that notice was read before."""
        run = self._runs.get(number)
        if run is None or notice <= run.notice or (run.told is not None and notice <= run.told.notice):
            return False
        if not run.notice:
            self.at_calls += 1
            run.left = self._clock.now
        run.known, run.notice, run.call, run.told, run.uncertain = True, notice, body, None, False
        run.calls += 1
        self._crowd()
        return True

    def go_on(self, number: int, reply: bytes | None) -> None:
        """With the reply to its call, or without the call."""
        run = self._runs.get(number)
        if run is None or not run.notice:
            return  # it waits for no call: the kernel would take this for a fault
        notice, run.notice, run.call = run.notice, 0, b""
        run.away += self._clock.now - run.left
        self.at_calls -= 1
        self._crowd()
        self._tell(run, notice, reply)

    def _tell(self, run: Run, notice: int, reply: bytes | None) -> None:
        if reply is None:
            written = self._kernel.call_left_out(run.request.rid, notice)
        else:
            written = self._kernel.call_done(run.request.rid, reply)
        run.told = CallReply(notice, reply, written)

    def over(self, number: int) -> Run | None:
        run = self._runs.pop(number, None)
        if run is not None:
            self.at_calls -= run.notice != 0
            self.watch.ended(self._clock.now)
            self._crowd()
        return run

    def say_again(self, read: int, wanted: Callable[[Request], bool] = lambda request: True) -> SaidAgain:
        """After a broken link, once the kernel's replay has been read. `read`: how many commands it is known to have
        read; `wanted`: whether somebody still waits for a request."""
        said = SaidAgain([], [], [], [])
        for number, run in list(self._runs.items()):
            if not run.known and run.commanded == NOT_WRITTEN and not wanted(run.request):
                said.unwanted.append(number)
                continue
            if not run.known and _evidence(run.commanded, read) is not Evidence.SUCCEEDED:
                self._command_again(number, run, said)
            if run.told is not None:
                self._tell_again(number, run, run.told, read, said)
            if run.stopped:
                self._kernel.stop(run.request.rid)
        return said

    def _command_again(self, number: int, run: Run, said: SaidAgain) -> None:
        """The kernel ignores a command to run what it runs already."""
        if not may_retry(run.request.cls.effect, Evidence.DUPLICATES_IGNORED):
            return
        run.commanded = self._kernel.run(run.request.rid, run.route, run.request.body)
        said.runs.append(number)

    def _tell_again(self, number: int, run: Run, told: CallReply, read: int, said: SaidAgain) -> None:
        if told.content is None:  # names its notice: it can be taken for no other call
            if _evidence(told.written, read) is not Evidence.SUCCEEDED:
                self._tell(run, told.notice, None)
            return
        evidence = _evidence(told.written, read)
        if evidence is Evidence.SUCCEEDED or run.uncertain:
            return
        if may_retry(EFFECT_OF_REPLY, evidence):
            self._tell(run, told.notice, told.content)
            said.replies.append(number)
            return
        run.uncertain = True
        said.uncertain.append(number)
        if run.request.cls.value_fraction_without_call > 0:  # where it waits on, it goes on without
            self._tell(run, told.notice, None)


def _evidence(written: int, read: int) -> Evidence:
    """What is known of a command by its place, where the kernel has read so many."""
    if written == NOT_WRITTEN:
        return Evidence.NOT_SENT
    return Evidence.SUCCEEDED if written <= read else Evidence.IN_DOUBT
