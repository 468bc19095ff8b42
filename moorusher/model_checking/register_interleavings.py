"""A model of two runners that both want to run the work of one key."""

# The model has three acceptors. Messages may be lost, duplicated and reordered, and one acceptor may restart with or
# without its memory. Acceptors, proposers and changes are the real ones. `register_state` defines the parts of a
# state, `register_moves` the names of its moves, and `register_fingerprint` the equivalence of states.

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any, Self

from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import FAST_BALLOT, BallotRequest, SyncReply, SyncRequest
from ..replication.proposer import CarriedPromise, Proposer
from ..replication.work_record import (
    ClaimWork,
    KeyDigest,
    Owner,
    ReleaseWork,
    StartWork,
    TakeOverWork,
    WorkRecord,
    WorkRequest,
    WorkState,
)
from . import register_moves
from .register_fingerprint import StateFingerprint
from .register_state import (
    KEY,
    RESTARTING,
    SEATS,
    InTransit,
    RegisterModelLimits,
    Runner,
    Step,
    copy_acceptor,
    copy_runner,
    text_of,
)
from .shallow_copy import shallow_copy

REQUEST = WorkRequest("r", "write", None, "t", b"", 0.0, None, 0, 0.0, 0.0, None)
BODY_DIGEST = 1
FIRST_ATTEMPT = 1
FIRST_INCARNATIONS = {"P": 11, "Q": 22}
INCARNATION_STEP = 100  # Difference between successive incarnations of an acceptor.
SERIALS_PER_CHANGE = 1_000
NEVER_EXPIRES_US = 1 << 60
TTL_MS = 10_000
OPEN_STATES = (WorkState.QUEUED, WorkState.RELEASED)  # States in which work may be taken over.


