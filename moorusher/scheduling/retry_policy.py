"""The one rule on repeats: may something that was sent be sent again?

The answer depends on the effect of the request's class and on the evidence of what became of the first
copy, and on nothing else: not on tokens, tenants or addresses. Every sender asks here: the decision module
for calls, links for connections that break, the tier for further attempts, second copies and probes, the
core for commands to the kernel.
"""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling.interface import Effect, Outcome


class Evidence(Enum):
    """What is known of the first copy when the question of a second comes up."""

    # Proofs that nothing was started.
    NOT_SENT = "no byte of it was written"
    NOT_CONNECTED = "no connection was made"
    TURNED_AWAY = "the receiver states that it was never started"
    NOT_AWAITED = "the receiver states that no run waits for it"
    # The receiver takes each id once: a copy changes nothing.
    COPIES_IGNORED = "the receiver ignores a copy of what it has begun"
    # No proof: it may have had its effect.
    NOT_HEARD_OF = "it may be under way"
    CONNECTION_BROKE = "the connection broke after the first byte"
    FAILED = "the receiver reports a failure"
    OUT_OF_TIME = "it ran out of time"
    GIVEN_UP = "it was given up"
    UNREADABLE = "its reply could not be read"
    SUCCEEDED = "it was carried out"

    @property
    def proves_never_ran(self) -> bool:
        """Nothing was started, so that any class of request may go elsewhere."""
        return self in _PROOFS


_PROOFS = frozenset({Evidence.NOT_SENT, Evidence.NOT_CONNECTED, Evidence.TURNED_AWAY, Evidence.NOT_AWAITED})


class Repeat(Enum):
    """The answer."""

    ALLOWED = "may be sent again"
    FORBIDDEN = "must not be sent again"
    ASK_FIRST = "only after whoever keeps its key says that none ran"


def repeat(effect: Effect, evidence: Evidence) -> Repeat:
    """May it be sent again?"""
    if evidence.proves_never_ran or evidence is Evidence.COPIES_IGNORED:
        return Repeat.ALLOWED
    if effect is Effect.SAFE:
        return Repeat.ALLOWED
    return Repeat.ASK_FIRST if effect is Effect.KEYED else Repeat.FORBIDDEN


def may_repeat(effect: Effect, evidence: Evidence) -> bool:
    """For senders that have nobody to ask."""
    return repeat(effect, evidence) is Repeat.ALLOWED


def may_run_twice(effect: Effect) -> bool:
    """Whether duplicates do no harm, as hedged requests and reused connections may cause them unseen."""
    return may_repeat(effect, Evidence.NOT_HEARD_OF)


EVIDENCE_OF_OUTCOME: dict[Outcome, Evidence] = {
    Outcome.OK: Evidence.SUCCEEDED,
    Outcome.ERROR: Evidence.FAILED,
    Outcome.FULL: Evidence.TURNED_AWAY,
    Outcome.TIMEOUT: Evidence.OUT_OF_TIME,
    Outcome.CONNECT_FAILED: Evidence.NOT_CONNECTED,
    Outcome.RESET: Evidence.CONNECTION_BROKE,
    Outcome.CANCELLED: Evidence.GIVEN_UP,
    Outcome.MOOT: Evidence.NOT_AWAITED,
}
