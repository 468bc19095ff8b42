"""The interfaces around a leader: who does the work of a duty, and the receivers of its effects."""

from __future__ import annotations

from typing import Protocol

from .effects import ResponseCallback
from .errors import LeadershipError
from .fencing_token import FencingToken
from .lease_record import Intent


class Worker(Protocol):
    """Does the work of a duty while this member leads it."""

    def start(self) -> None:
        """The state of the duty is there; effects may be submitted."""

    def before_release(self) -> None:
        """The lease is about to be released: a last state may be submitted now."""

    def stop(self, reason: LeadershipError | None) -> None:
        """The term is over. Nothing may go on. `reason` is None after a release in order."""


class EffectReceivers(Protocol):
    """Sends requests to receivers outside the fleet. Each callback is called once, also if there is no answer."""

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """Send a request with its fencing token. The same token may be sent again: it counts once."""

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Send a recorded intent."""

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Ask whether an intent was done. A receiver that answers no never does it from then on."""
