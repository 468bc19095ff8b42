"""The kinds of effect that a leader may have, and what becomes of them.

A leader acts only by handing one of these to its `LeaseHolder`. Each kind states how a former leader is fenced from
doing harm with it; there is no unfenced kind.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .errors import LeadershipError
from .fencing_token import FencingToken
from .lease_record import IntentResolution


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Replaces the duty's state. Fenced by the register: a majority rejects it once the term is over."""

    state: bytes


@dataclass(frozen=True, slots=True)
class DeferredStateUpdate:
    """A state update whose state is read when its turn comes, after the effects that were submitted before it."""

    read: Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class FencedRequest:
    """A request to a receiver that compares fencing tokens. `receiver`: host:port."""

    receiver: str
    body: bytes


@dataclass(frozen=True, slots=True)
class IntentRequest:
    """A request to a receiver that can't compare tokens: the intent is recorded by a majority first.

    payload: bytes, at most `lease_record.MAX_INTENT_BYTES`.
    resolution: how a later leader finds the outcome, if this one does not report it.
    """

    receiver: str
    payload: bytes
    resolution: IntentResolution


Effect = StateUpdate | DeferredStateUpdate | FencedRequest | IntentRequest


@dataclass(frozen=True, slots=True)
class Completed:
    """An effect that was carried out. `done` is False for an intent that the receiver will never do."""

    token: FencingToken
    answer: bytes = b""
    done: bool = True


Outcome = Completed | LeadershipError
OutcomeCallback = Callable[[Outcome], None]


@dataclass(frozen=True, slots=True)
class ReceiverResponse:
    """What a receiver answered.

    answered: bool; without an answer it may have done the request or not.
    done: bool, the request was done.
    body: bytes, of the answer.
    highest_token: it rejected the request, as it knows this later token.
    """

    answered: bool
    done: bool = False
    body: bytes = b""
    highest_token: FencingToken | None = None


NO_RESPONSE = ReceiverResponse(answered=False)
ResponseCallback = Callable[[ReceiverResponse], None]
