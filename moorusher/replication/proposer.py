"""The proposer's part of one change of one register (CASPaxos, Rystsov 2018): pure, without a clock.

A register is read and rewritten by a majority of its replicas; the new value is a function of the old one. Two things
save rounds. An accepted value carries the promise for the same proposer's next write. And a first write asks for no
promise: it goes out at `FAST_BALLOT`, which is anyone's, and is chosen where *all* replicas accepted it (Lamport, "Fast
Paxos", with three acceptors); where only a majority did, their promises for the next ballot carry the same value in one
more round.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.placement import majority
from .messages import FAST_BALLOT, Ballot, BallotRequest, Incarnations, Vote
from .work_record import KeyDigest

# What a change makes of the value that there is: the next one, or None where it is to stay as it is.
ChangeFunction = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class CarriedPromise:
    """A promise that a proposer still has from its last write.

    Attributes:
        ballot: the promised ballot.
        value: the register's value at that write.
        quorum: who promised, in which incarnation.
    """

    ballot: Ballot
    value: Any
    quorum: Incarnations


@dataclass(slots=True)
class ChangeResult:
    """The end of a change.

    Attributes:
        value: the register's value, known to be chosen.
        applied: `bool`, the change made it; False where the change function left the value as it was.
        promise: for the same proposer's next write, or None.
    """

    value: Any
    applied: bool
    promise: CarriedPromise | None


def highest_incarnations(votes: list[Vote]) -> Incarnations:
    """The highest incarnation of each seat that one of the voters has heard of."""
    highest: Incarnations = {}
    for vote in votes:
        for seat, incarnation in vote.incarnations.items():
            highest[seat] = max(incarnation, highest.get(seat, 0))
    return highest


@dataclass(slots=True)
class Proposer:
    """Changes one register once.

    `start`, `retry`, `handle_vote` and `settle_for_majority` return the requests that are to go to all replicas now;
    `result` is set once the change is over. Whoever drives this decides when to retry, to settle for a majority or to
    give up: none of that changes what may be chosen.

    Attributes:
        key: `bytes`, of the register.
        replicas: their seats.
        incarnation: `int`, of the proposer's process; no two processes have the same.
        number: `int`, no two proposers of one process have the same: a ballot has one value.
        change: see `ChangeFunction`.
        ttl_ms: `int`, how long the key still counts.
        promise: carried over from the last write, or None.
        space: `int`, see `register_space`.
        result: `ChangeResult`, or None until the change is over.
        conflicts: `int`, rounds that were blocked; counted by whoever drives this.
        recovering_votes: `int`, replicas that have no vote, in this round.
        at_capacity: `bool`, a replica has no capacity for a further key.
        serial: `int`, of the present round.
    """

    key: KeyDigest
    replicas: tuple[str, ...]
    incarnation: int
    number: int
    change: ChangeFunction
    ttl_ms: int
    promise: CarriedPromise | None = None
    space: int = 0
    result: ChangeResult | None = None
    conflicts: int = 0
    recovering_votes: int = 0
    at_capacity: bool = False
    serial: int = 0
    # The present round: its ballot, the value it carries (None: prepare), who promised, and the answers so far.
    _ballot: Ballot = FAST_BALLOT
    _value: Any = None
    _quorum: Incarnations = field(default_factory=dict)
    _applied: bool = True
    _votes: dict[str, Vote] = field(default_factory=dict)
    _rejections: set[str] = field(default_factory=set)
    # The highest round of a ballot that was heard of: the next prepare goes above it.
    _highest_round: int = 1
    # Replicas that a value was sent to, and that have not rejected it.
    _may_have_accepted: set[str] = field(default_factory=set)
    _value_rounds: int = 0  # how many rounds carried a value,
    _value_serial: int = 0  # and the serial of the last of them

    # ---- requests ----

    def start(self, serial: int) -> list[BallotRequest]:
        """The first requests. `serial` must differ from those of all other proposers of this process, by 1000s."""
        self.serial = serial
        if self.promise is not None:
            promise = self.promise
            self.promise = None
            return self._propose(promise.ballot, promise.value, promise.quorum)
        value = self.change(None)
        if value is None:
            return self._prepare()
        self._value = value
        self._applied = True
        return self._request(FAST_BALLOT, value, {})

    def retry(self) -> list[BallotRequest]:
        """From the promise on, at a higher ballot: after a conflict, or where no majority has answered."""
        return self._prepare()

    def settle_for_majority(self) -> list[BallotRequest]:
        """Waits for no further answers: a first write that a majority accepted goes on with their promises."""
        if self.result is not None:
            return []
        if self._ballot == FAST_BALLOT and self._value is not None:
            votes = self.valid_votes()
            if len(votes) >= majority(len(self.replicas)):
                quorum = {seat: vote.incarnation for seat, vote in votes.items()}
                return self._request(self._next_ballot(FAST_BALLOT), self._value, quorum)
        return []

    def _prepare(self) -> list[BallotRequest]:
        self._highest_round += 1
        self._value = None
        return self._request((self._highest_round, self.incarnation, self.number), None, {})

    def _propose(self, ballot: Ballot, old: Any, quorum: Incarnations) -> list[BallotRequest]:
        new = self.change(old)
        self._applied = new is not None
        self._value = old if new is None else new
        if self._value is None:  # nothing there, and nothing to be written
            self.result = ChangeResult(None, False, None)
            return []
        return self._request(ballot, self._value, quorum)

    def _request(self, ballot: Ballot, value: Any, quorum: Incarnations) -> list[BallotRequest]:
        """A new round."""
        self.serial += 1
        self._ballot = ballot
        self._quorum = quorum
        self._votes = {}
        self._rejections = set()
        self.recovering_votes = 0
        if value is not None:
            self._value_rounds += 1
            self._value_serial = self.serial
            self._may_have_accepted.update(self.replicas)
        request = BallotRequest(
            self.serial,
            self.key,
            ballot,
            value,
            self._next_ballot(ballot),
            quorum,
            self.ttl_ms,
            self.space,
        )
        return [request]

    def _next_ballot(self, ballot: Ballot) -> Ballot:
        return (ballot[0] + 1, self.incarnation, self.number)

    # ---- votes ----

    def handle_vote(self, seat: str, vote: Vote) -> list[BallotRequest]:
        """An answer of a replica, of this round or of an earlier one."""
        if not vote.accepted and vote.serial == self._value_serial and self._value_rounds == 1:
            # Also while the next round is under way. With two rounds that carried a value, what the first has left
            # is not known.
            self._may_have_accepted.discard(seat)
        if self.result is not None or vote.serial != self.serial or seat not in self.replicas:
            return []
        accepted_round = vote.accepted_ballot[0] if vote.accepted_ballot else 0
        self._highest_round = max(self._highest_round, vote.promised[0], accepted_round)
        if not vote.accepted:
            self.recovering_votes += vote.recovering and seat not in self._rejections
            self.at_capacity = self.at_capacity or vote.at_capacity
            self._rejections.add(seat)
            return []
        self._votes[seat] = vote
        needed = len(self.replicas) if self._ballot == FAST_BALLOT else majority(len(self.replicas))
        return self._count(needed)

    def valid_votes(self) -> dict[str, Vote]:
        """The votes that count, by seat: not those of an incarnation that another voter knows to be past."""
        highest = highest_incarnations(list(self._votes.values()))
        return {
            seat: vote
            for seat, vote in self._votes.items()
            if vote.incarnation >= highest.get(seat, 0)
            and vote.incarnation >= self._quorum.get(seat, 0)
            and all(highest.get(member, 0) <= number for member, number in self._quorum.items())
        }

    def _count(self, needed: int) -> list[BallotRequest]:
        votes = self.valid_votes()
        if len(votes) < needed:
            return []
        quorum = {seat: vote.incarnation for seat, vote in votes.items()}
        if self._value is not None:
            promise = CarriedPromise(self._next_ballot(self._ballot), self._value, quorum)
            self.result = ChangeResult(self._value, self._applied, promise)
            return []
        return self._propose(self._ballot, value_to_adopt(list(votes.values())), quorum)

    # ---- the state of the round ----

    @property
    def may_be_chosen(self) -> bool:
        """Some replica may have accepted a value: given up now, it may be chosen yet, by other proposers too."""
        return bool(self._may_have_accepted)

    @property
    def in_fast_round(self) -> bool:
        """The present round is a first write without a promise."""
        return self._ballot == FAST_BALLOT and self._value is not None

    @property
    def accepted_by(self) -> set[str]:
        """Seats that have accepted, or promised, in this round."""
        return set(self._votes)

    @property
    def blocked(self) -> bool:
        """The answers that are still to come can't complete this round."""
        return len(self.replicas) - len(self._rejections) < majority(len(self.replicas)) or (
            self._ballot == FAST_BALLOT and bool(self._rejections)
        )


def value_to_adopt(votes: list[Vote]) -> Any:
    """The value that may have been chosen, by a majority's promises; any proposed one, where none can have been."""
    ballots = [vote.accepted_ballot for vote in votes if vote.accepted_ballot is not None]
    if not ballots:
        return None
    highest = max(ballots)
    values = [vote.value for vote in votes if vote.accepted_ballot == highest]
    if highest != FAST_BALLOT:
        return values[0]
    # Of two first writes neither can have been chosen: that takes all replicas. One alone may have been.
    return max(values, key=lambda value: (values.count(value), repr(value)))
