"""The simulated network of a cluster: messages are delayed, lost and duplicated, and links can be cut."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..time_units import MS

if TYPE_CHECKING:
    from .cluster_process import Process
    from .cluster_simulation import ClusterSimulation

MIN_DELAY_MS = 0.1
MAX_DELAY_MS = 2.0
LATE_SHARE = 0.02  # Share of messages that are delayed by up to MAX_LATE_MS more.
MAX_LATE_MS = 300

Link = tuple[int, int]  # Seat numbers of sender and recipient.


class SimulatedNetwork:
    """The links between all seats.

    Attributes:
        cut_links: Links that drop all messages.
        sender: Sender of the message that is being handled, or None.
    """

    def __init__(self, sim: ClusterSimulation) -> None:
        self._sim = sim
        self.cut_links: set[Link] = set()
        self.sender: Process | None = None

    def send(self, sender: Process, seat: int, message: Any, recipient: Process | None = None) -> None:
        """Send a message to a seat.

        :param recipient: Drop the message unless this process has the seat at delivery. None accepts any process.
        """
        random = self._sim.random
        self._sim.history.messages += 1
        if random.random() < self._sim.scenario.loss:
            return
        copies = 2 if random.random() < self._sim.scenario.duplication else 1
        for _ in range(copies):
            delay_us = round(random.uniform(MIN_DELAY_MS, MAX_DELAY_MS) * MS)
            if random.random() < LATE_SHARE:
                delay_us += round(random.uniform(0, MAX_LATE_MS) * MS)
            self._sim.at(
                self._sim.now + delay_us, None, lambda: self._deliver(sender, seat, message, recipient)
            )

    def _deliver(self, sender: Process, seat: int, message: Any, recipient: Process | None) -> None:
        process = self._sim.processes[seat]
        if (sender.seat, seat) in self.cut_links or not process.alive:
            return
        if recipient is not None and process is not recipient:
            return

        def receive() -> None:
            self.sender = sender
            process.node.receive(f"n{sender.seat}", sender.node.owner.incarnation, message)
            self.sender = None

        if process.stopped_until > self._sim.now:
            self._sim.at(process.stopped_until, process, receive)
        else:
            receive()
