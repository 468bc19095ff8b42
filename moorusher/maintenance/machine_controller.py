"""Carries out what this machine has to do about its own slot, and withdraws requests whose callers are gone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from ..membership.failure_detector import MS
from ..replication.node import Node
from .local_machine import MachineAction, MachineMode, MachineState, decide
from .operator_changes import WithdrawRequest
from .policy import MaintenancePolicy
from .schedule import Slot, SlotStage
from .schedule_replica import ScheduleReplica
from .slot_changes import ClearMachine

CALLER_GRACE_US = 4_000 * MS  # a caller may come back within that; then its request is withdrawn


class MachineHost(Protocol):
    """The process on the machine."""

    def unix_s(self) -> float:
        """Return the Unix time."""

    def machine_state(self) -> MachineState:
        """Return its state, without what the controller knows itself."""

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Act by the mode. Called again and again, also if nothing has changed."""

    def alert(self, text: str) -> None:
        """Report something that an operator must look at."""


@dataclass(frozen=True, slots=True)
class AbandonedRequests:
    """Requests that end with a caller who waits on this machine, and has nobody who does.

    abandoned: ids of those without a caller; a new one may still come.
    expired: ids of those that are to be withdrawn.
    """

    abandoned: list[str]
    expired: list[str]


class MachineController:
    """Acts for the machine of this member.

    mode: MachineMode.
    """

    def __init__(
        self,
        node: Node,
        host: MachineHost,
        replica: ScheduleReplica,
        policy: Callable[[], MaintenancePolicy],
        waited_requests: Callable[[], set[str]],
    ) -> None:
        """`policy`: the settings as they are now. `waited_requests`: ids of requests that somebody waits for here."""
        self.mode = MachineMode.SERVING
        self._node = node
        self._host = host
        self._replica = replica
        self._policy = policy
        self._waited_requests = waited_requests
        self._mode_since_us: dict[MachineMode, int] = {}
        self._alerted = ""  # first word of the last alert
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
        """Do what the schedule asks for now. Nothing before it was read: the machine may be out of service."""
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
        if action.alert and alert_kind != self._alerted:
            self._host.alert(f"outage: {self._node.me}: {action.alert}")
        self._alerted = alert_kind

    def _reason(self, slot: Slot | None) -> str:
        if slot is None:
            return ""
        request = self._replica.schedule.request(slot.request_id)
        return slot.request_id if request is None else request.reason

    # ---- callers that are gone ----

    def _find_abandoned(self, boot_id: str) -> AbandonedRequests:
        """A caller of an earlier boot is gone with it. One of this boot may come back within the grace, as when the
        runner is replaced."""
        now = self._node.clock()
        me = self._node.me
        slot = self._replica.schedule.slot(me)
        draining_id = slot.request_id if slot is not None and slot.stage is SlotStage.DRAINING else ""
        waited = self._waited_requests()
        abandoned = {
            request.id: request.boot_id
            for request in self._replica.schedule.requests
            if request.boot_id
            and request.id not in waited
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
        """Nobody would begin the work: the clearance waits for a caller."""
        is_clearance = isinstance(action.change, ClearMachine)
        return is_clearance and slot is not None and slot.request_id in requests.abandoned
