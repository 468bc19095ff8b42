"""Verbs on a runner in service, over its administration API."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Container
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import click

from ..config.loader import load
from ..config.operator_file import DEFAULT_OPERATOR_FILE, read_operator_file
from ..config.section import ConfigError, parse_address
from ..server.main import NOT_ROUTABLE, REFUSED, UNREACHED
from . import JSON, Shown, show

TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Api:
    """A runner's administration API, and the token that changes need."""

    host: str
    port: int
    token: str

    def ask(self, method: str, path: str, body: object = None, also: Container[int] = ()) -> Any:
        """The answer's JSON, also that of these statuses. Raises Shown where the runner is not there, or refuses."""
        return self.send(method, path, None if body is None else json.dumps(body).encode(), TIMEOUT_S, also)

    def send(
        self, method: str, path: str, data: bytes | None, timeout_s: float, also: Container[int] = ()
    ) -> Any:
        """The same with bytes as they are."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token and method != "GET" else {}
        request = Request(f"http://{self.host}:{self.port}/{path}", data=data, method=method, headers=headers)
        try:
            with urlopen(request, timeout=timeout_s) as reply:
                return json.load(reply)
        except HTTPError as exc:
            if exc.code in also:
                return json.load(exc)
            try:
                told = json.load(exc)
                text = told["error"] + (f"\n{told['remedy']}" if told.get("remedy") else "")
            except (ValueError, KeyError, TypeError):
                text = str(exc.reason)
            raise Shown(f"{self.host}:{self.port}: {exc.code}: {text}", REFUSED) from exc
        except (OSError, ValueError) as exc:
            raise Shown(f"{self.host}:{self.port}: {exc}", UNREACHED) from exc


def api(command: Callable[..., None]) -> Callable[..., None]:
    """Hands the verb the API that --address, or the operator's file, names."""

    @click.option("--address", help="HOST:PORT of the API (default: admin.listen of the operator's file).")
    @click.option(
        "--fronts",
        type=click.Path(path_type=Path),
        default=DEFAULT_OPERATOR_FILE,
        help="The operator's file.",
    )
    @click.option(
        "--token", envvar="MOORUSHER_TOKEN", help="For changes (default: that of the operator's file)."
    )
    @wraps(command)
    def with_api(address: str | None, fronts: Path, token: str | None, **rest: Any) -> None:
        try:
            admin = read_operator_file(fronts).admin
            where = parse_address(address, "--address") if address else admin.listen
        except ConfigError as exc:
            raise Shown(str(exc)) from exc
        if where is None:
            raise Shown(f"admin.listen: not set in {fronts.name}; name the API with --address")
        command(Api(*where, token if token is not None else admin.token), **rest)

    return with_api


@click.command()
@click.argument("what", type=click.Choice(["status", "counters", "tenants"]), default="status")
@api
@JSON
def stats(api: Api, what: str, as_json: bool) -> None:
    """Print what a runner counts."""
    got = api.ask("GET", what)
    show(got, as_json, "\n".join(f"{name:<40} {value}" for name, value in sorted(got.items())))


@click.command()
@click.option("--check", is_flag=True, help=f"Exit with {NOT_ROUTABLE} where no new requests should be sent.")
@api
@JSON
def standing(api: Api, check: bool, as_json: bool) -> None:
    """Print what a runner tells balancers, and why."""
    got = api.ask("GET", "standing")
    crowd, gauge = got["crowd"], got["gauge"]
    age = "never told" if gauge is None else f"{gauge['age_ms'] / 1000:.1f} s old"
    lines = [
        f"{got['standing']} {got['weight']}%: {got['reason']}",
        f"  for      {got['since_ms'] / 1000:.1f} s",
        f"  crowd    {crowd['mean_per_core']:.2f} a core, {crowd['forecast_per_core']:.2f} ahead of "
        f"{crowd['horizon_ms'] / 1000:.1f} s, survives {crowd['survives_per_core']:.2f}",
        f"  held     {got['held']}, the oldest {got['oldest_held_ms'] / 1000:.2f} s; {got['at_calls']} at calls",
        f"  gauges   {age}; kernel link lost {got['link']['losses_in_30_s']} times in 30 s",
        f"  probes   from {got['balancers']['known']}, the slowest each {got['balancers']['slowest_ms'] / 1000:.1f} s",
        *(f"  unknown  {u}" for u in got["unknown"]),
    ]
    show(got, as_json, "\n".join(lines))
    if check and not got["routable"]:
        raise SystemExit(NOT_ROUTABLE)


@click.group()
def maintenance() -> None:
    """Take a runner out of its balancers, and put it back."""


def _maintained(got: Any, as_json: bool) -> None:
    m = got["maintenance"]
    left = "" if m is None or m["left_ms"] is None else f", {m['left_ms'] / 1000:.0f} s left"
    show(got, as_json, "no maintenance" if m is None else f"maintenance: {m['reason']}{left}")


