"""The value of a key's register, a `WorkRecord`, and the changes that a proposer may make to it.

    QUEUED -> STARTED -> FINISHED (with or without a result)
      ^  \\-> RELEASED -> QUEUED by another runner

STARTED is chosen before the run is commanded, so that the other runners know which work may have run if the owner is
lost. No change leads from STARTED back to a run, except `ReleaseWork` by the owner if it has not commanded the run and
never will.

A change is a function of the old value. It returns the new value, or None to leave the old value unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

KeyDigest = bytes  # Digest of a tenant and its idempotency key; see `key_of`.


class WorkState(Enum):
    """The state of a key's work in its register. The values are on the wire and in journals."""

    QUEUED = 0  # The work is queued at its owner.
    STARTED = 1  # The owner may have commanded the run.
    FINISHED = 2
    RELEASED = 3  # The owner has given the work up and has not run it.


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A process of a seat: the seat's name and the incarnation of the process."""

    seat: str
    incarnation: int


class WorkRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request with all that another runner needs to run it. The order of the fields is part of the wire format.

    Attributes:
        request_id: ID from the caller.
        request_class: Name of the request class.
        tenant: Name of the tenant, or None for a request without one.
        token: Idempotency key from the caller.
        content: Body of the request.
        arrived_unix_ms: Time of arrival in ms since 1970.
        budget_ms: Time budget of the caller, or None.
        caller: Number of the caller.
        memory_kb: Expected memory use.
        rank: Priority among the requests of one tenant.
        subject: Number of the subject, or None.
        rules_revision: Revision of the customer's rules that apply to the request (namespace incarnation and number),
            or None.
    """

    request_id: str
    request_class: str
    tenant: str | None
    token: str
    content: bytes
    arrived_unix_ms: float
    budget_ms: float | None
    caller: int
    memory_kb: float
    rank: float
    subject: int | None
    rules_revision: tuple[int, int] | None = None


class WorkRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key's register. The order of the fields is part of the wire and journal formats.

    Attributes:
        state: State of the work.
        owner: Process that owns the work or owned it last.
        attempt: Number that grows with each takeover; changes by an owner for an earlier attempt are ignored.
        body_digest: Digest of the body. A request with the same key and another body does not get the result.
        request: Request while another runner may take the work over, else None.
        result: Result of the run, or None.
        rejected_by: Names of the seats that have rejected the work.
    """

    state: WorkState
    owner: Owner
    attempt: int
    body_digest: int
    request: WorkRequest | None = None
    result: bytes | None = None
    rejected_by: tuple[str, ...] = ()


def key_of(tenant: str | None, token: str) -> KeyDigest:
    """Return the 16-byte digest of a tenant and its idempotency key.

    Tenants never share a digest: the hashed data includes whether there is a tenant and the length of its name.
    """
    name = b"-" if tenant is None else b"+" + tenant.encode()
    return xxhash.xxh3_128_digest(len(name).to_bytes(4, "big") + name + token.encode())


@dataclass(frozen=True, slots=True)
class ClaimWork:
    """Claims a key that is new to the claiming runner, which becomes the owner unless the key has an owner."""

    owner: Owner
    body_digest: int
    request: WorkRequest

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return QUEUED by the claimer if the register was empty, or if work was released that the claim matches.

        A claim matches released work with the same body, and released work whose request is no longer stored.
        """
        if old is None:
            return WorkRecord(WorkState.QUEUED, self.owner, 1, self.body_digest, self.request)
        if old.state is WorkState.RELEASED and (old.body_digest == self.body_digest or old.request is None):
            return WorkRecord(WorkState.QUEUED, self.owner, old.attempt + 1, self.body_digest, self.request)
        return None


@dataclass(frozen=True, slots=True)
class TakeOverWork:
    """Takes over work that was released or is queued at `former_owner`, but never work that may have started."""

    new_owner: Owner
    former_owner: Owner
    attempt: int

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return QUEUED by the new owner if the work was released or is still queued at the former owner."""
        if old is None or old.request is None or old.owner == self.new_owner:
            return None
        former_is_owner = (
            old.state is WorkState.QUEUED and old.owner == self.former_owner and old.attempt == self.attempt
        )
        if old.state is WorkState.RELEASED or former_is_owner:
            return WorkRecord(
                WorkState.QUEUED,
                self.new_owner,
                old.attempt + 1,
                old.body_digest,
                old.request,
                None,
                old.rejected_by,
            )
        return None


@dataclass(frozen=True, slots=True)
class _OwnersChange:
    """The base class of changes that apply to one attempt of one owner."""

    owner: Owner
    attempt: int

    def applies_to(self, old: WorkRecord | None) -> bool:
        """Return whether the register still has that owner and attempt."""
        return old is not None and old.owner == self.owner and old.attempt == self.attempt


@dataclass(frozen=True, slots=True)
class StartWork(_OwnersChange):
    """Records the start before the run is commanded. Drops the request, as the work can't be taken over any more."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return STARTED if the work was queued."""
        if old is not None and self.applies_to(old) and old.state is WorkState.QUEUED:
            return WorkRecord(
                WorkState.STARTED, old.owner, old.attempt, old.body_digest, None, None, old.rejected_by
            )
        return None


@dataclass(frozen=True, slots=True)
class FinishWork(_OwnersChange):
    """Records the end of the run. Replaces an end without a result that another runner has recorded."""

    result: bytes | None

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return FINISHED with the result if the work was started or was finished without a result."""
        if old is None or not self.applies_to(old):
            return None
        lacks_result = old.state is WorkState.FINISHED and old.result is None and self.result is not None
        if old.state is WorkState.STARTED or lacks_result:
            return WorkRecord(WorkState.FINISHED, old.owner, old.attempt, old.body_digest, None, self.result)
        return None


@dataclass(frozen=True, slots=True)
class ReleaseWork(_OwnersChange):
    """Records that the work has not run at its owner and never will.

    Attributes:
        request: Request if another runner may take the work over, else None.
        rejected: Whether the owner's seat has rejected the work.
    """

    request: WorkRequest | None
    rejected: bool

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return RELEASED if the work was queued or started."""
        if old is None or not self.applies_to(old):
            return None
        if old.state not in (WorkState.QUEUED, WorkState.STARTED):
            return None
        rejected_by = (*old.rejected_by, self.owner.seat) if self.rejected and self.request else ()
        return WorkRecord(
            WorkState.RELEASED, old.owner, old.attempt, old.body_digest, self.request, None, rejected_by
        )


@dataclass(frozen=True, slots=True)
class WithdrawClaim:
    """Withdraws a claim that timed out with an unknown outcome, and whose caller has received an error.

    Applies to every attempt number, because this owner has started none of them.
    """

    owner: Owner

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return RELEASED if the work is queued at this owner."""
        if old is not None and old.owner == self.owner and old.state is WorkState.QUEUED:
            return WorkRecord(WorkState.RELEASED, old.owner, old.attempt, old.body_digest)
        return None


@dataclass(frozen=True, slots=True)
class EndOrphanedWork(_OwnersChange):
    """Finishes, without a result, work that may have started at `owner`, which is lost or no longer has the work."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return FINISHED without a result if the work was started."""
        if old is not None and self.applies_to(old) and old.state is WorkState.STARTED:
            return WorkRecord(WorkState.FINISHED, old.owner, old.attempt, old.body_digest)
        return None


class ReadOnly:
    """Changes nothing. Serves as a read with the guarantees of a write."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Return None."""
        return None
