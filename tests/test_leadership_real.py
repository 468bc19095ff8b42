"""Real runners that share a duty, with faults between them: reports count once, in the order of terms, and go on.

Each runner reaches the receiver over a relay of its own, so that what a leader has sent can be held back until later.
"""

from __future__ import annotations

import asyncio
import json
import resource
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest

from moorusher.lab.fenced_receiver import FencedReceiver, TokenStore
from moorusher.lab.relays import Relay
from moorusher.leadership.fencing_token import FencingToken

from .fleets import Fleet, fleet
from .stand_ins import HOST, Kernel, reactor, until
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes

EVERY_MS = 30


class Watched:
    """A fleet with one duty, and what its receiver has accepted."""

    def __init__(self, f: Fleet, receiver: FencedReceiver, ways: list[Relay]) -> None:
        self.fleet, self.receiver, self.ways = f, receiver, ways

    @property
    def leader(self) -> int:
        """Of the last report that counted."""
        return int(self.receiver.accepted[-1].body["by"][1:])

    @property
    def term(self) -> int:
        return self.receiver.accepted[-1].token.term

    async def next_leader(self, *gone: int) -> int:
        """Somebody else reports, in a later term."""
        term = self.term
        await wait_until(lambda: self.term > term and self.leader not in gone)
        return self.leader

    async def goes_on(self) -> None:
        seen = len(self.receiver.accepted)
        await wait_until(lambda: len(self.receiver.accepted) > seen + 3)

    async def ask(
        self, i: int, path: str = "duties/alive", method: str = "GET"
    ) -> tuple[int, dict[str, Any]]:
        head, _, body = (await self.fleet.admin(i, method, path)).partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    async def superseded(self, i: int) -> None:
        async def told() -> bool:
            return bool((await self.fleet.runners[i].counters()).get("duties: superseded"))

        await until(told)

    def in_order(self) -> None:
        """No report of an earlier term after one of a later, none twice, one leader a term."""
        fences = [t.token for t in self.receiver.accepted]
        assert all(a < b for a, b in pairwise(fences))
        leaders: dict[int, str] = {}
        for took in self.receiver.accepted:
            assert leaders.setdefault(took.token.term, took.body["by"]) == took.body["by"]


@asynccontextmanager
async def watched(n: int = 4, steady_ms: int = 300, **how: Any) -> AsyncIterator[Watched]:
    with TemporaryDirectory() as folder:
        receiver = FencedReceiver(reactor(), TokenStore(Path(folder) / "book"))
        ways = [Relay(reactor(), receiver.port) for _ in range(n)]

        def toml(i: int) -> str:
            return (
                f'[duties]\non = true\nsteady_ms = {steady_ms}\n[[duties.report]]\nname = "alive"\n'
                f'to = "{HOST}:{ways[i].port}"\nevery_ms = {EVERY_MS}\n'
            )

        try:
            async with fleet(n, more=toml, **how) as f:
                await wait_until(lambda: len(receiver.accepted) > 3)
                w = Watched(f, receiver, ways)
                yield w
                w.in_order()
        finally:
            for way in ways:
                way.close()
            receiver.close()


@asynchronous_test
async def test_the_duty_of_a_killed_leader_goes_on_from_its_replicated_state() -> None:
    """The leader is killed after a dozen reports. The next one goes on counting from the state that a majority has."""
    async with watched() as w:
        await wait_until(lambda: w.receiver.accepted[-1].body["reports"] > 12)
        before, first = w.receiver.accepted[-1].body["reports"], w.leader
        w.fleet.kill(first)
        then = await w.next_leader(first)
        mine = [t.body["reports"] for t in w.receiver.accepted if t.token.term == w.term]
        assert before - 6 <= mine[0] <= before + 2, "what it said last may not have been kept"
        status, told = await w.ask(then)
        assert (status, told["owner"], told["life"], told["lost"]) == (200, f"n{then}", "held", 1)


