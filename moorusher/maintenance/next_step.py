"""The next step, which every member works out alike from the roster and from what it knows of the others."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .disruption_budget import Spare, View
from .policy import Policy
from .queue_order import waiting
from .schedule import Ask, Roster, Stage

SHRUNK = 0.98  # of its capacity: less than that, and what stays has shrunk
AROUND_S = 10.0  # guessed for what goes before and after the work, where the order is foretold


@dataclass(slots=True)
class Step:
    """The next changes of the roster, and why there are no more."""

    grants: list[tuple[str, str]] = field(default_factory=list)  # (ask, seat)
    why: dict[tuple[str, str], str] = field(default_factory=dict)  # of those that stay
    order: list[tuple[Ask, str]] = field(default_factory=list)


@dataclass(slots=True)
class Calm:
    """Whether what stays has settled: it has not shrunk for a while, and nobody went or came back meanwhile."""

    settle_s: float
    since_s: float = 0.0
    _level: float = -1.0
    _out: frozenset[str] = frozenset()

    def look(self, spare: Spare, now_s: float) -> float:
        """Seconds that it is yet to be waited for. `now_s`: of a clock that only goes forwards."""
        out = frozenset(spare.out)
        # Where one is back, its load comes back to it from the others: that settles, too.
        if out != self._out or self._level < 0 or spare.capacity < SHRUNK * self._level:
            self.since_s, self._level = now_s, spare.capacity
        self._out, self._level = out, max(self._level, spare.capacity)
        return max(0.0, self.settle_s - (now_s - self.since_s))


def plan(
    roster: Roster,
    views: Iterable[View],
    keepers: Sequence[str],
    policy: Policy,
    now_s: float,
    calm_in_s: float = 0.0,
    explain: bool = False,
) -> Step:
    """`now_s`: Unix time. `explain`: with the reason of each that stays, and the order."""
    step = Step()
    if not roster.asks:
        return step
    spare = Spare(views, roster, keepers, policy)
    for ask, seat in waiting(roster, spare, policy, now_s):
        step.order.append((ask, seat))
        if roster.hold:
            why: str | None = f"held: {roster.hold}"
        elif ask.not_before_s > now_s:
            why = f"not before {ask.not_before_s - now_s:.0f} s from now"
        else:
            why = spare.why_not(ask, seat)
            if why is None and calm_in_s > 0:
                why = f"next, once what stays has settled: {calm_in_s:.1f} s at least"
                spare.take(ask, seat)
            elif why is None:
                step.grants.append((ask.id, seat))
                spare.take(ask, seat)
                why = "next"
        if explain:
            step.why[ask.id, seat] = why or ""
        elif len(spare.out) >= policy.most:
            break
    return step


def foretold(
    roster: Roster, order: Sequence[tuple[Ask, str]], zones: dict[str, str], policy: Policy, now_s: float
) -> dict[tuple[str, str], float]:
    """When each that waits is likely to go, in seconds from now, were everything as wished and as long as was said."""
    ends: list[tuple[float, str]] = []  # (when, zone) of those that are out
    for turn in roster.turns:
        left = turn.lasts_s + AROUND_S - (now_s - turn.since_s if turn.at is Stage.OUT else 0.0)
        ends.append((max(0.0, left), zones.get(turn.seat, "")))
    heapq.heapify(ends)
    out: dict[str, int] = {}
    for _, zone in ends:
        out[zone] = out.get(zone, 0) + 1
    told: dict[tuple[str, str], float] = {}
    rest, now = list(order), 0.0
    while rest:
        going = []
        for i, (ask, seat) in enumerate(rest):
            zone = zones.get(seat, "")
            if len(ends) >= policy.most:
                break
            if out.get(zone, 0) < policy.most_zone:
                going.append(i)
                told[ask.id, seat] = max(now, ask.not_before_s - now_s)
                heapq.heappush(ends, (now + ask.lasts_s + AROUND_S, zone))
                out[zone] = out.get(zone, 0) + 1
        for i in reversed(going):
            del rest[i]
        if rest:
            if not ends:
                break
            now, zone = heapq.heappop(ends)
            out[zone] -= 1
    return told
