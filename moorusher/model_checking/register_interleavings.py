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
PAST = 100  # an incarnation later


@dataclass(frozen=True, slots=True)
class Limits:
    """How large the case is that is walked."""

    again: tuple[int, int] = (0, 1)  # further rounds that P and Q may begin, whenever they like
    patient: bool = False  # a further round only after a conflict, not at any time
    late: bool = False  # answers travel by themselves; else they come at once, or are lost
    doubles: int = 0
    crashes: int = 0  # of keeper a, without its memory
    restarts: int = 0  # of keeper a, with it
    held: bool = False  # the first one has the key already, and is to begin; the second takes it
    takes: bool = True  # the second runner goes on with what the first holds
    frees: bool = False  # the first one may say that it never ran, after it has asked to begin


@cache
def _fields(kind: Hashable) -> tuple[str, ...]:
    return tuple(
        name for base in reversed(getattr(kind, "__mro__", ())) for name in getattr(base, "__slots__", ())
    )


def copy(one: T) -> T:
    """One level deep, as `copy.copy` of a dataclass with slots, in a third of the time."""
    new = object.__new__(type(one))
    kind: Any = type(one)
    for name in _fields(kind):
        setattr(new, name, getattr(one, name))
    return new


def _slots(k: Acceptor) -> tuple[Hashable, ...]:
    return tuple((x.promised, x.accepted_ballot, x.value) for x in k.registers.values())


def _told(m: Any) -> str:
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
    inc: int
    again: int
    doing: str = ""
    attempt: int = 0
    writer: Any = None
    serial: int = 0
    ran: int = 0
    freed: bool = False
    change: Any = None


