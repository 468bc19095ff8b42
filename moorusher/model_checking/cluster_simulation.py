"""A fleet in virtual time: the real pure parts, in a network that loses, doubles and delays, with processes that are
stopped, killed and started anew. One seed is one course; each is checked as a whole."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count, pairwise
from random import Random
from typing import Any

from ..membership.placement import Placement
from ..membership.policy import Seat
from ..replication.journal import JOURNAL_VERSION, JournalHeader, encode_records, read_journal
from ..replication.node import Node
from ..replication.policy import Policy
from ..replication.work_events import (
    BodyDiffers,
    ClaimGranted,
    ClaimJoined,
    ClaimUncovered,
    HandedOver,
    RejectedByAll,
    ResultKnown,
    StartConfirmed,
    StartLost,
    StartUncovered,
    WorkEvent,
    WorkInHand,
)
from ..replication.work_record import Key, Owner, WorkRequest

MS = 1_000  # us
SECOND = 1_000_000  # us
WINDOW_MARGIN_US = 500 * MS
MEAN_QUEUE_S = 0.3  # how long a process holds work before it starts it
MEAN_RUN_S = 0.2
REJECTED_AFTER_US = 5 * MS  # work that was taken over, and is rejected


class KeyState(Enum):
    """How far one process is with a key."""

    CLAIMING = "claiming"
    HELD = "held"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    ELSEWHERE = "another process has it"


IN_HAND = (KeyState.HELD, KeyState.STARTING, KeyState.RUNNING)


class Answered(Enum):
    """How a caller was answered."""

    RAN = "ran"
    TOLD = "told"  # of another process's result
    REFUSED = "refused"  # with the promise that it never runs
    FAILED = "failed"  # without that promise


@dataclass(frozen=True, slots=True)
class Scenario:
    """What may happen in one. Times in s, shares from 0 to 1."""

    seats: int = 5
    keys: int = 30
    seconds: float = 9.0
    window_s: float = 30.0
    faults: int = 7
    loss: float = 0.01  # of messages
    duplication: float = 0.01
    rejection: float = 0.1  # of what is taken up
    repeats: float = 0.6  # of keys: asked for at further runners
    journals: bool = False  # keepers that write; each lives on with what it had written
    fault_kinds: tuple[str, ...] = ("kill", "forget", "stop", "cut", "one way", "kernel", "leave", "clock")


@dataclass(slots=True)
class Run:
    """One run of a key, as the history has it."""

    key: Key
    process: int
    started_at: int
    read_at: int  # when the try that ran was read


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller was answered. `at`: us."""

    key: Key
    process: int
    at: int
    result: bytes | None
    how: Answered


@dataclass(slots=True)
class History:
    """Everything that a course is judged by."""

    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    granted: dict[Key, int] = field(default_factory=dict)
    asked: list[tuple[Key, int, int]] = field(default_factory=list)
    ended: list[tuple[int, int]] = field(default_factory=list)  # processes, and when
    counts: Counter[str] = field(default_factory=Counter)
    messages: int = 0


