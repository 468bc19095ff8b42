"""Which members should lead a duty: rendezvous hashing with bounded loads.

Rendezvous hashing (Thaler and Ravishankar 1998) gives each duty an order of all seats of its own; the first one that is
not full leads it (bounded loads: Mirrokni, Thorup and Zadimoghaddam 2018). Assignment is sticky: a leader keeps its
duties unless it has far more than its share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

import xxhash

from ..membership.placement import rendezvous_score
from ..replication.work_record import KeyDigest

CAPACITY_FACTOR = 1.25  # times the fair share: a member with as many is offered duties last
OVERLOAD_FACTOR = 1.5  # times the fair share, plus one: above it a member declines offers and gives duties up
MAX_BACKOFF_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member, by its own statement.

    seat: str.
    is_fit: bool, ready to lead.
    led_duties: int, that it leads.
    stored_duties: int, whose register it replicates.
    is_stable: bool, it did not come and go lately.
    """

    seat: str
    is_fit: bool
    led_duties: int
    stored_duties: int
    is_stable: bool = True


def fair_share(candidates: Iterable[Candidate], replicas: int) -> float:
    """Return the mean number of duties for a fit member. Each duty's register has so many replicas."""
    members = list(candidates)
    fit_members = sum(member.is_fit for member in members)
    stored_copies = sum(member.stored_duties for member in members)
    return stored_copies / max(1, replicas) / max(1, fit_members)


def capacity(share: float) -> int:
    """Return the number of duties from which on a member is offered further ones last."""
    return max(1, ceil(CAPACITY_FACTOR * share))


def overload_threshold(share: float) -> int:
    """Return the number of duties above which a member gives some up; one above a fair share is not worth a move."""
    return max(2, ceil(OVERLOAD_FACTOR * share) + 1)


def preference_order(key: KeyDigest, candidates: Iterable[Candidate], share: float) -> list[str]:
    """Return the seats of fit members, the preferred one first; full ones come late, unstable ones last."""
    digest = xxhash.xxh64_digest(key)
    limit = capacity(share)

    def rank(member: Candidate) -> tuple[bool, bool, float]:
        return not member.is_stable, member.led_duties >= limit, -rendezvous_score(member.seat, digest)

    return [member.seat for member in sorted((m for m in candidates if m.is_fit), key=rank)]


@dataclass(frozen=True, slots=True)
class LossHistory:
    """How often a member was lost, and when last, in us."""

    count: int
    last_us: int


@dataclass(slots=True)
class StabilityTracker:
    """Backs off members that come and go: after each loss one is passed over for longer.

    first_backoff_us, max_backoff_us: int; the backoff doubles from one to the other.
    losses: by seat.
    """

    first_backoff_us: int
    max_backoff_us: int
    losses: dict[str, LossHistory] = field(default_factory=dict)

    def record_loss(self, now_us: int, seat: str) -> None:
        """Count a loss; those before `max_backoff_us` without one are forgotten."""
        history = self.losses.get(seat, LossHistory(0, now_us))
        count = 0 if now_us - history.last_us > self.max_backoff_us else history.count
        self.losses[seat] = LossHistory(count + 1, now_us)

    def is_stable(self, now_us: int, seat: str) -> bool:
        """Whether the backoff of the seat is over."""
        history = self.losses.get(seat)
        return history is None or now_us - history.last_us >= self.backoff_us(history.count)

    def backoff_us(self, losses: int) -> int:
        """Return the backoff after so many losses."""
        return min(self.max_backoff_us, self.first_backoff_us << min(losses - 1, MAX_BACKOFF_DOUBLINGS))
