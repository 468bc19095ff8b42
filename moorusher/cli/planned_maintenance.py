"""Commands for planned maintenance of machines: `moorusher outage`.

The commands for maintenance mode, which concerns load balancers, are in `maintenance_mode`.
"""

from __future__ import annotations

import getpass
import json
import os
import time
from functools import partial
from typing import Any

import click

from ..server.main import REFUSED
from .api_client import ApiClient, with_api
from .options import json_option
from .output import CommandError, print_result
from .planned_maintenance_wait import (
    OUT_OF_TIME,
    STOPPED,
    WITHDRAWN,
    MaintenanceWait,
    Stopped,
    exit_code_of,
    stop_signals,
)
from .time_values import Duration, Moment, duration_text

ANSWER_TIMEOUT_S = 6.0
WATCH_INTERVAL_S = 1


@click.group()
def outage() -> None:
    """Machines that are taken out for work, in an order that the runners settle among themselves."""


def _post(api: ApiClient, path: str, **body: Any) -> Any:
    """Post to a path below /outage. The timeout includes `for_s` of the body, for which the runner may wait."""
    timeout_s = ANSWER_TIMEOUT_S + body.get("for_s", 0.0)
    return api.send("POST", f"outage/{path}", json.dumps(body).encode(), timeout_s)


# ---- text of the schedule ----


def _age_line(age_ms: float | None) -> str:
    age = "nothing is known here yet" if age_ms is None else f"as of {duration_text(age_ms / 1000)} ago"
    return f"no majority answers; {age}. Nobody new goes out meanwhile"


def _request_line(request: dict[str, Any]) -> str:
    ends = "" if request["ends"] == "boot" else f", ends with {request['ends']}"
    return (
        f"{request['id']:<18} {request['reason']}, by {request['by']}: {request['done']} done, "
        f"{request['waiting']} wait{ends}"
    )


def _slot_line(slot: dict[str, Any]) -> str:
    note = f" ({slot['note']})" if slot["note"] else ""
    return (
        f"  {slot['seat']:<14} {slot['stage']} for {duration_text(slot['for_s'])}, work of "
        f"{duration_text(slot['lasts_s'])}: {slot['reason']}{note}"
    )


def _suspended_line(suspended: dict[str, Any]) -> str:
    return f"  {suspended['seat']:<14} held back: {suspended['why']}; `moorusher outage resume {suspended['seat']}`"


def _queued_line(queued: dict[str, Any]) -> str:
    return f"  {queued['seat']:<14} waits, likely {duration_text(queued['in_s'])}: {queued['why']}"


def _schedule_lines(schedule: dict[str, Any]) -> list[str]:
    lines = [] if schedule["current"] else [_age_line(schedule["age_ms"])]
    if schedule["hold"]:
        lines.append(f"held: {schedule['hold']}")
    lines += [_request_line(request) for request in schedule["asks"]]
    lines += [_slot_line(slot) for slot in schedule["turns"]]
    lines += [_suspended_line(suspended) for request in schedule["asks"] for suspended in request["held"]]
    lines += [_queued_line(queued) for queued in schedule["order"]]
    starts_s = [queued["in_s"] for queued in schedule["order"] if queued["in_s"] is not None]
    if starts_s:
        lines.append(f"the last one is likely to go in {duration_text(max(starts_s))}")
    return lines


def _print_schedule(schedule: dict[str, Any], as_json: bool) -> None:
    print_result(schedule, as_json, "\n".join(_schedule_lines(schedule)) or "nobody is out, and nobody waits")


# ---- commands ----


