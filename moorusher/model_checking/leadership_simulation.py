"""Duties of a fleet in virtual time: the real pure parts, workers that try every kind of effect, receivers that compare
or can't, and all faults of `check.fleets`. One seed is one course; its whole history is checked.

State: each worker adds a token of its own to what it was handed; no token that was acknowledged may ever be missing.
Fenced: what a receiver took is in the order of terms. Once: no job is done twice, nor after it was settled as never.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..leadership.effects import Fenced, Made, Once, OnFleet, Outcome, Told
from ..leadership.errors import DutyError
from ..leadership.fencing_token import Fence, Verdict, judge
from ..leadership.journal import LastingKeeper
from ..leadership.lease_holder import Ownership, Stage
from ..leadership.lease_record import Intent, Life, Post, Settle, key_of
from ..leadership.participant import Participant, Reading
from ..leadership.policy import Policy
from ..replication.acceptor import NO_BALLOT
from ..replication.journal import JournalHeader, encode_records, read_journal
from ..replication.node import Node
from ..replication.register_space import DUTY_SPACE
from .cluster_simulation import MS, SECOND, Process, Scenario, Simulation

POLICY = Policy(on=True, steady_ms=1_000)


@dataclass(slots=True)
class Facts:
    """Of one duty, as nobody in the fleet sees them."""

    owners: dict[tuple[int, int], set[int]] = field(
        default_factory=lambda: defaultdict(set)
    )  # by term: processes
    acknowledged: list[tuple[int, int]] = field(default_factory=list)  # (token, when)
    highest: Fence | None = None  # at the receiver that compares,
    taken: list[Fence] = field(default_factory=list)  # and what it took
    performed: dict[bytes, int] = field(
        default_factory=lambda: defaultdict(int)
    )  # jobs, at the one that can't
    repeatable: set[bytes] = field(default_factory=set)
    closed: set[int] = field(default_factory=set)  # intents that were asked for: from then on never
    by_number: dict[int, bytes] = field(default_factory=dict)
    never: list[bytes] = field(default_factory=list)  # settled as not done
    told_done: list[bytes] = field(default_factory=list)
    effects: list[int] = field(default_factory=list)  # when


class Worker:
    """Tries one effect after the other, of a kind drawn anew each time."""

    def __init__(self, process: DutyProcess, ownership: Ownership) -> None:
        self.process, self.ownership = process, ownership
        self.facts = process.world.facts[ownership.name]
        self.stopped, self.state = False, ownership.state
        ownership.settled = self._settled

    def start(self) -> None:
        self.facts.owners[self.ownership.post.born, self.ownership.post.term].add(self.process.number)
        self._soon()

    def wind_up(self) -> None:
        self._state()

    def stop(self, why: DutyError | None) -> None:
        self.stopped = True

    def _soon(self) -> None:
        sim = self.process.sim
        sim.at(sim.now + round(sim.random.uniform(20, 300) * MS), self.process, self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        kind = self.process.sim.random.random()
        if kind < 0.4:
            self._state()
        elif kind < 0.7:
            self.ownership.do(Fenced("r", b"x"), self._over)
        else:
            self._job()
        self._soon()

    def _state(self) -> None:
        world = self.process.world
        token = world.tokens = world.tokens + 1
        self.state = state = self.state + token.to_bytes(4, "big")  # what waits before it is in it, too

        def made(outcome: Outcome) -> None:
            if isinstance(outcome, Made):
                self.facts.acknowledged.append((token, self.process.sim.now))
                self.facts.effects.append(self.process.sim.now)

        self.ownership.do(OnFleet(state), made)

    def _job(self) -> None:
        world = self.process.world
        world.jobs += 1
        what = b"job %d" % world.jobs
        settle = self.process.sim.random.choice(list(Settle))
        if settle is Settle.REPEAT:
            self.facts.repeatable.add(what)

        def made(outcome: Outcome) -> None:
            if isinstance(outcome, Made) and outcome.done:
                self.facts.told_done.append(what)
            self._over(outcome)

        self.ownership.do(Once("s", what, settle), made)

    def _over(self, outcome: Outcome) -> None:
        if isinstance(outcome, Made):
            self.facts.effects.append(self.process.sim.now)

    def _settled(self, intent: Intent, done: bool) -> None:
        (self.facts.told_done if done else self.facts.never).append(intent.what)


class DutyProcess(Process):
    """One process of a simulated fleet, with the real participant in its duties."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        super().__init__(sim, seat, number, inc, remembers, make)
        assert isinstance(sim, DutySimulation)
        self.world = sim
        self.participant = sim.participant(self.node, self, sim.policy, remembers, sim.keeper)
        self.participant.keeper.journaled = self.participant.shelf.notes = sim.lasting
        for name in sim.names:
            self.participant.want(name, "test")
        self._wait: list[Callable[[], None]] = []
        self._write_on = b""

    # ---- the lasting space's disk ----

    def durable(self, then: Callable[[], None], space: int) -> None:
        if space != DUTY_SPACE or not self.world.lasting:
            return super().durable(then, space)
        self._wait.append(then)
        if not self._write_on:
            self._save()
        return None

    def _save(self) -> None:
        waiting, self._wait = self._wait, []
        self._write_on = encode_records(self.participant.keeper.unsaved_records(self.sim.now)) or b"\0"

        def written() -> None:
            if self._write_on != b"\0":
                self.world.lasting_disks[self.seat] += self._write_on
            self._write_on = b""
            for then in waiting:
                then()
            if self._wait and not self._write_on:
                self._save()

        self.sim.at(self.sim.now + round(self.sim.random.uniform(0.1, 8) * MS), self, written)

    def lost(self, key: bytes) -> None:  # of keyed work, which there is none of here
        raise AssertionError(key)

    # ---- office.Host ----

    def work(self, ownership: Ownership) -> Worker | None:
        return Worker(self, ownership)

    def perform(self, to: str, duty: str, fence: Fence, body: bytes, then: Callable[[Told], None]) -> None:
        facts = self.world.facts[duty]

        def arrives() -> Told:
            verdict = judge(facts.highest, fence) if self.world.compares else Verdict.NEW
            if verdict is Verdict.BEHIND:
                return Told(True, highest=facts.highest)
            if verdict is Verdict.NEW:
                facts.highest = fence
                facts.taken.append(fence)
            return Told(True, True)

        self._go(arrives, then)

    def intend(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        facts = self.world.facts[duty]

        def arrives() -> Told:
            if intent.number in facts.closed:
                return Told(True, False)
            facts.performed[intent.what] += 1
            facts.by_number[intent.number] = intent.what
            return Told(True, True)

        self._go(arrives, then)

    def asked(self, to: str, duty: str, intent: Intent, then: Callable[[Told], None]) -> None:
        facts = self.world.facts[duty]

        def arrives() -> Told:
            facts.closed.add(intent.number)
            return Told(True, intent.number in facts.by_number)

        self._go(arrives, then)

    def _go(self, arrives: Callable[[], Told], then: Callable[[Told], None]) -> None:
        """There and back: what is on its way arrives, though its sender is stopped or gone; sometimes very late."""
        r, answered = self.sim.random, [False]

        def once(told: Told) -> None:
            if not answered[0]:
                answered[0] = True
                then(told)

        def there() -> None:
            told = arrives()
            if r.random() > 0.03:
                self.sim.at(self.sim.now + round(r.uniform(0.1, 2) * MS), self, lambda: once(told))

        if r.random() > 0.02:
            late = r.uniform(0, 6_000) if r.random() < 0.05 else r.uniform(0.1, 3)
            self.sim.at(self.sim.now + round(late * MS), None, there)
        self.sim.at(self.sim.now + 300 * MS, self, lambda: once(Told(False)))


class DutySimulation(Simulation):
    """`office` and `keeper` are the real ones, or those with a seeded mistake. `compares`: else the receiver takes what
    comes, as without fences. `lasting`: keepers of duties have disks."""

    def __init__(
        self,
        seed: int,
        course: Scenario | None = None,
        duties: int = 6,
        lasting: bool = False,
        compares: bool = True,
        participant: type[Participant] = Participant,
        keeper: type[LastingKeeper] = LastingKeeper,
        policy: Policy = POLICY,
        amnesia: bool = True,
        process: type[DutyProcess] | None = None,
    ) -> None:
        self.names = [f"duty-{i}" for i in range(duties)]
        self.facts: dict[str, Facts] = {name: Facts() for name in self.names}
        self.participant, self.keeper, self.policy = participant, keeper, policy
        self.lasting, self.compares = lasting, compares
        self.tokens = self.jobs = 0
        self.reads: list[str] = []
        seats = (course or COURSE).seats
        self.lasting_whose = [JournalHeader(1, "f", "s", f"n{i}") for i in range(seats)]
        self.lasting_disks = [encode_records([w]) for w in self.lasting_whose]
        super().__init__(seed, course or COURSE, process=process or DutyProcess, amnesia=amnesia)
        for at in range(2 if duties else 1 << 20, round(self.course.seconds) + 4):
            self._read(
                self.random.choice(self.names), at + self.random.random(), self.random.randrange(seats)
            )

    def start_process(self, seat: int, remembers: bool, inc: int = 0) -> DutyProcess:
        made = super().start_process(seat, remembers, inc)
        assert isinstance(made, DutyProcess)
        if self.lasting and self.now:
            image = read_journal(self.lasting_disks[seat], self.lasting_whose[seat])
            self.lasting_disks[seat] = self.lasting_disks[seat][: image.valid_bytes]
            if image.recovered:
                made.participant.keeper.restore(self.now, image)
            else:
                self.lasting_disks[seat] = encode_records([self.lasting_whose[seat]])
        self.at(self.now, made, made.participant.start)
        return made

    def _kill(self, process: Process) -> None:
        super()._kill(process)
        assert isinstance(process, DutyProcess)
        if process._write_on not in (b"", b"\0"):
            data = process._write_on
            self.lasting_disks[process.seat] += data[: self.random.randint(0, len(data))]

    def _read(self, name: str, at: float, seat: int) -> None:
        """Through the register: all that was acknowledged before it was asked for must be there."""

        def ask() -> None:
            process, began = self.processes[seat], self.now
            if not process.alive or process.stopped_until > self.now or not isinstance(process, DutyProcess):
                return

            def got(reading: Reading | DutyError) -> None:
                if isinstance(reading, Reading) and reading.state is not None:
                    there = tokens(reading.state)
                    missing = [
                        t for t, when in self.facts[name].acknowledged if when < began and t not in there
                    ]
                    if missing:
                        self.reads.append(
                            f"{name}: read at n{seat}, asked for at {began}: {missing[:3]} missing"
                        )

            process.participant.read(name, got)

        self.at(round(at * SECOND), None, ask)

    # ---- the whole ----

    def violation(self) -> str | None:
        if self.reads:
            return self.reads[0]
        for name, facts in self.facts.items():
            found = self._history(name, facts) or self._at_the_end(name, facts)
            if found is not None:
                return f"{name}: {found}"
        return None

    def _history(self, name: str, facts: Facts) -> str | None:
        for term, processes in facts.owners.items():
            if len(processes) > 1:
                return f"term {term} was had by processes {sorted(processes)}"
        for first, second in zip(facts.taken, facts.taken[1:], strict=False):
            if second <= first:
                return f"its receiver took {second} after {first}"
        twice = [job for job, times in facts.performed.items() if times > 1 and job not in facts.repeatable]
        if twice:
            return f"{twice[0]!r} was done twice"
        for job in facts.told_done:
            if not facts.performed[job]:
                return f"{job!r} was said to be done"
        for job in facts.never:
            if facts.performed[job] and job not in facts.repeatable:
                return f"{job!r} was settled as never done"
        return None

    def _at_the_end(self, name: str, facts: Facts) -> str | None:
        """All faults are over for a while: who votes says what the state is, and somebody has the duty."""
        key = key_of(name)
        keepers = [
            p
            for p in self.processes
            if p.alive
            and isinstance(p, DutyProcess)
            and p.node.me in self.seats.replicas(key)
            and p.participant.keeper.can_vote_on(key)
        ]
        if len(keepers) < 2:
            return None  # a majority has forgotten at once: an operator must say how it goes on
        slots = [
            s
            for p in keepers
            if (s := p.participant.keeper.registers.get(key)) is not None and s.accepted_ballot is not None
        ]
        if not slots:
            return (
                f"no register, though {len(facts.acknowledged)} changes were acknowledged"
                if facts.effects
                else "it was never made"
            )
        post: Post = _post(max(slots, key=lambda s: s.accepted_ballot or NO_BALLOT).value)
        if post.life == Life.ASIDE.value:
            return None
        ownerships = [
            p.participant.ownerships[key]
            for p in self.processes
            if isinstance(p, DutyProcess) and p.alive and key in p.participant.ownerships
        ]
        at_work = [t for t in ownerships if t.stage is Stage.HELD and t.post.term == post.term]
        if len(at_work) != 1:
            return f"{len(at_work)} at work on {post}; {[(o.owner, o.stage.value, o.post.term) for o in ownerships]}"
        there = tokens(at_work[0].state)
        lost = [t for t, _ in facts.acknowledged if t not in there]
        return f"acknowledged and gone: {lost[:5]}" if lost else None


def tokens(state: bytes) -> set[int]:
    """The tokens that a state holds."""
    return {int.from_bytes(state[i : i + 4], "big") for i in range(0, len(state), 4)}


def _post(value: Any) -> Post:
    from ..leadership.lease_record import unpack

    post = unpack(value)
    assert post is not None
    return post


COURSE = Scenario(
    seats=5, keys=0, faults=6, fault_kinds=("kill", "forget", "stop", "cut", "one way", "leave")
)
DISKS = Scenario(seats=4, keys=0, faults=6, fault_kinds=("kill", "stop", "cut", "one way", "power", "forget"))


def search(seeds: range, course: Scenario | None = None, **how: Any) -> tuple[int, str] | None:
    """The first seed whose course is wrong, with what is."""
    for seed in seeds:
        if (wrong := DutySimulation(seed, course, **how).play()) is not None:
            return seed, wrong
    return None
