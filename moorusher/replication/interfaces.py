"""The contracts between a node, its parts, and the process that carries out what they decide.

The parts of a node know each other through `WorkNode` alone, so that none of their modules imports another one.
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


class RegisterHost(Protocol):
    """The member whose registers a `RegisterSpace` has. Times are in us."""

    def send(self, seat: str, message: Any) -> None:
        """To whichever process has the seat."""

    def reply(self, seat: str, message: Any) -> None:
        """To the process whose message is being handled."""

    def replier(self, seat: str) -> Callable[[Any], None]:
        """`reply`, for later."""

    def durable(self, then: Callable[[], None], space: int) -> None:
        """Calls `then` once all that the space's acceptor has changed so far is on its disk.

        At once where there is no disk; never where the disk fails. No vote may count for anybody before that.
        """

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Calls `action` at that time, or soon after it."""

    def clock(self) -> int:
        """Now."""

    def random(self) -> float:
        """From 0 to 1."""

    def count(self, name: str) -> None:
        """One more in the counter of that name."""

    def is_up(self, seat: str) -> bool:
        """As far as the failure detector knows."""

    def raise_incarnation(self, incarnation: int) -> None:
        """This process must be a later incarnation than it thought."""


class NodeHost(Protocol):
    """The process that carries out what a node decides, and the runner that does the work. Times are in us."""

    def send(self, seat: str, message: Any) -> None:
        """To whichever process has the seat."""

    def reply(self, seat: str, message: Any) -> None:
        """To the process whose message is being handled."""

    def replier(self, seat: str) -> Callable[[Any], None]:
        """`reply`, for later."""

    def durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.durable`."""

    def clock(self) -> int:
        """Now."""

    def wake(self, when: int) -> None:
        """Call `run_due` then."""

    def random(self) -> float:
        """From 0 to 1."""

    def count(self, name: str) -> None:
        """One more in the counter of that name."""

    def notify(self, event: WorkEvent) -> None:
        """Something is settled about a key."""

    def accept_takeover(
        self, key: KeyDigest, body_digest: int, request: WorkRequest, expires_at: int
    ) -> bool:
        """Queues another runner's work, which is this runner's now; False where it can't."""

    def work_in_hand(self, key: KeyDigest) -> WorkInHand:
        """What the runner knows of a key."""

    def fit(self) -> bool:
        """The runner can take work over."""


class WorkNode(Protocol):
    """A node, as the parts that care for keyed work see it. Times are in us."""

    tenures: dict[KeyDigest, Tenure]
    policy: ReplicationPolicy
    placement: Placement
    detector: FailureDetector
    acceptor: Acceptor
    longest_window_us: int

    @property
    def host(self) -> NodeHost:
        """Who carries out what is decided."""

    @property
    def owner(self) -> Owner:
        """This process."""

    @property
    def me(self) -> str:
        """This process's seat."""

    @property
    def claim_timeout_us(self) -> int:
        """How long a change may take that somebody waits for."""

    @property
    def last_may_be_chosen(self) -> bool:
        """The change that was given up last may be chosen yet."""

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
        """Changes the register of a key; see `RegisterSpace.change`."""

    def clock(self) -> int:
        """Now."""

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Calls `action` at that time, or soon after it."""

    def forget(self, tenure: Tenure) -> None:
        """The key is no longer this runner's business."""

    def adopt(self, tenure: Tenure, result: ChangeResult) -> None:
        """Goes by what the register says: held here, another's, or over."""

    def release_work(self, key: KeyDigest, rejected: bool = False) -> None:
        """An attempt of this runner is over, and never ran."""

    def continue_work(self, tenure: Tenure) -> None:
        """Another's work, whose owner is silent or gone."""

    def offer_work(self, key: KeyDigest, work: WorkRecord) -> None:
        """Orphaned or released work, to the seat whose turn it is."""

    def is_lost(self, owner: Owner) -> bool:
        """That process is lost, as far as is known here: nobody acts for it any more."""
