"""One process of a simulated cluster: the real replication node with a simulated host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

from ..replication.journal import encode_records
from ..replication.policy import ReplicationPolicy
from ..replication.work_events import WorkEvent, WorkInHand
from ..replication.work_record import KeyDigest, WorkRequest
from ..time_units import MS
from .simulated_journal import JournalWriter, draw_write_time_us
from .simulated_request_engine import SimulatedRequestEngine

if TYPE_CHECKING:
    from .cluster_simulation import ClusterSimulation

CHECK_INTERVAL_US = 100 * MS
CORES = 1


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The parameters of the start of a process.

    Attributes:
        seat: Number of the member.
        number: Number of the process, unique in the simulation.
        incarnation: Incarnation of the node.
        recovered: Whether its acceptors may vote at once.
    """

    seat: int
    number: int
    incarnation: int
    recovered: bool


class Process:
    """One process of a member. Implements `replication.interfaces.NodeHost`.

    Attributes:
        engine_class: Class of the engine.
        sim: Simulation that the process belongs to.
        seat: Number of the member.
        number: Number of the process, unique in the simulation.
        alive: Whether the process has not crashed.
        draining: Whether the process accepts no new work.
        stopped_until: End of the current or last pause in us.
        node: The real replication node.
        engine: Simulated queue and kernel.
        journal_writer: Writer of the journal of the node's acceptor.
    """

    # Tests replace this class by one with a deliberate mistake.
    engine_class: ClassVar[type[SimulatedRequestEngine]] = SimulatedRequestEngine

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        self.sim = sim
        self.seat = start.seat
        self.number = start.number
        self.alive = True
        self.draining = False
        self.stopped_until = 0
        self.random = sim.random.random
        self.engine = self.engine_class(self)
        self.node = sim.node_class(
            f"n{start.seat}",
            start.incarnation,
            sim.placement,
            self,
            ReplicationPolicy(),
            sim.longest_window_us,
            start.recovered,
        )
        self.node.acceptor.journaled = sim.scenario.journals
        self.journal_writer = JournalWriter(
            process=self,
            time=sim,
            journal=sim.journals[start.seat],
            unsaved_records=lambda: encode_records(self.node.acceptor.unsaved_records(sim.now)),
            draw_write_time_us=lambda: draw_write_time_us(sim.random),
            skips_empty_writes=True,
        )
        self._wake_at: int | None = None

    # ---- `replication.interfaces.NodeHost` ----

    def send(self, seat: str, message: Any) -> None:
        """Send a message to the current process of a seat."""
        self.sim.network.send(self, int(seat[1:]), message)

    def reply(self, seat: str, message: Any) -> None:
        """Send a message to the process whose message is being handled."""
        self.sim.network.send(self, int(seat[1:]), message, self.sim.network.sender)

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that replies later to the process whose message is being handled now."""
        recipient = self.sim.network.sender
        return lambda message: self.sim.network.send(self, int(seat[1:]), message, recipient)

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """Call `then` when all changes so far are on the disk; at once if the scenario has no journals."""
        if self.sim.scenario.journals:
            self.journal_writer.durable(then)
        else:
            then()

    def clock(self) -> int:
        """Return the time in us."""
        return self.sim.now

    def wake(self, when: int) -> None:
        """Call the node's `run_due` at a time in us, unless an earlier call is scheduled."""
        if self._wake_at is None or when < self._wake_at:
            self._wake_at = when
            self.sim.at(when, self, self._run_due)

    def _run_due(self) -> None:
        if self._wake_at is not None and self._wake_at <= self.sim.now:
            self._wake_at = None
            self.node.run_due()

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.sim.history.counts[name] += 1

    def notify(self, event: WorkEvent) -> None:
        """Called when the node has decided something about a key."""
        self.engine.on_event(event)

    def accept_takeover(
        self, key: KeyDigest, body_digest: int, request: WorkRequest, expires_at: int
    ) -> bool:
        """Queue work that the node has taken over.

        :returns: Whether this process accepts the work.
        """
        if not self.can_accept_work():
            return False
        self.engine.accept_takeover(key, request)
        return True

    def work_in_hand(self, key: KeyDigest) -> WorkInHand:
        """Return the state of a key in this process."""
        return self.engine.in_hand(key)

    def can_accept_work(self) -> bool:
        """Return whether this process can take work over."""
        return self.engine.kernel_is_up and not self.draining

    # ---- periodic check ----

    def check_self(self) -> None:
        """Publish the status to the other members, and hand queued work over if it can't be run here."""
        self.node.publish_status(cores=CORES)
        if not self.can_accept_work():
            self.node.hand_over_unstarted_work()
        self.sim.at(self.sim.now + CHECK_INTERVAL_US, self, self.check_self)
