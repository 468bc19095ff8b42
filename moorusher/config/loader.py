"""The one place where configuration is read, checked and given defaults.

GW_CONFIG names a JSON file with everything; GW_NAME and GW_LISTEN stand in where it lacks them or is absent.
`deploy/fronts.toml` says what listens besides the platform's front. Every message names the faulty key.
"""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from moorusher.scheduling import interface as api

from ..forecasting.policy import Policy as ForecastPolicy
from ..health.formatting import Codes
from ..health.policy import Policy
from ..maintenance.policy import Policy as OutagePolicy
from .fleet import FleetConfig, read_fleet
from .load_balancing import TierConfig, read_tier
from .namespaces import NamespacesConfig, read_namespaces
from .scheduler_settings import parse_settings
from .section import Address, ConfigError, Section, loopback, parse_address, unreadable

FRONTS_FILE = Path(__file__).resolve().parents[2] / "deploy" / "fronts.toml"


@dataclass(frozen=True, slots=True)
class Limits:
    """What this process may take; the kernel's own cores and memory are in the settings."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


@dataclass(frozen=True, slots=True)
class UwsgiConfig:
    """`[uwsgi]`: the second front, and a uwsgi peer below."""

    listen: Address | None = None
    below: Address | None = None  # a uwsgi peer for calls, in place of the database
    body_bytes: int = 2048
    idle_s: float = 60.0
    load_report: bool = False  # on each answer


@dataclass(frozen=True, slots=True)
class ProbeConfig:
    """What balancers ask, and what they are told."""

    agent: Address | None = None
    maxconn: bool = False
    health: Address | None = None
    codes: Codes = field(default_factory=Codes)
    load_report: bool = False  # on the answers of /health
    policy: Policy = field(default_factory=Policy)


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """`[admin]`: the administration API."""

    listen: Address | None = None
    token: str = ""


@dataclass(frozen=True, slots=True)
class Config:
    """All that a runner is told, read and checked."""

    name: str
    listen: Address
    kernel: Address
    announce: Address | None
    db: Address | None
    stop_ms: float
    limits: Limits
    settings: api.Settings
    uwsgi: UwsgiConfig = field(default_factory=UwsgiConfig)
    admin: AdminConfig = field(default_factory=AdminConfig)
    probes: ProbeConfig = field(default_factory=ProbeConfig)
    tier: TierConfig = field(default_factory=TierConfig)
    console: Address | None = None  # the operators' second address
    fleet: FleetConfig = field(default_factory=FleetConfig)
    namespaces: NamespacesConfig = field(default_factory=NamespacesConfig)
    forecast: ForecastPolicy = field(default_factory=ForecastPolicy)
    outage: OutagePolicy = field(default_factory=OutagePolicy)
    raw: Any = None  # the file as it was read, for the next one to be held against


# Bounds of `[standing]`: what each figure may be without a report that can't do what it is for.
POLICY_BOUNDS: dict[str, tuple[float, float]] = {
    "probe_ms": (10, 10_000),
    "reaction_ms": (0, 10_000),
    "tip_per_core": (0, 1_000),
    "crowded_at": (0.1, 0.79),
    "full_at": (0.81, 1),
    "calm_at": (0.05, 1),
    "crowded_weight": (1, 100),
    "hold_share": (0.01, 10),
    "refused_share": (0.01, 1),
    "climb_s": (0, 600),
    "gauge_fresh_ms": (50, 60_000),
    "gauge_unknown_ms": (100, 600_000),
    "link_trust_ms": (500, 60_000),
    "settle_ms": (0, 60_000),
}


def _policy(section: Section) -> Policy:
    section.unknown(set(POLICY_BOUNDS))
    d = Policy()
    made = Policy(
        **{name: section.between(name, getattr(d, name), *bounds) for name, bounds in POLICY_BOUNDS.items()}
    )
    for lower, upper in (("calm_at", "crowded_at"), ("gauge_fresh_ms", "gauge_unknown_ms")):
        if not getattr(made, lower) < getattr(made, upper):
            raise ConfigError(f"{section.key(lower)}: expected less than {upper}, {getattr(made, upper):g}")
    return made


def _codes(section: Section) -> Codes:
    d = Codes()
    return Codes(
        *(
            section.between(f"{name}_status", getattr(d, name), 200, 599)
            for name in ("crowded", "full", "draining", "maintenance")
        )
    )


Fronts = tuple[
    UwsgiConfig,
    ProbeConfig,
    AdminConfig,
    TierConfig,
    FleetConfig,
    NamespacesConfig,
    ForecastPolicy,
    OutagePolicy,
]


def _forecast(section: Section, fleet: FleetConfig) -> ForecastPolicy:
    if not section.data:
        return ForecastPolicy()
    from .forecast import read_forecast

    return read_forecast(section, fleet.duties.on, fleet.duties.state_bytes)


def _outage(section: Section, fleet: FleetConfig) -> OutagePolicy:
    if not section.data:
        return OutagePolicy()
    from .maintenance import read_outage

    return read_outage(section, fleet.listen is not None)


def read_fronts(path: Path) -> Fronts:
    """The second front and what goes with it: all off where the file or its keys are missing."""
    try:
        raw = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return (
            UwsgiConfig(),
            ProbeConfig(),
            AdminConfig(),
            TierConfig(),
            FleetConfig(),
            NamespacesConfig(),
            ForecastPolicy(),
            OutagePolicy(),
        )
    except OSError as exc:
        raise unreadable(path.name, exc) from exc
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise ConfigError(f"{path.name}: {exc}") from exc
    root = Section(raw, "")
    root.unknown(
        {
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
    )
    uwsgi, health, agent, admin = (root.section(n) for n in ("uwsgi", "health", "agent", "admin"))
    uwsgi.unknown({"listen", "below", "body_bytes", "idle_s", "load_report"})
    admin.unknown({"listen", "token", "token_file"})
    health.unknown(
        {"listen", "load_report", "crowded_status", "full_status", "draining_status", "maintenance_status"}
    )
    agent.unknown({"listen", "maxconn"})
    token = admin.get("token", "")
    if name := admin.get("token_file", ""):
        try:
            token = (path.parent / name).read_text().strip()
        except OSError as exc:
            raise unreadable("admin.token_file", exc) from exc
    d = UwsgiConfig()
    fleet = read_fleet(root.section("fleet"), root.section("duties"))
    tier = read_tier(root.section("tier"), path.parent, max(1, len(fleet.seats)))
    return (
        UwsgiConfig(
            uwsgi.address("listen"),
            uwsgi.address("below"),
            uwsgi.positive("body_bytes", d.body_bytes),
            uwsgi.positive("idle_s", d.idle_s),
            uwsgi.get("load_report", False),
        ),
        ProbeConfig(
            agent.address("listen"),
            agent.get("maxconn", False),
            health.address("listen"),
            _codes(health),
            health.get("load_report", False),
            _policy(root.section("standing")),
        ),
        AdminConfig(loopback(admin.address("listen"), "admin.listen"), token),
        tier,
        fleet,
        read_namespaces(
            root.section("namespaces"),
            {s.name for s in tier.servers},
            fleet.duties.on,
            fleet.duties.state_bytes,
        )
        if root.section("namespaces").data
        else NamespacesConfig(),
        _forecast(root.section("forecast"), fleet),
        _outage(root.section("outage"), fleet),
    )


# Keys that the platform's page allows to be absent.
MAY_BE_ABSENT = {"aimStretch", "passesDeadline", "fleet"}


def lacking(old: Any, new: Any, path: str = "") -> str | None:
    """The first key that the running file has and the new one has not: a file that lost a part on its way must not
    run with defaults in its place. In a list of objects each must have the keys that all of the running ones have."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name, value in old.items():
            here = f"{path}.{name}" if path else name
            if name not in new:
                if name not in MAY_BE_ABSENT:
                    return here
            elif (found := lacking(value, new[name], here)) is not None:
                return found
    elif isinstance(old, list) and isinstance(new, list) and old and all(isinstance(x, dict) for x in old):
        common = [name for name in old[0] if all(name in x for x in old)]
        for i, item in enumerate(new):
            if isinstance(item, dict) and (
                lost := [n for n in common if n not in item and n not in MAY_BE_ABSENT]
            ):
                return f"{path}[{i}].{lost[0]}"
    return None


