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
from .journal import IncarnationsRecord, JournalImage, RecoveredRecord, RegisterRecord
from .messages import FAST_BALLOT, Ballot, BallotRequest, Incarnations, SyncReply, Vote
from .work_record import Key

NO_BALLOT: Ballot = (-1, 0, 0)
CLOSED_BALLOT: Ballot = (1, 0, 0)  # under every classic ballot, over FAST
SYNC_BATCH, PERMANENT_SYNC_BATCH = (
    64,
    4,
)  # registers in one message of an answer to Sync; of those that last, which are larger


@dataclass(slots=True)
class RegisterState:
    """What a keeper has of one register: its promise, and the value it took last."""

    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    value: Any = None
    expires_at: int = 0  # us; forgotten from then on: the key no longer counts


@dataclass(slots=True)
class Acceptor:
    """`keepers` tells a key's seats. `remembers`: nothing was forgotten, or what was no longer counts."""

    seat: str
    incarnation: int
    replicas: Callable[[Key], tuple[str, ...]]
    other_seats: frozenset[str] = frozenset()  # all seats but this one
    recovered: bool = False
    max_registers: int = 8_000
    registers: dict[Key, RegisterState] = field(default_factory=dict)
    incarnations: Incarnations = field(default_factory=dict)
    synced_from: set[str] = field(default_factory=set)  # who has told all that it knows, in this life of ours
    slices_synced_from: dict[str, frozenset[int]] = field(
        default_factory=dict
    )  # who has told what it knows of these slices
    slice_of: Callable[[Key], int] = lambda key: 0  # a key's slice,
    slice_replicas: Callable[[int], tuple[str, ...]] | None = None  # and a slice's keepers
    own_slices: list[int] | None = (
        None  # slices that count here and that this seat keeps; worked out where it has forgotten
    )
    _expiries: list[tuple[int, Key]] = field(default_factory=list)  # stale where the slot says otherwise
    on_change: Callable[[Key, RegisterState], None] = lambda key, slot: None  # a slot has another value
    journaled: bool = False  # there is a disk: what changes is noted until it is written
    permanent: bool = False  # no key ends
    journal_failing: bool = False  # and it does not take what is written: no vote may leave
    _unsaved_registers: set[Key] = field(default_factory=set)
    _unsaved_incarnations: bool = True
    _unsaved_recovered: bool = True  # that it remembers

    def __post_init__(self) -> None:
        self.incarnations[self.seat] = self.incarnation

    def can_vote_on(self, key: Key) -> bool:
        """Where every majority that this keeper's last life may have been part of has a member that was heard since."""
        return self.recovered or self._covers_slice(self.slice_of(key), self.replicas(key))

    def _covers_slice(self, part: int, seats: tuple[str, ...]) -> bool:
        told = sum(
            seat in self.synced_from or part in self.slices_synced_from.get(seat, ()) for seat in seats
        )
        return told >= len(seats) - majority(len(seats)) + 1

    def covers_all_votes(self) -> bool:
        """It knows again all that its votes rest on: heard from all, or from enough for each slice that it keeps. One
        seat that is lost for good must not keep all that begin anew after it from ever remembering."""
        return self.synced_from >= self.other_seats or (
            self.own_slices is not None
            and self.slice_replicas is not None
            and all(self._covers_slice(part, self.slice_replicas(part)) for part in self.own_slices)
        )

    def known_slices(self) -> frozenset[int]:
        """Slices that it votes for, while it does not remember all."""
        of = self.slice_replicas
        return (
            frozenset()
            if of is None
            else frozenset(p for p in self.own_slices or () if self._covers_slice(p, of(p)))
        )

    def learn_incarnations(self, incs: Incarnations) -> None:
        for seat, inc in incs.items():
            if inc > self.incarnations.get(seat, 0):
                self.incarnations[seat] = inc
                self._unsaved_incarnations = True

    # ---- votes ----

    def vote(self, now: int, a: BallotRequest) -> Vote:
        seats = self.replicas(a.key)
        incs = {s: self.incarnations[s] for s in seats if s in self.incarnations}
        if self.seat not in seats or self.journal_failing or not self.can_vote_on(a.key):
            return Vote(
                a.serial,
                a.key,
                False,
                NO_BALLOT,
                None,
                None,
                self.incarnation,
                incs,
                recovering=True,
                space=a.space,
            )
        slot = self.registers.get(a.key)
        if slot is None:
            if len(self.registers) >= self.max_registers:
                return Vote(
                    a.serial,
                    a.key,
                    False,
                    NO_BALLOT,
                    None,
                    None,
                    self.incarnation,
                    incs,
                    at_capacity=True,
                    space=a.space,
                )
            slot = RegisterState()
        taken = self._accept(slot, a)
        if taken:
            self.registers[a.key] = slot
            self._schedule_expiry(a.key, slot, now + a.ttl_ms * 1000)
            if a.value is not None:
                self.on_change(a.key, slot)
        return Vote(
            a.serial,
            a.key,
            taken,
            slot.promised,
            slot.accepted_ballot,
            slot.value,
            self.incarnation,
            incs,
            space=a.space,
        )

    def _accept(self, slot: RegisterState, a: BallotRequest) -> bool:
        if a.ballot == FAST_BALLOT:
            if slot.promised != NO_BALLOT:
                return False
        elif a.value is None:
            if a.ballot <= slot.promised:
                return False
            slot.promised = a.ballot
            return True
        # A promise made by a keeper that has been another since is none: taken here, the value could hide one that
        # was chosen meanwhile.
        elif a.ballot < slot.promised or any(
            self.incarnations.get(seat, 0) > inc for seat, inc in a.quorum.items()
        ):
            return False
        slot.accepted_ballot, slot.value, slot.promised = a.ballot, a.value, a.next_ballot
        return True

    def _schedule_expiry(self, key: Key, slot: RegisterState, until: int) -> None:
        if self.journaled:
            self._unsaved_registers.add(key)
        if self.permanent:
            return
        if until > slot.expires_at:
            slot.expires_at = until
            heapq.heappush(self._expiries, (until, key))

    def expire(self, now: int) -> list[Key]:
        """Forgets what no longer counts: the window is part of the promise, so time may end a key, and nothing else."""
        gone = []
        while self._expiries and self._expiries[0][0] <= now:
            until, key = heapq.heappop(self._expiries)
            slot = self.registers.get(key)
            if slot is not None and slot.expires_at == until:
                del self.registers[key]
                gone.append(key)
        return gone

    # ---- a keeper that has forgotten ----

    def answer_sync(self, now: int, seat: str, inc: int, space: int = 0) -> list[SyncReply]:
        """For the seat whose process begins anew. From here on its earlier lives count for nothing with us."""
        known = self.incarnations.get(seat, 0)
        if inc < known:
            # Told as of nothing: by the time it comes the asker may have the very incarnation that it names.
            return [SyncReply(known, {}, [], True, recovering=True, space=space)]
        self.learn_incarnations({seat: inc})
        # What is not told counts as never written: who has forgotten any of a slice may not speak of it.
        vouches = None if self.recovered else self.known_slices()
        if vouches is not None and not vouches:
            return [SyncReply(inc, dict(self.incarnations), [], True, recovering=True, space=space)]
        theirs = [
            (key, s.promised, s.accepted_ballot, s.value, max(0, s.expires_at - now) // 1000)
            for key, s in self.registers.items()
            if seat in self.replicas(key)
            and (vouches is None or (self.slice_of(key) in vouches and self.can_vote_on(key)))
        ]
        batch = PERMANENT_SYNC_BATCH if self.permanent else SYNC_BATCH
        parts = [theirs[i : i + batch] for i in range(0, len(theirs), batch)] or [[]]
        return [
            SyncReply(
                inc,
                dict(self.incarnations),
                part,
                part is parts[-1],
                space=space,
                known_slices=None if vouches is None else sorted(vouches),
            )
            for part in parts
        ]

    def apply_sync(self, now: int, seat: str, told: SyncReply) -> None:
        self.learn_incarnations(told.incarnations)
        for key, promised, ballot, value, left_ms in told.registers:
            slot = self.registers.setdefault(key, RegisterState())
            self._schedule_expiry(key, slot, now + left_ms * 1000)
            slot.promised = max(slot.promised, promised, CLOSED_BALLOT)
            if ballot is not None and (slot.accepted_ballot is None or ballot > slot.accepted_ballot):
                slot.accepted_ballot, slot.value = ballot, value
                self.on_change(key, slot)
        if told.last and not told.recovering:
            if told.known_slices is None:
                self.synced_from.add(seat)
            else:
                self.slices_synced_from[seat] = frozenset(told.known_slices)
            self.check_recovered()

    def check_recovered(self) -> None:
        """Whether it remembers by now."""
        if not self.recovered and self.covers_all_votes():
            self.recovered = True

    # ---- a disk ----

    def unsaved_records(self, now: int) -> list[Any]:
        """Records of all that has changed since the last call; that it remembers comes after what it remembers."""
        lines: list[Any] = [
            self._record(now, key) for key in self._unsaved_registers if key in self.registers
        ]
        if self._unsaved_incarnations:
            lines.append(IncarnationsRecord(dict(self.incarnations)))
        if self.recovered and self._unsaved_recovered:
            lines.append(RecoveredRecord())
            self._unsaved_recovered = False
        self._unsaved_registers.clear()
        self._unsaved_incarnations = False
        return lines

    def all_records(self, now: int) -> list[Any]:
        """Records of all that there is, in place of all that was written before."""
        self._unsaved_registers.update(self.registers)
        self._unsaved_incarnations = self._unsaved_recovered = True
        return self.unsaved_records(now)

    def _record(self, now: int, key: Key) -> RegisterRecord:
        slot = self.registers[key]
        return RegisterRecord(
            key, slot.promised, slot.accepted_ballot, slot.value, max(1, (slot.expires_at - now) // 1000)
        )

    def restore(self, now: int, image: JournalImage) -> None:
        """As an earlier life of this seat has left it."""
        self.learn_incarnations({seat: inc for seat, inc in image.incarnations.items() if seat != self.seat})
        for key, line in image.registers.items():
            slot = self.registers[key] = RegisterState(line.promised, line.accepted_ballot, line.value)
            self._schedule_expiry(key, slot, now + line.ttl_ms * 1000)
            if line.value is not None:
                self.on_change(key, slot)
        self.recovered = image.recovered
        self._unsaved_registers.clear()  # it is in the file already
