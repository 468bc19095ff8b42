"""State of one call in the load balancer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import tolerates_duplicates

from .endpoint import Endpoint


class CallState(Enum):
    """State of a call."""

    STARTING = "starting"  # no endpoint has been selected yet
    QUEUED = "queued"  # no endpoint has capacity
    IN_FLIGHT = "in flight"  # at least one attempt is in flight
    BACKING_OFF = "backing off"  # a timer will start the next attempt
    # The deadline is too near for an attempt; the caller cancels the call at the deadline.
    EXPIRED = "expired"


@dataclass(slots=True)
class OpenCall:
    """A call that has not ended.

    Attributes:
        call_id: Number of the request that makes the call.
        effect: Effect class of the request; determines whether the call may run twice.
        deadline: In microseconds.
        max_attempts: Includes hedged attempts.
    """

    call_id: int
    effect: Effect
    deadline: int
    max_attempts: int
    state: CallState = CallState.STARTING
    # Endpoints of the attempts in flight, by attempt id; empty in every state except IN_FLIGHT.
    attempts: dict[int, Endpoint] = field(default_factory=dict)
    attempts_made: int = 0
    # Endpoint of the latest attempt; a retry avoids it.
    last_endpoint: Endpoint | None = None
    hedged: bool = False
    # End of the backoff in microseconds; valid only in BACKING_OFF.
    retry_at: int = 0

    @property
    def tolerates_duplicates(self) -> bool:
        """Whether the call may run twice; only such calls are hedged or used as health checks."""
        return tolerates_duplicates(self.effect)
