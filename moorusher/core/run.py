"""Runs in the kernel, and the commands for them.

Commands are numbered in the order in which they are written. After a lost connection the kernel reports how many it has
read. Commands that it may have missed are sent again, if `retry_policy.may_retry` allows it.
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

NOT_WRITTEN = 0  # command number of a command that was dropped because there was no connection
NO_CALL = 0  # notice number of a run that waits for no call
# The kernel matches a reply with the call that the run waits for when the reply arrives. A second copy of a reply could
# therefore be matched with a later call.
EFFECT_OF_REPLY = Effect.NOT_IDEMPOTENT


class KernelTransport(Protocol):
    """Connection to the kernel. Commands return their number, or `NOT_WRITTEN` while there is no connection."""

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Command the kernel to run a request."""

    def stop(self, rid: str) -> int:
        """Command the kernel to stop a run."""

    def call_done(self, rid: str, body: bytes) -> int:
        """Send the reply to the call that the run waits for."""

    def call_skipped(self, rid: str, notice: int) -> int:
        """Have the run continue without the call requested by this notice."""

    def request_gauges(self) -> None:
        """Request the kernel's gauges."""


@dataclass(slots=True, frozen=True)
class CallReply:
    """Command that ended a run's wait for a call.

    Attributes:
        notice: Number of the notice that requested the call.
        content: Reply to the call; None: continue without the call.
        command_number: Number of the command, or `NOT_WRITTEN`.
    """

    notice: int
    content: bytes | None
    command_number: int


