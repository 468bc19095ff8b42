"""The command that calls a runner's console, its second address."""

from __future__ import annotations

import os
from typing import Any

import click

from ..server.main import NOT_ROUTABLE, REFUSED
from .api_client import ApiClient, console_address
from .options import json_option
from .output import print_result

# Error statuses whose body is the runner's state: 409 if the state does not permit the call, 503 if it is not ready.
ANSWERED_STATUSES = frozenset({409, 503})


def _state_text(state: dict[str, Any]) -> str:
    reasons = [
        f"quiesced: {state['quiesced']}" if state["quiesced"] else "",
        "leaving" if state["leaving"] else "",
        "replaced" if state["replaced"] else "",
        "" if state["kernel"] else "no kernel",
    ]
    return ", ".join(["ready" if state["ready"] else "not ready", *filter(None, reasons)])


@click.command()
@click.argument("call", type=click.Choice(["health", "quiesce", "resume"]))
@click.option(
    "--address", help="HOST:PORT of the second address (default: $GW_CONSOLE, else that of $GW_CONFIG)."
)
@json_option
def console(call: str, address: str | None, as_json: bool) -> None:
    """Ask a runner over its second address: is it ready; drain; take clients again."""
    api = ApiClient(*console_address(address or os.environ.get("GW_CONSOLE")))
    method = "GET" if call == "health" else "POST"
    state = api.request(method, f"admin/{call}", accepted_statuses=ANSWERED_STATUSES)
    print_result(state, as_json, _state_text(state))
    if call == "health" and not state["ready"]:
        raise SystemExit(NOT_ROUTABLE)
    if call == "resume" and state["leaving"]:
        raise SystemExit(REFUSED)
