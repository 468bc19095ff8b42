"""Verbs on the forecast of demand."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from . import JSON, show
from .runner import Api, api


@click.group()
def forecast() -> None:
    """Demand a week ahead, by customer and route, and what it needs."""


def _at(hour: int) -> str:
    return datetime.fromtimestamp(hour * 3_600, UTC).strftime("%a %d %b %H:%M")


def _lines(got: dict[str, Any]) -> list[str]:
    lines = [
        f"from {_at(got['first_hour'])} UTC, in term {got['term']}; requests of the next day at 50, 90, 99 of "
        "100, and of the week"
    ]
    for r in got["routes"]:
        name = f"{r['customer'] or '-'}/{r['route'] or '-'}" + (f"@{r['zone']}" if r["zone"] else "")
        day = "  ".join(f"{n:>9.0f}" for n in r["day"])
        lines.append(f"{name:<32} {day}  {r['week']:>10.0f}  {r['model']}")
    lines += [f"{name:<32} nothing is said: {why}" for name, why in got["untold"].items()]
    for hint in (got["hints"] or {"hints": []})["hints"]:
        where = f" in {hint['zone']}" if hint["zone"] else ""
        lines.append(f"hint      {_at(hint['since'])}  {hint['runners']} runners{where}: {hint['why']}")
    if got["hints"]:
        lines += [f"no hint   {zone or 'for all'}: {why}" for zone, why in got["hints"]["untold"].items()]
    return lines


@forecast.command("show")
@click.argument("customer", required=False)
@api
@JSON
def forecast_show(api: Api, customer: str | None, as_json: bool) -> None:
    """Print what is forecast, by whoever has the duty; of one CUSTOMER, or of all."""
    got = api.ask("GET", "forecast" + (f"/{quote(customer, safe='')}" if customer else ""))
    show(got, as_json, "\n".join(_lines(got)))


@forecast.command("load")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@api
@JSON
def forecast_load(api: Api, file: Path, as_json: bool) -> None:
    """Bring hours that were counted elsewhere, to have a past to forecast by (JSON; docs/operate/forecast.md)."""
    got = api.send("POST", "forecast", file.read_bytes(), 10.0)
    show(got, as_json, "a majority has them")
