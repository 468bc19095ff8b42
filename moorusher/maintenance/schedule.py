"""The schedule: requests for maintenance, slots that are granted to machines, and a history."""

# Stages of a machine:
#
#     queued -> DRAINING -> CLEARED -> RETURNED -> (finished)
#        ^          |                      \-> SUSPENDED, if its process ended again after the return
#        \----------/ it could not be drained, its process ended, or an operator paused everything
#
# A machine counts as out of service from the grant until its slot is finished. A slot in DRAINING can be revoked. A
# slot in CLEARED can't: the operator has been notified that the machine may be worked on, and may begin at any later
# time.

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from ..membership.placement import CLUSTER_KEY_PREFIX

KEY = CLUSTER_KEY_PREFIX + b"outages"  # key of the register that holds the schedule


class SlotStage(IntEnum):
    """The stage of a machine's slot. The values are stored."""

    DRAINING = 0  # granted: the machine hands over requests that have not begun, and finishes the others
    CLEARED = 1  # the operator is notified that the machine may be worked on
    RETURNED = 2  # a new process has started; it warms up, or recovers its replicated state
    SUSPENDED = 3  # an operator must finish the slot; the machine counts as out of service

    @property
    def api_name(self) -> str:
        """The name in the administration API and in errors."""
        return _STAGE_API_NAMES[self]


_STAGE_API_NAMES = {
    SlotStage.DRAINING: "draining",
    SlotStage.CLEARED: "out",
    SlotStage.RETURNED: "back",
    SlotStage.SUSPENDED: "aside",
}


class CompletionProof(IntEnum):
    """What proves that the work on a machine is finished. The values are stored."""

    # A process of the runner on a later boot of the machine. The caller that waited to begin the work ran on the
    # machine itself, so the reboot has ended it, and it can't begin the work any more.
    REBOOT = 0
    # An operator's statement. A reboot proves nothing here: the caller that waits to begin the work runs on another
    # machine, so it survives the reboot and may begin the work after it.
    OPERATOR = 1

    @property
    def api_name(self) -> str:
        """The name in the administration API and the command line."""
        return _PROOF_API_NAMES[self]

    @classmethod
    def of_api_name(cls, name: str) -> CompletionProof:
        """Return the member with that name. Raises KeyError."""
        return {api_name: proof for proof, api_name in _PROOF_API_NAMES.items()}[name]


_PROOF_API_NAMES = {CompletionProof.REBOOT: "boot", CompletionProof.OPERATOR: "done"}


class SlotOutcome(IntEnum):
    """How a slot or a request ended. The values are stored."""

    COMPLETED = 0
    WITHDRAWN = 1
    ABANDONED = 2  # an operator finished the slot before the machine had returned

    @property
    def api_name(self) -> str:
        """The name in the administration API."""
        return _OUTCOME_API_NAMES[self]


_OUTCOME_API_NAMES = {
    SlotOutcome.COMPLETED: "done",
    SlotOutcome.WITHDRAWN: "withdrawn",
    SlotOutcome.ABANDONED: "given up",
}


class MaintenanceRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for maintenance of machines. Stored as an array: the order of the fields is part of the format.

    Times are Unix times of the member that wrote them. They only affect the order: safety does not depend on clocks.

    Attributes:
        id: Chosen by the caller; makes the request idempotent.
        reason, requested_by: Texts for operators.
        duration_s: Expected duration of the work on one machine.
        requested_at_s: Time of the request.
        not_before_s: Earliest start; 0 for none.
        due_at_s: Due time; 0 for none.
        priority: Requests with higher values come first in the queue.
        shares_zone: Whether machines of one zone may be out together, within the limits.
        completion: Value of a CompletionProof.
        queued: Seats that wait, in order.
        suspended: Seats that wait for an operator to resume them, each with the reason.
        completed: Number of machines whose slots are finished.
        boot_id: Boot of the machine on which the caller waits; the request ends with that caller. Empty if the request
            does not depend on a caller.
    """

    id: str
    reason: str
    requested_by: str
    duration_s: float
    requested_at_s: float
    not_before_s: float = 0.0
    due_at_s: float = 0.0
    priority: int = 0
    shares_zone: bool = False
    completion: int = CompletionProof.REBOOT.value
    queued: tuple[str, ...] = ()
    suspended: tuple[tuple[str, str], ...] = ()
    completed: int = 0
    boot_id: str = ""

    def is_same_request(self, other: MaintenanceRequest) -> bool:
        """Return whether both requests have the same terms, regardless of their progress."""
        return self._terms() == other._terms()

    def _terms(self) -> tuple[object, ...]:
        return (
            self.reason,
            self.duration_s,
            self.not_before_s,
            self.due_at_s,
            self.priority,
            self.shares_zone,
            self.completion,
        )


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A slot that was granted to a machine. Stored as an array: the order of the fields is part of the format.

    Attributes:
        seat: The machine.
        request_id: The request that the slot belongs to.
        granted_revision: Revision of the schedule that granted the slot; identifies the slot.
        stage_code: Stored value of `stage`.
        incarnation: Incarnation of the process that drains, was cleared, or returned; 0 if none has accepted the slot.
        since_s: Unix time at which the stage began.
        boot_id: Boot of the machine when it was cleared.
        settings_digest: Digest of its settings when it was cleared.
        duration_s: Expected duration of the work.
        completion: Value of a CompletionProof.
        failed_grants: Number of earlier grants that failed.
        failed_returns: Number of times that the machine's process ended after the machine had returned.
        note: Text for operators.
    """

    seat: str
    request_id: str
    granted_revision: int
    stage_code: int = SlotStage.DRAINING.value
    incarnation: int = 0
    since_s: float = 0.0
    boot_id: str = ""
    settings_digest: str = ""
    duration_s: float = 0.0
    completion: int = CompletionProof.REBOOT.value
    failed_grants: int = 0
    failed_returns: int = 0
    note: str = ""

    @property
    def stage(self) -> SlotStage:
        """The stage. Raises ValueError for a value that a later version has written."""
        return SlotStage(self.stage_code)


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """A finished slot or request. Stored as an array: the order of the fields is part of the format.

    Attributes:
        request_id: The request.
        seat: The machine; empty for the request as a whole.
        outcome: Value of a SlotOutcome.
        at_s: Unix time of the end.
        note: Text for operators.
    """

    request_id: str
    seat: str
    outcome: int
    at_s: float
    note: str = ""


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """The state of maintenance in the fleet. Stored as an array: the order of the fields is part of the format.

    Attributes:
        revision: Number that increases with each change.
        pause_reason: Why no slots are granted; empty if not paused.
        requests: Open requests.
        slots: Granted slots.
        history: Finished slots and requests, the latest last.
        failed_grants: (request id, seat, number of failed grants) of queued seats.
    """

    revision: int = 0
    pause_reason: str = ""
    requests: tuple[MaintenanceRequest, ...] = ()
    slots: tuple[Slot, ...] = ()
    history: tuple[HistoryEntry, ...] = ()
    failed_grants: tuple[tuple[str, str, int], ...] = ()

    def request(self, request_id: str) -> MaintenanceRequest | None:
        """Return the open request with that id, or None."""
        return next((request for request in self.requests if request.id == request_id), None)

    def slot(self, seat: str) -> Slot | None:
        """Return the slot of a machine, or None."""
        return next((slot for slot in self.slots if slot.seat == seat), None)

    def queue(self) -> Iterator[tuple[MaintenanceRequest, str]]:
        """Yield the request and the seat of each machine that waits for a slot."""
        for request in self.requests:
            for seat in request.queued:
                yield request, seat

    def is_finished(self, request_id: str) -> bool:
        """Return whether the history has the request as finished."""
        return any(entry.request_id == request_id and not entry.seat for entry in self.history)

    def last_entry(self, request_id: str, seat: str) -> HistoryEntry | None:
        """Return the latest history entry of the seat's part of a request, or None if there is none."""
        for entry in reversed(self.history):
            if entry.request_id == request_id and entry.seat in (seat, ""):
                return entry
        return None

    def failed_grants_of(self, request_id: str, seat: str) -> int:
        """Return the number of failed grants of a queued seat."""
        for failed_id, failed_seat, count in self.failed_grants:
            if (failed_id, failed_seat) == (request_id, seat):
                return count
        return 0


EMPTY = Schedule()
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Schedule)


def encode_schedule(schedule: Schedule) -> bytes:
    """Encode a schedule as the value of its register."""
    return _encode(schedule)


def decode_schedule(value: bytes | None) -> Schedule:
    """Decode the value of the register; EMPTY if the register has no value yet. Raises msgspec.MsgspecError."""
    return EMPTY if value is None else _decoder.decode(value)
