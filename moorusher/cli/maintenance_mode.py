"""Commands for maintenance mode, in which load balancers send a runner no new requests: `moorusher maintenance`."""

from __future__ import annotations

from typing import Any

import click

from .api_client import ApiClient, with_api
from .options import json_option
from .output import print_result


@click.group()
def maintenance() -> None:
    """Take a runner out of its balancers, and put it back."""


def _print_maintenance(answer: dict[str, Any], as_json: bool) -> None:
    mode = answer["maintenance"]
    if mode is None:
        text = "no maintenance"
    else:
        remaining = "" if mode["left_ms"] is None else f", {mode['left_ms'] / 1000:.0f} s left"
        text = f"maintenance: {mode['reason']}{remaining}"
    print_result(answer, as_json, text)


@maintenance.command("show")
@with_api
@json_option
def show_maintenance(api: ApiClient, as_json: bool) -> None:
    """Print the maintenance that is set."""
    _print_maintenance(api.request("GET", "maintenance"), as_json)


@maintenance.command("set")
@click.option("--reason", default="maintenance", show_default=True, help="What balancers' logs will say.")
@click.option("--for", "for_s", type=float, help="Seconds after which it ends by itself.")
@with_api
@json_option
def set_maintenance(api: ApiClient, reason: str, for_s: float | None, as_json: bool) -> None:
    """Have balancers send nothing new; what comes all the same is served."""
    body = {"reason": reason} | ({} if for_s is None else {"for_s": for_s})
    _print_maintenance(api.request("PUT", "maintenance", body), as_json)


@maintenance.command("clear")
@with_api
@json_option
def clear_maintenance(api: ApiClient, as_json: bool) -> None:
    """Put it back; its weight climbs from the first step."""
    _print_maintenance(api.request("DELETE", "maintenance"), as_json)
