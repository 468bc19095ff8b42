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
from ..core.request_engine import RequestEngine
from ..membership.placement import Placement
from ..replication.acceptor import Acceptor
from ..replication.journal import JournalImage
from ..replication.messages import PROTOCOL_VERSION, Hello, Message
from ..replication.node import Node
from ..replication.register_space import WORK
from ..storage.journal_files import Disk, Opened, journal
from .keyed_work import HeldWork
from .peers import Dial, Peer

log = logging.getLogger("moorusher")

LOOK = 100 * MS  # at this runner's own state
KERNEL_GONE = 300 * MS  # without its link, before what is held here goes to others


class FleetLink(HeldWork):
    """Carries out one node's part: `fleet.node.Host` towards the fleet, `KeyCoordinator` towards the core."""

    def __init__(
        self,
        reactor: Any,
        core: RequestEngine,
        config: FleetConfig,
        name: str,
        fit: Callable[[], bool],
        random: Callable[[], float],
    ) -> None:
        super().__init__(core, config.policy.alone)
        self.reactor, self.config, self.name = reactor, config, name
        self._fit, self._random = fit, random
        seats = Placement(config.seats, config.policy.copies)
        self.digest = seats.digest()
        inc = time.time_ns() // 1000
        self._image: JournalImage | None = None
        self.disks: dict[int, Disk] = {}  # by the space whose keeper writes there
        self.duties: Any = None  # imported only where they are set
        self.rules: Any = None  # customers' namespaces, where there are some
        self.forecast: Any = None
        self.outage: Any = None  # machines' outages, where they are settled among the runners
        found = journal(config, "", self.digest, name, inc)
        if found is not None:
            inc, self._image = found.inc, found.image
        self.node = Node(name, inc, seats, self, config.policy, self.longest())
        if found is not None:
            self.write_to(found, WORK, self.node.acceptor)
        self._dials = {
            seat.name: Dial(self, seat.name, seat.address) for seat in config.seats if seat.name != name
        }
        self.open: set[Peer] = set()  # connections that others made
        self._hearing: Peer | None = None
        self._flush: list[Peer] = []
        self._woken: int | None = None
        self.predecessor = 0  # the process of this seat that this one replaces
        self._away = False  # what is held here is for others to take
        self.closed = False
        if config.duties.on:
            from .leadership import DutyLink

            self.duties = DutyLink(self, config.duties)
        core.hooks.coordinator = self
        core.keys.observers.append(self)

    def start(self) -> None:
        self.core.begin_turn()
        if self._image is not None:
            self.node.restore(self._image)
            self._image = None
        if self.duties is not None:
            self.duties.start()
        if self.rules is not None:
            self.rules.start()
        if self.forecast is not None:
            self.forecast.start()
        if self.outage is not None:
            self.outage.start()
        self.node.publish_status(self.predecessor, self.core.settings.cores)
        self.node.start()
        self._look()

    def journal_of(self, part: str) -> Opened | None:
        """The journal of a part of this runner beside keyed work. Its file may show that this life is a later one."""
        found = journal(self.config, part, self.digest, self.name, self.node.owner.incarnation)
        if found is not None and found.inc > self.node.owner.incarnation:
            self.node.raise_incarnation(found.inc)
        return found

    def write_to(self, found: Opened, space: int, keeper: Acceptor) -> None:
        """What this keeper promises is written there before it is said. It has no vote while nothing can be."""
        disk = self.disks[space] = Disk(self.reactor, found.folder, keeper, self.now, self.count)
        if not found.written:
            disk.fails(found.reason)

    def longest(self) -> int:
        """The longest window, with its margin, in us."""
        return window_end(0, self.core.state.longest_key_window_ms())

    # ---- links ----

    def hello(self) -> Hello:
        return Hello(PROTOCOL_VERSION, self.config.name, self.digest, self.name, self.node.owner.incarnation)

    def greeted(self, peer: Peer, m: Hello) -> str | None:
        """Why it is not taken for one of this fleet."""
        if m.version != PROTOCOL_VERSION:
            return f"version {m.version} of the messages, and {PROTOCOL_VERSION} is spoken here"
        if m.fleet != self.config.name:
            return f"another fleet, {m.fleet!r}"
        if m.seats_digest != self.digest:
            return "other seats in its file"
        if m.seat not in self.node.detector.by_seat or (m.seat == self.name and not peer.dialled):
            return f"no seat for it, {m.seat!r}"
        if not peer.dialled:
            peer.put([self.hello()])
        elif m.seat != peer.seat:
            return f"{m.seat!r} answers where {peer.seat!r} should"
        peer.seat, peer.inc = m.seat, m.incarnation
        there = self._dials[m.seat].peer
        if (
            there is not None and 0 < there.inc < m.incarnation
        ):  # another process has the seat: what we say is for that one
            there.transport.loseConnection()
        self.node.detector.record_contact(m.seat, m.incarnation)
        return None

    def made(self, peer: Peer) -> None:
        self._dials[peer.seat].up(peer)

    def refused(self, peer: Peer, why: str) -> None:
        log.error("fleet: %s does not take this runner for one of its fleet: %s", peer.seat, why)
        self.count("fleet links: refused by another")
        peer.told_no = True
        peer.transport.loseConnection()

    def hung_up(self, peer: Peer) -> None:
        self.open.discard(peer)
        if peer.dialled and self._dials[peer.seat].peer is peer:
            if not peer.inc and not peer.told_no:  # taken and dropped at once: nobody is behind that address
                self.unreached(peer.seat, refused=True)
            self._dials[peer.seat].down()

    def unreached(self, seat: str, refused: bool) -> None:
        if not self.closed:
            self.node.detector.suspect(seat, refused)

    def heard(self, peer: Peer, message: Message) -> None:
        self._hearing = peer
        try:
            self.node.receive(peer.seat, peer.inc, message)
        except Exception:  # a fault of ours over one message must not end the link, nor the program
            log.exception("fleet: %s sent %s", peer.seat, message)
            self.count("faults")
        finally:
            self._hearing = None

    def now(self) -> int:
        self.core.begin_turn()
        return self.core.clock.now

    def durable(self, then: Callable[[], None], space: int) -> None:
        if (disk := self.disks.get(space)) is None:
            then()
        else:
            disk.durable(then)

    def replier(self, seat: str) -> Callable[[Message], None]:
        if self._hearing is not None and self._hearing.seat == seat:
            return self._hearing.say
        return lambda message: self.send(seat, message)

    def flush_soon(self, peer: Peer) -> None:
        if not self._flush:
            self.reactor.callLater(0, self.flush)
        if len(peer.out) == 1:
            self._flush.append(peer)

    def flush(self) -> None:
        peers, self._flush = self._flush, []
        for peer in peers:
            peer.flush()

    def close(self) -> None:
        self.flush()
        self.closed = True
        for disk in self.disks.values():
            disk.close()
        if self.rules is not None:
            self.rules.close()
        for dial in self._dials.values():
            if dial.peer is not None:
                dial.peer.transport.loseConnection()
        for peer in list(self.open):
            peer.transport.loseConnection()

    def follow(self, config: FleetConfig) -> None:
        """New addresses of the same seats."""
        for seat in config.seats:
            if seat.name in self._dials:
                self._dials[seat.name].address = seat.address
        self.node.extend_window(self.longest())

    # ---- this runner's own state ----

    def _look(self) -> None:
        core = self.core
        predecessor = (
            self.predecessor if core.key_claims.is_successor and core.key_claims.peer is not None else 0
        )
        if self.outage is not None:
            self.outage.report_load()
        self.node.publish_status(predecessor, core.settings.cores)
        gone = (
            core.kernel_status.link_lost_at is not None
            and core.clock.now - core.kernel_status.link_lost_at >= KERNEL_GONE
        )
        if (
            core.drain_state.draining
            or (gone and core.ready)
            or (self.outage is not None and self.outage.is_out)
        ):
            if not self._away:
                log.info("fleet: what is held here and has not begun goes to others")
            if not self._away and self.forecast is not None:
                self.forecast.leave()
            self._away = True
            self.node.hand_over_held()
            if self.duties is not None:
                self.duties.participant.leave()
        else:
            self._away = False
        if not self.closed:
            core.alarms.at(core.clock.now + LOOK, self._look)

    # ---- for operators ----

    def begin(self, lost: bool) -> str | None:
        """The reason, where the fleet can't be taken for a new one, or what it has lost for nothing."""
        self.core.begin_turn()
        return self.node.bootstrap(lost)

    def told(self) -> dict[str, object]:
        self.core.begin_turn()
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
            "journal": "; ".join(filter(None, (d.failing for d in self.disks.values()))) or "written"
            if self.disks
            else None,
            "health": node.detector.health,
            "keeps": len(node.acceptor.registers),
            "in_hand": len(node.tenures),
            "counters": {k: v for k, v in self.core.counters.total.items() if k.startswith("fleet")},
        }

    def work(self) -> dict[str, object]:
        """Keys that this runner has in hand or waits for, without their bodies and tokens."""
        self.core.begin_turn()
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
    def busy(self) -> bool:
        return bool(
            self.node.unfinished or (self.duties is not None and self.duties.participant.leases.by_key)
        )

    # ---- for the node: `Host` ----

    def send(self, seat: str, message: Message) -> None:
        if seat in self._dials:
            self._dials[seat].say(message)

    def reply(self, seat: str, message: Message) -> None:
        if self._hearing is not None and self._hearing.seat == seat:
            self._hearing.say(message)
        else:
            self.send(seat, message)

    def random(self) -> float:
        return self._random()

    def clock(self) -> int:
        return self.core.clock.now

    def wake(self, when: int) -> None:
        if self._woken is None or when < self._woken:
            self._woken = when
            self.core.alarms.at(when, self._ring)

    def _ring(self) -> None:
        if self._woken is not None and self._woken <= self.core.clock.now:
            self._woken = None
            self.node.run_due()

    def fit(self) -> bool:
        return (
            self.core.ready
            and not self.core.drain_state.shutting_down
            and self.core.kernel_status.link_lost_at is None
            and self._fit()
        )
