"""The fingerprint of a state of the register model, equal for equivalent states."""

# Symmetry reduction: interchangeable seats differ in nothing but their names, so they are ranked by their content. Up
# to six states (the orders of three seats) then have one fingerprint.

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping, Sequence
from typing import Any

from ..replication.acceptor import Acceptor
from ..replication.messages import BallotRequest, SyncReply, Vote
from ..replication.proposer import Proposer
from .register_state import SEATS, InTransit, Runner, register_values


class StateFingerprint:
    """Computes the fingerprints of all parts of a state, with ranks in place of seat names."""

    def __init__(
        self,
        acceptors: Mapping[str, Acceptor],
        runners: Iterable[Runner],
        in_transit: Sequence[InTransit],
        interchangeable: tuple[str, ...],
    ) -> None:
        """Rank the seats.

        :param interchangeable: Seats that differ only in their names. Empty means all three.
        """
        self._acceptors = acceptors
        self._runners = tuple(runners)
        self._in_transit = in_transit
        self._ranks = self._rank_seats(interchangeable or SEATS)

    def of_all(self) -> tuple[Hashable, ...]:
        """Return the fingerprints of acceptors, runners and messages."""
        return (
            tuple(sorted(self._of_acceptor(seat, acceptor) for seat, acceptor in self._acceptors.items())),
            tuple(self._of_runner(runner) for runner in self._runners),
            tuple(sorted((self._of_message(sent) for sent in self._in_transit), key=repr)),
        )

    def _rank_seats(self, interchangeable: tuple[str, ...]) -> dict[str, int]:
        content_by_seat: dict[str, list[Hashable]] = {
            seat: [*register_values(acceptor)] for seat, acceptor in self._acceptors.items()
        }
        for sent in self._in_transit:
            seat = sent.to if sent.to in content_by_seat else sent.sender
            if seat in content_by_seat:
                content_by_seat[seat].append((seat == sent.to, sent.text))
        for runner in self._runners:
            if runner.proposer is not None:
                for seat, vote in runner.proposer._votes.items():
                    content_by_seat[seat].append((runner.name, vote.accepted_ballot, vote.value))
                for seat in runner.proposer._rejections:
                    content_by_seat[seat].append((runner.name, "no"))
        order = sorted(interchangeable, key=lambda seat: repr(content_by_seat[seat]))
        other_seats = [seat for seat in self._acceptors if seat not in interchangeable]
        return {seat: rank for rank, seat in enumerate([*order, *other_seats])}

    def _of_incarnations(self, incarnations: Mapping[str, int]) -> Hashable:
        return tuple(sorted((self._ranks.get(seat, seat), number) for seat, number in incarnations.items()))

    def _of_acceptor(self, seat: str, acceptor: Acceptor) -> tuple[Any, ...]:
        return (
            self._ranks[seat],
            acceptor.incarnation,
            acceptor.recovered,
            self._of_incarnations(acceptor.incarnations),
            tuple(sorted(self._ranks[other] for other in acceptor.synced_from)),
            *register_values(acceptor),
        )

    def _of_runner(self, runner: Runner) -> Hashable:
        proposer = None if runner.proposer is None else self._of_proposer(runner.proposer)
        return (runner.step, runner.attempt, runner.retries, runner.runs, runner.released, proposer)

    def _of_proposer(self, proposer: Proposer) -> Hashable:
        votes = (self._of_vote(seat, vote) for seat, vote in proposer._votes.items())
        return (
            proposer._ballot,
            proposer._value,
            proposer._highest_round,
            tuple(sorted(votes)),
            tuple(sorted(self._ranks[seat] for seat in proposer._rejections)),
            self._of_incarnations(proposer._quorum),
        )

    def _of_vote(self, seat: str, vote: Vote) -> tuple[Any, ...]:
        return (
            self._ranks[seat],
            vote.incarnation,
            vote.accepted_ballot,
            vote.value,
            self._of_incarnations(vote.incarnations),
        )

    def _of_message(self, sent: InTransit) -> Hashable:
        message = sent.message
        quorum: Hashable = ()
        incarnations: Hashable = ()
        if isinstance(message, BallotRequest):
            quorum = self._of_incarnations(message.quorum)
        elif isinstance(message, (Vote, SyncReply)):
            incarnations = self._of_incarnations(message.incarnations)
        return (
            self._ranks.get(sent.to, sent.to),
            self._ranks.get(sent.sender, sent.sender),
            sent.text,
            quorum,
            incarnations,
        )
