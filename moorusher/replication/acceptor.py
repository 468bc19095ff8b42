"""The acceptor of the registers: its promises, its accepted values, and when its votes count.

An acceptor may lose its state in a restart. The rule for this case is that of crash-consistent quorums (Michael, Ports,
Sharma and Szekeres, "Recovering Shared Objects Without Stable Storage", DISC 2017): each process of a seat has an
incarnation. Each vote names the voter's incarnation and the other incarnations that the voter knows. A vote does not
count if a member knows a later incarnation of the voter's seat.
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

NO_BALLOT: Ballot = (-1, 0, 0)  # Stands for "no promise"; a request at this ballot only reads.
# Above FAST_BALLOT and below every classic ballot: a register with this promise accepts no fast write.
CLOSED_BALLOT: Ballot = (1, 0, 0)
SYNC_BATCH = 64  # Registers in one part of a sync reply.
PERMANENT_SYNC_BATCH = 4  # Smaller than SYNC_BATCH, as the values of permanent registers are larger.
US_PER_MS = 1_000


@dataclass(slots=True)
class RegisterState:
    """An acceptor's state of one register.

    Attributes:
        promised: Highest promised ballot.
        accepted_ballot: Ballot of the last accepted value, or None.
        value: Last accepted value, or None.
        expires_at: Time (us) at which the key expires and its state is deleted.
    """

    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    value: Any = None
    expires_at: int = 0


@dataclass(slots=True)
class Acceptor:
    """The registers that one seat replicates. Has no clock: callers pass the current time in us.

    Attributes:
        seat: Seat of this acceptor.
        incarnation: Incarnation of this process.
        replicas: Returns the seats of a key's replicas.
        other_seats: All seats of the cluster except this one.
        recovered: Whether this acceptor knows all of its seat's promises and accepted values that still count.
        max_registers: Limit of registers; requests for further keys are rejected with `at_capacity`.
        registers: State of each register, by key.
        incarnations: Highest known incarnation of each seat.
        synced_from: Seats that have sent their complete state to this incarnation.
        slices_synced_from: For each seat, the slices that it has sent completely.
        slice_of: Returns the slice of a key; keys of one slice have the same replicas.
        slice_replicas: Returns the seats of a slice's replicas.
        own_slices: Slices of which this seat is a replica; None until recovery has computed them.
        on_change: Called with the key and state of a register whose value has changed.
        journaled: Whether changes are written to a journal on disk.
        permanent: Whether keys never expire.
        journal_failing: Whether the journal can't be written, so that no vote may be sent.
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
    # Heap of (expiry time, key). An entry is stale if its time differs from the register's `expires_at`.
    _expiries: list[tuple[int, KeyDigest]] = field(default_factory=list)
    on_change: Callable[[KeyDigest, RegisterState], None] = lambda key, register: None
    journaled: bool = False
    permanent: bool = False
    journal_failing: bool = False
    # A dict serves as an ordered set, so that every process writes its records in the order of the changes.
    _unsaved_registers: dict[KeyDigest, None] = field(default_factory=dict)
    _unsaved_incarnations: bool = True
    _unsaved_recovered: bool = True

    def __post_init__(self) -> None:
        self.incarnations[self.seat] = self.incarnation

    # ---- whether a vote counts ----

    def can_vote_on(self, key: KeyDigest) -> bool:
        """Return whether this acceptor knows all that earlier processes of its seat may have promised for the key."""
        # This is so once enough replicas of the key have sent their state that each majority includes one of them.
        return self.recovered or self._covers_slice(self.slice_of(key), self.replicas(key))

    def _covers_slice(self, slice_number: int, seats: tuple[str, ...]) -> bool:
        synced_seats = sum(
            seat in self.synced_from or slice_number in self.slices_synced_from.get(seat, ())
            for seat in seats
        )
        return synced_seats >= len(seats) - majority(len(seats)) + 1

    def covers_all_votes(self) -> bool:
        """Return whether all seats, or enough replicas of each of this seat's slices, have sent their state."""
        # The second condition lets acceptors recover while another seat is permanently lost.
        return self.synced_from >= self.other_seats or (
            self.own_slices is not None
            and self.slice_replicas is not None
            and all(self._covers_slice(number, self.slice_replicas(number)) for number in self.own_slices)
        )

    def known_slices(self) -> frozenset[int]:
        """Return the slices on which this acceptor can vote before it has fully recovered."""
        slice_replicas = self.slice_replicas
        if slice_replicas is None:
            return frozenset()
        return frozenset(
            number for number in self.own_slices or () if self._covers_slice(number, slice_replicas(number))
        )

    def learn_incarnations(self, incarnations: Incarnations) -> None:
        """Record incarnations that another member knows. Votes of a seat's earlier incarnations then don't count."""
        for seat, incarnation in incarnations.items():
            if incarnation > self.incarnations.get(seat, 0):
                self.incarnations[seat] = incarnation
                self._unsaved_incarnations = True

    # ---- votes ----

    def vote(self, now: int, request: BallotRequest) -> Vote:
        """Return the vote on a proposer's request: a promise, an acceptance or a rejection."""
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
        """Give the requested promise or accept the value if the ballot allows it. Return whether it was allowed."""
        if request.ballot == FAST_BALLOT:
            if register.promised != NO_BALLOT:
                return False
        elif request.value is None:
            if request.ballot <= register.promised:
                return False
            register.promised = request.ballot
            return True
        elif request.ballot < register.promised or self._quorum_is_outdated(request.quorum):
            return False
        register.accepted_ballot = request.ballot
        register.value = request.value
        register.promised = request.next_ballot
        return True

    def _quorum_is_outdated(self, quorum: Incarnations) -> bool:
        """Return whether an acceptor of the quorum has restarted since its promise."""
        # The promise of a restarted acceptor is void: a value accepted under it could hide another value that was
        # chosen in the meantime.
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
        """Delete the registers that have expired and return their keys."""
        # A register may only be deleted by expiry, since its promises are valid for the whole window.
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
        """Return the parts of the reply to a seat whose process has restarted.

        From then on this acceptor ignores earlier incarnations of that seat.
        """
        known = self.incarnations.get(seat, 0)
        if incarnation < known:
            # The reply has no registers and is marked as `recovering`. When it arrives, the requester may already have
            # raised its incarnation to `known`, and must not count the reply as this seat's complete state.
            return [SyncReply(known, {}, [], True, recovering=True, space=space)]
        self.learn_incarnations({seat: incarnation})
        # The receiver considers a register that is missing from the reply never written, so an acceptor that has not
        # recovered sends only slices that it knows completely.
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
        """Return the registers of which `seat` is a replica, limited to `slices` unless that is None."""
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
        """Merge the state of another acceptor. After the last part, check whether this acceptor has recovered."""
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
        """Mark this acceptor as recovered if `covers_all_votes` holds."""
        if not self.recovered and self.covers_all_votes():
            self.recovered = True

    # ---- the journal ----

    def unsaved_records(self, now: int) -> list[Any]:
        """Return records of all changes since the last call."""
        records: list[Any] = [
            self._record(now, key) for key in self._unsaved_registers if key in self.registers
        ]
        if self._unsaved_incarnations:
            records.append(IncarnationsRecord(dict(self.incarnations)))
        if self.recovered and self._unsaved_recovered:
            # This is the last record, so that the journal never has it without the recovered registers.
            records.append(RecoveredRecord())
            self._unsaved_recovered = False
        self._unsaved_registers.clear()
        self._unsaved_incarnations = False
        return records

    def all_records(self, now: int) -> list[Any]:
        """Return records of the complete state, to replace the journal."""
        self._unsaved_registers.update(dict.fromkeys(self.registers))
        self._unsaved_incarnations = True
        self._unsaved_recovered = True
        return self.unsaved_records(now)

    def _record(self, now: int, key: KeyDigest) -> RegisterRecord:
        register = self.registers[key]
        ttl_ms = max(1, (register.expires_at - now) // US_PER_MS)
        return RegisterRecord(key, register.promised, register.accepted_ballot, register.value, ttl_ms)

    def restore(self, now: int, image: JournalImage) -> None:
        """Load the journal of an earlier process of this seat."""
        former = {seat: number for seat, number in image.incarnations.items() if seat != self.seat}
        self.learn_incarnations(former)
        for key, record in image.registers.items():
            register = RegisterState(record.promised, record.accepted_ballot, record.value)
            self.registers[key] = register
            self._schedule_expiry(key, register, now + record.ttl_ms * US_PER_MS)
            if record.value is not None:
                self.on_change(key, register)
        self.recovered = image.recovered
        self._unsaved_registers.clear()  # The file already has them.
