"""The command that checks the configuration."""

from __future__ import annotations

from pathlib import Path

import click

from ..config.health import health_policy_json
from ..config.loader import load
from ..config.model import Config
from ..config.section import Address, ConfigError
from .options import json_option, operator_file_option
from .output import CommandError, print_lines


def _address_text(address: Address | None) -> str:
    return "off" if address is None else f"{address[0]}:{address[1]}"


def _fleet_text(config: Config) -> str:
    fleet = config.fleet
    if fleet.listen is None:
        return "off"
    return f"{fleet.name} at {_address_text(fleet.listen)}, {len(fleet.seats)} seats"


def configuration_json(config: Config) -> dict[str, object]:
    """Return a summary of the configuration without secrets. Scripts rely on its keys."""
    probes, settings, uwsgi = config.probes, config.settings, config.uwsgi
    return {
        "name": config.name,
        "listen": _address_text(config.listen),
        "kernel": _address_text(config.kernel),
        "db": _address_text(config.db),
        "announce": _address_text(config.announce),
        "console": _address_text(config.console),
        "uwsgi": _address_text(uwsgi.listen),
        "below": f"{_address_text(uwsgi.below)} (uwsgi)",
        "agent": _address_text(probes.agent),
        "health": _address_text(probes.health),
        "admin": _address_text(config.admin.listen)
        + ("" if config.admin.token else " (no token: read only)"),
        "fleet": _fleet_text(config),
        "classes": [
            f"{request_class.name} ({request_class.effect.value})" for request_class in settings.classes
        ],
        "tenants": [tenant.name for tenant in settings.tenants],
        "limits": f"{config.limits.memory_mb:g} MB, {config.limits.sockets} descriptors",
        "standing": health_policy_json(probes.policy),
    }


def _value_text(value: object) -> object:
    if isinstance(value, dict):
        return ", ".join(f"{name} {number:g}" for name, number in value.items())
    if isinstance(value, list):
        return ", ".join(value) or "none"
    return value


@click.command("check-config")
@operator_file_option
@json_option
def check_config(fronts: Path | None, as_json: bool) -> None:
    """Read the configuration and say what it comes to, or name the faulty key."""
    try:
        config = load(operator_file=fronts)
    except ConfigError as exc:
        raise CommandError(str(exc)) from exc
    summary = configuration_json(config)
    print_lines(summary, as_json, [f"{name:<9} {_value_text(value)}" for name, value in summary.items()])
