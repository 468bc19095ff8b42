"""Every interleaving of the maintenance of three machines, of which one at a time may be out of service.

Interleaved are reading, planning, draining, going, coming back, changes that arrive late or not at all, one withdrawal
and one crash. The register is one that takes a change at one moment (`register_interleavings` walks how it does that);
whoever sent a change may abandon it, and it may come about at any later time all the same. A machine that is cut off is
one that reads nothing, and whose changes don't arrive. What is checked is the machines themselves: how many may be
worked on at one time.
"""

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
CHANGE_RESULTS = ("error", "is_applied", "too_late", "_revoked")  # what applying a change leaves in it


@lru_cache(CACHED_SCHEDULES)
def read(known: bytes) -> Schedule:
    """Return the schedule that a register holds."""
    return decode_schedule(known or None)


@lru_cache(CACHED_SCHEDULES)
def grantable(known: bytes, budget_class: type[DisruptionBudget]) -> tuple[tuple[str, str], ...]:
    """Return every (request id, seat) that may be granted, as no safety rests on the order.

    Machines that are lost are taken to be there, as a wrong failure detector must cost nothing but time.
    """
    schedule = read(known)
    views = [SeatView(seat, is_up=True, cores=1, weight=100) for seat in SEATS]
    budget = budget_class(views, schedule, SEATS, POLICY)
    return tuple(
        (request.id, seat)
        for request, seat in schedule.queue()
        if budget.blocking_reason(request, seat) is None
    )


@dataclass(frozen=True, slots=True)
class MaintenanceModelLimits:
    """How large the case is that is walked.

    seats: machines that are requested, one request each.
    is_withdrawn: bool, the first request is withdrawn at any moment.
    crashes: int, of a process or of a machine.
    abandoned: int, changes whose answer is not waited for.
    planners: seats that plan.
    """

    seats: tuple[str, ...] = ("a", "b")
    is_withdrawn: bool = True
    crashes: int = 1
    abandoned: int = 1
    planners: tuple[str, ...] = ("a", "c")


