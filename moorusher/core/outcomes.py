"""Every way in which a connection, or what was asked over one, can end; mapped to the module's outcome here."""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling.interface import Outcome
from moorusher.scheduling.retry_policy import Evidence


class Ending(Enum):
    """How a run, a call or a connection ended; each has one value."""

    # A run, as the kernel reports it.
    RUN_PASSED = "run passed"
    RUN_FAILED = "run failed"
    RUN_KILLED = "run killed"
    RUN_NEVER_BEGAN = "run never began"
    RUN_NOT_ACCEPTED = "run not accepted by the kernel"
    # A call below.
    CALL_ANSWERED = "call answered"
    CALL_FAILED = "call failed"
    CALL_TURNED_AWAY = "call turned away"
    CALL_STRAY = "no run waits for the call"
    CALL_OUT_OF_TIME = "call out of time"
    CALL_GIVEN_UP = "call given up"
    CALL_NOT_CONNECTED = "no connection for the call"
    CALL_CUT_OFF = "connection lost during the call"
    CALL_GARBLED = "reply to the call could not be read"
    # A connection.
    CLOSED_BY_PEER = "closed by the other side"
    CLOSED_BY_US = "closed by us"
    LOST = "lost"
    REFUSED = "refused"
    LINE_TOO_LONG = "line too long"
    BAD_FRAME = "framing lost"
    READS_TOO_SLOWLY = "other side reads too slowly"
    TOO_MANY = "too many connections"
    IDLE = "idle for too long"
    SILENT = "nothing whole came in time"
    MADE_WAY = "idle, and its place was needed"
    TOO_FAULTY = "too many faults"


# Only what stands here is ever told to the module: the other endings are those of connections alone.
OUTCOMES: dict[Ending, Outcome] = {
    Ending.RUN_PASSED: Outcome.OK,
    Ending.RUN_FAILED: Outcome.ERROR,
    Ending.RUN_KILLED: Outcome.CANCELLED,
    Ending.RUN_NEVER_BEGAN: Outcome.NOT_AWAITED,
    Ending.RUN_NOT_ACCEPTED: Outcome.ERROR,
    Ending.CALL_ANSWERED: Outcome.OK,
    Ending.CALL_FAILED: Outcome.ERROR,
    Ending.CALL_TURNED_AWAY: Outcome.FULL,
    Ending.CALL_STRAY: Outcome.NOT_AWAITED,
    Ending.CALL_OUT_OF_TIME: Outcome.TIMEOUT,
    Ending.CALL_GIVEN_UP: Outcome.TIMEOUT,
    Ending.CALL_NOT_CONNECTED: Outcome.CONNECT_FAILED,
    Ending.CALL_CUT_OFF: Outcome.RESET,  # proves nothing: the call may have run
    Ending.CALL_GARBLED: Outcome.ERROR,
}

# What the end of a call tells of whether it ran. What does not stand here proves nothing.
EVIDENCE_OF_CALL: dict[Ending, Evidence] = {
    Ending.CALL_ANSWERED: Evidence.SUCCEEDED,
    Ending.CALL_FAILED: Evidence.FAILED,
    Ending.CALL_TURNED_AWAY: Evidence.REJECTED,
    Ending.CALL_STRAY: Evidence.NOT_AWAITED,
    Ending.CALL_OUT_OF_TIME: Evidence.TIMED_OUT,
    Ending.CALL_GIVEN_UP: Evidence.ABANDONED,
    Ending.CALL_NOT_CONNECTED: Evidence.NOT_CONNECTED,
    Ending.CALL_CUT_OFF: Evidence.CONNECTION_RESET,
    Ending.CALL_GARBLED: Evidence.UNREADABLE,
}
