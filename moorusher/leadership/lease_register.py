"""Access of a lease holder to the register of its lease: one change at a time, fenced by the term."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..replication.proposer import CarriedPromise, ChangeResult
from ..replication.work_record import KeyDigest
from .effects import Completed, OutcomeCallback
from .errors import LeaderBusyError, NoMajorityError
from .fencing_token import FencingToken
from .holder_changes import HolderChange
from .lease_record import LeaseRecord, decode_record
from .lease_transitions import Read
from .services import MemberServices


class LeaseRegister:
    """The register of one lease, for one term.

    Attributes:
        key: Key of the register.
        record: The lease record as last read.
        owner: The process that holds the lease.
        is_closed: Whether the term has ended; no callback is called afterwards.
    """

    def __init__(
        self,
        services: MemberServices,
        key: KeyDigest,
        record: LeaseRecord,
        carried_promise: CarriedPromise | None,
        superseded: Callable[[LeaseRecord | None], None],
    ) -> None:
        self.key = key
        self.record = record
        self.owner = services.owner
        self.is_closed = False
        self._services = services
        # Promise that came with the previous change, initially the acquisition; saves the next change a round trip.
        self._carried_promise = carried_promise
        # Called with the record that was found if the lease is no longer held.
        self._superseded = superseded
        self._sequence = record.holder_sequence

    def change(self, callback: OutcomeCallback, change_type: type[HolderChange], *arguments: Any) -> None:
        """Apply a change to the register.

        :param callback: Receives Completed with the fencing token of the change, NoMajorityError, or LeaderBusyError
            after a concurrent change, such as an operator's. Not called if the lease is no longer held.
        :param arguments: Arguments of `change_type` beyond those of HolderChange.
        """
        self._sequence += 1
        change = change_type(self.owner, self.record.generation, self.record.term, self._sequence, *arguments)
        carried_promise = self._carried_promise
        self._carried_promise = None

        def on_result(result: ChangeResult | None) -> None:
            if self.is_closed:
                return
            if result is None:
                self._services.count("duties: no majority")
                return callback(NoMajorityError(self.record.name))
            found = decode_record(result.value)
            if found is None or not (change.is_applied_in(found) or self.record.is_same_term(found)):
                return self._superseded(found)
            self.record = found
            self._carried_promise = result.promise
            if change.is_applied_in(found):
                return callback(Completed(FencingToken(*found.position)))
            return callback(LeaderBusyError(f"{found.name}: it was changed meanwhile"))

        self._services.change_register(self.key, change, carried_promise, on_result)

    def verify(self, callback: Callable[[LeaseRecord | None], None]) -> None:
        """Read the record from a majority. A change that was abandoned earlier can't be applied after it.

        :param callback: Receives the record if the lease is still held, or None if no majority answered. Not called
            if the lease is no longer held.
        """

        def on_result(result: ChangeResult | None) -> None:
            if self.is_closed:
                return
            if result is None:
                return callback(None)
            found = decode_record(result.value)
            if found is None or not self.record.is_same_term(found):
                return self._superseded(found)
            return callback(found)

        self._services.change_register(self.key, Read(), None, on_result)

    def close(self) -> None:
        """Stop calling callbacks, since the term has ended."""
        self.is_closed = True
        self._carried_promise = None
