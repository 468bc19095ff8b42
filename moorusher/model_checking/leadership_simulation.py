"""Duties of a cluster in virtual time: real participants, workers that submit every kind of effect, and faults."""

# The invariants are checked on the whole history of a simulation. Each worker adds unique numbers to the state that
# it received: no acknowledged number may ever be missing. A receiver that compares tokens accepts them in increasing
# order. A receiver that can't compare tokens does no job twice, and no job that was resolved as never done. Jobs that
# may be repeated are exempt from these two rules.

from __future__ import annotations

from collections.abc import Callable
from functools import partial

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
from ..leadership.lease_holder import LeaseHolder, LeaseStage
from ..leadership.lease_record import (
    Intent,
    LeaseRecord,
    LeaseStatus,
    decode_record,
    register_key,
)
from ..leadership.participant import Participant
from ..leadership.policy import LeadershipPolicy
from ..leadership.worker import Worker
from ..replication.acceptor import NO_BALLOT
from ..replication.journal import JOURNAL_VERSION, JournalHeader, encode_records
from ..replication.register_space import DUTY_SPACE
from ..time_units import MS, SECOND
from .cluster_process import Process, ProcessStart
from .cluster_simulation import ClusterSimulation
from .leadership_history import DutyHistory
from .leadership_worker import RandomWorker
from .scenario import FAULTS_WITH_JOURNAL, FAULTS_WITHOUT_JOURNAL, FaultKind, Scenario
from .simulated_journal import JournalWriter, SimulatedJournal, draw_fast_write_time_us

POLICY = LeadershipPolicy(enabled=True, probation_ms=1_000)
SCENARIO = Scenario(seats=5, keys=0, faults=6, fault_kinds=FAULTS_WITHOUT_JOURNAL)
DISK_SCENARIO = Scenario(
    seats=4, keys=0, faults=6, fault_kinds=(*FAULTS_WITH_JOURNAL, FaultKind.QUICK_RESTART)
)
RESPONSE_TIMEOUT_US = 300 * MS
REQUEST_LOSS = 0.02
RESPONSE_LOSS = 0.03
LATE_REQUEST_SHARE = 0.05  # Share of requests that take up to MAX_LATE_MS.
MAX_LATE_MS = 6_000
REQUEST_MS = (0.1, 3)  # Minimum and maximum time in transit.
RESPONSE_MS = (0.1, 2)  # Minimum and maximum time in transit.
MIN_REPLICAS = 2  # Majority of the three replicas.


