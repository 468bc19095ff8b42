"""Verbs on customers' routing rules."""

from __future__ import annotations

import getpass
import os
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

import click

from ..server.main import REFUSED
from . import JSON, show
from .runner import Api, api

PUBLISH_S = 15.0  # a submission is given up by the runner after eight seconds, and waited for after that


@click.group()
def namespace() -> None:
    """Customers' routing rules: each customer's decide for its own requests, and for nobody else's."""


def _lines(told: dict[str, Any]) -> list[str]:
    what = "deleted" if told["deleted"] else f"revision {told['revision']}"
    lines = [f"{told['customer']}: {what} of incarnation {told['born']}"]
    if "complete" in told:
        lines.append(
            f"  {'everywhere' if told['complete'] else 'not everywhere yet'} after {told['took_ms']:.0f} ms"
        )
        lines += [f"  lacks it  {seat}: {why}" for seat, why in sorted(told["lacking"].items())]
    return lines


def _changed(told: dict[str, Any], as_json: bool) -> None:
    show(told, as_json, "\n".join(_lines(told)))
    if told.get("complete") is False:
        raise SystemExit(REFUSED)


def _query(wait: bool, by: str | None, **more: str) -> str:
    given = (
        {"id": os.urandom(12).hex(), "by": by or getpass.getuser()} | more | ({"wait": "1"} if wait else {})
    )
    return urlencode(given)


WAIT = click.option(
    "--wait", is_flag=True, help="Until each live runner has it; exit code 3 names who has not."
)
BY = click.option("--by", help="Who publishes (default: the user's name).")
EXPECTS = click.option(
    "--expects",
    type=int,
    default=-1,
    help="The revision that it was made on top of; refused with what changed where another is there.",
)


@namespace.command("list")
@api
@JSON
def list_(api: Api, as_json: bool) -> None:
    """Print the customers, and the revision that this runner goes by."""
    got = api.ask("GET", "namespaces")
    lines = [
        f"{n['customer']:<28} "
        + (
            f"revision {n['revision']:<6} incarnation {n['born']}"
            if n["published"]
            else "deleted"
            if n["deleted"]
            else "the platform's default"
        )
        for n in got["namespaces"]
    ]
    if got["cut_off"]:
        lines.append(
            f"{got['seats_up']} of {got['seats']} runners are heard of: others may go by later revisions"
        )
    show(got, as_json, "\n".join(lines) or "no customers are set")


@namespace.command("show")
@click.argument("customer")
@click.option("--draft", is_flag=True, help="Print the draft that is current, alone.")
@api
@JSON
def show_(api: Api, customer: str, draft: bool, as_json: bool) -> None:
    """Print what a majority has as current, and the revisions that can be taken back to."""
    got = api.ask("GET", f"namespaces/{quote(customer, safe='')}")
    if draft:
        return click.echo(got["draft"] or "")
    lines = [f"{customer}: revision {got['number']} of incarnation {got['born']}; here {got['here']}"]
    for entry in got["revisions"]:
        back = f" (back to {entry['of']})" if entry["of"] else ""
        lines.append(f"  {entry['number']:<5} by {entry['by']}{back}  {'; '.join(entry['changes'] or [])}")
    return show(got, as_json, "\n".join(lines))


@namespace.command("publish")
@click.argument("customer")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@EXPECTS
@BY
@WAIT
@api
@JSON
def publish(
    api: Api, customer: str, file: Path, expects: int, by: str | None, wait: bool, as_json: bool
) -> None:
    """Publish the draft in FILE as the customer's next revision."""
    query = _query(wait, by, expects=str(expects))
    _changed(
        api.send("PUT", f"namespaces/{quote(customer, safe='')}?{query}", file.read_bytes(), PUBLISH_S),
        as_json,
    )


@namespace.command("back")
@click.argument("customer")
@click.argument("number", type=click.IntRange(1))
@BY
@WAIT
@api
@JSON
def back(api: Api, customer: str, number: int, by: str | None, wait: bool, as_json: bool) -> None:
    """Publish the draft of revision NUMBER anew, as the next revision."""
    _changed(
        api.send(
            "POST", f"namespaces/{quote(customer, safe='')}/back/{number}?{_query(wait, by)}", b"", PUBLISH_S
        ),
        as_json,
    )


@namespace.command("delete")
@click.argument("customer")
@click.confirmation_option(prompt="Its requests will go by the platform's default. Delete its rules?")
@WAIT
@api
@JSON
def delete(api: Api, customer: str, wait: bool, as_json: bool) -> None:
    """Delete a customer's rules. Made anew, they are another namespace."""
    _changed(
        api.send("DELETE", f"namespaces/{quote(customer, safe='')}?{_query(wait, None)}", b"", PUBLISH_S),
        as_json,
    )


@namespace.command("explain")
@click.argument("customer")
@click.option("--class", "klass", required=True)
@click.option("--key", default="")
@click.option("--subject", type=int, default=-1)
@click.option("--caller", type=int, default=-1)
@click.option("--rank", type=float, default=0.0)
@api
@JSON
def explain(api: Api, customer: str, as_json: bool, klass: str, **asked: Any) -> None:
    """Print which rule decides for such a request, and where its calls go."""
    query = urlencode({"class": klass} | {name: str(value) for name, value in asked.items()})
    got = api.ask("GET", f"namespaces/{quote(customer, safe='')}/explain?{query}")
    lines = [f"decides   {got['decides']}" + (f" (revision {got['revision']})" if got["revision"] else "")]
    if got.get("refused"):
        lines.append(f"refused   {got['refused']}")
    for hop in got.get("way", ()):
        where = (
            f"pool {hop['pool']}"
            if hop["pool"]
            else ", ".join(f"{s} ({w})" for s, w in hop["servers"].items())
        )
        lines.append(
            f"route     {hop['route']}: {where}; {hop['tries']} tries, limit {hop['limit'] or 'none'}"
        )
    lines += [f"also      {label} matches, less specific" for label in got.get("also_match", ())]
    show(got, as_json, "\n".join(lines))