@maintenance.command("show")
@api
@JSON
def maintenance_show(api: Api, as_json: bool) -> None:
    """Print the maintenance that is set."""
    _maintained(api.ask("GET", "maintenance"), as_json)


@maintenance.command("set")
@click.option("--reason", default="maintenance", show_default=True, help="What balancers' logs will say.")
@click.option("--for", "for_s", type=float, help="Seconds after which it ends by itself.")
@api
@JSON
def maintenance_set(api: Api, reason: str, for_s: float | None, as_json: bool) -> None:
    """Have balancers send nothing new; what comes all the same is served."""
    body = {"reason": reason} | ({} if for_s is None else {"for_s": for_s})
    _maintained(api.ask("PUT", "maintenance", body), as_json)


@maintenance.command("clear")
@api
@JSON
def maintenance_clear(api: Api, as_json: bool) -> None:
    """Put it back; its weight climbs from the first step."""
    _maintained(api.ask("DELETE", "maintenance"), as_json)


@click.command()
@api
@JSON
def drain(api: Api, as_json: bool) -> None:
    """Have a runner leave, as SIGTERM does. Not taken back."""
    show(api.ask("POST", "drain"), as_json, "leaving")


@click.group()
def servers() -> None:
    """The tier of servers below."""


def _served(got: Any, as_json: bool) -> None:
    lines = [
        f"{'server':<16} {'state':<9} {'flight/limit':>12} {'calls':>8} {'answered':>8} {'short ms':>9}  why"
    ]
    lines += [
        f"{s['name']:<16} {s['state']:<9} {s['in_flight']:>5}/{s['limit']:<6} {s['calls']:>8} "
        f"{s['answered_share']:>8.0%} {s['short_ms']:>9.1f}  {s['why'] or ''}"
        for s in got["servers"]
    ]
    show(got, as_json, "\n".join(lines))


@servers.command("list")
@api
@JSON
def servers_list(api: Api, as_json: bool) -> None:
    """Print each server and what is known of it."""
    _served(api.ask("GET", "servers"), as_json)


@servers.command("put")
@click.argument("name")
@click.argument("server_address")
@click.option("--weight", default=1.0, show_default=True)
@click.option("--zone", default="")
@click.option("--protocol", type=click.Choice(["http", "uwsgi"]), default="http", show_default=True)
@api
@JSON
def servers_put(
    api: Api, name: str, server_address: str, weight: float, zone: str, protocol: str, as_json: bool
) -> None:
    """Add a server, or change the one that has the name. Until the next configuration is read."""
    body = {"address": server_address, "weight": weight, "zone": zone, "protocol": protocol}
    _served(api.ask("PUT", f"servers/{name}", body), as_json)


@servers.command("drain")
@click.argument("name")
@api
@JSON
def servers_drain(api: Api, name: str, as_json: bool) -> None:
    """Send a server no new calls."""
    _served(api.ask("POST", f"servers/{name}/drain"), as_json)


@servers.command("remove")
@click.argument("name")
@api
@JSON
def servers_remove(api: Api, name: str, as_json: bool) -> None:
    """Take a server out at once, with what is under way there."""
    _served(api.ask("DELETE", f"servers/{name}"), as_json)


@click.group()
def knowledge() -> None:
    """What a runner has learnt of the servers below."""


@knowledge.command("show")
@api
@JSON
def knowledge_show(api: Api, as_json: bool) -> None:
    """Print it, as it would be handed on."""
    got = api.ask("GET", "knowledge")
    lines = [f"{got['donor']}, {got.get('condition', 'well')}, in service for {got.get('up_s', 0):.0f} s"]
    lines += [
        f"{s['name']:<16} {s.get('short_us', 0) / 1000:>9.1f} ms  {s.get('samples', 0):>6} samples  "
        f"{s.get('answered', 1):>5.0%} answered{'  out' if s.get('out') else ''}"
        for s in got.get("servers", [])
    ]
    show(got, as_json, "\n".join(lines))


@click.group()
def fleet() -> None:
    """The runners that keep each other's work."""


@fleet.command("show")
@api
@JSON
def fleet_show(api: Api, as_json: bool) -> None:
    """Print the members as this runner sees them, and what became of keyed work."""
    got = api.ask("GET", "fleet")
    knows = "remembers" if got["remembers"] else "has forgotten, and has no vote yet"
    lines = [
        f"fleet {got['name']}, seat {got['seat']}: {knows}; keeps {got['keeps']} keys, {got['in_hand']} in hand",
        f"{'seat':<16} {'zone':<8} {'state':<8} {'fit':<4} {'for s':>8} {'heard s':>8}",
    ]
    lines += [
        f"{m['seat']:<16} {m['zone']:<8} {m['state']:<8} {'yes' if m['fit'] else 'no':<4} "
        f"{m['since_ms'] / 1000:>8.1f} {'-' if m['heard_ms'] is None else format(m['heard_ms'] / 1000, '.1f'):>8}"
        for m in got["members"]
    ]
    lines += [
        f"{name.removeprefix('fleet: '):<40} {value}" for name, value in sorted(got["counters"].items())
    ]
    show(got, as_json, "\n".join(lines))


