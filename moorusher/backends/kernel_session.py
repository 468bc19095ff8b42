"""What outlives a connection to the kernel: the last notice read, the commands known to be read, the replay.

After a reconnection the kernel replays the notices after the last one read. Commands wait for the end of the replay.
The request engine then sends again what the kernel is not known to have read, where that is allowed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from ..core.request_engine import RequestEngine
from ..core.run import NOT_WRITTEN
from .kernel_messages import (
    Booted,
    CallNeeded,
    Command,
    CommandRejected,
    Gauges,
    KernelMessage,
    Notice,
    RunEnded,
    ask_for_gauges,
    call_reply,
    open_after,
    run_request,
    skip_call,
    stop_run,
)
from .kernel_protocol import KernelProtocol

log = logging.getLogger("moorusher")

REPLAY_END_MARK = "replayed"  # of the question whose answer ends a replay
READ_MARK = "g"  # begins the mark of other questions; the number of commands written before follows


class SessionState(Enum):
    """How far the session has come. The values are for the log."""

    DOWN = "down"
    OPENING = "opening"  # OPEN was sent; BOOTED comes when the kernel is up
    REPLAYING = "replaying"  # notices after the last one read are coming; commands wait for their end
    UP = "up"


class KernelSession:
    """Messages and commands, over one connection after the other; the `Kernel` of `core/run.py`.

    core: the request engine; set by the owner.
    state: see SessionState.
    last_notice: the number of the last notice read (int).
    was_up: a kernel has answered once (bool).
    """

    def __init__(self, on_booted: Callable[[Booted], None]) -> None:
        """`on_booted` is called as a kernel answers the opening of a connection."""
        self.core: RequestEngine
        self._on_up = on_booted
        self.state = SessionState.DOWN
        self.last_notice = 0
        self.was_up = False
        self._connection: KernelProtocol | None = None
        # Commands are counted over all connections; `_read` never exceeds `_written`.
        self._written = NOT_WRITTEN
        self._read = NOT_WRITTEN

    @property
    def unconfirmed_commands(self) -> int:
        """Return how many commands were written that the kernel is not known to have read."""
        return self._written - self._read

    # ---- connections ----

    def open(self, connection: KernelProtocol) -> None:
        """Begin on a new connection."""
        self._connection = connection
        self.state = SessionState.OPENING
        connection.send(open_after(self.last_notice))  # before anything else

    def connection_replaced(self) -> None:
        """Another connection was made, and nothing may be sent until it is open."""
        self._connection = None
        self.state = SessionState.OPENING

    def connection_lost(self) -> None:
        """The connection is lost, and there is no other yet."""
        self._connection = None
        self.state = SessionState.DOWN

    # ---- messages ----

    def message_received(self, message: KernelMessage) -> None:
        """Take one message of the present connection."""
        if isinstance(message, Notice):
            self._on_notice(message)
        elif isinstance(message, Gauges):
            self._on_gauges(message)
        elif isinstance(message, Booted):
            self._on_booted(message)
        elif isinstance(message, CommandRejected):
            self.core.execution.command_rejected(message.command, message.rid)
        else:
            log.warning("unknown kernel message: kind=%r", message.kind)

    def _on_notice(self, notice: Notice) -> None:
        if notice.number <= self.last_notice:
            return  # replayed, or sent twice
        self.last_notice = notice.number
        if isinstance(notice, CallNeeded):
            self.core.execution.call_needed(notice.rid, notice.number, notice.body)
        elif isinstance(notice, RunEnded):
            self.core.execution.run_ended(notice.rid, notice.reason, notice.body)

    def _on_gauges(self, gauges: Gauges) -> None:
        """The kernel reads a connection in order: an answer shows that all before its question was read."""
        if gauges.mark == REPLAY_END_MARK:
            self.state = SessionState.UP
            self.core.execution.reconnected(self._read)
        elif gauges.mark.startswith(READ_MARK) and gauges.mark[len(READ_MARK) :].isdecimal():
            confirmed = min(int(gauges.mark[len(READ_MARK) :]), self._written)
            self._read = max(self._read, confirmed)
        self.core.kernel_status.gauges_received(gauges.values)

    def _on_booted(self, booted: Booted) -> None:
        self._on_up(booted)
        if self.was_up and self._connection is not None:
            # The answer to this question comes after the replay: only then it is known what to send again. Anything
            # sent before would be sent twice, and a second reply could be taken for that of a later call.
            self.state = SessionState.REPLAYING
            self._connection.send(ask_for_gauges(REPLAY_END_MARK))
        else:
            self.state = SessionState.UP
            self.was_up = True
        self.core.kernel_status.link_up()
        self.core.kernel_up(cold=booted.is_empty, age_ms=booted.age_ms)

    # ---- commands ----

    def _send(self, command: Command) -> int:
        """Send a command, and return its number; NOT_WRITTEN where it was dropped.

        The engine sends dropped commands again once the replay has been read.
        """
        if self.state is not SessionState.UP or self._connection is None:
            return NOT_WRITTEN
        self._written += 1
        self._connection.send(command)
        return self._written

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Have the kernel run a request."""
        return self._send(run_request(rid, route, body))

    def stop(self, rid: str) -> int:
        """Have a run stopped."""
        return self._send(stop_run(rid))

    def call_done(self, rid: str, body: bytes) -> int:
        """Give a run the reply to its call.

        It must not be sent twice: the question that follows soon shows that it was read.
        """
        number = self._send(call_reply(rid, body))
        self.ask_gauges()
        return number

    def call_skipped(self, rid: str, notice: int) -> int:
        """Let a run go on without the call of that notice."""
        return self._send(skip_call(rid, notice))

    def ask_gauges(self) -> None:
        """Ask for the gauges, and by that for a proof of what was read."""
        if self.state is SessionState.UP and self._connection is not None:
            self._connection.send(ask_for_gauges(f"{READ_MARK}{self._written}"))
