"""The state of one call as the load balancer keeps it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import tolerates_duplicates

from .endpoint import Endpoint


class CallState(Enum):
    """Where a call stands."""

    STARTING = "starting"  # no endpoint was looked for yet
    QUEUED = "queued"  # no endpoint has capacity
    IN_FLIGHT = "in flight"  # at least one attempt is
    BACKING_OFF = "backing off"  # a timer will start the next attempt
    EXPIRED = "expired"  # its deadline is too near for an attempt; its owner cancels it by its own clock


@dataclass(slots=True)
class OpenCall:
    """One call.

    call_id: the request's number.
    effect: the request's class of effect; it decides what may run twice.
    deadline: in microseconds.
    max_attempts: hedged ones included.
    """

    call_id: int
    effect: Effect
    deadline: int
    max_attempts: int
    state: CallState = CallState.STARTING
    # Attempts in flight, by id; not empty in IN_FLIGHT and empty in every other state.
    attempts: dict[int, Endpoint] = field(default_factory=dict)
    attempts_made: int = 0
    # The endpoint of the newest attempt; a retry avoids it.
    last_endpoint: Endpoint | None = None
    hedged: bool = False
    # The end of the backoff, in microseconds; of use in BACKING_OFF only.
    retry_at: int = 0

    @property
    def tolerates_duplicates(self) -> bool:
        """Whether copies do no harm: only such calls are hedged, or serve as a health check."""
        return tolerates_duplicates(self.effect)
