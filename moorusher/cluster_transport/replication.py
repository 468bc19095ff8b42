"""Connects one runner's node of the cluster to the request engine, the journals and the connections to other members.

The protocols themselves are in the package `moorusher.replication`, which does no I/O.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

from ..config.fleet import FleetConfig
from ..core.idempotency_keys import window_end
from ..core.request_engine import RequestEngine
from ..membership.placement import Placement
from ..replication.acceptor import Acceptor
from ..replication.journal import JournalImage
from ..replication.messages import Message
from ..replication.node import Node
from ..replication.register_space import WORK_SPACE
from ..storage.journal_files import OpenedJournal, open_journal
from ..storage.journal_writer import JournalWriter
from ..time_units import MS
from .keyed_work import KeyedWorkCoordinator
from .peer_links import PeerLinks
from .replication_status import cluster_document, work_document

log = logging.getLogger("moorusher")

SELF_CHECK_INTERVAL_US = 100 * MS
# Time without a connection to the kernel after which this runner hands over keyed work that it has not started to other
# runners.
KERNEL_LOSS_TIMEOUT_US = 300 * MS
NS_PER_US = 1_000


class ReplicationService(KeyedWorkCoordinator):
    """This runner as a member of its cluster; the host of its node (`replication.interfaces.NodeHost`).

    Attributes:
        reactor: Twisted's reactor.
        config: Settings of the fleet.
        name: This runner's seat.
        node: Registers, membership and messages.
        links: Connections to the other members.
        journals: Journal writers by the number of the register space whose acceptor writes there.
        predecessor: Incarnation of the process that this one replaces; 0 if none.
        leadership, namespaces, forecast, maintenance: Optional components, built by the server; None if disabled.
    """

    def __init__(
        self,
        reactor: Any,
        core: RequestEngine,
        config: FleetConfig,
        name: str,
        accepts_work: Callable[[], bool],
        random: Callable[[], float],
    ) -> None:
        """:param accepts_work: Returns whether the runner can take work over.
        :param random: Returns a random number from 0 to 1.
        :raises ConfigError: The folder of the journals can't be read.
        """
        super().__init__(core, config.policy.serves_without_majority)
        self.reactor = reactor
        self.config = config
        self.name = name
        self._accepts_work = accepts_work
        self._random = random
        self.leadership: Any = None
        self.namespaces = None
        self.forecast: Any = None
        self.maintenance: Any = None
        placement = Placement(config.seats, config.policy.replicas)
        self._seats_digest = placement.digest()
        self.journals: dict[int, JournalWriter] = {}
        self._journal_image: JournalImage | None = None
        incarnation = time.time_ns() // NS_PER_US
        journal = open_journal(config, "", self._seats_digest, name, incarnation)
        if journal is not None:
            incarnation = journal.incarnation
            self._journal_image = journal.image
        self.node = Node(name, incarnation, placement, self, config.policy, self.longest_window_us())
        if journal is not None:
            self.attach_journal(journal, WORK_SPACE, self.node.acceptor)
        self.links = PeerLinks(reactor, core, config, self._seats_digest, self.node)
        self._wake_at_us: int | None = None  # time of the next call of the node's `run_due`
        self.predecessor = 0
        self._handed_over = False  # whether unstarted keyed work is being handed over
        core.hooks.coordinator = self
        core.keys.observers.append(self)

    # ---- life cycle ----

    def start(self) -> None:
        """Restore the journal, and start the optional components and the node."""
        self.core.start_turn()
        if self._journal_image is not None:
            self.node.restore(self._journal_image)
            self._journal_image = None
        for part in (self.leadership, self.namespaces, self.forecast, self.maintenance):
            if part is not None:
                part.start()
        self.node.publish_status(self.predecessor, self.core.settings.cores)
        self.node.start()
        self._check_self()

    def close(self) -> None:
        """Close connections, journals and stores at the end of the process."""
        self.links.close()
        for journal in self.journals.values():
            journal.close()
        if self.namespaces is not None:
            self.namespaces.close()

    def reconfigure(self, config: FleetConfig) -> None:
        """Apply new addresses of the same seats, and a longer idempotency window if the classes have one now."""
        self.links.set_addresses(config)
        self.node.extend_window(self.longest_window_us())

    def longest_window_us(self) -> int:
        """Return the longest idempotency window of a request class, with its margin."""
        return window_end(0, self.core.state.longest_key_window_ms())

    def _check_self(self) -> None:
        # Runs periodically: publishes this runner's status. While the runner can't serve, hands over keyed work that it
        # has not started.
        core = self.core
        is_replacing = core.key_claims.is_successor and core.key_claims.peer is not None
        if self.maintenance is not None:
            self.maintenance.report_load()
        self.node.publish_status(self.predecessor if is_replacing else 0, core.settings.cores)
        if self._must_hand_over():
            self._hand_over()
        else:
            self._handed_over = False
        if not self.links.closed:
            core.alarms.at(core.clock.now + SELF_CHECK_INTERVAL_US, self._check_self)

    def _must_hand_over(self) -> bool:
        core = self.core
        if core.drain_state.draining or (self.maintenance is not None and self.maintenance.is_out_of_service):
            return True
        lost_at_us = core.kernel_status.link_lost_at
        is_lost = lost_at_us is not None and core.clock.now - lost_at_us >= KERNEL_LOSS_TIMEOUT_US
        return is_lost and core.ready

    def _hand_over(self) -> None:
        if not self._handed_over:
            log.info("fleet: handing over keyed work that has not started to other runners")
            if self.forecast is not None:
                self.forecast.report_now()
        self._handed_over = True
        self.node.hand_over_unstarted_work()
        if self.leadership is not None:
            self.leadership.participant.leave()

    @property
    def is_busy(self) -> bool:
        """Whether this runner still has unfinished work or leases of the cluster."""
        leads = self.leadership is not None and self.leadership.participant.leases.by_key
        return bool(self.node.unfinished or leads)

    # ---- journals ----

    def open_part_journal(self, part: str) -> OpenedJournal | None:
        """Open the journal of a component other than keyed work; None without journals."""
        incarnation = self.node.owner.incarnation
        journal = open_journal(self.config, part, self._seats_digest, self.name, incarnation)
        if journal is not None and journal.incarnation > incarnation:
            # The file records a later incarnation of this seat than the clock suggests.
            self.node.raise_incarnation(journal.incarnation)
        return journal

    def attach_journal(self, journal: OpenedJournal, space: int, acceptor: Acceptor) -> None:
        """Write an acceptor's promises to a journal before they are sent. The acceptor can't vote while that fails."""
        writer = JournalWriter(self.reactor, journal.folder, acceptor, self.now, self.count)
        self.journals[space] = writer
        if not journal.is_written:
            writer.fail(journal.reason)

    # ---- for operators ----

    def bootstrap(self, accept_loss: bool) -> str | None:
        """Bootstrap the node by an operator's order; see `Node.bootstrap`.

        :returns: None, or the reason why it is not possible.
        """
        self.core.start_turn()
        return self.node.bootstrap(accept_loss)

    def status(self) -> dict[str, object]:
        """Return the document of `GET /fleet`."""
        now = self.now()
        counters = self.core.counters.total
        return cluster_document(self.config.name, self.node, self.journals.values(), counters, now)

    def work_status(self) -> dict[str, object]:
        """Return the document of `GET /fleet/work`."""
        return work_document(self.node, self.now())

    # ---- NodeHost ----

    def send(self, seat: str, message: Message) -> None:
        """See `PeerLinks`."""
        self.links.send(seat, message)

    def reply(self, seat: str, message: Message) -> None:
        """See `PeerLinks`."""
        self.links.reply(seat, message)

    def replier(self, seat: str) -> Callable[[Message], None]:
        """See `PeerLinks`."""
        return self.links.replier(seat)

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.call_when_durable`."""
        journal = self.journals.get(space)
        if journal is None:
            then()
        else:
            journal.durable(then)

    def random(self) -> float:
        """Return a random number from 0 to 1."""
        return self._random()

    def clock(self) -> int:
        """Return the time in us at the start of this turn of the event loop."""
        return self.core.clock.now

    def now(self) -> int:
        """Read the clock and return the time in us."""
        self.core.start_turn()
        return self.core.clock.now

    def wake(self, when: int) -> None:
        """Schedule the node's `run_due` for a time in us."""
        if self._wake_at_us is None or when < self._wake_at_us:
            self._wake_at_us = when
            self.core.alarms.at(when, self._wake)

    def _wake(self) -> None:
        if self._wake_at_us is not None and self._wake_at_us <= self.core.clock.now:
            self._wake_at_us = None
            self.node.run_due()

    def can_accept_work(self) -> bool:
        """Return whether this runner can take over work and duties of the fleet."""
        core = self.core
        return (
            core.ready
            and not core.drain_state.shutting_down
            and core.kernel_status.link_lost_at is None
            and self._accepts_work()
        )