@dataclass(slots=True)
class MaintenanceModel:
    """A state of three machines and the schedule, see `explorer.Model`.

    Attributes:
        limits: `MaintenanceModelLimits`.
        grant_change, clear_change, withdraw_change, budget_class: the real ones, or those with a seeded mistake.
        machine_policy: settings of the machines.
        clears_early: `bool`, a seeded mistake: the operator is told as the change goes out.
        any_process: `bool`, a seeded mistake: any later process counts as a later boot of its machine.
        register: `bytes`, the schedule that is chosen.
        machines: by seat.
        sent: changes in transit.
        crashes, abandoned: `int`, how many there were.
        is_withdrawal_sent: `bool`.
        is_withdrawn: `bool`, the operator has heard that nothing of it will come about.
        failure: what is violated, in words, or None.
    """

    limits: MaintenanceModelLimits
    grant_change: type[GrantSlots] = GrantSlots
    clear_change: type[ClearMachine] = ClearMachine
    withdraw_change: type[WithdrawRequest] = WithdrawRequest
    budget_class: Any = DisruptionBudget
    machine_policy: MaintenancePolicy = POLICY
    clears_early: bool = False
    any_process: bool = False
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
        """Return the state in which every request was submitted; `options`: further attributes."""
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
        """Return a copy that shares nothing that a move changes."""
        new = shallow_copy(self)
        new.machines = {seat: shallow_copy(machine) for seat, machine in self.machines.items()}
        return new

    def fingerprint(self) -> Hashable:
        """Return what tells two states of the search apart."""
        return (
            self.register,
            tuple(machine.print() for machine in self.machines.values()),
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
            names.append(f"arrives {index}: {sent.text}")
            if sent.sender and self.abandoned < self.limits.abandoned:
                names.append(f"abandoned {index}: {sent.text}")
        for seat, machine in self.machines.items():
            names += self._machine_moves(seat, machine) if machine.is_alive else [f"{seat} starts"]
        if self.limits.is_withdrawn and not self.is_withdrawal_sent:
            names.append(f"{OPERATOR} withdraws")
        return names

    def _machine_moves(self, seat: str, machine: ModelMachine) -> list[str]:
        names: list[str] = []
        if machine.known != self.register:
            names.append(f"{seat} reads")
        names += self._writes(seat, machine)
        slot = self._known_slot(seat)
        if (
            slot is not None
            and slot.stage is SlotStage.DRAINING
            and slot.incarnation == machine.incarnation
            and not machine.is_drained
        ):
            names.append(f"{seat} has drained")
        if machine.has_operator and not machine.is_cleared and self._may_notify_operator(seat):
            names.append(f"{seat} tells its operator")
        if machine.is_cleared:
            names.append(f"{seat} is worked on")
        if not machine.is_warm:
            names.append(f"{seat} is warm")
        if self.crashes < self.limits.crashes:
            names += [f"{seat} fails", f"{seat} loses power"]
        return names

    def _writes(self, seat: str, machine: ModelMachine) -> list[str]:
        is_writing = any((sent.sender, sent.incarnation) == (seat, machine.incarnation) for sent in self.sent)
        if is_writing or machine.known is None:
            return []
        if self._own_change(seat) is not None:
            return [f"{seat} acts"]
        if seat in self.limits.planners:
            return [f"{seat} plans {other}" for _, other in grantable(machine.known, self.budget_class)]
        return []

    def _known_slot(self, seat: str) -> Slot | None:
        known = self.machines[seat].known
        return None if known is None else read(known).slot(seat)

    def _machine_state(self, seat: str) -> MachineState:
        machine = self.machines[seat]
        return MachineState(
            seat=seat,
            incarnation=machine.incarnation,
            is_first_process=True,
            boot_id=str(machine.incarnation if self.any_process else machine.boot),
            settings_digest="",
            is_drained=machine.is_drained,
            machines_out=0 if machine.known is None else len(read(machine.known).slots),
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
        terms = {name: value for name, value in vars(change).items() if name not in CHANGE_RESULTS}
        text = f"{type(change).__name__} of {sender} {terms}"
        self.sent += (SentChange(sender, incarnation, change, text),)

    def apply(self, name: str) -> None:
        """Make a move."""
        subject, _, rest = name.partition(" ")
        if subject in ("arrives", "abandoned"):
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
        if kind == "arrives":
            self._arrive(sent)
        else:
            self.abandoned += 1
            self.sent += (SentChange("", 0, sent.change, sent.text),)

    def _move_machine(self, seat: str, what: str) -> None:
        machine = self.machines[seat]
        if what == "starts":
            machine.is_alive = True
            machine.incarnation += 1
            machine.known = None
            machine.is_drained = False
        elif what == "reads":
            machine.known = self.register
        elif what == "acts":
            change = self._own_change(seat)
            assert change is not None
            self._send(seat, change)
        elif what.startswith("plans "):
            self._plan(seat, machine, what.removeprefix("plans "))
        elif what == "has drained":
            machine.is_drained = True
        elif what == "tells its operator":
            self._clear(seat, machine)
        elif what == "is worked on":
            machine.go_down_for_work()
        elif what == "is warm":
            machine.is_warm = True
            machine.is_away = False
        else:
            self.crashes += 1
            machine.crash(is_power_lost=what == "loses power")

    def _plan(self, seat: str, machine: ModelMachine, other: str) -> None:
        assert machine.known is not None
        granted = [one for one in grantable(machine.known, self.budget_class) if one[1] == other]
        self._send(seat, self.grant_change(read(machine.known).revision, granted, POLICY.max_out, 0.0))

    def _clear(self, seat: str, machine: ModelMachine) -> None:
        machine.is_cleared = True
        if self.is_withdrawn and seat == self.limits.seats[0]:
            self.failure = f"{seat} was told to go, though its operator had heard that it is withdrawn"

    def _check_limit(self) -> None:
        out = [seat for seat, machine in self.machines.items() if machine.is_cleared or machine.is_away]
        if len(out) > POLICY.max_out:
            self.failure = f"{out} may be worked on at one time"

    def _arrive(self, sent: SentChange) -> None:
        self.register = sent.change(self.register) or self.register
        if sent.sender == OPERATOR:
            if sent.change.error is None:
                self.is_withdrawn = True
                if self.machines[self.limits.seats[0]].is_cleared:
                    self.failure = "its operator heard that it is withdrawn, after the machine was told to go"
        elif sent.sender:
            machine = self.machines[sent.sender]
            if machine.is_alive and machine.incarnation == sent.incarnation:
                machine.known = self.register

    def violation(self) -> str | None:
        """Return what is violated in this state, in words."""
        return self.failure
