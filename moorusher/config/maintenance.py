"""`[outage]` of the operator's file, read and checked."""

from __future__ import annotations

from typing import Any

from ..maintenance.policy import MaintenancePolicy
from .section import ConfigError, Section

FIGURES: dict[str, tuple[float, float]] = {
    "most": (1, 1_000),
    "most_zone": (1, 1_000),
    "most_group": (1, 1_000),
    "least_share": (0, 1),
    "fill": (0.05, 1),
    "peak_s": (1, 86_400),
    "settle_s": (0, 3_600),
    "drain_s": (1, 3_600),
    "go_s": (1, 86_400),
    "overdue": (1, 100),
    "back_s": (1, 86_400),
    "ages_s": (1, 604_800),
    "most_asks": (1, 1_000),
    "most_kept": (8, 1_000),
}


def read_outage(section: Section, fleet: bool) -> MaintenancePolicy:
    """`fleet`: there is one."""
    section.unknown({"on", "machine_id", *FIGURES})
    d = MaintenancePolicy()
    figures: dict[str, Any] = {n: section.between(n, getattr(d, n), *bounds) for n, bounds in FIGURES.items()}
    on, machine = section.get("on", False), section.get("machine_id", d.machine_id)
    if not machine.startswith("/"):
        raise ConfigError(f"{section.key('machine_id')}: expected an absolute path, got {machine!r}")
    if on and not fleet:
        raise ConfigError(f"{section.key('on')}: runners settle outages in a fleet: set fleet.listen")
    return MaintenancePolicy(on=on, machine_id=machine, **figures)
