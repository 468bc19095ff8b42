"""The interface of a lease for its effects, and the objects that all leases of one member share."""

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
    """Objects that all leases of one member share."""

    services: MemberServices
    replication: StateReplication
    fetching: StateFetching
    receivers: EffectReceivers
    policy: LeadershipPolicy


class HeldLease(Protocol):
    """Interface of a lease for its effects; implemented by `lease_holder.LeaseHolder`.

    Attributes:
        context: Objects that all leases of the member share.
        key: Key of the duty's register.
        register: Register of the lease.
        state: The duty's state as last acknowledged by a majority.
        since_us: Time at which the lease was acquired.
    """

    context: LeaderContext
    key: KeyDigest
    register: LeaseRegister
    state: bytes
    since_us: int

    @property
    def name(self) -> str:
        """Name of the duty."""

    @property
    def record(self) -> LeaseRecord:
        """The lease record as last read."""

    @property
    def is_ended(self) -> bool:
        """Whether the term has ended."""

    def enqueue(self, run: Callable[[], None], callback: OutcomeCallback) -> None:
        """Queue a step; it must end with a call of `finish`."""

    def finish(self, outcome: Outcome) -> None:
        """End the running step with its outcome."""

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` after the delay unless the term has ended by then."""

    def end(self, reason: LeadershipError | None) -> None:
        """End the term."""
