"""Duties of a fleet in virtual time: the real pure parts, workers that try every kind of effect, and faults.

One seed is one course of `cluster_simulation`; its whole history is checked. Each worker adds a number of its own to
the state that it was handed: no acknowledged number may ever be missing. A receiver that compares accepts tokens in
order. No job of a receiver that can't compare is done twice, nor after it was settled as never done.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from ..leadership.chunks import join
from ..leadership.directory import Reading
from ..leadership.effects import (
    NO_RESPONSE,
    ReceiverResponse,
    ResponseCallback,
)
from ..leadership.errors import LeadershipError
from ..leadership.fencing_token import FencingToken
from ..leadership.journal import DutyAcceptor
from ..leadership.lease_holder import LeaseHolder, Stage
from ..leadership.lease_record import (
    Intent,
    LeaseRecord,
    LeaseStatus,
    decode_record,
    register_key,
)
from ..leadership.participant import Participant
from ..leadership.policy import Policy
from ..leadership.worker import Worker
from ..replication.acceptor import NO_BALLOT
from ..replication.journal import JournalHeader, encode_records, read_journal
from ..replication.node import Node
from ..replication.register_space import DUTY_SPACE
from .cluster_simulation import MS, SECOND, Process, Scenario, Simulation
from .leadership_history import DutyHistory
from .leadership_worker import RandomWorker

POLICY = Policy(on=True, steady_ms=1_000)
COURSE = Scenario(
    seats=5, keys=0, faults=6, fault_kinds=("kill", "forget", "stop", "cut", "one way", "leave")
)
DISKS = Scenario(seats=4, keys=0, faults=6, fault_kinds=("kill", "stop", "cut", "one way", "power", "forget"))
RESPONSE_TIMEOUT_US = 300 * MS
REQUEST_LOSS = 0.02
RESPONSE_LOSS = 0.03
LATE_REQUESTS = 0.05  # share of requests that take up to MAX_LATE_MS
MAX_LATE_MS = 6_000
DISK_WRITE_MS = (0.1, 8)
NOTHING_TO_WRITE = b"\0"  # stands for a write without records, which takes its time all the same
MIN_REPLICAS = 2  # a majority of the three


class DutyProcess(Process):
    """One process of a simulated fleet, with the real participant in its duties."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        super().__init__(sim, seat, number, inc, remembers, make)
        assert isinstance(sim, DutySimulation)
        self.world = sim
        self.participant = sim.participant_class(self.node, self, sim.policy, remembers, sim.acceptor_class)
        self.participant.acceptor.journaled = sim.lasting
        self.participant.store.has_disk = sim.lasting
        for name in sim.names:
            self.participant.directory.declare(name, "test")
        self.disk_write = b""  # on its way to the disk
        self._waiting_for_disk: list[Callable[[], None]] = []

    # ---- the disk of the duties' journal ----

    def durable(self, then: Callable[[], None], space: int) -> None:
        if space != DUTY_SPACE or not self.world.lasting:
            return super().durable(then, space)
        self._waiting_for_disk.append(then)
        if not self.disk_write:
            self._begin_disk_write()
        return None

    def _begin_disk_write(self) -> None:
        waiting = self._waiting_for_disk
        self._waiting_for_disk = []
        self.disk_write = (
            encode_records(self.participant.acceptor.unsaved_records(self.sim.now)) or NOTHING_TO_WRITE
        )

        def written() -> None:
            if self.disk_write != NOTHING_TO_WRITE:
                self.world.lasting_disks[self.seat] += self.disk_write
            self.disk_write = b""
            for callback in waiting:
                callback()
            if self._waiting_for_disk and not self.disk_write:
                self._begin_disk_write()

        delay_us = round(self.sim.random.uniform(*DISK_WRITE_MS) * MS)
        self.sim.at(self.sim.now + delay_us, self, written)

    def lost(self, key: bytes) -> None:
        """Of keyed work, which there is none of here."""
        raise AssertionError(key)

    # ---- `participant.ParticipantHost` ----

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return the worker for a duty."""
        return RandomWorker(self, self.world, lease)

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """Send a request to the receiver that compares."""
        history = self.world.histories[duty]
        self._exchange(lambda: history.receive_fenced(token, self.world.compares), callback)

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Send an intent to the receiver that can't compare."""
        history = self.world.histories[duty]
        self._exchange(lambda: history.receive_intent(intent), callback)

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Ask the receiver that can't compare."""
        history = self.world.histories[duty]
        self._exchange(lambda: history.receive_query(intent), callback)

    def _exchange(self, arrive: Callable[[], ReceiverResponse], callback: ResponseCallback) -> None:
        """A request that was sent arrives though its sender is stopped or gone; sometimes very late, or never."""
        random = self.sim.random
        is_answered = False

        def answer(response: ReceiverResponse) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                callback(response)

        def arrived() -> None:
            response = arrive()
            if random.random() > RESPONSE_LOSS:
                delay_us = round(random.uniform(0.1, 2) * MS)
                self.sim.at(self.sim.now + delay_us, self, lambda: answer(response))

        if random.random() > REQUEST_LOSS:
            is_late = random.random() < LATE_REQUESTS
            delay_ms = random.uniform(0, MAX_LATE_MS) if is_late else random.uniform(0.1, 3)
            self.sim.at(self.sim.now + round(delay_ms * MS), None, arrived)
        self.sim.at(self.sim.now + RESPONSE_TIMEOUT_US, self, lambda: answer(NO_RESPONSE))


