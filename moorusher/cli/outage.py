"""Verbs on machines that are taken out for work."""

from __future__ import annotations

import getpass
import os
import re
import signal
import time
from datetime import datetime
from typing import Any

import click

from ..server.main import REFUSED, UNREACHED
from . import JSON, Shown, show
from .runner import Api, api

WITHDRAWN, OUT_OF_TIME, STOPPED = 5, 6, 130
UNITS = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3_600.0, "d": 86_400.0}
POLL_S = 20.0
ANSWER_S = 6.0


class Span(click.ParamType[float]):
    """Seconds, from 90, 90s, 10m, 2h or 1d."""

    name = "span"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        if isinstance(value, float):
            return value
        found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", str(value))
        if found is None:
            self.fail(f"expected a span as 90s, 10m, 2h or 1d, got {value!r}", param, context)
        return float(found[1]) * UNITS[found[2]]


class Moment(click.ParamType[float]):
    """Unix seconds, from a local time as 2026-12-24T03:00, or a span from now as +2h."""

    name = "moment"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        if isinstance(value, float):
            return value
        if str(value).startswith("+"):
            return time.time() + Span().convert(str(value)[1:], param, context)
        try:
            return datetime.fromisoformat(str(value)).timestamp()
        except ValueError:
            self.fail(f"expected a time as 2026-12-24T03:00, or +2h, got {value!r}", param, context)


@click.group()
def outage() -> None:
    """Machines that are taken out for work, in an order that the runners settle among themselves."""


def _for(s: float | None) -> str:
    if s is None:
        return "?"
    return f"{s:.0f} s" if s < 120 else f"{s / 60:.0f} min" if s < 7_200 else f"{s / 3600:.1f} h"


def _lines(got: dict[str, Any]) -> list[str]:
    lines = []
    if not got["current"]:
        age = (
            "nothing is known here yet"
            if got["age_ms"] is None
            else f"as of {_for(got['age_ms'] / 1000)} ago"
        )
        lines.append(f"no majority answers; {age}. Nobody new goes out meanwhile")
    if got["hold"]:
        lines.append(f"held: {got['hold']}")
    lines += [
        f"{a['id']:<18} {a['reason']}, by {a['by']}: {a['done']} done, {a['waiting']} wait"
        + (f", ends with {a['ends']}" if a["ends"] != "boot" else "")
        for a in got["asks"]
    ]
    lines += [
        f"  {t['seat']:<14} {t['stage']} for {_for(t['for_s'])}, work of {_for(t['lasts_s'])}: {t['reason']}"
        + (f" ({t['note']})" if t["note"] else "")
        for t in got["turns"]
    ]
    lines += [
        f"  {h['seat']:<14} held back: {h['why']}; `moorusher outage resume {h['seat']}`"
        for a in got["asks"]
        for h in a["held"]
    ]
    lines += [f"  {w['seat']:<14} waits, likely {_for(w['in_s'])}: {w['why']}" for w in got["order"]]
    ends = [t["in_s"] for t in got["order"] if t["in_s"] is not None]
    if ends:
        lines.append(f"the last one is likely to go in {_for(max(ends))}")
    return lines


def _shown(got: dict[str, Any], as_json: bool) -> None:
    show(got, as_json, "\n".join(_lines(got)) or "nobody is out, and nobody waits")


def _post(api: Api, what: str, **sent: Any) -> Any:
    import json

    return api.send("POST", f"outage/{what}", json.dumps(sent).encode(), ANSWER_S + sent.get("for_s", 0.0))


class _Stopped(BaseException):
    """A signal came, or the terminal is gone."""


def _stop(*_: object) -> None:
    raise _Stopped


@outage.command("ask")
@click.argument("seats", nargs=-1)
@click.option("--all", "every", is_flag=True, help="Each machine of the fleet.")
@click.option("--zone", default="", help="Each machine of it.")
@click.option("--group", default="", help="Each machine of it.")
@click.option("--reason", default="maintenance", show_default=True)
@click.option("--lasts", type=Span(), default="10m", show_default=True, help="How long the work takes.")
@click.option("--not-before", type=Moment(), default=0.0, help="2026-12-24T03:00, or +2h.")
@click.option("--due", type=Moment(), default=0.0, help="By when it should be done.")
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
    "--id", "id_", help="Asked again with the same id, nothing happens twice (default: one is made)."
)
@click.option("--by", help="Who asks (default: the user's name).")
@click.option(
    "--wait",
    is_flag=True,
    help="Until this machine may be worked on: exit code 0 then, and only then. "
    f"{REFUSED}: refused or held back; {WITHDRAWN}: withdrawn; {OUT_OF_TIME}: out of time. A signal, or the "
    "end of the terminal, withdraws it.",
)
@click.option(
    "--timeout", type=Span(), default="1d", show_default=True, help="Of --wait; then it is withdrawn."
)
@api
@JSON
def ask(
    api: Api,
    seats: tuple[str, ...],
    every: bool,
    zone: str,
    group: str,
    reason: str,
    lasts: float,
    not_before: float,
    due: float,
    priority: int,
    together: bool,
    ends: str,
    id_: str | None,
    by: str | None,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Ask for machines to be taken out: SEATS, this runner's own where none is named."""
    by, id_ = by or getpass.getuser(), id_ or os.urandom(8).hex()
    sent = {
        "id": id_,
        "seats": list(seats),
        "all": every,
        "zone": zone,
        "group": group,
        "reason": reason,
        "by": by,
        "lasts_s": lasts,
        "not_before_s": not_before,
        "due_s": due,
        "priority": priority,
        "together": together,
        "ends": ends,
        "bound": wait,
    }
    if not wait:
        return _shown(_post(api, "ask", **sent), as_json)
    if every or zone or group or len(seats) > 1:
        raise Shown("--wait is for one machine")
    waited = _Wait(api, id_, seats[0] if seats else "", by, time.monotonic() + timeout)
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _stop)
    try:
        waited.ask(sent)
        got = waited.until_told()
    except _Stopped:
        raise SystemExit(waited.withdrawn(STOPPED)) from None
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
    show(got, as_json, f"{got['seat']}: {got['word']}" + (f": {got['note']}" if got["note"] else ""))
    raise SystemExit(
        {"granted": 0, "withdrawn": WITHDRAWN, "over": WITHDRAWN, "out of time": OUT_OF_TIME}.get(
            got["word"], REFUSED
        )
    )


