"""Kernel state that is kept across connections: the last notice read, and which commands are confirmed as read.

After a reconnection the kernel replays the notices after the last one read. Commands wait for the end of the replay.
The request engine then sends unconfirmed commands again, if that is allowed.
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
    call_reply_command,
    gauges_command,
    open_command,
    run_command,
    skip_call_command,
    stop_command,
)
from .kernel_protocol import KernelProtocol

log = logging.getLogger("moorusher")

# A mark is a text in a SYSINFO command that the kernel returns in its answer.
REPLAY_END_MARK = "replayed"  # Mark of the SYSINFO command whose answer ends a replay.
CONFIRMATION_MARK = "g"  # Prefix of all other marks, followed by the number of commands written before.


class SessionState(Enum):
    """State of a session. The values appear in the log."""

    DOWN = "down"
    OPENING = "opening"  # OPEN was sent. The kernel answers BOOTED when it is up.
    REPLAYING = "replaying"  # The kernel replays notices. Commands wait for the end of the replay.
    UP = "up"


class KernelSession:
    """Messages and commands across connections. Implements `KernelTransport` of `core/run.py`.

    Attributes:
        core: The request engine; set by the owner.
        state: State of the current connection.
        last_notice: Number of the last notice read.
        was_up: Whether a kernel has answered on any connection.
    """

    def __init__(self, on_booted: Callable[[Booted], None]) -> None:
        """Create a session. `on_booted` is called when the kernel answers OPEN."""
        self.core: RequestEngine
        self._booted_callback = on_booted
        self.state = SessionState.DOWN
        self.last_notice = 0
        self.was_up = False
        self._connection: KernelProtocol | None = None
        # Numbers of the last command written and the last one confirmed as read, counted across connections.
        self._last_written = NOT_WRITTEN
        self._last_confirmed = NOT_WRITTEN

    @property
    def unconfirmed_commands(self) -> int:
        """Number of written commands that the kernel has not confirmed as read."""
        return self._last_written - self._last_confirmed

    # ---- connections ----

    def open(self, connection: KernelProtocol) -> None:
        """Open the session on a new connection."""
        self._connection = connection
        self.state = SessionState.OPENING
        connection.send(open_command(self.last_notice))  # must be the first command

    def connection_replaced(self) -> None:
        """Block commands until the new connection is open."""
        self._connection = None
        self.state = SessionState.OPENING

    def connection_lost(self) -> None:
        """Record that there is no connection."""
        self._connection = None
        self.state = SessionState.DOWN

    # ---- messages ----

    def message_received(self, message: KernelMessage) -> None:
        """Handle a message of the current connection."""
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
            return  # Already read: it was replayed or sent twice.
        self.last_notice = notice.number
        if isinstance(notice, CallNeeded):
            self.core.execution.call_needed(notice.rid, notice.number, notice.body)
        elif isinstance(notice, RunEnded):
            self.core.execution.run_ended(notice.rid, notice.reason, notice.body)

    def _on_gauges(self, gauges: Gauges) -> None:
        """Handle the answer to SYSINFO, which confirms all commands before it: the kernel reads them in order."""
        if gauges.mark == REPLAY_END_MARK:
            self.state = SessionState.UP
            self.core.execution.reconnected(self._last_confirmed)
        elif gauges.mark.startswith(CONFIRMATION_MARK) and gauges.mark[len(CONFIRMATION_MARK) :].isdecimal():
            confirmed = min(int(gauges.mark[len(CONFIRMATION_MARK) :]), self._last_written)
            self._last_confirmed = max(self._last_confirmed, confirmed)
        self.core.kernel_status.gauges_received(gauges.values)

    def _on_booted(self, booted: Booted) -> None:
        self._booted_callback(booted)
        if self.was_up and self._connection is not None:
            # The kernel answers this command after the replay. Only the replayed notices show which commands have to be
            # sent again. A command that is sent again before could reach the kernel twice, and a duplicate reply could
            # be taken for the reply to a later call.
            self.state = SessionState.REPLAYING
            self._connection.send(gauges_command(REPLAY_END_MARK))
        else:
            self.state = SessionState.UP
            self.was_up = True
        self.core.kernel_status.link_up()
        self.core.kernel_up(caches_empty=booted.is_empty, age_ms=booted.age_ms)

    # ---- commands ----

    def _send(self, command: Command) -> int:
        """Send a command and return its number, or NOT_WRITTEN if the session is not up.

        After the replay, the engine repeats the commands that were not written.
        """
        if self.state is not SessionState.UP or self._connection is None:
            return NOT_WRITTEN
        self._last_written += 1
        self._connection.send(command)
        return self._last_written

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Run a request in the kernel."""
        return self._send(run_command(rid, route, body))

    def stop(self, rid: str) -> int:
        """Stop a run."""
        return self._send(stop_command(rid))

    def call_done(self, rid: str, body: bytes) -> int:
        """Send a run the reply to its call.

        The reply must not be sent twice, so SYSINFO follows at once to confirm that it was read.
        """
        number = self._send(call_reply_command(rid, body))
        self.request_gauges()
        return number

    def call_skipped(self, rid: str, notice: int) -> int:
        """Continue a run without the call that notice `notice` requested."""
        return self._send(skip_call_command(rid, notice))

    def request_gauges(self) -> None:
        """Request the gauges if the session is up. The answer also confirms all commands sent before the request."""
        if self.state is SessionState.UP and self._connection is not None:
            self._connection.send(gauges_command(f"{CONFIRMATION_MARK}{self._last_written}"))
