"""Executes the effects of a leader: first a change of the register by a majority, then the external request."""

from __future__ import annotations

from ..time_units import MS
from .chunks import chunk_names, referenced_chunks
from .effects import (
    Completed,
    DeferredStateUpdate,
    Effect,
    FencedRequest,
    Outcome,
    ReceiverResponse,
    StateUpdate,
)
from .errors import (
    LeaderBusyError,
    LimitExceededError,
    NoMajorityError,
    ReceiverUnreachableError,
    RegistersLostError,
)
from .fencing_token import FencingToken
from .holder_changes import IssueToken, Suspend, UpdateState
from .intent_resolution import IntentResolver
from .lease_interface import HeldLease
from .lease_record import LeaseRecord

# Limit of the attempts of a request whose receiver does not answer, and of the retries of a state update after
# concurrent changes.
MAX_ATTEMPTS = 5
# Delay before a request is sent again to a receiver that does not answer.
RETRY_US = 200 * MS
# Timeout for storing the chunks of a state at a majority.
REPLICATION_TIMEOUT_US = 1_500 * MS


class EffectExecutor:
    """Executes the effects of `lease` one at a time; each ends with a call of `LeaseHolder.finish`."""

    def __init__(self, lease: HeldLease, intents: IntentResolver) -> None:
        self.lease = lease
        self._intents = intents

    def execute(self, effect: Effect) -> None:
        """Start the execution of an effect."""
        match effect:
            case StateUpdate():
                self._update_state(effect.state)
            case DeferredStateUpdate():
                self._update_state(effect.read())
            case FencedRequest():
                self.issue_token(effect)
            case _:
                self._intents.record(effect)

    # ---- the duty's state ----

    def _update_state(self, state: bytes, attempt: int = 0) -> None:
        lease = self.lease
        max_bytes = lease.context.policy.max_state_bytes
        if len(state) > max_bytes:
            return lease.finish(
                LimitExceededError(f"{lease.name}: a state of {len(state)} bytes; state_bytes is {max_bytes}")
            )
        record = lease.record
        max_versions = lease.context.policy.max_versions

        def replicated(by_majority: bool) -> None:
            if lease.is_ended:
                return
            if not by_majority:
                return lease.finish(NoMajorityError(lease.name))
            lease.register.change(
                changed, UpdateState, record.revision, len(state), chunk_names(state), max_versions
            )

        def changed(outcome: Outcome) -> None:
            if isinstance(outcome, LeaderBusyError) and attempt < MAX_ATTEMPTS:
                # The revision has changed concurrently, so retry the update based on the current one.
                return self._update_state(state, attempt + 1)
            if isinstance(outcome, Completed):
                lease.state = state
                lease.context.replication.announce_chosen(lease.key, lease.record)
            return lease.finish(outcome)

        return lease.context.replication.replicate(
            key=lease.key,
            mark=(record.generation, record.term, record.revision + 1),
            state=state,
            known=referenced_chunks(record),
            deadline_us=lease.context.services.now() + REPLICATION_TIMEOUT_US,
            callback=replicated,
        )

    # ---- receivers that compare fencing tokens ----

    def issue_token(self, request: FencedRequest) -> None:
        """Obtain a fencing token from a majority, then send the request with it."""

        def issued(outcome: Outcome) -> None:
            if not isinstance(outcome, Completed):
                return self.lease.finish(outcome)
            return self.send_fenced(request, outcome.token, 1)

        self.lease.register.change(issued, IssueToken)

    def send_fenced(self, request: FencedRequest, token: FencingToken, attempt: int) -> None:
        """Send a request; without an answer, retry with the same token, so that the receiver executes it only once."""
        lease = self.lease

        def responded(response: ReceiverResponse) -> None:
            if lease.is_ended:
                return
            highest = response.highest_token
            if highest is not None and highest > token:
                return self._rejected(request.receiver, highest)
            if response.answered:
                return lease.finish(Completed(token, response.body, response.done))
            if attempt < MAX_ATTEMPTS:
                return lease.after(RETRY_US, lambda: self.send_fenced(request, token, attempt + 1))
            return lease.finish(ReceiverUnreachableError(f"{lease.name}: {request.receiver} does not answer"))

        lease.context.receivers.send_fenced(request.receiver, lease.name, token, request.body, responded)

    def _rejected(self, receiver: str, highest: FencingToken) -> None:
        """Handle a rejection: another leader has taken over, or the registers were lost and created again."""
        lease = self.lease

        def verified(found: LeaseRecord | None) -> None:
            if found is None:
                return lease.finish(NoMajorityError(lease.name))
            if FencingToken(*found.position) > highest:
                return lease.finish(LeaderBusyError(f"{lease.name}: overtaken by a later change of its own"))
            return self._suspend(receiver, highest, found)

        lease.register.verify(verified)

    def _suspend(self, receiver: str, highest: FencingToken, found: LeaseRecord) -> None:
        lease = self.lease
        reason = (
            f"{receiver} knows of generation {highest.generation}, term {highest.term}; "
            f"the registers, {found.generation}, {found.term}"
        )
        lease.context.services.count("duties: forgotten")

        def suspended(outcome: Outcome) -> None:
            lease.end(RegistersLostError(f"{lease.name}: {reason}"))

        lease.register.change(suspended, Suspend, reason, highest.generation + 1)
