"""A model of a leader P, which may pause at any time, and the next leader Q, with their effects."""

# The model has three replicas. Messages may be lost, reordered and duplicated, and one replica may restart with or
# without its memory. Acceptors, proposers and changes are the real ones.

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Self

from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from ..leadership.holder_changes import AddIntent, HolderChange, IssueToken, UpdateState
from ..leadership.lease_record import IntentResolution, LeaseRecord, LeaseStatus, decode_record, encode_record
from ..leadership.lease_transitions import AcquireLease
from ..replication.acceptor import RegisterState
from ..replication.messages import FAST_BALLOT
from ..replication.proposer import CarriedPromise
from ..replication.work_record import Owner
from . import register_moves
from .register_interleavings import RegisterModel
from .register_state import KEY, SEATS, RegisterModelLimits, Runner, Step

JOB = b"job"
RECEIVER = "out"
GENERATION = 1
FIRST_TERM = 1
MAX_LOST_LEADERS = 5
MAX_VERSIONS = 9
PERFORM = "performs its effect"  # First move of P.
ACQUIRE = "acquires the lease"  # First move of Q.
FIRST_MOVES = {f"P {register_moves.CLAIM}": f"P {PERFORM}", f"Q {register_moves.CLAIM}": f"Q {ACQUIRE}"}


class EffectKind(StrEnum):
    """The kind of effect that both leaders want to perform."""

    FENCED = "fenced"  # A request to a receiver that compares fencing tokens.
    ONCE = "once"  # A job that both leaders want to send, at most once in all, to a receiver that can't compare tokens.
    STATE = "state"  # An update of the duty's state.


@dataclass(frozen=True, slots=True)
class EffectMessage:
    """A message to the receiver. It arrives at any time, or never.

    Attributes:
        serial: Always 0, since the receiver sends no answer that refers to the message.
        token: Fencing token of the effect.
        is_job: Whether the message goes to the receiver that can't compare tokens.
    """

    serial: int
    token: FencingToken
    is_job: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """An acknowledgement to a runner that its change is chosen, with the token of the change."""

    runner: str
    token: FencingToken