class DutySimulation(Simulation):
    """One course of a fleet with duties.

    participant_class, acceptor_class: the real ones, or those with a seeded mistake.
    compares: bool, the receiver compares tokens; False is a seeded mistake.
    lasting: bool, replicas of duties have disks.
    """

    def __init__(
        self,
        seed: int,
        course: Scenario | None = None,
        duties: int = 6,
        lasting: bool = False,
        compares: bool = True,
        participant: type[Participant] = Participant,
        acceptor: type[DutyAcceptor] = DutyAcceptor,
        policy: Policy = POLICY,
        amnesia: bool = True,
        process: type[DutyProcess] | None = None,
    ) -> None:
        self.names = [f"duty-{i}" for i in range(duties)]
        self.histories: dict[str, DutyHistory] = {name: DutyHistory() for name in self.names}
        self.participant_class = participant
        self.acceptor_class = acceptor
        self.policy = policy
        self.lasting = lasting
        self.compares = compares
        self.wrong_reads: list[str] = []
        self._updates = 0
        self._jobs = 0
        course = course or COURSE
        self.lasting_whose = [JournalHeader(1, "f", "s", f"n{i}") for i in range(course.seats)]
        self.lasting_disks = [encode_records([whose]) for whose in self.lasting_whose]
        super().__init__(seed, course, process=process or DutyProcess, amnesia=amnesia)
        if duties:
            self._plan_reads()

    def next_update_number(self) -> int:
        """Return the number of a further state update."""
        self._updates += 1
        return self._updates

    def next_job(self) -> bytes:
        """Return a further job."""
        self._jobs += 1
        return b"job %d" % self._jobs

    def start_process(self, seat: int, remembers: bool, inc: int = 0) -> DutyProcess:
        made = super().start_process(seat, remembers, inc)
        assert isinstance(made, DutyProcess)
        if self.lasting and self.now:
            self._restore(made)
        self.at(self.now, made, made.participant.start)
        return made

    def _restore(self, process: DutyProcess) -> None:
        seat = process.seat
        image = read_journal(self.lasting_disks[seat], self.lasting_whose[seat])
        self.lasting_disks[seat] = self.lasting_disks[seat][: image.valid_bytes]
        if image.recovered:
            process.participant.acceptor.restore(self.now, image)
        else:
            self.lasting_disks[seat] = encode_records([self.lasting_whose[seat]])

    def _kill(self, process: Process) -> None:
        super()._kill(process)
        assert isinstance(process, DutyProcess)
        if process.disk_write not in (b"", NOTHING_TO_WRITE):
            written = self.random.randint(0, len(process.disk_write))
            self.lasting_disks[process.seat] += process.disk_write[:written]

    # ---- reads through the register ----

    def _plan_reads(self) -> None:
        for second in range(2, round(self.course.seconds) + 4):
            name = self.random.choice(self.names)
            when_s = second + self.random.random()
            seat = self.random.randrange(self.course.seats)
            self.at(round(when_s * SECOND), None, partial(self._read, name, seat))

    def _read(self, name: str, seat: int) -> None:
        """All that was acknowledged before the read began must be there."""
        process = self.processes[seat]
        began_us = self.now
        if not process.alive or process.stopped_until > self.now or not isinstance(process, DutyProcess):
            return

        def got(reading: Reading | LeadershipError) -> None:
            if isinstance(reading, Reading) and reading.state is not None:
                missing = self.histories[name].missing_updates(reading.state, before_us=began_us)
                if missing:
                    self.wrong_reads.append(
                        f"{name}: read at n{seat}, asked for at {began_us}: {missing[:3]} missing"
                    )

        process.participant.directory.read(name, got)

    # ---- the end ----

    def violation(self) -> str | None:
        """Return what was wrong in the course, in words."""
        if self.wrong_reads:
            return self.wrong_reads[0]
        for name, history in self.histories.items():
            found = history.broken_rule() or self._wrong_at_end(name, history)
            if found is not None:
                return f"{name}: {found}"
        return None

    def _wrong_at_end(self, name: str, history: DutyHistory) -> str | None:
        """All faults are over for a while: the voting replicas agree on the state, and one member leads the duty."""
        replicas = self.voting_replicas(name)
        if len(replicas) < MIN_REPLICAS:
            return None  # a majority has forgotten at once: an operator must say how it goes on
        record = latest_record(name, replicas)
        if record is None:
            if history.effect_times_us:
                return f"no register, though {len(history.acknowledged)} changes were acknowledged"
            return "it was never made"
        if record.status == LeaseStatus.SUSPENDED:
            return None
        leases = self._leases(name)
        active = [
            lease for lease in leases if lease.stage is Stage.ACTIVE and lease.record.term == record.term
        ]
        if len(active) != 1:
            known = [(lease.register.owner, lease.stage.value, lease.record.term) for lease in leases]
            return f"{len(active)} at work on {record}; {known}"
        lost = history.missing_updates(active[0].state)
        return f"acknowledged and gone: {lost[:5]}" if lost else None

    def _leases(self, name: str) -> list[LeaseHolder]:
        key = register_key(name)
        return [
            process.participant.leases.by_key[key]
            for process in self.live_processes()
            if key in process.participant.leases.by_key
        ]

    def live_processes(self) -> list[DutyProcess]:
        """Return the processes that are alive."""
        return [process for process in self.processes if process.alive and isinstance(process, DutyProcess)]

    def voting_replicas(self, name: str) -> list[DutyProcess]:
        """Return the live replicas of a duty that have a vote on its register."""
        key = register_key(name)
        return [
            process
            for process in self.live_processes()
            if process.node.me in self.seats.replicas(key) and process.participant.acceptor.can_vote_on(key)
        ]


def latest_record(name: str, replicas: list[DutyProcess]) -> LeaseRecord | None:
    """Return the record of the highest ballot that these replicas have accepted; None if there is none."""
    key = register_key(name)
    slots = [process.participant.acceptor.registers.get(key) for process in replicas]
    accepted = [slot for slot in slots if slot is not None and slot.accepted_ballot is not None]
    if not accepted:
        return None
    record = decode_record(max(accepted, key=lambda slot: slot.accepted_ballot or NO_BALLOT).value)
    assert record is not None
    return record


def replicated_state(name: str, record: LeaseRecord, replicas: list[DutyProcess]) -> bytes | None:
    """Return the state of a record, from the first of these replicas that has all of it."""
    if not record.versions:
        return None
    key = register_key(name)
    for process in replicas:
        state = join(record.versions[0], partial(process.participant.store.find, key))
        if state is not None:
            return state
    return None


def search(seeds: range, course: Scenario | None = None, **options: Any) -> tuple[int, str] | None:
    """Return the first seed whose course is wrong, with what is."""
    for seed in seeds:
        wrong = DutySimulation(seed, course, **options).play()
        if wrong is not None:
            return seed, wrong
    return None
