"""One space of registers at one member: the changes that it proposes, and the votes that it gives.

A space is for one kind of value: the life of keyed work, which ends with its window; the duties of the cluster, which
last; what concerns the cluster as a whole. Acceptors of different spaces share nothing but the seats and their
incarnations.
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

FAST_ROUND_TIMEOUT_US = 6 * MS  # a first write that not all replicas have answered goes on with a majority
RETRY_BACKOFF_US = (
    40 * MS
)  # a round without a majority is retried at a higher ballot; the wait doubles each time
MAX_RETRY_BACKOFF_US = 1_000 * MS
CONFLICT_BACKOFF_US = 2 * MS  # times the number of conflicts, and 0.5 to 1.5 by chance
MAX_CONFLICT_FACTOR = 10
FOREVER_US = 1 << 50  # a time that never comes
SERIALS_PER_CHANGE = 1_000  # a change's rounds have the serials from its number times this on
MAX_ROUNDS = 900  # of one change; then it is given up

# The spaces that there are. Plain ints, as on the wire: a field is left out of a message only where it is the very
# default, which a member of an Enum is not.
WORK_SPACE = 0
DUTY_SPACE = 1
CLUSTER_SPACE = 2


@dataclass(slots=True, eq=False)
class _PendingChange:
    """A change under way.

    Attributes:
        proposer: `Proposer`.
        on_result: called once with its end; None where it was given up.
        give_up_at: `int`, us.
        backoff: `int`, us, until the present round is retried.
        max_backoff: `int`, us.
        round: `int`, grows with each request, so that an alarm that belongs to an older one does nothing.
    """

    proposer: Proposer
    on_result: Callable[[ChangeResult | None], None]
    give_up_at: int
    backoff: int = RETRY_BACKOFF_US
    max_backoff: int = MAX_RETRY_BACKOFF_US
    round: int = 0


class RegisterSpace:
    """The registers of one space, for one member. Times are in us.

    Attributes:
        space: `int`, its number.
        acceptor: `Acceptor`, the registers that this member is a replica of.
        recovery: `AcceptorRecovery` of that acceptor.
        host: `RegisterHost`.
        last_may_be_chosen: `bool`, of the change that was given up last: it may be chosen yet.
    """

    def __init__(self, space: int, acceptor: Acceptor, host: RegisterHost, forgets_after: int | None) -> None:
        """`forgets_after`: see `AcceptorRecovery`."""
        self.space = space
        self.acceptor = acceptor
        self.host = host
        self.recovery = AcceptorRecovery(space, acceptor, host, forgets_after)
        self.last_may_be_chosen = False
        self._reader = RegisterReader(
            space, acceptor, host, self._next_number, SERIALS_PER_CHANGE, self._read_by_ballot
        )
        self.read = self._reader.read
        self._pending: dict[int, _PendingChange] = {}
        self._number = 0

    @property
    def me(self) -> str:
        """This member's seat."""
        return self.acceptor.seat

    def start(self) -> None:
        """Recovers, where something was forgotten."""
        self.recovery.start()

    # ---- messages ----

    def handle_request(self, seat: str, request: BallotRequest) -> None:
        """A proposer asks for this replica's vote."""
        vote = self.acceptor.vote(self.host.clock(), request)
        if not vote.accepted and request.ballot != NO_BALLOT:
            return self.host.reply(seat, vote)  # it promises nothing
        # A promise must be on the disk before it counts; and who only reads must not see what may be lost.
        reply = self.host.replier(seat)
        return self.host.durable(lambda: reply(vote), self.space)

    def handle_vote(self, seat: str, vote: Vote) -> None:
        """A replica's answer to a change or to a read."""
        pending = self._pending.get(vote.serial // SERIALS_PER_CHANGE)
        if pending is not None:
            self._advance(pending, pending.proposer.handle_vote(seat, vote))
        else:
            self._reader.handle_vote(seat, vote)

    def handle_sync(self, seat: str, request: SyncRequest) -> None:
        """See `AcceptorRecovery`."""
        self.recovery.handle_sync(seat, request)

    def handle_sync_reply(self, seat: str, reply: SyncReply) -> None:
        """See `AcceptorRecovery`."""
        self.recovery.handle_sync_reply(seat, reply)

    def handle_bootstrap(self, seat: str, message: Bootstrap) -> None:
        """See `AcceptorRecovery`."""
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
        """Changes a register.

        `expires_at`: until when the key counts. `on_result(None)` where no majority has answered after `timeout_us`;
        `last_may_be_chosen` says during that call whether the change may come about yet.
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
        """After each step of a proposer: its requests go out, or its end is reported, or it waits."""
        proposer = pending.proposer
        for request in requests:
            pending.round += 1
            for seat in proposer.replicas:
                if seat != self.me:
                    self.host.send(seat, request)
            self._await_votes(pending)
            if self.me in proposer.replicas:  # last, so that the others are under way already
                return self._vote_locally(pending, request)
        if proposer.result is not None:
            if self._pending.pop(proposer.serial // SERIALS_PER_CHANGE, None) is not None:
                pending.on_result(proposer.result)
        elif self._is_hopeless(pending):
            self._give_up(pending)
        elif proposer.blocked:
            self._retry_after_conflict(pending)
        elif proposer.in_fast_round and self._other_replicas_down(proposer):
            further = proposer.settle_for_majority()
            if further:
                self._advance(pending, further)

    def _is_hopeless(self, pending: _PendingChange) -> bool:
        """No majority can vote, and the caller can't wait until that changes.

        A change that may wait for longer is retried: acceptors that have forgotten recover meanwhile.
        """
        if pending.give_up_at - self.host.clock() > MAX_RETRY_BACKOFF_US:
            return False
        proposer = pending.proposer
        replicas = len(proposer.replicas)
        return proposer.at_capacity or proposer.recovering_votes > replicas - majority(replicas)

    def _retry_after_conflict(self, pending: _PendingChange) -> None:
        """At once after the first conflict; then after a wait that tells two proposers apart."""
        proposer = pending.proposer
        proposer.conflicts += 1
        if proposer.conflicts == 1:
            return self._advance(pending, proposer.retry())
        pending.round += 1
        factor = min(proposer.conflicts, MAX_CONFLICT_FACTOR)
        self._retry_later(pending, round(factor * CONFLICT_BACKOFF_US * (0.5 + self.host.random())))
        return None

    def _vote_locally(self, pending: _PendingChange, request: BallotRequest) -> None:
        """This member's own vote, which counts as little as any before it is on the disk."""
        vote = self.acceptor.vote(self.host.clock(), request)

        def count_vote() -> None:
            if self._pending.get(pending.proposer.serial // SERIALS_PER_CHANGE) is pending:  # not given up
                self._advance(pending, pending.proposer.handle_vote(self.me, vote))

        if vote.accepted:
            self.host.durable(count_vote, self.space)
        else:
            count_vote()

    def _other_replicas_down(self, proposer: Proposer) -> bool:
        """Nobody is left to wait for in a fast round."""
        return all(seat in proposer.accepted_by or not self.host.is_up(seat) for seat in proposer.replicas)

    def _await_votes(self, pending: _PendingChange) -> None:
        round_number = pending.round

        def end_fast_round() -> None:
            if pending.round != round_number or pending.proposer.result is not None:
                return
            further = pending.proposer.settle_for_majority()
            if further:
                self._advance(pending, further)

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
        pending.round += 1  # no alarm of it does anything any more
        if self._pending.pop(pending.proposer.serial // SERIALS_PER_CHANGE, None) is not None:
            self.last_may_be_chosen = pending.proposer.may_be_chosen
            pending.on_result(None)
