"""Commands for the upstream servers of a runner, and for the state that it has learned about them."""

from __future__ import annotations

from typing import Any

import click

from .api_client import ApiClient, with_api
from .options import json_option
from .output import print_lines


@click.group()
def servers() -> None:
    """The tier of servers below."""


def _print_servers(answer: dict[str, Any], as_json: bool) -> None:
    header = (
        f"{'server':<16} {'state':<9} {'flight/limit':>12} {'calls':>8} {'answered':>8} {'short ms':>9}  why"
    )
    rows = [
        f"{server['name']:<16} {server['state']:<9} {server['in_flight']:>5}/{server['limit']:<6} "
        f"{server['calls']:>8} {server['answered_share']:>8.0%} {server['short_ms']:>9.1f}  {server['why'] or ''}"
        for server in answer["servers"]
    ]
    print_lines(answer, as_json, [header, *rows])


@servers.command("list")
@with_api
@json_option
def list_servers(api: ApiClient, as_json: bool) -> None:
    """Print each server and what is known of it."""
    _print_servers(api.request("GET", "servers"), as_json)


@servers.command("put")
@click.argument("name")
@click.argument("server_address")
@click.option("--weight", default=1.0, show_default=True)
@click.option("--zone", default="")
@click.option("--protocol", type=click.Choice(["http", "uwsgi"]), default="http", show_default=True)
@with_api
@json_option
def put_server(
    api: ApiClient, name: str, server_address: str, weight: float, zone: str, protocol: str, as_json: bool
) -> None:
    """Add a server, or change the one that has the name. Until the next configuration is read."""
    body = {"address": server_address, "weight": weight, "zone": zone, "protocol": protocol}
    _print_servers(api.request("PUT", f"servers/{name}", body), as_json)


@servers.command("drain")
@click.argument("name")
@with_api
@json_option
def drain_server(api: ApiClient, name: str, as_json: bool) -> None:
    """Send a server no new calls."""
    _print_servers(api.request("POST", f"servers/{name}/drain"), as_json)


@servers.command("remove")
@click.argument("name")
@with_api
@json_option
def remove_server(api: ApiClient, name: str, as_json: bool) -> None:
    """Take a server out at once, with what is under way there."""
    _print_servers(api.request("DELETE", f"servers/{name}"), as_json)


@click.group()
def knowledge() -> None:
    """What a runner has learnt of the servers below."""


def _learned_line(server: dict[str, Any]) -> str:
    ejected_mark = "  out" if server.get("out") else ""
    return (
        f"{server['name']:<16} {server.get('short_us', 0) / 1000:>9.1f} ms  {server.get('samples', 0):>6} samples  "
        f"{server.get('answered', 1):>5.0%} answered{ejected_mark}"
    )


@knowledge.command("show")
@with_api
@json_option
def show_knowledge(api: ApiClient, as_json: bool) -> None:
    """Print it, as it would be handed on."""
    learned = api.request("GET", "knowledge")
    donor = f"{learned['donor']}, {learned.get('condition', 'well')}, in service for {learned.get('up_s', 0):.0f} s"
    rows = [_learned_line(server) for server in learned.get("servers", [])]
    print_lines(learned, as_json, [donor, *rows])
