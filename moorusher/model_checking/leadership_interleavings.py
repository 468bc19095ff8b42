"""Every interleaving of a leader P that may be stopped anywhere and the next leader Q, with their effects.

Three replicas; messages lost, late and doubled; one replica that begins anew with or without its memory. The acceptors,
writers and changes are the real ones.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

from ..leadership.fencing_token import FencingToken, TokenVerdict, check_token
from ..leadership.holder_changes import AddIntent, HolderChange, IssueToken, UpdateState
from ..leadership.lease_record import IntentResolution, LeaseRecord, LeaseStatus, decode_record, encode_record
from ..leadership.lease_transitions import AcquireLease
from ..replication.acceptor import RegisterState
from ..replication.messages import FAST_BALLOT
from ..replication.proposer import CarriedPromise
from ..replication.work_record import Owner
from .register_interleavings import KEY, SEATS, Limits, RegisterModel, Runner

JOB = b"job"
RECEIVER = "out"
GENERATION = 1
FIRST_TERM = 1
MAX_LOST_LEADERS = 5
MAX_VERSIONS = 9


@dataclass(frozen=True, slots=True)
class EffectMessage:
    """On its way to the receiver: it arrives at any time, or never. `is_job`: at one that can't compare tokens."""

    serial: int
    token: FencingToken
    is_job: bool


@dataclass(slots=True)
class Terms(RegisterModel):
    """Two terms of one duty.

    kind: what both leaders want to do: "fenced", at a receiver that compares; "once", one job for both, at one that
        can't; "state", an update of the duty's own state.
    compares, early, token_change, acquire_change: seeded mistakes if they are not as by default; `early` sends an
        effect before its intent is chosen.
    highest: the highest token at the receiver.
    jobs_done: at the receiver that can't compare.
    operator_notified: an operator was told that an outcome is uncertain.
    acknowledged: who was told that a change of its own is chosen, and its token.
    """

    kind: str = "fenced"
    compares: bool = True
    early: bool = False
    token_change: type[HolderChange] = IssueToken
    acquire_change: type[AcquireLease] = AcquireLease
    highest: FencingToken | None = None
    jobs_done: int = 0
    operator_notified: bool = False
    acknowledged: tuple[tuple[str, FencingToken], ...] = ()

    @classmethod
    def held(cls, limits: Limits, **options: Any) -> Terms:
        """Return the case that begins with the lease held by P."""
        made: Terms = cls.initial(limits, **options)  # type: ignore[assignment]
        leader = made.runners["P"]
        owner = Owner("P", leader.incarnation)
        record = LeaseRecord("d", "test", GENERATION, FIRST_TERM, 1, LeaseStatus.HELD, owner)
        value = encode_record(record)
        ballot = (1, leader.incarnation, 0)
        for acceptor in made.acceptors.values():
            acceptor.permanent = True
            acceptor.registers[KEY] = RegisterState(ballot, FAST_BALLOT, value)
        made.first_promise = CarriedPromise(ballot, value, dict.fromkeys(SEATS, 1))
        return made

    def fingerprint(self) -> Hashable:
        """Return what tells two states of the search apart."""
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
        names = RegisterModel.moves(self)
        leader = self.runners["P"]
        if not self.failure and leader.proposer is None and leader.step == "again":
            names.append("P effects")
        renamed = {"P claims": "P effects", "Q claims": "Q accepts"}
        return [renamed.get(name, name) for name in names]

    def apply(self, name: str) -> None:
        """Make a move."""
        if name == "P effects":
            runner = self.runners["P"]
            self._begin_effect(runner, FIRST_TERM, None if runner.step else self.first_promise)
        elif name == "Q accepts":
            runner = self.runners["Q"]
            runner.step = "accept"
            owner = Owner("Q", runner.incarnation)
            expected = (GENERATION, FIRST_TERM)
            self._change(runner, self.acquire_change(owner, expected, True, MAX_LOST_LEADERS))
        else:
            RegisterModel.apply(self, name)

    def _begin_effect(self, runner: Runner, term: int, hold: CarriedPromise | None) -> None:
        runner.attempt += 1
        runner.step = "effect"
        owner = Owner(runner.name, runner.incarnation)
        if self.kind == "once" and self.early:
            self._send(runner.name, [(RECEIVER, EffectMessage(0, FencingToken(GENERATION, term, 0), True))])
        runner.change = self._effect_change(runner, owner, term)
        self._change(runner, runner.change, hold)

    def _effect_change(self, runner: Runner, owner: Owner, term: int) -> HolderChange:
        if self.kind == "once":
            return AddIntent(
                owner, GENERATION, term, runner.attempt, "s", JOB, IntentResolution.OPERATOR_DECIDES
            )
        if self.kind == "state":
            base_revision = 1 if runner.name == "P" else 2
            return UpdateState(owner, GENERATION, term, runner.attempt, base_revision, 0, (), MAX_VERSIONS)
        return self.token_change(owner, GENERATION, term, runner.attempt)

    # ---- what follows from a chosen value ----

    def _step(self, runner: Runner) -> None:
        if runner.proposer is None or runner.proposer.result is None:
            return
        done = runner.proposer.result
        runner.proposer = None
        self.in_transit = tuple(message for message in self.in_transit if message[0] != runner.name)
        record = decode_record(done.value)
        if runner.step == "accept":
            self._acquired(runner, record, done.promise)
        else:
            runner.step = "over"
            if record is not None and runner.change.is_applied_in(record):
                self._effect_chosen(runner, record)

    def _acquired(self, runner: Runner, record: LeaseRecord | None, hold: CarriedPromise | None) -> None:
        if record is None or record.holder != Owner(runner.name, runner.incarnation):
            runner.step = "over"
        elif record.intents:
            runner.step = "over"
            self.operator_notified = True
        else:
            self._begin_effect(runner, record.term, hold)

    def _effect_chosen(self, runner: Runner, record: LeaseRecord) -> None:
        token = FencingToken(*record.position)
        if record.holder != Owner(runner.name, runner.incarnation):
            self.failure = f"{runner.name} has made {token}, which is the other's"
        if any(other == token and name != runner.name for name, other in self.acknowledged):
            self.failure = f"{runner.name} acts at {token}, as the other has"
        self.acknowledged = (*self.acknowledged, (runner.name, token))
        if self.kind == "state":
            self._check_versions(record)
        elif not self.early:
            self._send(runner.name, [(RECEIVER, EffectMessage(0, token, self.kind == "once"))])

    def _check_versions(self, record: LeaseRecord) -> None:
        """What was acknowledged in an earlier term is among the versions that are acknowledged later."""
        revisions = {version.revision for version in record.versions}
        lost = [token for _, token in self.acknowledged if token.revision not in revisions]
        if lost:
            self.failure = f"{lost[0]} was acknowledged, and {record.position} has lost it"

    # ---- the receiver ----

    def _deliver(self, to: str, by: str, message: Any, heard: bool = True) -> None:
        if not isinstance(message, EffectMessage):
            RegisterModel._deliver(self, to, by, message, heard)
        elif message.is_job:
            self._receive_job()
        else:
            self._receive_fenced(by, message.token)

    def _receive_job(self) -> None:
        self.jobs_done += 1
        if self.jobs_done > 1 and not self.operator_notified:
            self.failure = "the job was done twice, and no operator was told"

    def _receive_fenced(self, by: str, token: FencingToken) -> None:
        if self.compares and check_token(self.highest, token) is not TokenVerdict.CURRENT:
            return
        if self.highest is not None and token < self.highest:
            self.failure = f"{token} of {by} took effect after {self.highest}"
        self.highest = token
