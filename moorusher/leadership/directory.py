"""Operations on the duties of the fleet from any member: create, read, remove, resume, and resolve intents."""

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

# Timeout for fetching the state in a read.
FETCH_TIMEOUT_US = 2_000 * MS


@dataclass(frozen=True, slots=True)
class Reading:
    """Result of reading a duty. `state` is None if only the record was requested."""

    record: LeaseRecord
    state: bytes | None


RecordCallback = Callable[[LeaseRecord | LeadershipError], None]
ReadingCallback = Callable[[Reading | LeadershipError], None]


@dataclass(frozen=True, slots=True)
class DeclaredDuty:
    """A duty of the settings, which is created if it never existed."""

    name: str
    kind: str


class DutyDirectory:
    """Operations on any duty, at any member. Callbacks receive a LeadershipError if the operation failed."""

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
        """Declare a duty of the settings. The first replica of its register that is up creates it."""
        self._declared.append(DeclaredDuty(name, kind))

    def create_declared(self) -> None:
        """Create declared duties that never existed. Called periodically."""
        for duty in self._declared:
            key = register_key(duty.name)
            if key not in self._election.records and self._is_first_replica(key):
                change = Create(duty.name, duty.kind, self._services.incarnation, recreate=False)
                self._services.change_register(key, change, None, lambda result: None)

    def _is_first_replica(self, key: KeyDigest) -> bool:
        me = self._services.me
        up = [seat for seat in self._services.replicas(key) if seat == me or self._services.node.is_up(seat)]
        return up[:1] == [me] and self._acceptor.can_vote_on(key)

    # ---- operations ----

    def create(self, name: str, kind: str, callback: RecordCallback) -> None:
        """Create a duty. Errors: LimitExceededError if the name is too long, NoMajorityError, LeaderBusyError."""
        size = len(name.encode())
        if not 0 < size <= MAX_NAME_BYTES:
            return callback(LimitExceededError(f"a name of {size} bytes: 1 to {MAX_NAME_BYTES} are taken"))
        change = Create(name, kind, self._services.incarnation)
        return self._change(name, change, _exists, callback)

    def remove(self, name: str, callback: RecordCallback) -> None:
        """Remove a duty and supersede its leader. Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError."""

        def read(found: LeaseRecord | LeadershipError) -> None:
            if isinstance(found, LeadershipError):
                return callback(found)
            generation = found.generation

            def is_removed(record: LeaseRecord) -> bool:
                return record.status == LeaseStatus.REMOVED or record.generation > generation

            return self._change(name, Remove(generation), is_removed, callback)

        self._change(name, Read(), _accept_any, read)

    def resume(self, name: str, callback: RecordCallback) -> None:
        """Resume a suspended duty. Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError."""
        self._change(name, Resume(), _is_not_suspended, callback)

    def resolve_intent(self, name: str, intent_revision: int, callback: RecordCallback) -> None:
        """Close an open intent whose outcome an operator has determined.

        Errors: UnknownLeaseError, NoMajorityError, LeaderBusyError.
        """

        def is_closed(record: LeaseRecord) -> bool:
            return all(intent.revision != intent_revision for intent in record.intents)

        self._change(name, ResolveIntent(intent_revision), is_closed, callback)

    def read(
        self, name: str, callback: ReadingCallback, state: bool = True, after_abandoned_changes: bool = False
    ) -> None:
        """Read a duty from a majority. Errors: UnknownLeaseError, NoMajorityError, StateDamagedError.

        :param state: Whether to read the state as well.
        :param after_abandoned_changes: Whether to ensure that a change which was abandoned earlier is either visible
            in the result or never applied. Such a read conflicts with concurrent changes.
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
            self._change(name, Read(), _accept_any, found)
        else:
            self._services.read_register(
                register_key(name), lambda result: found(_check_result(name, result, _accept_any))
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
        """Return the duty as this member knows it, without network requests; it may be stale."""
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
            register_key(name), change, None, lambda result: callback(_check_result(name, result, is_done))
        )


def _check_result(
    name: str, result: ChangeResult | None, is_done: Callable[[LeaseRecord], bool]
) -> LeaseRecord | LeadershipError:
    if result is None:
        return NoMajorityError(name)
    record = decode_record(result.value)
    if record is None:
        return UnknownLeaseError(name)
    return record if is_done(record) else LeaderBusyError(f"{name}: not as it should be by now")


def _accept_any(record: LeaseRecord) -> bool:
    return True


def _exists(record: LeaseRecord) -> bool:
    return record.status != LeaseStatus.REMOVED


def _is_not_suspended(record: LeaseRecord) -> bool:
    return record.status != LeaseStatus.SUSPENDED
