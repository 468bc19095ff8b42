"""One runner's part in a cluster: the failure detector, the registers, and the work of keys, without any I/O.

Every decision about another runner's work is a change of that work's register: `TakeOverWork` of what never started,
`EndOrphanedWork` of what may have. Who thinks of it, and when, is a matter of speed alone: the register tells two that
do so at once apart.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from moorusher.time_units import MS

from ..membership.failure_detector import FailureDetector
from ..membership.messages import MemberStatus, Ping, PingAck, PingRequest
from ..membership.placement import Placement
from .acceptor import Acceptor, RegisterState
from .host_services import HostServices
from .interfaces import NodeHost
from .journal import JournalImage
from .key_tenure import Tenure, TenureStage
from .messages import (
    BallotRequest,
    Bootstrap,
    ComponentMessage,
    OwnershipQuery,
    OwnershipReply,
    SyncReply,
    SyncRequest,
    TakeoverOffer,
    Vote,
)
from .owned_work import OwnedWork
from .policy import ReplicationPolicy
from .proposer import ChangeResult
from .register_space import CLUSTER_SPACE, WORK_SPACE, RegisterSpace
from .watched_work import WatchedWork
from .work_events import KeyForgotten
from .work_record import KeyDigest, Owner, WorkRecord
from .work_takeover import WorkTakeover


class Node(HostServices):
    """One runner's part in the cluster. Times are in us, by the host's clock.

    Attributes:
        owner: `Owner`, this process.
        placement: `Placement`, the replicas of each key.
        policy: `Policy`, the operator's settings.
        acceptor: `Acceptor`, the registers of keyed work that this seat is a replica of.
        detector: `FailureDetector`, the other members.
        registers: `RegisterSpace` of keyed work.
        spaces: by number, all spaces of registers of this node.
        tenures: by key, what this runner has to do with it.
        components: by name, who handles the messages of a component of the cluster that not every runner has.
        longest_window_us: `int`, the longest window that there is, with its margin.
        duty_counts: how many duties this runner leads, and of how many it is a replica.
        load_figures: weight, load and peak load, see `MemberStatus`.
        is_durable: `bool`, all that it must not forget is on a disk.
        on_member_lost: called with seat and incarnation of each process that is lost.
    """

    def __init__(
        self,
        me: str,
        incarnation: int,
        placement: Placement,
        host: NodeHost,
        policy: ReplicationPolicy,
        longest_window_us: int,
        recovered: bool = False,
        max_registers: int = 8_000,
    ) -> None:
        """What a process that has forgotten once knew no longer counts after `longest_window_us`."""
        super().__init__(host)
        self.owner = Owner(me, incarnation)
        self.placement = placement
        self.policy = policy
        self.acceptor = Acceptor(
            me,
            incarnation,
            placement.replicas,
            frozenset(placement.names) - {me},
            recovered,
            max_registers,
            on_change=self._register_changed,
            slice_of=placement.slice_of,
            slice_replicas=placement.slice_replicas,
        )
        self.detector = FailureDetector(me, incarnation, placement.names, self)
        self.registers = RegisterSpace(WORK_SPACE, self.acceptor, self, longest_window_us)
        self.spaces = {WORK_SPACE: self.registers}
        self.change = self.registers.change
        self.tenures: dict[KeyDigest, Tenure] = {}
        self.components: dict[str, Callable[[str, bytes], None]] = {}
        self.longest_window_us = longest_window_us
        self.duty_counts = (0, 0)
        self.load_figures = (0, 0, 0)
        self.is_durable = False
        self.owned_work = OwnedWork(self)
        self.watched_work = WatchedWork(self)
        self.takeover = WorkTakeover(self)
        self.claim = self.owned_work.claim
        self.start_work = self.owned_work.start
        self.finish_work = self.owned_work.finish
        self.release_work = self.owned_work.release
        self.hand_over = self.owned_work.hand_over
        self.continue_work = self.watched_work.continue_work
        self.on_member_lost: list[Callable[[str, int], None]] = [
            lambda seat, incarnation: self.takeover.owner_lost(Owner(seat, incarnation))
        ]
        self._handlers = self._message_handlers()

    def _message_handlers(self) -> dict[type, Callable[[str, Any], None]]:
        return {
            BallotRequest: self._in_space(RegisterSpace.handle_request),
            Vote: self._in_space(RegisterSpace.handle_vote),
            SyncRequest: self._in_space(RegisterSpace.handle_sync),
            SyncReply: self._in_space(RegisterSpace.handle_sync_reply),
            Bootstrap: self._in_space(RegisterSpace.handle_bootstrap),
            ComponentMessage: self._to_component,
            OwnershipQuery: self.watched_work.handle_query,
            OwnershipReply: self.watched_work.handle_reply,
            TakeoverOffer: self.takeover.handle_offer,
            Ping: self.detector.handle_ping,
            PingAck: self.detector.handle_ack,
            PingRequest: self.detector.handle_ping_request,
        }

    @property
    def me(self) -> str:
        """This seat."""
        return self.owner.seat

    # ---- life ----

    def restore(self, image: JournalImage) -> None:
        """Before `start`: what a former process of this seat has left in its journal."""
        self.acceptor.restore(self.clock(), image)
        self.takeover.restore()

    def start(self) -> None:
        """Begins to probe the others, and to recover where something was forgotten."""
        self.detector.start(self.clock())
        self.takeover.start()
        for space in self.spaces.values():
            space.start()

    def run_due(self) -> None:
        """Called by the host at the time that it was asked to wake the node."""
        now = self.clock()
        self.run_alarms()
        for key in self.acceptor.expire(now):
            self.takeover.register_changed(key, None)
        self.request_wake()

    def raise_incarnation(self, incarnation: int) -> None:
        """Another member knows a later process of this seat: this machine's clock was set back.

        What is past must not look like the future.
        """
        self.owner = Owner(self.me, incarnation)
        self.detector.own.incarnation = incarnation
        for space in self.spaces.values():
            space.acceptor.incarnation = incarnation
            space.acceptor.incarnations[self.me] = incarnation
            space.acceptor.synced_from.clear()
            space.acceptor.slices_synced_from.clear()
        self.count("fleet: incarnation raised")

    def bootstrap(self, accept_loss: bool = False) -> str | None:
        """See `AcceptorRecovery.bootstrap`; a space that has recovered is left as it is where another one has not.

        Each space that can be is bootstrapped. Returns the reason where one that has not recovered can't be, or where
        all have recovered: an operator who was told that all began would wait for the other one for ever.
        """
        spaces = [space for space in self.spaces.values() if not space.acceptor.recovered]
        reasons = [space.recovery.bootstrap(accept_loss) for space in spaces or self.spaces.values()]
        return next((reason for reason in reasons if reason is not None), None)

    def add_space(self, space: RegisterSpace) -> None:
        """A space for registers of another kind."""
        self.spaces[space.space] = space

    # ---- messages ----

    def receive(self, seat: str, incarnation: int, message: Any) -> None:
        """A message from another seat's process of that incarnation."""
        for space in self.spaces.values():
            # Whoever has forgotten what earlier processes promised: their promises count no more.
            space.acceptor.learn_incarnations({seat: incarnation})
        self.detector.record_contact(seat, incarnation)
        self._handlers[type(message)](seat, message)

    def _in_space(self, handle: Callable[[RegisterSpace, str, Any], None]) -> Callable[[str, Any], None]:
        def handle_in_space(seat: str, message: Any) -> None:
            if (space := self.spaces.get(message.space)) is not None:
                handle(space, seat, message)

        return handle_in_space

    def _to_component(self, seat: str, message: ComponentMessage) -> None:
        if (handle := self.components.get(message.component)) is not None:
            handle(seat, message.body)

    # ---- members ----

    def is_up(self, seat: str) -> bool:
        """As far as the failure detector knows."""
        return self.detector.by_seat[seat].is_alive

    def member_lost(self, seat: str, incarnation: int) -> None:
        """From the failure detector: that process is dead, or has been replaced."""
        self.count("fleet: members lost")
        for notify in self.on_member_lost:
            notify(seat, incarnation)

    def publish_status(self, predecessor: int = 0, cores: int = 0) -> None:
        """Tells the others of this runner, where something has changed.

        `predecessor`: incarnation of the process that it replaces, while that one lives; else 0.
        """
        recovered = CLUSTER_SPACE not in self.spaces or self.spaces[CLUSTER_SPACE].acceptor.recovered
        status = MemberStatus(
            self.host.fit(),
            cores,
            predecessor,
            *self.duty_counts,
            *self.load_figures,
            recovered,
            self.is_durable,
        )
        self.detector.publish_status(status)

    # ---- keyed work ----

    @property
    def claim_timeout_us(self) -> int:
        """How long a change may take that somebody waits for."""
        return round(self.policy.claim_timeout_ms * MS)

    @property
    def last_may_be_chosen(self) -> bool:
        """The change that was given up last may be chosen yet."""
        return self.registers.last_may_be_chosen

    @property
    def unfinished(self) -> int:
        """How many keys have an end or a release that is not yet known to a majority."""
        return sum(tenure.stage is TenureStage.FINISHING or tenure.busy for tenure in self.tenures.values())

    def extend_window(self, longest_window_us: int) -> None:
        """The longest window has changed; a shorter one leaves what was promised as it is."""
        self.longest_window_us = max(self.longest_window_us, longest_window_us)
        self.registers.recovery.forgets_after = self.longest_window_us

    def hand_over_held(self) -> None:
        """The runner is not fit any more: what is held here and has not started goes to others."""
        self.publish_status()
        for key in [tenure.key for tenure in self.tenures.values() if tenure.is_held]:
            self.hand_over(key)

    def adopt(self, tenure: Tenure, result: ChangeResult) -> None:
        """Goes by what the register says: held here, another's, or over."""
        self.watched_work.adopt(tenure, result)

    def offer_work(self, key: KeyDigest, work: WorkRecord) -> None:
        """Orphaned or released work, to the seat whose turn it is."""
        self.takeover.offer(key, work)

    def is_lost(self, owner: Owner) -> bool:
        """That process is lost, as far as is known here."""
        return self.takeover.is_lost(owner)

    def forget(self, tenure: Tenure) -> None:
        """The key is no longer this runner's business."""
        if self.tenures.get(tenure.key) is tenure:
            del self.tenures[tenure.key]
            self.host.notify(KeyForgotten(tenure.key))

    def _register_changed(self, key: KeyDigest, register: RegisterState) -> None:
        self.takeover.register_changed(key, register)
