"""Commands for the demand forecast."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from .api_client import ApiClient, path_segment, with_api
from .options import json_option
from .output import print_lines, print_result

HOUR_S = 3_600
LOAD_TIMEOUT_S = 10.0


@click.group()
def forecast() -> None:
    """Demand a week ahead, by customer and route, and what it needs."""


def _time_text(unix_hour: int) -> str:
    return datetime.fromtimestamp(unix_hour * HOUR_S, UTC).strftime("%a %d %b %H:%M")


def _route_line(route: dict[str, Any]) -> str:
    zone = f"@{route['zone']}" if route["zone"] else ""
    name = f"{route['customer'] or '-'}/{route['route'] or '-'}{zone}"
    day = "  ".join(f"{quantile:>9.0f}" for quantile in route["day"])
    return f"{name:<32} {day}  {route['week']:>10.0f}  {route['model']}"


def _hint_lines(hints: dict[str, Any]) -> list[str]:
    lines = []
    for hint in hints["hints"]:
        zone = f" in {hint['zone']}" if hint["zone"] else ""
        lines.append(f"hint      {_time_text(hint['since'])}  {hint['runners']} runners{zone}: {hint['why']}")
    lines += [f"no hint   {zone or 'for all'}: {reason}" for zone, reason in hints["untold"].items()]
    return lines


def _forecast_lines(answer: dict[str, Any]) -> list[str]:
    return [
        f"from {_time_text(answer['first_hour'])} UTC, in term {answer['term']}; requests of the next day at "
        "50, 90, 99 of 100, and of the week",
        *(_route_line(route) for route in answer["routes"]),
        *(f"{name:<32} nothing is said: {reason}" for name, reason in answer["untold"].items()),
        *(_hint_lines(answer["hints"]) if answer["hints"] else ()),
    ]


@forecast.command("show")
@click.argument("customer", required=False)
@with_api
@json_option
def show_forecast(api: ApiClient, customer: str | None, as_json: bool) -> None:
    """Print what is forecast, by whoever has the duty; of one CUSTOMER, or of all."""
    answer = api.request("GET", f"forecast/{path_segment(customer)}" if customer else "forecast")
    print_lines(answer, as_json, _forecast_lines(answer))


@forecast.command("load")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@with_api
@json_option
def load_history(api: ApiClient, file: Path, as_json: bool) -> None:
    """Bring hours that were counted elsewhere, to have a past to forecast by (JSON; docs/operate/forecast.md)."""
    answer = api.send("POST", "forecast", file.read_bytes(), LOAD_TIMEOUT_S)
    print_result(answer, as_json, "a majority has them")