class DutyProcess(Process):
    """One process of a simulated cluster that participates in duties. Implements `participant.ParticipantHost`.

    Attributes:
        duty_simulation: Simulation that the process belongs to.
        participant: Participant of the class `DutySimulation.participant_class`.
        duty_journal_writer: Writer of the journal of the duties' acceptor.
    """

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, DutySimulation)
        self.duty_simulation = sim
        self.participant = sim.participant_class(
            self.node, self, sim.policy, start.recovered, sim.acceptor_class
        )
        self.participant.acceptor.journaled = sim.has_disks
        self.participant.store.has_disk = sim.has_disks
        for name in sim.names:
            self.participant.directory.declare(name, "test")
        self.duty_journal_writer = JournalWriter(
            process=self,
            time=sim,
            journal=sim.duty_journals[start.seat],
            unsaved_records=lambda: encode_records(self.participant.acceptor.unsaved_records(sim.now)),
            draw_write_time_us=lambda: draw_fast_write_time_us(sim.random),
            skips_empty_writes=False,
        )

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """Call `then` when all changes so far in a register space are on its disk."""
        if space == DUTY_SPACE and self.duty_simulation.has_disks:
            self.duty_journal_writer.durable(then)
        else:
            super().call_when_durable(then, space)

    def lost(self, key: bytes) -> None:
        """Called when keyed work is lost, which does not occur in this simulation."""
        raise AssertionError(key)

    # ---- `participant.ParticipantHost` ----

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return a worker for a lease."""
        return RandomWorker(self, self.duty_simulation, lease)

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """Send a request to the receiver that compares tokens."""
        history = self.duty_simulation.histories[duty]
        self._exchange(lambda: history.receive_fenced(token, self.duty_simulation.compares), callback)

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Send an intent to the receiver that can't compare tokens."""
        history = self.duty_simulation.histories[duty]
        self._exchange(lambda: history.receive_intent(intent), callback)

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Ask the receiver that can't compare tokens whether an intent's job was done."""
        history = self.duty_simulation.histories[duty]
        self._exchange(lambda: history.receive_query(intent), callback)

    def _exchange(self, arrive: Callable[[], ReceiverResponse], callback: ResponseCallback) -> None:
        """Send a request, which may arrive very late or never, and pass the response or a timeout to `callback`."""
        # The request arrives even if its sender is paused or has crashed by then.
        random = self.sim.random
        is_answered = False

        def answer(response: ReceiverResponse) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                callback(response)

        def on_arrival() -> None:
            response = arrive()
            if random.random() > RESPONSE_LOSS:
                delay_us = round(random.uniform(*RESPONSE_MS) * MS)
                self.sim.at(self.sim.now + delay_us, self, lambda: answer(response))

        if random.random() > REQUEST_LOSS:
            is_late = random.random() < LATE_REQUEST_SHARE
            delay_ms = random.uniform(0, MAX_LATE_MS) if is_late else random.uniform(*REQUEST_MS)
            self.sim.at(self.sim.now + round(delay_ms * MS), None, on_arrival)
        self.sim.at(self.sim.now + RESPONSE_TIMEOUT_US, self, lambda: answer(NO_RESPONSE))


class DutySimulation(ClusterSimulation):
    """One simulation of a cluster with duties.

    Attributes:
        names: Names of all duties.
        histories: History of each duty.
        participant_class: Class of the participants.
        acceptor_class: Class of the duties' acceptors.
        policy: Leadership policy.
        has_disks: Whether replicas of duties have disks.
        compares: Whether the receiver compares tokens. False is a deliberate mistake.
        wrong_reads: Descriptions of reads that lacked an acknowledged update.
        duty_journals: Content of each seat's disk for duties.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        duties: int = 6,
        has_disks: bool = False,
        compares: bool = True,
        participant_class: type[Participant] = Participant,
        acceptor_class: type[DutyAcceptor] = DutyAcceptor,
        policy: LeadershipPolicy = POLICY,
        amnesia: bool = True,
        process_class: type[DutyProcess] = DutyProcess,
    ) -> None:
        """Prepare a simulation.

        :param duties: Number of duties.
        :param amnesia: See `ClusterSimulation`.
        """
        scenario = scenario or SCENARIO
        self.names = [f"duty-{number}" for number in range(duties)]
        self.histories: dict[str, DutyHistory] = {name: DutyHistory() for name in self.names}
        # Tests replace these classes by ones with a deliberate mistake.
        self.participant_class = participant_class
        self.acceptor_class = acceptor_class
        self.policy = policy
        self.has_disks = has_disks
        self.compares = compares
        self.wrong_reads: list[str] = []
        self._updates = 0
        self._jobs = 0
        self.duty_journals = [
            SimulatedJournal(JournalHeader(JOURNAL_VERSION, "f", "s", f"n{seat}"))
            for seat in range(scenario.seats)
        ]
        super().__init__(seed, scenario, process_class=process_class, amnesia=amnesia)
        if duties:
            self._plan_reads()

    def next_update_number(self) -> int:
        """Return a number for the next state update."""
        self._updates += 1
        return self._updates

    def next_job(self) -> bytes:
        """Return a new job."""
        self._jobs += 1
        return b"job %d" % self._jobs

    def start_process(self, seat: int, recovered: bool, incarnation: int | None = None) -> DutyProcess:
        """Start a process of a member, see `ClusterSimulation`."""
        process = super().start_process(seat, recovered, incarnation)
        assert isinstance(process, DutyProcess)
        if self.has_disks and self.now:
            image = self.duty_journals[seat].recover()
            if image is not None:
                process.participant.acceptor.restore(self.now, image)
        self.at(self.now, process, process.participant.start)
        return process

    def crash(self, process: Process) -> None:
        """End a process at once, see `ClusterSimulation.crash`."""
        super().crash(process)
        assert isinstance(process, DutyProcess)
        process.duty_journal_writer.crash(self.random)

    # ---- reads through the register ----

    def _plan_reads(self) -> None:
        for second in range(2, round(self.scenario.seconds) + 4):
            name = self.random.choice(self.names)
            when_s = second + self.random.random()
            seat = self.random.randrange(self.scenario.seats)
            self.at(round(when_s * SECOND), None, partial(self._read, name, seat))

    def _read(self, name: str, seat: int) -> None:
        """Read a duty's state at a member, and check that it has all updates acknowledged before the read."""
        process = self.processes[seat]
        started_us = self.now
        if not process.alive or process.stopped_until > self.now or not isinstance(process, DutyProcess):
            return

        def on_reading(reading: Reading | LeadershipError) -> None:
            if isinstance(reading, Reading) and reading.state is not None:
                missing = self.histories[name].missing_updates(reading.state, before_us=started_us)
                if missing:
                    self.wrong_reads.append(
                        f"{name}: read at n{seat}, started at {started_us} us: {missing[:3]} missing"
                    )

        process.participant.directory.read(name, on_reading)

    # ---- final check ----

    def violation(self) -> str | None:
        """Return a description of a violation, or None."""
        if self.wrong_reads:
            return self.wrong_reads[0]
        for name, history in self.histories.items():
            found = history.find_violation() or self._find_final_violation(name, history)
            if found is not None:
                return f"{name}: {found}"
        return None

    def _find_final_violation(self, name: str, history: DutyHistory) -> str | None:
        """Check that after RECOVERY_S without faults one member leads the duty with all acknowledged updates."""
        replicas = self.voting_replicas(name)
        if len(replicas) < MIN_REPLICAS:
            return None  # A majority has lost its memory at once, which only an operator can resolve.
        record = latest_record(name, replicas)
        if record is None:
            if history.effect_times_us:
                return f"no register, although {len(history.acknowledged)} updates were acknowledged"
            return "the duty was never created"
        if record.status == LeaseStatus.SUSPENDED:
            return None
        leases = self._leases(name)
        active = [
            lease for lease in leases if lease.stage is LeaseStage.ACTIVE and lease.record.term == record.term
        ]
        if len(active) != 1:
            known = [(lease.register.owner, lease.stage.value, lease.record.term) for lease in leases]
            return f"{len(active)} active leaders of {record}; leases: {known}"
        lost = history.missing_updates(active[0].state)
        return f"acknowledged updates were lost: {lost[:5]}" if lost else None

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
        """Return the live replicas of a duty that may vote on its register."""
        key = register_key(name)
        return [
            process
            for process in self.live_processes()
            if process.node.me in self.placement.replicas(key)
            and process.participant.acceptor.can_vote_on(key)
        ]


def latest_record(name: str, replicas: list[DutyProcess]) -> LeaseRecord | None:
    """Return the record with the highest ballot that these replicas have accepted, or None."""
    key = register_key(name)
    registers = [process.participant.acceptor.registers.get(key) for process in replicas]
    accepted = [
        register for register in registers if register is not None and register.accepted_ballot is not None
    ]
    if not accepted:
        return None
    record = decode_record(max(accepted, key=lambda register: register.accepted_ballot or NO_BALLOT).value)
    assert record is not None
    return record


def replicated_state(name: str, record: LeaseRecord, replicas: list[DutyProcess]) -> bytes | None:
    """Return the state of a record from the first of these replicas that has all its chunks, or None."""
    if not record.versions:
        return None
    key = register_key(name)
    for process in replicas:
        state = join(record.versions[0], partial(process.participant.store.find, key))
        if state is not None:
            return state
    return None
