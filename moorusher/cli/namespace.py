"""Commands for customers' routing rules."""

from __future__ import annotations

import getpass
import os
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import click

from ..server.main import REFUSED
from .api_client import ApiClient, path_segment, with_api
from .options import json_option
from .output import print_lines, print_result

# More than the 8 s after which a runner gives up a submission, since with --wait the propagation follows.
PUBLISH_TIMEOUT_S = 15.0


@click.group()
def namespace() -> None:
    """Customers' routing rules: each customer's decide for its own requests, and for nobody else's."""


wait_option = click.option(
    "--wait", is_flag=True, help="Until each live runner has it; exit code 3 names who has not."
)
author_option = click.option("--by", "author", help="Who publishes (default: the user's name).")
expected_number_option = click.option(
    "--expects",
    "expected_number",
    type=int,
    default=-1,
    help="The revision that it was made on top of; refused with what changed where another is there.",
)


def _change_lines(change: dict[str, Any]) -> list[str]:
    result = "deleted" if change["deleted"] else f"revision {change['revision']}"
    lines = [f"{change['customer']}: {result} of incarnation {change['born']}"]
    if "complete" in change:
        extent = "everywhere" if change["complete"] else "not everywhere yet"
        lines.append(f"  {extent} after {change['took_ms']:.0f} ms")
        lines += [f"  lacks it  {seat}: {reason}" for seat, reason in sorted(change["lacking"].items())]
    return lines


def _submit(
    api: ApiClient, method: str, path: str, query: dict[str, str], as_json: bool, draft: bytes = b""
) -> None:
    """Send a change of a namespace, and print its result."""
    change = api.send(method, f"namespaces/{path}?{urlencode(query)}", draft, PUBLISH_TIMEOUT_S)
    print_lines(change, as_json, _change_lines(change))
    if change.get("complete") is False:
        raise SystemExit(REFUSED)


def _submission_query(wait: bool, author: str | None, **parameters: str) -> dict[str, str]:
    query = {"id": os.urandom(12).hex(), "by": author or getpass.getuser()} | parameters
    return query | ({"wait": "1"} if wait else {})


def _current_text(entry: dict[str, Any]) -> str:
    if entry["published"]:
        return f"revision {entry['revision']:<6} incarnation {entry['born']}"
    return "deleted" if entry["deleted"] else "the platform's default"


@namespace.command("list")
@with_api
@json_option
def list_namespaces(api: ApiClient, as_json: bool) -> None:
    """Print the customers, and the revision that this runner goes by."""
    answer = api.request("GET", "namespaces")
    lines = [f"{entry['customer']:<28} {_current_text(entry)}" for entry in answer["namespaces"]]
    if answer["cut_off"]:
        lines.append(
            f"{answer['seats_up']} of {answer['seats']} runners are heard of: others may go by later revisions"
        )
    print_result(answer, as_json, "\n".join(lines) or "no customers are set")


def _revision_line(revision: dict[str, Any]) -> str:
    restored = f" (back to {revision['of']})" if revision["of"] else ""
    changes = "; ".join(revision["changes"] or [])
    return f"  {revision['number']:<5} by {revision['by']}{restored}  {changes}"


@namespace.command("show")
@click.argument("customer")
@click.option("--draft", is_flag=True, help="Print the draft that is current, alone.")
@with_api
@json_option
def show_namespace(api: ApiClient, customer: str, draft: bool, as_json: bool) -> None:
    """Print what a majority has as current, and the revisions that can be taken back to."""
    answer = api.request("GET", f"namespaces/{path_segment(customer)}")
    if draft:
        click.echo(answer["draft"] or "")
        return
    current = (
        f"{customer}: revision {answer['number']} of incarnation {answer['born']}; here {answer['here']}"
    )
    print_lines(answer, as_json, [current, *(_revision_line(revision) for revision in answer["revisions"])])


@namespace.command("publish")
@click.argument("customer")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@expected_number_option
@author_option
@wait_option
@with_api
@json_option
def publish_draft(
    api: ApiClient,
    customer: str,
    file: Path,
    expected_number: int,
    author: str | None,
    wait: bool,
    as_json: bool,
) -> None:
    """Publish the draft in FILE as the customer's next revision."""
    query = _submission_query(wait, author, expects=str(expected_number))
    _submit(api, "PUT", path_segment(customer), query, as_json, file.read_bytes())


@namespace.command("back")
@click.argument("customer")
@click.argument("number", type=click.IntRange(1))
@author_option
@wait_option
@with_api
@json_option
def roll_back(
    api: ApiClient, customer: str, number: int, author: str | None, wait: bool, as_json: bool
) -> None:
    """Publish the draft of revision NUMBER anew, as the next revision."""
    path = f"{path_segment(customer)}/back/{number}"
    _submit(api, "POST", path, _submission_query(wait, author), as_json)


@namespace.command("delete")
@click.argument("customer")
@click.confirmation_option(prompt="Its requests will go by the platform's default. Delete its rules?")
@wait_option
@with_api
@json_option
def delete_namespace(api: ApiClient, customer: str, wait: bool, as_json: bool) -> None:
    """Delete a customer's rules. Made anew, they are another namespace."""
    _submit(api, "DELETE", path_segment(customer), _submission_query(wait, None), as_json)


def _hop_line(hop: dict[str, Any]) -> str:
    if hop["pool"]:
        servers = f"pool {hop['pool']}"
    else:
        servers = ", ".join(f"{server} ({weight})" for server, weight in hop["servers"].items())
    return f"route     {hop['route']}: {servers}; {hop['tries']} tries, limit {hop['limit'] or 'none'}"


def _explanation_lines(explanation: dict[str, Any]) -> list[str]:
    revision = f" (revision {explanation['revision']})" if explanation["revision"] else ""
    lines = [f"decides   {explanation['decides']}{revision}"]
    if explanation.get("refused"):
        lines.append(f"refused   {explanation['refused']}")
    lines += [_hop_line(hop) for hop in explanation.get("way", ())]
    lines += [f"also      {label} matches, less specific" for label in explanation.get("also_match", ())]
    return lines


@namespace.command("explain")
@click.argument("customer")
@click.option("--class", "class_name", required=True)
@click.option("--key", default="")
@click.option("--subject", type=int, default=-1)
@click.option("--caller", type=int, default=-1)
@click.option("--rank", type=float, default=0.0)
@with_api
@json_option
def explain_decision(
    api: ApiClient, customer: str, as_json: bool, class_name: str, **attributes: object
) -> None:
    """Print which rule decides for such a request, and where its calls go."""
    query = urlencode({"class": class_name} | {name: str(value) for name, value in attributes.items()})
    explanation = api.request("GET", f"namespaces/{path_segment(customer)}/explain?{query}")
    print_lines(explanation, as_json, _explanation_lines(explanation))
