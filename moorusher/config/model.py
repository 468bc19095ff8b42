"""The configuration of a runner as values, section by section.

Most fields have the name of their key or section; for the others, the modules that read the sections map key to field:
`health.py`, `load_balancing.py`, `fleet.py`, `namespaces.py`, `forecast.py` and `maintenance.py`.
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
    """What the process may take; the kernel's own cores and memory are in the settings.

    `sockets`: open descriptors.
    """

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class UwsgiConfig:
    """`[uwsgi]`: the second frontend, and a uwsgi peer for downstream calls.

    `below`: the peer, in place of the database. `body_bytes`: longest body of a request. `idle_s`: how long a request
    may take to arrive. `load_report`: whether each answer carries a load report.
    """

    listen: Address | None = None
    below: Address | None = None
    body_bytes: int = 2048
    idle_s: float = 60.0
    load_report: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckConfig:
    """`[agent]`, `[health]` and `[standing]`: what load balancers poll, and what they are told.

    `agent`, `health`: addresses of HAProxy's agent check and of the HTTP health checks. `maxconn`: whether the agent
    check tells a maximum of connections. `codes`: HTTP status codes. `load_report`: whether health checks carry a load
    report. `policy`: how the health state is worked out.
    """

    agent: Address | None = None
    maxconn: bool = False
    health: Address | None = None
    codes: StatusCodes = field(default_factory=StatusCodes)
    load_report: bool = False
    policy: HealthPolicy = field(default_factory=HealthPolicy)


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """`[admin]`: the administration API. Without a token it allows no changes."""

    listen: Address | None = None
    token: str = ""


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operator's file, `deploy/fronts.toml`: everything is off where its section is missing."""

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
    """All that a runner is told, read and checked.

    `kernel`, `announce`, `db`: addresses to connect to. `console`: the operators' second address. `stop_ms`: time from
    SIGTERM to SIGKILL. `raw`: the platform's file as it was parsed, against which the next one is checked. The others
    are the sections of the operator's file.
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
