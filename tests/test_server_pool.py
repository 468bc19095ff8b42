"""The server pool over real sockets: it executes the decisions of load balancing and follows the rules for calls."""

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


def tier_settings(*servers: Any, policy: str = "hedge = false") -> str:
    """Let the stand-ins listen, and return the settings of [tier] that list them."""
    text = f"[tier]\n{policy}\n"
    for i, server in enumerate(servers):
        server.listen()
        protocol = "uwsgi" if isinstance(server, UwsgiPeer) else "http"
        text += f'[[tier.server]]\nname = "s{i}"\naddress = "{HOST}:{server.port}"\nprotocol = "{protocol}"\n'
    return text


async def send_requests(front_end: FrontEnd, count: int) -> list[dict[str, Any]]:
    """Send `count` requests, four at a time, and return the answers; with more at a time some would be rejected."""
    answers: list[dict[str, Any]] = []
    while len(answers) < count:
        answers += await asyncio.gather(*(front_end.ask("check") for _ in range(4)))
    return answers


def close_all(servers: Sequence[Any]) -> None:
    for server in servers:
        server.close()


def test_end_reasons_give_load_balancing_and_the_scheduler_the_same_evidence() -> None:
    for ending, outcome in SCHEDULER_OUTCOMES.items():
        if ending.name.startswith("CALL_"):
            evidence = OUTCOME_OF_END_REASON.get(ending, AttemptOutcome.FAILED).evidence
            assert evidence.proves_never_ran is outcome.never_ran
            assert evidence.proves_never_ran is EVIDENCE_OF_CALL[ending].proves_never_ran
            assert evidence.proves_never_ran is EVIDENCE_OF_OUTCOME[outcome].proves_never_ran


@pytest.mark.processes
@asynchronous_test
async def test_calls_are_distributed_and_all_replies_are_passed_on_with_both_protocols() -> None:
    servers = [Database(), Database(), UwsgiPeer()]
    async with running(kernel := Kernel(calls=True), more=tier_settings(*servers)) as runner:
        front_end = await FrontEnd.connect(runner.port)
        answers = await send_requests(front_end, 40)
        assert (
            all("result" in answer for answer in answers)
            and set(kernel.call_replies.values()) == {b"reply"}
            and not kernel.skipped_calls
        )
        assert sum(len(s.calls) for s in servers) == 40 and all(s.calls for s in servers)
        document = json.loads(body_of(await exchange(runner.admin, b"GET /servers HTTP/1.0\r\n\r\n")))
        assert sum(s["calls"] for s in document["servers"]) == 40 and document["open"] == 0
        knowledge = json.loads(body_of(await exchange(runner.admin, b"GET /knowledge HTTP/1.0\r\n\r\n")))
        assert knowledge["donor"] == "n1" and sum(s["samples"] for s in knowledge["servers"]) == 40
        for verb in (["servers", "list"], ["knowledge", "show"]):
            assert await asyncio.to_thread(cli.main, [*verb, "--address", f"{HOST}:{runner.admin}"]) == 0
    close_all(servers)


@pytest.mark.processes
@asynchronous_test
async def test_calls_that_may_run_twice_succeed_despite_a_failing_and_an_unreachable_server() -> None:
    failing, unreachable, healthy = Database(500), Database(), Database()
    more = tier_settings(
        failing,
        unreachable,
        healthy,
        policy="hedge = false\nretry_share = 1.0\nmost_ejected = 0.7\npanic = 0.0",
    )
    unreachable.close()
    async with running(kernel := Kernel(calls=True), more=more) as runner:
        front_end = await FrontEnd.connect(runner.port)
        answers = [await front_end.ask("check") for _ in range(30)]
        assert (
            all("result" in answer for answer in answers)
            and len(healthy.calls) == 30
            and not kernel.skipped_calls
        )
        assert len(failing.calls) <= 8  # ejected after five failures, then only occasional health checks
    close_all([failing, healthy])


@pytest.mark.processes
@pytest.mark.parametrize("script, calls", [((500,), 1), (("reset",), 1), ((503, 200), 2)])
def test_a_call_with_an_idempotency_key_is_retried_only_if_it_provably_did_not_run(
    script: tuple[int | str, ...], calls: int
) -> None:
    @asynchronous_test
    async def run_script() -> None:
        servers = [Database(*script)]
        async with running(Kernel(calls=True), more=tier_settings(*servers)) as runner:
            front_end = await FrontEnd.connect(runner.port)
            answer = await front_end.ask("submit", token=new_key())
            assert ("result" in answer) is (calls == 2) and len(servers[0].calls) == calls
        close_all(servers)

    run_script()


@pytest.mark.processes
@asynchronous_test
async def test_hedged_requests_are_answered_despite_a_hanging_server() -> None:
    servers = [Database("hang"), Database()]
    async with running(
        kernel := Kernel(calls=True), more=tier_settings(*servers, policy="retry_share = 1.0")
    ) as runner:
        front_end = await FrontEnd.connect(runner.port)
        answers = [await asyncio.wait_for(front_end.send("check"), WAIT) for _ in range(30)]
        assert all("result" in answer for answer in answers)
        assert len(servers[0].calls) <= 12 and len(servers[1].calls) >= 25
        assert len(kernel.runs) == 30
    close_all(servers)


@pytest.mark.processes
@asynchronous_test
async def test_servers_are_changed_under_load_by_the_api_and_by_sighup() -> None:
    servers = [Database(), Database(), Database()]
    text = tier_settings(*servers[:2])
    async with running(Kernel(calls=True), more=text) as runner:

        async def api(method: bytes, path: bytes, body: bytes = b"") -> int:
            return status(
                await exchange(
                    runner.admin,
                    b"%s /servers%s HTTP/1.0\r\nAuthorization: Bearer t0p\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (method, path, len(body), body),
                )
            )

        servers[2].listen()
        front_end = await FrontEnd.connect(runner.port)
        pending = [front_end.send("check") for _ in range(4)]
        put = b'{"address": "%s:%d"}' % (HOST.encode(), servers[2].port)
        assert [
            await api(b"PUT", b"/s2", put),
            await api(b"PUT", b"/s2", b'{"address": 5}'),
            await api(b"POST", b"/s0/drain"),
            await api(b"DELETE", b"/s1"),
            await api(b"DELETE", b"/none"),
        ] == [200, 400, 200, 200, 404]
        await asyncio.gather(*pending)
        before = [len(s.calls) for s in servers]
        answers = await send_requests(front_end, 20)
        assert all("result" in answer for answer in answers)
        assert [len(s.calls) for s in servers[:2]] == before[:2] and len(servers[2].calls) >= before[2] + 20
        # A reload applies the file again, with another address for s0; the server's name stays the same.
        runner.fronts.write_text(
            runner.fronts.read_text().replace(f":{servers[0].port}", f":{servers[2].port}")
        )
        runner.reload()
        await wait_until(lambda: "configuration read again" in runner.read_log())
        calls_before_reload = len(servers[0].calls)
        await send_requests(front_end, 20)
        assert len(servers[0].calls) == calls_before_reload and len(servers[1].calls) > before[1]
        runner.fronts.write_text(runner.fronts.read_text().split("[tier]")[0])
        runner.reload()
        await wait_until(lambda: "tier.server: can't be set or taken away" in runner.read_log())
    close_all(servers)


def test_a_call_that_the_runner_times_out_is_not_reported_as_a_servers_outcome() -> None:
    # The runner ends such a call itself, so load balancing must not count it against the server.
    assert EndReason.CALL_TIMED_OUT not in OUTCOME_OF_END_REASON
