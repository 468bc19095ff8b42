"""Interfaces of a duty's worker and of the receivers of its effects."""

from __future__ import annotations

from typing import Protocol

from .effects import ResponseCallback
from .errors import LeadershipError
from .fencing_token import FencingToken
from .lease_record import Intent


class Worker(Protocol):
    """Performs a duty while this member leads it."""

    def start(self) -> None:
        """Start the work. The state of the duty is available, and effects can be submitted."""

    def before_release(self) -> None:
        """Called before the lease is released; the worker can submit a final state."""

    def stop(self, reason: LeadershipError | None) -> None:
        """Stop all work, since the term has ended. `reason` is None after an orderly release."""


class EffectReceivers(Protocol):
    """Sends requests to receivers outside the fleet. Each callback is called once, even if there is no answer."""

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """Send a request with its fencing token. The receiver executes it only once, even if it is sent twice."""

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Send a recorded intent."""

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Query whether an intent was executed. A receiver that answers no must never execute it afterwards."""