@asynchronous_test
async def test_a_leader_stopped_and_woken_learns_that_its_term_is_over() -> None:
    """The leader is stopped, another member takes the lease, and the former leader wakes with its work."""
    async with watched() as w:
        first = w.leader
        w.fleet.stop(first)
        await w.next_leader(first)
        await w.goes_on()
        w.fleet.go_on(first)
        await w.superseded(first)
        await w.goes_on()
        assert w.leader != first


@asynchronous_test
async def test_a_leader_that_wakes_after_two_further_terms_changes_nothing() -> None:
    """The leader is stopped; the next one is killed; a third leads when the first wakes."""
    async with watched(5, copies=5) as w:
        first = w.leader
        w.fleet.stop(first)
        second = await w.next_leader(first)
        w.fleet.kill(second)
        await w.next_leader(first, second)
        await w.goes_on()
        term = w.term
        w.fleet.go_on(first)
        await w.superseded(first)
        await w.goes_on()
        assert w.term == term


@asynchronous_test
async def test_a_leader_cut_off_with_its_operator_does_nothing_new_and_says_so() -> None:
    """The leader is cut off from all others, and an operator asks it."""
    async with watched() as w:
        first = w.leader
        w.fleet.cut_off(first)
        await w.next_leader(first)
        await w.goes_on()
        status, told = await w.ask(first)
        assert status == 503 and "no majority" in told["error"] and "fleet show" in told["remedy"]
        status, listed = await w.ask(first, "duties")
        assert status == 200 and listed["duties"][0]["name"] == "alive", "what was known is still told"
        w.fleet.cut_off(first, silent=False)
        await w.superseded(first)
        await w.goes_on()


@asynchronous_test
async def test_a_late_request_of_a_former_leader_is_rejected() -> None:
    """A request is held on its way until another member leads, then arrives. Its token is stale."""
    async with watched() as w:
        first = w.leader
        w.ways[first].silence()  # what it says from here on is held on its way
        await wait_until(lambda: w.ways[first].holding > 0)
        w.fleet.stop(first)
        await w.next_leader(first)
        await w.goes_on()
        w.ways[first].resume()
        await wait_until(lambda: bool(w.receiver.rejected))
        assert all(f < w.receiver.accepted[-1].token for f in w.receiver.rejected)
        w.fleet.go_on(first)
        await w.superseded(first)


@asynchronous_test
async def test_a_request_whose_answers_are_lost_is_repeated_and_counts_once() -> None:
    """The receiver does what it is asked, and its answers are lost."""
    async with watched() as w:
        w.receiver.drops_replies = True
        await asyncio.sleep(0.5)
        w.receiver.drops_replies = False
        await w.goes_on()


@asynchronous_test
async def test_a_draining_runner_hands_its_duty_over_in_order() -> None:
    async with watched() as w:
        first = w.leader
        w.fleet.runners[first].process.send_signal(signal.SIGTERM)
        then = await w.next_leader(first)
        _, told = await w.ask(then)
        assert told["lost"] == 0, "nobody was lost"
        mine = [t.body["reports"] for t in w.receiver.accepted]
        assert mine == sorted(mine) and len(set(mine)) == len(mine), "its last state was handed on"
        await wait_until(lambda: w.fleet.runners[first].process.poll() == 0)


@asynchronous_test
async def test_a_report_under_way_as_its_leader_drains_counts_in_the_state_that_is_handed_over() -> None:
    """SIGTERM comes while a report has no answer yet. The state that is handed over must count it."""
    async with watched() as w:
        first = w.leader
        w.ways[first].silence()
        await wait_until(lambda: w.ways[first].holding > 0)
        leaving = w.fleet.runners[first]
        leaving.process.send_signal(signal.SIGTERM)
        await wait_until(
            lambda: "handing over keyed work" in leaving.text()
        )  # the duty is given up, and the report has no answer yet
        w.ways[first].resume()
        then = await w.next_leader(first)
        _, told = await w.ask(then)
        mine = [t.body["reports"] for t in w.receiver.accepted]
        assert told["lost"] == 0 and len(set(mine)) == len(mine)


