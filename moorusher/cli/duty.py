"""Commands for duties, which are tasks of the fleet that an elected leader runs."""

from __future__ import annotations

from typing import Any

import click

from .api_client import ApiClient, with_api
from .options import json_option
from .output import print_lines, print_result


@click.group()
def duty() -> None:
    """Work that is done for the fleet as a whole, by one owner at a time."""


def _duty_lines(lease: dict[str, Any]) -> list[str]:
    lines = [
        f"{lease['name']:<28} {lease['life']:<9} {lease['owner'] or '-':<12} term {lease['term']:<5} "
        f"change {lease['number']:<7} {lease['why']}"
    ]
    if (local := lease["here"]) is not None:
        error = f": {local['trouble']}" if local["trouble"] else ""
        lines.append(f"  here     {local['stage']} for {local['for_ms'] / 1000:.1f} s{error}")
    lines += [
        f"  open     {intent['number']} to {intent['to']}, of term {intent['term']}, settled by "
        f"{intent['settle']}: {intent['what']}"
        for intent in lease["intents"]
    ]
    return lines


@duty.command("show")
@click.argument("name", required=False)
@with_api
@json_option
def show_duty(api: ApiClient, name: str | None, as_json: bool) -> None:
    """Print the duties that this runner has or keeps; one by NAME as a majority has it now."""
    if name is None:
        answer = api.request("GET", "duties")
        lines = [line for lease in answer["duties"] for line in _duty_lines(lease)]
    else:
        answer = api.request("GET", f"duties/{name}")
        lines = [*_duty_lines(answer), f"  state    {answer['state'] or '(none)'}"]
    print_result(answer, as_json, "\n".join(lines) or "no duties are known here")


@duty.command("resume")
@click.argument("name")
@with_api
@json_option
def resume_duty(api: ApiClient, name: str, as_json: bool) -> None:
    """Let a duty that was put aside go on."""
    lease = api.request("POST", f"duties/{name}/resume")
    print_lines(lease, as_json, _duty_lines(lease))


@duty.command("settle")
@click.argument("name")
@click.argument("number", type=int)
@click.argument("how", type=click.Choice(["done", "undone"]))
@with_api
@json_option
def resolve_intent(api: ApiClient, name: str, number: int, how: str, as_json: bool) -> None:
    """Say that you have looked whether an open effect was done. It is closed either way, and HOW is logged."""
    lease = api.request("POST", f"duties/{name}/settle/{number}/{how}")
    print_lines(lease, as_json, _duty_lines(lease))