class _Wait:
    def __init__(self, api: Api, id: str, seat: str, by: str, until: float) -> None:
        self.api, self.id, self.seat, self.by, self.until = api, id, seat, by, until

    def ask(self, sent: dict[str, Any]) -> None:
        """Again and again until somebody has it: a runner that is replaced, or has no majority, may have it soon."""
        while True:
            try:
                _post(self.api, "ask", **sent)
                return
            except Shown as exc:
                if (
                    exc.exit_code != UNREACHED and " 503: " not in exc.message
                ) or time.monotonic() >= self.until:
                    raise
                time.sleep(0.5)

    def until_told(self) -> dict[str, Any]:
        while (left := self.until - time.monotonic()) > 0:
            try:
                got: dict[str, Any] = _post(
                    self.api, "wait", id=self.id, seat=self.seat, for_s=max(0.1, min(POLL_S, left))
                )
            except Shown as exc:
                if exc.exit_code != UNREACHED:
                    raise
                time.sleep(0.5)
                continue
            if got["word"] != "waits":
                return got
        code = self.withdrawn(OUT_OF_TIME)
        return {"seat": self.seat or "this machine", "word": "out of time" if code else "granted", "note": ""}

    def withdrawn(self, code: int) -> int:
        """`code`, or 0 where it had been told to go before it could be withdrawn and that is what was waited for."""
        try:
            _post(self.api, "cancel", id=self.id, seats=[], by=self.by)
        except Shown as exc:
            if "told to go already" in exc.message:
                if code == OUT_OF_TIME:
                    return 0
                click.echo(f"moorusher: {exc.message}", err=True)
            elif exc.exit_code == UNREACHED:
                click.echo(
                    "moorusher: the runner is not there to hear that it is withdrawn; where nobody asks again "
                    "it takes it back by itself",
                    err=True,
                )
        return code


@outage.command("show")
@click.option("--watch", is_flag=True, help="Again each second, until ^C.")
@api
@JSON
def show_(api: Api, watch: bool, as_json: bool) -> None:
    """Print who is out, who waits and why, and when each is likely to go."""
    while True:
        if watch and not as_json:
            click.clear()
        _shown(api.send("GET", "outage", None, ANSWER_S), as_json)
        if not watch:
            return
        time.sleep(1)


@outage.command("cancel")
@click.argument("id_", metavar="ID")
@click.argument("seats", nargs=-1)
@click.option("--by")
@api
@JSON
def cancel(api: Api, id_: str, seats: tuple[str, ...], by: str | None, as_json: bool) -> None:
    """Withdraw an ask, or SEATS of it. Refused for what was told to go already; the rest is withdrawn all the same."""
    _shown(_post(api, "cancel", id=id_, seats=list(seats), by=by or getpass.getuser()), as_json)


@outage.command("done")
@click.argument("seat")
@click.option("--by")
@api
@JSON
def done(api: Api, seat: str, by: str | None, as_json: bool) -> None:
    """Say that a machine is back, or is not going after all: it counts as out no longer."""
    _shown(_post(api, "done", seat=seat, by=by or getpass.getuser()), as_json)


@outage.command("hold")
@click.argument("why", default="held by an operator")
@api
@JSON
def hold(api: Api, why: str, as_json: bool) -> None:
    """Let nobody go until `resume`. What drains serves again; what was told to go has gone."""
    _shown(_post(api, "hold", why=why), as_json)


@outage.command("resume")
@click.argument("seat", default="")
@api
@JSON
def resume(api: Api, seat: str, as_json: bool) -> None:
    """Go on after `hold`; or with SEAT, which was held back for a person to look at."""
    _shown(_post(api, "resume", seat=seat), as_json)
