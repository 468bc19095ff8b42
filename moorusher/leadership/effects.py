"""The kinds of effects that a leader can have, and their outcomes.

A leader acts only by submitting one of these effects to its `LeaseHolder`. Every kind of effect is fenced against
former leaders; its class states how.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .errors import LeadershipError
from .fencing_token import FencingToken
from .lease_record import IntentResolution


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Replaces the duty's state. Fenced by the register: a majority rejects the update once the term has ended."""

    state: bytes


@dataclass(frozen=True, slots=True)
class DeferredStateUpdate:
    """A state update that reads the new state when it is executed, after all effects submitted before it."""

    read: Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class FencedRequest:
    """A request to a receiver that compares fencing tokens.

    Attributes:
        receiver: Address of the receiver as host:port.
        body: Body of the request.
    """

    receiver: str
    body: bytes


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """A request to a receiver that can't compare tokens; a majority records the intent before it is sent.

    Attributes:
        receiver: Address of the receiver.
        payload: Request of at most `lease_record.MAX_INTENT_BYTES`.
        resolution: How the outcome is determined if the receiver does not answer or this leader is lost.
    """

    receiver: str
    payload: bytes
    resolution: IntentResolution


Effect = StateUpdate | DeferredStateUpdate | FencedRequest | IntentRequest


@dataclass(frozen=True, slots=True)
class Completed:
    """Outcome of an effect that was executed.

    Attributes:
        token: Fencing token of the effect.
        answer: Body of the receiver's answer.
        done: Whether the effect was executed. False only for an intent that the receiver will never execute.
    """

    token: FencingToken
    answer: bytes = b""
    done: bool = True


Outcome = Completed | LeadershipError
OutcomeCallback = Callable[[Outcome], None]


@dataclass(frozen=True, slots=True)
class ReceiverResponse:
    """Response of a receiver.

    Attributes:
        answered: Whether an answer arrived. Without one it is unknown whether the request was executed.
        done: Whether the request was executed.
        body: Body of the answer.
        highest_token: Highest token that the receiver knows, if it rejected the request because of that token.
    """

    answered: bool
    done: bool = False
    body: bytes = b""
    highest_token: FencingToken | None = None


NO_RESPONSE = ReceiverResponse(answered=False)
ResponseCallback = Callable[[ReceiverResponse], None]
