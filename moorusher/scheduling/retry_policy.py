"""The one rule on retries: may something that was sent be sent again?

The answer depends on the effect of the request's class and on the evidence of what became of the first
attempt, and on nothing else: not on tokens, tenants or addresses. Every sender asks here: the scheduler for
downstream calls, links for connections that break, load balancing for retries, hedged requests and health
checks, the core for commands to the kernel.

Layers that send something again, from the outside in; each but the first may repeat inside of the one before:

- a whole downstream call, until the request's deadline: `scheduling/downstream_calls.py`;
- a call at the next hop of its route path, the fallback: `routing/route_table.py`;
- an attempt of a call at an endpoint of the hop, or a hedged one: `load_balancing/retry.py`, `hedging.py`;
- an attempt on a connection that was idle and broke, resent on a new one: `backends/database.py`.

Apart from these, commands and replies that the kernel may have missed are sent on its new connection:
`core/run.py`.
"""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling.interface import Effect, ExecutionOutcome


class Evidence(Enum):
    """What is known of the first attempt when the question of a second one comes up."""

    # Proofs that nothing was started.
    NOT_SENT = "no byte of it was written"
    NOT_CONNECTED = "no connection was made"
    REJECTED = "the receiver states that it was never started"
    NOT_AWAITED = "the receiver states that no run waits for it"
    # The receiver takes each id once: a duplicate changes nothing.
    DUPLICATES_IGNORED = "the receiver ignores a duplicate of what it has started"
    # No proof: it may have had its effect.
    IN_DOUBT = "it may be under way"
    CONNECTION_RESET = "the connection broke after the first byte"
    FAILED = "the receiver reports a failure"
    TIMED_OUT = "it timed out"
    ABANDONED = "it was given up"
    UNREADABLE = "its reply could not be read"
    SUCCEEDED = "it was carried out"

    @property
    def proves_never_ran(self) -> bool:
        """Whether nothing was started, so that any class of request may be retried."""
        return self in _PROOFS


_PROOFS = frozenset({Evidence.NOT_SENT, Evidence.NOT_CONNECTED, Evidence.REJECTED, Evidence.NOT_AWAITED})


class RetryDecision(Enum):
    """Whether a request may be sent again."""

    ALLOWED = "may be sent again"
    FORBIDDEN = "must not be sent again"
    CHECK_KEY_OWNER = "only after whoever keeps its key says that none ran"


def retry_decision(effect: Effect, evidence: Evidence) -> RetryDecision:
    """Whether a request of that effect may be sent again, by what is known of its first attempt."""
    if evidence.proves_never_ran or evidence is Evidence.DUPLICATES_IGNORED:
        return RetryDecision.ALLOWED
    if effect is Effect.IDEMPOTENT:
        return RetryDecision.ALLOWED
    if effect is Effect.IDEMPOTENT_WITH_KEY:
        return RetryDecision.CHECK_KEY_OWNER
    return RetryDecision.FORBIDDEN


def may_retry(effect: Effect, evidence: Evidence) -> bool:
    """Whether a sender that has nobody to ask may send the request again."""
    return retry_decision(effect, evidence) is RetryDecision.ALLOWED


def tolerates_duplicates(effect: Effect) -> bool:
    """Whether two attempts at a time do no harm.

    Hedged requests, health checks by real requests, and reused connections, which may break unseen, are for
    these alone.
    """
    return may_retry(effect, Evidence.IN_DOUBT)


EVIDENCE_OF_OUTCOME: dict[ExecutionOutcome, Evidence] = {
    ExecutionOutcome.OK: Evidence.SUCCEEDED,
    ExecutionOutcome.ERROR: Evidence.FAILED,
    ExecutionOutcome.FULL: Evidence.REJECTED,
    ExecutionOutcome.TIMEOUT: Evidence.TIMED_OUT,
    ExecutionOutcome.CONNECT_FAILED: Evidence.NOT_CONNECTED,
    ExecutionOutcome.RESET: Evidence.CONNECTION_RESET,
    ExecutionOutcome.CANCELLED: Evidence.ABANDONED,
    ExecutionOutcome.NOT_AWAITED: Evidence.NOT_AWAITED,
}
