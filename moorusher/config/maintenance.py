"""Reads and validates `[outage]` of the operator's file."""

from __future__ import annotations

from ..maintenance.policy import MaintenancePolicy
from .section import ConfigError, NumericSetting, Section

# Numeric settings of `[outage]` by key.
MAINTENANCE_SETTINGS = {
    "most": NumericSetting("max_out", 1, 1_000),
    "most_zone": NumericSetting("max_out_per_zone", 1, 1_000),
    "most_group": NumericSetting("max_out_per_group", 1, 1_000),
    "least_share": NumericSetting("min_capacity_share", 0, 1),
    "fill": NumericSetting("max_utilization", 0.05, 1),
    "peak_s": NumericSetting("peak_window_s", 1, 86_400),
    "settle_s": NumericSetting("capacity_stable_s", 0, 3_600),
    "drain_s": NumericSetting("drain_timeout_s", 1, 3_600),
    "go_s": NumericSetting("departure_timeout_s", 1, 86_400),
    "overdue": NumericSetting("overdue_factor", 1, 100),
    "back_s": NumericSetting("return_timeout_s", 1, 86_400),
    "ages_s": NumericSetting("aging_step_s", 1, 604_800),
    "most_asks": NumericSetting("max_open_requests", 1, 1_000),
    "most_kept": NumericSetting("max_history", 8, 1_000),
}


def read_maintenance(section: Section, has_fleet: bool) -> MaintenancePolicy:
    """Read and validate `[outage]`.

    :param has_fleet: whether the file has a fleet, which planned maintenance needs.
    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"on", "machine_id", *MAINTENANCE_SETTINGS})
    defaults = MaintenancePolicy()
    enabled = section.get("on", False)
    boot_id_path = section.get("machine_id", defaults.boot_id_path)
    if not boot_id_path.startswith("/"):
        raise ConfigError(f"{section.key('machine_id')}: expected an absolute path, got {boot_id_path!r}")
    if enabled and not has_fleet:
        raise ConfigError(f"{section.key('on')}: runners settle outages in a fleet: set fleet.listen")
    return MaintenancePolicy(
        enabled=enabled, boot_id_path=boot_id_path, **section.numbers(MAINTENANCE_SETTINGS, defaults)
    )
