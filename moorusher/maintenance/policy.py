"""Settings of `[outage]` in the operator's file.

The module imports nothing of the package, since the settings are read also by a runner without a fleet.
"""

from __future__ import annotations

from dataclasses import dataclass

LINUX_BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


@dataclass(frozen=True, slots=True)
class MaintenancePolicy:
    """The settings; `config/maintenance.py` maps the keys of the file to them. Shares are from 0 to 1.

    No timeout clears a machine or returns it to service: timeouts only decide when something is retried or reported.
    """

    enabled: bool = False
    # Maximum number of machines that are out of service at a time: in all, per zone, per group. The member that plans
    # a grant counts the machines with a slot and those that are lost without a slot (`disruption_budget.py`). When the
    # schedule is changed, and when a machine checks its own slot, only machines with a slot are counted against
    # `max_out` (`max_slots` in `slot_changes.py`), since the schedule has no record of the lost ones.
    max_out: int = 1
    max_out_per_zone: int = 1
    max_out_per_group: int = 1
    # Share of the fleet's cores that must remain in service.
    min_capacity_share: float = 0.5
    # Share of the remaining capacity that the load and its recent peak may use.
    max_utilization: float = 0.95
    # Time for which a load peak counts as recent.
    peak_window_s: float = 600.0
    # Time before the next grant in which the remaining capacity must not shrink, and no machine may leave or return.
    capacity_stable_s: float = 3.0
    # Time after which a machine that has not drained is queued again.
    drain_timeout_s: float = 60.0
    # Time after which a cleared machine that is still up is reported.
    departure_timeout_s: float = 300.0
    # Multiple of the expected duration after which a machine is reported as overdue.
    overdue_factor: float = 1.5
    # Time after which a returned machine that has warmed up is accepted although it has not recovered its replicated
    # state. A machine that has not warmed up by then is reported.
    return_timeout_s: float = 120.0
    # Waiting time that counts as much as one step of priority.
    aging_step_s: float = 3_600.0
    max_open_requests: int = 64
    # Entries that the history retains.
    max_history: int = 64
    # File whose content changes with each boot of the machine.
    boot_id_path: str = LINUX_BOOT_ID_PATH
