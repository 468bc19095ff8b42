"""Reads the operator's file, which configures additional listeners and optional features."""

from __future__ import annotations

import tomllib
from pathlib import Path

from ..forecasting.policy import ForecastPolicy
from ..maintenance.policy import MaintenancePolicy
from .fleet import FleetConfig, read_fleet
from .health import read_health_checks
from .load_balancing import TierConfig, read_tier
from .model import AdminConfig, OperatorConfig, UwsgiConfig
from .namespaces import NamespacesConfig, read_namespaces
from .section import ConfigError, Section, require_loopback, unreadable_error

DEFAULT_OPERATOR_FILE = Path(__file__).resolve().parents[2] / "deploy" / "fronts.toml"
SECTIONS = {
    "uwsgi",
    "health",
    "agent",
    "admin",
    "standing",
    "tier",
    "fleet",
    "duties",
    "namespaces",
    "forecast",
    "outage",
}


def read_operator_file(path: Path) -> OperatorConfig:
    """Read and validate the file; if it is missing, all its features are disabled.

    :raises ConfigUnreadableError: the file is temporarily unreadable.
    :raises ConfigError: the file is not valid TOML, a key is unknown or a value is invalid.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return OperatorConfig()
    except OSError as error:
        raise unreadable_error(path.name, error) from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}") from error
    root = Section(raw, "")
    root.reject_unknown_keys(SECTIONS)
    uwsgi = _read_uwsgi(root.section("uwsgi"))
    admin = _read_admin(root.section("admin"), path.parent)
    probes = read_health_checks(root.section("agent"), root.section("health"), root.section("standing"))
    fleet = read_fleet(root.section("fleet"), root.section("duties"))
    tier = read_tier(root.section("tier"), path.parent, max(1, len(fleet.seats)))
    return OperatorConfig(
        uwsgi=uwsgi,
        probes=probes,
        admin=admin,
        tier=tier,
        fleet=fleet,
        namespaces=_read_namespaces(root.section("namespaces"), tier, fleet),
        forecast=_read_forecast(root.section("forecast"), fleet),
        outage=_read_maintenance(root.section("outage"), fleet),
    )


def _read_uwsgi(section: Section) -> UwsgiConfig:
    section.reject_unknown_keys({"listen", "below", "body_bytes", "idle_s", "load_report"})
    defaults = UwsgiConfig()
    return UwsgiConfig(
        listen=section.address("listen"),
        below=section.address("below"),
        body_bytes=section.positive("body_bytes", defaults.body_bytes),
        idle_s=section.positive("idle_s", defaults.idle_s),
        load_report=section.get("load_report", False),
    )


def _read_admin(section: Section, folder: Path) -> AdminConfig:
    section.reject_unknown_keys({"listen", "token", "token_file"})
    token = section.get("token", "")
    if name := section.get("token_file", ""):
        try:
            token = (folder / name).read_text().strip()
        except OSError as error:
            raise unreadable_error("admin.token_file", error) from error
    return AdminConfig(require_loopback(section.address("listen"), "admin.listen"), token)


# If a section is missing, these functions return its defaults without importing the modules of the feature, whose
# dependencies may not be installed.


def _read_namespaces(section: Section, tier: TierConfig, fleet: FleetConfig) -> NamespacesConfig:
    if not section.data:
        return NamespacesConfig()
    servers = {server.name for server in tier.servers}
    return read_namespaces(section, servers, fleet.duties.enabled, fleet.duties.max_state_bytes)


def _read_forecast(section: Section, fleet: FleetConfig) -> ForecastPolicy:
    if not section.data:
        return ForecastPolicy()
    from .forecast import read_forecast

    return read_forecast(section, fleet.duties.enabled, fleet.duties.max_state_bytes)


def _read_maintenance(section: Section, fleet: FleetConfig) -> MaintenancePolicy:
    if not section.data:
        return MaintenancePolicy()
    from .maintenance import read_maintenance

    return read_maintenance(section, fleet.listen is not None)