class Process:
    """One life of a seat: the `Host` of its node, with a queue and a kernel that only wait."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        self.sim, self.seat, self.number = sim, seat, number
        self.alive, self.kernel_up, self.draining = True, True, False
        self.stopped_until = 0
        self._wake_at: int | None = None
        self.state: dict[Key, KeyState] = {}  # held, running, over, theirs
        self.results: dict[Key, bytes | None] = {}
        self.read_at: dict[Key, int] = {}
        self.random = sim.random.random
        self.node = make(f"n{seat}", inc, sim.seats, self, Policy(), sim.longest, remembers)
        self.node.acceptor.journaled = sim.course.journals
        self._waiting: list[Callable[[], None]] = []
        self.being_written = b""  # on its way to the disk

    # ---- Host ----

    def send(self, seat: str, message: Any) -> None:
        self.sim.send(self, int(seat[1:]), message, None)

    def reply(self, seat: str, message: Any) -> None:
        self.sim.send(self, int(seat[1:]), message, self.sim.sender)

    def replier(self, seat: str) -> Callable[[Any], None]:
        to = self.sim.sender
        return lambda message: self.sim.send(self, int(seat[1:]), message, to)

    def durable(self, then: Callable[[], None], space: int) -> None:
        if not self.sim.course.journals:
            return then()
        self._waiting.append(then)
        if not self.being_written:
            self._write()
        return None

    def _write(self) -> None:
        waiting, self._waiting = self._waiting, []
        self.being_written = encode_records(self.node.acceptor.unsaved_records(self.sim.now))

        def written() -> None:
            self.sim.journals[self.seat] += self.being_written
            self.being_written = b""
            for then in waiting:
                then()
            if self._waiting and not self.being_written:
                self._write()

        if not self.being_written:
            return written()
        slow = self.sim.random.random() < 0.1
        self.sim.at(
            self.sim.now + round(self.sim.random.uniform(0.1, 300 if slow else 8) * MS), self, written
        )
        return None

    def clock(self) -> int:
        return self.sim.now

    def wake(self, when: int) -> None:
        if self._wake_at is None or when < self._wake_at:
            self._wake_at = when
            self.sim.at(when, self, self._ring)

    def _ring(self) -> None:
        if self._wake_at is not None and self._wake_at <= self.sim.now:
            self._wake_at = None
            self.node.run_due()

    def count(self, name: str) -> None:
        self.sim.history.counts[name] += 1

    def notify(self, event: WorkEvent) -> None:
        """Plays the runner's part in what is settled about a key."""
        key = event.key
        match event:
            case ClaimGranted():
                self.sim.history.granted[key] = self.number
                self._hold(key)
            case ClaimJoined() | StartLost() | HandedOver():
                self.state[key] = KeyState.ELSEWHERE
            case BodyDiffers():
                self.state.pop(key, None)
            case ClaimUncovered():
                self.state.pop(key, None)
                self._answer(key, None, Answered.REFUSED if event.proven else Answered.FAILED)
            case StartConfirmed():
                self.run_work(key)
            case StartUncovered():
                self.state.pop(key, None)
                self.node.release_work(key)
                self._answer(key, None, Answered.FAILED)
            case ResultKnown():
                self.state[key] = KeyState.FINISHED
                self.results[key] = event.result
                self._answer(key, event.result, Answered.TOLD)
            case RejectedByAll():
                self.state.pop(key, None)
                self._answer(key, None, Answered.REFUSED)
            case _:
                pass

    def _hold(self, key: Key) -> None:
        self.state[key] = KeyState.HELD
        wait = round(self.sim.random.expovariate(1 / MEAN_QUEUE_S) * SECOND)
        self.sim.at(self.sim.now + wait, self, lambda: self._start(key))

    def _start(self, key: Key) -> None:
        if self.state.get(key) is KeyState.HELD and self.kernel_up:
            self.state[key] = KeyState.STARTING
            if not self.node.start_work(key):
                self.state[key] = KeyState.HELD

    def run_work(self, key: Key) -> None:
        """The run is commanded."""
        if self.state.get(key) is not KeyState.STARTING:
            return
        self.state[key] = KeyState.RUNNING
        self.sim.history.runs.append(Run(key, self.number, self.sim.now, self.read_at[key]))
        duration = round(self.sim.random.expovariate(1 / MEAN_RUN_S) * SECOND)
        self.sim.at(self.sim.now + duration, self, lambda: self._end_run(key))

    def _end_run(self, key: Key) -> None:
        if self.state.get(key) is KeyState.RUNNING and self.kernel_up:
            self.state[key] = KeyState.FINISHED
            result = b"%d of %d" % (self.sim.now, self.number)
            self.results[key] = result
            self.sim.results[key].add(result)
            self.node.finish_work(key, result)
            self._answer(key, result, Answered.RAN)

    def _answer(self, key: Key, result: bytes | None, how: Answered) -> None:
        self.sim.history.answers.append(Answer(key, self.number, self.sim.now, result, how))

    def accept_takeover(self, key: Key, body_digest: int, request: WorkRequest, expires_at: int) -> bool:
        """Queues another runner's work; rejects a share of it a little later."""
        if not self.fit():
            return False
        self.read_at[key] = round(request.arrived_unix_ms * MS)
        if self.sim.random.random() < self.sim.course.rejection:
            self.sim.at(self.sim.now + REJECTED_AFTER_US, self, lambda: self._reject(key))
            self.state[key] = KeyState.HELD
        else:
            self._hold(key)
        return True

    def _reject(self, key: Key) -> None:
        if self.state.get(key) is KeyState.HELD:
            del self.state[key]
            self.node.release_work(key, rejected=True)

    def work_in_hand(self, key: Key) -> WorkInHand:
        """What this process knows of a key."""
        state = self.state.get(key)
        return WorkInHand(state in IN_HAND, state is KeyState.FINISHED, self.results.get(key))

    def fit(self) -> bool:
        """It can take work over."""
        return self.kernel_up and not self.draining

    # ---- what happens to it ----

    def receive_request(self, key: Key) -> None:
        """A caller asks for this key here."""
        if key not in self.state and not self.draining and self.kernel_up:
            self.read_at[key] = self.sim.now
            self.sim.history.asked.append((key, self.number, self.sim.now))
            order = WorkRequest(
                "r", "write", None, key.decode(), b"", self.sim.now / MS, None, 0, 0.0, 0.0, None
            )
            self.state[key] = KeyState.CLAIMING
            self.node.claim(key, 1, order, self.sim.now + self.sim.longest)

    def check_self(self) -> None:
        self.node.publish_status(cores=1)
        if not self.fit():
            self.node.hand_over_held()
        self.sim.at(self.sim.now + 100 * MS, self, self.check_self)


