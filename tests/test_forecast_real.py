"""Real runners that share a forecast, with faults between them: counts, imported histories, hints that count once.

Each runner reaches the receiver of the hints over a relay of its own, so that what a leader has sent can be held back.
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
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes

WEEKS = 3  # of an imported history
HOURS_PER_WEEK = 168
REPLICATED_S = 0.5  # after which a majority has what the leader has counted


def history(route: str = "main") -> bytes:
    """Three weeks of one route, up to the hour before this one, as the API takes them."""
    hours = HOURS_PER_WEEK * WEEKS
    first_hour = int(time.time()) // 3600 - hours
    requests = [round(4000 + 3000 * math.sin(2 * math.pi * (first_hour + i) / 24)) for i in range(hours)]
    return json.dumps(
        [
            {
                "customer": "acme",
                "route": route,
                "zone": "z0",
                "first_hour": first_hour,
                "asked": requests,
                "core_ms": 500,
                "worth": 2,
            }
        ]
    ).encode()


class ForecastingFleet:
    """A fleet with a forecast. `relays[i]`: the way from runner i to the receiver of the hints."""

    def __init__(self, runners: Fleet, receiver: FencedReceiver, relays: list[Relay]) -> None:
        self.fleet, self.receiver, self.relays = runners, receiver, relays

    async def call(
        self, i: int, path: str = "forecast/acme", method: str = "GET", body: bytes = b""
    ) -> tuple[int, Any]:
        """Status and JSON of the administration API of a runner."""
        answer = await exchange(
            self.fleet.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body,
        )
        head, _, document = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(document)

    async def leader(self, i: int) -> int:
        """Who leads the forecast, as runner i reads it."""
        found: list[int] = []

        async def is_known() -> bool:
            status, duty = await self.call(i, "duties/forecast")
            if status == 200 and duty["owner"]:
                found.append(int(duty["owner"][1:]))
            return bool(found)

        await until(is_known)
        return found[0]

    async def other_leader(self, i: int, former: int) -> int:
        """Who leads the forecast after another one has, as runner i reads it."""

        async def has_changed() -> bool:
            return await self.leader(i) != former

        await until(has_changed)
        return await self.leader(i)

    async def import_history(self, i: int, route: str = "main") -> None:
        async def is_taken() -> bool:
            status, _ = await self.call(i, "forecast", "POST", history(route))
            return status == 200

        await until(is_taken)

    async def forecast(self, i: int) -> dict[str, Any]:
        found: list[dict[str, Any]] = []

        async def is_there() -> bool:
            status, document = await self.call(i)
            if status == 200 and document["routes"]:
                found.append(document)
            return bool(found)

        await until(is_there)
        return found[0]

    async def counted_requests(self, i: int) -> int:
        """What runner i, as the leader, has counted in this hour."""
        _, document = await self.call(i, "forecast/+here")
        return sum(int(requests) for requests in document["lately"].values())

    def live_runner(self, lost: int) -> int:
        return next(i for i in range(len(self.fleet.runners)) if i != lost)

    def assert_tokens_grow(self) -> None:
        tokens = [taken.token for taken in self.receiver.accepted]
        assert all(earlier < later for earlier, later in pairwise(tokens))


@asynccontextmanager
async def forecasting_fleet(n: int = 4, **how: Any) -> AsyncIterator[ForecastingFleet]:
    with TemporaryDirectory() as folder:
        receiver = FencedReceiver(reactor(), TokenStore(Path(folder) / "book"))
        relays = [Relay(reactor(), receiver.port) for _ in range(n)]

        def toml(i: int) -> str:
            return (
                f"[duties]\non = true\nsteady_ms = 300\n[forecast]\non = true\nreport_ms = 100\nsave_ms = 100\n"
                f'routes = 20\n[forecast.scaling]\nto = "{HOST}:{relays[i].port}"\ncores = 2.0\n'
            )

        try:
            async with fleet(n, more=toml, **how) as runners:
                made = ForecastingFleet(runners, receiver, relays)
                yield made
                made.assert_tokens_grow()
        finally:
            for relay in relays:
                relay.close()
            receiver.close()


@asynchronous_test
async def test_requests_at_all_runners_are_counted_once_whoever_leads_the_forecast() -> None:
    """The leader is killed after it has replicated its counts. The next one has these, and gets them again from all
    runners whose reports were not acknowledged: neither doubles them. Duplicates of a request are no demand."""
    async with forecasting_fleet() as f:
        for i in range(4):
            front, other = await f.fleet.connect_front_end(i), await f.fleet.connect_front_end((i + 1) % 4)
            key = token()
            for connection in (front, front, other):  # two of them are duplicates, one at another runner
                await connection.ask("submit", token=key, body=key.encode())
            await front.ask("check")
        leader = await f.leader(0)

        async def all_are_counted() -> bool:
            return await f.counted_requests(leader) == 8

        await until(all_are_counted)
        await asyncio.sleep(REPLICATED_S)
        f.fleet.kill(leader)
        next_leader = await f.other_leader(f.live_runner(leader), leader)

        async def are_counted_again() -> bool:
            return await f.counted_requests(next_leader) >= 8

        await until(are_counted_again)
        await asyncio.sleep(REPLICATED_S)
        assert await f.counted_requests(next_leader) == 8, "of sixteen"


@asynchronous_test
async def test_an_imported_history_is_forecast_from_and_the_next_leader_has_the_same_figures() -> None:
    """The leader is killed; the next one works the forecast out again, from the replicated counts."""
    async with forecasting_fleet() as f:
        await f.import_history(1)
        first = await f.forecast(2)
        assert first["routes"][0]["day"][0] > 24 * 2_500
        assert first["hints"]["hints"]
        await wait_until(lambda: len(f.receiver.accepted) > 0)
        hint = f.receiver.accepted[-1].body["hints"][0]
        assert hint["zone"] == "z0"
        assert "cores" in hint["why"]
        leader = await f.leader(0)
        f.fleet.kill(leader)
        await wait_until(lambda: f.receiver.accepted[-1].token.term > first["term"])
        again = await f.forecast(f.live_runner(leader))
        assert again["term"] > first["term"]
        if again["first_hour"] == first["first_hour"]:  # else an hour has ended meanwhile
            assert again["routes"] == first["routes"]


@asynchronous_test
async def test_a_hint_of_a_former_leader_that_arrives_late_changes_nothing() -> None:
    """The leader's hint is held up on the way, the leader is stopped, and the next one's hint arrives first. Then the
    first one arrives: without its fencing token it would replace the newer one."""
    async with forecasting_fleet() as f:
        await f.import_history(0)
        await wait_until(lambda: len(f.receiver.accepted) > 0)
        leader = await f.leader(0)
        others = [i for i in range(4) if i != leader]
        f.relays[leader].silence()
        taken = len(f.receiver.accepted)
        await f.import_history(others[0], "other")  # a new forecast, whose hint is held on the way
        await wait_until(lambda: f.relays[leader].buffered_bytes > 0)
        assert len(f.receiver.accepted) == taken
        f.fleet.pause(leader)
        await wait_until(lambda: len(f.receiver.accepted) > taken)
        term = f.receiver.accepted[-1].token.term
        f.relays[leader].silence(False)
        await wait_until(lambda: any(fence.term < term for fence in f.receiver.rejected))


@asynchronous_test
async def test_histories_that_can_not_be_imported_are_rejected_with_a_remedy() -> None:
    async with forecasting_fleet(3) as f:
        await f.import_history(0)
        status, answer = await f.call(1, "forecast", "POST", history())
        assert status == 400
        assert answer["kind"] == "BadPast"
        assert "acme/main@z0" in answer["error"]
        assert answer["remedy"]
        for body in (b"{}", b'[{"first_hour": 5, "asked": [-1]}]', b'[{"asked": [1]}]', b"[" * 5000):
            status, answer = await f.call(1, "forecast", "POST", body)
            assert status == 400
            assert answer["error"]
        await f.forecast(2)
        status, document = await f.call(2, "forecast/nobody")
        assert status == 200
        assert document["routes"] == []
