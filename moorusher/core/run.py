"""Runs in the kernel: what was commanded, what the kernel is known to have read, what to send again.

Commands are numbered in the order in which they are written. After a lost connection the kernel tells how many it has
read, and what it may have missed is sent again, as far as `retry_policy.may_retry` allows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import Evidence, may_retry

from .clock import Clock
from .hooks import EngineHooks
from .requests import Request

NOT_WRITTEN = 0  # the number of a command that was dropped, as there was no connection
NO_CALL = 0  # in place of a notice's number: the run waits for no call
# The kernel takes a reply for whichever call the run waits for: a copy could be given to a later call.
EFFECT_OF_REPLY = Effect.NOT_IDEMPOTENT


class KernelTransport(Protocol):
    """The connection to the kernel. Commands return their number, or `NOT_WRITTEN` while there is no connection:
    `Runs.resend` makes up for those."""

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Run the request."""

    def stop(self, rid: str) -> int:
        """Stop the run."""

    def call_done(self, rid: str, body: bytes) -> int:
        """The reply to the call that the run waits for."""

    def call_skipped(self, rid: str, notice: int) -> int:
        """The run goes on without the call that it has asked for by this notice."""

    def ask_gauges(self) -> None:
        """Have the kernel tell its gauges."""


@dataclass(slots=True, frozen=True)
class CallReply:
    """What the kernel was sent about a run's call.

    Attributes:
        notice: the number of the notice by which the run asked for the call.
        content: the reply; None to go on without the call.
        written: the number of the command.
    """

    notice: int
    content: bytes | None
    written: int


@dataclass(slots=True, frozen=True)
class Resent:
    """What a new connection was sent again, by request number.

    Attributes:
        uncertain: a reply may be lost; nothing proves it, so it must not be sent again.
        unwanted: never written, and nobody waits any more: these runs are not started.
    """

    runs: list[int] = field(default_factory=list)
    replies: list[int] = field(default_factory=list)
    uncertain: list[int] = field(default_factory=list)
    unwanted: list[int] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Run:
    """A request that the kernel was commanded to run.

    Attributes:
        acknowledged: the kernel has told something of the run, so it has read the command.
        notice: the number of the notice of the call that it waits for, or `NO_CALL`.
        calls: how many calls it has asked for, this one included.
        call_body: of the call that it waits for.
        command_number: of the command to run it.
        last_reply: what the kernel was sent about its last call.
        reply_uncertain: nothing tells whether the kernel has read that.
        started_us: when it was commanded.
        at_calls_us: how long it has been at calls, up to the last one that has ended.
        call_since_us: when it went to the call that it waits for.
    """

    request: Request
    route: str
    acknowledged: bool = False
    stopped: bool = False
    notice: int = NO_CALL
    calls: int = 0
    call_body: bytes = b""
    command_number: int = NOT_WRITTEN
    last_reply: CallReply | None = None
    reply_uncertain: bool = False
    started_us: int = 0
    at_calls_us: int = 0
    call_since_us: int = 0

    def core_us(self, now: int, cores: int, sharing: int) -> int:
        """An estimate of its processor time, where `sharing` runs share the cores at its end."""
        at_calls = self.at_calls_us
        if self.notice:
            at_calls += now - self.call_since_us
        elapsed = now - self.started_us - at_calls
        return max(0, round(elapsed * min(1.0, cores / max(1, sharing))))


