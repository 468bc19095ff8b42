"""Moves this machine through the stages of its slot, and withdraws requests whose callers have disconnected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from ..replication.node import Node
from ..time_units import MS
from .local_machine import MachineAction, MachineMode, MachineState, decide
from .operator_changes import WithdrawRequest
from .policy import MaintenancePolicy
from .schedule import Slot, SlotStage
from .schedule_replica import ScheduleReplica
from .slot_changes import ClearMachine

CALLER_GRACE_US = 4_000 * MS  # time for a caller to reconnect before its request is withdrawn


class MachineHost(Protocol):
    """The process on the machine."""

    def unix_s(self) -> float:
        """Return the Unix time."""

    def machine_state(self) -> MachineState:
        """Return the state of the machine, without the fields that the controller fills in."""

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Switch to a mode. Called repeatedly, also if the mode is unchanged."""

    def alert(self, text: str) -> None:
        """Report a condition that needs an operator."""


@dataclass(frozen=True, slots=True)
class AbandonedRequests:
    """Ids of the requests that need a caller who waits at this machine, and have none.

    Attributes:
        abandoned: Requests without a caller; the caller may still reconnect.
        expired: Requests among them that must be withdrawn.
    """

    abandoned: list[str]
    expired: list[str]


class MachineController:
    """Controls the machine of this member according to its slot.

    Attributes:
        mode: Current mode of the machine.
    """

    def __init__(
        self,
        node: Node,
        host: MachineHost,
        replica: ScheduleReplica,
        policy: Callable[[], MaintenancePolicy],
        awaited_requests: Callable[[], set[str]],
    ) -> None:
        """:param awaited_requests: Returns the ids of the requests that a caller waits for at this member."""
        self.mode = MachineMode.SERVING
        self._node = node
        self._host = host
        self._replica = replica
        self._policy = policy
        self._awaited_requests = awaited_requests
        self._mode_since_us: dict[MachineMode, int] = {}
        self._last_alert_kind = ""  # first word of the last alert
        self._abandoned_since_us: dict[str, int] = {}

    def state(self) -> MachineState:
        """Return the state of the machine."""
        now = self._node.clock()
        return replace(
            self._host.machine_state(),
            seat=self._node.me,
            incarnation=self._node.owner.incarnation,
            machines_out=len(self._replica.schedule.slots),
            draining_us=now - self._mode_since_us.get(MachineMode.DRAINING, now),
            returned_us=now - self._mode_since_us.get(MachineMode.RETURNING, now),
        )

    def step(self) -> None:
        """Act on the schedule. Do nothing before the first read, since the machine may be out of service."""
        if not self._replica.is_known:
            return
        slot = self._replica.schedule.slot(self._node.me)
        machine = self.state()
        action = decide(slot, machine, self._policy(), self._host.unix_s())
        self._act(action, slot)
        requests = self._find_abandoned(machine.boot_id)
        if self._replica.is_writing:
            return
        if requests.expired:
            self._withdraw(requests.expired[0])
        elif action.change is not None and not self._is_clearance_without_caller(action, slot, requests):
            self._replica.write(action.change)

    def _act(self, action: MachineAction, slot: Slot | None) -> None:
        if action.mode is not self.mode:
            self._node.count(f"outage: {action.mode.value}")
            self.mode = action.mode
            self._mode_since_us = {action.mode: self._node.clock()}
        self._host.set_mode(action.mode, self._reason(slot))
        alert_kind = action.alert.split(" ", 1)[0]
        if action.alert and alert_kind != self._last_alert_kind:
            self._host.alert(f"outage: {self._node.me}: {action.alert}")
        self._last_alert_kind = alert_kind

    def _reason(self, slot: Slot | None) -> str:
        if slot is None:
            return ""
        request = self._replica.schedule.request(slot.request_id)
        return slot.request_id if request is None else request.reason

    # ---- requests without a caller ----

    def _find_abandoned(self, boot_id: str) -> AbandonedRequests:
        """Return the requests whose callers have disconnected."""
        # A request expires at once if its caller waited on an earlier boot, and otherwise after CALLER_GRACE_US: a
        # caller reconnects when the runner's process is replaced.
        now = self._node.clock()
        me = self._node.me
        slot = self._replica.schedule.slot(me)
        draining_id = slot.request_id if slot is not None and slot.stage is SlotStage.DRAINING else ""
        awaited = self._awaited_requests()
        abandoned = {
            request.id: request.boot_id
            for request in self._replica.schedule.requests
            if request.boot_id
            and request.id not in awaited
            and (me in request.queued or request.id == draining_id)
        }
        self._abandoned_since_us = {id: self._abandoned_since_us.get(id, now) for id in abandoned}
        expired = [
            id
            for id, request_boot_id in abandoned.items()
            if (boot_id and request_boot_id != boot_id)
            or now - self._abandoned_since_us[id] >= CALLER_GRACE_US
        ]
        return AbandonedRequests(list(abandoned), expired)

    def _withdraw(self, request_id: str) -> None:
        self._node.count("outage: withdrawn, as who waited has gone")
        self._replica.write(
            WithdrawRequest(
                request_id,
                [self._node.me],
                self._host.unix_s(),
                "nobody: who waited has gone",
                self._policy().max_history,
            )
        )

    @staticmethod
    def _is_clearance_without_caller(
        action: MachineAction, slot: Slot | None, requests: AbandonedRequests
    ) -> bool:
        """Return whether the action clears the machine while no caller is connected to begin the work."""
        is_clearance = isinstance(action.change, ClearMachine)
        return is_clearance and slot is not None and slot.request_id in requests.abandoned
