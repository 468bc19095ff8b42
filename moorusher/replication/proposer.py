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
from .messages import FAST_BALLOT, Ballot, BallotRequest, Incarnations, Vote
from .work_record import Key


@dataclass(frozen=True, slots=True)
class CarriedPromise:
    """A promise that a proposer still has, and the value that it goes with."""

    ballot: Ballot
    value: Any
    quorum: Incarnations


# What a change makes of the value that there is: the next one, or None where it is to stay as it is.
ChangeFunction = Callable[[Any], Any]


@dataclass(slots=True)
class ChangeResult:
    """The register's value, known to be chosen, and whether the change was made."""

    value: Any
    applied: bool
    promise: CarriedPromise | None


def highest_incarnations(votes: list[Vote]) -> Incarnations:
    """The highest incarnation of each seat that some vote has heard of."""
    incs: Incarnations = {}
    for vote in votes:
        for seat, inc in vote.incarnations.items():
            incs[seat] = max(inc, incs.get(seat, 0))
    return incs


@dataclass(slots=True)
class Proposer:
    """`heard` and `nudge` return what to ask next, of all keepers; `done` is set once it is over. Whoever holds this
    decides when to give up or to `nudge`: neither changes what may be chosen."""

    key: Key
    replicas: tuple[str, ...]
    incarnation: int  # the proposer's incarnation: no two processes have the same,
    number: int  # and no two writers of one process the same of these: a ballot has one value
    change: ChangeFunction
    ttl_ms: int
    promise: CarriedPromise | None = None
    space: int = 0
    result: ChangeResult | None = None
    conflicts: int = 0
    recovering_votes: int = 0  # keepers without a vote, in this round
    at_capacity: bool = False
    serial: int = 0
    _ballot: Ballot = FAST_BALLOT
    _value: Any = None
    _quorum: Incarnations = field(default_factory=dict)
    _applied: bool = True
    _highest_round: int = 1  # the highest round heard of
    _votes: dict[str, Vote] = field(default_factory=dict)
    _rejections: set[str] = field(default_factory=set)
    _may_have_accepted: set[str] = field(
        default_factory=set
    )  # keepers that a value has gone to, and that have not refused it
    _value_rounds: int = 0  # rounds that carried one,
    _value_serial: int = 0  # and the last of them

    def start(self, serial: int) -> list[BallotRequest]:
        """The first question. `serial` must differ from those of all other writers of this process, by 1000s."""
        self.serial = serial
        if self.promise is not None:
            hold, self.promise = self.promise, None
            return self._propose(hold.ballot, hold.value, hold.quorum)
        value = self.change(None)
        if value is None:
            return self._prepare()
        self._value, self._applied = value, True
        return self._request(FAST_BALLOT, value, {})

    def _request(self, ballot: Ballot, value: Any, quorum: Incarnations) -> list[BallotRequest]:
        self.serial += 1
        self._ballot, self._quorum = ballot, quorum
        self._votes, self._rejections, self.recovering_votes = {}, set(), 0
        if value is not None:
            self._value_rounds, self._value_serial = self._value_rounds + 1, self.serial
            self._may_have_accepted.update(self.replicas)
        return [
            BallotRequest(
                self.serial,
                self.key,
                ballot,
                value,
                self._next_ballot(ballot),
                quorum,
                self.ttl_ms,
                self.space,
            )
        ]

    def _next_ballot(self, ballot: Ballot) -> Ballot:
        return (ballot[0] + 1, self.incarnation, self.number)

    def _prepare(self) -> list[BallotRequest]:
        self._highest_round += 1
        self._value = None
        return self._request((self._highest_round, self.incarnation, self.number), None, {})

    def retry(self) -> list[BallotRequest]:
        """From the promise on, with a higher ballot: after a conflict, or where no majority has answered."""
        return self._prepare()

    def _propose(self, ballot: Ballot, old: Any, quorum: Incarnations) -> list[BallotRequest]:
        new = self.change(old)
        self._applied = new is not None
        self._value = old if new is None else new
        if self._value is None:  # nothing there, and nothing to be written
            self.result = ChangeResult(None, False, None)
            return []
        return self._request(ballot, self._value, quorum)

    # ---- answers ----

    def handle_vote(self, seat: str, vote: Vote) -> list[BallotRequest]:
        if not vote.accepted and vote.serial == self._value_serial and self._value_rounds == 1:
            self._may_have_accepted.discard(
                seat
            )  # though the next round is under way; what two rounds left is not known
        if self.result is not None or vote.serial != self.serial or seat not in self.replicas:
            return []
        self._highest_round = max(
            self._highest_round, vote.promised[0], vote.accepted_ballot[0] if vote.accepted_ballot else 0
        )
        if not vote.accepted:
            self.recovering_votes += vote.recovering and seat not in self._rejections
            self.at_capacity = self.at_capacity or vote.at_capacity
            self._rejections.add(seat)
            return []
        self._votes[seat] = vote
        return self._count(
            len(self.replicas) if self._ballot == FAST_BALLOT else majority(len(self.replicas))
        )

    def valid_votes(self) -> dict[str, Vote]:
        """Votes that count: not those of a life of a keeper that another voter knows to be over."""
        incs = highest_incarnations(list(self._votes.values()))
        return {
            seat: v
            for seat, v in self._votes.items()
            if v.incarnation >= incs.get(seat, 0)
            and v.incarnation >= self._quorum.get(seat, 0)
            and all(incs.get(s, 0) <= inc for s, inc in self._quorum.items())
        }

    def _count(self, wanted: int) -> list[BallotRequest]:
        votes = self.valid_votes()
        if len(votes) < wanted:
            return []
        quorum = {seat: v.incarnation for seat, v in votes.items()}
        if self._value is not None:
            self.result = ChangeResult(
                self._value,
                self._applied,
                CarriedPromise(self._next_ballot(self._ballot), self._value, quorum),
            )
            return []
        found = value_to_adopt(list(votes.values()))
        return self._propose(self._ballot, found, quorum)

    @property
    def may_be_chosen(self) -> bool:
        """Some keeper may have taken a value: given up now, it may be chosen yet, by others, too."""
        return bool(self._may_have_accepted)

    @property
    def in_fast_round(self) -> bool:
        return self._ballot == FAST_BALLOT and self._value is not None

    @property
    def accepted_by(self) -> set[str]:
        return set(self._votes)

    @property
    def blocked(self) -> bool:
        """The rest of the answers can't bring a majority."""
        return len(self.replicas) - len(self._rejections) < majority(len(self.replicas)) or (
            self._ballot == FAST_BALLOT and bool(self._rejections)
        )

    def settle_for_majority(self) -> list[BallotRequest]:
        """The rest of the answers is not waited for. A first write that a majority took goes on with their promises."""
        if self.result is not None:
            return []
        if self._ballot == FAST_BALLOT and self._value is not None:
            votes = self.valid_votes()
            if len(votes) >= majority(len(self.replicas)):
                value, quorum = self._value, {seat: v.incarnation for seat, v in votes.items()}
                return self._request(self._next_ballot(FAST_BALLOT), value, quorum)
        return []


def value_to_adopt(votes: list[Vote]) -> Any:
    """The value that may have been chosen, of a majority's answers; any that was proposed, where none can have been."""
    ballots = [v.accepted_ballot for v in votes if v.accepted_ballot is not None]
    if not ballots:
        return None
    top = max(ballots)
    values = [v.value for v in votes if v.accepted_ballot == top]
    if top != FAST_BALLOT:
        return values[0]
    # Of two first writes neither can have been chosen: that takes all keepers. One alone may have been.
    return max(values, key=lambda value: (values.count(value), repr(value)))
