"""What the effects of a lease use of it, and what all leases of one member share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..replication.work_record import KeyDigest
from .effects import Outcome, OutcomeCallback
from .errors import LeadershipError
from .lease_record import LeaseRecord
from .lease_register import LeaseRegister
from .policy import LeadershipPolicy
from .services import MemberServices
from .state_fetching import StateFetching
from .state_replication import StateReplication
from .worker import EffectReceivers


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """What all leases of one member share."""

    services: MemberServices
    replication: StateReplication
    fetching: StateFetching
    receivers: EffectReceivers
    policy: LeadershipPolicy


class HeldLease(Protocol):
    """A lease, as its effects see it; `lease_holder.LeaseHolder` implements it.

    context: LeaderContext.
    key: of the duty's register.
    register: of the lease; changes it.
    state: bytes, the duty's state as last acknowledged by a majority.
    since_us: int, when the lease was acquired.
    """

    context: LeaderContext
    key: KeyDigest
    register: LeaseRegister
    state: bytes
    since_us: int

    @property
    def name(self) -> str:
        """The duty's name."""

    @property
    def record(self) -> LeaseRecord:
        """The lease record, as last read."""

    @property
    def is_ended(self) -> bool:
        """The term is over."""

    def enqueue(self, run: Callable[[], None], callback: OutcomeCallback) -> None:
        """Run a step after those that wait; it ends with `finish`."""

    def finish(self, outcome: Outcome) -> None:
        """End the running step."""

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` after the delay, unless the term is over by then."""

    def end(self, reason: LeadershipError | None) -> None:
        """End the term."""
