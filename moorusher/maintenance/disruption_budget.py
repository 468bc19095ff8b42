"""What the fleet can do without, worked out from what its members say of themselves.

A machine counts as out from its grant until it serves as before; one that is not heard of counts as out, too, whether
somebody asked for that or not. What stays must be able to take the load there is, and the highest of the last while.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..membership.placement import majority
from .policy import Policy
from .schedule import Ask, Roster

SICK = 50  # percent of weight, under which a machine is mended before others
FULL = 100


@dataclass(frozen=True, slots=True)
class View:
    """A seat as one member knows it. `cores`, `load` and `peak` in cores; `weight` in percent."""

    seat: str
    zone: str = ""
    group: str = ""
    up: bool = False
    cores: float = 0.0
    weight: int = 0
    load: float = 0.0
    peak: float = 0.0
    whole: bool = True  # as a keeper of the roster it has forgotten nothing,
    lasting: bool = False  # and its next process will not have

    @property
    def capacity(self) -> float:
        return self.cores * self.weight / FULL if self.up else 0.0

    @property
    def sick(self) -> bool:
        return self.up and self.weight < SICK


class Spare:
    """One reckoning over one roster. `why_not` tells what keeps a seat in; `take` counts one out for those after it."""

    def __init__(self, views: Iterable[View], roster: Roster, keepers: Sequence[str], policy: Policy) -> None:
        """`keepers`: the seats that keep the roster."""
        self.views = {v.seat: v for v in views}
        self.policy, self.roster = policy, roster
        turns = {t.seat for t in roster.turns}
        self.lost = {v.seat for v in self.views.values() if not v.up and v.seat not in turns}
        self.out = turns | self.lost
        staying = [v for v in self.views.values() if v.seat not in self.out]
        self.whole = sum(v.cores for v in self.views.values())
        self.capacity = sum(v.capacity for v in staying)
        self.cores = sum(v.cores for v in staying)
        served = [v for v in self.views.values() if v.up]
        self.need = max(sum(v.load for v in served), sum(v.peak for v in served))
        self.zones = Counter(self.views[s].zone for s in self.out if s in self.views)
        self.groups = Counter(
            self.views[s].group for s in self.out if s in self.views and self.views[s].group
        )
        asks = {a.id: a for a in roster.asks}
        # Zones in which something is out that wants nobody beside it.
        self.alone = {
            self.views[t.seat].zone
            for t in roster.turns
            if t.seat in self.views and (t.ask not in asks or not asks[t.ask].together)
        }
        self.alone |= {self.views[s].zone for s in self.lost}
        self.keepers = set(keepers)
        # One more that is lost unasked, and forgets, must not lose the order of all.
        self.forgetful = sum(s in self.views and not self.views[s].lasting for s in self.keepers & turns)
        self.able = {s for s in self.keepers if s in self.views and s not in self.out and self.views[s].whole}

    def why_not(self, ask: Ask, seat: str) -> str | None:
        """Why it stays for now; None where it may go. In words for operators."""
        view, policy = self.views.get(seat), self.policy
        if view is None:
            return "no such seat in this runner's file"
        if seat in self.lost:
            return "not heard of; it counts as out already"
        if seat in self.out:
            return "it is out for another ask"
        if len(self.out) + 1 > policy.most:
            return f"{self._who()} out, at most {policy.most} may be"
        if self.zones[view.zone] + 1 > policy.most_zone:
            return f"zone {view.zone or 'none'} has {self.zones[view.zone]} out, at most {policy.most_zone} may be"
        if self.zones[view.zone] and (not ask.together or view.zone in self.alone):
            return f"zone {view.zone or 'none'} has one out, and not both may be done with others"
        if view.group and self.groups[view.group] + 1 > policy.most_group:
            return f"group {view.group} has {self.groups[view.group]} out, at most {policy.most_group} may be"
        if seat in self.keepers and len(self.able - {seat}) < majority(len(self.keepers)):
            return f"it keeps the order itself, and without it {len(self.able - {seat})} of {len(self.keepers)} could"
        most = max(1, len(self.keepers) - majority(len(self.keepers)) - 1)
        if seat in self.keepers and not view.lasting and self.forgetful + 1 > most:
            return f"it keeps the order itself, without a journal, and so do {self.forgetful} of those that are out"
        if self.cores - view.cores < policy.least_share * self.whole:
            return f"{self.cores - view.cores:g} of {self.whole:g} cores would stay, {policy.least_share:.0%} must"
        left = self.capacity - view.capacity
        if self.need > policy.fill * left:
            return f"{self.need:.1f} cores are needed, and {policy.fill:.0%} of {left:.1f} would be there"
        return None

    def _who(self) -> str:
        named = sorted(self.out)
        return ", ".join(named[:3]) + (
            f" and {len(named) - 3} more are" if len(named) > 3 else " is" if len(named) == 1 else " are"
        )

    def take(self, ask: Ask, seat: str) -> None:
        view = self.views[seat]
        self.out.add(seat)
        self.able.discard(seat)
        self.forgetful += seat in self.keepers and not view.lasting
        self.capacity -= view.capacity
        self.cores -= view.cores
        self.zones[view.zone] += 1
        if view.group:
            self.groups[view.group] += 1
        if not ask.together:
            self.alone.add(view.zone)
