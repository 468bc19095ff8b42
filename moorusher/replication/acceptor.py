"""One keeper's part of the registers: what it has promised, what it has taken, and when that counts as a vote.

The rule for keepers that forget is that of crash-consistent quorums (Michael, Ports, Sharma and Szekeres, "Recovering
Shared Objects Without Stable Storage", DISC 2017): each life of a keeper has an incarnation, each vote names it and
those that the voter has heard of, and votes of an incarnation that somebody knows to be past count for nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.placement import majority
from .journal import Heard, Image, Line, Remembers
from .messages import FAST, Ask, Ballot, Incs, Slots, Vote
from .work_record import Key

NEVER: Ballot = (-1, 0, 0)
CLOSED: Ballot = (1, 0, 0)  # under every classic ballot, over FAST
BATCH, FEW = 64, 4  # registers in one message of an answer to Sync; of those that last, which are larger


@dataclass(slots=True)
class Slot:
    """What a keeper has of one register: its promise, and the value it took last."""

    promised: Ballot = NEVER
    ballot: Ballot | None = None
    value: Any = None
    until: int = 0  # us; forgotten from then on: the key no longer counts


@dataclass(slots=True)
class Keeper:
    """`keepers` tells a key's seats. `remembers`: nothing was forgotten, or what was no longer counts."""

    me: str
    inc: int
    keepers: Callable[[Key], tuple[str, ...]]
    others: frozenset[str] = frozenset()  # all seats but this one
    remembers: bool = False
    most: int = 8_000
    slots: dict[Key, Slot] = field(default_factory=dict)
    incs: Incs = field(default_factory=dict)
    synced: set[str] = field(default_factory=set)  # who has told all that it knows, in this life of ours
    vouched: dict[str, frozenset[int]] = field(
        default_factory=dict
    )  # who has told what it knows of these slices
    part: Callable[[Key], int] = lambda key: 0  # a key's slice,
    of: Callable[[int], tuple[str, ...]] | None = None  # and a slice's keepers
    mine: list[int] | None = (
        None  # slices that count here and that this seat keeps; worked out where it has forgotten
    )
    _ends: list[tuple[int, Key]] = field(default_factory=list)  # stale where the slot says otherwise
    told: Callable[[Key, Slot], None] = lambda key, slot: None  # a slot has another value
    notes: bool = False  # there is a disk: what changes is noted until it is written
    lasting: bool = False  # no key ends
    mute: bool = False  # and it does not take what is written: no vote may leave
    _unsaved: set[Key] = field(default_factory=set)
    _unsaved_incs: bool = True
    _unsaved_end: bool = True  # that it remembers

    def __post_init__(self) -> None:
        self.incs[self.me] = self.inc

    def votes_for(self, key: Key) -> bool:
        """Where every majority that this keeper's last life may have been part of has a member that was heard since."""
        return self.remembers or self._covers(self.part(key), self.keepers(key))

    def _covers(self, part: int, seats: tuple[str, ...]) -> bool:
        told = sum(seat in self.synced or part in self.vouched.get(seat, ()) for seat in seats)
        return told >= len(seats) - majority(len(seats)) + 1

    def covered(self) -> bool:
        """It knows again all that its votes rest on: heard from all, or from enough for each slice that it keeps. One
        seat that is lost for good must not keep all that begin anew after it from ever remembering."""
        return self.synced >= self.others or (
            self.mine is not None
            and self.of is not None
            and all(self._covers(part, self.of(part)) for part in self.mine)
        )

    def vouches(self) -> frozenset[int]:
        """Slices that it votes for, while it does not remember all."""
        of = self.of
        return frozenset() if of is None else frozenset(p for p in self.mine or () if self._covers(p, of(p)))

    def hear_of(self, incs: Incs) -> None:
        for seat, inc in incs.items():
            if inc > self.incs.get(seat, 0):
                self.incs[seat] = inc
                self._unsaved_incs = True

    # ---- votes ----

    def ask(self, now: int, a: Ask) -> Vote:
        seats = self.keepers(a.key)
        incs = {s: self.incs[s] for s in seats if s in self.incs}
        if self.me not in seats or self.mute or not self.votes_for(a.key):
            return Vote(a.serial, a.key, False, NEVER, None, None, self.inc, incs, blank=True, space=a.space)
        slot = self.slots.get(a.key)
        if slot is None:
            if len(self.slots) >= self.most:
                return Vote(
                    a.serial, a.key, False, NEVER, None, None, self.inc, incs, full=True, space=a.space
                )
            slot = Slot()
        taken = self._take(slot, a)
        if taken:
            self.slots[a.key] = slot
            self._keep(a.key, slot, now + a.left_ms * 1000)
            if a.value is not None:
                self.told(a.key, slot)
        return Vote(
            a.serial, a.key, taken, slot.promised, slot.ballot, slot.value, self.inc, incs, space=a.space
        )

    def _take(self, slot: Slot, a: Ask) -> bool:
        if a.ballot == FAST:
            if slot.promised != NEVER:
                return False
        elif a.value is None:
            if a.ballot <= slot.promised:
                return False
            slot.promised = a.ballot
            return True
        # A promise made by a keeper that has been another since is none: taken here, the value could hide one that
        # was chosen meanwhile.
        elif a.ballot < slot.promised or any(self.incs.get(seat, 0) > inc for seat, inc in a.quorum.items()):
            return False
        slot.ballot, slot.value, slot.promised = a.ballot, a.value, a.after
        return True

    def _keep(self, key: Key, slot: Slot, until: int) -> None:
        if self.notes:
            self._unsaved.add(key)
        if self.lasting:
            return
        if until > slot.until:
            slot.until = until
            heapq.heappush(self._ends, (until, key))

    def expire(self, now: int) -> list[Key]:
        """Forgets what no longer counts: the window is part of the promise, so time may end a key, and nothing else."""
        gone = []
        while self._ends and self._ends[0][0] <= now:
            until, key = heapq.heappop(self._ends)
            slot = self.slots.get(key)
            if slot is not None and slot.until == until:
                del self.slots[key]
                gone.append(key)
        return gone

    # ---- a keeper that has forgotten ----

    def answer_sync(self, now: int, seat: str, inc: int, space: int = 0) -> list[Slots]:
        """For the seat whose process begins anew. From here on its earlier lives count for nothing with us."""
        known = self.incs.get(seat, 0)
        if inc < known:
            # Told as of nothing: by the time it comes the asker may have the very incarnation that it names.
            return [Slots(known, {}, [], True, blank=True, space=space)]
        self.hear_of({seat: inc})
        # What is not told counts as never written: who has forgotten any of a slice may not speak of it.
        vouches = None if self.remembers else self.vouches()
        if vouches is not None and not vouches:
            return [Slots(inc, dict(self.incs), [], True, blank=True, space=space)]
        theirs = [
            (key, s.promised, s.ballot, s.value, max(0, s.until - now) // 1000)
            for key, s in self.slots.items()
            if seat in self.keepers(key)
            and (vouches is None or (self.part(key) in vouches and self.votes_for(key)))
        ]
        batch = FEW if self.lasting else BATCH
        parts = [theirs[i : i + batch] for i in range(0, len(theirs), batch)] or [[]]
        return [
            Slots(
                inc,
                dict(self.incs),
                part,
                part is parts[-1],
                space=space,
                vouches=None if vouches is None else sorted(vouches),
            )
            for part in parts
        ]

    def take_slots(self, now: int, seat: str, told: Slots) -> None:
        self.hear_of(told.incs)
        for key, promised, ballot, value, left_ms in told.slots:
            slot = self.slots.setdefault(key, Slot())
            self._keep(key, slot, now + left_ms * 1000)
            slot.promised = max(slot.promised, promised, CLOSED)
            if ballot is not None and (slot.ballot is None or ballot > slot.ballot):
                slot.ballot, slot.value = ballot, value
                self.told(key, slot)
        if told.last and not told.blank:
            if told.vouches is None:
                self.synced.add(seat)
            else:
                self.vouched[seat] = frozenset(told.vouches)
            self.look()

    def look(self) -> None:
        """Whether it remembers by now."""
        if not self.remembers and self.covered():
            self.remembers = True

    # ---- a disk ----

    def unsaved(self, now: int) -> list[Any]:
        """Records of all that has changed since the last call; that it remembers comes after what it remembers."""
        lines: list[Any] = [self._line(now, key) for key in self._unsaved if key in self.slots]
        if self._unsaved_incs:
            lines.append(Heard(dict(self.incs)))
        if self.remembers and self._unsaved_end:
            lines.append(Remembers())
            self._unsaved_end = False
        self._unsaved.clear()
        self._unsaved_incs = False
        return lines

    def whole(self, now: int) -> list[Any]:
        """Records of all that there is, in place of all that was written before."""
        self._unsaved.update(self.slots)
        self._unsaved_incs = self._unsaved_end = True
        return self.unsaved(now)

    def _line(self, now: int, key: Key) -> Line:
        slot = self.slots[key]
        return Line(key, slot.promised, slot.ballot, slot.value, max(1, (slot.until - now) // 1000))

    def recall(self, now: int, image: Image) -> None:
        """As an earlier life of this seat has left it."""
        self.hear_of({seat: inc for seat, inc in image.incs.items() if seat != self.me})
        for key, line in image.slots.items():
            slot = self.slots[key] = Slot(line.promised, line.ballot, line.value)
            self._keep(key, slot, now + line.left_ms * 1000)
            if line.value is not None:
                self.told(key, slot)
        self.remembers = image.remembers
        self._unsaved.clear()  # it is in the file already
