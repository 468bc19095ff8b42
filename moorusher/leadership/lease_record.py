"""A duty as the value of its register, and the changes that there are.

    VACANT -> HELD -> YIELDING -> OFFERED -> HELD by the next
       ^        \\-> HELD by another, where its owner is lost
       |-- ASIDE until an operator lets it go on
    GONE: its name was taken away; made anew, it is another duty with a later birth

The term grows with each change of owner, the number with each change at all. A change by an owner is a function of the
value that it finds: where that has another term, nothing is made. So what refuses an old owner is the majority that the
value was read from, not a look before the write.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from ..replication.work_record import Key, Owner

MOST_NAME = 128  # bytes
MOST_WHAT = 512  # bytes of an intent


class Life(Enum):
    """Where a duty is between two owners."""

    VACANT = 0
    OFFERED = 1  # to the seat in `to`
    HELD = 2
    YIELDING = 3  # its owner ends what it has under way, and begins nothing
    ASIDE = 4  # for the reason in `why`
    GONE = 5


class Settle(Enum):
    """How a successor finds out about an intent whose outcome nobody has told."""

    ASK = 0  # its receiver knows what was done, and once asked does it never: only such a no counts
    REPEAT = 1  # done twice it is as done once
    TELL = 2  # an operator must look


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A state: the number of the change that named it, its bytes, and the digests of its pieces in order."""

    number: int
    size: int
    pieces: tuple[bytes, ...]


class Intent(msgspec.Struct, frozen=True, array_like=True):
    """Something that is to be done where nobody can compare fences. `number`: of the change that chose it."""

    number: int
    term: int
    to: str
    what: bytes
    settle: int


class Post(msgspec.Struct, frozen=True, array_like=True):
    """`born` tells a duty from an earlier one of its name. `step` counts its owner's changes in this term, so that a
    change which a second round finds already made is not made twice."""

    name: str
    kind: str
    born: int
    term: int
    number: int
    life: int
    owner: Owner | None = None
    step: int = 0
    to: str = ""
    lost: int = 0
    versions: tuple[Version, ...] = ()
    intents: tuple[Intent, ...] = ()
    why: str = ""
    above: int = 0  # where it was put aside as forgotten: what it must be born after

    @property
    def at(self) -> tuple[int, int, int]:
        return self.born, self.term, self.number

    @property
    def is_owned(self) -> bool:
        return self.life in (Life.HELD.value, Life.YIELDING.value)

    @property
    def wants_an_owner(self) -> bool:
        return self.life in (Life.VACANT.value, Life.OFFERED.value)


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Post)


def pack(post: Post) -> bytes:
    """A post as the value of its register."""
    return _encode(post)


def unpack(value: bytes | None) -> Post | None:
    """The post in a register; None where there is none yet."""
    return None if value is None else _decoder.decode(value)


def key_of(name: str) -> Key:
    """The register of a duty."""
    return b"duty:" + name.encode()


class Change:
    """Of a register's bytes, by `make` of what they say."""

    def __call__(self, old: bytes | None) -> bytes | None:
        made = self.make(unpack(old))
        return None if made is None else pack(made)

    def make(self, old: Post | None) -> Post | None:
        raise NotImplementedError


def _next(old: Post, **how: object) -> Post:
    return msgspec.structs.replace(old, number=old.number + 1, **how)


class Look(Change):
    """Changes nothing: the register as a majority has it."""

    def make(self, old: Post | None) -> Post | None:
        return None


class Create(Change):
    """`born`: later than all that this member knows; what was there before is outlived in any case."""

    def __init__(self, name: str, kind: str, born: int, again: bool = True) -> None:
        """`again`: also where it was taken away before."""
        self.name, self.kind, self.born, self.again = name, kind, born, again

    def make(self, old: Post | None) -> Post | None:
        if old is None:
            return Post(self.name, self.kind, self.born, 0, 0, Life.VACANT.value)
        if old.life == Life.GONE.value and self.again:
            return Post(self.name, self.kind, max(self.born, old.born + 1), 0, 0, Life.VACANT.value)
        return None


class Accept(Change):
    """By who was offered it. `seen`: (born, term) of the owner that is lost, where there is one; `counts`: that loss is
    held against the duty."""

    def __init__(self, me: Owner, seen: tuple[int, int], counts: bool, most_lost: int) -> None:
        self.me, self.seen, self.counts, self.most_lost = me, seen, counts, most_lost
        self.before: Owner | None = None  # who had it, as last read

    def make(self, old: Post | None) -> Post | None:
        if old is None or (old.born, old.term) != self.seen:
            return None
        if old.wants_an_owner:
            return _next(old, term=old.term + 1, life=Life.HELD.value, owner=self.me, step=0, to="")
        if not old.is_owned or old.owner == self.me:
            return None
        self.before = old.owner
        lost = old.lost + self.counts
        if lost >= self.most_lost and self.counts:
            return _next(
                old,
                term=old.term + 1,
                life=Life.ASIDE.value,
                owner=None,
                step=0,
                lost=lost,
                why=f"{lost} owners were lost one after the other, the last one {_seat(old.owner)}",
            )
        return _next(old, term=old.term + 1, life=Life.HELD.value, owner=self.me, step=0, to="", lost=lost)


def _seat(owner: Owner | None) -> str:
    return "nobody" if owner is None else owner.seat


