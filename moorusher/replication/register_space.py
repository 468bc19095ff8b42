"""One space of registers at one member: what it changes in them, what it keeps of them, and how it learns again what it
has forgotten.

A space is for one kind of value: the life of work, which ends with its window, or the duties of the fleet, which last.
Their keepers share nothing but the seats and their incarnations.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..membership.failure_detector import MS
from ..membership.placement import SLICES, majority
from .acceptor import NO_BALLOT, Acceptor
from .messages import FAST_BALLOT, BallotRequest, Bootstrap, SyncReply, SyncRequest, Vote
from .proposer import CarriedPromise, ChangeFunction, ChangeResult, Proposer
from .work_record import Key

FAST_ROUND_TIMEOUT_US = 6 * MS  # a first write goes on with a majority
RETRY_BACKOFF_US = (
    40 * MS
)  # a round without a majority is asked again, with a higher ballot; twice as late each time
MAX_RETRY_BACKOFF_US = 1_000 * MS
SYNC_INTERVAL_US, MAX_SYNC_INTERVAL_US = (
    500 * MS,
    16_000 * MS,
)  # until those that have not told all are asked again; twice as late each time
BOOTSTRAP_DELAY_US = 100 * MS  # from the word that a fleet is new to the first vote by it
SLICES_PER_SURVEY_TURN, SURVEY_TURN_US = 64, 5 * MS  # slices that are looked at in one turn
READ_TIMEOUT_US = 60 * MS  # until who looks asks for a promise after all
READ_RETRY_US, MAX_READ_ATTEMPTS = (
    4 * MS,
    4,
)  # and how soon, and how often, it looks again where a change is under way
FOREVER_US = 1 << 50  # us
WORK_SPACE, DUTY_SPACE, CLUSTER_SPACE = 0, 1, 2  # the spaces that there are


class RegisterHost(Protocol):
    """The member whose registers these are."""

    def send(self, seat: str, message: Any) -> None: ...
    def reply(self, seat: str, message: Any) -> None: ...
    def replier(self, seat: str) -> Callable[[Any], None]: ...
    def durable(self, then: Callable[[], None], space: int) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def clock(self) -> int: ...
    def random(self) -> float: ...
    def count(self, name: str) -> None: ...
    def is_up(self, seat: str) -> bool: ...
    def raise_incarnation(
        self, inc: int
    ) -> None: ...  # this process must be a later incarnation than it thought


@dataclass(slots=True, eq=False)
class _PendingChange:
    proposer: Proposer
    on_result: Callable[[ChangeResult | None], None]
    give_up_at: int  # given up then
    backoff: int = RETRY_BACKOFF_US
    max_backoff: int = MAX_RETRY_BACKOFF_US
    round: int = 0  # grows with each question, so that a delay which belongs to an older one does nothing


@dataclass(slots=True, eq=False)
class _PendingRead:
    key: Key
    replicas: tuple[str, ...]
    timeout_us: int
    on_result: Callable[[ChangeResult | None], None]
    votes: dict[str, Vote] = field(default_factory=dict)
    attempts: int = 0


class RegisterSpace:
    """`forgets_after`: us, after which nothing that an earlier life knew counts any more; None where it lasts."""

    def __init__(self, space: int, keeper: Acceptor, host: RegisterHost, forgets_after: int | None) -> None:
        self.space, self.acceptor, self.host = space, keeper, host
        self.forgets_after = forgets_after
        self.recovering_peers: set[str] = set()
        self.last_may_be_chosen = False  # of the change that was given up last: it may be chosen yet
        self._pending_changes: dict[int, _PendingChange] = {}
        self._pending_reads: dict[int, _PendingRead] = {}
        self._serial = 0
        self._started_at = 0

    @property
    def me(self) -> str:
        return self.acceptor.seat

    def start(self) -> None:
        if self.acceptor.recovered:
            return
        self._started_at = self.host.clock()
        if self.forgets_after is not None:
            # Whatever an earlier process of this seat knew is out of its window by then.
            self.host.at(self._started_at + self.forgets_after, self._recover_by_time)
        if self.acceptor.slice_replicas is not None and self.acceptor.own_slices is None:
            self._survey_slices(0, [])
        self._sync_all(SYNC_INTERVAL_US)

    def _survey_slices(self, part: int, mine: list[int]) -> None:
        """Which slices this seat keeps: some at a time, as all of them take a second in a fleet of a thousand."""
        of = self.acceptor.slice_replicas
        if of is None or self.acceptor.recovered:
            return
        end = min(part + SLICES_PER_SURVEY_TURN, SLICES + 1)
        mine += [p for p in range(part, end) if self.me in of(p)]
        if end <= SLICES:
            return self.host.at(self.host.clock() + SURVEY_TURN_US, lambda: self._survey_slices(end, mine))
        self.acceptor.own_slices = mine
        self.acceptor.check_recovered()

    def _recover_by_time(self) -> None:
        if self.forgets_after is None:
            return None
        if self.host.clock() < self._started_at + self.forgets_after:
            return self.host.at(self._started_at + self.forgets_after, self._recover_by_time)
        if not self.acceptor.recovered:
            self.acceptor.recovered = True
            self.host.count("fleet: remembers, as what was forgotten no longer counts")
        return None

    # ---- votes ----

    def handle_request(self, seat: str, m: BallotRequest) -> None:
        vote = self.acceptor.vote(self.host.clock(), m)
        if (
            not vote.accepted and m.ballot != NO_BALLOT
        ):  # it promises nothing; who only looks must not see what may be lost
            return self.host.reply(seat, vote)
        say = self.host.replier(seat)
        return self.host.durable(lambda: say(vote), self.space)

    def handle_vote(self, seat: str, m: Vote) -> None:
        job = self._pending_changes.get(m.serial // 1000)
        if job is not None:
            self._advance(job, job.proposer.handle_vote(seat, m))
        elif (looking := self._pending_reads.get(m.serial // 1000)) is not None:
            self._handle_read_vote(m.serial // 1000, looking, seat, m)

    # ---- looks ----

    def read(self, key: Key, wait_us: int, then: Callable[[ChangeResult | None], None]) -> None:
        """What is chosen, without asking for a promise: any number may look at one time, and hinder nobody. Where the
        keepers don't agree, or too few answer soon, by a round like that of a change; `then(None)` after `wait_us`."""
        self._start_read(_PendingRead(key, self.acceptor.replicas(key), wait_us, then))

    def _start_read(self, looking: _PendingRead) -> None:
        self._serial += 1
        serial, key = self._serial, looking.key
        self._pending_reads[serial] = looking
        looking.votes.clear()
        ask = BallotRequest(serial * 1000, key, NO_BALLOT, None, NO_BALLOT, {}, 1, space=self.space)
        for seat in looking.replicas:
            if seat != self.me:
                self.host.send(seat, ask)
        self.host.at(self.host.clock() + READ_TIMEOUT_US, lambda: self._read_by_ballot(serial))
        if self.me in looking.replicas:
            vote = self.acceptor.vote(self.host.clock(), ask)
            self.host.durable(lambda: self.handle_vote(self.me, vote), self.space)

    def _handle_read_vote(self, serial: int, looking: _PendingRead, seat: str, m: Vote) -> None:
        looking.votes[seat] = m
        told = [v for v in looking.votes.values() if not v.recovering and not v.at_capacity]
        for vote in told:
            same = [v for v in told if v.accepted_ballot == vote.accepted_ballot]
            if len(same) >= self.votes_needed(looking, vote):
                del self._pending_reads[serial]
                return looking.on_result(ChangeResult(vote.value, False, None))
        if len(looking.votes) == len(looking.replicas):
            looking.attempts += 1
            if looking.attempts >= MAX_READ_ATTEMPTS or len(told) < majority(len(looking.replicas)):
                return self._read_by_ballot(serial)
            del self._pending_reads[serial]  # a change is on its way through them
            self.host.at(self.host.clock() + READ_RETRY_US, lambda: self._start_read(looking))
        return None

    @staticmethod
    def votes_needed(looking: _PendingRead, vote: Vote) -> int:
        """Keepers that must have taken that very value: a first write without a promise is chosen by all alone."""
        return (
            len(looking.replicas) if vote.accepted_ballot == FAST_BALLOT else majority(len(looking.replicas))
        )

    def _read_by_ballot(self, serial: int) -> None:
        looking = self._pending_reads.pop(serial, None)
        if looking is not None:
            self.change(
                looking.key,
                lambda old: None,
                self.host.clock() + FOREVER_US,
                looking.timeout_us,
                looking.on_result,
            )

    # ---- a keeper that has forgotten ----

    def _sync_all(self, wait: int) -> None:
        if self.acceptor.recovered:
            return
        asked = sorted(self.acceptor.other_seats - self.acceptor.synced_from)
        for seat in asked:
            self.host.send(seat, SyncRequest(self.acceptor.incarnation, self.space))
        # One that has told what it knows again is asked more and more seldom; one that is blank, or not there, soon.
        told = all(seat in self.acceptor.slices_synced_from for seat in asked)
        later = min(MAX_SYNC_INTERVAL_US, 2 * wait) if told else SYNC_INTERVAL_US
        self.host.at(self.host.clock() + later, lambda: self._sync_all(later))

    def handle_sync(self, seat: str, m: SyncRequest) -> None:
        parts, say = (
            self.acceptor.answer_sync(self.host.clock(), seat, m.incarnation, self.space),
            self.host.replier(seat),
        )

        def tell() -> None:
            for part in parts:
                say(part)

        self.host.durable(tell, self.space)  # that its earlier lives count for nothing must outlive this one

    def handle_sync_reply(self, seat: str, m: SyncReply) -> None:
        if m.incarnation < self.acceptor.incarnation:
            return  # to an earlier life
        if m.incarnation > self.acceptor.incarnation:
            return self.host.raise_incarnation(m.incarnation + 1)
        if m.recovering:
            self.recovering_peers.add(seat)
        else:
            self.recovering_peers.discard(seat)
            self.acceptor.apply_sync(self.host.clock(), seat, m)

    def bootstrap(self, lost: bool = False) -> str | None:
        """An operator's word that nothing ran here before; or, `lost`, that what no seat remembers any more counts for
        nothing. The reason where it can't be taken: one that remembers may know better, and one that is not there may
        remember."""
        if self.acceptor.recovered:
            return "this runner remembers: " + ("ask one that does not" if lost else "the fleet has begun")
        told = self.acceptor.synced_from | self.acceptor.slices_synced_from.keys() if lost else set()
        if missing := sorted(self.acceptor.other_seats - self.recovering_peers - told):
            return (
                "not heard of" if lost else "not heard as one that remembers nothing"
            ) + f": {', '.join(missing)}"
        for seat in self.acceptor.other_seats:
            self.host.send(seat, Bootstrap(self.acceptor.incarnations[seat], self.space, lost))
        self.handle_bootstrap(self.me, Bootstrap(self.acceptor.incarnation, self.space, lost))
        return None

    def handle_bootstrap(self, seat: str, m: Bootstrap) -> None:
        if (
            m.incarnation == self.acceptor.incarnation
            and not self.acceptor.recovered
            and (m.accept_loss or not self.acceptor.synced_from)
        ):
            self.host.at(
                self.host.clock() + BOOTSTRAP_DELAY_US, lambda: self._finish_bootstrap(m.incarnation)
            )

    def _finish_bootstrap(self, inc: int) -> None:
        """Some time after the word: one that has heard from others who began, on another way than this word comes on,
        would not take it any more; and two such know nothing that the other one could vote by."""
        if inc == self.acceptor.incarnation and not self.acceptor.recovered:
            self.acceptor.recovered = True
            self.host.count("fleet: begun")

    # ---- changes of registers ----

    def change(
        self,
        key: Key,
        change: ChangeFunction,
        until: int,
        wait_us: int,
        then: Callable[[ChangeResult | None], None],
        hold: CarriedPromise | None = None,
        most: int = MAX_RETRY_BACKOFF_US,
    ) -> None:
        self._serial += 1
        now = self.host.clock()
        writer = Proposer(
            key,
            self.acceptor.replicas(key),
            self.acceptor.incarnation,
            self._serial,
            change,
            max(1, (until - now) // 1000),
            hold,
            self.space,
        )
        job = self._pending_changes[self._serial] = _PendingChange(
            writer, then, now + wait_us, max_backoff=most
        )
        self._advance(job, writer.start(self._serial * 1000))

    def _advance(self, job: _PendingChange, asks: list[BallotRequest]) -> None:
        """After each step of a writer: its questions go out, its end is told."""
        writer = job.proposer
        for ask in asks:
            job.round += 1
            for seat in writer.replicas:
                if seat != self.me:
                    self.host.send(seat, ask)
            self._await_votes(job)
            if self.me in writer.replicas:  # last, so that the others are under way already
                return self._vote_locally(job, ask)
        if writer.result is not None:
            if self._pending_changes.pop(writer.serial // 1000, None) is not None:
                job.on_result(writer.result)
        elif job.give_up_at - self.host.clock() <= MAX_RETRY_BACKOFF_US and (
            writer.at_capacity
            or writer.recovering_votes > len(writer.replicas) - majority(len(writer.replicas))
        ):
            self._give_up(
                job
            )  # what may wait for long is asked again: those who have forgotten are told again
        elif writer.blocked:
            writer.conflicts += 1
            if writer.conflicts == 1:
                self._advance(job, writer.retry())
            else:
                job.round += 1
                self._retry_later(job, round(min(writer.conflicts, 10) * 2 * MS * (0.5 + self.host.random())))
        elif (
            writer.in_fast_round
            and self._other_replicas_down(writer)
            and (more := writer.settle_for_majority())
        ):
            self._advance(job, more)

    def _vote_locally(self, job: _PendingChange, ask: BallotRequest) -> None:
        """Our own vote, which counts as little as any before it is on the disk."""
        vote = self.acceptor.vote(self.host.clock(), ask)

        def said() -> None:
            if self._pending_changes.get(job.proposer.serial // 1000) is job:  # not given up meanwhile
                self._advance(job, job.proposer.handle_vote(self.me, vote))

        if vote.accepted:
            self.host.durable(said, self.space)
        else:
            said()

    def _other_replicas_down(self, writer: Proposer) -> bool:
        return all(seat in writer.accepted_by or not self.host.is_up(seat) for seat in writer.replicas)

    def _await_votes(self, job: _PendingChange) -> None:
        mark = job.round

        def nudge() -> None:
            if (
                job.round == mark
                and job.proposer.result is None
                and (more := job.proposer.settle_for_majority())
            ):
                self._advance(job, more)

        if job.proposer.in_fast_round:
            self.host.at(self.host.clock() + FAST_ROUND_TIMEOUT_US, nudge)
        self._retry_later(job, job.backoff)

    def _retry_later(self, job: _PendingChange, wait: int) -> None:
        mark = job.round

        def again() -> None:
            if job.round != mark or job.proposer.result is not None:
                return
            if self.host.clock() >= job.give_up_at or job.proposer.serial % 1000 > 900:
                return self._give_up(job)
            job.backoff = min(job.max_backoff, job.backoff * 2)
            self._advance(job, job.proposer.retry())

        self.host.at(min(self.host.clock() + wait, max(job.give_up_at, self.host.clock() + MS)), again)

    def _give_up(self, job: _PendingChange) -> None:
        job.round += 1  # nothing more is asked
        if self._pending_changes.pop(job.proposer.serial // 1000, None) is not None:
            self.last_may_be_chosen = job.proposer.may_be_chosen
            job.on_result(None)
