"""One change of one register: a proposer's part (CASPaxos, Rystsov 2018), pure and without a clock.

A register is read and rewritten by a majority of its keepers; the new value is a function of the old one. Two things
spare rounds. What a proposer has written carries the promise for its own next write. And a first write asks for no
promise: it is at ballot FAST, which is anyone's, and chosen where *all* keepers took it (Lamport, "Fast Paxos", with
three acceptors); where only a majority did, their promises for the next ballot carry the same value in one more round.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.placement import majority
from .messages import FAST, Ask, Ballot, Incs, Vote
from .work_record import Key


@dataclass(frozen=True, slots=True)
class Hold:
    """A promise that a proposer still has, and the value that it goes with."""

    ballot: Ballot
    value: Any
    quorum: Incs


# What a change makes of the value that there is: the next one, or None where it is to stay as it is.
Change = Callable[[Any], Any]


@dataclass(slots=True)
class Done:
    """The register's value, known to be chosen, and whether the change was made."""

    value: Any
    made: bool
    hold: Hold | None


def merged(votes: list[Vote]) -> Incs:
    """The highest incarnation of each seat that some vote has heard of."""
    incs: Incs = {}
    for vote in votes:
        for seat, inc in vote.incs.items():
            incs[seat] = max(inc, incs.get(seat, 0))
    return incs


@dataclass(slots=True)
class Writer:
    """`heard` and `nudge` return what to ask next, of all keepers; `done` is set once it is over. Whoever holds this
    decides when to give up or to `nudge`: neither changes what may be chosen."""

    key: Key
    keepers: tuple[str, ...]
    inc: int  # the proposer's incarnation: no two processes have the same,
    number: int  # and no two writers of one process the same of these: a ballot has one value
    change: Change
    left_ms: int
    hold: Hold | None = None
    space: int = 0
    done: Done | None = None
    conflicts: int = 0
    blanks: int = 0  # keepers without a vote, in this round
    full: bool = False
    serial: int = 0
    _ballot: Ballot = FAST
    _value: Any = None
    _quorum: Incs = field(default_factory=dict)
    _made: bool = True
    _seen: int = 1  # the highest round heard of
    _votes: dict[str, Vote] = field(default_factory=dict)
    _refused: set[str] = field(default_factory=set)
    _may_have: set[str] = field(
        default_factory=set
    )  # keepers that a value has gone to, and that have not refused it
    _values: int = 0  # rounds that carried one,
    _value_serial: int = 0  # and the last of them

    def begin(self, serial: int) -> list[Ask]:
        """The first question. `serial` must differ from those of all other writers of this process, by 1000s."""
        self.serial = serial
        if self.hold is not None:
            hold, self.hold = self.hold, None
            return self._write(hold.ballot, hold.value, hold.quorum)
        value = self.change(None)
        if value is None:
            return self._prepare()
        self._value, self._made = value, True
        return self._ask(FAST, value, {})

    def _ask(self, ballot: Ballot, value: Any, quorum: Incs) -> list[Ask]:
        self.serial += 1
        self._ballot, self._quorum = ballot, quorum
        self._votes, self._refused, self.blanks = {}, set(), 0
        if value is not None:
            self._values, self._value_serial = self._values + 1, self.serial
            self._may_have.update(self.keepers)
        return [
            Ask(self.serial, self.key, ballot, value, self._after(ballot), quorum, self.left_ms, self.space)
        ]

    def _after(self, ballot: Ballot) -> Ballot:
        return (ballot[0] + 1, self.inc, self.number)

    def _prepare(self) -> list[Ask]:
        self._seen += 1
        self._value = None
        return self._ask((self._seen, self.inc, self.number), None, {})

    def again(self) -> list[Ask]:
        """From the promise on, with a higher ballot: after a conflict, or where no majority has answered."""
        return self._prepare()

    def _write(self, ballot: Ballot, old: Any, quorum: Incs) -> list[Ask]:
        new = self.change(old)
        self._made = new is not None
        self._value = old if new is None else new
        if self._value is None:  # nothing there, and nothing to be written
            self.done = Done(None, False, None)
            return []
        return self._ask(ballot, self._value, quorum)

    # ---- answers ----

    def heard(self, seat: str, vote: Vote) -> list[Ask]:
        if not vote.taken and vote.serial == self._value_serial and self._values == 1:
            self._may_have.discard(
                seat
            )  # though the next round is under way; what two rounds left is not known
        if self.done is not None or vote.serial != self.serial or seat not in self.keepers:
            return []
        self._seen = max(self._seen, vote.promised[0], vote.ballot[0] if vote.ballot else 0)
        if not vote.taken:
            self.blanks += vote.blank and seat not in self._refused
            self.full = self.full or vote.full
            self._refused.add(seat)
            return []
        self._votes[seat] = vote
        return self._count(len(self.keepers) if self._ballot == FAST else majority(len(self.keepers)))

    def valid(self) -> dict[str, Vote]:
        """Votes that count: not those of a life of a keeper that another voter knows to be over."""
        incs = merged(list(self._votes.values()))
        return {
            seat: v
            for seat, v in self._votes.items()
            if v.inc >= incs.get(seat, 0)
            and v.inc >= self._quorum.get(seat, 0)
            and all(incs.get(s, 0) <= inc for s, inc in self._quorum.items())
        }

    def _count(self, wanted: int) -> list[Ask]:
        votes = self.valid()
        if len(votes) < wanted:
            return []
        quorum = {seat: v.inc for seat, v in votes.items()}
        if self._value is not None:
            self.done = Done(self._value, self._made, Hold(self._after(self._ballot), self._value, quorum))
            return []
        found = read(list(votes.values()))
        return self._write(self._ballot, found, quorum)

    @property
    def unsure(self) -> bool:
        """Some keeper may have taken a value: given up now, it may be chosen yet, by others, too."""
        return bool(self._may_have)

    @property
    def fast(self) -> bool:
        return self._ballot == FAST and self._value is not None

    @property
    def took(self) -> set[str]:
        return set(self._votes)

    @property
    def stuck(self) -> bool:
        """The rest of the answers can't bring a majority."""
        return len(self.keepers) - len(self._refused) < majority(len(self.keepers)) or (
            self._ballot == FAST and bool(self._refused)
        )

    def nudge(self) -> list[Ask]:
        """The rest of the answers is not waited for. A first write that a majority took goes on with their promises."""
        if self.done is not None:
            return []
        if self._ballot == FAST and self._value is not None:
            votes = self.valid()
            if len(votes) >= majority(len(self.keepers)):
                value, quorum = self._value, {seat: v.inc for seat, v in votes.items()}
                return self._ask(self._after(FAST), value, quorum)
        return []


def read(votes: list[Vote]) -> Any:
    """The value that may have been chosen, of a majority's answers; any that was proposed, where none can have been."""
    ballots = [v.ballot for v in votes if v.ballot is not None]
    if not ballots:
        return None
    top = max(ballots)
    values = [v.value for v in votes if v.ballot == top]
    if top != FAST:
        return values[0]
    # Of two first writes neither can have been chosen: that takes all keepers. One alone may have been.
    return max(values, key=lambda value: (values.count(value), repr(value)))
