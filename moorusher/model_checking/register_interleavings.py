"""The register of a key and the life of work on it: three keepers, two runners that both want to run it, messages that
are lost, doubled and late, one keeper that begins anew with or without its memory."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import cache
from typing import Any, TypeVar

from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import FAST_BALLOT, BallotRequest, SyncReply, SyncRequest, Vote
from ..replication.proposer import CarriedPromise, Proposer
from ..replication.work_record import (
    ClaimWork,
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
ORDER = WorkRequest("r", "write", None, "t", b"", 0.0, None, 0, 0.0, 0.0, None)
NEXT_INCARNATION = 100  # an incarnation later


@dataclass(frozen=True, slots=True)
class Limits:
    """How large the case is that is walked."""

    retries: tuple[int, int] = (0, 1)  # further rounds that P and Q may begin, whenever they like
    patient: bool = False  # a further round only after a conflict, not at any time
    answers_travel: bool = False  # answers travel by themselves; else they come at once, or are lost
    duplicates: int = 0
    crashes: int = 0  # of keeper a, without its memory
    restarts: int = 0  # of keeper a, with it
    starts_held: bool = False  # the first one has the key already, and is to begin; the second takes it
    takes_over: bool = True  # the second runner goes on with what the first holds
    releases: bool = False  # the first one may say that it never ran, after it has asked to begin


@cache
def _fields(kind: Hashable) -> tuple[str, ...]:
    return tuple(
        name for base in reversed(getattr(kind, "__mro__", ())) for name in getattr(base, "__slots__", ())
    )


def shallow_copy(one: T) -> T:
    """One level deep, as `copy.copy` of a dataclass with slots, in a third of the time."""
    new = object.__new__(type(one))
    kind: Any = type(one)
    for name in _fields(kind):
        setattr(new, name, getattr(one, name))
    return new


def _register_values(k: Acceptor) -> tuple[Hashable, ...]:
    return tuple((x.promised, x.accepted_ballot, x.value) for x in k.registers.values())


def _described(m: Any) -> str:
    """A message but for the names of seats, which are told apart elsewhere, and for what follows from the rest."""
    if isinstance(m, BallotRequest):
        return f"ask {m.ballot} {m.value!r} {m.serial}"
    if isinstance(m, Vote):
        accepted = f"{m.accepted} {m.accepted_ballot} {m.value!r}"
        return f"vote {accepted} {m.promised} {m.incarnation} {m.recovering} {m.serial}"
    if isinstance(m, SyncReply):
        return f"slots {m.incarnation} {m.registers} {m.recovering}"
    return str(m)


@dataclass(slots=True)
class Runner:
    """Claims the key, or takes it; then begins; then runs, once it has been told that BEGUN is chosen."""

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
    """`keeper` and `writer` are the real ones, or those with a seeded mistake."""

    limits: Limits
    acceptor_class: type[Acceptor] = Acceptor
    proposer_class: type[Proposer] = Proposer
    runs_early: bool = False  # a seeded mistake: commanded when the question to begin goes out
    forgets: bool = True  # else: a keeper that has lost its memory votes as one that has not
    interchangeable: tuple[
        str, ...
    ] = ()  # seats that nothing but their names tells apart; all three, where not said
    replicas_by_runner: dict[str, tuple[str, ...]] = field(
        default_factory=dict
    )  # by runner, where they differ
    acceptors: dict[str, Acceptor] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    in_transit: tuple[tuple[str, str, Any, str], ...] = ()  # (to, from, message, the same as text)
    first_promise: CarriedPromise | None = None
    duplicates: int = 0
    crashes: int = 0
    restarts: int = 0
    failure: str | None = None

    @classmethod
    def initial(
        cls, limits: Limits, replicas: dict[str, tuple[str, ...]] | None = None, **how: Any
    ) -> RegisterModel:
        made = cls(limits, replicas_by_runner=replicas or {}, **how)
        if limits.crashes or limits.restarts:
            made.interchangeable = "b", "c"
        every = sorted({s for names in made.replicas_by_runner.values() for s in names} | set(SEATS))
        made.acceptors = {
            s: made.acceptor_class(s, 1, made._replicas_of(s), frozenset(every) - {s}, True) for s in every
        }
        made.runners = {"P": Runner("P", 11, limits.retries[0]), "Q": Runner("Q", 22, limits.retries[1])}
        if limits.starts_held:
            p, q = made.runners["P"], made.runners["Q"]
            work = WorkRecord(WorkState.HELD, Owner("P", p.incarnation), 1, 1, ORDER)
            for k in made.acceptors.values():
                k.registers[KEY] = RegisterState((1, p.incarnation, 0), FAST_BALLOT, work, 1 << 60)
            made.first_promise = CarriedPromise((1, p.incarnation, 0), work, {s: 1 for s in SEATS})
            p.attempt = q.attempt = 1
        return made

    def _replicas_of(self, seat: str) -> Any:
        everywhere = tuple(sorted({s for names in self.replicas_by_runner.values() for s in names})) or SEATS
        return lambda key: everywhere

    # ---- copies ----

    def copy(self) -> RegisterModel:
        new = shallow_copy(self)
        new.acceptors = {s: self._copy_acceptor(k) for s, k in self.acceptors.items()}
        new.runners = {}
        for name, r in self.runners.items():
            new.runners[name] = other = shallow_copy(r)
            if r.proposer is not None:
                other.proposer = w = shallow_copy(r.proposer)
                w._votes, w._rejections, w._may_have_accepted = (
                    dict(w._votes),
                    set(w._rejections),
                    set(w._may_have_accepted),
                )
        return new

    @staticmethod
    def _copy_acceptor(k: Acceptor) -> Acceptor:
        new = type(k)(
            k.seat,
            k.incarnation,
            k.replicas,
            k.other_seats,
            k.recovered,
            k.max_registers,
            {},
            dict(k.incarnations),
            set(k.synced_from),
        )
        for key, x in k.registers.items():
            new.registers[key] = RegisterState(x.promised, x.accepted_ballot, x.value, x.expires_at)
        return new

    def fingerprint(self) -> Hashable:
        """Seats of which nothing can be told apart are put in an order of what they know: six states are one then."""
        local: dict[str, list[Hashable]] = {s: [*_register_values(k)] for s, k in self.acceptors.items()}
        net = []
        for to, by, _, told in self.in_transit:
            seat = to if to in local else by
            if seat in local:
                local[seat].append((seat == to, told))
        for r in self.runners.values():
            if r.proposer is not None:
                for s, v in r.proposer._votes.items():
                    local[s].append((r.name, v.accepted_ballot, v.value))
                for s in r.proposer._rejections:
                    local[s].append((r.name, "no"))
        alike = self.interchangeable or ("a", "b", "c")
        order = sorted(alike, key=lambda s: repr(local[s]))
        rank = {s: i for i, s in enumerate([*order, *(s for s in self.acceptors if s not in alike)])}

        def named(incs: dict[str, int]) -> Hashable:
            return tuple(sorted((rank.get(s, s), i) for s, i in incs.items()))

        for to, by, m, told in self.in_transit:
            net.append(
                (
                    rank.get(to, to),
                    rank.get(by, by),
                    told,
                    named(m.quorum) if isinstance(m, BallotRequest) else (),
                    named(m.incarnations) if isinstance(m, (Vote, SyncReply)) else (),
                )
            )
        return (
            tuple(
                sorted(
                    (
                        rank[s],
                        k.incarnation,
                        k.recovered,
                        named(k.incarnations),
                        tuple(sorted(rank[x] for x in k.synced_from)),
                        *_register_values(k),
                    )
                    for s, k in self.acceptors.items()
                )
            ),
            tuple(
                (
                    r.step,
                    r.attempt,
                    r.retries,
                    r.ran,
                    r.released,
                    None
                    if r.proposer is None
                    else (
                        r.proposer._ballot,
                        r.proposer._value,
                        r.proposer._highest_round,
                        tuple(
                            sorted(
                                (rank[s], v.incarnation, v.accepted_ballot, v.value, named(v.incarnations))
                                for s, v in r.proposer._votes.items()
                            )
                        ),
                        tuple(sorted(rank[s] for s in r.proposer._rejections)),
                        named(r.proposer._quorum),
                    ),
                )
                for r in self.runners.values()
            ),
            tuple(sorted(net, key=repr)),
            self.duplicates,
            self.crashes,
            self.restarts,
            self.failure,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        if self.failure:
            return []
        made = [f"deliver {i}: {self._move_name(m)}" for i, m in enumerate(self.in_transit)]
        if not self.limits.answers_travel:
            made += [
                f"unheard {i}: {self._move_name(m)}"
                for i, m in enumerate(self.in_transit)
                if isinstance(m[2], BallotRequest)
            ]
        if self.duplicates < self.limits.duplicates:
            made += [
                f"double {i}: {self._move_name(m)}"
                for i, m in enumerate(self.in_transit)
                if isinstance(m[2], BallotRequest)
            ]
        for r in self.runners.values():
            if r.proposer is None and not r.step:
                first = "claims" if not self.limits.starts_held else "begins" if r.name == "P" else "takes"
                made.append(f"{r.name} {first}")
            elif (
                r.proposer is not None
                and r.proposer.result is None
                and r.retries > 0
                and (r.proposer.blocked or not self.limits.patient)
            ):
                made.append(f"{r.name} asks again")
                if r.proposer.in_fast_round and len(r.proposer._votes) >= 2:
                    made.append(f"{r.name} goes on with a majority")
        if self.crashes < self.limits.crashes:
            made.append("a forgets")
        if self.restarts < self.limits.restarts:
            made.append("a restarts")
        return made

    @staticmethod
    def _move_name(m: tuple[str, str, Any, str]) -> str:
        to, by, what, _ = m
        kind = type(what).__name__
        if isinstance(what, BallotRequest):
            kind += f" {what.ballot}" + (
                "" if not isinstance(what.value, WorkRecord) else f" {what.value.state.name}"
            )
        elif isinstance(what, Vote):
            kind += " taken" if what.accepted else " refused"
        return f"{kind} from {by} to {to}"

    def apply(self, name: str) -> None:
        words = name.split(" ")
        if words[0] in ("deliver", "double", "unheard"):
            i = int(words[1].rstrip(":"))
            message = self.in_transit[i]
            if words[0] != "double":
                self.in_transit = self.in_transit[:i] + self.in_transit[i + 1 :]
            else:
                self.duplicates += 1
            self._deliver(*message[:3], heard=words[0] != "unheard")
        elif words[0] == "a":
            old = self.acceptors["a"]
            if words[1] == "restarts":
                # What was on its way from it is lost; what it has promised and taken it still knows.
                self.restarts += 1
                self.in_transit = tuple(m for m in self.in_transit if m[1] != "a")
                return
            self.crashes += 1
            self.acceptors["a"] = new = self.acceptor_class(
                "a", old.incarnation + NEXT_INCARNATION, old.replicas, old.other_seats, not self.forgets
            )
            if self.forgets:
                self._send("a", [(s, SyncRequest(new.incarnation)) for s in sorted(new.other_seats)])
        else:
            r = self.runners[words[0]]
            if words[1] == "begins":
                r.step = "begin"
                if self.runs_early:
                    self._run(r)
                self._change(r, StartWork(Owner("P", r.incarnation), 1), self.first_promise)
            elif words[1] == "takes":
                r.step = "take"
                self._change(r, TakeOverWork(Owner("Q", r.incarnation), Owner("P", 11), 1))
            elif words[1] == "claims":
                r.step = "claim"
                self._change(r, ClaimWork(Owner(r.name, r.incarnation), 1, ORDER))
            else:
                r.retries -= 1
                asks = r.proposer.retry() if words[1] == "asks" else r.proposer.settle_for_majority()
                self._request(r, asks)

    def _send(self, by: str, messages: list[tuple[str, Any]]) -> None:
        self.in_transit = tuple(
            sorted(
                self.in_transit + tuple((to, by, m, _described(m)) for to, m in messages),
                key=lambda m: (m[0], m[1], m[3]),
            )
        )

    def _change(self, r: Runner, change: Any, hold: Any = None) -> None:
        r.serial += 1
        r.proposer = self.proposer_class(
            KEY, self.replicas_by_runner.get(r.name, SEATS), r.incarnation, r.serial, change, 10_000, hold
        )
        self._request(r, r.proposer.start(r.serial * 1000))

    def _request(self, r: Runner, asks: list[BallotRequest]) -> None:
        # What is still on its way to a question of before is not listened to.
        self.in_transit = tuple(
            m for m in self.in_transit if not (m[0] == r.name and m[2].serial != r.proposer.serial)
        )
        self._send(r.name, [(s, ask) for ask in asks for s in r.proposer.replicas])
        self._step(r)

    def _deliver(self, to: str, by: str, m: Any, heard: bool = True) -> None:
        if isinstance(m, BallotRequest):
            vote = self.acceptors[to].vote(0, m)
            if self.limits.answers_travel:
                self._send(to, [(by, vote)])
            elif heard:
                self._deliver(by, to, vote)
        elif isinstance(m, SyncRequest):
            self._send(to, [(by, part) for part in self.acceptors[to].answer_sync(0, by, m.incarnation)])
        elif isinstance(m, SyncReply):
            if m.incarnation == self.acceptors[to].incarnation:
                self.acceptors[to].apply_sync(0, by, m)
        else:
            r = self.runners[to]
            if r.proposer is not None:
                self._request(r, r.proposer.handle_vote(by, m))

    def _step(self, r: Runner) -> None:
        if r.proposer is None or r.proposer.result is None:
            return
        done, me = r.proposer.result, Owner(r.name, r.incarnation)
        r.proposer = None
        self.in_transit = tuple(m for m in self.in_transit if m[0] != r.name)
        work: WorkRecord | None = done.value
        mine = work is not None and work.owner == me
        if r.step in ("claim", "take") and mine and work is not None and work.state is WorkState.HELD:
            r.step, r.attempt = "begin", work.attempt
            if self.runs_early:
                self._run(r)
            self._change(r, StartWork(me, r.attempt), done.promise)
        elif (
            r.step == "claim"
            and work is not None
            and work.state in (WorkState.HELD, WorkState.RELEASED)
            and self.limits.takes_over
        ):
            r.step = "take"
            self._change(r, TakeOverWork(me, work.owner, work.attempt))
        elif r.step == "begin" and mine and work is not None and work.state is WorkState.STARTED:
            if self.limits.releases and r.name == "P":
                r.step, r.released = "free", True  # it gives up before the command, and says so
                self._change(r, ReleaseWork(me, r.attempt, ORDER, False), done.promise)
            else:
                r.step = "over"
                if not self.runs_early:
                    self._run(r)
        else:
            r.step = "over"

    def _run(self, r: Runner) -> None:
        r.ran += 1
        if sum(x.ran for x in self.runners.values()) > 1:
            self.failure = f"{r.name} runs what another has run"

    def violation(self) -> str | None:
        return self.failure
