"""Commands for the cluster of runners."""

from __future__ import annotations

from typing import Any

import click

from .api_client import ApiClient, with_api
from .options import json_option
from .output import print_lines, print_result


@click.group()
def fleet() -> None:
    """The runners that keep each other's work."""


def _member_line(member: dict[str, Any]) -> str:
    fit = "yes" if member["fit"] else "no"
    last_message_s = "-" if member["heard_ms"] is None else f"{member['heard_ms'] / 1000:.1f}"
    return (
        f"{member['seat']:<16} {member['zone']:<8} {member['state']:<8} {fit:<4} "
        f"{member['since_ms'] / 1000:>8.1f} {last_message_s:>8}"
    )


def _fleet_lines(cluster: dict[str, Any]) -> list[str]:
    recovery_text = "remembers" if cluster["remembers"] else "has forgotten, and has no vote yet"
    return [
        f"fleet {cluster['name']}, seat {cluster['seat']}: {recovery_text}; keeps {cluster['keeps']} keys, "
        f"{cluster['in_hand']} in hand",
        f"{'seat':<16} {'zone':<8} {'state':<8} {'fit':<4} {'for s':>8} {'heard s':>8}",
        *(_member_line(member) for member in cluster["members"]),
        *(
            f"{name.removeprefix('fleet: '):<40} {value}"
            for name, value in sorted(cluster["counters"].items())
        ),
    ]


@fleet.command("show")
@with_api
@json_option
def show_fleet(api: ApiClient, as_json: bool) -> None:
    """Print the members as this runner sees them, and what became of keyed work."""
    cluster = api.request("GET", "fleet")
    print_lines(cluster, as_json, _fleet_lines(cluster))


def _work_line(work: dict[str, Any]) -> str:
    return (
        f"{work['key']:<12} {work['class'] or '-':<12} {work['stage']:<30} {work['owner'] or 'here':<12} "
        f"{work['attempt']:>3} {work['left_ms'] / 1000:>7.1f}"
    )


@fleet.command("work")
@with_api
@json_option
def show_work(api: ApiClient, as_json: bool) -> None:
    """Print the keyed work that this runner has in hand, or waits for."""
    answer = api.request("GET", "fleet/work")
    header = f"{'key':<12} {'class':<12} {'stage':<30} {'owner':<12} {'try':>3} {'left s':>7}"
    print_lines(answer, as_json, [header, *(_work_line(work) for work in answer["work"])])


@fleet.command("begin")
@click.option(
    "--lost", is_flag=True, help="Too many seats have forgotten: what the others remember is all there was."
)
@with_api
@json_option
def bootstrap_fleet(api: ApiClient, lost: bool, as_json: bool) -> None:
    """Say that nothing of this fleet ran before. Refused where a seat is not heard, or remembers."""
    answer = api.request("POST", "fleet/begin" + ("/lost" if lost else ""))
    print_result(answer, as_json, "begun: keyed work is covered from now on")
