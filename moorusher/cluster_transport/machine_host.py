"""The machine of this runner, as the maintenance of the fleet sees it: its state, and whether it is in service."""

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

REASON_PREFIX = "outage: "  # of maintenance that is set here, and not by an operator
WARM_STATES = (HealthState.SERVING, HealthState.OVERLOADED)
MAX_BOOT_ID_CHARS = 64


def read_boot_id(path: str) -> str:
    """Return what tells this boot of the machine from others; empty if it can't be read: then none proves anything."""
    try:
        return Path(path).read_text().strip()[:MAX_BOOT_ID_CHARS]
    except OSError as exc:
        log.error(
            "outage.machine_id: %s: a machine that was out counts as back by an operator's word alone", exc
        )
        return ""


class LocalMachineHost:
    """This runner and its machine (`machine_controller.MachineHost`).

    boot_id: str, of the machine.
    is_out: bool, nothing new is taken, and what has not begun goes to others.
    """

    def __init__(self, fleet: ClusterMember, reporter: Reporter, boot_id: str) -> None:
        self.boot_id = boot_id
        self.is_out = False
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
        """Return the state of this process, without what the coordinator knows itself."""
        report = self._reporter.report()
        spaces = self._fleet.node.spaces.values()
        return MachineState(
            seat="",
            incarnation=0,
            is_first_process=not self._fleet.predecessor,
            boot_id=self.boot_id,
            settings_digest=self._settings_digest(),
            is_drained=self.is_out and self._is_drained(),
            is_warm=report.state in WARM_STATES,
            recovered=all(space.acceptor.recovered for space in spaces),
        )

    def _settings_digest(self) -> str:
        """Computed only when the settings were replaced: it is asked for with each tick."""
        if self._digested_settings is not self._core.settings:
            self._digested_settings = self._core.settings
            self._digest = xxhash.xxh64_hexdigest(repr(self._digested_settings).encode())
        return self._digest

    def _is_drained(self) -> bool:
        """Nothing is open or runs, nothing of it is the fleet's, and whoever sends requests had the time to notice."""
        core = self._core
        if core.table.unanswered or len(core.runs) or self._fleet.is_busy:
            return False
        horizon_us = self._reporter.tracker.horizon_us(core.clock.now)
        return core.clock.now - self._out_since_us >= horizon_us

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Take this runner out of service, or put it back."""
        is_out = mode in (MachineMode.DRAINING, MachineMode.CLEARED)
        if is_out and not self.is_out:
            log.info("outage: draining this machine for maintenance: reason=%s", reason)
            self._out_since_us = self._core.clock.now
        elif self.is_out and not is_out:
            log.info("outage: this machine is back in service: state=%s", mode.value)
        self.is_out = is_out
        if is_out and self._reporter.is_in_rotation:
            self._reporter.set_maintenance(REASON_PREFIX + reason)
        elif not is_out and self._is_own_maintenance():
            self._reporter.end_maintenance()

    def _is_own_maintenance(self) -> bool:
        """The maintenance that is set comes from here, or from the process that this one replaced."""
        maintenance = self._reporter.tracker.maintenance
        return maintenance is not None and maintenance.reason.startswith(REASON_PREFIX)

    def alert(self, text: str) -> None:
        """Log and count something that an operator must look at."""
        log.error("planned maintenance of this machine needs a person: %s", text)
        self._core.counters.add("outages that need a person")
