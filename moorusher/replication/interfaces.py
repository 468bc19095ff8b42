"""The interfaces between a node, its parts, and the process that executes their decisions.

The parts of a node use each other only through `WorkNode`, so that none of their modules imports another one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..membership.failure_detector import FailureDetector
from ..membership.placement import Placement
from .acceptor import Acceptor
from .key_tenure import Tenure
from .policy import ReplicationPolicy
from .proposer import CarriedPromise, ChangeFunction, ChangeResult
from .work_events import WorkEvent, WorkInHand
from .work_record import KeyDigest, Owner, WorkRecord, WorkRequest

# Receives whether a majority has accepted the release, so that no runner will run the attempt.
ReleaseCallback = Callable[[bool], None]


class RegisterHost(Protocol):
    """The member that owns a `RegisterSpace`. Times are in us."""

    def send(self, seat: str, message: Any) -> None:
        """Send a message to a seat."""

    def reply(self, seat: str, message: Any) -> None:
        """Reply to the sender of the message being handled."""

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that replies later to the sender of the message being handled."""

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """Call `then` once all changes of the space's acceptor so far are on its disk.

        The call is immediate if there is no journal, and never happens if the disk fails. A vote may not be sent or
        counted before this call.
        """

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time or soon after it."""

    def clock(self) -> int:
        """Return the current time."""

    def random(self) -> float:
        """Return a random number from 0 to 1."""

    def count(self, name: str) -> None:
        """Increment the counter of that name."""

    def is_up(self, seat: str) -> bool:
        """Return whether the failure detector considers the member alive."""

    def raise_incarnation(self, incarnation: int) -> None:
        """Set a higher incarnation of this process."""


class NodeHost(Protocol):
    """The process that executes a node's decisions, and the runner of its work. Times are in us."""

    def send(self, seat: str, message: Any) -> None:
        """Send a message to a seat."""

    def reply(self, seat: str, message: Any) -> None:
        """Reply to the sender of the message being handled."""

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that replies later to the sender of the message being handled."""

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.call_when_durable`."""

    def clock(self) -> int:
        """Return the current time."""

    def wake(self, when: int) -> None:
        """Call the node's `run_due` at that time."""

    def random(self) -> float:
        """Return a random number from 0 to 1."""

    def count(self, name: str) -> None:
        """Increment the counter of that name."""

    def notify(self, event: WorkEvent) -> None:
        """Called when the state of a key has changed."""

    def accept_takeover(
        self, key: KeyDigest, body_digest: int, request: WorkRequest, expires_at: int
    ) -> bool:
        """Queue work that this runner has taken over. Return whether it was queued."""

    def work_in_hand(self, key: KeyDigest) -> WorkInHand:
        """Return the runner's state of the work of a key."""

    def can_accept_work(self) -> bool:
        """Return whether the runner can take over work."""


class WorkNode(Protocol):
    """A node as its parts for keyed work use it. Times are in us."""

    tenures: dict[KeyDigest, Tenure]
    policy: ReplicationPolicy
    placement: Placement
    detector: FailureDetector
    acceptor: Acceptor
    longest_window_us: int

    @property
    def host(self) -> NodeHost:
        """The process that executes the node's decisions."""

    @property
    def owner(self) -> Owner:
        """This process, as registers name it if it owns work."""

    @property
    def me(self) -> str:
        """This process's seat."""

    @property
    def claim_timeout_us(self) -> int:
        """Timeout of a register change for which a caller waits."""

    @property
    def last_may_be_chosen(self) -> bool:
        """Whether the last abandoned register change may still be chosen."""

    def change(
        self,
        key: KeyDigest,
        change: ChangeFunction,
        expires_at: int,
        timeout_us: int,
        on_result: Callable[[ChangeResult | None], None],
        promise: CarriedPromise | None = None,
        max_backoff_us: int = ...,
    ) -> None:
        """Change the register of a key; see `RegisterSpace.change`."""

    def clock(self) -> int:
        """Return the current time."""

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time or soon after it."""

    def forget(self, tenure: Tenure) -> None:
        """Delete this runner's state of a key."""

    def adopt(self, tenure: Tenure, result: ChangeResult) -> None:
        """Apply the register's value: this runner owns the work, another runner owns it, or it is finished."""

    def release_work(
        self, key: KeyDigest, rejected: bool = False, on_released: ReleaseCallback | None = None
    ) -> None:
        """Release an attempt of this runner that ended before its run; see `OwnedWork.release`."""

    def continue_work(self, tenure: Tenure) -> None:
        """End or take over work whose owner does not answer or is lost; see `WatchedWork.continue_work`."""

    def offer_work(self, key: KeyDigest, work: WorkRecord) -> None:
        """Offer orphaned or released work to the next seat in the takeover order."""

    def is_lost(self, owner: Owner) -> bool:
        """Return whether that process is lost, as far as this member knows."""