@fleet.command("work")
@api
@JSON
def fleet_work(api: Api, as_json: bool) -> None:
    """Print the keyed work that this runner has in hand, or waits for."""
    got = api.ask("GET", "fleet/work")
    lines = [f"{'key':<12} {'class':<12} {'stage':<30} {'owner':<12} {'try':>3} {'left s':>7}"]
    lines += [
        f"{w['key']:<12} {w['class'] or '-':<12} {w['stage']:<30} {w['owner'] or 'here':<12} {w['attempt']:>3} "
        f"{w['left_ms'] / 1000:>7.1f}"
        for w in got["work"]
    ]
    show(got, as_json, "\n".join(lines))


@fleet.command("begin")
@click.option(
    "--lost", is_flag=True, help="Too many seats have forgotten: what the others remember is all there was."
)
@api
@JSON
def fleet_begin(api: Api, lost: bool, as_json: bool) -> None:
    """Say that nothing of this fleet ran before. Refused where a seat is not heard, or remembers."""
    show(
        api.ask("POST", "fleet/begin" + ("/lost" if lost else "")),
        as_json,
        "begun: keyed work is covered from now on",
    )


@click.command()
@click.argument("call", type=click.Choice(["health", "quiesce", "resume"]))
@click.option(
    "--address", help="HOST:PORT of the second address (default: $GW_CONSOLE, else that of $GW_CONFIG)."
)
@JSON
def console(call: str, address: str | None, as_json: bool) -> None:
    """Ask a runner over its second address: is it ready; drain; take clients again."""
    try:
        address = address or os.environ.get("GW_CONSOLE")
        where = parse_address(address, "--address") if address else load().console
    except ConfigError as exc:
        raise Shown(str(exc)) from exc
    if where is None:
        raise Shown("console: not set; name it with --address")
    got = Api(*where, "").ask("GET" if call == "health" else "POST", f"admin/{call}", also={409, 503})
    why = [
        f"quiesced: {got['quiesced']}" if got["quiesced"] else "",
        "leaving" if got["leaving"] else "",
        "replaced" if got["replaced"] else "",
        "" if got["kernel"] else "no kernel",
    ]
    show(got, as_json, ", ".join(["ready" if got["ready"] else "not ready", *filter(None, why)]))
    if call == "health" and not got["ready"]:
        raise SystemExit(NOT_ROUTABLE)
    if call == "resume" and got["leaving"]:
        raise SystemExit(REFUSED)


@click.group()
def duty() -> None:
    """Work that is done for the fleet as a whole, by one owner at a time."""


def _duty_lines(d: Any) -> list[str]:
    lines = [
        f"{d['name']:<28} {d['life']:<9} {d['owner'] or '-':<12} term {d['term']:<5} "
        f"change {d['number']:<7} {d['why']}"
    ]
    if d["here"] is not None:
        lines.append(
            f"  here     {d['here']['stage']} for {d['here']['for_ms'] / 1000:.1f} s"
            + (f": {d['here']['trouble']}" if d["here"]["trouble"] else "")
        )
    lines += [
        f"  open     {i['number']} to {i['to']}, of term {i['term']}, settled by {i['settle']}: {i['what']}"
        for i in d["intents"]
    ]
    return lines


@duty.command("show")
@click.argument("name", required=False)
@api
@JSON
def duty_show(api: Api, name: str | None, as_json: bool) -> None:
    """Print the duties that this runner has or keeps; one by NAME as a majority has it now."""
    got = api.ask("GET", "duties" if name is None else f"duties/{name}")
    lines = (
        [line for d in got["duties"] for line in _duty_lines(d)]
        if name is None
        else [*_duty_lines(got), f"  state    {got['state'] or '(none)'}"]
    )
    show(got, as_json, "\n".join(lines) or "no duties are known here")


@duty.command("resume")
@click.argument("name")
@api
@JSON
def duty_resume(api: Api, name: str, as_json: bool) -> None:
    """Let a duty that was put aside go on."""
    got = api.ask("POST", f"duties/{name}/resume")
    show(got, as_json, "\n".join(_duty_lines(got)))


@duty.command("settle")
@click.argument("name")
@click.argument("number", type=int)
@click.argument("how", type=click.Choice(["done", "undone"]))
@api
@JSON
def duty_settle(api: Api, name: str, number: int, how: str, as_json: bool) -> None:
    """Say that you have looked whether an open effect was done. It is closed either way, and HOW is logged."""
    got = api.ask("POST", f"duties/{name}/settle/{number}/{how}")
    show(got, as_json, "\n".join(_duty_lines(got)))


COMMANDS = (console, stats, standing, maintenance, drain, servers, knowledge, fleet, duty)
