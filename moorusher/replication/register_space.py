"""One space of registers at one member: the changes that it proposes and the votes that it gives.

A space holds one kind of value: the lifecycle of keyed work, which expires with its window; the duties of the cluster,
which are permanent; or the state of the cluster as a whole. Acceptors of different spaces share only the seats and
their incarnations.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from moorusher.time_units import MS

from ..membership.placement import majority
from .acceptor import NO_BALLOT, Acceptor
from .interfaces import RegisterHost
from .messages import BallotRequest, Bootstrap, SyncReply, SyncRequest, Vote
from .proposer import CarriedPromise, ChangeFunction, ChangeResult, Proposer
from .recovery import AcceptorRecovery
from .register_reader import RegisterReader
from .work_record import KeyDigest

# Time after which a fast write that not all replicas have answered continues with a majority.
FAST_ROUND_TIMEOUT_US = 6 * MS
# Delay before a round without a majority is retried at a higher ballot; doubles with each retry.
RETRY_BACKOFF_US = 40 * MS
MAX_RETRY_BACKOFF_US = 1_000 * MS
CONFLICT_BACKOFF_US = 2 * MS  # Multiplied by the number of conflicts and a random factor from 0.5 to 1.5.
MAX_CONFLICT_FACTOR = 10
FOREVER_US = 1 << 50  # Longer than any process runs.
SERIALS_PER_CHANGE = 1_000  # The rounds of change N have serials from N * SERIALS_PER_CHANGE.
MAX_ROUNDS = 900  # A change is abandoned after this many rounds.

# Numbers of the spaces. They are plain ints because a field is omitted from a message only if its value is the default
# int itself; a member of an Enum would always be sent.
WORK_SPACE = 0
DUTY_SPACE = 1
CLUSTER_SPACE = 2


@dataclass(slots=True, eq=False)
class _PendingChange:
    """A change in progress.

    Attributes:
        proposer: Proposer of the change.
        on_result: Called once with the result, or with None if the change was abandoned.
        give_up_at: Time (us) at which the change is abandoned.
        backoff: Delay (us) before the current round is retried.
        max_backoff: Limit of `backoff` (us).
        round: Number that grows with each request; timers of earlier requests do nothing.
    """

    proposer: Proposer
    on_result: Callable[[ChangeResult | None], None]
    give_up_at: int
    backoff: int = RETRY_BACKOFF_US
    max_backoff: int = MAX_RETRY_BACKOFF_US
    round: int = 0


class RegisterSpace:
    """The registers of one space at one member. Times are in us.

    Attributes:
        space: Number of the space.
        acceptor: Registers of which this member is a replica.
        recovery: Recovery of that acceptor.
        host: Member that owns the space.
        last_may_be_chosen: Whether the last abandoned change may still be chosen.
    """

    def __init__(
        self, space: int, acceptor: Acceptor, host: RegisterHost, expires_after_us: int | None
    ) -> None:
        """Create the space. `expires_after_us` is explained at `AcceptorRecovery`."""
        self.space = space
        self.acceptor = acceptor
        self.host = host
        self.recovery = AcceptorRecovery(space, acceptor, host, expires_after_us)
        self.last_may_be_chosen = False
        self._reader = RegisterReader(
            space, acceptor, host, self._next_number, SERIALS_PER_CHANGE, self._read_by_ballot
        )
        self.read = self._reader.read
        self._pending: dict[int, _PendingChange] = {}
        self._number = 0

    @property
    def me(self) -> str:
        """Seat of this member."""
        return self.acceptor.seat

    def start(self) -> None:
        """Start the recovery if the acceptor has lost its state."""
        self.recovery.start()

    # ---- messages ----

    def handle_request(self, seat: str, request: BallotRequest) -> None:
        """Handle a proposer's request for this replica's vote."""
        vote = self.acceptor.vote(self.host.clock(), request)
        if not vote.accepted and request.ballot != NO_BALLOT:
            return self.host.reply(
                seat, vote
            )  # A rejection promises nothing, so it needs no write to the disk.
        # A promise or an accepted value must be on disk before its vote is sent. The reply to a read waits too, since
        # it must not show a value that a power loss can still remove.
        reply = self.host.replier(seat)
        return self.host.call_when_durable(lambda: reply(vote), self.space)

    def handle_vote(self, seat: str, vote: Vote) -> None:
        """Handle a replica's vote on a change or its answer to a read."""
        pending = self._pending.get(vote.serial // SERIALS_PER_CHANGE)
        if pending is not None:
            self._advance(pending, pending.proposer.handle_vote(seat, vote))
        else:
            self._reader.handle_vote(seat, vote)

    def handle_sync(self, seat: str, request: SyncRequest) -> None:
        """Handle a `SyncRequest`; see `AcceptorRecovery.handle_sync`."""
        self.recovery.handle_sync(seat, request)

    def handle_sync_reply(self, seat: str, reply: SyncReply) -> None:
        """Handle a `SyncReply`; see `AcceptorRecovery.handle_sync_reply`."""
        self.recovery.handle_sync_reply(seat, reply)

    def handle_bootstrap(self, seat: str, message: Bootstrap) -> None:
        """Handle a `Bootstrap`; see `AcceptorRecovery.handle_bootstrap`."""
        self.recovery.handle_bootstrap(seat, message)

    # ---- changes ----

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _read_by_ballot(
        self, key: KeyDigest, timeout_us: int, on_result: Callable[[ChangeResult | None], None]
    ) -> None:
        self.change(key, lambda old: None, self.host.clock() + FOREVER_US, timeout_us, on_result)

    def change(
        self,
        key: KeyDigest,
        change: ChangeFunction,
        expires_at: int,
        timeout_us: int,
        on_result: Callable[[ChangeResult | None], None],
        promise: CarriedPromise | None = None,
        max_backoff_us: int = MAX_RETRY_BACKOFF_US,
    ) -> None:
        """Change a register.

        :param expires_at: Time at which the key expires.
        :param on_result: Called with the result, or with None if the change is abandoned, such as when no majority
            answers within `timeout_us`. While it is called with None, `last_may_be_chosen` tells whether the change
            may still be chosen.
        """
        number = self._next_number()
        now = self.host.clock()
        proposer = Proposer(
            key,
            self.acceptor.replicas(key),
            self.acceptor.incarnation,
            number,
            change,
            max(1, (expires_at - now) // MS),
            promise,
            self.space,
        )
        pending = _PendingChange(proposer, on_result, now + timeout_us, max_backoff=max_backoff_us)
        self._pending[number] = pending
        self._advance(pending, proposer.start(number * SERIALS_PER_CHANGE))

    def _advance(self, pending: _PendingChange, requests: list[BallotRequest]) -> None:
        """Act on a step of the proposer: send its requests, report its result, or decide whether to retry or wait."""
        proposer = pending.proposer
        for request in requests:
            pending.round += 1
            for seat in proposer.replicas:
                if seat != self.me:
                    self.host.send(seat, request)
            self._await_votes(pending)
            if self.me in proposer.replicas:  # Last, so that the requests to the others are already sent.
                return self._vote_locally(pending, request)
        if proposer.result is not None:
            if self._pending.pop(proposer.serial // SERIALS_PER_CHANGE, None) is not None:
                pending.on_result(proposer.result)
        elif self._is_hopeless(pending):
            self._give_up(pending)
        elif proposer.blocked:
            self._retry_after_conflict(pending)
        elif proposer.in_fast_round and self._other_replicas_down(proposer):
            next_requests = proposer.accept_majority()
            if next_requests:
                self._advance(pending, next_requests)

    def _is_hopeless(self, pending: _PendingChange) -> bool:
        """Return whether no majority can vote or a replica is full, and the timeout is too short to wait."""
        # A change with a longer timeout is retried, since acceptors may recover before the timeout.
        if pending.give_up_at - self.host.clock() > MAX_RETRY_BACKOFF_US:
            return False
        proposer = pending.proposer
        replicas = len(proposer.replicas)
        return proposer.at_capacity or proposer.recovering_votes > replicas - majority(replicas)

    def _retry_after_conflict(self, pending: _PendingChange) -> None:
        """Retry immediately after the first conflict, and later after a random delay that separates the proposers."""
        proposer = pending.proposer
        proposer.conflicts += 1
        if proposer.conflicts == 1:
            return self._advance(pending, proposer.retry())
        pending.round += 1
        factor = min(proposer.conflicts, MAX_CONFLICT_FACTOR)
        self._retry_later(pending, round(factor * CONFLICT_BACKOFF_US * (0.5 + self.host.random())))
        return None

    def _vote_locally(self, pending: _PendingChange, request: BallotRequest) -> None:
        """Count this member's own vote: a rejection at once, a promise or acceptance once it is on disk."""
        vote = self.acceptor.vote(self.host.clock(), request)

        def count_vote() -> None:
            # The change may have been abandoned in the meantime.
            if self._pending.get(pending.proposer.serial // SERIALS_PER_CHANGE) is pending:
                self._advance(pending, pending.proposer.handle_vote(self.me, vote))

        if vote.accepted:
            self.host.call_when_durable(count_vote, self.space)
        else:
            count_vote()

    def _other_replicas_down(self, proposer: Proposer) -> bool:
        """Return whether all replicas that have not accepted in this round are down."""
        return all(seat in proposer.accepted_by or not self.host.is_up(seat) for seat in proposer.replicas)

    def _await_votes(self, pending: _PendingChange) -> None:
        round_number = pending.round

        def end_fast_round() -> None:
            if pending.round != round_number or pending.proposer.result is not None:
                return
            next_requests = pending.proposer.accept_majority()
            if next_requests:
                self._advance(pending, next_requests)

        if pending.proposer.in_fast_round:
            self.host.at(self.host.clock() + FAST_ROUND_TIMEOUT_US, end_fast_round)
        self._retry_later(pending, pending.backoff)

    def _retry_later(self, pending: _PendingChange, delay_us: int) -> None:
        round_number = pending.round

        def retry() -> None:
            if pending.round != round_number or pending.proposer.result is not None:
                return
            rounds = pending.proposer.serial % SERIALS_PER_CHANGE
            if self.host.clock() >= pending.give_up_at or rounds > MAX_ROUNDS:
                return self._give_up(pending)
            pending.backoff = min(pending.max_backoff, pending.backoff * 2)
            self._advance(pending, pending.proposer.retry())

        now = self.host.clock()
        self.host.at(min(now + delay_us, max(pending.give_up_at, now + MS)), retry)

    def _give_up(self, pending: _PendingChange) -> None:
        pending.round += 1  # Disables the timers of the change.
        if self._pending.pop(pending.proposer.serial // SERIALS_PER_CHANGE, None) is not None:
            self.last_may_be_chosen = pending.proposer.may_be_chosen
            pending.on_result(None)
