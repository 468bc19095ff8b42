"""The acceptor's part of the registers: what it has promised and accepted, and when its vote counts.

Acceptors may lose their memory. The rule for those is that of crash-consistent quorums (Michael, Ports, Sharma and
Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017): each process of a seat has an incarnation,
each vote names it together with the incarnations that the voter has heard of, and a vote of an incarnation that
somebody knows to be past counts for nothing.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..membership.placement import majority
from .journal import IncarnationsRecord, JournalImage, RecoveredRecord, RegisterRecord
from .messages import FAST_BALLOT, Ballot, BallotRequest, Incarnations, SyncedRegister, SyncReply, Vote
from .work_record import KeyDigest

NO_BALLOT: Ballot = (-1, 0, 0)  # nothing was promised; a request at it only reads
CLOSED_BALLOT: Ballot = (1, 0, 0)  # below every classic ballot, above FAST_BALLOT: the fast round is over
SYNC_BATCH = 64  # registers in one part of an answer to a sync request
PERMANENT_SYNC_BATCH = 4  # the same, of permanent registers: their values are larger
US_PER_MS = 1_000


@dataclass(slots=True)
class RegisterState:
    """What an acceptor has of one register.

    Attributes:
        promised: the highest ballot that it has promised.
        accepted_ballot: of the value that it accepted last, or None.
        value: that value.
        expires_at: `int`, us; from then on the key no longer counts and is forgotten.
    """

    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    value: Any = None
    expires_at: int = 0


@dataclass(slots=True)
class Acceptor:
    """The registers that one seat is a replica of. Pure: times are passed in, in us.

    Attributes:
        seat: `str`, this acceptor's.
        incarnation: `int`, of this process.
        replicas: gives the seats of a key's replicas.
        other_seats: all seats of the cluster but this one.
        recovered: `bool`, nothing was forgotten, or what was forgotten no longer counts.
        max_registers: `int`; at that many, a request for a further key is answered `at_capacity`.
        registers: by key.
        incarnations: by seat, the highest that was heard of.
        synced_from: seats that have sent this incarnation all that they know.
        slices_synced_from: by seat, the slices that it has sent completely.
        slice_of: gives the slice of a key; keys of one slice have the same replicas.
        slice_replicas: gives the replicas of a slice.
        own_slices: slices that count here and that this seat is a replica of; worked out where it has forgotten.
        on_change: called with each register that has another value.
        journaled: `bool`, there is a disk: changes are noted until they are written.
        permanent: `bool`, keys never expire.
        journal_failing: `bool`, nothing can be written: no vote may leave.
    """

    seat: str
    incarnation: int
    replicas: Callable[[KeyDigest], tuple[str, ...]]
    other_seats: frozenset[str] = frozenset()
    recovered: bool = False
    max_registers: int = 8_000
    registers: dict[KeyDigest, RegisterState] = field(default_factory=dict)
    incarnations: Incarnations = field(default_factory=dict)
    synced_from: set[str] = field(default_factory=set)
    slices_synced_from: dict[str, frozenset[int]] = field(default_factory=dict)
    slice_of: Callable[[KeyDigest], int] = lambda key: 0
    slice_replicas: Callable[[int], tuple[str, ...]] | None = None
    own_slices: list[int] | None = None
    # (when, key); an entry is stale where the register's own `expires_at` says otherwise
    _expiries: list[tuple[int, KeyDigest]] = field(default_factory=list)
    on_change: Callable[[KeyDigest, RegisterState], None] = lambda key, register: None
    journaled: bool = False
    permanent: bool = False
    journal_failing: bool = False
    # A dict for its order: records are written in the order of the changes, in whichever process.
    _unsaved_registers: dict[KeyDigest, None] = field(default_factory=dict)
    _unsaved_incarnations: bool = True
    _unsaved_recovered: bool = True

    def __post_init__(self) -> None:
        self.incarnations[self.seat] = self.incarnation

    # ---- whether a vote counts ----

    def can_vote_on(self, key: KeyDigest) -> bool:
        """Nothing that this seat's former processes may have promised for the key is unknown here.

        Each majority that a former process may have been part of has a member that was heard from since.
        """
        return self.recovered or self._covers_slice(self.slice_of(key), self.replicas(key))

    def _covers_slice(self, slice_number: int, seats: tuple[str, ...]) -> bool:
        heard_from = sum(
            seat in self.synced_from or slice_number in self.slices_synced_from.get(seat, ())
            for seat in seats
        )
        return heard_from >= len(seats) - majority(len(seats)) + 1

    def covers_all_votes(self) -> bool:
        """All that this seat's votes rest on is known again: from every seat, or from enough for each of its slices.

        The second way is there for a seat that is lost for good: it must not keep all that start anew after it from
        ever recovering.
        """
        return self.synced_from >= self.other_seats or (
            self.own_slices is not None
            and self.slice_replicas is not None
            and all(self._covers_slice(number, self.slice_replicas(number)) for number in self.own_slices)
        )

    def known_slices(self) -> frozenset[int]:
        """The slices that it can vote on while it has not recovered."""
        slice_replicas = self.slice_replicas
        if slice_replicas is None:
            return frozenset()
        return frozenset(
            number for number in self.own_slices or () if self._covers_slice(number, slice_replicas(number))
        )

    def learn_incarnations(self, incarnations: Incarnations) -> None:
        """Somebody has heard of these; votes of earlier ones count for nothing from here on."""
        for seat, incarnation in incarnations.items():
            if incarnation > self.incarnations.get(seat, 0):
                self.incarnations[seat] = incarnation
                self._unsaved_incarnations = True

    # ---- votes ----

    def vote(self, now: int, request: BallotRequest) -> Vote:
        """The answer to a proposer: a promise, an acceptance, or neither."""
        seats = self.replicas(request.key)
        incarnations = {seat: self.incarnations[seat] for seat in seats if seat in self.incarnations}
        if self.seat not in seats or self.journal_failing or not self.can_vote_on(request.key):
            return self._no_vote(request, incarnations, recovering=True)
        register = self.registers.get(request.key)
        if register is None:
            if len(self.registers) >= self.max_registers:
                return self._no_vote(request, incarnations, at_capacity=True)
            register = RegisterState()
        accepted = self._accept(register, request)
        if accepted:
            self.registers[request.key] = register
            self._schedule_expiry(request.key, register, now + request.ttl_ms * US_PER_MS)
            if request.value is not None:
                self.on_change(request.key, register)
        return Vote(
            request.serial,
            request.key,
            accepted,
            register.promised,
            register.accepted_ballot,
            register.value,
            self.incarnation,
            incarnations,
            space=request.space,
        )

    def _no_vote(
        self,
        request: BallotRequest,
        incarnations: Incarnations,
        recovering: bool = False,
        at_capacity: bool = False,
    ) -> Vote:
        return Vote(
            request.serial,
            request.key,
            False,
            NO_BALLOT,
            None,
            None,
            self.incarnation,
            incarnations,
            recovering,
            at_capacity,
            request.space,
        )

    def _accept(self, register: RegisterState, request: BallotRequest) -> bool:
        """Changes the register where the request's ballot allows it."""
        if request.ballot == FAST_BALLOT:
            if register.promised != NO_BALLOT:
                return False
        elif request.value is None:
            if request.ballot <= register.promised:
                return False
            register.promised = request.ballot
            return True
        elif request.ballot < register.promised or self._quorum_is_past(request.quorum):
            return False
        register.accepted_ballot = request.ballot
        register.value = request.value
        register.promised = request.next_ballot
        return True

    def _quorum_is_past(self, quorum: Incarnations) -> bool:
        """A promise of an acceptor that has started anew since is none: a value accepted on it could hide one that
        was chosen meanwhile."""
        return any(self.incarnations.get(seat, 0) > incarnation for seat, incarnation in quorum.items())

    # ---- expiry ----

    def _schedule_expiry(self, key: KeyDigest, register: RegisterState, expires_at: int) -> None:
        if self.journaled:
            self._unsaved_registers[key] = None
        if self.permanent:
            return
        if expires_at > register.expires_at:
            register.expires_at = expires_at
            heapq.heappush(self._expiries, (expires_at, key))

    def expire(self, now: int) -> list[KeyDigest]:
        """Forgets the keys that no longer count, and returns them.

        The window is part of the promise, so time may end a key, and nothing else.
        """
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiries)
            register = self.registers.get(key)
            if register is not None and register.expires_at == expires_at:
                del self.registers[key]
                expired.append(key)
        return expired

    # ---- recovery ----

    def answer_sync(self, now: int, seat: str, incarnation: int, space: int = 0) -> list[SyncReply]:
        """The parts of the answer to a seat whose process has started anew.

        From here on its earlier incarnations count for nothing with this acceptor.
        """
        known = self.incarnations.get(seat, 0)
        if incarnation < known:
            # It names no registers: by the time it arrives the asker may have the very incarnation that is named.
            return [SyncReply(known, {}, [], True, recovering=True, space=space)]
        self.learn_incarnations({seat: incarnation})
        # A register that is left out counts as never written: who has forgotten any of a slice may not answer for it.
        slices = None if self.recovered else self.known_slices()
        if slices is not None and not slices:
            return [SyncReply(incarnation, dict(self.incarnations), [], True, recovering=True, space=space)]
        registers = self._registers_for(now, seat, slices)
        size = PERMANENT_SYNC_BATCH if self.permanent else SYNC_BATCH
        batches = [registers[start : start + size] for start in range(0, len(registers), size)] or [[]]
        return [
            SyncReply(
                incarnation,
                dict(self.incarnations),
                batch,
                batch is batches[-1],
                space=space,
                known_slices=None if slices is None else sorted(slices),
            )
            for batch in batches
        ]

    def _registers_for(self, now: int, seat: str, slices: frozenset[int] | None) -> list[SyncedRegister]:
        """The registers that `seat` is a replica of, in `slices` alone where they are named."""
        return [
            (
                key,
                register.promised,
                register.accepted_ballot,
                register.value,
                max(0, register.expires_at - now) // US_PER_MS,
            )
            for key, register in self.registers.items()
            if seat in self.replicas(key)
            and (slices is None or (self.slice_of(key) in slices and self.can_vote_on(key)))
        ]

    def apply_sync(self, now: int, seat: str, reply: SyncReply) -> None:
        """Takes in what another acceptor knows; after the last part, this one may have recovered."""
        self.learn_incarnations(reply.incarnations)
        for key, promised, ballot, value, ttl_ms in reply.registers:
            register = self.registers.setdefault(key, RegisterState())
            self._schedule_expiry(key, register, now + ttl_ms * US_PER_MS)
            register.promised = max(register.promised, promised, CLOSED_BALLOT)
            if ballot is not None and (register.accepted_ballot is None or ballot > register.accepted_ballot):
                register.accepted_ballot = ballot
                register.value = value
                self.on_change(key, register)
        if reply.last and not reply.recovering:
            if reply.known_slices is None:
                self.synced_from.add(seat)
            else:
                self.slices_synced_from[seat] = frozenset(reply.known_slices)
            self.check_recovered()

    def check_recovered(self) -> None:
        """Recovered, once all that its votes rest on is known again."""
        if not self.recovered and self.covers_all_votes():
            self.recovered = True

    # ---- the journal ----

    def unsaved_records(self, now: int) -> list[Any]:
        """Records of all changes since the last call. That it has recovered comes after what it has recovered."""
        records: list[Any] = [
            self._record(now, key) for key in self._unsaved_registers if key in self.registers
        ]
        if self._unsaved_incarnations:
            records.append(IncarnationsRecord(dict(self.incarnations)))
        if self.recovered and self._unsaved_recovered:
            records.append(RecoveredRecord())
            self._unsaved_recovered = False
        self._unsaved_registers.clear()
        self._unsaved_incarnations = False
        return records

    def all_records(self, now: int) -> list[Any]:
        """Records of everything, in place of all that was written before."""
        self._unsaved_registers.update(dict.fromkeys(self.registers))
        self._unsaved_incarnations = True
        self._unsaved_recovered = True
        return self.unsaved_records(now)

    def _record(self, now: int, key: KeyDigest) -> RegisterRecord:
        register = self.registers[key]
        ttl_ms = max(1, (register.expires_at - now) // US_PER_MS)
        return RegisterRecord(key, register.promised, register.accepted_ballot, register.value, ttl_ms)

    def restore(self, now: int, image: JournalImage) -> None:
        """Takes in what a former process of this seat has left in its journal."""
        former = {seat: number for seat, number in image.incarnations.items() if seat != self.seat}
        self.learn_incarnations(former)
        for key, record in image.registers.items():
            register = RegisterState(record.promised, record.accepted_ballot, record.value)
            self.registers[key] = register
            self._schedule_expiry(key, register, now + record.ttl_ms * US_PER_MS)
            if record.value is not None:
                self.on_change(key, register)
        self.recovered = image.recovered
        self._unsaved_registers.clear()  # they are in the file already
