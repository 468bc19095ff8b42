"""Intents of one lease: records them before they are sent, and resolves those without a known outcome."""

from __future__ import annotations

from collections.abc import Callable

from ..time_units import MS
from .effects import Completed, IntentRequest, Outcome, ReceiverResponse
from .errors import IntentUncertainError, LeaderBusyError, LimitExceededError
from .fencing_token import FencingToken
from .holder_changes import AddIntent, CloseIntent
from .lease_interface import HeldLease
from .lease_record import Intent, IntentResolution
from .serial_queue import ignore_outcome

RETRY_US = 1_000 * MS


class IntentResolver:
    """Handles the intents of this term and the intents that an earlier leader left open.

    Attributes:
        on_resolved: Called with an open intent that was resolved, and whether it was executed.
    """

    def __init__(self, lease: HeldLease) -> None:
        self.on_resolved: Callable[[Intent, bool], None] = lambda intent, done: None
        self._lease = lease
        # Revisions of intents that are being sent or resolved.
        self._in_progress: set[int] = set()
        # Revisions of intents that were sent in this term.
        self._sent: set[int] = set()

    # ---- intents of this term ----

    def record(self, request: IntentRequest) -> None:
        """Record the intent at a majority, then send it."""
        lease = self._lease
        open_intents = len(lease.record.intents)
        if open_intents >= lease.context.policy.max_open_intents:
            return lease.finish(LimitExceededError(f"{lease.name}: {open_intents} intents are open"))

        def recorded(outcome: Outcome) -> None:
            if not isinstance(outcome, Completed):
                return lease.finish(outcome)
            intent = self._find_unsent(request)
            if intent is None:
                return lease.finish(LeaderBusyError(f"{lease.name}: an operator has settled it at once"))
            return self._send(intent, outcome.token)

        return lease.register.change(
            recorded, AddIntent, request.receiver, request.payload, request.resolution
        )

    def _find_unsent(self, request: IntentRequest) -> Intent | None:
        expected = (self._lease.record.term, request.receiver, request.payload)
        for intent in reversed(self._lease.record.intents):
            is_match = (intent.term, intent.receiver, intent.payload) == expected
            if is_match and intent.revision not in self._sent:
                return intent
        return None

    def _send(self, intent: Intent, token: FencingToken) -> None:
        lease = self._lease
        self._in_progress.add(intent.revision)
        self._sent.add(intent.revision)
        lease.context.receivers.send_intent(
            intent.receiver, lease.name, intent, lambda response: self._responded(intent, token, response)
        )

    def _responded(self, intent: Intent, token: FencingToken, response: ReceiverResponse) -> None:
        lease = self._lease
        if lease.is_ended:
            return
        self._in_progress.discard(intent.revision)
        if not response.answered:
            self.resolve_open()
            return lease.finish(
                IntentUncertainError(
                    f"{lease.name}: {intent.receiver} has not said whether {intent.revision} was done"
                )
            )

        def closed(outcome: Outcome) -> None:
            if isinstance(outcome, Completed):
                self._sent.discard(intent.revision)
            # The receiver has answered, so the effect is complete even if closing the intent failed.
            lease.finish(Completed(token, response.body, response.done))
            self.resolve_open()

        return lease.register.change(closed, CloseIntent, intent.revision)

    # ---- open intents of an earlier leader, or of a receiver that did not answer ----

    def resolve_open(self) -> None:
        """Resolve all open intents that don't require an operator."""
        for intent in self._lease.record.intents:
            if intent.revision in self._in_progress:
                continue
            was_never_sent = self._was_never_sent(intent)
            if intent.resolution == IntentResolution.OPERATOR_DECIDES and not was_never_sent:
                continue
            self._in_progress.add(intent.revision)
            self._resolve(intent, was_never_sent)

    def _was_never_sent(self, intent: Intent) -> bool:
        """Return whether an intent was recorded in this term but was not sent, and will not be."""
        # This happens if the intent is chosen after its caller has received NoMajorityError.
        return intent.term == self._lease.record.term and intent.revision not in self._sent

    def _resolve(self, intent: Intent, was_never_sent: bool) -> None:
        lease = self._lease
        receivers = lease.context.receivers

        def responded(response: ReceiverResponse) -> None:
            if lease.is_ended:
                return
            if not response.answered:
                return lease.after(RETRY_US, lambda: self._resolve(intent, was_never_sent=False))
            self._close(intent, response.done)

        if was_never_sent:
            responded(ReceiverResponse(answered=True, done=False))
        elif intent.resolution == IntentResolution.REPEAT:
            receivers.send_intent(intent.receiver, lease.name, intent, responded)
        else:
            receivers.query_intent(intent.receiver, lease.name, intent, responded)

    def _close(self, intent: Intent, done: bool) -> None:
        lease = self._lease

        def closed(outcome: Outcome) -> None:
            if isinstance(outcome, Completed):
                lease.context.services.count("duties: an open intent settled")
                self._sent.discard(intent.revision)
                self.on_resolved(intent, done)
            else:
                self._in_progress.discard(intent.revision)
                lease.context.services.after(RETRY_US, self.resolve_open)
            lease.finish(outcome)

        lease.enqueue(lambda: lease.register.change(closed, CloseIntent, intent.revision), ignore_outcome)
