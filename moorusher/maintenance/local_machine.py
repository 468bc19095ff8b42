"""Decides how a machine handles its own slot, from the schedule and from its own state.

The machine acts only on the schedule that it has read. A change is rejected if the slot has changed since that read.
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
    """The mode of the machine. The values appear in counters and log lines."""

    SERVING = "serves"
    DRAINING = "drains"  # accepts no requests, and hands over those that have not begun
    CLEARED = "may go"  # has drained, and may be worked on
    RETURNING = "returns"  # serves, but still warms up or recovers its replicated state


@dataclass(frozen=True, slots=True)
class MachineState:
    """The state of this process and its machine.

    Attributes:
        seat: The machine.
        incarnation: Incarnation of the process.
        is_first_process: Whether the process did not replace a running one.
        boot_id: Id of the machine's boot, read when the process started; empty if it can't be read.
        settings_digest: Digest of the settings.
        is_drained: Whether the machine has drained.
        machines_out: Number of slots in the schedule, including this machine's; lost machines without one don't count.
        draining_us: Time since it began to drain.
        returned_us: Time since it returned.
        is_warm: Whether it has warmed up and serves at full capacity.
        recovered: Whether it has all of its replicated state.
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
    """What the machine must do now.

    Attributes:
        mode: The mode to switch to.
        change: The change of the schedule to write, if any.
        alert: Condition to report to operators; empty for none.
    """

    mode: MachineMode
    change: Change | None = None
    alert: str = ""


def proves_work_over(slot: Slot, machine: MachineState) -> bool:
    """Return whether a reboot proves that the work is finished: this process runs on a later boot than the slot's."""
    is_reboot = slot.completion == CompletionProof.REBOOT
    return is_reboot and bool(machine.boot_id) and machine.boot_id != slot.boot_id


def decide(
    slot: Slot | None, machine: MachineState, policy: MaintenancePolicy, now_s: float
) -> MachineAction:
    """Return what the machine must do.

    :param slot: This machine's slot in the schedule as last read.
    :param now_s: Unix time; it is recorded in changes, and used in the text and the timing of an alert.
    """
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
        # The granting member has a higher limit in its settings. This is not a failure of this machine.
        note = f"{machine.machines_out} are out, and {policy.max_out} may be by its own file"
        return MachineAction(MachineMode.SERVING, ReturnSlot(slot, incarnation, note, is_failure=False))
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
            f"cleared {cleared_s:.0f} s ago and still up on the same boot: it counts as out of service until it has "
            "been rebooted, or until an operator runs `moorusher outage done`"
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
        alert = f"returned {machine.returned_us / SECOND:.0f} s ago and is still cold"
    return MachineAction(MachineMode.RETURNING, None, alert)
