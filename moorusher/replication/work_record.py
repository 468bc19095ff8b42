"""The value of a key's register, a `WorkRecord`, and the changes that a proposer may make to it.

    HELD -> STARTED -> FINISHED (with a result, or without)
      ^  \\-> RELEASED -> HELD by another runner

STARTED is chosen before the run is commanded, so that every survivor knows which work may have run. From STARTED no
change leads back to a run, except `ReleaseWork` by the owner itself: it has not commanded the run and never will.

A change is a function of the old value. It returns the new value, or None where the old value is to stay.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

KeyDigest = bytes  # digest of a tenant and its idempotency key; see `key_of`


class WorkState(Enum):
    """How far the work of a key has come, by its register. The values are on the wire and in journals."""

    HELD = 0  # queued at its owner
    STARTED = 1  # its owner may have commanded the run
    FINISHED = 2
    RELEASED = 3  # it never ran, and its owner has given it up


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A process of a seat: the seat's name and the incarnation of the process."""

    seat: str
    incarnation: int


class WorkRequest(msgspec.Struct, frozen=True, array_like=True):
    """The request as it was read: what another runner needs to run it. The order of the fields is the wire's.

    Attributes:
        request_id: `str`, as the caller named it.
        request_class: `str`, name of the class of requests.
        tenant: `str`, or None for a request without a tenant.
        token: `str`, the idempotency key as the caller sent it.
        content: `bytes`, the body.
        arrived_unix_ms: `float`, ms since 1970.
        budget_ms: `float`, the caller's time budget, or None.
        caller: `int`, number of the caller.
        memory_kb: `float`, expected use of memory.
        rank: `float`, priority among requests of one tenant.
        subject: `int`, or None.
        rules_revision: birth and number of the revision of the customer's rules that it was read under, or None.
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
    """The value of a key's register. The order of the fields is the wire's and the journal's.

    Attributes:
        state: `WorkState`.
        owner: `Owner`, the process that has the work, or had it last.
        attempt: `int`, grows with each takeover; what an owner says of an earlier attempt is ignored.
        body_digest: `int`; another body under the same key is another request and gets none of this one's result.
        request: `WorkRequest`, present while another runner may take the work over.
        result: `bytes`, present where the run gave one.
        rejected_by: names of the seats that have rejected the work.
    """

    state: WorkState
    owner: Owner
    attempt: int
    body_digest: int
    request: WorkRequest | None = None
    result: bytes | None = None
    rejected_by: tuple[str, ...] = ()


def key_of(tenant: str | None, token: str) -> KeyDigest:
    """The key of a tenant's idempotency key: 16 bytes.

    Tenants never share a key: whether there is a tenant, and where its name ends, is part of what is hashed.
    """
    name = b"-" if tenant is None else b"+" + tenant.encode()
    return xxhash.xxh3_128_digest(len(name).to_bytes(4, "big") + name + token.encode())


@dataclass(frozen=True, slots=True)
class ClaimWork:
    """A key that is new to the claiming runner: it becomes the owner, unless somebody has the key."""

    owner: Owner
    body_digest: int
    request: WorkRequest

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """HELD by the claimer where there was nothing, or where the same work was released."""
        if old is None:
            return WorkRecord(WorkState.HELD, self.owner, 1, self.body_digest, self.request)
        if old.state is WorkState.RELEASED and (old.body_digest == self.body_digest or old.request is None):
            return WorkRecord(WorkState.HELD, self.owner, old.attempt + 1, self.body_digest, self.request)
        return None


@dataclass(frozen=True, slots=True)
class TakeOverWork:
    """Work that was released, or that `former_owner` holds and does not answer for. Never what may have started."""

    new_owner: Owner
    former_owner: Owner
    attempt: int

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """HELD by the new owner, one attempt later."""
        if old is None or old.request is None or old.owner == self.new_owner:
            return None
        is_held_by_former = (
            old.state is WorkState.HELD and old.owner == self.former_owner and old.attempt == self.attempt
        )
        if old.state is WorkState.RELEASED or is_held_by_former:
            return WorkRecord(
                WorkState.HELD,
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
    """A change that concerns one owner's attempt alone."""

    owner: Owner
    attempt: int

    def applies_to(self, old: WorkRecord | None) -> bool:
        """The register still names that owner and attempt."""
        return old is not None and old.owner == self.owner and old.attempt == self.attempt


@dataclass(frozen=True, slots=True)
class StartWork(_OwnersChange):
    """Before the run is commanded. The request is dropped: nobody may take the work over from here on."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """STARTED, where it was held."""
        if old is not None and self.applies_to(old) and old.state is WorkState.HELD:
            return WorkRecord(
                WorkState.STARTED, old.owner, old.attempt, old.body_digest, None, None, old.rejected_by
            )
        return None


@dataclass(frozen=True, slots=True)
class FinishWork(_OwnersChange):
    """The run is over. The owner's own end replaces one that others wrote for it: theirs has no result."""

    result: bytes | None

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """FINISHED with the result, where it was started or was ended without one."""
        if old is None or not self.applies_to(old):
            return None
        lacks_result = old.state is WorkState.FINISHED and old.result is None and self.result is not None
        if old.state is WorkState.STARTED or lacks_result:
            return WorkRecord(WorkState.FINISHED, old.owner, old.attempt, old.body_digest, None, self.result)
        return None


@dataclass(frozen=True, slots=True)
class ReleaseWork(_OwnersChange):
    """The owner says that the work never ran there and never will.

    `request` is there where others may go on with it; `rejected`: this seat has rejected it.
    """

    request: WorkRequest | None
    rejected: bool

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """RELEASED, where it was held or started."""
        if old is None or not self.applies_to(old):
            return None
        if old.state not in (WorkState.HELD, WorkState.STARTED):
            return None
        rejected_by = (*old.rejected_by, self.owner.seat) if self.rejected and self.request else ()
        return WorkRecord(
            WorkState.RELEASED, old.owner, old.attempt, old.body_digest, self.request, None, rejected_by
        )


@dataclass(frozen=True, slots=True)
class WithdrawClaim:
    """A claim whose outcome its owner did not learn in time: its caller got an error, and nobody here waits for it.

    It applies to whichever attempt the claim became: this owner has started none.
    """

    owner: Owner

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """RELEASED, where this owner holds it."""
        if old is not None and old.owner == self.owner and old.state is WorkState.HELD:
            return WorkRecord(WorkState.RELEASED, old.owner, old.attempt, old.body_digest)
        return None


@dataclass(frozen=True, slots=True)
class EndOrphanedWork(_OwnersChange):
    """Work that may have started at a lost runner ends without a result. `owner` is that lost process."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """FINISHED without a result, where it was started."""
        if old is not None and self.applies_to(old) and old.state is WorkState.STARTED:
            return WorkRecord(WorkState.FINISHED, old.owner, old.attempt, old.body_digest)
        return None


class ReadOnly:
    """Changes nothing: a read that has the guarantees of a write."""

    def __call__(self, old: WorkRecord | None) -> WorkRecord | None:
        """Always None."""
        return None
