"""A cluster in virtual time: real nodes on a simulated network and simulated disks, with injected faults.

The invariants are checked on the whole history of a simulation. The same class, options and seed always give the same
simulation: `ClusterSimulation(SEED).play()` replays a seed of the default scenario,
`ClusterSimulation(SEED, SCENARIO).play()` a seed of another scenario, and `Counterexample.replay` the result of
`find_counterexample`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from itertools import count
from random import Random
from typing import ClassVar

from ..membership.placement import Placement
from ..membership.policy import Seat
from ..replication.journal import JOURNAL_VERSION, JournalHeader
from ..replication.node import Node
from ..replication.work_record import KeyDigest
from ..time_units import MS, SECOND
from .cluster_history import History
from .cluster_invariants import find_violation
from .cluster_process import CHECK_INTERVAL_US, Process, ProcessStart
from .fault_injection import FaultInjector
from .scenario import Scenario
from .simulated_journal import SimulatedJournal
from .simulated_network import SimulatedNetwork
from .virtual_time import VirtualTime

WINDOW_MARGIN_US = 500 * MS
FAULTS_END_S = 5  # Time from the end of the requests until all partitions and pauses are ended.
RECOVERY_S = 8  # Time without faults before the invariants are checked.
MAX_QUICK_REPEAT_S = 0.01
MAX_REPEAT_S = 3


class ClusterSimulation(VirtualTime):
    """One simulation: members, network, disks and faults in virtual time, all drawn from one seed.

    This class checks keyed requests, which every simulated process accepts. `DutySimulation` and
    `MaintenanceSimulation` extend it to leases and to planned maintenance; their scenarios have no keyed requests.

    Attributes:
        fault_injector_class: Class of `faults`.
        seed: Seed of all random draws.
        scenario: Parameters of the simulation.
        random: The only source of randomness. The order of draws determines what a seed does.
        placement: Replicas of each key.
        longest_window_us: Retention time of a key plus a margin.
        history: Events that the invariants are checked against.
        network: Simulated network.
        journals: Content of the disk of each seat.
        processes: Last process of each seat.
        faults: Injector of the faults.
    """

    fault_injector_class: ClassVar[type[FaultInjector]] = FaultInjector

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        node_class: type[Node] = Node,
        process_class: type[Process] = Process,
        amnesia: bool = True,
    ) -> None:
        """Prepare a simulation.

        :param node_class: Class of the nodes.
        :param process_class: Class of the hosts of the nodes.
        :param amnesia: Whether an acceptor that has lost its memory waits for recovery before it votes. False is a
            deliberate mistake.
        """
        super().__init__()
        self.seed = seed
        self.scenario = scenario or Scenario()
        self.random = Random(seed)
        self.placement = Placement(
            [Seat(f"n{seat}", ("", 0), f"z{seat % 2}") for seat in range(self.scenario.seats)]
        )
        self.longest_window_us = round(self.scenario.window_s * SECOND) + WINDOW_MARGIN_US
        self.history = History()
        self.network = SimulatedNetwork(self)
        self.journals = [
            SimulatedJournal(JournalHeader(JOURNAL_VERSION, "f", "s", f"n{seat}"))
            for seat in range(self.scenario.seats)
        ]
        # Tests replace these classes by ones with a deliberate mistake.
        self.node_class = node_class
        self._process_class = process_class
        self._has_amnesia = amnesia
        self._process_numbers = count(1)
        self.processes = [self.start_process(seat, recovered=True) for seat in range(self.scenario.seats)]
        self.faults = self.fault_injector_class(self)
        self._plan_requests()
        self.faults.plan()

    # ---- processes ----

    def start_process(self, seat: int, recovered: bool, incarnation: int | None = None) -> Process:
        """Start a process of a member.

        :param recovered: Whether its acceptors may vote at once.
        :param incarnation: Incarnation of the node. None derives it from the clock.
        """
        number = next(self._process_numbers)
        if incarnation is None:
            incarnation = self.now + 1 + number
        process = self._process_class(self, ProcessStart(seat, number, incarnation, recovered))
        if self.scenario.journals and self.now:
            image = self.journals[seat].recover()
            if image is not None:
                process.node.restore(image)
        self.at(self.now, process, process.node.start)
        self.at(self.now + CHECK_INTERVAL_US, process, process.check_self)
        return process

    def crash(self, process: Process) -> None:
        """End a process at once. Its memory is lost, and its unfinished write may be on the disk in part."""
        process.alive = False
        self.history.crashed_at[process.number] = self.now
        process.journal_writer.crash(self.random)

    def restart_later(self, seat: int, when: int, incarnation: int | None = None) -> None:
        """Start a new process of a member at a time in us."""

        def restart() -> None:
            self.processes[seat] = self.start_process(seat, not self._has_amnesia, incarnation)

        self.at(when, None, restart)

    # ---- requests ----

    def _plan_requests(self) -> None:
        random = self.random
        for number in range(self.scenario.keys):
            key = b"k%d" % number
            at_s = random.uniform(0, self.scenario.seconds)
            self._plan_request(key, at_s)
            while random.random() < self.scenario.repeats:
                at_s += random.choice(
                    (0.0, random.uniform(0, MAX_QUICK_REPEAT_S), random.uniform(0, MAX_REPEAT_S))
                )
                self._plan_request(key, at_s)

    def _plan_request(self, key: KeyDigest, at_s: float) -> None:
        seat = self.random.randrange(self.scenario.seats)

        def send() -> None:
            process = self.processes[seat]
            if process.alive:
                self.at(self.now, process, partial(process.engine.receive_request, key))

        self.at(round(at_s * SECOND), None, send)

    # ---- run and check ----

    def play(self) -> str | None:
        """Run the simulation to its end, and check its invariants.

        :returns: Description of a violation, or None.
        """
        self.run(round((self.scenario.seconds + FAULTS_END_S) * SECOND))
        self.end_faults()
        self.run(self.now + RECOVERY_S * SECOND)
        return self.violation()

    def end_faults(self) -> None:
        """Restore all links, and resume all paused processes."""
        self.network.cut_links.clear()
        for process in self.processes:
            process.stopped_until = 0

    def violation(self) -> str | None:
        """Return a description of a violation at the end, or None."""
        return find_violation(self)


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A seed whose simulation violates an invariant.

    Attributes:
        seed: Seed of the simulation.
        violation: Description of the violation.
        simulation: Creates the simulation of a seed. The repr of a `functools.partial` names its class and options.
    """

    seed: int
    violation: str
    simulation: Callable[[int], ClusterSimulation]

    def replay(self) -> ClusterSimulation:
        """Run the simulation again.

        :returns: The finished simulation with its `history` and the log of its `faults`.
        """
        simulation = self.simulation(self.seed)
        simulation.play()
        return simulation


def find_counterexample(
    seeds: Iterable[int], simulation: Callable[[int], ClusterSimulation]
) -> Counterexample | None:
    """Run the simulations of these seeds until one violates an invariant.

    :param simulation: Creates the simulation of a seed.
    :returns: The first counterexample, or None.
    """
    for seed in seeds:
        violation = simulation(seed).play()
        if violation is not None:
            return Counterexample(seed, violation, simulation)
    return None
