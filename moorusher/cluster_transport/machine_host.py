"""The machine of this runner, as seen by the fleet's planned maintenance: its state, and whether it is in service."""

from __future__ import annotations

import logging
import time
from pathlib import Path
from typing import Any

import xxhash

from ..health.states import HealthState
from ..health_reporting.reporter import Reporter
from ..maintenance.local_machine import MachineMode, MachineState
from .cluster_member import ClusterMember

log = logging.getLogger("moorusher")

# Prefix of the reason of maintenance that this module sets. Reasons of operators don't have it.
REASON_PREFIX = "outage: "
WARM_STATES = (HealthState.SERVING, HealthState.OVERLOADED)
MAX_BOOT_ID_CHARS = 64


def read_boot_id(path: str) -> str:
    """Return the id of the machine's current boot.

    :returns: An empty text if the file can't be read; a reboot is then no proof that maintenance is complete.
    """
    try:
        return Path(path).read_text().strip()[:MAX_BOOT_ID_CHARS]
    except OSError as exc:
        log.error(
            "outage: can't read the file that outage.machine_id names, so only an operator can state that "
            "maintenance of this machine is complete: reason=%s",
            exc,
        )
        return ""


class LocalMachineHost:
    """This runner and its machine (`machine_controller.MachineHost`).

    Attributes:
        boot_id: Id of the machine's boot at the start of this process.
        is_out_of_service: Whether this runner accepts no new work, and hands work that has not started to others.
    """

    def __init__(self, fleet: ClusterMember, reporter: Reporter, boot_id: str) -> None:
        self.boot_id = boot_id
        self.is_out_of_service = False
        self._fleet = fleet
        self._core = fleet.core
        self._reporter = reporter
        self._out_since_us = 0
        self._digested_settings: Any = None
        self._digest = ""

    def unix_s(self) -> float:
        """Return the Unix time."""
        return time.time()

    def machine_state(self) -> MachineState:
        """Return the state as far as this process knows it. The machine controller fills in the other fields."""
        report = self._reporter.report()
        spaces = self._fleet.node.spaces.values()
        return MachineState(
            seat="",
            incarnation=0,
            is_first_process=not self._fleet.predecessor,
            boot_id=self.boot_id,
            settings_digest=self._settings_digest(),
            is_drained=self.is_out_of_service and self._is_drained(),
            is_warm=report.state in WARM_STATES,
            recovered=all(space.acceptor.recovered for space in spaces),
        )

    def _settings_digest(self) -> str:
        # The digest is cached until the settings are replaced, since each tick reads it.
        if self._digested_settings is not self._core.settings:
            self._digested_settings = self._core.settings
            self._digest = xxhash.xxh64_hexdigest(repr(self._digested_settings).encode())
        return self._digest

    def _is_drained(self) -> bool:
        """Return whether no request, run or work of the fleet is open, and clients had time to notice the drain."""
        core = self._core
        if core.table.unanswered or len(core.runs) or self._fleet.is_busy:
            return False
        horizon_us = self._reporter.tracker.horizon_us(core.clock.now)
        return core.clock.now - self._out_since_us >= horizon_us

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Remove this runner from service, or return it to service."""
        is_out_of_service = mode in (MachineMode.DRAINING, MachineMode.CLEARED)
        if is_out_of_service and not self.is_out_of_service:
            log.info("outage: draining this machine for maintenance: reason=%s", reason)
            self._out_since_us = self._core.clock.now
        elif self.is_out_of_service and not is_out_of_service:
            log.info("outage: this machine is back in service: state=%s", mode.value)
        self.is_out_of_service = is_out_of_service
        if is_out_of_service and self._reporter.is_in_rotation:
            self._reporter.set_maintenance(REASON_PREFIX + reason)
        elif not is_out_of_service and self._is_own_maintenance():
            self._reporter.end_maintenance()

    def _is_own_maintenance(self) -> bool:
        """Return whether maintenance was set by this module, here or in the process that this one replaced."""
        maintenance = self._reporter.tracker.maintenance
        return maintenance is not None and maintenance.reason.startswith(REASON_PREFIX)

    def alert(self, text: str) -> None:
        """Log and count a problem that needs an operator."""
        log.error("outage: planned maintenance of this machine needs an operator: %s", text)
        self._core.counters.add("outages that need a person")