@dataclass(slots=True, frozen=True)
class Resent:
    """Result of `Runs.resend`, as lists of request numbers.

    Attributes:
        runs: Requests whose run command was sent again.
        replies: Requests whose reply was sent again.
        uncertain: Requests whose reply may be lost, but is not sent again because the kernel may have read it.
        unwanted: Requests whose run command was never written, and is not sent because no caller waits.
    """

    runs: list[int] = field(default_factory=list)
    replies: list[int] = field(default_factory=list)
    uncertain: list[int] = field(default_factory=list)
    unwanted: list[int] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Run:
    """A run that the kernel was commanded to start.

    Attributes:
        request: Request of the run.
        route: Name of the request class.
        acknowledged: Whether a notice of the run shows that the kernel has read the run command.
        stopped: Whether the kernel was commanded to stop the run.
        notice: Notice number of the call that the run waits for, or `NO_CALL`.
        calls: Number of calls that the run has requested.
        call_body: Body of the call that the run waits for.
        command_number: Number of the run command, or `NOT_WRITTEN`.
        last_reply: Command that ended the wait for the last call.
        reply_uncertain: Whether the kernel may not have read `last_reply`.
        started_us: Time of the run command.
        call_time_us: Total duration of the ended calls.
        call_started_us: Start of the call that the run waits for.
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
    call_time_us: int = 0
    call_started_us: int = 0

    def core_us(self, now: int, cores: int, runs_on_cores: int) -> int:
        """Estimate the processor time of the run in us.

        :param runs_on_cores: number of runs that compete for the cores, this one included.
        """
        call_time_us = self.call_time_us
        if self.notice:
            call_time_us += now - self.call_started_us
        elapsed_us = now - self.started_us - call_time_us
        return max(0, round(elapsed_us * min(1.0, cores / max(1, runs_on_cores))))


class Runs:
    """All open runs by request number, and the commands for them.

    Attributes:
        at_calls: Number of runs that wait for a call.
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
        """Number of runs that compete for the cores: those that wait for no call."""
        return len(self._runs) - self.at_calls

    def get(self, number: int) -> Run | None:
        """Return the open run of a request, or None."""
        return self._runs.get(number)

    def start(self, request: Request) -> None:
        """Command the kernel to run a request."""
        run = Run(request, request.request_class.name, started_us=self._clock.now)
        self._runs[request.number] = run
        run.command_number = self._kernel.run(request.rid, run.route, request.body)
        self._notify_on_cores()

    def stop(self, number: int) -> None:
        """Command the kernel to stop a run, at most once."""
        run = self._runs.get(number)
        if run is not None and not run.stopped:
            run.stopped = True
            self._kernel.stop(run.request.rid)

    def stop_uncertain(self, number: int) -> None:
        """Stop a run that may wait for a lost reply. Called at the request's deadline."""
        # Without the stop, the run would never release its memory.
        run = self._runs.get(number)
        if run is not None and run.reply_uncertain:
            self.stop(number)

    def call_needed(self, number: int, notice: int, body: bytes) -> bool:
        """Record that a run has requested a call. Returns False if the notice was read before or the run has ended."""
        run = self._runs.get(number)
        if run is None or notice <= run.notice:
            return False
        if run.last_reply is not None and notice <= run.last_reply.notice:
            return False
        if not run.notice:
            self.at_calls += 1
            run.call_started_us = self._clock.now
        run.acknowledged = True
        run.notice = notice
        run.call_body = body
        run.last_reply = None
        run.reply_uncertain = False
        run.calls += 1
        self._notify_on_cores()
        return True

    def resume(self, number: int, reply: bytes | None) -> None:
        """Have a run continue with the reply to its call, or without the call if `reply` is None."""
        run = self._runs.get(number)
        if run is None or not run.notice:
            return  # the kernel treats a reply to a run that waits for no call as an error
        notice = run.notice
        run.notice = NO_CALL
        run.call_body = b""
        run.call_time_us += self._clock.now - run.call_started_us
        self.at_calls -= 1
        self._notify_on_cores()
        self._send_reply(run, notice, reply)

    def end(self, number: int) -> Run | None:
        """Remove a run that has ended. Returns None if it was removed before."""
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
            command_number = self._kernel.call_skipped(run.request.rid, notice)
        else:
            command_number = self._kernel.call_done(run.request.rid, reply)
        run.last_reply = CallReply(notice, reply, command_number)

    # ---- after a lost connection ----

    def resend(
        self, commands_read: int, is_awaited: Callable[[Request], bool] = lambda request: True
    ) -> Resent:
        """Send again the commands that the kernel may have missed. Called after the kernel's replay has been read.

        :param commands_read: number of commands that the kernel is known to have read.
        :param is_awaited: returns whether a caller still waits for a request.
        """
        resent = Resent()
        for number, run in list(self._runs.items()):
            never_written = not run.acknowledged and run.command_number == NOT_WRITTEN
            if never_written and not is_awaited(run.request):
                resent.unwanted.append(number)
                continue
            if (
                not run.acknowledged
                and _evidence(run.command_number, commands_read) is not Evidence.SUCCEEDED
            ):
                self._resend_command(number, run, resent)
            if run.last_reply is not None:
                self._resend_reply(number, run, run.last_reply, commands_read, resent)
            if run.stopped:
                self._kernel.stop(run.request.rid)
        return resent

    def _resend_command(self, number: int, run: Run, resent: Resent) -> None:
        # The kernel ignores the run command of a request that it already runs.
        if not may_retry(run.request.request_class.effect, Evidence.DUPLICATES_IGNORED):
            return
        run.command_number = self._kernel.run(run.request.rid, run.route, run.request.body)
        resent.runs.append(number)

    def _resend_reply(
        self, number: int, run: Run, reply: CallReply, commands_read: int, resent: Resent
    ) -> None:
        evidence = _evidence(reply.command_number, commands_read)
        if evidence is Evidence.SUCCEEDED:
            return
        # A reply without content is a skip command, which contains the number of the call's notice. It may be sent
        # twice, because the kernel can't take the second copy for the reply to a later call.
        if reply.content is None:
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
            self._send_reply(run, reply.notice, None)  # if the run still waits, it continues without the call


def _evidence(command_number: int, commands_read: int) -> Evidence:
    """Return the evidence about a command, given the number of commands that the kernel is known to have read."""
    if command_number == NOT_WRITTEN:
        return Evidence.NOT_SENT
    return Evidence.SUCCEEDED if command_number <= commands_read else Evidence.IN_DOUBT
