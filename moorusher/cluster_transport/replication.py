"""One runner's part in a cluster, carried out: between the core, the node, its journals and the connections.

What is settled, and how, is decided in `replication/`.
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

SELF_CHECK_US = 100 * MS  # so often this runner's own state is looked at
KERNEL_LOST_US = 300 * MS  # without the kernel, until what is held here goes to others
NS_PER_US = 1_000


class ReplicationService(KeyedWorkCoordinator):
    """Carries out one node's part: `replication.interfaces.NodeHost` towards the node.

    Attributes:
        config: `FleetConfig`.
        name: `str`, this runner's seat.
        node: `Node`.
        links: `PeerLinks`, the connections.
        journals: by the number of the space whose acceptor writes there.
        predecessor: `int`, incarnation of the process that this one replaces; else 0.
        leadership, namespaces, forecast, maintenance: parts of the cluster that this runner takes part in, each None
            where it is not set; they are built, and imported, by the server.
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
        """`accepts_work`: the runner can take work over. `random`: from 0 to 1.

        Raises ConfigError where the folder of the journals can't be read.
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
        self._digest = placement.digest()
        self.journals: dict[int, JournalWriter] = {}
        self._image: JournalImage | None = None
        incarnation = time.time_ns() // NS_PER_US
        journal = open_journal(config, "", self._digest, name, incarnation)
        if journal is not None:
            incarnation = journal.incarnation
            self._image = journal.image
        self.node = Node(name, incarnation, placement, self, config.policy, self.longest_window_us())
        if journal is not None:
            self.attach_journal(journal, WORK_SPACE, self.node.acceptor)
        self.links = PeerLinks(reactor, core, config, self._digest, self.node)
        self._wake_at: int | None = None  # us; the node is woken then
        self.predecessor = 0
        self._handed_over = False  # what is held here is for others to take
        core.hooks.coordinator = self
        core.keys.observers.append(self)

    # ---- life ----

    def start(self) -> None:
        """Restores what the journal has, and starts the node and its parts."""
        self.core.begin_turn()
        if self._image is not None:
            self.node.restore(self._image)
            self._image = None
        for part in (self.leadership, self.namespaces, self.forecast, self.maintenance):
            if part is not None:
                part.start()
        self.node.publish_status(self.predecessor, self.core.settings.cores)
        self.node.start()
        self._check_self()

    def close(self) -> None:
        """The process ends."""
        self.links.close()
        for journal in self.journals.values():
            journal.close()
        if self.namespaces is not None:
            self.namespaces.close()

    def reconfigure(self, config: FleetConfig) -> None:
        """New addresses of the same seats, and maybe a longer window."""
        self.links.set_addresses(config)
        self.node.extend_window(self.longest_window_us())

    def longest_window_us(self) -> int:
        """The longest window of a class of requests, with its margin."""
        return window_end(0, self.core.state.longest_key_window_ms())

    def _check_self(self) -> None:
        """Publishes this runner's status; hands held work over while it can't serve."""
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
            core.alarms.at(core.clock.now + SELF_CHECK_US, self._check_self)

    def _must_hand_over(self) -> bool:
        core = self.core
        if core.drain_state.draining or (self.maintenance is not None and self.maintenance.is_out):
            return True
        lost_at = core.kernel_status.link_lost_at
        is_lost = lost_at is not None and core.clock.now - lost_at >= KERNEL_LOST_US
        return is_lost and core.ready

    def _hand_over(self) -> None:
        if not self._handed_over:
            log.info("fleet: keyed work that has not started goes to others")
            if self.forecast is not None:
                self.forecast.leave()
        self._handed_over = True
        self.node.hand_over_held()
        if self.leadership is not None:
            self.leadership.participant.leave()

    @property
    def is_busy(self) -> bool:
        """Something is under way that must not end with this process."""
        leads = self.leadership is not None and self.leadership.participant.leases.by_key
        return bool(self.node.unfinished or leads)

    # ---- journals ----

    def open_part_journal(self, part: str) -> OpenedJournal | None:
        """The journal of a part beside keyed work, or None where there are no journals.

        Its file may show that this process is a later incarnation than it thought.
        """
        incarnation = self.node.owner.incarnation
        journal = open_journal(self.config, part, self._digest, self.name, incarnation)
        if journal is not None and journal.incarnation > incarnation:
            self.node.raise_incarnation(journal.incarnation)
        return journal

    def attach_journal(self, journal: OpenedJournal, space: int, acceptor: Acceptor) -> None:
        """What this acceptor promises is written there before it is sent; it has no vote while nothing can be."""
        writer = JournalWriter(self.reactor, journal.folder, acceptor, self.now, self.count)
        self.journals[space] = writer
        if not journal.is_written:
            writer.fail(journal.reason)

    # ---- for operators ----

    def bootstrap(self, accept_loss: bool) -> str | None:
        """An operator's word; see `Node.bootstrap`. Returns the reason where that can't be."""
        self.core.begin_turn()
        return self.node.bootstrap(accept_loss)

    def status(self) -> dict[str, object]:
        """What `GET /fleet` tells."""
        now = self.now()
        counters = self.core.counters.total
        return cluster_document(self.config.name, self.node, self.journals.values(), counters, now)

    def work_status(self) -> dict[str, object]:
        """What `GET /fleet/work` tells."""
        return work_document(self.node, self.now())

    # ---- for the node: `NodeHost` ----

    def send(self, seat: str, message: Message) -> None:
        """To whichever process has the seat."""
        self.links.send(seat, message)

    def reply(self, seat: str, message: Message) -> None:
        """To the process whose message is being handled."""
        self.links.reply(seat, message)

    def replier(self, seat: str) -> Callable[[Message], None]:
        """`reply`, for later."""
        return self.links.replier(seat)

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.call_when_durable`."""
        journal = self.journals.get(space)
        if journal is None:
            then()
        else:
            journal.durable(then)

    def random(self) -> float:
        """From 0 to 1."""
        return self._random()

    def clock(self) -> int:
        """us, as of this turn of the loop."""
        return self.core.clock.now

    def now(self) -> int:
        """us, read anew."""
        self.core.begin_turn()
        return self.core.clock.now

    def wake(self, when: int) -> None:
        """Calls the node's `run_due` then."""
        if self._wake_at is None or when < self._wake_at:
            self._wake_at = when
            self.core.alarms.at(when, self._wake)

    def _wake(self) -> None:
        if self._wake_at is not None and self._wake_at <= self.core.clock.now:
            self._wake_at = None
            self.node.run_due()

    def can_accept_work(self) -> bool:
        """This runner can take work over."""
        core = self.core
        return (
            core.ready
            and not core.drain_state.shutting_down
            and core.kernel_status.link_lost_at is None
            and self._accepts_work()
        )