@dataclass(slots=True)
class RegisterModel:
    """A state of the model, see `explorer.Model`.

    Attributes:
        limits: Bounds of the explored case.
        acceptor_class: Class of the acceptors.
        proposer_class: Class of the proposers.
        runs_early: Whether a runner runs the work as soon as it asks to start it. True is a deliberate mistake.
        amnesia: Whether an acceptor that lost its memory must recover before it votes. False is a deliberate mistake.
        interchangeable: Seats that differ only in their names. Empty means all three.
        replicas_by_runner: Replicas that each runner uses; empty if both use all `SEATS`.
        acceptors: Acceptors by seat.
        runners: Runners by name.
        in_transit: Messages in transit, sorted.
        first_promise: If P holds the key initially, the promise with which it begins its next change; None otherwise.
        duplicates: Number of messages duplicated so far.
        crashes: Number of restarts without memory so far.
        restarts: Number of restarts with memory so far.
        failure: Description of the violated invariant, or None.
    """

    limits: RegisterModelLimits
    # Tests replace these classes by ones with a deliberate mistake.
    acceptor_class: type[Acceptor] = Acceptor
    proposer_class: type[Proposer] = Proposer
    runs_early: bool = False
    amnesia: bool = True
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
        cls, limits: RegisterModelLimits, replicas: dict[str, tuple[str, ...]] | None = None, **options: Any
    ) -> Self:
        """Return the initial state.

        :param replicas: Replicas that each runner uses; None if both use all `SEATS`.
        :param options: Other attributes of the model.
        """
        model = cls(limits, replicas_by_runner=replicas or {}, **options)
        if limits.crashes or limits.restarts:
            model.interchangeable = tuple(seat for seat in SEATS if seat != RESTARTING)
        named = {seat for seats in model.replicas_by_runner.values() for seat in seats}
        every = sorted(named | set(SEATS))
        replicas_of = _replicas_function(tuple(sorted(named)) or SEATS)
        model.acceptors = {
            seat: model.acceptor_class(seat, 1, replicas_of, frozenset(every) - {seat}, True)
            for seat in every
        }
        model.runners = {
            name: Runner(name, incarnation, retries)
            for (name, incarnation), retries in zip(FIRST_INCARNATIONS.items(), limits.retries, strict=True)
        }
        if limits.starts_claimed:
            model._claim_for_p()
        return model

    def _claim_for_p(self) -> None:
        """Set the state in which P has claimed the key in a fast round."""
        holder = self.runners["P"]
        owner = Owner(holder.name, holder.incarnation)
        work = WorkRecord(WorkState.QUEUED, owner, FIRST_ATTEMPT, BODY_DIGEST, REQUEST)
        promised = (1, holder.incarnation, 0)
        for acceptor in self.acceptors.values():
            acceptor.registers[KEY] = RegisterState(promised, FAST_BALLOT, work, NEVER_EXPIRES_US)
        self.first_promise = CarriedPromise(promised, work, dict.fromkeys(SEATS, 1))
        for runner in self.runners.values():
            runner.attempt = FIRST_ATTEMPT

    # ---- `explorer.Model` ----

    def copy(self) -> Self:
        """Return a copy that shares no data that a move changes."""
        new = shallow_copy(self)
        new.acceptors = {seat: copy_acceptor(acceptor) for seat, acceptor in self.acceptors.items()}
        new.runners = {name: copy_runner(runner) for name, runner in self.runners.items()}
        return new

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states."""
        parts = StateFingerprint(self.acceptors, self.runners.values(), self.in_transit, self.interchangeable)
        return (*parts.of_all(), self.duplicates, self.crashes, self.restarts, self.failure)

    def moves(self) -> list[str]:
        """Return the names of all moves that are possible now."""
        if self.failure:
            return []
        moves = register_moves.message_moves(self.in_transit, self.limits, self.duplicates)
        for runner in self.runners.values():
            moves += register_moves.runner_moves(runner, self.limits)
        if self.crashes < self.limits.crashes:
            moves.append(f"{RESTARTING} {register_moves.RESTART_WITHOUT_MEMORY}")
        if self.restarts < self.limits.restarts:
            moves.append(f"{RESTARTING} {register_moves.RESTART_WITH_MEMORY}")
        return moves

    def apply(self, name: str) -> None:
        """Make a move."""
        subject, _, verb = name.partition(" ")
        if subject in (register_moves.DELIVER, register_moves.DUPLICATE, register_moves.LOSE_ANSWER):
            position, _, _ = verb.partition(":")
            self._apply_to_message(subject, int(position))
        elif verb == register_moves.RESTART_WITH_MEMORY:
            self._restart_with_memory()
        elif verb == register_moves.RESTART_WITHOUT_MEMORY:
            self._restart_without_memory()
        else:
            self._apply_to_runner(self.runners[subject], verb)

    def violation(self) -> str | None:
        """Return a description of the invariant that this state violates, or None."""
        return self.failure

    # ---- messages and acceptors ----

    def _apply_to_message(self, verb: str, position: int) -> None:
        sent = self.in_transit[position]
        if verb == register_moves.DUPLICATE:
            self.duplicates += 1
        else:
            self.in_transit = self.in_transit[:position] + self.in_transit[position + 1 :]
        self._deliver(sent.to, sent.sender, sent.message, is_answered=verb != register_moves.LOSE_ANSWER)

    def _restart_with_memory(self) -> None:
        """Restart the acceptor. Its messages that are still in transit are lost."""
        self.restarts += 1
        self.in_transit = tuple(sent for sent in self.in_transit if sent.sender != RESTARTING)

    def _restart_without_memory(self) -> None:
        self.crashes += 1
        old = self.acceptors[RESTARTING]
        incarnation = old.incarnation + INCARNATION_STEP
        new = self.acceptor_class(RESTARTING, incarnation, old.replicas, old.other_seats, not self.amnesia)
        self.acceptors[RESTARTING] = new
        if self.amnesia:
            request = SyncRequest(new.incarnation)
            self._send(RESTARTING, [(seat, request) for seat in sorted(new.other_seats)])

    def _send(self, sender: str, messages: list[tuple[str, Any]]) -> None:
        sent = tuple(InTransit(to, sender, message, text_of(message)) for to, message in messages)
        order = sorted(self.in_transit + sent, key=lambda sent: (sent.to, sent.sender, sent.text))
        self.in_transit = tuple(order)

    def _deliver(self, to: str, sender: str, message: Any, is_answered: bool = True) -> None:
        """Deliver a message.

        :param is_answered: Whether the answer to a ballot request arrives; otherwise it is lost.
        """
        if isinstance(message, BallotRequest):
            vote = self.acceptors[to].vote(0, message)
            if self.limits.has_answers_in_transit:
                self._send(to, [(sender, vote)])
            elif is_answered:
                self._deliver(sender, to, vote)
        elif isinstance(message, SyncRequest):
            replies = self.acceptors[to].answer_sync(0, sender, message.incarnation)
            self._send(to, [(sender, reply) for reply in replies])
        elif isinstance(message, SyncReply):
            if message.incarnation == self.acceptors[to].incarnation:
                self.acceptors[to].apply_sync(0, sender, message)
        else:
            runner = self.runners[to]
            if runner.proposer is not None:
                self._request(runner, runner.proposer.handle_vote(sender, message))

    # ---- runners ----

    def _apply_to_runner(self, runner: Runner, verb: str) -> None:
        owner = Owner(runner.name, runner.incarnation)
        if verb == register_moves.START:
            self._start(runner, self.first_promise)
        elif verb == register_moves.TAKE_OVER:
            runner.step = Step.TAKE_OVER
            former = Owner("P", self.runners["P"].incarnation)
            self._change(runner, TakeOverWork(owner, former, FIRST_ATTEMPT))
        elif verb == register_moves.CLAIM:
            runner.step = Step.CLAIM
            self._change(runner, ClaimWork(owner, BODY_DIGEST, REQUEST))
        else:
            runner.retries -= 1
            proposer = runner.proposer
            requests = proposer.retry() if verb == register_moves.RETRY else proposer.accept_majority()
            self._request(runner, requests)

    def _start(self, runner: Runner, promise: CarriedPromise | None) -> None:
        runner.step = Step.START
        if self.runs_early:
            self._run(runner)
        owner = Owner(runner.name, runner.incarnation)
        self._change(runner, StartWork(owner, runner.attempt), promise)

    def _change(self, runner: Runner, change: Any, promise: CarriedPromise | None = None) -> None:
        runner.serial += 1
        replicas = self.replicas_by_runner.get(runner.name, SEATS)
        runner.proposer = self.proposer_class(
            KEY, replicas, runner.incarnation, runner.serial, change, TTL_MS, promise
        )
        self._request(runner, runner.proposer.start(runner.serial * SERIALS_PER_CHANGE))

    def _request(self, runner: Runner, requests: list[BallotRequest]) -> None:
        # The runner ignores answers to earlier rounds, so they are dropped.
        self.in_transit = tuple(
            sent
            for sent in self.in_transit
            if not (sent.to == runner.name and sent.message.serial != runner.proposer.serial)
        )
        self._send(
            runner.name, [(seat, request) for request in requests for seat in runner.proposer.replicas]
        )
        self._step(runner)

    def _step(self, runner: Runner) -> None:
        """Begin the runner's next change, or run the work, if its current change has a result."""
        if runner.proposer is None or runner.proposer.result is None:
            return
        result = runner.proposer.result
        runner.proposer = None
        self.in_transit = tuple(sent for sent in self.in_transit if sent.to != runner.name)
        work: WorkRecord | None = result.value
        owner = Owner(runner.name, runner.incarnation)
        is_own = work is not None and work.owner == owner
        if work is None:
            runner.step = Step.DONE
        elif runner.step in (Step.CLAIM, Step.TAKE_OVER) and is_own and work.state is WorkState.QUEUED:
            runner.attempt = work.attempt
            self._start(runner, result.promise)
        elif runner.step is Step.CLAIM and self.limits.takes_over and work.state in OPEN_STATES:
            runner.step = Step.TAKE_OVER
            self._change(runner, TakeOverWork(owner, work.owner, work.attempt))
        elif runner.step is Step.START and is_own and work.state is WorkState.STARTED:
            self._on_started(runner, owner, result.promise)
        else:
            runner.step = Step.DONE

    def _on_started(self, runner: Runner, owner: Owner, promise: CarriedPromise | None) -> None:
        if self.limits.releases and runner.name == "P":
            # P releases the work before it commands the run.
            runner.step = Step.RELEASE
            runner.released = True
            self._change(runner, ReleaseWork(owner, runner.attempt, REQUEST, False), promise)
            return
        runner.step = Step.DONE
        if not self.runs_early:
            self._run(runner)

    def _run(self, runner: Runner) -> None:
        runner.runs += 1
        if sum(other.runs for other in self.runners.values()) > 1:
            self.failure = f"{runner.name} runs work that has run before"


def _replicas_function(replicas: tuple[str, ...]) -> Callable[[KeyDigest], tuple[str, ...]]:
    """Return a function that returns the same replicas for every key."""
    # Each acceptor thus considers itself a replica, whichever runner sends a request.
    return lambda key: replicas