class Runs:
    """All runs that are not over, by request number, and the commands to the kernel for them.

    Attributes:
        at_calls: how many of them wait for a call.
    """

    def __init__(self, kernel: KernelTransport, clock: Clock, hooks: EngineHooks) -> None:
        self._kernel = kernel
        self._clock = clock
        self._hooks = hooks
        self._runs: dict[int, Run] = {}
        self.at_calls = 0

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def on_cores(self) -> int:
        """How many runs compete for the cores."""
        return len(self._runs) - self.at_calls

    def get(self, number: int) -> Run | None:
        """The run of a request."""
        return self._runs.get(number)

    def start(self, request: Request) -> None:
        """Command the kernel to run a request."""
        run = Run(request, request.request_class.name, started_us=self._clock.now)
        self._runs[request.number] = run
        run.command_number = self._kernel.run(request.rid, run.route, request.body)
        self._notify_on_cores()

    def stop(self, number: int) -> None:
        """Command the kernel to stop a run, once."""
        run = self._runs.get(number)
        if run is not None and not run.stopped:
            run.stopped = True
            self._kernel.stop(run.request.rid)

    def stop_uncertain(self, number: int) -> None:
        """Stop a run that may wait for a lost reply. Nobody waits for it any more, and it would keep its memory for
        good."""
        run = self._runs.get(number)
        if run is not None and run.reply_uncertain:
            self.stop(number)

    def call_needed(self, number: int, notice: int, body: bytes) -> bool:
        """A run asks for a call. False where this notice was read before, or the run is over."""
        run = self._runs.get(number)
        if run is None or notice <= run.notice:
            return False
        if run.last_reply is not None and notice <= run.last_reply.notice:
            return False
        if not run.notice:
            self.at_calls += 1
            run.call_since_us = self._clock.now
        run.acknowledged = True
        run.notice = notice
        run.call_body = body
        run.last_reply = None
        run.reply_uncertain = False
        run.calls += 1
        self._notify_on_cores()
        return True

    def resume(self, number: int, reply: bytes | None) -> None:
        """Have a run go on with the reply to its call, or without the call where `reply` is None."""
        run = self._runs.get(number)
        if run is None or not run.notice:
            return  # the kernel takes a reply to a run that waits for no call for an error
        notice = run.notice
        run.notice = NO_CALL
        run.call_body = b""
        run.at_calls_us += self._clock.now - run.call_since_us
        self.at_calls -= 1
        self._notify_on_cores()
        self._send_reply(run, notice, reply)

    def end(self, number: int) -> Run | None:
        """A run is over; None where it was before."""
        run = self._runs.pop(number, None)
        if run is not None:
            self.at_calls -= run.notice != NO_CALL
            self._hooks.observer.run_ended(self._clock.now)
            self._notify_on_cores()
        return run

    def _notify_on_cores(self) -> None:
        self._hooks.observer.runs_on_cores(self._clock.now, self.on_cores)

    def _send_reply(self, run: Run, notice: int, reply: bytes | None) -> None:
        if reply is None:
            written = self._kernel.call_skipped(run.request.rid, notice)
        else:
            written = self._kernel.call_done(run.request.rid, reply)
        run.last_reply = CallReply(notice, reply, written)

    # ---- after a lost connection ----

    def resend(self, read: int, is_awaited: Callable[[Request], bool] = lambda request: True) -> Resent:
        """Send again what the kernel may have missed, once its own replay has been read.

        Args:
            read: how many commands the kernel is known to have read.
            is_awaited: whether somebody still waits for a request.
        """
        resent = Resent()
        for number, run in list(self._runs.items()):
            never_written = not run.acknowledged and run.command_number == NOT_WRITTEN
            if never_written and not is_awaited(run.request):
                resent.unwanted.append(number)
                continue
            if not run.acknowledged and _evidence(run.command_number, read) is not Evidence.SUCCEEDED:
                self._resend_command(number, run, resent)
            if run.last_reply is not None:
                self._resend_reply(number, run, run.last_reply, read, resent)
            if run.stopped:
                self._kernel.stop(run.request.rid)
        return resent

    def _resend_command(self, number: int, run: Run, resent: Resent) -> None:
        # The kernel ignores a command to run what it runs already.
        if not may_retry(run.request.request_class.effect, Evidence.DUPLICATES_IGNORED):
            return
        run.command_number = self._kernel.run(run.request.rid, run.route, run.request.body)
        resent.runs.append(number)

    def _resend_reply(self, number: int, run: Run, reply: CallReply, read: int, resent: Resent) -> None:
        evidence = _evidence(reply.written, read)
        if evidence is Evidence.SUCCEEDED:
            return
        if reply.content is None:  # it names its notice, so it can be taken for no other call
            self._send_reply(run, reply.notice, None)
            return
        if run.reply_uncertain:
            return
        if may_retry(EFFECT_OF_REPLY, evidence):
            self._send_reply(run, reply.notice, reply.content)
            resent.replies.append(number)
            return
        run.reply_uncertain = True
        resent.uncertain.append(number)
        if run.request.request_class.value_fraction_without_call > 0:
            self._send_reply(run, reply.notice, None)  # if it still waits, it goes on without


def _evidence(written: int, read: int) -> Evidence:
    """What is known of a command by its number, where the kernel has read so many."""
    if written == NOT_WRITTEN:
        return Evidence.NOT_SENT
    return Evidence.SUCCEEDED if written <= read else Evidence.IN_DOUBT
