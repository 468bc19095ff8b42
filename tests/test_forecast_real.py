"""Forecast of real runner processes under faults: counts, imported histories, and fenced hints.

Each runner connects to the receiver of the hints through its own relay, so that a leader's hints can be delayed.
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

WEEKS = 3  # Length of an imported history.
HOURS_PER_WEEK = 168
REPLICATION_S = 0.5  # Time after which a majority has the counts of the leader.


def history(route: str = "main") -> bytes:
    """Return the request body for importing three weeks of one route, up to the previous hour."""
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
    """A fleet with a forecast. `relays[i]` connects runner i to the receiver of the hints."""

    def __init__(self, runners: Fleet, receiver: FencedReceiver, relays: list[Relay]) -> None:
        self.fleet, self.receiver, self.relays = runners, receiver, relays

    async def call(
        self, i: int, path: str = "forecast/acme", method: str = "GET", body: bytes = b""
    ) -> tuple[int, Any]:
        """Send a request to the administration API of runner i. Return the status and the JSON document."""
        response = await exchange(
            self.fleet.runners[i].admin,
            f"{method} /{path} HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body,
        )
        head, _, document = response.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(document)

    async def leader(self, i: int) -> int:
        """Return the index of the leader of the forecast according to runner i."""
        found: list[int] = []

        async def is_known() -> bool:
            status, duty = await self.call(i, "duties/forecast")
            if status == 200 and duty["owner"]:
                found.append(int(duty["owner"][1:]))
            return bool(found)

        await until(is_known)
        return found[0]

    async def other_leader(self, i: int, former: int) -> int:
        """Wait until runner i names another leader than `former`, and return its index."""

        async def has_changed() -> bool:
            return await self.leader(i) != former

        await until(has_changed)
        return await self.leader(i)

    async def import_history(self, i: int, route: str = "main") -> None:
        async def is_imported() -> bool:
            status, _ = await self.call(i, "forecast", "POST", history(route))
            return status == 200

        await until(is_imported)

    async def forecast(self, i: int) -> dict[str, Any]:
        found: list[dict[str, Any]] = []

        async def is_available() -> bool:
            status, document = await self.call(i)
            if status == 200 and document["routes"]:
                found.append(document)
            return bool(found)

        await until(is_available)
        return found[0]

    async def counted_requests(self, i: int) -> int:
        """Return the number of requests that runner i, as the leader, has counted in the current hour."""
        _, document = await self.call(i, "forecast/+here")
        return sum(int(requests) for requests in document["lately"].values())

    def live_runner(self, killed: int) -> int:
        return next(i for i in range(len(self.fleet.runners)) if i != killed)

    def assert_tokens_grow(self) -> None:
        tokens = [request.token for request in self.receiver.accepted]
        assert all(earlier < later for earlier, later in pairwise(tokens))


@asynccontextmanager
async def forecasting_fleet(n: int = 4, **options: Any) -> AsyncIterator[ForecastingFleet]:
    with TemporaryDirectory() as folder:
        receiver = FencedReceiver(reactor(), TokenStore(Path(folder) / "book"))
        relays = [Relay(reactor(), receiver.port) for _ in range(n)]

        def toml(i: int) -> str:
            return (
                f"[duties]\non = true\nsteady_ms = 300\n[forecast]\non = true\nreport_ms = 100\nsave_ms = 100\n"
                f'routes = 20\n[forecast.scaling]\nto = "{HOST}:{relays[i].port}"\ncores = 2.0\n'
            )

        try:
            async with fleet(n, more=toml, **options) as runners:
                forecasting = ForecastingFleet(runners, receiver, relays)
                yield forecasting
                forecasting.assert_tokens_grow()
        finally:
            for relay in relays:
                relay.close()
            receiver.close()


@asynchronous_test
async def test_each_request_is_counted_once_after_a_change_of_the_leader() -> None:
    """The leader is killed after it has replicated its counts. The next leader has these counts, and runners whose
    reports were not acknowledged report them again, which must not double them. Duplicates of a request do not count
    as demand."""
    async with forecasting_fleet() as forecasting:
        for i in range(4):
            front, other = (
                await forecasting.fleet.connect_front_end(i),
                await forecasting.fleet.connect_front_end((i + 1) % 4),
            )
            key = token()
            for connection in (front, front, other):  # Two duplicates, one of them at another runner.
                await connection.ask("submit", token=key, body=key.encode())
            await front.ask("check")
        leader = await forecasting.leader(0)

        async def all_are_counted() -> bool:
            return await forecasting.counted_requests(leader) == 8

        await until(all_are_counted)
        await asyncio.sleep(REPLICATION_S)
        forecasting.fleet.kill(leader)
        next_leader = await forecasting.other_leader(forecasting.live_runner(leader), leader)

        async def next_leader_has_counts() -> bool:
            return await forecasting.counted_requests(next_leader) >= 8

        await until(next_leader_has_counts)
        await asyncio.sleep(REPLICATION_S)
        assert await forecasting.counted_requests(next_leader) == 8, (
            "counts that are reported again must not double"
        )


@asynchronous_test
async def test_next_leader_computes_the_same_forecast_from_an_imported_history() -> None:
    """The leader is killed, and the next leader computes the forecast again from the replicated counts."""
    async with forecasting_fleet() as forecasting:
        await forecasting.import_history(1)
        first = await forecasting.forecast(2)
        assert first["routes"][0]["day"][0] > 24 * 2_500
        assert first["hints"]["hints"]
        await wait_until(lambda: len(forecasting.receiver.accepted) > 0)
        hint = forecasting.receiver.accepted[-1].body["hints"][0]
        assert hint["zone"] == "z0"
        assert "cores" in hint["why"]
        leader = await forecasting.leader(0)
        forecasting.fleet.kill(leader)
        await wait_until(lambda: forecasting.receiver.accepted[-1].token.term > first["term"])
        second = await forecasting.forecast(forecasting.live_runner(leader))
        assert second["term"] > first["term"]
        if second["first_hour"] == first["first_hour"]:  # Otherwise an hour has ended in between.
            assert second["routes"] == first["routes"]


@asynchronous_test
async def test_late_hint_of_a_former_leader_is_rejected() -> None:
    """The leader's hint is delayed, the leader is stopped, and the next leader's hint arrives first. Without a fencing
    token, the delayed hint would replace the newer one."""
    async with forecasting_fleet() as forecasting:
        await forecasting.import_history(0)
        await wait_until(lambda: len(forecasting.receiver.accepted) > 0)
        leader = await forecasting.leader(0)
        others = [i for i in range(4) if i != leader]
        forecasting.relays[leader].silence()
        accepted = len(forecasting.receiver.accepted)
        await forecasting.import_history(
            others[0], "other"
        )  # Causes a new forecast, whose hint the relay holds back.
        await wait_until(lambda: forecasting.relays[leader].buffered_bytes > 0)
        assert len(forecasting.receiver.accepted) == accepted
        forecasting.fleet.pause(leader)
        await wait_until(lambda: len(forecasting.receiver.accepted) > accepted)
        term = forecasting.receiver.accepted[-1].token.term
        forecasting.relays[leader].silence(False)
        await wait_until(
            lambda: any(fencing_token.term < term for fencing_token in forecasting.receiver.rejected)
        )


@asynchronous_test
async def test_invalid_histories_are_rejected_with_a_remedy() -> None:
    async with forecasting_fleet(3) as forecasting:
        await forecasting.import_history(0)
        status, answer = await forecasting.call(1, "forecast", "POST", history())
        assert status == 400
        assert answer["kind"] == "BadPast"
        assert "acme/main@z0" in answer["error"]
        assert answer["remedy"]
        for body in (b"{}", b'[{"first_hour": 5, "asked": [-1]}]', b'[{"asked": [1]}]', b"[" * 5000):
            status, answer = await forecasting.call(1, "forecast", "POST", body)
            assert status == 400
            assert answer["error"]
        await forecasting.forecast(2)
        status, document = await forecasting.call(2, "forecast/nobody")
        assert status == 200
        assert document["routes"] == []
