"""The operator's file: what listens beside the platform's frontend, and which parts are on."""

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
from .section import ConfigError, Section, loopback, unreadable

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
    """Read and check the file; everything is off where it is missing.

    :raises ConfigUnreadableError: it can't be read at this moment.
    :raises ConfigError: it is not valid TOML, or a key is unknown or its value can't be used.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return OperatorConfig()
    except OSError as error:
        raise unreadable(path.name, error) from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}") from error
    root = Section(raw, "")
    root.unknown(SECTIONS)
    uwsgi = _uwsgi(root.section("uwsgi"))
    admin = _admin(root.section("admin"), path.parent)
    probes = read_health_checks(root.section("agent"), root.section("health"), root.section("standing"))
    fleet = read_fleet(root.section("fleet"), root.section("duties"))
    tier = read_tier(root.section("tier"), path.parent, max(1, len(fleet.seats)))
    return OperatorConfig(
        uwsgi=uwsgi,
        probes=probes,
        admin=admin,
        tier=tier,
        fleet=fleet,
        namespaces=_namespaces(root.section("namespaces"), tier, fleet),
        forecast=_forecast(root.section("forecast"), fleet),
        outage=_outage(root.section("outage"), fleet),
    )


def _uwsgi(section: Section) -> UwsgiConfig:
    section.unknown({"listen", "below", "body_bytes", "idle_s", "load_report"})
    defaults = UwsgiConfig()
    return UwsgiConfig(
        listen=section.address("listen"),
        below=section.address("below"),
        body_bytes=section.positive("body_bytes", defaults.body_bytes),
        idle_s=section.positive("idle_s", defaults.idle_s),
        load_report=section.get("load_report", False),
    )


def _admin(section: Section, folder: Path) -> AdminConfig:
    section.unknown({"listen", "token", "token_file"})
    token = section.get("token", "")
    if name := section.get("token_file", ""):
        try:
            token = (folder / name).read_text().strip()
        except OSError as error:
            raise unreadable("admin.token_file", error) from error
    return AdminConfig(loopback(section.address("listen"), "admin.listen"), token)


# Sections that are missing read nothing: what their parts need may not be installed.


def _namespaces(section: Section, tier: TierConfig, fleet: FleetConfig) -> NamespacesConfig:
    if not section.data:
        return NamespacesConfig()
    servers = {server.name for server in tier.servers}
    return read_namespaces(section, servers, fleet.duties.enabled, fleet.duties.max_state_bytes)


def _forecast(section: Section, fleet: FleetConfig) -> ForecastPolicy:
    if not section.data:
        return ForecastPolicy()
    from .forecast import read_forecast

    return read_forecast(section, fleet.duties.enabled, fleet.duties.max_state_bytes)


def _outage(section: Section, fleet: FleetConfig) -> MaintenancePolicy:
    if not section.data:
        return MaintenancePolicy()
    from .maintenance import read_outage

    return read_outage(section, fleet.listen is not None)
