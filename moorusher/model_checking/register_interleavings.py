"""The register of a key and the life of work on it: three acceptors, two runners that both want to run the work,
messages that are lost, doubled and late, an acceptor that restarts with or without its memory."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import Any, NamedTuple, TypeVar

from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import FAST_BALLOT, BallotRequest, SyncReply, SyncRequest, Vote
from ..replication.proposer import CarriedPromise, Proposer
from ..replication.work_record import (
    ClaimWork,
    Key,
    Owner,
    ReleaseWork,
    StartWork,
    TakeOverWork,
    WorkRecord,
    WorkRequest,
    WorkState,
)

T = TypeVar("T")
KEY = b"k"
SEATS = ("a", "b", "c")
RESTARTING = "a"  # the acceptor that crashes or restarts
REQUEST = WorkRequest("r", "write", None, "t", b"", 0.0, None, 0, 0.0, 0.0, None)
NEXT_INCARNATION = 100  # from one incarnation to the next
NEVER_EXPIRES = 1 << 60  # us
TTL_MS = 10_000
SERIALS_PER_CHANGE = 1_000
BODY_DIGEST = 1


class InTransit(NamedTuple):
    """A message on its way; `text` is the message as it is told from others."""

    to: str
    sender: str
    message: Any
    text: str


@dataclass(frozen=True, slots=True)
class Limits:
    """How large the case is that is explored.

    Attributes:
        retries: further rounds that P and Q may begin, whenever they like.
        patient: `bool`, a further round only after a conflict, not at any time.
        answers_travel: `bool`, answers travel by themselves; else they come at once, or are lost.
        duplicates: `int`, messages that are doubled.
        crashes: `int`, of acceptor a, without its memory.
        restarts: `int`, of acceptor a, with it.
        starts_held: `bool`, P has the key already, and is to start; Q takes it over.
        takes_over: `bool`, Q goes on with what P holds.
        releases: `bool`, P may say that the work never ran, after it has asked to start.
    """

    retries: tuple[int, int] = (0, 1)
    patient: bool = False
    answers_travel: bool = False
    duplicates: int = 0
    crashes: int = 0
    restarts: int = 0
    starts_held: bool = False
    takes_over: bool = True
    releases: bool = False


@cache
def _fields(kind: Hashable) -> tuple[str, ...]:
    bases = reversed(getattr(kind, "__mro__", ()))
    return tuple(name for base in bases for name in getattr(base, "__slots__", ()))


def shallow_copy(original: T) -> T:
    """One level deep, as `copy.copy` of a dataclass with slots, in a third of the time."""
    new = object.__new__(type(original))
    kind: Any = type(original)
    for name in _fields(kind):
        setattr(new, name, getattr(original, name))
    return new


def _register_values(acceptor: Acceptor) -> tuple[Hashable, ...]:
    return tuple(
        (register.promised, register.accepted_ballot, register.value)
        for register in acceptor.registers.values()
    )


def _text_of(message: Any) -> str:
    """A message but for the names of seats, which are told apart elsewhere, and for what follows from the rest."""
    if isinstance(message, BallotRequest):
        return f"ask {message.ballot} {message.value!r} {message.serial}"
    if isinstance(message, Vote):
        vote = f"{message.accepted} {message.accepted_ballot} {message.value!r} {message.promised}"
        return f"vote {vote} {message.incarnation} {message.recovering} {message.serial}"
    if isinstance(message, SyncReply):
        return f"slots {message.incarnation} {message.registers} {message.recovering}"
    return str(message)


def _move_name(sent: InTransit) -> str:
    message = sent.message
    kind = type(message).__name__
    if isinstance(message, BallotRequest):
        kind += f" {message.ballot}"
        if isinstance(message.value, WorkRecord):
            kind += f" {message.value.state.name}"
    elif isinstance(message, Vote):
        kind += " taken" if message.accepted else " refused"
    return f"{kind} from {sent.sender} to {sent.to}"


@dataclass(slots=True)
class Runner:
    """Claims the key, or takes it over; then starts; then runs, once it has learnt that STARTED is chosen.

    Attributes:
        name: `str`, P or Q.
        incarnation: `int`.
        retries: `int`, further rounds that it may begin.
        step: `str`, what its change is for; empty before the first one, "over" at the end.
        attempt: `int`, of the work that it holds.
        proposer: `Proposer` of the change under way, or None.
        serial: `int`, how many changes it has begun.
        ran: `int`, how often it has run the work.
        released: `bool`, it has given the work up.
        change: of a subclass.
    """

    name: str
    incarnation: int
    retries: int
    step: str = ""
    attempt: int = 0
    proposer: Any = None
    serial: int = 0
    ran: int = 0
    released: bool = False
    change: Any = None


@dataclass(slots=True)
class RegisterModel:
    """A state of the case, see `explorer.Model`. Two of the same `fingerprint` can't be told apart.

    Attributes:
        limits: `Limits`.
        acceptor_class, proposer_class: the real ones, or those with a seeded mistake.
        runs_early: `bool`, a seeded mistake: the work is run when the request to start goes out.
        forgets: `bool`; False is a seeded mistake: an acceptor that has lost its memory votes as one that has not.
        interchangeable: seats that nothing but their names tells apart; all three, where empty.
        replicas_by_runner: where the runners do not have the same replicas.
        acceptors: by seat.
        runners: by name.
        in_transit: messages on their way, in order.
        first_promise: of P, where it holds the key at the beginning.
        duplicates, crashes, restarts: `int`, how many there were.
        failure: what has gone wrong.
    """

    limits: Limits
    acceptor_class: type[Acceptor] = Acceptor
    proposer_class: type[Proposer] = Proposer
    runs_early: bool = False
    forgets: bool = True
    interchangeable: tuple[str, ...] = ()
    replicas_by_runner: dict[str, tuple[str, ...]] = field(default_factory=dict)
    acceptors: dict[str, Acceptor] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    in_transit: tuple[InTransit, ...] = ()
    first_promise: CarriedPromise | None = None
    duplicates: int = 0
    crashes: int = 0
    restarts: int = 0
    failure: str | None = None

    @classmethod
    def initial(
        cls, limits: Limits, replicas: dict[str, tuple[str, ...]] | None = None, **how: Any
    ) -> RegisterModel:
        """The state in which nothing has happened. `how`: further attributes."""
        model = cls(limits, replicas_by_runner=replicas or {}, **how)
        if limits.crashes or limits.restarts:
            model.interchangeable = ("b", "c")
        named = {seat for seats in model.replicas_by_runner.values() for seat in seats}
        every = sorted(named | set(SEATS))
        model.acceptors = {
            seat: model.acceptor_class(seat, 1, model._replicas(), frozenset(every) - {seat}, True)
            for seat in every
        }
        model.runners = {
            "P": Runner("P", 11, limits.retries[0]),
            "Q": Runner("Q", 22, limits.retries[1]),
        }
        if limits.starts_held:
            model._hold()
        return model

    def _replicas(self) -> Callable[[Key], tuple[str, ...]]:
        """Each acceptor takes itself for a replica, whichever runner asks."""
        named = {seat for seats in self.replicas_by_runner.values() for seat in seats}
        everywhere = tuple(sorted(named)) or SEATS
        return lambda key: everywhere

    def _hold(self) -> None:
        """P has claimed the key in a fast round."""
        holder = self.runners["P"]
        owner = Owner(holder.name, holder.incarnation)
        work = WorkRecord(WorkState.HELD, owner, 1, BODY_DIGEST, REQUEST)
        promised = (1, holder.incarnation, 0)
        for acceptor in self.acceptors.values():
            acceptor.registers[KEY] = RegisterState(promised, FAST_BALLOT, work, NEVER_EXPIRES)
        self.first_promise = CarriedPromise(promised, work, dict.fromkeys(SEATS, 1))
        for runner in self.runners.values():
            runner.attempt = 1

    # ---- copies ----

    def copy(self) -> RegisterModel:
        """Shares nothing that a move changes."""
        new = shallow_copy(self)
        new.acceptors = {seat: self._copy_acceptor(acceptor) for seat, acceptor in self.acceptors.items()}
        new.runners = {name: self._copy_runner(runner) for name, runner in self.runners.items()}
        return new

    @staticmethod
    def _copy_runner(runner: Runner) -> Runner:
        new = shallow_copy(runner)
        if runner.proposer is not None:
            proposer = shallow_copy(runner.proposer)
            proposer._votes = dict(proposer._votes)
            proposer._rejections = set(proposer._rejections)
            proposer._may_have_accepted = set(proposer._may_have_accepted)
            new.proposer = proposer
        return new

    @staticmethod
    def _copy_acceptor(acceptor: Acceptor) -> Acceptor:
        new = type(acceptor)(
            acceptor.seat,
            acceptor.incarnation,
            acceptor.replicas,
            acceptor.other_seats,
            acceptor.recovered,
            acceptor.max_registers,
            {},
            dict(acceptor.incarnations),
            set(acceptor.synced_from),
        )
        for key, register in acceptor.registers.items():
            new.registers[key] = RegisterState(
                register.promised, register.accepted_ballot, register.value, register.expires_at
            )
        return new

    # ---- the fingerprint ----

    def fingerprint(self) -> Hashable:
        """Seats that nothing tells apart are put in an order of what they know: six states are one then."""
        rank = self._rank_seats()
        return (
            tuple(sorted(self._acceptor_print(seat, rank) for seat in self.acceptors)),
            tuple(self._runner_print(runner, rank) for runner in self.runners.values()),
            tuple(sorted((self._message_print(sent, rank) for sent in self.in_transit), key=repr)),
            self.duplicates,
            self.crashes,
            self.restarts,
            self.failure,
        )

    def _rank_seats(self) -> dict[str, int]:
        known: dict[str, list[Hashable]] = {
            seat: [*_register_values(acceptor)] for seat, acceptor in self.acceptors.items()
        }
        for sent in self.in_transit:
            seat = sent.to if sent.to in known else sent.sender
            if seat in known:
                known[seat].append((seat == sent.to, sent.text))
        for runner in self.runners.values():
            if runner.proposer is not None:
                for seat, vote in runner.proposer._votes.items():
                    known[seat].append((runner.name, vote.accepted_ballot, vote.value))
                for seat in runner.proposer._rejections:
                    known[seat].append((runner.name, "no"))
        interchangeable = self.interchangeable or SEATS
        order = sorted(interchangeable, key=lambda seat: repr(known[seat]))
        others = [seat for seat in self.acceptors if seat not in interchangeable]
        return {seat: position for position, seat in enumerate([*order, *others])}

    @staticmethod
    def _incarnations_print(incarnations: Mapping[str, int], rank: Mapping[str, int]) -> Hashable:
        return tuple(sorted((rank.get(seat, seat), number) for seat, number in incarnations.items()))

    def _acceptor_print(self, seat: str, rank: Mapping[str, int]) -> tuple[Any, ...]:
        acceptor = self.acceptors[seat]
        return (
            rank[seat],
            acceptor.incarnation,
            acceptor.recovered,
            self._incarnations_print(acceptor.incarnations, rank),
            tuple(sorted(rank[other] for other in acceptor.synced_from)),
            *_register_values(acceptor),
        )

    def _runner_print(self, runner: Runner, rank: Mapping[str, int]) -> Hashable:
        proposer = None if runner.proposer is None else self._proposer_print(runner.proposer, rank)
        return (runner.step, runner.attempt, runner.retries, runner.ran, runner.released, proposer)

    def _proposer_print(self, proposer: Proposer, rank: Mapping[str, int]) -> Hashable:
        votes = (
            (
                rank[seat],
                vote.incarnation,
                vote.accepted_ballot,
                vote.value,
                self._incarnations_print(vote.incarnations, rank),
            )
            for seat, vote in proposer._votes.items()
        )
        return (
            proposer._ballot,
            proposer._value,
            proposer._highest_round,
            tuple(sorted(votes)),
            tuple(sorted(rank[seat] for seat in proposer._rejections)),
            self._incarnations_print(proposer._quorum, rank),
        )

    def _message_print(self, sent: InTransit, rank: Mapping[str, int]) -> Hashable:
        message = sent.message
        quorum: Hashable = ()
        incarnations: Hashable = ()
        if isinstance(message, BallotRequest):
            quorum = self._incarnations_print(message.quorum, rank)
        elif isinstance(message, (Vote, SyncReply)):
            incarnations = self._incarnations_print(message.incarnations, rank)
        return (
            rank.get(sent.to, sent.to),
            rank.get(sent.sender, sent.sender),
            sent.text,
            quorum,
            incarnations,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        """What may happen next, each under its name."""
        if self.failure:
            return []
        moves = self._message_moves()
        for runner in self.runners.values():
            moves += self._runner_moves(runner)
        if self.crashes < self.limits.crashes:
            moves.append(f"{RESTARTING} forgets")
        if self.restarts < self.limits.restarts:
            moves.append(f"{RESTARTING} restarts")
        return moves

    def _message_moves(self) -> list[str]:
        named = [(position, sent, _move_name(sent)) for position, sent in enumerate(self.in_transit)]
        requests = [
            (position, name) for position, sent, name in named if isinstance(sent.message, BallotRequest)
        ]
        moves = [f"deliver {position}: {name}" for position, _, name in named]
        if not self.limits.answers_travel:
            moves += [f"unheard {position}: {name}" for position, name in requests]
        if self.duplicates < self.limits.duplicates:
            moves += [f"double {position}: {name}" for position, name in requests]
        return moves

    def _runner_moves(self, runner: Runner) -> list[str]:
        proposer = runner.proposer
        if proposer is None:
            return [] if runner.step else [f"{runner.name} {self._first_move(runner)}"]
        may_retry = runner.retries > 0 and (proposer.blocked or not self.limits.patient)
        if proposer.result is not None or not may_retry:
            return []
        moves = [f"{runner.name} asks again"]
        if proposer.in_fast_round and len(proposer._votes) >= 2:
            moves.append(f"{runner.name} goes on with a majority")
        return moves

    def _first_move(self, runner: Runner) -> str:
        if not self.limits.starts_held:
            return "claims"
        return "begins" if runner.name == "P" else "takes"

    def apply(self, name: str) -> None:
        """Makes that move."""
        subject, verb = name.split(" ")[:2]
        if subject in ("deliver", "double", "unheard"):
            self._apply_to_message(subject, int(verb.rstrip(":")))
        elif subject == RESTARTING:
            self._restart(with_memory=verb == "restarts")
        else:
            self._apply_to_runner(self.runners[subject], verb)

    def _apply_to_message(self, verb: str, position: int) -> None:
        sent = self.in_transit[position]
        if verb == "double":
            self.duplicates += 1
        else:
            self.in_transit = self.in_transit[:position] + self.in_transit[position + 1 :]
        self._deliver(sent.to, sent.sender, sent.message, heard=verb != "unheard")

    def _restart(self, with_memory: bool) -> None:
        old = self.acceptors[RESTARTING]
        if with_memory:
            # What was on its way from it is lost; what it has promised and accepted it still knows.
            self.restarts += 1
            self.in_transit = tuple(sent for sent in self.in_transit if sent.sender != RESTARTING)
            return
        self.crashes += 1
        incarnation = old.incarnation + NEXT_INCARNATION
        new = self.acceptor_class(RESTARTING, incarnation, old.replicas, old.other_seats, not self.forgets)
        self.acceptors[RESTARTING] = new
        if self.forgets:
            request = SyncRequest(new.incarnation)
            self._send(RESTARTING, [(seat, request) for seat in sorted(new.other_seats)])

    def _apply_to_runner(self, runner: Runner, verb: str) -> None:
        owner = Owner(runner.name, runner.incarnation)
        if verb == "begins":
            runner.step = "begin"
            if self.runs_early:
                self._run(runner)
            self._change(runner, StartWork(owner, 1), self.first_promise)
        elif verb == "takes":
            runner.step = "take"
            self._change(runner, TakeOverWork(owner, Owner("P", self.runners["P"].incarnation), 1))
        elif verb == "claims":
            runner.step = "claim"
            self._change(runner, ClaimWork(owner, BODY_DIGEST, REQUEST))
        else:
            runner.retries -= 1
            proposer = runner.proposer
            requests = proposer.retry() if verb == "asks" else proposer.settle_for_majority()
            self._request(runner, requests)

    # ---- what follows from a move ----

    def _send(self, sender: str, messages: list[tuple[str, Any]]) -> None:
        sent = tuple(InTransit(to, sender, message, _text_of(message)) for to, message in messages)
        order = sorted(self.in_transit + sent, key=lambda sent: (sent.to, sent.sender, sent.text))
        self.in_transit = tuple(order)

    def _change(self, runner: Runner, change: Any, promise: CarriedPromise | None = None) -> None:
        runner.serial += 1
        replicas = self.replicas_by_runner.get(runner.name, SEATS)
        runner.proposer = self.proposer_class(
            KEY, replicas, runner.incarnation, runner.serial, change, TTL_MS, promise
        )
        self._request(runner, runner.proposer.start(runner.serial * SERIALS_PER_CHANGE))

    def _request(self, runner: Runner, requests: list[BallotRequest]) -> None:
        # An answer to an earlier round that is still on its way is not listened to.
        self.in_transit = tuple(
            sent
            for sent in self.in_transit
            if not (sent.to == runner.name and sent.message.serial != runner.proposer.serial)
        )
        self._send(
            runner.name, [(seat, request) for request in requests for seat in runner.proposer.replicas]
        )
        self._step(runner)

    def _deliver(self, to: str, by: str, message: Any, heard: bool = True) -> None:
        """`heard`: the answer comes; else it is lost."""
        if isinstance(message, BallotRequest):
            vote = self.acceptors[to].vote(0, message)
            if self.limits.answers_travel:
                self._send(to, [(by, vote)])
            elif heard:
                self._deliver(by, to, vote)
        elif isinstance(message, SyncRequest):
            parts = self.acceptors[to].answer_sync(0, by, message.incarnation)
            self._send(to, [(by, part) for part in parts])
        elif isinstance(message, SyncReply):
            if message.incarnation == self.acceptors[to].incarnation:
                self.acceptors[to].apply_sync(0, by, message)
        else:
            runner = self.runners[to]
            if runner.proposer is not None:
                self._request(runner, runner.proposer.handle_vote(by, message))

    def _step(self, runner: Runner) -> None:
        """A change of the runner may be over: then its next one follows, or it runs the work."""
        if runner.proposer is None or runner.proposer.result is None:
            return
        result = runner.proposer.result
        runner.proposer = None
        self.in_transit = tuple(sent for sent in self.in_transit if sent.to != runner.name)
        work: WorkRecord | None = result.value
        owner = Owner(runner.name, runner.incarnation)
        is_own = work is not None and work.owner == owner
        if work is None:
            runner.step = "over"
        elif runner.step in ("claim", "take") and is_own and work.state is WorkState.HELD:
            runner.step = "begin"
            runner.attempt = work.attempt
            if self.runs_early:
                self._run(runner)
            self._change(runner, StartWork(owner, runner.attempt), result.promise)
        elif runner.step == "claim" and self._may_take_over(work):
            runner.step = "take"
            self._change(runner, TakeOverWork(owner, work.owner, work.attempt))
        elif runner.step == "begin" and is_own and work.state is WorkState.STARTED:
            self._started(runner, owner, result.promise)
        else:
            runner.step = "over"

    def _may_take_over(self, work: WorkRecord) -> bool:
        return work.state in (WorkState.HELD, WorkState.RELEASED) and self.limits.takes_over

    def _started(self, runner: Runner, owner: Owner, promise: CarriedPromise | None) -> None:
        if self.limits.releases and runner.name == "P":
            # It gives up before the run is commanded, and says so.
            runner.step = "free"
            runner.released = True
            self._change(runner, ReleaseWork(owner, runner.attempt, REQUEST, False), promise)
            return
        runner.step = "over"
        if not self.runs_early:
            self._run(runner)

    def _run(self, runner: Runner) -> None:
        runner.ran += 1
        if sum(other.ran for other in self.runners.values()) > 1:
            self.failure = f"{runner.name} runs what another has run"

    def violation(self) -> str | None:
        """What is broken in this state."""
        return self.failure
