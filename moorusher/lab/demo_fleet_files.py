"""Sections of a runner's settings file in the fleet of `moorusher lab up --runners N`."""

from __future__ import annotations

from pathlib import Path

from .ports import HOST

TENANTS = ("north", "south")
SHARED_POOL = "shared"
ZONES = 3


def backends_toml(servers: dict[str, int], receiver_port: int) -> str:
    """Return the sections on the tier, namespaces and forecast.

    Each tenant has its own server, both tenants share a pool with one server, and one server receives the requests to
    which no rules apply.

    :param servers: ports of the backends, by name.
    :param receiver_port: port of the receiver of hints.
    """
    tier = "".join(
        f'[[tier.server]]\nname = "{name}"\naddress = "{HOST}:{port}"\n' for name, port in servers.items()
    )
    customers = "".join(
        f'[[namespaces.customer]]\nname = "{name}"\nservers = ["{name}"]\npools = {{ {SHARED_POOL} = 0.5 }}\n'
        for name in TENANTS
    )
    return (
        f"{tier}[namespaces]\non = true\n{customers}"
        f'[[namespaces.pool]]\nname = "{SHARED_POOL}"\nservers = ["{SHARED_POOL}"]\n'
        f'[forecast]\non = true\nreport_ms = 2000\nroutes = 40\n[forecast.scaling]\nto = "{HOST}:{receiver_port}"\n'
    )


def fleet_toml(name: str, ports: dict[str, int], receiver_port: int, machine_id: Path) -> str:
    """Return the sections on the fleet, its duty and its maintenance.

    :param name: name of the runner.
    :param ports: ports of all runners' fleet listeners, by runner.
    :param receiver_port: port of the receiver of the duty's reports.
    :param machine_id: file that contains the machine's id.
    """
    seats = "".join(
        f'[[fleet.seat]]\nname = "{seat}"\naddress = "{HOST}:{port}"\nzone = "z{index % ZONES}"\n'
        for index, (seat, port) in enumerate(ports.items())
    )
    return (
        f'[fleet]\nlisten = "{HOST}:{ports[name]}"\nname = "demo"\n{seats}[duties]\non = true\n'
        f'[[duties.report]]\nname = "alive"\nto = "{HOST}:{receiver_port}"\nevery_ms = 500\n'
        f'[outage]\non = true\nsettle_s = 1\npeak_s = 10\nfill = 1.0\nmachine_id = "{machine_id}"\n'
    )
