"""Data classes of a runner's configuration, one for each section.

Most fields have the name of their key or section. For the others, the modules that read the sections map keys to
fields: `health.py`, `load_balancing.py`, `fleet.py`, `namespaces.py`, `forecast.py` and `maintenance.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from moorusher.scheduling.interface import Settings

from ..forecasting.policy import ForecastPolicy
from ..health.formatting import StatusCodes
from ..health.policy import HealthPolicy
from ..maintenance.policy import MaintenancePolicy
from .fleet import FleetConfig
from .load_balancing import TierConfig
from .namespaces import NamespacesConfig
from .section import Address


@dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits of this process. The kernel's cores and memory are in the scheduler settings.

    Attributes:
        sockets: Maximum number of open file descriptors.
    """

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class UwsgiConfig:
    """Section `[uwsgi]`: the second frontend, and a uwsgi peer for downstream calls.

    Attributes:
        below: Address of the peer, which gets the downstream calls in place of the database.
        body_bytes: Maximum size of a request's body.
        idle_s: Maximum time for a request to arrive.
        load_report: Whether each answer has a load report.
    """

    listen: Address | None = None
    below: Address | None = None
    body_bytes: int = 2048
    idle_s: float = 60.0
    load_report: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckConfig:
    """Sections `[agent]`, `[health]` and `[standing]`: health checks for load balancers.

    Attributes:
        agent: Address of HAProxy's agent check.
        maxconn: Whether the agent check reports a maximum number of connections.
        health: Address of the HTTP health checks.
        codes: HTTP status codes of the health checks.
        load_report: Whether health checks have a load report.
        policy: Settings of the health state.
    """

    agent: Address | None = None
    maxconn: bool = False
    health: Address | None = None
    codes: StatusCodes = field(default_factory=StatusCodes)
    load_report: bool = False
    policy: HealthPolicy = field(default_factory=HealthPolicy)


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """Section `[admin]`: the administration API. Without a token it allows no changes."""

    listen: Address | None = None
    token: str = ""


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operator's file, `deploy/fronts.toml`: a feature is disabled if its section is missing."""

    uwsgi: UwsgiConfig = field(default_factory=UwsgiConfig)
    probes: HealthCheckConfig = field(default_factory=HealthCheckConfig)
    admin: AdminConfig = field(default_factory=AdminConfig)
    tier: TierConfig = field(default_factory=TierConfig)
    fleet: FleetConfig = field(default_factory=FleetConfig)
    namespaces: NamespacesConfig = field(default_factory=NamespacesConfig)
    forecast: ForecastPolicy = field(default_factory=ForecastPolicy)
    outage: MaintenancePolicy = field(default_factory=MaintenancePolicy)


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of a runner, validated.

    Attributes:
        listen: Address of the platform's frontend.
        kernel, announce, db: Addresses to connect to.
        stop_ms: Time from SIGTERM to SIGKILL.
        settings: Settings of the scheduler.
        console: Listening address of the operators' console.
        raw: The parsed platform file, whose keys the next file must have.
        uwsgi, admin, ...: Sections of the operator's file.
    """

    name: str
    listen: Address
    kernel: Address
    announce: Address | None
    db: Address | None
    stop_ms: float
    limits: Limits
    settings: Settings
    uwsgi: UwsgiConfig = field(default_factory=UwsgiConfig)
    admin: AdminConfig = field(default_factory=AdminConfig)
    probes: HealthCheckConfig = field(default_factory=HealthCheckConfig)
    tier: TierConfig = field(default_factory=TierConfig)
    console: Address | None = None
    fleet: FleetConfig = field(default_factory=FleetConfig)
    namespaces: NamespacesConfig = field(default_factory=NamespacesConfig)
    forecast: ForecastPolicy = field(default_factory=ForecastPolicy)
    outage: MaintenancePolicy = field(default_factory=MaintenancePolicy)
    raw: Any = None
