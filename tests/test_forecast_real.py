"""Real runners that share a forecast, with faults between them: counts, a past that was brought, hints that count once.

Each runner reaches who takes hints over a relay of its own, so that what an owner has sent can be held back.
"""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest

from moorusher.lab.fenced_receiver import FencedReceiver, TokenStore
from moorusher.lab.relays import Relay

from .fleets import Fleet, fleet, token
from .stand_ins import HOST, exchange, reactor, until
from .test_sockets import has, sockets

pytestmark = pytest.mark.processes

WEEKS = 3


def past(route: str = "main") -> bytes:
    """Three weeks of one route, up to the hour before this one."""
    hours = 168 * WEEKS
    first = int(time.time()) // 3600 - hours
    asked = [round(4000 + 3000 * math.sin(2 * math.pi * (first + i) / 24)) for i in range(hours)]
    return json.dumps(
        [
            {
                "customer": "acme",
                "route": route,
                "zone": "z0",
                "first_hour": first,
                "asked": asked,
                "core_ms": 500,
                "worth": 2,
            }
        ]
    ).encode()


class Forecast:
    def __init__(self, f: Fleet, scaler: FencedReceiver, ways: list[Relay]) -> None:
        self.fleet, self.scaler, self.ways = f, scaler, ways

    async def ask(
        self, i: int, path: str = "forecast/acme", method: str = "GET", body: bytes = b""
    ) -> tuple[int, Any]:
        got = await exchange(
            self.fleet.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body,
        )
        head, _, rest = got.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(rest)

    async def owner(self, i: int) -> int:
        found = [9]

        async def known() -> bool:
            status, told = await self.ask(i, "duties/forecast")
            if status == 200 and told["owner"]:
                found[0] = int(told["owner"][1:])
            return found[0] != 9

        await until(known)
        return found[0]

    async def load(self, i: int, route: str = "main") -> None:
        async def taken() -> bool:
            return (await self.ask(i, "forecast", "POST", past(route)))[0] == 200

        await until(taken)

    async def forecast(self, i: int) -> dict[str, Any]:
        found: list[dict[str, Any]] = []

        async def there() -> bool:
            status, told = await self.ask(i)
            if status == 200 and told["routes"]:
                found.append(told)
            return bool(found)

        await until(there)
        return found[0]

    def in_order(self) -> None:
        fences = [t.token for t in self.scaler.accepted]
        assert all(a < b for a, b in pairwise(fences))


@asynccontextmanager
async def forecasting(n: int = 4, **how: Any) -> AsyncIterator[Forecast]:
    with TemporaryDirectory() as folder:
        scaler = FencedReceiver(reactor(), TokenStore(Path(folder) / "book"))
        ways = [Relay(reactor(), scaler.port) for _ in range(n)]

        def toml(i: int) -> str:
            return (
                f"[duties]\non = true\nsteady_ms = 300\n[forecast]\non = true\nreport_ms = 100\nsave_ms = 100\n"
                f'routes = 20\n[forecast.scaling]\nto = "{HOST}:{ways[i].port}"\ncores = 2.0\n'
            )

        try:
            async with fleet(n, more=toml, **how) as f:
                made = Forecast(f, scaler, ways)
                yield made
                made.in_order()
        finally:
            for way in ways:
                way.close()
            scaler.close()


@sockets
async def test_what_is_asked_at_all_runners_is_counted_once_whoever_owns_the_forecast() -> None:
    async with forecasting() as w:
        for i in range(4):
            front, other = await w.fleet.front(i), await w.fleet.front((i + 1) % 4)
            t = token()
            for asked in (front, front, other):  # two of them are repeats, one at another runner
                await asked.ask("submit", token=t, body=t.encode())
            await front.ask("check")

        owner = await w.owner(0)

        async def told() -> bool:
            _, here = await w.ask(owner, "forecast/+here")
            return sum(map(int, here["lately"].values())) == 8

        await until(told)
        await asyncio.sleep(0.5)  # a majority has it by then
        w.fleet.kill(owner)
        live = next(i for i in range(4) if i != owner)

        async def another() -> bool:
            return await w.owner(live) != owner

        await until(another)
        then = await w.owner(live)

        async def counted() -> bool:
            """By the new one: what the last one had kept, and what all tell it again."""
            _, told = await w.ask(then, "forecast/+here")
            return sum(map(int, told["lately"].values())) >= 8

        await until(counted)
        await asyncio.sleep(0.5)
        _, here = await w.ask(then, "forecast/+here")
        assert sum(here["lately"].values()) == 8, (
            "of sixteen: repeats are no demand, and nothing counts twice"
        )


@sockets
async def test_a_past_that_was_brought_is_forecast_by_and_the_next_owner_comes_to_the_same_figures() -> None:
    async with forecasting() as w:
        await w.load(1)
        first = await w.forecast(2)
        assert first["routes"][0]["day"][0] > 24 * 2_500 and first["hints"]["hints"]
        await has(lambda: len(w.scaler.accepted) > 0)
        hint = w.scaler.accepted[-1].body["hints"][0]
        assert hint["zone"] == "z0" and "cores" in hint["why"]
        owner = await w.owner(0)
        w.fleet.kill(owner)
        live = next(i for i in range(4) if i != owner)
        await has(lambda: w.scaler.accepted[-1].token.term > first["term"])
        again = await w.forecast(live)
        assert again["term"] > first["term"]
        if again["first_hour"] == first["first_hour"]:  # else an hour has ended meanwhile
            assert again["routes"] == first["routes"]


@sockets
async def test_a_hint_of_an_owner_of_before_that_arrives_late_changes_nothing() -> None:
    async with forecasting() as w:
        await w.load(0)
        await has(lambda: len(w.scaler.accepted) > 0)
        owner = await w.owner(0)
        others = [i for i in range(4) if i != owner]
        w.ways[owner].silence()
        seen = len(w.scaler.accepted)
        await w.load(others[0], "other")  # it works out anew, and its hint is held on the way
        await has(lambda: w.ways[owner].holding > 0)
        assert len(w.scaler.accepted) == seen
        w.fleet.stop(owner)
        await has(lambda: len(w.scaler.accepted) > seen)
        term = w.scaler.accepted[-1].token.term
        w.ways[owner].silence(False)
        await has(lambda: any(f.term < term for f in w.scaler.rejected))


@sockets
async def test_hours_that_can_not_be_taken_are_refused_with_what_helps() -> None:
    async with forecasting(3) as w:
        await w.load(0)
        status, told = await w.ask(1, "forecast", "POST", past())
        assert (
            status == 400 and told["kind"] == "BadPast" and "acme/main@z0" in told["error"] and told["remedy"]
        )
        for wrong in (b"{}", b'[{"first_hour": 5, "asked": [-1]}]', b'[{"asked": [1]}]', b"[" * 5000):
            status, told = await w.ask(1, "forecast", "POST", wrong)
            assert status == 400 and told["error"]
        await w.forecast(2)
        status, told = await w.ask(2, "forecast/nobody")
        assert status == 200 and told["routes"] == []
