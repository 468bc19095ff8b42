"""One runner as a member of a cluster: the failure detector, the registers and the keyed work, without any I/O.

Every decision about another runner's work is a change of that work's register: `TakeOverWork` for work that has not
started, `EndOrphanedWork` for work that may have started. The register serializes concurrent changes, so correctness
does not depend on which runner proposes a change, or when.
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
    """One runner as a member of the cluster. Times are in us, by the host's clock.

    Attributes:
        owner: Seat and incarnation of this process.
        placement: Replicas of each key.
        policy: Settings from the operator's file.
        acceptor: Registers of keyed work of which this seat is a replica.
        detector: Failure detector, with the state of all members.
        registers: Register space of keyed work.
        spaces: All register spaces of this node, by number.
        tenures: State of the keys that this runner owns or waits for, by key.
        components: Message handlers of the components that not every runner has, by name.
        longest_window_us: Longest idempotency window of all request classes, with its margin.
        duty_counts: Number of duties that this runner leads, and of duties of which it is a replica.
        load_figures: Weight, load and peak load, see `MemberStatus`.
        is_durable: Whether all state that must survive a restart is on disk.
        on_member_lost: Functions to call with seat and incarnation of each lost process.
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
        """Create the node. All state that a restarted acceptor has lost expires within `longest_window_us`."""
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
        """Seat of this process."""
        return self.owner.seat

    # ---- lifecycle ----

    def restore(self, image: JournalImage) -> None:
        """Load the journal of an earlier process of this seat. Must be called before `start`."""
        self.acceptor.restore(self.clock(), image)
        self.takeover.restore()

    def start(self) -> None:
        """Start to probe the other members, and to recover the acceptors that have not recovered."""
        self.detector.start(self.clock())
        self.takeover.start()
        for space in self.spaces.values():
            space.start()

    def run_due(self) -> None:
        """Called by the host at the requested wake time. Runs due timers and deletes expired keys."""
        now = self.clock()
        self.run_timers()
        for key in self.acceptor.expire(now):
            self.takeover.register_changed(key, None)
        self.request_wake()

    def raise_incarnation(self, incarnation: int) -> None:
        """Set a higher incarnation, because another member knows a later incarnation of this seat."""
        # This happens if the machine's clock was set back, since a process takes its incarnation from the clock. With
        # the lower one, the other members would ignore this process's votes as those of an earlier process.
        self.owner = Owner(self.me, incarnation)
        self.detector.own.incarnation = incarnation
        for space in self.spaces.values():
            space.acceptor.incarnation = incarnation
            space.acceptor.incarnations[self.me] = incarnation
            space.acceptor.synced_from.clear()
            space.acceptor.slices_synced_from.clear()
        self.count("fleet: incarnation raised")

    def bootstrap(self, accept_loss: bool = False) -> str | None:
        """Bootstrap every space that has not recovered; see `AcceptorRecovery.bootstrap`.

        :returns: None on success, or the reason if all spaces have recovered or one could not be bootstrapped.
        """
        # If one space could not be bootstrapped, success would be misleading: the operator would not repeat the
        # command, and that space would never vote.
        spaces = [space for space in self.spaces.values() if not space.acceptor.recovered]
        reasons = [space.recovery.bootstrap(accept_loss) for space in spaces or self.spaces.values()]
        return next((reason for reason in reasons if reason is not None), None)

    def add_space(self, space: RegisterSpace) -> None:
        """Add a space for registers of another kind."""
        self.spaces[space.space] = space

    # ---- messages ----

    def receive(self, seat: str, incarnation: int, message: Any) -> None:
        """Handle a message from a process of another seat."""
        for space in self.spaces.values():
            # A new incarnation may have lost the promises of earlier ones, so those no longer count.
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
        """Return whether the failure detector considers the member alive."""
        return self.detector.by_seat[seat].is_alive

    def member_lost(self, seat: str, incarnation: int) -> None:
        """Called by the failure detector when a process is dead or has been replaced."""
        self.count("fleet: members lost")
        for notify in self.on_member_lost:
            notify(seat, incarnation)

    def publish_status(self, predecessor: int = 0, cores: int = 0) -> None:
        """Publish this runner's status to the other members if it has changed.

        :param predecessor: Incarnation of the process that this one replaces, while that process lives; else 0.
        """
        recovered = CLUSTER_SPACE not in self.spaces or self.spaces[CLUSTER_SPACE].acceptor.recovered
        status = MemberStatus(
            self.host.can_accept_work(),
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
        """Timeout of a register change for which a caller waits."""
        return round(self.policy.claim_timeout_ms * MS)

    @property
    def last_may_be_chosen(self) -> bool:
        """Whether the last abandoned register change may still be chosen."""
        return self.registers.last_may_be_chosen

    @property
    def unfinished(self) -> int:
        """Number of keys with a register change in progress."""
        return sum(tenure.stage is TenureStage.FINISHING or tenure.busy for tenure in self.tenures.values())

    def extend_window(self, longest_window_us: int) -> None:
        """Adapt to a new longest window. A shorter one is ignored, as promises for the longer one are still valid."""
        self.longest_window_us = max(self.longest_window_us, longest_window_us)
        self.registers.recovery.expires_after_us = self.longest_window_us

    def hand_over_unstarted_work(self) -> None:
        """Hand over all work that is queued here, because this runner can't run it any more."""
        self.publish_status()
        for key in [tenure.key for tenure in self.tenures.values() if tenure.is_queued]:
            self.hand_over(key)

    def adopt(self, tenure: Tenure, result: ChangeResult) -> None:
        """Apply the register's value: this runner owns the work, another runner owns it, or it is finished."""
        self.watched_work.adopt(tenure, result)

    def offer_work(self, key: KeyDigest, work: WorkRecord) -> None:
        """Offer orphaned or released work to the next seat in the takeover order."""
        self.takeover.offer(key, work)

    def is_lost(self, owner: Owner) -> bool:
        """Return whether that process is lost, as far as this member knows."""
        return self.takeover.is_lost(owner)

    def forget(self, tenure: Tenure) -> None:
        """Delete this runner's state of a key."""
        if self.tenures.get(tenure.key) is tenure:
            del self.tenures[tenure.key]
            self.host.notify(KeyForgotten(tenure.key))

    def _register_changed(self, key: KeyDigest, register: RegisterState) -> None:
        self.takeover.register_changed(key, register)
