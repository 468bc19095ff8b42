"""The register of a key and the life of work on it: three keepers, two runners that both want to run it, messages that
are lost, doubled and late, one keeper that begins anew with or without its memory."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import cache
from typing import Any, TypeVar

from ..replication.acceptor import Keeper, Slot
from ..replication.messages import FAST, Ask, Slots, Sync, Vote
from ..replication.proposer import Hold, Writer
from ..replication.work_record import Begin, Claim, Free, Order, Owner, State, Take, Work

T = TypeVar("T")
KEY = b"k"
SEATS = ("a", "b", "c")
ORDER = Order("r", "write", None, "t", b"", 0.0, None, 0, 0.0, 0.0, None)
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


def _slots(k: Keeper) -> tuple[Hashable, ...]:
    return tuple((x.promised, x.ballot, x.value) for x in k.slots.values())


def _told(m: Any) -> str:
    """A message but for the names of seats, which are told apart elsewhere, and for what follows from the rest."""
    if isinstance(m, Ask):
        return f"ask {m.ballot} {m.value!r} {m.serial}"
    if isinstance(m, Vote):
        return f"vote {m.taken} {m.ballot} {m.value!r} {m.promised} {m.inc} {m.blank} {m.serial}"
    if isinstance(m, Slots):
        return f"slots {m.inc} {m.slots} {m.blank}"
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
    keeper: type[Keeper] = Keeper
    writer: type[Writer] = Writer
    hasty: bool = False  # a seeded mistake: commanded when the question to begin goes out
    forgets: bool = True  # else: a keeper that has lost its memory votes as one that has not
    alike: tuple[str, ...] = ()  # seats that nothing but their names tells apart; all three, where not said
    seats: dict[str, tuple[str, ...]] = field(default_factory=dict)  # by runner, where they differ
    keepers: dict[str, Keeper] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    net: tuple[tuple[str, str, Any, str], ...] = ()  # (to, from, message, the same as text)
    holds: Hold | None = None
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
            work = Work(State.HELD, Owner("P", p.inc), 1, 1, ORDER)
            for k in made.keepers.values():
                k.slots[KEY] = Slot((1, p.inc, 0), FAST, work, 1 << 60)
            made.holds = Hold((1, p.inc, 0), work, {s: 1 for s in SEATS})
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
                w._votes, w._refused, w._may_have = dict(w._votes), set(w._refused), set(w._may_have)
        return new

    @staticmethod
    def _copy_keeper(k: Keeper) -> Keeper:
        new = type(k)(k.me, k.inc, k.keepers, k.others, k.remembers, k.most, {}, dict(k.incs), set(k.synced))
        for key, x in k.slots.items():
            new.slots[key] = Slot(x.promised, x.ballot, x.value, x.until)
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
                    local[s].append((r.name, v.ballot, v.value))
                for s in r.writer._refused:
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
                    named(m.quorum) if isinstance(m, Ask) else (),
                    named(m.incs) if isinstance(m, (Vote, Slots)) else (),
                )
            )
        return (
            tuple(
                sorted(
                    (
                        rank[s],
                        k.inc,
                        k.remembers,
                        named(k.incs),
                        tuple(sorted(rank[x] for x in k.synced)),
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
                        r.writer._seen,
                        tuple(
                            sorted(
                                (rank[s], v.inc, v.ballot, v.value, named(v.incs))
                                for s, v in r.writer._votes.items()
                            )
                        ),
                        tuple(sorted(rank[s] for s in r.writer._refused)),
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
                f"unheard {i}: {self._words(m)}" for i, m in enumerate(self.net) if isinstance(m[2], Ask)
            ]
        if self.doubles < self.limits.doubles:
            made += [f"double {i}: {self._words(m)}" for i, m in enumerate(self.net) if isinstance(m[2], Ask)]
        for r in self.runners.values():
            if r.writer is None and not r.doing:
                first = "claims" if not self.limits.held else "begins" if r.name == "P" else "takes"
                made.append(f"{r.name} {first}")
            elif (
                r.writer is not None
                and r.writer.done is None
                and r.again > 0
                and (r.writer.stuck or not self.limits.patient)
            ):
                made.append(f"{r.name} asks again")
                if r.writer.fast and len(r.writer._votes) >= 2:
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
        if isinstance(what, Ask):
            kind += f" {what.ballot}" + (
                "" if not isinstance(what.value, Work) else f" {what.value.state.name}"
            )
        elif isinstance(what, Vote):
            kind += " taken" if what.taken else " refused"
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
                "a", old.inc + PAST, old.keepers, old.others, not self.forgets
            )
            if self.forgets:
                self._send("a", [(s, Sync(new.inc)) for s in sorted(new.others)])
        else:
            r = self.runners[words[0]]
            if words[1] == "begins":
                r.doing = "begin"
                if self.hasty:
                    self._run(r)
                self._write(r, Begin(Owner("P", r.inc), 1), self.holds)
            elif words[1] == "takes":
                r.doing = "take"
                self._write(r, Take(Owner("Q", r.inc), Owner("P", 11), 1))
            elif words[1] == "claims":
                r.doing = "claim"
                self._write(r, Claim(Owner(r.name, r.inc), 1, ORDER))
            else:
                r.again -= 1
                asks = r.writer.again() if words[1] == "asks" else r.writer.nudge()
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
        self._asked(r, r.writer.begin(r.serial * 1000))

    def _asked(self, r: Runner, asks: list[Ask]) -> None:
        # What is still on its way to a question of before is not listened to.
        self.net = tuple(m for m in self.net if not (m[0] == r.name and m[2].serial != r.writer.serial))
        self._send(r.name, [(s, ask) for ask in asks for s in r.writer.keepers])
        self._step(r)

    def _deliver(self, to: str, by: str, m: Any, heard: bool = True) -> None:
        if isinstance(m, Ask):
            vote = self.keepers[to].ask(0, m)
            if self.limits.late:
                self._send(to, [(by, vote)])
            elif heard:
                self._deliver(by, to, vote)
        elif isinstance(m, Sync):
            self._send(to, [(by, part) for part in self.keepers[to].answer_sync(0, by, m.inc)])
        elif isinstance(m, Slots):
            if m.inc == self.keepers[to].inc:
                self.keepers[to].take_slots(0, by, m)
        else:
            r = self.runners[to]
            if r.writer is not None:
                self._asked(r, r.writer.heard(by, m))

    def _step(self, r: Runner) -> None:
        if r.writer is None or r.writer.done is None:
            return
        done, me = r.writer.done, Owner(r.name, r.inc)
        r.writer = None
        self.net = tuple(m for m in self.net if m[0] != r.name)
        work: Work | None = done.value
        mine = work is not None and work.owner == me
        if r.doing in ("claim", "take") and mine and work is not None and work.state is State.HELD:
            r.doing, r.attempt = "begin", work.attempt
            if self.hasty:
                self._run(r)
            self._write(r, Begin(me, r.attempt), done.hold)
        elif (
            r.doing == "claim"
            and work is not None
            and work.state in (State.HELD, State.FREE)
            and self.limits.takes
        ):
            r.doing = "take"
            self._write(r, Take(me, work.owner, work.attempt))
        elif r.doing == "begin" and mine and work is not None and work.state is State.BEGUN:
            if self.limits.frees and r.name == "P":
                r.doing, r.freed = "free", True  # it gives up before the command, and says so
                self._write(r, Free(me, r.attempt, ORDER, False), done.hold)
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
