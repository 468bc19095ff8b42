"""Outages of three machines, one at a time allowed: every interleaving of looking, planning, draining, going, coming
back, of changes that arrive late or not at all, of one withdrawal and one crash.

The register is one that takes a change at one moment (`model_checking/register_interleavings.py` has how it
does that); who sent the change
may give it up and do something else, and it may come about at any later time all the same. A machine that is cut off
is one that looks at nothing, and whose changes don't arrive. What is checked is not the roster but the machines
themselves: how many of them may be worked on.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from ..maintenance.disruption_budget import Spare, View
from ..maintenance.local_machine import Doing, Own, decide
from ..maintenance.policy import Policy
from ..maintenance.schedule import Ask, Roster, Stage, unpack
from ..maintenance.transitions import AskFor, Cancel, Change, Go, Grant
from .register_interleavings import shallow_copy

SEATS = ("a", "b", "c")
POLICY = Policy(on=True, most=1, most_zone=1, settle_s=0, least_share=0.3, go_s=1e9, back_s=1e9)


@lru_cache(1 << 16)
def read(known: bytes) -> Roster:
    """The roster that a register holds."""
    return unpack(known or None)


@lru_cache(1 << 16)
def plans(known: bytes, made: type[Spare]) -> tuple[tuple[str, str], ...]:
    """All that may be granted, as nothing rests on the order; and whoever is lost is taken to be there, as a failure
    detector that is wrong must cost nothing but time."""
    roster = read(known)
    spare = made([View(seat, up=True, cores=1, weight=100) for seat in SEATS], roster, SEATS, POLICY)
    return tuple((ask.id, seat) for ask, seat in roster.waits() if spare.why_not(ask, seat) is None)


@dataclass(frozen=True, slots=True)
class Limits:
    """How large the case is that is walked."""

    asks: tuple[str, ...] = ("a", "b")  # who is asked for
    withdrawn: bool = True  # the first ask, at any moment
    crashes: int = 1  # of a process, or of a machine
    given_up: int = 1  # changes whose answer is not waited for
    planners: tuple[str, ...] = ("a", "c")


@dataclass(slots=True)
class Machine:
    """`told`: its operator may begin at any time. `away`: it is being worked on, or has come back cold from that."""

    inc: int = 1
    mark: int = 1
    alive: bool = True
    known: bytes | None = b""
    waits: bool = True  # its operator is there, to be told
    told: bool = False
    away: bool = False
    drained: bool = False
    warm: bool = True


@dataclass(frozen=True, slots=True)
class Sent:
    """A change on its way. `by`: who hears of it; nobody, where that has given it up."""

    by: str
    inc: int
    change: Change
    words: str


@dataclass(slots=True)
class Outages:
    """`grant`, `go`, `cancel` and `spare` are the real ones, or those with a seeded mistake."""

    limits: Limits
    grant: type[Grant] = Grant
    go: type[Go] = Go
    cancel: type[Cancel] = Cancel
    spare: Any = Spare
    own: Policy = POLICY  # of the machines
    hasty: bool = False  # a seeded mistake: the operator is told as the question goes out
    any_process: bool = False  # the same: any later process counts as a later start of its machine
    roster: bytes = b""
    machines: dict[str, Machine] = field(default_factory=dict)
    sent: tuple[Sent, ...] = ()
    crashes: int = 0
    given_up: int = 0
    asked: bool = False  # for the withdrawal
    withdrawn: bool = False  # and its operator has heard that nothing of it will come about
    wrong: str | None = None

    @classmethod
    def begun(cls, limits: Limits, **how: Any) -> Outages:
        made = cls(limits, **how)
        roster: bytes | None = None
        for seat in limits.asks:
            roster = AskFor(Ask(f"for {seat}", "patch", "o", 1.0, 0.0, waiting=(seat,)), 9)(roster) or roster
        assert roster is not None
        made.roster = roster
        made.machines = {seat: Machine() for seat in SEATS}
        return made

    def copy(self) -> Outages:
        new = shallow_copy(self)
        new.machines = {seat: shallow_copy(m) for seat, m in self.machines.items()}
        return new

    def fingerprint(self) -> Hashable:
        def shown(m: Machine) -> Hashable:
            return m.inc, m.mark, m.alive, m.known, m.waits, m.told, m.away, m.drained, m.warm

        return (
            self.roster,
            tuple(shown(m) for m in self.machines.values()),
            tuple(sorted((s.by, s.inc, s.words) for s in self.sent)),
            self.crashes,
            self.given_up,
            self.asked,
            self.withdrawn,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        made: list[str] = []
        for i, s in enumerate(self.sent):
            made.append(f"arrives {i}: {s.words}")
            if s.by and self.given_up < self.limits.given_up:
                made.append(f"unwaited {i}: {s.words}")
        busy = {(s.by, s.inc) for s in self.sent}
        for seat, m in self.machines.items():
            if not m.alive:
                made.append(f"{seat} starts")
                continue
            if m.known != self.roster:
                made.append(f"{seat} looks")
            if (seat, m.inc) not in busy and m.known is not None:
                if self._decides(seat) is not None:
                    made.append(f"{seat} acts")
                elif seat in self.limits.planners:
                    made += [f"{seat} plans {other}" for _, other in plans(m.known, self.spare)]
            turn = None if m.known is None else read(m.known).turn(seat)
            if turn is not None and turn.at is Stage.DRAINING and turn.inc == m.inc and not m.drained:
                made.append(f"{seat} has drained")
            if m.waits and not m.told and self._is_told(seat):
                made.append(f"{seat} tells its operator")
            if m.told:
                made.append(f"{seat} is worked on")
            if not m.warm:
                made.append(f"{seat} is warm")
            if self.crashes < self.limits.crashes:
                made += [f"{seat} fails", f"{seat} loses power"]
        if self.limits.withdrawn and not self.asked:
            made.append("operator withdraws")
        return made

    def _own(self, seat: str) -> Own:
        m = self.machines[seat]
        out = 0 if m.known is None else len(read(m.known).turns)
        mark = str(m.inc if self.any_process else m.mark)
        return Own(seat, m.inc, True, mark, "", m.drained, out, 0, 0, m.warm, True)

    def _decides(self, seat: str) -> Change | None:
        m = self.machines[seat]
        if m.known is None:
            return None
        turn = read(m.known).turn(seat)
        change = decide(turn, self._own(seat), self.own, 0.0).change
        if isinstance(change, Go) and turn is not None:
            own = self._own(seat)
            return self.go(turn, m.inc, self.own.most, 0.0, own.mark, "")
        return change

    def _is_told(self, seat: str) -> bool:
        m = self.machines[seat]
        if m.known is None:
            return False
        if self.hasty and any(s.by == seat and isinstance(s.change, Go) for s in self.sent):
            return True
        turn = read(m.known).turn(seat)
        return (
            turn is not None
            and turn.at is Stage.OUT
            and decide(turn, self._own(seat), POLICY, 0.0).doing is Doing.GONE
        )

    def _send(self, by: str, change: Change) -> None:
        inc = self.machines[by].inc if by in self.machines else 0
        named = {k: v for k, v in vars(change).items() if k not in ("error", "made", "late", "_touched")}
        self.sent += (Sent(by, inc, change, f"{type(change).__name__} of {by} {named}"),)

    def apply(self, name: str) -> None:
        words = name.split(" ")
        if words[0] in ("arrives", "unwaited"):
            i = int(words[1].rstrip(":"))
            sent, self.sent = self.sent[i], self.sent[:i] + self.sent[i + 1 :]
            if words[0] == "arrives":
                return self._arrive(sent)
            self.given_up += 1
            self.sent += (Sent("", 0, sent.change, sent.words),)
            return None
        if words[0] == "operator":
            self.asked = True
            return self._send("operator", self.cancel(f"for {self.limits.asks[0]}", [], 0.0, "o", 8))
        seat, what = words[0], " ".join(words[1:])
        m = self.machines[seat]
        if what == "starts":
            m.alive, m.inc, m.known, m.drained = True, m.inc + 1, None, False
        elif what == "looks":
            m.known = self.roster
        elif what == "acts":
            change = self._decides(seat)
            assert change is not None
            self._send(seat, change)
        elif words[1] == "plans":
            assert m.known is not None
            chosen = [p for p in plans(m.known, self.spare) if p[1] == words[2]]
            self._send(seat, self.grant(read(m.known).number, chosen, POLICY.most, 0.0))
        elif what == "has drained":
            m.drained = True
        elif what == "tells its operator":
            self._tell(seat, m)
        elif what == "is worked on":
            m.told, m.waits, m.away, m.alive, m.mark, m.warm = False, False, True, False, m.mark + 1, False
        elif what == "is warm":
            m.warm, m.away = True, False
        else:
            self.crashes, m.alive = self.crashes + 1, False
            if what == "loses power":  # and with it, whoever waits there, or was told
                m.told, m.waits, m.mark, m.warm = False, False, m.mark + 1, False
        if sum(x.told or x.away for x in self.machines.values()) > POLICY.most:
            self.wrong = (
                f"{[s for s, x in self.machines.items() if x.told or x.away]} may be worked on at one time"
            )
        return None

    def _tell(self, seat: str, m: Machine) -> None:
        m.told = True
        if self.withdrawn and seat == self.limits.asks[0]:
            self.wrong = f"{seat} was told to go, though its operator had heard that it is withdrawn"

    def _arrive(self, sent: Sent) -> None:
        made = sent.change(self.roster)
        self.roster = made or self.roster
        if sent.by == "operator":
            if sent.change.error is None:
                self.withdrawn = True
                if self.machines[self.limits.asks[0]].told:
                    self.wrong = "its operator heard that it is withdrawn, after the machine was told to go"
        elif sent.by and (m := self.machines[sent.by]).alive and m.inc == sent.inc:
            m.known = self.roster

    def violation(self) -> str | None:
        return self.wrong