class Own(Change):
    """By the owner in its term, for the `step`th time."""

    also_yielding = False

    def __init__(self, me: Owner, born: int, term: int, step: int) -> None:
        self.me, self.born, self.term, self.step = me, born, term, step

    def made_in(self, post: Post | None) -> bool:
        """Whether that value holds this change, or came after it in the same term."""
        return post is not None and self._mine(post) and post.step >= self.step

    def _mine(self, post: Post) -> bool:
        return (post.born, post.term, post.owner) == (self.born, self.term, self.me)

    def make(self, old: Post | None) -> Post | None:
        if old is None or not self._mine(old) or old.step >= self.step:
            return None
        if old.life != Life.HELD.value and not (self.also_yielding and old.life == Life.YIELDING.value):
            return None
        return self.own(old)

    def own(self, old: Post) -> Post:
        return _next(old, step=self.step)


class Step(Own):
    """Something outside is told under the number that this makes."""


class Proven(Own):
    """It has been in these hands for long enough: earlier losses are not its fault."""

    def own(self, old: Post) -> Post:
        return _next(old, step=self.step, lost=0)


class Advance(Own):
    """Another state, whose pieces a majority has for the change that follows `number`, and for no other."""

    also_yielding = True

    def __init__(
        self,
        me: Owner,
        born: int,
        term: int,
        step: int,
        number: int,
        size: int,
        pieces: tuple[bytes, ...],
        keep: int,
    ) -> None:
        super().__init__(me, born, term, step)
        self.number, self.size, self.pieces, self.keep = number, size, pieces, keep

    def make(self, old: Post | None) -> Post | None:
        return None if old is None or old.number != self.number else super().make(old)

    def own(self, old: Post) -> Post:
        version = Version(old.number + 1, self.size, self.pieces)
        return _next(old, step=self.step, versions=(version, *old.versions)[: self.keep])


class Intend(Own):
    """An effect is chosen before it is made, where its receiver can't compare fences."""

    def __init__(
        self, me: Owner, born: int, term: int, step: int, to: str, what: bytes, settle: Settle
    ) -> None:
        super().__init__(me, born, term, step)
        self.to, self.what, self.settle = to, what, settle

    def own(self, old: Post) -> Post:
        intent = Intent(old.number + 1, self.term, self.to, self.what, self.settle.value)
        return _next(old, step=self.step, intents=(*old.intents, intent))


class Outcome(Own):
    """That intent is settled: it was done, or never will be."""

    also_yielding = True

    def __init__(self, me: Owner, born: int, term: int, step: int, number: int) -> None:
        super().__init__(me, born, term, step)
        self.number = number

    def own(self, old: Post) -> Post:
        return _next(old, step=self.step, intents=tuple(i for i in old.intents if i.number != self.number))


class Yield(Own):
    """The owner begins nothing new: it gives the duty up."""

    def own(self, old: Post) -> Post:
        return _next(old, step=self.step, life=Life.YIELDING.value)


class Release(Own):
    """To that seat first; to whoever is fit where it is empty."""

    also_yielding = True

    def __init__(self, me: Owner, born: int, term: int, step: int, to: str) -> None:
        super().__init__(me, born, term, step)
        self.to = to

    def own(self, old: Post) -> Post:
        life = Life.OFFERED if self.to else Life.VACANT
        return _next(old, step=self.step, life=life.value, owner=None, to=self.to, lost=0)

    def made_in(self, post: Post | None) -> bool:
        return (
            post is not None
            and post.born == self.born
            and (post.term > self.term or (post.term == self.term and post.wants_an_owner))
        )


class PutAside(Own):
    """The duty waits for an operator, with the reason."""

    also_yielding = True

    def __init__(self, me: Owner, born: int, term: int, step: int, why: str, above: int) -> None:
        super().__init__(me, born, term, step)
        self.why, self.above = why, above

    def own(self, old: Post) -> Post:
        return _next(old, step=self.step, life=Life.ASIDE.value, owner=None, why=self.why, above=self.above)

    def made_in(self, post: Post | None) -> bool:
        return (
            post is not None
            and post.born == self.born
            and post.term == self.term
            and post.life == Life.ASIDE.value
        )


# ---- an operator's word ----


class Resume(Change):
    """`above`: a birth that an earlier memory of the fleet had given it, as its receiver knows."""

    """Born anew where its receiver knew of a later birth: an earlier memory of the fleet had given it."""

    def make(self, old: Post | None) -> Post | None:
        if old is None or old.life != Life.ASIDE.value:
            return None
        return _next(old, life=Life.VACANT.value, lost=0, why="", born=max(old.born, old.above), above=0)


class SettleIt(Change):
    """An operator's word that an open intent is settled."""

    def __init__(self, number: int) -> None:
        self.number = number

    def make(self, old: Post | None) -> Post | None:
        if old is None or all(i.number != self.number for i in old.intents):
            return None
        return _next(old, intents=tuple(i for i in old.intents if i.number != self.number))


class Remove(Change):
    """Whoever has it is superseded; the birth stays, so that one of this name made later is another."""

    def __init__(self, born: int) -> None:
        self.born = born

    def make(self, old: Post | None) -> Post | None:
        if old is None or old.life == Life.GONE.value or old.born != self.born:
            return None
        return Post(old.name, old.kind, old.born, old.term + 1, old.number + 1, Life.GONE.value)
