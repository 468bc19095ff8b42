"""Reasons for the end of a run, a call or a connection, and the outcomes that are reported to the scheduler."""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling.interface import ExecutionOutcome
from moorusher.scheduling.retry_policy import Evidence


class EndReason(Enum):
    """Reason why a run, a call or a connection ended. The values are parts of counter names."""

    # Runs, as reported by the kernel.
    RUN_SUCCEEDED = "run passed"
    RUN_FAILED = "run failed"
    RUN_KILLED = "run killed"
    RUN_NEVER_STARTED = "run never began"
    RUN_UNKNOWN_TO_KERNEL = "run not accepted by the kernel"
    # Downstream calls.
    CALL_ANSWERED = "call answered"
    CALL_FAILED = "call failed"
    CALL_REJECTED = "call turned away"
    CALL_NOT_AWAITED = "no run waits for the call"
    CALL_DEADLINE_EXCEEDED = "call out of time"
    CALL_TIMED_OUT = "call given up"
    CALL_NOT_CONNECTED = "no connection for the call"
    CALL_CONNECTION_LOST = "connection lost during the call"
    CALL_REPLY_UNREADABLE = "reply to the call could not be read"
    # Connections.
    CLOSED_BY_PEER = "closed by the other side"
    CLOSED_LOCALLY = "closed by us"
    CONNECTION_LOST = "lost"
    CONNECTION_REFUSED = "refused"
    LINE_TOO_LONG = "line too long"
    FRAMING_LOST = "framing lost"
    SLOW_READER = "other side reads too slowly"
    TOO_MANY_CONNECTIONS = "too many connections"
    IDLE_TIMEOUT = "idle for too long"
    READ_TIMEOUT = "nothing whole came in time"
    EVICTED_WHILE_IDLE = "idle, and its place was needed"
    TOO_MANY_ERRORS = "too many faults"


# Outcome that is reported to the scheduler. Reasons of connections are missing, as they are not reported.
SCHEDULER_OUTCOMES: dict[EndReason, ExecutionOutcome] = {
    EndReason.RUN_SUCCEEDED: ExecutionOutcome.OK,
    EndReason.RUN_FAILED: ExecutionOutcome.ERROR,
    EndReason.RUN_KILLED: ExecutionOutcome.CANCELLED,
    EndReason.RUN_NEVER_STARTED: ExecutionOutcome.NOT_AWAITED,
    EndReason.RUN_UNKNOWN_TO_KERNEL: ExecutionOutcome.ERROR,
    EndReason.CALL_ANSWERED: ExecutionOutcome.OK,
    EndReason.CALL_FAILED: ExecutionOutcome.ERROR,
    EndReason.CALL_REJECTED: ExecutionOutcome.FULL,
    EndReason.CALL_NOT_AWAITED: ExecutionOutcome.NOT_AWAITED,
    EndReason.CALL_DEADLINE_EXCEEDED: ExecutionOutcome.TIMEOUT,
    EndReason.CALL_TIMED_OUT: ExecutionOutcome.TIMEOUT,
    EndReason.CALL_NOT_CONNECTED: ExecutionOutcome.CONNECT_FAILED,
    EndReason.CALL_CONNECTION_LOST: ExecutionOutcome.RESET,  # the call may have run or not
    EndReason.CALL_REPLY_UNREADABLE: ExecutionOutcome.ERROR,
}

# Evidence that the end of a call gives on whether it ran. A reason that is missing here gives none.
EVIDENCE_OF_CALL: dict[EndReason, Evidence] = {
    EndReason.CALL_ANSWERED: Evidence.SUCCEEDED,
    EndReason.CALL_FAILED: Evidence.FAILED,
    EndReason.CALL_REJECTED: Evidence.REJECTED,
    EndReason.CALL_NOT_AWAITED: Evidence.NOT_AWAITED,
    EndReason.CALL_DEADLINE_EXCEEDED: Evidence.TIMED_OUT,
    EndReason.CALL_TIMED_OUT: Evidence.ABANDONED,
    EndReason.CALL_NOT_CONNECTED: Evidence.NOT_CONNECTED,
    EndReason.CALL_CONNECTION_LOST: Evidence.CONNECTION_RESET,
    EndReason.CALL_REPLY_UNREADABLE: Evidence.UNREADABLE,
}
