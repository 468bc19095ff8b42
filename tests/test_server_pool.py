"""The server pool over real sockets: what load balancing decides is done, and no rule of calls is broken by it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import pytest

from moorusher import cli
from moorusher.backends.server_pool import OUTCOME_OF_END_REASON
from moorusher.core.outcomes import EVIDENCE_OF_CALL, SCHEDULER_OUTCOMES, EndReason
from moorusher.load_balancing.messages import AttemptOutcome
from moorusher.scheduling.retry_policy import EVIDENCE_OF_OUTCOME

from .stand_ins import HOST, WAIT, Database, FrontEnd, Kernel, UwsgiPeer, body_of, exchange, running, status
from .test_sockets import asynchronous_test, new_key, wait_until


def listed(*servers: Any, policy: str = "hedge = false") -> str:
    """[tier] with these stand-ins, listening."""
    text = f"[tier]\n{policy}\n"
    for i, server in enumerate(servers):
        server.listen()
        protocol = "uwsgi" if isinstance(server, UwsgiPeer) else "http"
        text += f'[[tier.server]]\nname = "s{i}"\naddress = "{HOST}:{server.port}"\nprotocol = "{protocol}"\n'
    return text


async def some(f: FrontEnd, count: int) -> list[dict[str, Any]]:
    """So many requests, four at a time: more would be held, and some turned away."""
    got: list[dict[str, Any]] = []
    while len(got) < count:
        got += await asyncio.gather(*(f.ask("check") for _ in range(4)))
    return got


def close(servers: Sequence[Any]) -> None:
    for server in servers:
        server.close()


def test_endings_prove_to_load_balancing_what_they_prove_to_the_scheduler() -> None:
    for ending, outcome in SCHEDULER_OUTCOMES.items():
        if ending.name.startswith("CALL_"):
            evidence = OUTCOME_OF_END_REASON.get(ending, AttemptOutcome.FAILED).evidence
            assert evidence.proves_never_ran is outcome.never_ran
            assert evidence.proves_never_ran is EVIDENCE_OF_CALL[ending].proves_never_ran
            assert evidence.proves_never_ran is EVIDENCE_OF_OUTCOME[outcome].proves_never_ran


@pytest.mark.processes
@asynchronous_test
async def test_calls_are_spread_and_every_reply_comes_through_over_both_protocols() -> None:
    servers = [Database(), Database(), UwsgiPeer()]
    async with running(kernel := Kernel(calls=True), more=listed(*servers)) as r:
        f = await FrontEnd.connect(r.port)
        got = await some(f, 40)
        assert (
            all("result" in a for a in got)
            and set(kernel.call_replies.values()) == {b"reply"}
            and not kernel.skipped_calls
        )
        assert sum(len(s.calls) for s in servers) == 40 and all(s.calls for s in servers)
        api = json.loads(body_of(await exchange(r.admin, b"GET /servers HTTP/1.0\r\n\r\n")))
        assert sum(s["calls"] for s in api["servers"]) == 40 and api["open"] == 0
        known = json.loads(body_of(await exchange(r.admin, b"GET /knowledge HTTP/1.0\r\n\r\n")))
        assert known["donor"] == "n1" and sum(s["samples"] for s in known["servers"]) == 40
        for verb in (["servers", "list"], ["knowledge", "show"]):
            assert await asyncio.to_thread(cli.main, [*verb, "--address", f"{HOST}:{r.admin}"]) == 0
    close(servers)


@pytest.mark.processes
@asynchronous_test
async def test_a_failing_and_a_missing_server_cost_no_call_that_may_run_twice() -> None:
    failing, gone, well = Database(500), Database(), Database()
    more = listed(
        failing, gone, well, policy="hedge = false\nretry_share = 1.0\nmost_ejected = 0.7\npanic = 0.0"
    )
    gone.close()
    async with running(kernel := Kernel(calls=True), more=more) as r:
        f = await FrontEnd.connect(r.port)
        got = [await f.ask("check") for _ in range(30)]
        assert all("result" in a for a in got) and len(well.calls) == 30 and not kernel.skipped_calls
        assert len(failing.calls) <= 8  # ejected after five, and probed now and then
    close([failing, well])


@pytest.mark.processes
@pytest.mark.parametrize("script, calls", [((500,), 1), (("reset",), 1), ((503, 200), 2)])
def test_a_call_with_a_key_is_made_again_only_after_a_proof(
    script: tuple[int | str, ...], calls: int
) -> None:
    @asynchronous_test
    async def play() -> None:
        servers = [Database(*script)]
        async with running(Kernel(calls=True), more=listed(*servers)) as r:
            f = await FrontEnd.connect(r.port)
            answer = await f.ask("submit", token=new_key())
            assert ("result" in answer) is (calls == 2) and len(servers[0].calls) == calls
        close(servers)

    play()


@pytest.mark.processes
@asynchronous_test
async def test_a_server_that_hangs_is_bypassed_by_hedged_requests() -> None:
    servers = [Database("hang"), Database()]
    async with running(kernel := Kernel(calls=True), more=listed(*servers, policy="retry_share = 1.0")) as r:
        f = await FrontEnd.connect(r.port)
        got = [await asyncio.wait_for(f.send("check"), WAIT) for _ in range(30)]
        assert all("result" in a for a in got)
        assert len(servers[0].calls) <= 12 and len(servers[1].calls) >= 25
        assert len(kernel.runs) == 30
    close(servers)


@pytest.mark.processes
@asynchronous_test
async def test_servers_change_under_load_by_api_and_by_sighup() -> None:
    servers = [Database(), Database(), Database()]
    text = listed(*servers[:2])
    async with running(Kernel(calls=True), more=text) as r:

        async def api(method: bytes, path: bytes, body: bytes = b"") -> int:
            return status(
                await exchange(
                    r.admin,
                    b"%s /servers%s HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (method, path, len(body), body),
                )
            )

        servers[2].listen()
        f = await FrontEnd.connect(r.port)
        asked = [f.send("check") for _ in range(4)]
        put = b'{"address": "%s:%d"}' % (HOST.encode(), servers[2].port)
        assert [
            await api(b"PUT", b"/s2", put),
            await api(b"PUT", b"/s2", b'{"address": 5}'),
            await api(b"POST", b"/s0/drain"),
            await api(b"DELETE", b"/s1"),
            await api(b"DELETE", b"/none"),
        ] == [200, 400, 200, 200, 404]
        await asyncio.gather(*asked)
        before = [len(s.calls) for s in servers]
        got = await some(f, 20)
        assert all("result" in a for a in got)
        assert [len(s.calls) for s in servers[:2]] == before[:2] and len(servers[2].calls) >= before[2] + 20
        # The file's word again, with s0 at another address: names stay.
        r.fronts.write_text(r.fronts.read_text().replace(f":{servers[0].port}", f":{servers[2].port}"))
        r.reload()
        await wait_until(lambda: "configuration read again" in r.text())
        at = len(servers[0].calls)
        await some(f, 20)
        assert len(servers[0].calls) == at and len(servers[1].calls) > before[1]
        r.fronts.write_text(r.fronts.read_text().split("[tier]")[0])
        r.reload()
        await wait_until(lambda: "tier.server: can't be set or taken away" in r.text())
    close(servers)


def test_a_cancelled_call_is_no_servers_outcome() -> None:
    assert (
        EndReason.CALL_TIMED_OUT not in OUTCOME_OF_END_REASON
    )  # our own doing is never told to the router as a server's
