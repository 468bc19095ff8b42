"""One runner's part in a fleet, carried out: the core's seam to what the runners settle, and the links among them.

What is settled how is decided in `fleet/`; `cluster_transport/peers.py` has the connections.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

from ..config.fleet import FleetConfig
from ..core.clock import MS
from ..core.idempotency_keys import window_end
from ..core.request_engine import Decider
from ..membership.placement import Placement
from ..replication.acceptor import Acceptor
from ..replication.journal import JournalImage
from ..replication.messages import PROTOCOL_VERSION, Hello, Message
from ..replication.node import Node
from ..replication.register_space import WORK_SPACE
from ..storage.journal_files import JournalWriter, OpenedJournal, open_journal
from .keyed_work import KeyedWorkCoordinator
from .peers import PeerConnection, PeerDialer

log = logging.getLogger("moorusher")

SELF_CHECK_US = 100 * MS  # at this runner's own state
KERNEL_LOST_US = 300 * MS  # without its link, before what is held here goes to others


class ReplicationService(KeyedWorkCoordinator):
    """Carries out one node's part: `fleet.node.Host` towards the fleet, `KeyCoordinator` towards the core."""

    def __init__(
        self,
        reactor: Any,
        core: Decider,
        config: FleetConfig,
        name: str,
        fit: Callable[[], bool],
        random: Callable[[], float],
    ) -> None:
        super().__init__(core, config.policy.alone)
        self.reactor, self.config, self.name = reactor, config, name
        self._accepts_work, self._random = fit, random
        seats = Placement(config.seats, config.policy.copies)
        self.digest = seats.digest()
        inc = time.time_ns() // 1000
        self._image: JournalImage | None = None
        self.journals: dict[int, JournalWriter] = {}  # by the space whose keeper writes there
        self.leadership: Any = None  # imported only where they are set
        self.namespaces: Any = None  # customers' namespaces, where there are some
        self.forecast: Any = None
        self.maintenance: Any = None  # machines' outages, where they are settled among the runners
        found = open_journal(config, "", self.digest, name, inc)
        if found is not None:
            inc, self._image = found.incarnation, found.image
        self.node = Node(name, inc, seats, self, config.policy, self.longest_window_us())
        if found is not None:
            self.attach_journal(found, WORK_SPACE, self.node.acceptor)
        self._dialers = {
            seat.name: PeerDialer(self, seat.name, seat.address) for seat in config.seats if seat.name != name
        }
        self.incoming: set[PeerConnection] = set()  # connections that others made
        self._current_peer: PeerConnection | None = None
        self._to_flush: list[PeerConnection] = []
        self._wake_at: int | None = None
        self.predecessor = 0  # the process of this seat that this one replaces
        self._handed_over = False  # what is held here is for others to take
        self.closed = False
        core.coordinator = self
        core.keys.told.append(self)

    def start(self) -> None:
        self.core.touch()
        if self._image is not None:
            self.node.restore(self._image)
            self._image = None
        if self.leadership is not None:
            self.leadership.start()
        if self.namespaces is not None:
            self.namespaces.start()
        if self.forecast is not None:
            self.forecast.start()
        if self.maintenance is not None:
            self.maintenance.start()
        self.node.publish_status(self.predecessor, self.core.settings.cores)
        self.node.start()
        self._check_self()

    def open_part_journal(self, part: str) -> OpenedJournal | None:
        """The journal of a part of this runner beside keyed work. Its file may show that this life is a later one."""
        found = open_journal(self.config, part, self.digest, self.name, self.node.owner.incarnation)
        if found is not None and found.incarnation > self.node.owner.incarnation:
            self.node.raise_incarnation(found.incarnation)
        return found

    def attach_journal(self, found: OpenedJournal, space: int, keeper: Acceptor) -> None:
        """What this keeper promises is written there before it is said. It has no vote while nothing can be."""
        disk = self.journals[space] = JournalWriter(self.reactor, found.folder, keeper, self.now, self.count)
        if not found.is_written:
            disk.fail(found.reason)

    def longest_window_us(self) -> int:
        """The longest window, with its margin, in us."""
        return window_end(0, max(self.core.keyed_windows(), default=0.0))

    # ---- links ----

    def hello(self) -> Hello:
        return Hello(PROTOCOL_VERSION, self.config.name, self.digest, self.name, self.node.owner.incarnation)

    def check_hello(self, peer: PeerConnection, m: Hello) -> str | None:
        """Why it is not taken for one of this fleet."""
        if m.version != PROTOCOL_VERSION:
            return f"version {m.version} of the messages, and {PROTOCOL_VERSION} is spoken here"
        if m.fleet != self.config.name:
            return f"another fleet, {m.fleet!r}"
        if m.seats_digest != self.digest:
            return "other seats in its file"
        if m.seat not in self.node.detector.by_seat or (m.seat == self.name and not peer.is_outgoing):
            return f"no seat for it, {m.seat!r}"
        if not peer.is_outgoing:
            peer.send_now([self.hello()])
        elif m.seat != peer.seat:
            return f"{m.seat!r} answers where {peer.seat!r} should"
        peer.seat, peer.incarnation = m.seat, m.incarnation
        there = self._dialers[m.seat].peer
        if (
            there is not None and 0 < there.incarnation < m.incarnation
        ):  # another process has the seat: what we say is for that one
            there.transport.loseConnection()
        self.node.detector.record_contact(m.seat, m.incarnation)
        return None

    def connected(self, peer: PeerConnection) -> None:
        self._dialers[peer.seat].connected(peer)

    def rejected_by_peer(self, peer: PeerConnection, why: str) -> None:
        log.error("fleet: %s does not take this runner for one of its fleet: %s", peer.seat, why)
        self.count("fleet links: refused by another")
        peer.rejected = True
        peer.transport.loseConnection()

    def disconnected(self, peer: PeerConnection) -> None:
        self.incoming.discard(peer)
        if peer.is_outgoing and self._dialers[peer.seat].peer is peer:
            if (
                not peer.incarnation and not peer.rejected
            ):  # taken and dropped at once: nobody is behind that address
                self.connect_failed(peer.seat, refused=True)
            self._dialers[peer.seat].disconnected()

    def connect_failed(self, seat: str, refused: bool) -> None:
        if not self.closed:
            self.node.detector.suspect(seat, refused)

    def receive(self, peer: PeerConnection, message: Message) -> None:
        self._current_peer = peer
        try:
            self.node.receive(peer.seat, peer.incarnation, message)
        except Exception:  # a fault of ours over one message must not end the link, nor the program
            log.exception("fleet: %s sent %s", peer.seat, message)
            self.count("faults")
        finally:
            self._current_peer = None

    def now(self) -> int:
        self.core.touch()
        return self.core.clock.now

    def durable(self, then: Callable[[], None], space: int) -> None:
        if (disk := self.journals.get(space)) is None:
            then()
        else:
            disk.durable(then)

    def replier(self, seat: str) -> Callable[[Message], None]:
        if self._current_peer is not None and self._current_peer.seat == seat:
            return self._current_peer.send
        return lambda message: self.send(seat, message)

    def flush_soon(self, peer: PeerConnection) -> None:
        if not self._to_flush:
            self.reactor.callLater(0, self.flush)
        if len(peer._outgoing) == 1:
            self._to_flush.append(peer)

    def flush(self) -> None:
        peers, self._to_flush = self._to_flush, []
        for peer in peers:
            peer.flush()

    def close(self) -> None:
        self.flush()
        self.closed = True
        for disk in self.journals.values():
            disk.close()
        if self.namespaces is not None:
            self.namespaces.close()
        for dial in self._dialers.values():
            if dial.peer is not None:
                dial.peer.transport.loseConnection()
        for peer in list(self.incoming):
            peer.transport.loseConnection()

    def reconfigure(self, config: FleetConfig) -> None:
        """New addresses of the same seats."""
        for seat in config.seats:
            if seat.name in self._dialers:
                self._dialers[seat.name].address = seat.address
        self.node.extend_window(self.longest_window_us())

    # ---- this runner's own state ----

    def _check_self(self) -> None:
        core = self.core
        predecessor = self.predecessor if core.claims.first and core.claims.peer is not None else 0
        if self.maintenance is not None:
            self.maintenance.look()
        self.node.publish_status(predecessor, core.settings.cores)
        gone = core.link_since is not None and core.clock.now - core.link_since >= KERNEL_LOST_US
        if core.draining or (gone and core.ready) or (self.maintenance is not None and self.maintenance.away):
            if not self._handed_over:
                log.info("fleet: what is held here and has not begun goes to others")
            if not self._handed_over and self.forecast is not None:
                self.forecast.leave()
            self._handed_over = True
            self.node.hand_over_held()
            if self.leadership is not None:
                self.leadership.participant.leave()
        else:
            self._handed_over = False
        if not self.closed:
            core.alarms.at(core.clock.now + SELF_CHECK_US, self._check_self)

    # ---- for operators ----

    def bootstrap(self, lost: bool) -> str | None:
        """The reason, where the fleet can't be taken for a new one, or what it has lost for nothing."""
        self.core.touch()
        return self.node.bootstrap(lost)

    def status(self) -> dict[str, object]:
        self.core.touch()
        node, now = self.node, self.core.clock.now
        members = [
            {
                "seat": m.seat,
                "zone": node.placement.by_name[m.seat].zone,
                "state": m.state.name.lower(),
                "since_ms": (now - m.state_since) / MS,
                "fit": m.accepts_work,
                "inc": m.incarnation,
                "heard_ms": None if m.last_heard < 0 else (now - m.last_heard) / MS,
            }
            for m in node.detector.by_seat.values()
        ]
        return {
            "name": self.config.name,
            "seat": self.name,
            "members": members,
            "remembers": all(space.acceptor.recovered for space in node.spaces.values()),
            "journal": "; ".join(filter(None, (d.failure for d in self.journals.values()))) or "written"
            if self.journals
            else None,
            "health": node.detector.health,
            "keeps": len(node.acceptor.registers),
            "in_hand": len(node.tenures),
            "counters": {k: v for k, v in self.core.counters.total.items() if k.startswith("fleet")},
        }

    def work_status(self) -> dict[str, object]:
        """Keys that this runner has in hand or waits for, without their bodies and tokens."""
        self.core.touch()
        now = self.core.clock.now
        return {
            "work": [
                {
                    "key": t.key.hex()[:12],
                    "class": None if t.request is None else t.request.request_class,
                    "stage": t.stage.value,
                    "owner": None if t.owner is None else t.owner.seat,
                    "attempt": t.attempt,
                    "left_ms": (t.expires_at - now) / MS,
                }
                for t in list(self.node.tenures.values())[:1000]
            ]
        }

    @property
    def is_busy(self) -> bool:
        return bool(
            self.node.unfinished
            or (self.leadership is not None and self.leadership.participant.leases.by_key)
        )

    # ---- for the node: `Host` ----

    def send(self, seat: str, message: Message) -> None:
        if seat in self._dialers:
            self._dialers[seat].send(message)

    def reply(self, seat: str, message: Message) -> None:
        if self._current_peer is not None and self._current_peer.seat == seat:
            self._current_peer.send(message)
        else:
            self.send(seat, message)

    def random(self) -> float:
        return self._random()

    def clock(self) -> int:
        return self.core.clock.now

    def wake(self, when: int) -> None:
        if self._wake_at is None or when < self._wake_at:
            self._wake_at = when
            self.core.alarms.at(when, self._ring)

    def _ring(self) -> None:
        if self._wake_at is not None and self._wake_at <= self.core.clock.now:
            self._wake_at = None
            self.node.run_due()

    def fit(self) -> bool:
        return (
            self.core.ready
            and not self.core.leaving
            and self.core.link_since is None
            and self._accepts_work()
        )
