"""One runner's part in a fleet: what it owns, what it waits for, what it keeps, what it goes on with for others.

Every decision about another's work is a change of that work's register: `Take` of what never began, `Bury` of what
may have. Who thinks of it, and when, is a matter of speed alone: the register tells two that do so at once apart.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from ..membership.failure_detector import FailureDetector
from ..membership.placement import Placement
from .acceptor import Acceptor, RegisterState
from .journal import JournalImage
from .key_tenure import NodeHost, Tenure, TenureStage
from .messages import (
    BallotRequest,
    Bootstrap,
    ComponentMessage,
    MemberStatus,
    OwnershipQuery,
    OwnershipReply,
    Ping,
    PingAck,
    PingRequest,
    SyncReply,
    SyncRequest,
    TakeoverOffer,
    Vote,
)
from .owned_work import OwnedWork
from .policy import Policy
from .register_space import CLUSTER_SPACE, WORK_SPACE, RegisterSpace
from .watched_work import WatchedWork
from .work_record import Key, Owner
from .work_takeover import WorkTakeover


class Node:
    """One runner's part in the fleet, without links: membership, registers, and the work of keys."""

    def __init__(
        self,
        me: str,
        inc: int,
        seats: Placement,
        host: NodeHost,
        policy: Policy,
        longest_us: int,
        remembers: bool = False,
        most: int = 8_000,
    ) -> None:
        """`longest_us`: the longest window there is, with its margin: what was forgotten before then no longer counts
        once it has passed."""
        self.placement, self.host, self.policy = seats, host, policy
        self.owner = Owner(me, inc)
        self.acceptor = Acceptor(
            me,
            inc,
            seats.replicas,
            frozenset(seats.names) - {me},
            remembers,
            most,
            on_change=self._register_changed,
            slice_of=seats.slice_of,
            slice_replicas=seats.slice_replicas,
        )
        self.detector = FailureDetector(me, inc, seats.names, self)
        self.tenures: dict[Key, Tenure] = {}
        self.registers = RegisterSpace(WORK_SPACE, self.acceptor, self, longest_us)
        self.spaces = {WORK_SPACE: self.registers}
        self.change = self.registers.change
        self.components: dict[str, Callable[[str, bytes], None]] = {}  # of what else the fleet does, by name
        self.longest_window_us = longest_us
        self._alarms: list[tuple[int, int, Callable[[], None]]] = []
        self._alarm_numbers = count()
        self.duty_counts = (0, 0)  # of the fleet: how many it has, and of how many it is a keeper
        self.is_durable = False  # what it keeps is on a disk that lasts
        self.load_figures = (0, 0, 0)  # see `messages.Word`: weight, load, peak
        self.owned_work, self.watched_work = OwnedWork(self), WatchedWork(self)
        self.claim, self.start_work, self.finish_work = (
            self.owned_work.claim,
            self.owned_work.start,
            self.owned_work.finish,
        )
        self.release_work, self.hand_over, self.continue_work = (
            self.owned_work.release,
            self.owned_work.hand_over,
            self.watched_work.continue_work,
        )
        self.takeover = WorkTakeover(self)
        self.on_member_lost = [self.takeover.owner_died]
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            BallotRequest: self._in_space(RegisterSpace.handle_request),
            Vote: self._in_space(RegisterSpace.handle_vote),
            SyncRequest: self._in_space(RegisterSpace.handle_sync),
            SyncReply: self._in_space(RegisterSpace.handle_sync_reply),
            Bootstrap: self._in_space(RegisterSpace.handle_bootstrap),
            ComponentMessage: self._to_component,
            OwnershipQuery: self.watched_work.handle_query,
            OwnershipReply: self.watched_work.handle_reply,
            TakeoverOffer: lambda seat, m: self.takeover.handle_offer(seat, m),
            Ping: self.detector.handle_ping,
            PingAck: self.detector.handle_ack,
            PingRequest: self.detector.handle_ping_request,
        }

    @property
    def me(self) -> str:
        return self.owner.seat

    # ---- for the members ----

    def send(self, seat: str, message: Any) -> None:
        self.host.send(seat, message)

    def reply(self, seat: str, message: Any) -> None:
        self.host.reply(seat, message)

    def clock(self) -> int:
        return self.host.clock()

    def random(self) -> float:
        return self.host.random()

    def replier(self, seat: str) -> Callable[[Any], None]:
        return self.host.replier(seat)

    def durable(self, then: Callable[[], None], space: int) -> None:
        self.host.durable(then, space)

    def count(self, name: str) -> None:
        self.host.count(name)

    def at(self, when: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._alarms, (when, next(self._alarm_numbers), action))
        if self._alarms[0][0] == when:
            self.host.wake(when)

    def run_due(self) -> None:
        """What is due by the host's clock."""
        now = self.clock()
        while self._alarms and self._alarms[0][0] <= now:
            heapq.heappop(self._alarms)[2]()
        for key in self.acceptor.expire(now):
            self.takeover.register_changed(key, None)
        if self._alarms:
            self.host.wake(self._alarms[0][0])

    def restore(self, image: JournalImage) -> None:
        """Before the start: what an earlier life of this seat has left on its disk."""
        self.acceptor.restore(self.clock(), image)
        self.takeover.restore()

    def start(self) -> None:
        self.detector.start(self.clock())
        self.takeover.start()
        for space in self.spaces.values():
            space.start()

    # ---- messages ----

    def receive(self, seat: str, inc: int, message: Any) -> None:
        """From another seat's process of that incarnation."""
        for space in self.spaces.values():
            space.acceptor.learn_incarnations(
                {seat: inc}
            )  # an earlier life's promises count no more, whoever forgot them
        self.detector.record_contact(seat, inc)
        self._handlers[type(message)](seat, message)

    def is_up(self, seat: str) -> bool:
        return self.detector.by_seat[seat].is_alive

    def raise_incarnation(self, inc: int) -> None:
        """The clock of this machine was set back: what is past must not look like the future."""
        self.owner = Owner(self.me, inc)
        self.detector.own.incarnation = inc
        for space in self.spaces.values():
            space.acceptor.incarnation = inc
            space.acceptor.incarnations[self.me] = inc
            space.acceptor.synced_from.clear()
            space.acceptor.slices_synced_from.clear()
        self.host.count("fleet: incarnation raised")

    def add_space(self, space: RegisterSpace) -> None:
        self.spaces[space.space] = space

    def _in_space(self, handle: Callable[[RegisterSpace, str, Any], None]) -> Callable[[str, Any], None]:
        def heard(seat: str, m: Any) -> None:
            if (space := self.spaces.get(m.space)) is not None:
                handle(space, seat, m)

        return heard

    def _to_component(self, seat: str, m: ComponentMessage) -> None:
        if (part := self.components.get(m.component)) is not None:
            part(seat, m.body)

    def bootstrap(self, lost: bool = False) -> str | None:
        """See `Registers.begin`; spaces that remember are left as they are, where another one does not."""
        whys = [space.bootstrap(lost) for space in self.spaces.values()]
        return None if None in whys else whys[0]

    # ---- work of keys ----

    def forget(self, t: Tenure) -> None:
        """It is no longer this runner's business."""
        if self.tenures.get(t.key) is t:
            del self.tenures[t.key]
            self.host.forgot(t.key)

    def _register_changed(self, key: Key, slot: RegisterState) -> None:
        self.takeover.register_changed(key, slot)

    # ---- for the members ----

    def member_lost(self, seat: str, inc: int) -> None:
        self.host.count("fleet: members lost")
        for told in self.on_member_lost:
            told(seat, inc)

    # ---- what is told ----

    def publish_status(self, predecessor: int = 0, cores: int = 0) -> None:
        """Of this runner, where it has changed. `predecessor`: the process that it replaces, while that one lives."""
        whole = CLUSTER_SPACE not in self.spaces or self.spaces[CLUSTER_SPACE].acceptor.recovered
        self.detector.publish_status(
            MemberStatus(
                self.host.fit(),
                cores,
                predecessor,
                *self.duty_counts,
                *self.load_figures,
                whole,
                self.is_durable,
            )
        )

    @property
    def unfinished(self) -> int:
        """Ends and givings back that are not yet known to enough."""
        return sum(t.stage is TenureStage.FINISHING or t.busy for t in self.tenures.values())

    def extend_window(self, longest_us: int) -> None:
        """The longest window has become another."""
        self.longest_window_us = self.registers.forgets_after = max(self.longest_window_us, longest_us)

    def hand_over_held(self) -> None:
        """No longer fit: what is held here and has not begun goes to others."""
        self.publish_status()
        for key in [t.key for t in self.tenures.values() if t.stage is TenureStage.HELD]:
            self.hand_over(key)
