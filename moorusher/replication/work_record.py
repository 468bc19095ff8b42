"""The life of work as the values of its register, and the changes that there are.

    HELD -> BEGUN -> OVER (with its result, or without)
      ^  \\-> FREE -> HELD by another

BEGUN is chosen before the run is commanded, so that whoever survives knows what may have run. From BEGUN nothing leads
back to a run, but for one word of the owner itself: that it has not commanded it and never will.
"""

from __future__ import annotations

from enum import Enum

import msgspec
import xxhash

Key = bytes  # of a request: `key_of` its tenant and token


class State(Enum):
    """How far the work of a key has come, by its register."""

    HELD = 0  # read, in the queue of its owner
    BEGUN = 1  # its owner may have commanded it
    OVER = 2
    FREE = 3  # it never ran, and its owner has left it


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A process of a seat."""

    seat: str
    inc: int


class Order(msgspec.Struct, frozen=True, array_like=True):
    """What another runner needs to go on with the work: the request as it was read."""

    rid: str
    klass: str
    tenant: str | None
    token: str
    content: bytes
    t0_unix_ms: float
    budget_ms: float | None
    caller: int
    memory_kb: float
    rank: float
    subject: int | None
    ruled: tuple[int, int] | None = None  # the revision of its customer's rules that it was read under


class Work(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key's register."""

    state: State
    owner: Owner
    attempt: int  # grows with each one that takes it up: what an earlier owner says of it then counts no more
    body: (
        int  # digest: another body under the same key is another request, and gets none of this one's result
    )
    order: Order | None = None  # while it may be taken over
    result: bytes | None = None
    turned: tuple[str, ...] = ()  # seats that have turned it away


def key_of(tenant: str | None, token: str) -> Key:
    """Tenants never share a key: whether one is there, and where its name ends, is part of what is hashed."""
    name = b"-" if tenant is None else b"+" + tenant.encode()
    return xxhash.xxh3_128_digest(len(name).to_bytes(4, "big") + name + token.encode())


class Claim:
    """A key that is new here: ours, unless somebody has it."""

    def __init__(self, me: Owner, body: int, order: Order) -> None:
        self.me, self.body, self.order = me, body, order

    def __call__(self, old: Work | None) -> Work | None:
        if old is None:
            return Work(State.HELD, self.me, 1, self.body, self.order)
        if old.state is State.FREE and (old.body == self.body or old.order is None):
            return Work(State.HELD, self.me, old.attempt + 1, self.body, self.order)
        return None


class Take:
    """Work that its owner has left, or that an owner holds who does not answer. Never what may have begun."""

    def __init__(self, me: Owner, owner: Owner, attempt: int) -> None:
        self.me, self.owner, self.attempt = me, owner, attempt

    def __call__(self, old: Work | None) -> Work | None:
        if old is None or old.order is None or old.owner == self.me:
            return None
        if old.state is State.FREE or (
            old.state is State.HELD and old.owner == self.owner and old.attempt == self.attempt
        ):
            return Work(State.HELD, self.me, old.attempt + 1, old.body, old.order, None, old.turned)
        return None


class _Mine:
    def __init__(self, me: Owner, attempt: int) -> None:
        self.me, self.attempt = me, attempt

    def mine(self, old: Work | None) -> bool:
        return old is not None and old.owner == self.me and old.attempt == self.attempt


class Begin(_Mine):
    """Before the run is commanded. The order goes: nobody may take it over from here on."""

    def __call__(self, old: Work | None) -> Work | None:
        if old is not None and self.mine(old) and old.state is State.HELD:
            return Work(State.BEGUN, old.owner, old.attempt, old.body, None, None, old.turned)
        return None


class Settle(_Mine):
    """The run is over. Its own end goes before one that others have said for it: that was said without a result."""

    def __init__(self, me: Owner, attempt: int, result: bytes | None) -> None:
        super().__init__(me, attempt)
        self.result = result

    def __call__(self, old: Work | None) -> Work | None:
        if (
            old is not None
            and self.mine(old)
            and (
                old.state is State.BEGUN
                or (old.state is State.OVER and old.result is None and self.result is not None)
            )
        ):
            return Work(State.OVER, old.owner, old.attempt, old.body, None, self.result)
        return None


class Free(_Mine):
    """It never ran here and never will, says its owner; `order` is there where others may go on with it."""

    def __init__(self, me: Owner, attempt: int, order: Order | None, turned: bool) -> None:
        super().__init__(me, attempt)
        self.order, self.turned = order, turned

    def __call__(self, old: Work | None) -> Work | None:
        if old is not None and self.mine(old) and old.state in (State.HELD, State.BEGUN):
            turned = (*old.turned, self.me.seat) if self.turned and self.order else ()
            return Work(State.FREE, old.owner, old.attempt, old.body, self.order, None, turned)
        return None


class Withdraw:
    """A claim whose outcome its owner did not hear in time: its caller was told of an error, and nobody here waits for
    it. Whichever attempt it became: this owner has begun none."""

    def __init__(self, me: Owner) -> None:
        self.me = me

    def __call__(self, old: Work | None) -> Work | None:
        if old is not None and old.owner == self.me and old.state is State.HELD:
            return Work(State.FREE, old.owner, old.attempt, old.body)
        return None


class Bury(_Mine):
    """What may have begun at a runner that is lost: over, without a result. `me` is that owner."""

    def __call__(self, old: Work | None) -> Work | None:
        if old is not None and self.mine(old) and old.state is State.BEGUN:
            return Work(State.OVER, old.owner, old.attempt, old.body)
        return None


class Look:
    """Nothing is changed: what is there?"""

    def __call__(self, old: Work | None) -> Work | None:
        return None
