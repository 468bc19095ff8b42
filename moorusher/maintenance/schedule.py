r"""The schedule: requests for maintenance, slots that were granted to machines, and what is finished.

    queued -> DRAINING -> CLEARED -> RETURNED -> (finished)
       ^          |                      \-> SUSPENDED, if it came back and failed again
       \----------/ it could not be drained, its process ended, or an operator paused everything

A machine counts as out of service from the grant until its slot is finished. DRAINING can be revoked by anybody,
CLEARED by nobody: the operator has been told that the machine may be worked on, and may begin at any later time.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from ..membership.placement import CLUSTER_KEY_PREFIX

KEY = CLUSTER_KEY_PREFIX + b"outages"  # of the register


class SlotStage(IntEnum):
    """How far the slot of a machine has come. The values are stored."""

    DRAINING = 0  # granted: hands over what has not begun, finishes what has
    CLEARED = 1  # its operator is told that it may be worked on
    RETURNED = 2  # a later process is there; warming up, or without its memory
    SUSPENDED = 3  # an operator must look; it counts as out of service

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
    """What proves that the work on a machine is over. The values are stored."""

    REBOOT = 0  # a process on a later boot: whoever was told on that machine is gone with the earlier one
    OPERATOR = 1  # an operator's statement alone: who was told elsewhere may not have begun yet

    @property
    def api_name(self) -> str:
        """The name in the administration API and the command line."""
        return _PROOF_API_NAMES[self]

    @classmethod
    def of_api_name(cls, name: str) -> CompletionProof:
        """Return the member of that name. Raises KeyError."""
        return {api_name: proof for proof, api_name in _PROOF_API_NAMES.items()}[name]


_PROOF_API_NAMES = {CompletionProof.REBOOT: "boot", CompletionProof.OPERATOR: "done"}


class SlotOutcome(IntEnum):
    """How a slot, or a request without open slots, came to an end. The values are stored."""

    COMPLETED = 0
    WITHDRAWN = 1
    ABANDONED = 2  # by an operator's statement, before the machine was back

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

    Times are seconds of the Unix clock of whoever wrote them: they set the order, and no safety rests on them.

    id: str, chosen by the caller; makes the request idempotent.
    reason, requested_by: str, for operators.
    duration_s: float, that the work on one machine is expected to take.
    requested_at_s: float.
    not_before_s: float; 0 for none.
    due_at_s: float; 0 for none.
    priority: int, higher goes first.
    shares_zone: bool, may run together with others of its zone, as far as the bounds allow.
    completion: int, one of CompletionProof.
    queued: seats that wait, the first one first.
    suspended: seats that an operator must look at, each with the reason.
    completed: int, machines that are done.
    boot_id: str, if the request ends with the caller who waits on the machine: the boot on which that one waits.
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
        """Whether both ask for the same, whatever has become of them."""
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

    seat: str, the machine.
    request_id: str.
    granted_revision: int, of the change that granted it; names the slot.
    stage_code: int, see `stage`.
    incarnation: int, of the process that drains, was cleared, or came back; 0 if none has accepted the slot.
    since_s: float, when the stage began, in seconds of the Unix clock.
    boot_id: str, the machine's boot when it was cleared.
    settings_digest: str, of its settings then.
    duration_s: float, that the work is expected to take.
    completion: int, one of CompletionProof.
    failed_grants: int, earlier grants that came to nothing.
    failed_returns: int, times that it came back and ended again.
    note: str, for operators.
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
        """The stage. Raises ValueError for a value of a later version."""
        return SlotStage(self.stage_code)


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """A slot or a request that is finished. Stored as an array.

    request_id: str.
    seat: str; empty for the request as a whole.
    outcome: int, one of Outcome.
    at_s: float, Unix time.
    note: str, for operators.
    """

    request_id: str
    seat: str
    outcome: int
    at_s: float
    note: str = ""


class Schedule(msgspec.Struct, frozen=True, array_like=True):
    """Everything about maintenance in the fleet. Stored as an array: the order of the fields is part of the format.

    revision: int, grows with each change.
    pause_reason: str, why no slot is granted; empty if not paused.
    requests: that are open.
    slots: that are granted.
    history: what finished last.
    failed_grants: (request id, seat, grants that came to nothing) of seats that are queued.
    """

    revision: int = 0
    pause_reason: str = ""
    requests: tuple[MaintenanceRequest, ...] = ()
    slots: tuple[Slot, ...] = ()
    history: tuple[HistoryEntry, ...] = ()
    failed_grants: tuple[tuple[str, str, int], ...] = ()

    def request(self, request_id: str) -> MaintenanceRequest | None:
        """Return an open request."""
        return next((request for request in self.requests if request.id == request_id), None)

    def slot(self, seat: str) -> Slot | None:
        """Return the slot of a machine."""
        return next((slot for slot in self.slots if slot.seat == seat), None)

    def queue(self) -> Iterator[tuple[MaintenanceRequest, str]]:
        """Yield every request and seat that waits for a slot."""
        for request in self.requests:
            for seat in request.queued:
                yield request, seat

    def is_finished(self, request_id: str) -> bool:
        """Whether a request is remembered as finished."""
        return any(entry.request_id == request_id and not entry.seat for entry in self.history)

    def last_entry(self, request_id: str, seat: str) -> HistoryEntry | None:
        """Return how the seat's part of a request ended, if that is still remembered."""
        for entry in reversed(self.history):
            if entry.request_id == request_id and entry.seat in (seat, ""):
                return entry
        return None

    def failed_grants_of(self, request_id: str, seat: str) -> int:
        """Return the grants of a queued seat that came to nothing."""
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
    """Decode the value of the register; EMPTY if nothing was written yet. Raises msgspec.MsgspecError."""
    return EMPTY if value is None else _decoder.decode(value)
