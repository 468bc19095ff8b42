"""What a machine does about its own slot, from the schedule and from its own state.

No step is taken before the schedule says so; what the machine writes is rejected if the schedule went on meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..time_units import SECOND
from .policy import MaintenancePolicy
from .schedule import CompletionProof, Slot, SlotStage
from .slot_changes import AcceptSlot, ClearMachine, CompleteSlot, MarkReturned, ReturnSlot
from .transitions import Change


class MachineMode(Enum):
    """What the machine does. The values appear in counters and log lines."""

    SERVING = "serves"
    DRAINING = "drains"  # takes nothing new, hands over what has not begun
    CLEARED = "may go"  # drained, and its operator is told
    RETURNING = "returns"  # serves, and is not yet what it was


@dataclass(frozen=True, slots=True)
class MachineState:
    """This process and its machine.

    seat: str.
    incarnation: int, of the process.
    is_first_process: bool, it does not replace a running one.
    boot_id: str, content of the machine's file at the start of the process; empty if it can't be read.
    settings_digest: str.
    is_drained: bool.
    machines_out: int, slots of the schedule, this machine's included; lost machines that have none are not counted.
    draining_us, returned_us: int, since it began to drain, and since it came back.
    is_warm: bool, it serves as before.
    recovered: bool, it has forgotten nothing that it replicates.
    """

    seat: str
    incarnation: int
    is_first_process: bool
    boot_id: str
    settings_digest: str
    is_drained: bool = False
    machines_out: int = 1
    draining_us: int = 0
    returned_us: int = 0
    is_warm: bool = False
    recovered: bool = False


@dataclass(frozen=True, slots=True)
class MachineAction:
    """What the machine has to do now. `alert`: to be reported to operators once; empty for none."""

    mode: MachineMode
    change: Change | None = None
    alert: str = ""


def proves_work_over(slot: Slot, machine: MachineState) -> bool:
    """Whether this process can only be there because the work is over: it runs on a later boot."""
    is_reboot = slot.completion == CompletionProof.REBOOT
    return is_reboot and bool(machine.boot_id) and machine.boot_id != slot.boot_id


def decide(
    slot: Slot | None, machine: MachineState, policy: MaintenancePolicy, now_s: float
) -> MachineAction:
    """Return what to do. `slot`: of this machine, as last known; `now_s`: Unix time, written down and no more."""
    if slot is None:
        return MachineAction(MachineMode.SERVING)
    match slot.stage:
        case SlotStage.DRAINING:
            return _decide_draining(slot, machine, policy, now_s)
        case SlotStage.CLEARED:
            return _decide_cleared(slot, machine, policy, now_s)
        case SlotStage.SUSPENDED:
            return MachineAction(MachineMode.RETURNING, None, slot.note)
        case SlotStage.RETURNED:
            return _decide_returned(slot, machine, policy, now_s)


def _decide_draining(
    slot: Slot, machine: MachineState, policy: MaintenancePolicy, now_s: float
) -> MachineAction:
    incarnation = machine.incarnation
    if machine.machines_out > policy.max_out:
        # Whoever granted it has a file with a higher bound; that is no fault of this machine.
        note = f"{machine.machines_out} are out, and {policy.max_out} may be by its own file"
        return MachineAction(MachineMode.SERVING, ReturnSlot(slot, incarnation, note, counts=False))
    if slot.incarnation != incarnation:
        if slot.incarnation and machine.is_first_process:
            note = "its process ended while it drained"
            return MachineAction(MachineMode.SERVING, ReturnSlot(slot, incarnation, note))
        return MachineAction(MachineMode.DRAINING, AcceptSlot(slot, incarnation))
    if machine.is_drained:
        change = ClearMachine(
            slot, incarnation, policy.max_out, now_s, machine.boot_id, machine.settings_digest
        )
        return MachineAction(MachineMode.DRAINING, change)
    if machine.draining_us > policy.drain_timeout_s * SECOND:
        note = f"not drained within {policy.drain_timeout_s:g} s"
        return MachineAction(MachineMode.DRAINING, ReturnSlot(slot, incarnation, note))
    return MachineAction(MachineMode.DRAINING)


def _decide_cleared(
    slot: Slot, machine: MachineState, policy: MaintenancePolicy, now_s: float
) -> MachineAction:
    if proves_work_over(slot, machine):
        change = MarkReturned(slot, machine.incarnation, now_s, machine.settings_digest)
        return MachineAction(MachineMode.RETURNING, change)
    cleared_s = now_s - slot.since_s
    alert = ""
    if cleared_s > policy.departure_timeout_s:
        alert = (
            f"told to go {cleared_s:.0f} s ago, and up, on the same start: it counts as out until "
            "it has gone and is back, or `moorusher outage done` is said of it"
        )
    return MachineAction(MachineMode.CLEARED, None, alert)


def _decide_returned(
    slot: Slot, machine: MachineState, policy: MaintenancePolicy, now_s: float
) -> MachineAction:
    incarnation = machine.incarnation
    if slot.incarnation != incarnation:
        if machine.is_first_process:
            change = MarkReturned(slot, incarnation, now_s, machine.settings_digest)
            return MachineAction(MachineMode.RETURNING, change)
        return MachineAction(MachineMode.RETURNING, AcceptSlot(slot, incarnation))
    is_overdue = machine.returned_us > policy.return_timeout_s * SECOND
    if machine.is_warm and (machine.recovered or is_overdue):
        return MachineAction(
            MachineMode.RETURNING, CompleteSlot(slot, incarnation, now_s, policy.max_history)
        )
    alert = ""
    if is_overdue:
        alert = f"back for {machine.returned_us / SECOND:.0f} s, and still cold"
    return MachineAction(MachineMode.RETURNING, None, alert)