@dataclass(slots=True)
class LeadershipModel(RegisterModel):
    """A state of two terms of one duty.

    Attributes:
        kind: Kind of effect that both leaders want to perform.
        compares: Whether the receiver compares tokens. False is a deliberate mistake.
        sends_before_intent: Whether an effect is sent before its intent is chosen. True is a deliberate mistake.
        token_change: Class of the change that issues a token.
        acquire_change: Class of the change that acquires the lease.
        highest: Highest token that the receiver has accepted.
        jobs_done: Number of jobs done by the receiver that can't compare tokens.
        operator_notified: Whether an operator was notified that an outcome is uncertain.
        acknowledged: Acknowledgements in order.
    """

    kind: EffectKind = EffectKind.FENCED
    compares: bool = True
    sends_before_intent: bool = False
    # Tests replace these classes by ones with a deliberate mistake.
    token_change: type[HolderChange] = IssueToken
    acquire_change: type[AcquireLease] = AcquireLease
    highest: FencingToken | None = None
    jobs_done: int = 0
    operator_notified: bool = False
    acknowledged: tuple[Acknowledgement, ...] = ()

    @classmethod
    def with_lease(cls, limits: RegisterModelLimits, **options: Any) -> Self:
        """Return an initial state in which P holds the lease.

        :param options: Other attributes of the model.
        """
        model = cls.initial(limits, **options)
        leader = model.runners["P"]
        owner = Owner("P", leader.incarnation)
        record = LeaseRecord("d", "test", GENERATION, FIRST_TERM, 1, LeaseStatus.HELD, owner)
        value = encode_record(record)
        ballot = (1, leader.incarnation, 0)
        for acceptor in model.acceptors.values():
            acceptor.permanent = True
            acceptor.registers[KEY] = RegisterState(ballot, FAST_BALLOT, value)
        model.first_promise = CarriedPromise(ballot, value, dict.fromkeys(SEATS, 1))
        return model

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states."""
        return (
            RegisterModel.fingerprint(self),
            self.highest,
            self.jobs_done,
            self.operator_notified,
            self.acknowledged,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        """Return the names of all moves that are possible now."""
        return [FIRST_MOVES.get(name, name) for name in RegisterModel.moves(self)]

    def apply(self, name: str) -> None:
        """Make a move."""
        subject, _, verb = name.partition(" ")
        if verb == PERFORM:
            self._start_effect(self.runners[subject], FIRST_TERM, self.first_promise)
        elif verb == ACQUIRE:
            runner = self.runners[subject]
            runner.step = Step.ACQUIRE_LEASE
            owner = Owner("Q", runner.incarnation)
            expected = (GENERATION, FIRST_TERM)
            self._change(runner, self.acquire_change(owner, expected, True, MAX_LOST_LEADERS))
        else:
            RegisterModel.apply(self, name)

    def _start_effect(self, runner: Runner, term: int, promise: CarriedPromise | None) -> None:
        runner.attempt += 1
        runner.step = Step.EFFECT
        owner = Owner(runner.name, runner.incarnation)
        if self.kind is EffectKind.ONCE and self.sends_before_intent:
            self._send(runner.name, [(RECEIVER, EffectMessage(0, FencingToken(GENERATION, term, 0), True))])
        runner.change = self._effect_change(runner, owner, term)
        self._change(runner, runner.change, promise)

    def _effect_change(self, runner: Runner, owner: Owner, term: int) -> HolderChange:
        if self.kind is EffectKind.ONCE:
            return AddIntent(
                owner, GENERATION, term, runner.attempt, "s", JOB, IntentResolution.OPERATOR_DECIDES
            )
        if self.kind is EffectKind.STATE:
            base_revision = 1 if runner.name == "P" else 2
            return UpdateState(owner, GENERATION, term, runner.attempt, base_revision, 0, (), MAX_VERSIONS)
        return self.token_change(owner, GENERATION, term, runner.attempt)

    # ---- chosen values ----

    def _step(self, runner: Runner) -> None:
        if runner.proposer is None or runner.proposer.result is None:
            return
        result = runner.proposer.result
        runner.proposer = None
        self.in_transit = tuple(sent for sent in self.in_transit if sent.to != runner.name)
        record = decode_record(result.value)
        if runner.step is Step.ACQUIRE_LEASE:
            self._acquired(runner, record, result.promise)
        else:
            runner.step = Step.DONE
            if record is not None and runner.change.is_applied_in(record):
                self._effect_chosen(runner, record)

    def _acquired(self, runner: Runner, record: LeaseRecord | None, promise: CarriedPromise | None) -> None:
        if record is None or record.holder != Owner(runner.name, runner.incarnation):
            runner.step = Step.DONE
        elif record.intents:
            runner.step = Step.DONE
            self.operator_notified = True
        else:
            self._start_effect(runner, record.term, promise)

    def _effect_chosen(self, runner: Runner, record: LeaseRecord) -> None:
        token = FencingToken(*record.position)
        if record.holder != Owner(runner.name, runner.incarnation):
            self.failure = f"{runner.name} has issued {token} although the other runner holds the lease"
        if any(other.token == token and other.runner != runner.name for other in self.acknowledged):
            self.failure = f"{runner.name} uses {token}, which the other runner has used"
        self.acknowledged = (*self.acknowledged, Acknowledgement(runner.name, token))
        if self.kind is EffectKind.STATE:
            self._check_versions(record)
        elif not self.sends_before_intent:
            self._send(runner.name, [(RECEIVER, EffectMessage(0, token, self.kind is EffectKind.ONCE))])

    def _check_versions(self, record: LeaseRecord) -> None:
        """Check that the record contains the versions of all acknowledged updates."""
        revisions = {version.revision for version in record.versions}
        lost = [other.token for other in self.acknowledged if other.token.revision not in revisions]
        if lost:
            self.failure = f"the update at {lost[0]} was acknowledged but is missing at {record.position}"

    # ---- the receiver ----

    def _deliver(self, to: str, sender: str, message: Any, is_answered: bool = True) -> None:
        if not isinstance(message, EffectMessage):
            RegisterModel._deliver(self, to, sender, message, is_answered)
        elif message.is_job:
            self._receive_job()
        else:
            self._receive_fenced(sender, message.token)

    def _receive_job(self) -> None:
        self.jobs_done += 1
        if self.jobs_done > 1 and not self.operator_notified:
            self.failure = "the job was done twice, and no operator was notified"

    def _receive_fenced(self, sender: str, token: FencingToken) -> None:
        if self.compares and check_token(self.highest, token) is not TokenVerdict.CURRENT:
            return
        if self.highest is not None and token < self.highest:
            self.failure = f"{token} of {sender} took effect after {self.highest}"
        self.highest = token
