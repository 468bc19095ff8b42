"""Requests of the experiment "takeover", and their results."""

from __future__ import annotations

from dataclasses import dataclass, field

from .arrivals import Arrival


@dataclass(slots=True)
class CallerRequest:
    """One request with all of its attempts; times are in seconds since the load began.

    Attributes:
        token: Idempotency key, or empty.
        sent_at: Time of the first attempt.
        runners: Indexes of the runners to which the request was sent, in order.
        outcome: Final outcome, empty until there is one.
        ended_at: Time of the outcome.
    """

    arrival: Arrival
    token: str
    sent_at: float
    runners: list[int] = field(default_factory=list)
    outcome: str = ""
    ended_at: float = 0.0

    @property
    def deadline_s(self) -> float:
        """Deadline in seconds from the first attempt."""
        return self.arrival.request_class.deadline_ms / 1000

    @property
    def served_in_time(self) -> bool:
        """Whether the request was served within its deadline."""
        return self.outcome == "served" and self.ended_at - self.sent_at <= self.deadline_s


@dataclass(frozen=True, slots=True)
class TakeoverResult:
    """Result of one arm with one seed.

    Attributes:
        tokens: Number of keyed requests.
        executed_twice: Number of keyed requests that were executed more than once.
        open_at_loss: Number of keyed requests that the failed runners had not answered when they failed.
        queued_at_loss: Number of those open requests that the failed runners had not started.
        queued_served: Share of the queued requests that were served in time.
        without_outcome: Number of the open requests that never had an outcome.
        executions_per_served: Runs of keyed requests, divided by the number of keyed requests served in time.
        served: Share of the keyed requests served in time.
        unkeyed_served: Share served in time of the requests without a key that were sent to the
            other runners after the failure.
        takeover_s: Time from the failure until another runner started a queued request, or -1.
    """

    tokens: int
    executed_twice: int
    open_at_loss: int
    queued_at_loss: int
    queued_served: float
    without_outcome: int
    executions_per_served: float
    served: float
    unkeyed_served: float
    takeover_s: float

    @property
    def has_takeover(self) -> bool:
        """Whether another runner ever started a queued request."""
        return self.takeover_s >= 0

    def figures(self) -> dict[str, float]:
        """Return the figures under their names in the report."""
        return {
            "tokens": self.tokens,
            "begun twice": self.executed_twice,
            "in hand": self.open_at_loss,
            "held": self.queued_at_loss,
            "held served": self.queued_served,
            "no ending": self.without_outcome,
            "runs for one served": self.executions_per_served,
            "served": self.served,
            "rest": self.unkeyed_served,
            "takeover s": self.takeover_s,
        }


def count_served(requests: list[CallerRequest]) -> int:
    """Return the number of requests that were served in time."""
    return sum(request.served_in_time for request in requests)


def share_served(requests: list[CallerRequest]) -> float:
    """Return the share of requests that were served in time, 0 if there are no requests."""
    return count_served(requests) / max(1, len(requests))
