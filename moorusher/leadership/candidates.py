"""Selects the members that should lead a duty by rendezvous hashing with bounded loads.

Rendezvous hashing (Thaler and Ravishankar 1998) gives each duty its own order of all seats. The first member below its
capacity is preferred (bounded loads: Mirrokni, Thorup and Zadimoghaddam 2018). Assignment is sticky: a leader keeps
its duties unless it is overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

import xxhash

from ..membership.placement import rendezvous_score
from ..replication.work_record import KeyDigest

# Capacity of a member as a multiple of the fair share. Members below their capacity are preferred.
CAPACITY_FACTOR = 1.25
# The overload threshold is this multiple of the fair share, plus one.
OVERLOAD_FACTOR = 1.5
MAX_BACKOFF_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class Candidate:
    """A member with the fitness and the load that it reports.

    Attributes:
        seat: Seat of the member.
        is_fit: Whether it is ready to lead.
        led_duties: Number of duties that it leads.
        stored_duties: Number of duties whose register it replicates.
        is_stable: Whether its backoff after the latest loss has elapsed.
    """

    seat: str
    is_fit: bool
    led_duties: int
    stored_duties: int
    is_stable: bool = True


def fair_share(candidates: Iterable[Candidate], replicas: int) -> float:
    """Return the mean number of duties per fit member. `replicas` is the number of replicas per register."""
    members = list(candidates)
    fit_members = sum(member.is_fit for member in members)
    stored_copies = sum(member.stored_duties for member in members)
    return stored_copies / max(1, replicas) / max(1, fit_members)


def capacity(share: float) -> int:
    """Return the number of duties with which a member is at capacity."""
    return max(1, ceil(CAPACITY_FACTOR * share))


def overload_threshold(share: float) -> int:
    """Return the number of duties at which a member declines offers, and above which it hands duties over."""
    # A surplus of one duty does not justify a handover.
    return max(2, ceil(OVERLOAD_FACTOR * share) + 1)


def preference_order(key: KeyDigest, candidates: Iterable[Candidate], share: float) -> list[str]:
    """Return the seats of fit members by preference: members at capacity come late, unstable members last."""
    digest = xxhash.xxh64_digest(key)
    limit = capacity(share)

    def rank(member: Candidate) -> tuple[bool, bool, float]:
        return not member.is_stable, member.led_duties >= limit, -rendezvous_score(member.seat, digest)

    return [member.seat for member in sorted((m for m in candidates if m.is_fit), key=rank)]


@dataclass(frozen=True, slots=True)
class LossHistory:
    """Number of recent losses of a member, and the time of the latest one in us."""

    count: int
    last_us: int


@dataclass(slots=True)
class StabilityTracker:
    """Tracks losses of members; each loss doubles the time during which a member counts as unstable.

    Attributes:
        first_backoff_us: Backoff after the first loss.
        max_backoff_us: Limit of the backoff.
        losses: Loss history by seat.
    """

    first_backoff_us: int
    max_backoff_us: int
    losses: dict[str, LossHistory] = field(default_factory=dict)

    def record_loss(self, now_us: int, seat: str) -> None:
        """Record a loss; earlier losses no longer count if none occurred for `max_backoff_us`."""
        history = self.losses.get(seat, LossHistory(0, now_us))
        count = 0 if now_us - history.last_us > self.max_backoff_us else history.count
        self.losses[seat] = LossHistory(count + 1, now_us)

    def is_stable(self, now_us: int, seat: str) -> bool:
        """Return whether the backoff of the seat has elapsed."""
        history = self.losses.get(seat)
        return history is None or now_us - history.last_us >= self.backoff_us(history.count)

    def backoff_us(self, losses: int) -> int:
        """Return the backoff after the given number of losses."""
        return min(self.max_backoff_us, self.first_backoff_us << min(losses - 1, MAX_BACKOFF_DOUBLINGS))
