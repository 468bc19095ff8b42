"""The proposer of one change of one register (CASPaxos, Rystsov 2018): pure, without a clock.

A register is read and written at a majority of its replicas; the new value is a function of the old one. Two
optimizations save rounds. An acceptor of a value also promises the next ballot to the same proposer. And a first write
needs no promise: it is proposed at `FAST_BALLOT`, which all proposers share, and is chosen if *all* replicas accept it
(Lamport, "Fast Paxos", with three acceptors). If only a majority accepts it, their promises for the next ballot let the
proposer write the same value in one more round.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.placement import majority
from .messages import FAST_BALLOT, Ballot, BallotRequest, Incarnations, Vote
from .work_record import KeyDigest

# Returns the new value for the old one, or None to leave the register unchanged.
ChangeFunction = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class CarriedPromise:
    """A promise that a proposer obtained with its last write.

    Attributes:
        ballot: Promised ballot.
        value: Value of the register after that write.
        quorum: Seats that promised, with their incarnations.
    """

    ballot: Ballot
    value: Any
    quorum: Incarnations


@dataclass(slots=True)
class ChangeResult:
    """The result of a completed change.

    Attributes:
        value: Chosen value of the register.
        applied: Whether the change function gave a new value.
        promise: Promise for the same proposer's next write, or None.
    """

    value: Any
    applied: bool
    promise: CarriedPromise | None


def highest_incarnations(votes: list[Vote]) -> Incarnations:
    """Return the highest incarnation of each seat that any of the voters knows."""
    highest: Incarnations = {}
    for vote in votes:
        for seat, incarnation in vote.incarnations.items():
            highest[seat] = max(incarnation, highest.get(seat, 0))
    return highest


@dataclass(slots=True)
class Proposer:
    """One change of one register.

    `start`, `retry`, `handle_vote` and `accept_majority` return the requests to send to all replicas; `result` is
    set when the change is complete. The caller decides when to retry, to settle for a majority or to give up; none of
    these decisions affects safety.

    Attributes:
        key: Key of the register.
        replicas: Seats of the register's replicas.
        incarnation: Incarnation of the proposer's process, different for all processes.
        number: Number of the proposer, different for all proposers of a process, so that a ballot has one value.
        change: Function from the old value to the new one.
        ttl_ms: Time until the key expires.
        promise: Promise from the last write, or None.
        space: Number of the register space.
        result: Result, or None until the change is complete.
        conflicts: Number of blocked rounds, counted by the caller.
        recovering_votes: Number of replicas that can't vote in the current round, because they are recovering.
        at_capacity: Whether a replica can't store another key.
        serial: Serial of the current round.
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
    # The current round: its ballot, its value (None in a prepare round), the seats that promised the ballot, and the
    # votes so far.
    _ballot: Ballot = FAST_BALLOT
    _value: Any = None
    _quorum: Incarnations = field(default_factory=dict)
    _applied: bool = True
    _votes: dict[str, Vote] = field(default_factory=dict)
    _rejections: set[str] = field(default_factory=set)
    # Highest known round of a ballot; the next prepare uses a higher one.
    _highest_round: int = 1
    # Replicas that were sent a value and have not rejected it.
    _may_have_accepted: set[str] = field(default_factory=set)
    _value_rounds: int = 0  # Number of rounds that proposed a value.
    _value_serial: int = 0  # Serial of the last round that proposed a value.

    # ---- requests ----

    def start(self, serial: int) -> list[BallotRequest]:
        """Return the first requests.

        :param serial: Base of this proposer's serials. Bases of one process's proposers must be 1000 apart.
        """
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
        """Restart with a prepare round at a higher ballot, after a conflict or without an answer from a majority."""
        return self._prepare()

    def accept_majority(self) -> list[BallotRequest]:
        """Continue a fast write with the promises of a majority, instead of waiting for all replicas.

        :returns: The requests of the next round; empty if no majority has accepted the fast write.
        """
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
        if self._value is None:  # The register is empty, and the change function does not write it.
            self.result = ChangeResult(None, False, None)
            return []
        return self._request(ballot, self._value, quorum)

    def _request(self, ballot: Ballot, value: Any, quorum: Incarnations) -> list[BallotRequest]:
        """Begin a new round and return its requests."""
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
        """Handle a replica's vote in the current or an earlier round, and return the next requests."""
        if not vote.accepted and vote.serial == self._value_serial and self._value_rounds == 1:
            # A late rejection counts even if the next round has begun. After two rounds with a value, a rejection of
            # the second does not show that the replica rejected the first.
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
        """Return the votes that count, by seat."""
        # A vote does not count if another voter knows a later incarnation of its voter. No vote counts if a voter knows
        # a later incarnation of a seat in the promising quorum.
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
        """Whether a replica may have accepted a value. Other proposers may then still complete an abandoned change."""
        return bool(self._may_have_accepted)

    @property
    def in_fast_round(self) -> bool:
        """Whether the current round is a first write without a promise."""
        return self._ballot == FAST_BALLOT and self._value is not None

    @property
    def accepted_by(self) -> set[str]:
        """Seats that have accepted or promised in the current round."""
        return set(self._votes)

    @property
    def blocked(self) -> bool:
        """Whether the outstanding votes can't complete the current round."""
        return len(self.replicas) - len(self._rejections) < majority(len(self.replicas)) or (
            self._ballot == FAST_BALLOT and bool(self._rejections)
        )


def value_to_adopt(votes: list[Vote]) -> Any:
    """Return the value that may have been chosen, given the promises of a majority.

    If no value can have been chosen, return any accepted value, or None if there is none.
    """
    ballots = [vote.accepted_ballot for vote in votes if vote.accepted_ballot is not None]
    if not ballots:
        return None
    highest = max(ballots)
    values = [vote.value for vote in votes if vote.accepted_ballot == highest]
    if highest != FAST_BALLOT:
        return values[0]
    # A fast write is chosen only if all replicas accept it. If the votes have two different fast values, neither was
    # chosen; if they have only one, it may have been.
    return max(values, key=lambda value: (values.count(value), repr(value)))
