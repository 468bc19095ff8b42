"""Retry policy: decides whether a message may be sent again.

The decision depends only on the effect of the request's class and on the evidence about the first attempt,
and not on tokens, tenants or addresses. All senders use this module: the scheduler for downstream calls,
links for broken connections, load balancing for retries, hedged requests and health checks, and the core for
commands to the kernel.

Retries are nested. The layers that retry, from the outermost to the innermost:

- a whole downstream call, until the request's deadline: `scheduling/downstream_calls.py`;
- a call at the next hop of its route path (fallback): `routing/route_table.py`;
- another attempt of a call, or a hedged one, at an endpoint of the hop: `load_balancing/retry.py`,
  `hedging.py`;
- an attempt whose idle connection broke, on a new connection: `backends/database.py`.

In addition, commands and replies that the kernel may have missed are sent again on its new connection:
`core/run.py`.
"""

from __future__ import annotations

from enum import Enum

from moorusher.scheduling.interface import Effect, ExecutionOutcome


class Evidence(Enum):
    """Evidence about the first attempt, on which the decision about a second one is based."""

    # Proof that nothing was started.
    NOT_SENT = "no byte of the message was written"
    NOT_CONNECTED = "no connection was established"
    REJECTED = "the receiver reports that it was never started"
    NOT_AWAITED = "the receiver reports that no run waits for it"
    # The receiver accepts each id once, so a duplicate has no effect.
    DUPLICATES_IGNORED = "the receiver ignores a duplicate of what it has started"
    # No proof: the attempt may have had its effect.
    IN_DOUBT = "it may be in progress"
    CONNECTION_RESET = "the connection broke after the first byte"
    FAILED = "the receiver reports a failure"
    TIMED_OUT = "it timed out"
    ABANDONED = "the sender abandoned it"
    UNREADABLE = "its reply could not be read"
    SUCCEEDED = "it was executed"

    @property
    def proves_never_ran(self) -> bool:
        """Whether it is proven that nothing was started, so that requests of any class may be retried."""
        return self in _PROOFS


_PROOFS = frozenset({Evidence.NOT_SENT, Evidence.NOT_CONNECTED, Evidence.REJECTED, Evidence.NOT_AWAITED})


class RetryDecision(Enum):
    """Decision whether a request may be sent again."""

    ALLOWED = "may be sent again"
    FORBIDDEN = "must not be sent again"
    CHECK_KEY_OWNER = "only after the owner of its key reports that no attempt ran"


def retry_decision(effect: Effect, evidence: Evidence) -> RetryDecision:
    """Decide whether a request of this effect may be sent again, given the evidence of its first attempt."""
    if evidence.proves_never_ran or evidence is Evidence.DUPLICATES_IGNORED:
        return RetryDecision.ALLOWED
    if effect is Effect.IDEMPOTENT:
        return RetryDecision.ALLOWED
    if effect is Effect.IDEMPOTENT_WITH_KEY:
        return RetryDecision.CHECK_KEY_OWNER
    return RetryDecision.FORBIDDEN


def may_retry(effect: Effect, evidence: Evidence) -> bool:
    """Return whether a sender that cannot query the owner of the key may send the request again."""
    return retry_decision(effect, evidence) is RetryDecision.ALLOWED


def tolerates_duplicates(effect: Effect) -> bool:
    """Return whether two concurrent attempts of a request are harmless.

    Only such requests may be hedged, used as health checks, or sent on reused connections, which may have
    broken unnoticed.
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
