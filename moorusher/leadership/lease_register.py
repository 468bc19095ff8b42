"""The register of a held lease, as its holder reads and changes it: one change at a time, fenced by the term."""

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

    key: of the register.
    record: the lease record, as last read.
    owner: the process that holds the lease.
    is_closed: bool, the term is over: no callback is called any more.
    """

    def __init__(
        self,
        services: MemberServices,
        key: KeyDigest,
        record: LeaseRecord,
        hold: CarriedPromise | None,
        superseded: Callable[[LeaseRecord | None], None],
    ) -> None:
        """`hold`: the promise that came with the acquisition; spares a round for the first change. `superseded`: called
        with the record that was found, once the lease is not held any more."""
        self.key = key
        self.record = record
        self.owner = services.owner
        self.is_closed = False
        self._services = services
        self._hold = hold
        self._superseded = superseded
        self._sequence = record.holder_sequence

    def change(self, callback: OutcomeCallback, change_type: type[HolderChange], *arguments: Any) -> None:
        """Make a change, with the arguments of its kind beside those of every leader's change.

        `callback` gets Completed with the token of the change, NoMajorityError, or LeaderBusyError if an operator's
        change came between. It is not called if the lease is not held any more.
        """
        self._sequence += 1
        change = change_type(self.owner, self.record.generation, self.record.term, self._sequence, *arguments)
        hold = self._hold
        self._hold = None

        def answered(done: ChangeResult | None) -> None:
            if self.is_closed:
                return
            if done is None:
                self._services.count("duties: no majority")
                return callback(NoMajorityError(self.record.name))
            found = decode_record(done.value)
            if found is None or not (change.is_applied_in(found) or self.record.is_same_tenure(found)):
                return self._superseded(found)
            self.record = found
            self._hold = done.promise
            if change.is_applied_in(found):
                return callback(Completed(FencingToken(*found.position)))
            return callback(LeaderBusyError(f"{found.name}: it was changed meanwhile"))

        self._services.change_register(self.key, change, hold, answered)

    def verify(self, callback: Callable[[LeaseRecord | None], None]) -> None:
        """Read the record by a majority, after which no abandoned change can come about.

        `callback` gets the record if the lease is still held, None if no majority answered. It is not called if the
        lease is not held any more.
        """

        def answered(done: ChangeResult | None) -> None:
            if self.is_closed:
                return
            if done is None:
                return callback(None)
            found = decode_record(done.value)
            if found is None or not self.record.is_same_tenure(found):
                return self._superseded(found)
            return callback(found)

        self._services.change_register(self.key, Read(), None, answered)

    def close(self) -> None:
        """The term is over."""
        self.is_closed = True
        self._hold = None
