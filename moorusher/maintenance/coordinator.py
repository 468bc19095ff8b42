"""One member's part in the outages of the fleet: it keeps the roster or looks at it, does what its own turn asks for,
takes operators' words, and, as a keeper, writes the next step.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import msgspec

from ..membership.failure_detector import MS
from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import ComponentMessage
from ..replication.node import Node
from ..replication.proposer import ChangeResult
from ..replication.register_space import CLUSTER_SPACE, FOREVER_US, RegisterSpace
from ..replication.work_record import Key
from . import messages
from .errors import NoMajority, NoSuchSeat, NotHere, OutageError
from .local_machine import Do, Doing, Own, decide, proves
from .messages import Changed
from .planner import Planner
from .policy import Policy
from .schedule import EMPTY, KEY, Ask, Ended, Ends, How, Roster, Stage, Turn, unpack
from .transitions import AskFor, Cancel, Change, Go, Hold, Over, Resume

TICK = 200 * MS
MINE = (
    1_000 * MS
)  # with a turn of its own, or with somebody who waits here, the roster is looked at so often,
KEEPS = 3_000 * MS  # by a keeper so often,
WAITS = 5_000 * MS  # and by a machine that waits: it is told of its grant,
IDLE = 30_000 * MS  # as is any other;
PER_SEAT = 100 * MS  # but the keepers are asked as seldom in a large fleet as in a small one
FIRST = 500 * MS
OPERATOR = 2_500 * MS  # for a majority, before an operator is told that there is none
GRACE = 4_000 * MS  # who waits may ask again within that; then what it asked for is withdrawn
MOST_WAITERS = 256
KEPT = 4  # slots: there is one


class Host(Protocol):
    """The process."""

    def unix_s(self) -> float: ...
    def own(self) -> Own: ...  # without what the desk knows itself
    def do(self, doing: Doing, why: str) -> None: ...  # told again and again
    def loud(self, what: str) -> None: ...


@dataclass(frozen=True, slots=True)
class Waited:
    """How it stands with who waits: granted, withdrawn, held back (a person must look), over, or waits yet."""

    word: str
    note: str = ""


@dataclass(slots=True, eq=False)
class _Waiter:
    id: str
    seat: str
    until: int
    then: Callable[[Waited], None]


Told = Callable[[Roster | OutageError], None]


class OutageCoordinator:
    """One member's part in outages: asks, the next step, and what its own machine has to do."""

    def __init__(
        self,
        node: Node,
        host: Host,
        policy: Policy,
        remembers: bool = False,
        keeper: type[Acceptor] = Acceptor,
    ) -> None:
        self.node, self._host, self.policy = node, host, policy
        seats = node.placement
        self.keepers = seats.replicas(KEY)
        self.keeper = keeper(
            node.me,
            node.owner.incarnation,
            seats.replicas,
            frozenset(seats.names) - {node.me},
            remembers,
            KEPT,
            on_change=self._kept,
            permanent=True,
            slice_of=seats.slice_of,
            slice_replicas=seats.slice_replicas,
        )
        self.keeper.own_slices = [seats.slice_of(KEY)] if node.me in self.keepers else []
        self.registers = RegisterSpace(CLUSTER_SPACE, self.keeper, node, None)
        node.add_space(self.registers)
        node.components[messages.PART] = self._heard
        self.planner = (
            Planner(node.me, seats, node.detector, self.keepers, policy) if node.me in self.keepers else None
        )
        self._shows = self.planner or Planner(node.me, seats, node.detector, self.keepers, policy)
        self.roster, self.known = EMPTY, -1  # as last read, and when, in us
        self.doing = Doing.SERVES
        self._look_at = 0
        self._writing = False
        self._since: dict[Doing, int] = {}
        self._said = ""
        self._waiters: list[_Waiter] = []
        self._alone: dict[str, int] = {}  # asks that end with their caller, which is not there: since when

    @property
    def me(self) -> str:
        return self.node.me

    def follow(self, policy: Policy) -> None:
        self.policy = policy
        self._shows.follow(policy)

    # ---- its life ----

    def start(self) -> None:
        self.node.at(self.node.clock() + TICK, self._tick)

    def _tick(self) -> None:
        now = self.node.clock()
        self.node.at(now + TICK, self._tick)
        if now >= self._look_at:
            self.look()
        self._step(now)
        if self.planner is not None and self.known >= 0 and not self._writing:
            self._plan(self.planner, now)
        for waiter in [w for w in self._waiters if now >= w.until]:
            self._answer(waiter, self._word(waiter) or Waited("waits", self.why(waiter.id, waiter.seat)))

    def _plan(self, planner: Planner, now: int) -> None:
        for seat in planner.to_tell(self.roster, now):
            self._say(seat)
        if (grant := planner.next(self.roster, now, self._host.unix_s())) is not None:
            self._write(grant)

    # ---- the roster ----

    def _kept(self, key: Key, slot: RegisterState) -> None:
        self._look_at = 0

    def _heard(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            return self.node.count("outage: a message that can't be read")
        if message.number > self.roster.number:
            self.look()

    def _say(self, seat: str) -> None:
        if seat == self.me:
            self._look_at = 0
        elif seat in self.node.detector.by_seat:
            self.node.send(
                seat, ComponentMessage(messages.PART, messages.encode(Changed(self.roster.number)))
            )

    def _every(self) -> int:
        mine = self.roster.turn(self.me)
        most = PER_SEAT * len(self.node.placement.names)
        if self.known < 0:
            return FIRST
        if mine is not None or self._waiters:
            return MINE
        if self.planner is not None and self.roster.asks:
            return KEEPS
        return max(WAITS if any(self.me in a.waiting for a in self.roster.asks) else IDLE, most)

    def look(self, then: Callable[[bool], None] = lambda read: None) -> None:
        """What is chosen; `then(False)` where no majority says."""
        now = self.node.clock()
        self._look_at = now + round(self._every() * (0.75 + 0.5 * self.node.random()))

        def looked(done: ChangeResult | None) -> None:
            if done is not None:
                self._learned(done.value)
            then(done is not None)

        self.registers.read(KEY, round(self.node.policy.claim_ms * MS), looked)

    def _learned(self, value: bytes | None) -> None:
        roster = unpack(value)
        first, self.known = self.known < 0, self.node.clock()
        if roster.number < self.roster.number:
            return  # an answer that came late
        went_on, self.roster = roster.number > self.roster.number, roster
        if went_on or first:
            self._look_at = min(self._look_at, self.known + self._every())
            self._step(self.known)
        for waiter in list(self._waiters):
            if (word := self._word(waiter)) is not None:
                self._answer(waiter, word)

    def _write(self, change: Change, wait: int = 0, then: Told | None = None) -> None:
        """Of this member's own, one at a time; an operator's at any time."""
        if then is None:
            self._writing = True

        def written(done: ChangeResult | None) -> None:
            if then is None:
                self._writing = False
            if done is None:
                self._look_at = 0  # it may have come about
                if then is not None:
                    then(NoMajority("no majority of the seats that keep the order answers"))
                return
            self._learned(done.value)
            if done.applied:
                for seat in change.touches():
                    self._say(seat)
            if then is not None:
                then(self.roster if change.error is None else change.error)

        self.registers.change(
            KEY,
            change,
            self.node.clock() + FOREVER_US,
            wait or round(self.node.policy.claim_ms * MS),
            written,
        )

    # ---- this machine's own turn ----

    def _own(self, now: int) -> Own:
        return replace(
            self._host.own(),
            seat=self.me,
            inc=self.node.owner.incarnation,
            out=len(self.roster.turns),
            draining_us=now - self._since.get(Doing.DRAINS, now),
            back_us=now - self._since.get(Doing.RETURNS, now),
        )

    def _step(self, now: int) -> None:
        if self.known < 0:
            return  # it does not know yet whether it is out
        turn = self.roster.turn(self.me)
        own = self._own(now)
        do = decide(turn, own, self.policy, self._host.unix_s())
        self._do(do, turn, now)
        gone, alone = self._callers(now, own.mark)
        if self._writing:
            return
        if gone:
            self.node.count("outage: withdrawn, as who waited has gone")
            self._write(
                Cancel(
                    gone[0],
                    [self.me],
                    self._host.unix_s(),
                    "nobody: who waited has gone",
                    self.policy.most_kept,
                )
            )
        elif do.change is not None and not (
            isinstance(do.change, Go) and turn is not None and turn.ask in alone
        ):
            self._write(do.change)

    def _callers(self, now: int, mark: str) -> tuple[list[str], list[str]]:
        """Asks that end with who waits here, and nobody does: any more, or at this moment. Who asked on an earlier
        start of the machine has gone with it; who asks again within a while, as over a runner that is replaced, has
        not."""
        turn = self.roster.turn(self.me)
        draining = turn.ask if turn is not None and turn.at is Stage.DRAINING else ""
        there = {w.id for w in self._waiters}
        alone = {
            a.id: a.bound
            for a in self.roster.asks
            if a.bound and a.id not in there and (self.me in a.waiting or a.id == draining)
        }
        self._alone = {id: self._alone.get(id, now) for id in alone}
        gone = [
            id for id, bound in alone.items() if (mark and bound != mark) or now - self._alone[id] >= GRACE
        ]
        return gone, list(alone)

    def _do(self, do: Do, turn: Turn | None, now: int) -> None:
        if do.doing is not self.doing:
            self.node.count(f"outage: {do.doing.value}")
            self.doing = do.doing
            self._since = {do.doing: now}
        ask = None if turn is None else self.roster.ask(turn.ask)
        self._host.do(do.doing, "" if turn is None else turn.ask if ask is None else ask.reason)
        if do.late and do.late.split(" ", 1)[0] != self._said:
            self._host.loud(f"outage: {self.me}: {do.late}")
        self._said = do.late.split(" ", 1)[0]

    # ---- operators ----

    def ask(self, ask: Ask, then: Told) -> None:
        unknown = [s for s in ask.waiting if s not in self.node.placement.by_name]
        if unknown or not ask.waiting:
            return then(NoSuchSeat(f"{', '.join(unknown) or 'none named'}: no such seat"))
        return self._write(AskFor(ask, self.policy.most_asks), OPERATOR, then)

    def cancel(self, id: str, seats: list[str], by: str, then: Told) -> None:
        self._write(Cancel(id, seats, self._host.unix_s(), by, self.policy.most_kept), OPERATOR, then)

    def hold(self, why: str, then: Told) -> None:
        self._write(Hold(why), OPERATOR, then)

    def resume(self, seat: str, then: Told) -> None:
        self._write(Resume(seat), OPERATOR, then)

    def over(self, seat: str, by: str, then: Told) -> None:
        if seat not in self.node.placement.by_name:
            return then(NoSuchSeat(f"{seat}: no such seat"))
        return self._write(Over(seat, self._host.unix_s(), by, self.policy.most_kept), OPERATOR, then)

    def read(self, then: Callable[[Roster, bool], None]) -> None:
        """The roster, and whether a majority says so now; else it is what was last known here."""
        self.look(lambda current: then(self.roster, current))

    def why(self, id: str, seat: str) -> str:
        return self._shows.shown(self.roster, self.node.clock(), self._host.unix_s()).why.get((id, seat), "")

    def shown(self) -> Any:
        return self._shows.shown(self.roster, self.node.clock(), self._host.unix_s())

    # ---- who waits for a machine ----

    def wait(self, id: str, seat: str, for_us: int, then: Callable[[Waited], None]) -> Callable[[], None]:
        """`then` is called once: as soon as it may be worked on, or will not be, or after `for_us`. What is returned
        takes the caller out of the list. Raises NotHere: one who is told late, of a turn that its machine's next start
        has ended meanwhile, would work on a machine that nobody counts."""
        ask = self.roster.ask(id)
        if seat != self.me and (ask is None or ask.ends == Ends.BOOT.value):
            raise NotHere(f"{seat}: this is {self.me}")
        waiter = _Waiter(id, seat, self.node.clock() + for_us, then)
        if len(self._waiters) >= MOST_WAITERS:
            then(Waited("waits", "too many wait at this runner; ask another one"))
            return lambda: None
        self._waiters.append(waiter)
        self._look_at = 0
        return lambda: self._waiters.remove(waiter) if waiter in self._waiters else None

    def _answer(self, waiter: _Waiter, word: Waited) -> None:
        if waiter not in self._waiters:
            return
        self._waiters.remove(waiter)
        waiter.then(word)

    def _word(self, waiter: _Waiter) -> Waited | None:
        roster = self.roster
        turn, ask = roster.turn(waiter.seat), roster.ask(waiter.id)
        if turn is not None and turn.ask == waiter.id:
            if turn.at is Stage.OUT and proves(turn, self._host.own()):
                return None  # told to one who is gone with the machine's earlier start
            if turn.at is Stage.OUT:
                return Waited("granted", turn.note)
            return None if turn.at is Stage.DRAINING else Waited("over", turn.note)
        if ask is not None and waiter.seat in ask.waiting:
            return None
        if ask is not None and (why := dict(ask.held).get(waiter.seat)) is not None:
            return Waited("held back", why)
        end: Ended | None = roster.last(waiter.id, waiter.seat)
        if end is None:
            return (
                None
                if ask is None and self.known < 0
                else Waited("withdrawn", "nothing is known of it any more")
            )
        return Waited("withdrawn" if end.how == How.WITHDRAWN.value else "over", end.note)