@dataclass(slots=True)
class Registers:
    """`keeper` and `writer` are the real ones, or those with a seeded mistake."""

    limits: Limits
    keeper: type[Acceptor] = Acceptor
    writer: type[Proposer] = Proposer
    hasty: bool = False  # a seeded mistake: commanded when the question to begin goes out
    forgets: bool = True  # else: a keeper that has lost its memory votes as one that has not
    alike: tuple[str, ...] = ()  # seats that nothing but their names tells apart; all three, where not said
    seats: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by runner, where they differ
    keepers: dict[str, Acceptor] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    net: tuple[tuple[str, str, Any, str], ...] = ()  # (to, from, message, the same as text)
    holds: CarriedPromise | None = None
    doubles: int = 0
    crashes: int = 0
    restarts: int = 0
    wrong: str | None = None

    @classmethod
    def begun(cls, limits: Limits, seats: dict[str, tuple[str, ...]] | None = None, **how: Any) -> Registers:
        made = cls(limits, seats=seats or {}, **how)
        if limits.crashes or limits.restarts:
            made.alike = "b", "c"
        every = sorted({s for names in made.seats.values() for s in names} | set(SEATS))
        made.keepers = {
            s: made.keeper(s, 1, made._keepers_of(s), frozenset(every) - {s}, True) for s in every
        }
        made.runners = {"P": Runner("P", 11, limits.again[0]), "Q": Runner("Q", 22, limits.again[1])}
        if limits.held:
            p, q = made.runners["P"], made.runners["Q"]
            work = WorkRecord(WorkState.HELD, Owner("P", p.inc), 1, 1, ORDER)
            for k in made.keepers.values():
                k.registers[KEY] = RegisterState((1, p.inc, 0), FAST_BALLOT, work, 1 << 60)
            made.holds = CarriedPromise((1, p.inc, 0), work, {s: 1 for s in SEATS})
            p.attempt = q.attempt = 1
        return made

    def _keepers_of(self, seat: str) -> Any:
        everywhere = tuple(sorted({s for names in self.seats.values() for s in names})) or SEATS
        return lambda key: everywhere

    # ---- copies ----

    def copied(self) -> Registers:
        new = copy(self)
        new.keepers = {s: self._copy_keeper(k) for s, k in self.keepers.items()}
        new.runners = {}
        for name, r in self.runners.items():
            new.runners[name] = other = copy(r)
            if r.writer is not None:
                other.writer = w = copy(r.writer)
                w._votes, w._rejections, w._may_have_accepted = (
                    dict(w._votes),
                    set(w._rejections),
                    set(w._may_have_accepted),
                )
        return new

    @staticmethod
    def _copy_keeper(k: Acceptor) -> Acceptor:
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

    def print(self) -> Hashable:
        """Seats of which nothing can be told apart are put in an order of what they know: six states are one then."""
        local: dict[str, list[Hashable]] = {s: [*_slots(k)] for s, k in self.keepers.items()}
        net = []
        for to, by, _, told in self.net:
            seat = to if to in local else by
            if seat in local:
                local[seat].append((seat == to, told))
        for r in self.runners.values():
            if r.writer is not None:
                for s, v in r.writer._votes.items():
                    local[s].append((r.name, v.accepted_ballot, v.value))
                for s in r.writer._rejections:
                    local[s].append((r.name, "no"))
        alike = self.alike or ("a", "b", "c")
        order = sorted(alike, key=lambda s: repr(local[s]))
        rank = {s: i for i, s in enumerate([*order, *(s for s in self.keepers if s not in alike)])}

        def named(incs: dict[str, int]) -> Hashable:
            return tuple(sorted((rank.get(s, s), i) for s, i in incs.items()))

        for to, by, m, told in self.net:
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
                        *_slots(k),
                    )
                    for s, k in self.keepers.items()
                )
            ),
            tuple(
                (
                    r.doing,
                    r.attempt,
                    r.again,
                    r.ran,
                    r.freed,
                    None
                    if r.writer is None
                    else (
                        r.writer._ballot,
                        r.writer._value,
                        r.writer._highest_round,
                        tuple(
                            sorted(
                                (rank[s], v.incarnation, v.accepted_ballot, v.value, named(v.incarnations))
                                for s, v in r.writer._votes.items()
                            )
                        ),
                        tuple(sorted(rank[s] for s in r.writer._rejections)),
                        named(r.writer._quorum),
                    ),
                )
                for r in self.runners.values()
            ),
            tuple(sorted(net, key=repr)),
            self.doubles,
            self.crashes,
            self.restarts,
            self.wrong,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        if self.wrong:
            return []
        made = [f"deliver {i}: {self._words(m)}" for i, m in enumerate(self.net)]
        if not self.limits.late:
            made += [
                f"unheard {i}: {self._words(m)}"
                for i, m in enumerate(self.net)
                if isinstance(m[2], BallotRequest)
            ]
        if self.doubles < self.limits.doubles:
            made += [
                f"double {i}: {self._words(m)}"
                for i, m in enumerate(self.net)
                if isinstance(m[2], BallotRequest)
            ]
        for r in self.runners.values():
            if r.writer is None and not r.doing:
                first = "claims" if not self.limits.held else "begins" if r.name == "P" else "takes"
                made.append(f"{r.name} {first}")
            elif (
                r.writer is not None
                and r.writer.result is None
                and r.again > 0
                and (r.writer.blocked or not self.limits.patient)
            ):
                made.append(f"{r.name} asks again")
                if r.writer.in_fast_round and len(r.writer._votes) >= 2:
                    made.append(f"{r.name} goes on with a majority")
        if self.crashes < self.limits.crashes:
            made.append("a forgets")
        if self.restarts < self.limits.restarts:
            made.append("a restarts")
        return made

    @staticmethod
    def _words(m: tuple[str, str, Any, str]) -> str:
        to, by, what, _ = m
        kind = type(what).__name__
        if isinstance(what, BallotRequest):
            kind += f" {what.ballot}" + (
                "" if not isinstance(what.value, WorkRecord) else f" {what.value.state.name}"
            )
        elif isinstance(what, Vote):
            kind += " taken" if what.accepted else " refused"
        return f"{kind} from {by} to {to}"

    def move(self, name: str) -> None:
        words = name.split(" ")
        if words[0] in ("deliver", "double", "unheard"):
            i = int(words[1].rstrip(":"))
            message = self.net[i]
            if words[0] != "double":
                self.net = self.net[:i] + self.net[i + 1 :]
            else:
                self.doubles += 1
            self._deliver(*message[:3], heard=words[0] != "unheard")
        elif words[0] == "a":
            old = self.keepers["a"]
            if words[1] == "restarts":
                # What was on its way from it is lost; what it has promised and taken it still knows.
                self.restarts += 1
                self.net = tuple(m for m in self.net if m[1] != "a")
                return
            self.crashes += 1
            self.keepers["a"] = new = self.keeper(
                "a", old.incarnation + PAST, old.replicas, old.other_seats, not self.forgets
            )
            if self.forgets:
                self._send("a", [(s, SyncRequest(new.incarnation)) for s in sorted(new.other_seats)])
        else:
            r = self.runners[words[0]]
            if words[1] == "begins":
                r.doing = "begin"
                if self.hasty:
                    self._run(r)
                self._write(r, StartWork(Owner("P", r.inc), 1), self.holds)
            elif words[1] == "takes":
                r.doing = "take"
                self._write(r, TakeOverWork(Owner("Q", r.inc), Owner("P", 11), 1))
            elif words[1] == "claims":
                r.doing = "claim"
                self._write(r, ClaimWork(Owner(r.name, r.inc), 1, ORDER))
            else:
                r.again -= 1
                asks = r.writer.retry() if words[1] == "asks" else r.writer.settle_for_majority()
                self._asked(r, asks)

    def _send(self, by: str, messages: list[tuple[str, Any]]) -> None:
        self.net = tuple(
            sorted(
                self.net + tuple((to, by, m, _told(m)) for to, m in messages),
                key=lambda m: (m[0], m[1], m[3]),
            )
        )

    def _write(self, r: Runner, change: Any, hold: Any = None) -> None:
        r.serial += 1
        r.writer = self.writer(KEY, self.seats.get(r.name, SEATS), r.inc, r.serial, change, 10_000, hold)
        self._asked(r, r.writer.start(r.serial * 1000))

    def _asked(self, r: Runner, asks: list[BallotRequest]) -> None:
        # What is still on its way to a question of before is not listened to.
        self.net = tuple(m for m in self.net if not (m[0] == r.name and m[2].serial != r.writer.serial))
        self._send(r.name, [(s, ask) for ask in asks for s in r.writer.replicas])
        self._step(r)

    def _deliver(self, to: str, by: str, m: Any, heard: bool = True) -> None:
        if isinstance(m, BallotRequest):
            vote = self.keepers[to].vote(0, m)
            if self.limits.late:
                self._send(to, [(by, vote)])
            elif heard:
                self._deliver(by, to, vote)
        elif isinstance(m, SyncRequest):
            self._send(to, [(by, part) for part in self.keepers[to].answer_sync(0, by, m.incarnation)])
        elif isinstance(m, SyncReply):
            if m.incarnation == self.keepers[to].incarnation:
                self.keepers[to].apply_sync(0, by, m)
        else:
            r = self.runners[to]
            if r.writer is not None:
                self._asked(r, r.writer.handle_vote(by, m))

    def _step(self, r: Runner) -> None:
        if r.writer is None or r.writer.result is None:
            return
        done, me = r.writer.result, Owner(r.name, r.inc)
        r.writer = None
        self.net = tuple(m for m in self.net if m[0] != r.name)
        work: WorkRecord | None = done.value
        mine = work is not None and work.owner == me
        if r.doing in ("claim", "take") and mine and work is not None and work.state is WorkState.HELD:
            r.doing, r.attempt = "begin", work.attempt
            if self.hasty:
                self._run(r)
            self._write(r, StartWork(me, r.attempt), done.promise)
        elif (
            r.doing == "claim"
            and work is not None
            and work.state in (WorkState.HELD, WorkState.RELEASED)
            and self.limits.takes
        ):
            r.doing = "take"
            self._write(r, TakeOverWork(me, work.owner, work.attempt))
        elif r.doing == "begin" and mine and work is not None and work.state is WorkState.STARTED:
            if self.limits.frees and r.name == "P":
                r.doing, r.freed = "free", True  # it gives up before the command, and says so
                self._write(r, ReleaseWork(me, r.attempt, ORDER, False), done.promise)
            else:
                r.doing = "over"
                if not self.hasty:
                    self._run(r)
        else:
            r.doing = "over"

    def _run(self, r: Runner) -> None:
        r.ran += 1
        if sum(x.ran for x in self.runners.values()) > 1:
            self.wrong = f"{r.name} runs what another has run"

    def broken(self) -> str | None:
        return self.wrong
