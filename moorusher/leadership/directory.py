"""The duties of the fleet, from any member: creates, reads and removes them, and takes an operator's statements."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..replication.proposer import ChangeResult
from ..replication.work_record import KeyDigest
from ..time_units import MS
from .election import Election
from .errors import (
    LeaderBusyError,
    LeadershipError,
    LeaseSuspendedError,
    LimitExceededError,
    NoMajorityError,
    StateDamagedError,
    UnknownLeaseError,
)
from .held_leases import HeldLeases
from .journal import DutyAcceptor
from .lease_record import MAX_NAME_BYTES, LeaseRecord, LeaseStatus, decode_record, register_key
from .lease_transitions import Change, Create, Read, Remove, ResolveIntent, Resume
from .services import MemberServices
from .state_fetching import StateFetching

FETCH_TIMEOUT_US = 2_000 * MS  # for a state that is read


@dataclass(frozen=True, slots=True)
class Reading:
    """A duty as it was read. `state` is None if only the record was asked for."""

    record: LeaseRecord
    state: bytes | None


RecordCallback = Callable[[LeaseRecord | LeadershipError], None]
ReadingCallback = Callable[[Reading | LeadershipError], None]


@dataclass(frozen=True, slots=True)
class DeclaredDuty:
    """A duty that the settings name: it is created if it never was."""

    name: str
    kind: str


class DutyDirectory:
    """Operations on any duty, at any member. Callbacks get a LeadershipError if the operation failed."""

    def __init__(
        self,
        services: MemberServices,
        election: Election,
        leases: HeldLeases,
        fetching: StateFetching,
        acceptor: DutyAcceptor,
    ) -> None:
        self._services = services
        self._election = election
        self._leases = leases
        self._fetching = fetching
        self._acceptor = acceptor
        self._declared: list[DeclaredDuty] = []

    # ---- duties of the settings ----

    def declare(self, name: str, kind: str) -> None:
        """The settings name this duty: the first replica of its register that is up creates it."""
        self._declared.append(DeclaredDuty(name, kind))

    def create_declared(self) -> None:
        """Create declared duties that never were. Called periodically."""
        for duty in self._declared:
            key = register_key(duty.name)
            if key not in self._election.records and self._is_first_replica(key):
                change = Create(duty.name, duty.kind, self._services.incarnation, recreate=False)
                self._services.change_register(key, change, None, lambda done: None)

    def _is_first_replica(self, key: KeyDigest) -> bool:
        me = self._services.me
        up = [seat for seat in self._services.replicas(key) if seat == me or self._services.node.is_up(seat)]
        return up[:1] == [me] and self._acceptor.can_vote_on(key)

    # ---- operations ----

    def create(self, name: str, kind: str, callback: RecordCallback) -> None:
        """Create a duty. Errors: LimitExceededError for the name, NoMajorityError, LeaderBusyError."""
        size = len(name.encode())
        if not 0 < size <= MAX_NAME_BYTES:
            return callback(LimitExceededError(f"a name of {size} bytes: 1 to {MAX_NAME_BYTES} are taken"))
        change = Create(name, kind, self._services.incarnation)
        return self._change(name, change, _exists, callback)

    def remove(self, name: str, callback: RecordCallback) -> None:
        """Remove a duty, and supersede its leader. Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError."""

        def read(found: LeaseRecord | LeadershipError) -> None:
            if isinstance(found, LeadershipError):
                return callback(found)
            generation = found.generation

            def is_removed(record: LeaseRecord) -> bool:
                return record.status == LeaseStatus.REMOVED or record.generation > generation

            return self._change(name, Remove(generation), is_removed, callback)

        self._change(name, Read(), _always, read)

    def resume(self, name: str, callback: RecordCallback) -> None:
        """Let a suspended duty go on. Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError."""
        self._change(name, Resume(), _is_not_suspended, callback)

    def resolve_intent(self, name: str, intent_revision: int, callback: RecordCallback) -> None:
        """Close an open intent, on an operator's statement.

        Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError.
        """

        def is_closed(record: LeaseRecord) -> bool:
            return all(intent.revision != intent_revision for intent in record.intents)

        self._change(name, ResolveIntent(intent_revision), is_closed, callback)

    def read(
        self, name: str, callback: ReadingCallback, state: bool = True, after_abandoned_changes: bool = False
    ) -> None:
        """Read a duty as a majority has it. Errors: UnknownLeaseError, NoMajorityError, StateDamagedError.

        state: bool, read the state as well.
        after_abandoned_changes: bool, no change that was abandoned before can come about later, unless it is seen now.
            Such a read hinders changes that are made at the same time.
        """

        def found(record: LeaseRecord | LeadershipError) -> None:
            if isinstance(record, LeadershipError):
                return callback(record)
            if record.status == LeaseStatus.REMOVED:
                return callback(UnknownLeaseError(name))
            if not state or not record.versions:
                return callback(Reading(record, b"" if state else None))
            return self._read_state(name, record, callback)

        if after_abandoned_changes:
            self._change(name, Read(), _always, found)
        else:
            self._services.read_register(
                register_key(name), lambda done: found(_checked(name, done, _always))
            )

    def _read_state(self, name: str, record: LeaseRecord, callback: ReadingCallback) -> None:
        version = record.versions[0]

        def fetched(state: bytes | None) -> None:
            if state is None:
                callback(StateDamagedError(f"{name}: no whole copy of version {version.revision}"))
            else:
                callback(Reading(record, state))

        deadline_us = self._services.now() + FETCH_TIMEOUT_US
        self._fetching.fetch(register_key(name), version, deadline_us, fetched)

    def last_known(self, name: str) -> Reading | LeadershipError:
        """Return what this member knows without asking others; it may be out of date."""
        key = register_key(name)
        lease = self._leases.by_key.get(key)
        if lease is not None:
            return Reading(lease.record, lease.state)
        record = self._election.records.get(key)
        if record is None or record.status == LeaseStatus.REMOVED:
            return UnknownLeaseError(name)
        if record.status == LeaseStatus.SUSPENDED:
            return LeaseSuspendedError(name, record.suspension_reason)
        return Reading(record, None)

    def _change(
        self, name: str, change: Change, is_done: Callable[[LeaseRecord], bool], callback: RecordCallback
    ) -> None:
        self._services.change_register(
            register_key(name), change, None, lambda done: callback(_checked(name, done, is_done))
        )


def _checked(
    name: str, done: ChangeResult | None, is_done: Callable[[LeaseRecord], bool]
) -> LeaseRecord | LeadershipError:
    if done is None:
        return NoMajorityError(name)
    record = decode_record(done.value)
    if record is None:
        return UnknownLeaseError(name)
    return record if is_done(record) else LeaderBusyError(f"{name}: not as it should be by now")


def _always(record: LeaseRecord) -> bool:
    return True


def _exists(record: LeaseRecord) -> bool:
    return record.status != LeaseStatus.REMOVED


def _is_not_suspended(record: LeaseRecord) -> bool:
    return record.status != LeaseStatus.SUSPENDED
