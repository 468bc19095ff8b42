"""Who writes the next step: the keepers of the roster, the first of them at once, the next ones where nothing happens.
None of them is needed, and two that do so at one time do no harm: the later grant is of a roster that is no more.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..membership.failure_detector import MS, FailureDetector
from ..membership.placement import Placement
from .disruption_budget import Spare, View
from .next_step import Calm, Step, plan
from .policy import Policy
from .schedule import Roster, Stage
from .transitions import Grant

TURN = 1_500 * MS  # nothing has happened for so long: the next keeper tries
AGAIN = 1_000 * MS  # a grant that its machine has not taken up is told again


def views(seats: Placement, members: FailureDetector) -> list[View]:
    """The seats as this member knows them."""
    made = []
    for name in seats.names:
        seat, member = seats.by_name[name], members.by_seat[name]
        word = member.status
        made.append(
            View(
                name,
                seat.zone,
                seat.group,
                member.is_alive,
                word.cores,
                word.weight,
                word.load / 100,
                word.peak_load / 100,
                word.recovered,
                word.durable,
            )
        )
    return made


class Planner:
    """A keeper that works out the next step, and has the register take it."""

    def __init__(
        self, me: str, seats: Placement, members: FailureDetector, keepers: Sequence[str], policy: Policy
    ) -> None:
        self.me, self.seats, self.members, self.keepers, self.policy = (
            me,
            seats,
            members,
            tuple(keepers),
            policy,
        )
        self.calm = Calm(policy.settle_s)
        self._number, self._since = -1, 0
        self._told = 0

    def follow(self, policy: Policy) -> None:
        self.policy, self.calm.settle_s = policy, policy.settle_s

    def _place(self, roster: Roster) -> int:
        """How many keepers come before this one."""
        out = {t.seat for t in roster.turns}
        able = [
            s for s in self.keepers if s == self.me or (self.members.by_seat[s].is_alive and s not in out)
        ]
        return able.index(self.me)

    def _seen(self, roster: Roster, now: int) -> tuple[list[View], float]:
        """The seats, and in how many seconds they have settled."""
        seen = views(self.seats, self.members)
        return seen, self.calm.look(Spare(seen, roster, self.keepers, self.policy), now / 1e6)

    def next(self, roster: Roster, now: int, unix_s: float) -> Grant | None:
        """What to write now, at `now` (us of a clock that only goes forwards)."""
        if roster.number != self._number:
            self._number, self._since = roster.number, now
        seen, settles = self._seen(roster, now)
        if roster.hold or not roster.asks or len(roster.turns) >= self.policy.most or settles > 0:
            self._since = max(self._since, now if settles > 0 else 0)
            return None
        if now - self._since < TURN * self._place(roster):
            return None
        step = plan(roster, seen, self.keepers, self.policy, unix_s)
        if not step.grants:
            return None
        return Grant(roster.number, step.grants, self.policy.most, unix_s)

    def shown(self, roster: Roster, now: int, unix_s: float) -> Step:
        """With the reason of each that waits."""
        seen, settles = self._seen(roster, now)
        return plan(roster, seen, self.keepers, self.policy, unix_s, settles, explain=True)

    def to_tell(self, roster: Roster, now: int) -> list[str]:
        """Seats that seem not to have heard of their grant."""
        if now - self._told < AGAIN or not roster.turns or self._place(roster):
            return []
        self._told = now
        return [t.seat for t in roster.turns if t.at is Stage.DRAINING and not t.inc and t.seat != self.me]
