"""Settings of `[outage]` in the operator's file. Imports nothing, as it is read also if there is no fleet."""

from __future__ import annotations

from dataclasses import dataclass

BOOT_ID = "/proc/sys/kernel/random/boot_id"


@dataclass(frozen=True, slots=True)
class MaintenancePolicy:
    """The settings; `config/maintenance.py` has the key of each. Times in seconds, shares from 0 to 1.

    No time lets a machine go, nor counts one back in: times decide only when something is tried or reported.

    Two counts are held against `max_out`. Who plans a grant counts lost machines, too, as that member sees them
    (`disruption_budget.py`); the schedule and the machine itself count slots alone (`max_slots` in `slot_changes.py`),
    since the schedule has no record of machines that are lost without a slot.
    """

    enabled: bool = False
    max_out: int = 1  # machines out of service at a time, lost ones included
    max_out_per_zone: int = 1  # of one zone
    max_out_per_group: int = 1  # of one group of seats
    min_capacity_share: float = 0.5  # of the fleet's cores that must stay
    max_utilization: float = 0.95  # of the staying capacity that the load and its recent peak may take
    peak_window_s: float = 600.0  # how long a peak counts as recent
    capacity_stable_s: float = (
        3.0  # the staying capacity must not have shrunk for so long before the next grant
    )
    drain_timeout_s: float = 60.0  # a machine that still has work after that is queued again
    departure_timeout_s: float = 300.0  # cleared and still up: reported
    overdue_factor: float = 1.5  # times the expected duration, after which it is reported
    return_timeout_s: float = (
        120.0  # returned, and still warming up or without its memory: it counts as it is
    )
    aging_step_s: float = 3_600.0  # of waiting that weigh as much as one step of priority
    max_open_requests: int = 64  # requests that are open at a time
    max_history: int = 64  # entries of the history
    boot_id_path: str = BOOT_ID  # a file whose content changes with each boot of the machine
