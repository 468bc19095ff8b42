"""Reads of registers without a ballot. Replicas promise nothing for a read, so it does not disturb a change."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from moorusher.time_units import MS

from ..membership.placement import majority
from .acceptor import NO_BALLOT, Acceptor
from .interfaces import RegisterHost
from .messages import FAST_BALLOT, BallotRequest, Vote
from .proposer import ChangeResult
from .work_record import KeyDigest

READ_TIMEOUT_US = 60 * MS  # If the replicas have not agreed by then, the read uses a ballot.
READ_RETRY_US = 4 * MS  # Delay before a retry, if a change is in progress.
MAX_READ_ATTEMPTS = 4
READ_TTL_MS = 1  # A read does not postpone the expiry of a key.


@dataclass(slots=True, eq=False)
class _PendingRead:
    """A read that a majority has not answered yet."""

    key: KeyDigest
    replicas: tuple[str, ...]
    timeout_us: int
    on_result: Callable[[ChangeResult | None], None]
    votes: dict[str, Vote] = field(default_factory=dict)
    attempts: int = 0


class RegisterReader:
    """Reads the chosen values of the registers of one space.

    `next_number` returns an unused number for each attempt, from the same sequence as the numbers of the space's
    changes. `serials` is how many serials belong to each of these numbers. `read_by_ballot(key, timeout_us, on_result)`
    reads by a change without a new value.
    """

    def __init__(
        self,
        space: int,
        acceptor: Acceptor,
        host: RegisterHost,
        next_number: Callable[[], int],
        serials: int,
        read_by_ballot: Callable[[KeyDigest, int, Callable[[ChangeResult | None], None]], None],
    ) -> None:
        self._space = space
        self._acceptor = acceptor
        self._host = host
        self._next_number = next_number
        self._serials = serials
        self._read_by_ballot = read_by_ballot
        self._pending: dict[int, _PendingRead] = {}

    def read(self, key: KeyDigest, timeout_us: int, on_result: Callable[[ChangeResult | None], None]) -> None:
        """Read the chosen value. If the replicas disagree or too few answer in time, read it by a ballot.

        :param timeout_us: Timeout of the read by ballot.
        :param on_result: Called with the result, or with None if no majority answers the read by ballot.
        """
        self._attempt(_PendingRead(key, self._acceptor.replicas(key), timeout_us, on_result))

    def _attempt(self, pending: _PendingRead) -> None:
        number = self._next_number()
        self._pending[number] = pending
        pending.votes.clear()
        request = BallotRequest(
            number * self._serials,
            pending.key,
            NO_BALLOT,
            None,
            NO_BALLOT,
            {},
            READ_TTL_MS,
            space=self._space,
        )
        me = self._acceptor.seat
        for seat in pending.replicas:
            if seat != me:
                self._host.send(seat, request)
        self._host.at(self._host.clock() + READ_TIMEOUT_US, lambda: self._decide_by_ballot(number))
        if me in pending.replicas:
            vote = self._acceptor.vote(self._host.clock(), request)
            self._host.call_when_durable(lambda: self.handle_vote(me, vote), self._space)

    def handle_vote(self, seat: str, vote: Vote) -> None:
        """Handle a replica's answer."""
        number = vote.serial // self._serials
        pending = self._pending.get(number)
        if pending is None:
            return
        pending.votes[seat] = vote
        known = [other for other in pending.votes.values() if not other.recovering and not other.at_capacity]
        for candidate in known:
            same = [other for other in known if other.accepted_ballot == candidate.accepted_ballot]
            if len(same) >= self.votes_needed(pending, candidate):
                del self._pending[number]
                return pending.on_result(ChangeResult(candidate.value, False, None))
        if len(pending.votes) == len(pending.replicas):
            pending.attempts += 1
            if pending.attempts >= MAX_READ_ATTEMPTS or len(known) < majority(len(pending.replicas)):
                return self._decide_by_ballot(number)
            # The replicas differ, so a change is in progress.
            del self._pending[number]
            self._host.at(self._host.clock() + READ_RETRY_US, lambda: self._attempt(pending))
        return None

    @staticmethod
    def votes_needed(pending: _PendingRead, vote: Vote) -> int:
        """Return how many replicas must have accepted a value for it to be chosen. A fast write needs all of them."""
        replicas = len(pending.replicas)
        return replicas if vote.accepted_ballot == FAST_BALLOT else majority(replicas)

    def _decide_by_ballot(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._read_by_ballot(pending.key, pending.timeout_us, pending.on_result)
