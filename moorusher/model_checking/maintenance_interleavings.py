"""A model of the maintenance of three machines, of which one at a time may be out of service."""

# The moves are reads, grants, drains, the work itself, returns, changes that arrive late or never, one withdrawal and
# one crash. The register applies a change atomically; its protocol is explored in `register_interleavings`. A sender
# may abandon a change, which may still be applied at any later time. The interleavings in which a machine reads
# nothing and its changes don't arrive cover a partition. The invariants limit how many machines may be worked on at
# the same time, and exclude work on a machine after the withdrawal of its request was confirmed.

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from ..maintenance.disruption_budget import DisruptionBudget, SeatView
from ..maintenance.local_machine import MachineMode, MachineState, decide
from ..maintenance.operator_changes import SubmitRequest, WithdrawRequest
from ..maintenance.policy import MaintenancePolicy
from ..maintenance.schedule import MaintenanceRequest, Schedule, Slot, SlotStage, decode_schedule
from ..maintenance.slot_changes import ClearMachine, GrantSlots
from ..maintenance.transitions import Change
from .maintenance_machines import ModelMachine, SentChange
from .shallow_copy import shallow_copy

SEATS = ("a", "b", "c")
POLICY = MaintenancePolicy(
    enabled=True,
    max_out=1,
    max_out_per_zone=1,
    capacity_stable_s=0,
    min_capacity_share=0.3,
    departure_timeout_s=1e9,
    return_timeout_s=1e9,
)
MAX_REQUESTS = 9
MAX_HISTORY = 8
CACHED_SCHEDULES = 1 << 16
OPERATOR = "operator"
CHANGE_RESULTS = ("error", "is_applied", "too_late", "_revoked")  # Attributes set when a change is applied.


@lru_cache(CACHED_SCHEDULES)
def decode_register(value: bytes) -> Schedule:
    """Return the schedule that a value of the register encodes."""
    return decode_schedule(value or None)


@lru_cache(CACHED_SCHEDULES)
def grantable_slots(value: bytes, budget_class: type[DisruptionBudget]) -> tuple[tuple[str, str], ...]:
    """Return every (request id, seat) that may be granted."""
    # Any of them may be granted first, because safety must not depend on the order of the queue. All machines are
    # considered up, because an error of the failure detector may delay work but must not be unsafe.
    schedule = decode_register(value)
    views = [SeatView(seat, is_up=True, cores=1, weight=100) for seat in SEATS]
    budget = budget_class(views, schedule, SEATS, POLICY)
    return tuple(
        (request.id, seat)
        for request, seat in schedule.queue()
        if budget.blocking_reason(request, seat) is None
    )


@dataclass(frozen=True, slots=True)
class MaintenanceModelLimits:
    """The bounds of the explored case.

    Attributes:
        seats: Machines with a maintenance request, one request each.
        allows_withdrawal: Whether the first request may be withdrawn at any time.
        crashes: Number of crashes of a process or a machine.
        abandoned: Number of changes that their sender abandons.
        planners: Seats that grant slots.
    """

    seats: tuple[str, ...] = ("a", "b")
    allows_withdrawal: bool = True
    crashes: int = 1
    abandoned: int = 1
    planners: tuple[str, ...] = ("a", "c")