def load(env: Mapping[str, str] = os.environ, fronts: Path | None = None, running: Any = None) -> Config:
    """Read the file that `GW_CONFIG` names, and the operator's own. Raises ConfigError."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set; it names the JSON file of the configuration")
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        raise unreadable("GW_CONFIG", exc) from exc
    return read(text, env, read_fronts(fronts or FRONTS_FILE), running)


def read(text: bytes, env: Mapping[str, str], fronts: Fronts, running: Any = None) -> Config:
    """`running`: the file that the runner has in service, where it has one; the new one must have all of its keys."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise ConfigError(f"GW_CONFIG: {env.get('GW_CONFIG')} is not valid JSON: {exc}") from exc
    root = Section(raw, "")
    if running is not None and (lost := lacking(running, raw)) is not None:
        raise ConfigError(f"{lost}: missing, and the running configuration has it")
    name = root.get("name", "") or env.get("GW_NAME", "")
    if not name or not all(c.isalnum() or c in "-_." for c in name):
        raise ConfigError(f"name: expected letters, digits, '-', '_' and '.', got {name!r} (or set GW_NAME)")
    listen_text = env.get("GW_LISTEN") or root.get("listen", "")
    listen = parse_address(listen_text, "listen") if listen_text else None
    if listen is None:
        raise ConfigError("listen: required, as HOST:PORT (or set GW_LISTEN)")
    kernel = root.address("kernel")
    if kernel is None:
        raise ConfigError("kernel: required, as HOST:PORT")
    console_text = env.get("GW_CONSOLE")
    console = parse_address(console_text, "GW_CONSOLE") if console_text else root.address("console")
    if console is not None and console == listen:
        raise ConfigError(f"console: the same address as listen, {listen_text}")
    limits, d = root.section("limits"), Limits()
    seed_text = root.get("seed", "0")
    try:
        seed = int(seed_text, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hexadecimal digits, got {seed_text!r}") from None
    try:
        settings = parse_settings(json.dumps(root.section("settings").data).encode(), seed)
    except (ValueError, OverflowError) as exc:  # the text names the setting
        raise ConfigError(f"settings: {exc}") from exc
    for listed, names in (
        ("classes", [c.name for c in settings.classes]),
        ("realms", [t.name for t in settings.tenants]),
    ):
        for i, one in enumerate(names):
            if not one or one in names[:i]:
                raise ConfigError(f"settings.{listed}[{i}].name: expected one that no other has, got {one!r}")
    uwsgi, probes, admin, tier, fleet, namespaces, forecast, outage = fronts
    if fleet.listen is not None and all(seat.name != name for seat in fleet.seats):
        raise ConfigError(f"fleet.seat: none has this runner's name, {name}")
    return Config(
        name,
        listen,
        kernel,
        root.address("announce"),
        root.address("db"),
        root.positive("stop_ms", 3000.0),
        Limits(
            limits.positive("cores", d.cores),
            limits.positive("memory_mb", d.memory_mb),
            limits.positive("sockets", d.sockets),
        ),
        settings,
        uwsgi,
        admin,
        probes,
        tier,
        console,
        fleet,
        namespaces,
        forecast,
        outage,
        raw,
    )
