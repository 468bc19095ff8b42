"""The term of a duty and its effects: three keepers, an owner P that may be stopped anywhere, and Q that follows it;
messages lost, late and doubled, one keeper that begins anew with or without its memory. Real keepers, writers, changes.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

from ..leadership.fencing_token import Fence, Verdict, judge
from ..leadership.lease_record import Accept, Advance, Intend, Life, Own, Post, Settle, Step, pack, unpack
from ..replication.acceptor import RegisterState
from ..replication.messages import FAST_BALLOT
from ..replication.proposer import CarriedPromise
from ..replication.work_record import Owner
from .register_interleavings import KEY, SEATS, Limits, RegisterModel, Runner

WHAT = b"job"


@dataclass(frozen=True, slots=True)
class Tell:
    """On its way to the receiver: it arrives at any time, or never."""

    serial: int
    fence: Fence
    job: bool


@dataclass(slots=True)
class Terms(RegisterModel):
    """`kind`: what both owners want to do: "fenced", at a receiver that compares; "once", one job for both, at one that
    can't; "state", a change of the duty's own state. The rest are seeded mistakes."""

    kind: str = "fenced"
    compares: bool = True
    early: bool = False  # the effect goes out before its intent is chosen
    step: type[Own] = Step
    accept: type[Accept] = Accept
    highest: Fence | None = None
    done: int = 0  # jobs done at the receiver that can't compare
    asked: bool = False  # an operator was told that one is uncertain
    acked: tuple[tuple[str, Fence], ...] = ()

    @classmethod
    def held(cls, limits: Limits, **how: Any) -> Terms:
        made: Terms = cls.initial(limits, **how)  # type: ignore[assignment]
        p = made.runners["P"]
        post = pack(Post("d", "test", 1, 1, 1, Life.HELD.value, Owner("P", p.incarnation)))
        for k in made.acceptors.values():
            k.permanent = True
            k.registers[KEY] = RegisterState((1, p.incarnation, 0), FAST_BALLOT, post)
        made.first_promise = CarriedPromise((1, p.incarnation, 0), post, {s: 1 for s in SEATS})
        return made

    def fingerprint(self) -> Hashable:
        return RegisterModel.fingerprint(self), self.highest, self.done, self.asked, self.acked

    def moves(self) -> list[str]:
        made = RegisterModel.moves(self)
        p = self.runners["P"]
        if not self.failure and p.proposer is None and p.step == "again":
            made.append("P effects")
        return ["P effects" if m == "P claims" else "Q accepts" if m == "Q claims" else m for m in made]

    def apply(self, name: str) -> None:
        if name == "P effects":
            r = self.runners["P"]
            self._effect(r, 1, self.first_promise if not r.step else None)
        elif name == "Q accepts":
            r = self.runners["Q"]
            r.step = "accept"
            self._change(r, self.accept(Owner("Q", r.incarnation), (1, 1), True, 5))
        else:
            RegisterModel.apply(self, name)

    def _effect(self, r: Runner, term: int, hold: CarriedPromise | None) -> None:
        r.attempt += 1
        me, r.step = Owner(r.name, r.incarnation), "effect"
        if self.kind == "once":
            change: Own = Intend(me, 1, term, r.attempt, "s", WHAT, Settle.TELL)
            if self.early:
                self._send(r.name, [("out", Tell(0, Fence(1, term, 0), True))])
        elif self.kind == "state":
            change = Advance(me, 1, term, r.attempt, 1 if r.name == "P" else 2, 0, (), 9)
        else:
            change = self.step(me, 1, term, r.attempt)
        r.change = change
        self._change(r, change, hold)

    def _step(self, r: Runner) -> None:
        if r.proposer is None or r.proposer.result is None:
            return
        done = r.proposer.result
        r.proposer = None
        self.in_transit = tuple(m for m in self.in_transit if m[0] != r.name)
        post = unpack(done.value)
        if r.step == "accept":
            if post is None or post.owner != Owner(r.name, r.incarnation):
                r.step = "over"
            elif post.intents:
                r.step, self.asked = "over", True
            else:
                self._effect(r, post.term, done.promise)
            return
        r.step = "over"
        change: Own = r.change
        if post is None or not change.made_in(post):
            return
        fence = Fence(*post.at)
        if post.owner != Owner(r.name, r.incarnation):
            self.failure = f"{r.name} has made {fence}, which is the other's"
        if any(f == fence and name != r.name for name, f in self.acked):
            self.failure = f"{r.name} acts at {fence}, as the other has"
        self.acked = (*self.acked, (r.name, fence))
        if self.kind == "state":
            self._keeps(post)
        elif not self.early:
            self._send(r.name, [("out", Tell(0, fence, self.kind == "once"))])

    def _keeps(self, post: Post) -> None:
        """What was acknowledged in an earlier term is under what is acknowledged later."""
        numbers = {v.number for v in post.versions}
        lost = [f for _, f in self.acked if f.number not in numbers]
        if lost:
            self.failure = f"{lost[0]} was acknowledged, and {post.at} has lost it"

    def _deliver(self, to: str, by: str, m: Any, heard: bool = True) -> None:
        if not isinstance(m, Tell):
            return RegisterModel._deliver(self, to, by, m, heard)
        if m.job:
            self.done += 1
            if self.done > 1 and not self.asked:
                self.failure = "the job was done twice, and no operator was told"
        elif not self.compares or judge(self.highest, m.fence) is Verdict.NEW:
            if self.highest is not None and m.fence < self.highest:
                self.failure = f"{m.fence} of {by} took effect after {self.highest}"
            self.highest = m.fence
        return None
