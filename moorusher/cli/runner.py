"""Commands for one runner: its counters, its health state, and draining."""

from __future__ import annotations

from typing import Any

import click

from ..server.main import NOT_ROUTABLE
from .api_client import ApiClient, with_api
from .options import json_option
from .output import print_lines, print_result


@click.command()
@click.argument("what", type=click.Choice(["status", "counters", "tenants"]), default="status")
@with_api
@json_option
def stats(api: ApiClient, what: str, as_json: bool) -> None:
    """Print what a runner counts."""
    counts = api.request("GET", what)
    print_lines(counts, as_json, [f"{name:<40} {value}" for name, value in sorted(counts.items())])


def _health_lines(report: dict[str, Any]) -> list[str]:
    load, gauge, balancers = report["crowd"], report["gauge"], report["balancers"]
    gauge_age = "never told" if gauge is None else f"{gauge['age_ms'] / 1000:.1f} s old"
    return [
        f"{report['standing']} {report['weight']}%: {report['reason']}",
        f"  for      {report['since_ms'] / 1000:.1f} s",
        f"  crowd    {load['mean_per_core']:.2f} a core, {load['forecast_per_core']:.2f} ahead of "
        f"{load['horizon_ms'] / 1000:.1f} s, survives {load['survives_per_core']:.2f}",
        f"  held     {report['held']}, the oldest {report['oldest_held_ms'] / 1000:.2f} s; "
        f"{report['at_calls']} at calls",
        f"  gauges   {gauge_age}; kernel link lost {report['link']['losses_in_30_s']} times in 30 s",
        f"  probes   from {balancers['known']}, the slowest each {balancers['slowest_ms'] / 1000:.1f} s",
        *(f"  unknown  {name}" for name in report["unknown"]),
    ]


@click.command()
@click.option("--check", is_flag=True, help=f"Exit with {NOT_ROUTABLE} where no new requests should be sent.")
@with_api
@json_option
def standing(api: ApiClient, check: bool, as_json: bool) -> None:
    """Print what a runner tells balancers, and why."""
    report = api.request("GET", "standing")
    print_lines(report, as_json, _health_lines(report))
    if check and not report["routable"]:
        raise SystemExit(NOT_ROUTABLE)


@click.command()
@with_api
@json_option
def drain(api: ApiClient, as_json: bool) -> None:
    """Have a runner leave, as SIGTERM does. Not taken back."""
    print_result(api.request("POST", "drain"), as_json, "leaving")
