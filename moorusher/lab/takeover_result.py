"""Requests of the experiment "takeover", and what came of them."""

from __future__ import annotations

from dataclasses import dataclass, field

from .arrivals import Arrival


@dataclass(slots=True)
class CallerRequest:
    """One request, over all of its tries; times in s from the start.

    Attributes:
        token: its idempotency key, empty for none.
        runners: that it was sent to, in order.
        outcome: empty while it has none.
    """

    arrival: Arrival
    token: str
    sent_at: float
    runners: list[int] = field(default_factory=list)
    outcome: str = ""
    ended_at: float = 0.0

    @property
    def deadline_s(self) -> float:
        """From the first try."""
        return self.arrival.request_class.deadline_ms / 1000

    @property
    def served_in_time(self) -> bool:
        """Whether it was served within its deadline."""
        return self.outcome == "served" and self.ended_at - self.sent_at <= self.deadline_s


@dataclass(frozen=True, slots=True)
class TakeoverResult:
    """What came of one play.

    Attributes:
        tokens: keyed requests.
        executed_twice: keys that were begun more than once.
        open_at_loss: keyed requests without an answer at the runners that were lost.
        held_at_loss: those of them that had not begun.
        held_served: share of these that was served in time.
        without_outcome: of those open at the loss.
        executions_per_served: runs for each keyed request served in time.
        served: share of the keyed requests that was served in time.
        others_served: the same of later requests without a key, at the other runners.
        takeover_s: from the loss until another runner began a held request, -1 for never.
    """

    tokens: int
    executed_twice: int
    open_at_loss: int
    held_at_loss: int
    held_served: float
    without_outcome: int
    executions_per_served: float
    served: float
    others_served: float
    takeover_s: float

    @property
    def has_takeover(self) -> bool:
        """Whether another runner ever began a held request."""
        return self.takeover_s >= 0

    def figures(self) -> dict[str, float]:
        """As they stand in a report."""
        return {
            "tokens": self.tokens,
            "begun twice": self.executed_twice,
            "in hand": self.open_at_loss,
            "held": self.held_at_loss,
            "held served": self.held_served,
            "no ending": self.without_outcome,
            "runs for one served": self.executions_per_served,
            "served": self.served,
            "rest": self.others_served,
            "takeover s": self.takeover_s,
        }


def count_served(requests: list[CallerRequest]) -> int:
    """Those that were served in time."""
    return sum(request.served_in_time for request in requests)


def share_served(requests: list[CallerRequest]) -> float:
    """Of those that were served in time, 0 where there is no request."""
    return count_served(requests) / max(1, len(requests))
