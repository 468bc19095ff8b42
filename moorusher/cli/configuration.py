"""Verbs on the configuration."""

from __future__ import annotations

from pathlib import Path

import click

from ..config.health import health_policy_json
from ..config.loader import load
from ..config.model import Config
from ..config.section import Address, ConfigError
from . import FRONTS, JSON, Shown, show


def _at(address: Address | None) -> str:
    return "off" if address is None else f"{address[0]}:{address[1]}"


def told(config: Config) -> dict[str, object]:
    """What the configuration comes to, without secrets."""
    s, u, p = config.settings, config.uwsgi, config.probes
    return {
        "name": config.name,
        "listen": _at(config.listen),
        "kernel": _at(config.kernel),
        "db": _at(config.db),
        "announce": _at(config.announce),
        "console": _at(config.console),
        "uwsgi": _at(u.listen),
        "below": f"{_at(u.below)} (uwsgi)",
        "agent": _at(p.agent),
        "health": _at(p.health),
        "admin": f"{_at(config.admin.listen)}{'' if config.admin.token else ' (no token: read only)'}",
        "fleet": "off"
        if config.fleet.listen is None
        else f"{config.fleet.name} at {_at(config.fleet.listen)}, {len(config.fleet.seats)} seats",
        "classes": [f"{c.name} ({c.effect.value})" for c in s.classes],
        "tenants": [t.name for t in s.tenants],
        "limits": f"{config.limits.memory_mb:g} MB, {config.limits.sockets} descriptors",
        "standing": health_policy_json(p.policy),
    }


@click.command("check-config")
@FRONTS
@JSON
def check_config(fronts: Path | None, as_json: bool) -> None:
    """Read the configuration and say what it comes to, or name the faulty key."""
    try:
        config = load(operator_file=fronts)
    except ConfigError as exc:
        raise Shown(str(exc)) from exc
    parts = told(config)
    lines = []
    for name, value in parts.items():
        if isinstance(value, dict):
            value = ", ".join(f"{k} {v:g}" for k, v in value.items())
        elif isinstance(value, list):
            value = ", ".join(value) or "none"
        lines.append(f"{name:<9} {value}")
    show(parts, as_json, "\n".join(lines))


COMMANDS = (check_config,)
