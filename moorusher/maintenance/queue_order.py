"""Who goes first among those that wait. Nobody waits for ever: waiting weighs as much as priority, in the end."""

from __future__ import annotations

from .disruption_budget import Spare
from .policy import Policy
from .schedule import Ask, Roster

PRESSING = 2.0  # times what the work lasts, before its due time, from which nothing else goes first

Rank = tuple[bool, float, bool, float, int, float, str]


def rank(ask: Ask, seat: str, spare: Spare, policy: Policy, now_s: float) -> Rank:
    """The lowest goes first: what is due soon; by priority and age; what is sick, as it is worth least to those that
    stay; what is due at all; the zone with the fewest out."""
    view = spare.views.get(seat)
    pressing = bool(ask.due_s) and now_s >= ask.due_s - PRESSING * ask.lasts_s
    weight = ask.priority + max(0.0, now_s - ask.asked_s) / policy.ages_s
    # A step of age counts as whole, or no two asks would ever be alike and what follows would never decide.
    return (
        not pressing,
        -float(int(weight)),
        not (view is not None and view.sick),
        ask.due_s or float("inf"),
        0 if view is None else spare.zones[view.zone],
        ask.asked_s,
        seat,
    )


def waiting(roster: Roster, spare: Spare, policy: Policy, now_s: float) -> list[tuple[Ask, str]]:
    """All that wait, who goes first at the front."""
    return sorted(roster.waits(), key=lambda w: rank(w[0], w[1], spare, policy, now_s))