@asynchronous_test
async def test_a_replaced_process_never_leads_together_with_its_successor() -> None:
    """A new process takes over the seat of the leader while the old one drains."""
    async with watched() as w:
        first, kernel = w.leader, Kernel()
        kernel.listen()
        r = w.fleet.runners[first]
        r.start(kernel.port)
        await r.says_yes()
        await w.goes_on()
        r.processes[0].send_signal(signal.SIGTERM)
        await wait_until(lambda: r.processes[0].poll() == 0)
        await w.goes_on()
        kernel.close()


@asynchronous_test
async def test_leaders_killed_one_after_another_suspend_the_duty_until_it_is_resumed() -> None:
    """Three leaders are killed soon after they took the lease."""
    async with watched(5, steady_ms=60_000, journals=True) as w:
        gone: list[int] = []
        for _ in range(3):
            gone.append(w.leader)
            w.fleet.kill(gone[-1])
            if len(gone) < 3:
                await w.next_leader(*gone)
            await w.fleet.gone(gone[-1])
            w.fleet.again(gone[-1])
        live = next(i for i in range(5) if i not in gone)

        told: dict[str, Any] = {}

        async def aside() -> bool:  # a later answer may be that no majority was heard in time
            told.update((await w.ask(live))[1])
            return bool(told.get("life") == "aside")

        await until(aside)
        assert "one after the other" in told["why"]
        seen = len(w.receiver.accepted)
        await asyncio.sleep(0.5)
        assert len(w.receiver.accepted) == seen
        status, _ = await w.ask(live, "duties/alive/resume", "POST")
        assert status == 200
        await w.goes_on()


@asynchronous_test
async def test_a_fleet_that_lost_its_power_goes_on_from_its_disks_in_a_later_term() -> None:
    """All runners are killed at one time and restart with their journals."""
    async with watched(journals=True) as w:
        await wait_until(lambda: w.receiver.accepted[-1].body["reports"] > 12)
        before, term = w.receiver.accepted[-1].body["reports"], w.term
        for i in range(4):
            w.fleet.kill(i)
        await w.fleet.gone()
        for i in range(4):
            w.fleet.again(i)
        await wait_until(lambda: w.term > term)
        first = next(t for t in w.receiver.accepted if t.token.term > term)
        assert (
            first.token.generation == w.receiver.accepted[0].token.generation
            and first.body["reports"] >= before - 6
        )


@asynchronous_test
async def test_a_fleet_that_lost_its_memory_does_nothing_until_an_operator_says_so() -> None:
    """All runners are killed at one time and have no journals: nobody knows what was promised."""
    async with watched(3) as w:
        born = w.receiver.accepted[-1].token.generation
        for i in range(3):
            w.fleet.kill(i)
        await w.fleet.gone()
        seen = len(w.receiver.accepted)
        for i in range(3):
            w.fleet.again(i)
        for r in w.fleet.runners:
            await r.ready()
        await asyncio.sleep(0.5)
        assert len(w.receiver.accepted) == seen and (await w.ask(0))[0] == 503
        await w.fleet.begin()
        await w.goes_on()
        assert w.receiver.accepted[-1].token > FencingToken(born, 1 << 30, 1 << 30)


@asynchronous_test
async def test_a_full_disk_costs_a_replica_its_vote_until_there_is_room() -> None:
    """The leader's disk is full, so that it can promise nothing as a replica."""
    async with watched(journals=True) as w:
        r = w.fleet.runners[w.leader]

        async def journal() -> str:
            return str((await r.counters("fleet"))["journal"])

        resource.prlimit(r.process.pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))

        async def fails() -> bool:
            return await journal() != "written"

        async def written() -> bool:
            return await journal() == "written"

        await until(fails)
        await w.goes_on()
        resource.prlimit(
            r.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        )
        await until(written)
        await w.goes_on()


@asynchronous_test
async def test_sighup_to_all_leaves_the_duty_with_its_leader() -> None:
    async with watched() as w:
        term = w.term
        for r in w.fleet.runners:
            r.process.send_signal(signal.SIGHUP)
        await w.goes_on()

        async def read() -> bool:
            return all([(await r.counters()).get("configurations read") == 1 for r in w.fleet.runners])

        await until(read)
        await w.goes_on()
        assert w.term == term
