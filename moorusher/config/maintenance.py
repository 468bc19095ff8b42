"""`[outage]` of the operator's file, read and checked."""

from __future__ import annotations

from ..maintenance.policy import MaintenancePolicy
from .section import ConfigError, Figure, Section

FIGURES = {
    "most": Figure("max_out", 1, 1_000),
    "most_zone": Figure("max_out_per_zone", 1, 1_000),
    "most_group": Figure("max_out_per_group", 1, 1_000),
    "least_share": Figure("min_capacity_share", 0, 1),
    "fill": Figure("max_utilization", 0.05, 1),
    "peak_s": Figure("peak_window_s", 1, 86_400),
    "settle_s": Figure("capacity_stable_s", 0, 3_600),
    "drain_s": Figure("drain_timeout_s", 1, 3_600),
    "go_s": Figure("departure_timeout_s", 1, 86_400),
    "overdue": Figure("overdue_factor", 1, 100),
    "back_s": Figure("return_timeout_s", 1, 86_400),
    "ages_s": Figure("aging_step_s", 1, 604_800),
    "most_asks": Figure("max_open_requests", 1, 1_000),
    "most_kept": Figure("max_history", 8, 1_000),
}


def read_outage(section: Section, has_fleet: bool) -> MaintenancePolicy:
    """Read and check the section.

    :param has_fleet: the file has a fleet, without which there is no planned maintenance.
    :raises ConfigError: with the key that is wrong.
    """
    section.unknown({"on", "machine_id", *FIGURES})
    defaults = MaintenancePolicy()
    enabled = section.get("on", False)
    boot_id_path = section.get("machine_id", defaults.boot_id_path)
    if not boot_id_path.startswith("/"):
        raise ConfigError(f"{section.key('machine_id')}: expected an absolute path, got {boot_id_path!r}")
    if enabled and not has_fleet:
        raise ConfigError(f"{section.key('on')}: runners settle outages in a fleet: set fleet.listen")
    return MaintenancePolicy(enabled=enabled, boot_id_path=boot_id_path, **section.figures(FIGURES, defaults))