@dataclass(slots=True)
class MaintenanceModel:
    """A state of three machines and the schedule, see `explorer.Model`.

    Attributes:
        limits: Bounds of the explored case.
        grant_change: Class of the change that grants slots.
        clear_change: Class of the change that clears a machine.
        withdraw_change: Class of the change that withdraws a request.
        budget_class: Class of the disruption budget.
        machine_policy: Policy of the machines.
        clears_early: Whether the operator is notified before the clearance is chosen. True is a deliberate mistake.
        process_proves_reboot: Whether a new process counts as a boot of its machine. True is a deliberate mistake.
        register: Encoded schedule that is chosen.
        machines: Machines by seat.
        sent: Changes in transit.
        crashes: Number of crashes so far.
        abandoned: Number of abandoned changes so far.
        is_withdrawal_sent: Whether the withdrawal was sent.
        is_withdrawn: Whether the operator has received the confirmation of the withdrawal.
        failure: Description of the violated invariant, or None.
    """

    limits: MaintenanceModelLimits
    # Tests replace these classes by ones with a deliberate mistake.
    grant_change: type[GrantSlots] = GrantSlots
    clear_change: type[ClearMachine] = ClearMachine
    withdraw_change: type[WithdrawRequest] = WithdrawRequest
    budget_class: Any = DisruptionBudget
    machine_policy: MaintenancePolicy = POLICY
    clears_early: bool = False
    process_proves_reboot: bool = False
    register: bytes = b""
    machines: dict[str, ModelMachine] = field(default_factory=dict)
    sent: tuple[SentChange, ...] = ()
    crashes: int = 0
    abandoned: int = 0
    is_withdrawal_sent: bool = False
    is_withdrawn: bool = False
    failure: str | None = None

    @classmethod
    def initial(cls, limits: MaintenanceModelLimits, **options: Any) -> MaintenanceModel:
        """Return an initial state in which every request was submitted.

        :param options: Other attributes of the model.
        """
        model = cls(limits, **options)
        register: bytes | None = None
        for seat in limits.seats:
            request = MaintenanceRequest(f"for {seat}", "patch", "o", 1.0, 0.0, queued=(seat,))
            register = SubmitRequest(request, MAX_REQUESTS)(register) or register
        assert register is not None
        model.register = register
        model.machines = {seat: ModelMachine() for seat in SEATS}
        return model

    def copy(self) -> MaintenanceModel:
        """Return a copy that shares no data that a move changes."""
        new = shallow_copy(self)
        new.machines = {seat: shallow_copy(machine) for seat, machine in self.machines.items()}
        return new

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states."""
        return (
            self.register,
            tuple(machine.fingerprint() for machine in self.machines.values()),
            tuple(sorted((sent.sender, sent.incarnation, sent.text) for sent in self.sent)),
            self.crashes,
            self.abandoned,
            self.is_withdrawal_sent,
            self.is_withdrawn,
        )

    # ---- moves ----

    def moves(self) -> list[str]:
        """Return the names of all moves that are possible now."""
        names: list[str] = []
        for index, sent in enumerate(self.sent):
            names.append(f"deliver {index}: {sent.text}")
            if sent.sender and self.abandoned < self.limits.abandoned:
                names.append(f"abandon {index}: {sent.text}")
        for seat, machine in self.machines.items():
            names += self._machine_moves(seat, machine) if machine.is_alive else [f"{seat} starts"]
        if self.limits.allows_withdrawal and not self.is_withdrawal_sent:
            names.append(f"{OPERATOR} withdraws")
        return names

    def _machine_moves(self, seat: str, machine: ModelMachine) -> list[str]:
        names: list[str] = []
        if machine.known != self.register:
            names.append(f"{seat} reads")
        names += self._write_moves(seat, machine)
        slot = self._known_slot(seat)
        if (
            slot is not None
            and slot.stage is SlotStage.DRAINING
            and slot.incarnation == machine.incarnation
            and not machine.is_drained
        ):
            names.append(f"{seat} has drained")
        if machine.has_operator and not machine.is_cleared and self._may_notify_operator(seat):
            names.append(f"{seat} notifies its operator")
        if machine.is_cleared:
            names.append(f"{seat} goes down for work")
        if not machine.is_warm:
            names.append(f"{seat} has warmed up")
        if self.crashes < self.limits.crashes:
            names += [f"{seat} crashes", f"{seat} loses power"]
        return names

    def _write_moves(self, seat: str, machine: ModelMachine) -> list[str]:
        is_writing = any((sent.sender, sent.incarnation) == (seat, machine.incarnation) for sent in self.sent)
        if is_writing or machine.known is None:
            return []
        if self._own_change(seat) is not None:
            return [f"{seat} sends its change"]
        if seat in self.limits.planners:
            return [f"{seat} plans {other}" for _, other in grantable_slots(machine.known, self.budget_class)]
        return []

    def _known_slot(self, seat: str) -> Slot | None:
        known = self.machines[seat].known
        return None if known is None else decode_register(known).slot(seat)

    def _machine_state(self, seat: str) -> MachineState:
        machine = self.machines[seat]
        return MachineState(
            seat=seat,
            incarnation=machine.incarnation,
            is_first_process=True,
            boot_id=str(machine.incarnation if self.process_proves_reboot else machine.boot),
            settings_digest="",
            is_drained=machine.is_drained,
            machines_out=0 if machine.known is None else len(decode_register(machine.known).slots),
            is_warm=machine.is_warm,
            recovered=True,
        )

    def _own_change(self, seat: str) -> Change | None:
        machine = self.machines[seat]
        if machine.known is None:
            return None
        slot = self._known_slot(seat)
        state = self._machine_state(seat)
        change = decide(slot, state, self.machine_policy, 0.0).change
        if isinstance(change, ClearMachine) and slot is not None:
            return self.clear_change(
                slot, machine.incarnation, self.machine_policy.max_out, 0.0, state.boot_id, ""
            )
        return change

    def _may_notify_operator(self, seat: str) -> bool:
        if self.machines[seat].known is None:
            return False
        if self.clears_early and any(
            sent.sender == seat and isinstance(sent.change, ClearMachine) for sent in self.sent
        ):
            return True
        slot = self._known_slot(seat)
        if slot is None or slot.stage is not SlotStage.CLEARED:
            return False
        return decide(slot, self._machine_state(seat), POLICY, 0.0).mode is MachineMode.CLEARED

    def _send(self, sender: str, change: Change) -> None:
        incarnation = self.machines[sender].incarnation if sender in self.machines else 0
        parameters = {name: value for name, value in vars(change).items() if name not in CHANGE_RESULTS}
        text = f"{type(change).__name__} of {sender} {parameters}"
        self.sent += (SentChange(sender, incarnation, change, text),)

    def apply(self, name: str) -> None:
        """Make a move."""
        subject, _, rest = name.partition(" ")
        if subject in ("deliver", "abandon"):
            self._move_message(subject, int(rest.partition(":")[0]))
        elif subject == OPERATOR:
            self.is_withdrawal_sent = True
            request_id = f"for {self.limits.seats[0]}"
            self._send(OPERATOR, self.withdraw_change(request_id, [], 0.0, "o", MAX_HISTORY))
        else:
            self._move_machine(subject, rest)
            self._check_limit()

    def _move_message(self, kind: str, index: int) -> None:
        sent = self.sent[index]
        self.sent = self.sent[:index] + self.sent[index + 1 :]
        if kind == "deliver":
            self._arrive(sent)
        else:
            self.abandoned += 1
            self.sent += (SentChange("", 0, sent.change, sent.text),)

    def _move_machine(self, seat: str, move: str) -> None:
        machine = self.machines[seat]
        if move == "starts":
            machine.is_alive = True
            machine.incarnation += 1
            machine.known = None
            machine.is_drained = False
        elif move == "reads":
            machine.known = self.register
        elif move == "sends its change":
            change = self._own_change(seat)
            assert change is not None
            self._send(seat, change)
        elif move.startswith("plans "):
            self._plan(seat, machine, move.removeprefix("plans "))
        elif move == "has drained":
            machine.is_drained = True
        elif move == "notifies its operator":
            self._notify_operator(seat, machine)
        elif move == "goes down for work":
            machine.go_down_for_work()
        elif move == "has warmed up":
            machine.is_warm = True
            machine.is_out = False
        else:
            self.crashes += 1
            machine.crash(is_power_lost=move == "loses power")

    def _plan(self, seat: str, machine: ModelMachine, other: str) -> None:
        assert machine.known is not None
        granted = [slot for slot in grantable_slots(machine.known, self.budget_class) if slot[1] == other]
        self._send(
            seat, self.grant_change(decode_register(machine.known).revision, granted, POLICY.max_out, 0.0)
        )

    def _notify_operator(self, seat: str, machine: ModelMachine) -> None:
        machine.is_cleared = True
        if self.is_withdrawn and seat == self.limits.seats[0]:
            self.failure = f"{seat} was cleared after its operator had received the confirmed withdrawal"

    def _check_limit(self) -> None:
        out = [seat for seat, machine in self.machines.items() if machine.is_cleared or machine.is_out]
        if len(out) > POLICY.max_out:
            self.failure = f"{out} may be worked on at the same time"

    def _arrive(self, sent: SentChange) -> None:
        self.register = sent.change(self.register) or self.register
        if sent.sender == OPERATOR:
            if sent.change.error is None:
                self.is_withdrawn = True
                if self.machines[self.limits.seats[0]].is_cleared:
                    self.failure = "the withdrawal was confirmed after the machine had been cleared"
        elif sent.sender:
            machine = self.machines[sent.sender]
            if machine.is_alive and machine.incarnation == sent.incarnation:
                machine.known = self.register

    def violation(self) -> str | None:
        """Return a description of the invariant that this state violates, or None."""
        return self.failure