class Simulation:
    """One course: runners, links and faults in virtual time, all drawn from one seed."""

    def __init__(
        self,
        seed: int,
        course: Scenario | None = None,
        make: type[Node] = Node,
        process: type[Process] = Process,
        amnesia: bool = True,
    ) -> None:
        """`amnesia`: False is a seeded mistake, a keeper that has forgotten votes as if it had not."""
        self.seed, self.course = seed, course or Scenario()
        self.random, self.now = Random(seed), 0
        self.seats = Placement([Seat(f"n{i}", ("", 0), f"z{i % 2}") for i in range(self.course.seats)])
        self.longest = round(self.course.window_s * SECOND) + WINDOW_MARGIN_US
        self.history = History()
        self.results: defaultdict[Key, set[bytes]] = defaultdict(set)
        self.sender: Process | None = None
        self._node_class, self._process_class, self._amnesia = make, process, amnesia
        self._queue: list[tuple[int, int, Process | None, Callable[[], None]]] = []
        self._order, self._numbers = count(), count(1)
        self.headers = [JournalHeader(JOURNAL_VERSION, "f", "s", f"n{i}") for i in range(self.course.seats)]
        self.journals = [encode_records([w]) for w in self.headers]
        self.cut_links: set[tuple[int, int]] = set()  # ways on which nothing comes through
        self.processes = [self.start_process(i, remembers=True) for i in range(self.course.seats)]
        self.events: list[str] = []
        self._plan()

    def start_process(self, seat: int, remembers: bool, inc: int = 0) -> Process:
        number = next(self._numbers)
        made = self._process_class(
            self, seat, number, inc or self.now + 1 + number, remembers, self._node_class
        )
        if self.course.journals and self.now:
            image = read_journal(self.journals[seat], self.headers[seat])
            self.journals[seat] = self.journals[seat][: image.valid_bytes]  # as a new file has it
            if image.recovered:
                made.node.restore(image)
            else:
                self.journals[seat] = encode_records([self.headers[seat]])
        self.at(self.now, made, made.node.start)
        self.at(self.now + 100 * MS, made, made.check_self)
        return made

    # ---- time and messages ----

    def at(self, when: int, process: Process | None, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), process, action))

    def send(self, by: Process, to: int, message: Any, only: Process | None) -> None:
        self.history.messages += 1
        if self.random.random() < self.course.loss:
            return
        for _ in range(2 if self.random.random() < self.course.duplication else 1):
            delay = round(self.random.uniform(0.1, 2.0) * MS)
            if self.random.random() < 0.02:
                delay += round(self.random.uniform(0, 300) * MS)
            self.at(self.now + delay, None, lambda: self._deliver(by, to, message, only))

    def _deliver(self, by: Process, to: int, message: Any, only: Process | None) -> None:
        target = self.processes[to]
        if (by.seat, to) in self.cut_links or not target.alive or (only is not None and target is not only):
            return

        def hear() -> None:
            self.sender = by
            target.node.receive(f"n{by.seat}", by.node.owner.incarnation, message)
            self.sender = None

        if target.stopped_until > self.now:
            self.at(target.stopped_until, target, hear)
        else:
            hear()

    def run(self, until: int) -> None:
        while self._queue and self._queue[0][0] <= until:
            when, _, process, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            if process is not None:
                if not process.alive:
                    continue
                if process.stopped_until > self.now:
                    self.at(process.stopped_until, process, action)
                    continue
            action()
        self.now = until

    # ---- what happens ----

    def _plan(self) -> None:
        r, c = self.random, self.course
        for i in range(c.keys):
            key, at = b"k%d" % i, r.uniform(0, c.seconds)
            self._plan_request(key, at)
            while r.random() < c.repeats:
                at += r.choice((0.0, r.uniform(0, 0.01), r.uniform(0, 3)))
                self._plan_request(key, at)
        for _ in range(c.faults):
            kind, seat, at = r.choice(c.fault_kinds), r.randrange(c.seats), r.uniform(0, c.seconds)
            lasts = r.choice((r.uniform(0, 0.6), r.uniform(0.5, 4)))
            self.at(round(at * SECOND), None, lambda k=kind, s=seat, n=lasts: self._fault(k, s, n))  # type: ignore[misc]

    def _plan_request(self, key: Key, at: float) -> None:
        seat = self.random.randrange(self.course.seats)

        def ask() -> None:
            process = self.processes[seat]
            if process.alive:
                self.at(self.now, process, lambda: process.receive_request(key))

        self.at(round(at * SECOND), None, ask)

    def _fault(self, kind: str, seat: int, lasts: float) -> None:
        process, end = self.processes[seat], self.now + round(lasts * SECOND)
        if not process.alive:
            return
        self.events.append(f"{self.now / SECOND:.3f} s: {kind} n{seat} for {lasts:.3f} s")
        if kind == "power":  # of all
            for p in self.processes:
                if p.alive:
                    self._kill(p)
                    self._restart_later(
                        p.seat, self.now + round(self.random.uniform(0.02, min(lasts, 1)) * SECOND), 0
                    )
            return
        if kind in ("kill", "forget", "clock"):
            self._kill(process)
            inc = (
                max(1, process.node.owner.incarnation - 5)
                if kind == "clock" and not self.course.journals
                else 0
            )
            self._restart_later(seat, end if kind == "kill" else self.now + 20 * MS, inc)
        elif kind == "stop":
            process.stopped_until = end
        elif kind == "kernel":
            process.kernel_up = False

            def kernel_back() -> None:
                process.kernel_up = True
                for key, state in list(process.state.items()):
                    if state is KeyState.HELD:
                        process._hold(key)
                    elif state is KeyState.RUNNING:
                        process._end_run(key)

            self.at(end, process, kernel_back)
        elif kind == "leave":
            process.draining = True
            self.at(end, process, lambda: setattr(process, "draining", False))
        else:
            others = [i for i in range(self.course.seats) if i != seat]
            if kind == "cut":
                others = self.random.sample(others, self.random.randint(1, len(others)))
            ways = (
                {(seat, o) for o in others}
                if kind == "one way"
                else {w for o in others for w in ((seat, o), (o, seat))}
            )
            self.cut_links |= ways
            self.at(end, None, lambda: self.cut_links.difference_update(ways))

    def _kill(self, process: Process) -> None:
        process.alive = False
        self.history.ended.append((process.number, self.now))
        if process.being_written:  # torn anywhere; whole maybe, and not confirmed
            self.journals[process.seat] += process.being_written[
                : self.random.randint(0, len(process.being_written))
            ]

    def _restart_later(self, seat: int, when: int, inc: int) -> None:
        def again() -> None:
            self.processes[seat] = self.start_process(seat, remembers=not self._amnesia, inc=inc)

        self.at(when, None, again)

    # ---- the whole ----

    def play(self) -> str | None:
        """What is wrong with this course; None where nothing is."""
        self.run(round((self.course.seconds + 5) * SECOND))
        self.cut_links.clear()
        for p in self.processes:
            p.stopped_until = 0
        self.run(self.now + 8 * SECOND)
        return self.violation()

    def violation(self) -> str | None:
        h, window = self.history, round(self.course.window_s * SECOND)
        for key in {r.key for r in h.runs}:
            runs = [r for r in h.runs if r.key == key]
            for first, second in pairwise(runs):
                if second.started_at < first.read_at + window:
                    return f"{key!r} ran at process {first.process} and again at {second.process}"
        for answer in h.answers:
            if answer.result is not None and answer.result not in self.results[answer.key]:
                where = f"at process {answer.process}"
                return f"{answer.key!r} was answered {where} with what no run gave ({answer.how.value})"
        if any(len(found) > 1 for found in self.results.values()):
            return "two results of one key"
        return self._ran_after_refusal() or self._forgotten_work()

    def _ran_after_refusal(self) -> str | None:
        """A caller was told that it never ran, by a process that still lives, and nobody asked again."""
        requests: defaultdict[Key, list[tuple[int, int]]] = defaultdict(list)
        for key, number, at in self.history.asked:
            requests[key].append((number, at))
        ended_at = dict(self.history.ended)
        for run in self.history.runs:
            before = [(number, at) for number, at in requests[run.key] if at <= run.started_at]
            if all(
                self._was_refused(run, number, at) and ended_at.get(number, self.now + 1) > run.started_at
                for number, at in before
            ):
                ran = f"{run.key!r} ran at process {run.process} at {run.started_at}"
                return f"{ran}, though all were told that it never ran"
        return None

    def _was_refused(self, run: Run, process: int, asked_at: int) -> bool:
        """That process refused the key after it was asked for, and before it ran."""
        return any(
            answer.key == run.key
            and answer.process == process
            and asked_at < answer.at < run.started_at
            and answer.how is Answered.REFUSED
            for answer in self.history.answers
        )

    def _withdrawing_owners(self, key: Key) -> set[Owner]:
        """Its owners that have given their callers up, and are withdrawing their claims."""
        given_up = {
            answer.process
            for answer in self.history.answers
            if answer.key == key and answer.how in (Answered.REFUSED, Answered.FAILED)
        }
        return {p.node.owner for p in self.processes if p.number in given_up}

    def _forgotten_work(self) -> str | None:
        """Work that a majority of its keepers knows, in their present lives, has come to an end."""
        live = {p.node.me: p for p in self.processes if p.alive}
        ran = {r.key for r in self.history.runs}
        for key in self.history.granted:
            knows = [
                p
                for s in self.seats.replicas(key)
                if (p := live.get(s)) is not None
                and (slot := p.node.acceptor.registers.get(key)) is not None
                and slot.value is not None
                and slot.value.request is not None
                and not slot.value.rejected_by
                and p.node.acceptor.can_vote_on(key)
                and slot.value.owner not in self._withdrawing_owners(key)
            ]
            if (
                len(knows) >= 2
                and key not in ran
                and all(p.state.get(key) not in (KeyState.HELD, KeyState.STARTING) for p in self.processes)
            ):
                work = [p.node.acceptor.registers[key].value for p in knows]
                if all(w.state.name in ("HELD", "FREE") for w in work):
                    return f"{key!r} is known to {len(knows)} keepers, and nobody goes on with it: {work}"
        return None


def find_failing_seed(seeds: range, course: Scenario | None = None, **how: Any) -> tuple[int, str] | None:
    """The first seed whose course is wrong, with what is."""
    for seed in seeds:
        if (wrong := Simulation(seed, course, **how).play()) is not None:
            return seed, wrong
    return None