@outage.command("ask")
@click.argument("seats", nargs=-1)
@click.option("--all", "all_seats", is_flag=True, help="Each machine of the fleet.")
@click.option("--zone", default="", help="Each machine of it.")
@click.option("--group", default="", help="Each machine of it.")
@click.option("--reason", default="maintenance", show_default=True)
@click.option(
    "--lasts",
    "duration_s",
    type=Duration(),
    default="10m",
    show_default=True,
    help="How long the work takes.",
)
@click.option("--not-before", "not_before_s", type=Moment(), default=0.0, help="2026-12-24T03:00, or +2h.")
@click.option("--due", "due_s", type=Moment(), default=0.0, help="By when it should be done.")
@click.option("--priority", type=click.IntRange(0, 9), default=0, help="9 goes first: a security fix.")
@click.option("--together", is_flag=True, help="May be done with others of its zone.")
@click.option(
    "--ends",
    type=click.Choice(["boot", "done"]),
    default="boot",
    show_default=True,
    help="What ends it: the machine's next start, or `moorusher outage done`.",
)
@click.option(
    "--id", "request_id", help="Asked again with the same id, nothing happens twice (default: one is made)."
)
@click.option("--by", "author", help="Who asks (default: the user's name).")
@click.option(
    "--wait",
    is_flag=True,
    help="Until this machine may be worked on: exit code 0 then, and only then. "
    f"{REFUSED}: refused or held back; {WITHDRAWN}: withdrawn; {OUT_OF_TIME}: out of time. A signal, or the "
    "end of the terminal, withdraws it.",
)
@click.option(
    "--timeout",
    "timeout_s",
    type=Duration(),
    default="1d",
    show_default=True,
    help="Of --wait; then it is withdrawn.",
)
@with_api
@json_option
def request_maintenance(
    api: ApiClient,
    seats: tuple[str, ...],
    all_seats: bool,
    zone: str,
    group: str,
    reason: str,
    duration_s: float,
    not_before_s: float,
    due_s: float,
    priority: int,
    together: bool,
    ends: str,
    request_id: str | None,
    author: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Ask for machines to be taken out: SEATS, this runner's own where none is named."""
    request = {
        "id": request_id or os.urandom(8).hex(),
        "seats": list(seats),
        "all": all_seats,
        "zone": zone,
        "group": group,
        "reason": reason,
        "by": author or getpass.getuser(),
        "lasts_s": duration_s,
        "not_before_s": not_before_s,
        "due_s": due_s,
        "priority": priority,
        "together": together,
        "ends": ends,
        "bound": wait,
    }
    if not wait:
        _print_schedule(_post(api, "ask", **request), as_json)
        return
    if all_seats or zone or group or len(seats) > 1:
        raise CommandError("--wait is for one machine")
    _wait_for_slot(api, request, timeout_s, as_json)


def _wait_for_slot(api: ApiClient, request: dict[str, Any], timeout_s: float, as_json: bool) -> None:
    """Submit a request for one machine, wait for its slot, and exit with the code of the result."""
    seat = request["seats"][0] if request["seats"] else ""
    deadline_s = time.monotonic() + timeout_s
    slot_wait = MaintenanceWait(partial(_post, api), request["id"], seat, request["by"], deadline_s)
    try:
        with stop_signals():
            slot_wait.submit(request)
            answer = slot_wait.wait()
    except Stopped:
        slot_wait.withdraw().print_warning()
        raise SystemExit(STOPPED) from None
    note = f": {answer['note']}" if answer["note"] else ""
    print_result(answer, as_json, f"{answer['seat']}: {answer['word']}{note}")
    raise SystemExit(exit_code_of(answer))


@outage.command("show")
@click.option("--watch", is_flag=True, help="Again each second, until ^C.")
@with_api
@json_option
def show_schedule(api: ApiClient, watch: bool, as_json: bool) -> None:
    """Print who is out, who waits and why, and when each is likely to go."""
    while True:
        if watch and not as_json:
            click.clear()
        _print_schedule(api.send("GET", "outage", None, ANSWER_TIMEOUT_S), as_json)
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_S)


@outage.command("cancel")
@click.argument("request_id", metavar="ID")
@click.argument("seats", nargs=-1)
@click.option("--by", "author")
@with_api
@json_option
def cancel_request(
    api: ApiClient, request_id: str, seats: tuple[str, ...], author: str | None, as_json: bool
) -> None:
    """Withdraw an ask, or SEATS of it. Refused for what was told to go already; the rest is withdrawn all the same."""
    schedule = _post(api, "cancel", id=request_id, seats=list(seats), by=author or getpass.getuser())
    _print_schedule(schedule, as_json)


@outage.command("done")
@click.argument("seat")
@click.option("--by", "author")
@with_api
@json_option
def complete_slot(api: ApiClient, seat: str, author: str | None, as_json: bool) -> None:
    """Say that a machine is back, or is not going after all: it counts as out no longer."""
    _print_schedule(_post(api, "done", seat=seat, by=author or getpass.getuser()), as_json)


@outage.command("hold")
@click.argument("why", default="held by an operator")
@with_api
@json_option
def hold_schedule(api: ApiClient, why: str, as_json: bool) -> None:
    """Let nobody go until `resume`. What drains serves again; what was told to go has gone."""
    _print_schedule(_post(api, "hold", why=why), as_json)


@outage.command("resume")
@click.argument("seat", default="")
@with_api
@json_option
def resume_schedule(api: ApiClient, seat: str, as_json: bool) -> None:
    """Go on after `hold`; or with SEAT, which was held back for a person to look at."""
    _print_schedule(_post(api, "resume", seat=seat), as_json)
