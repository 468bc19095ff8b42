"""Real runners with a shared duty under faults: each report counts once, in the order of terms, and reports continue.

Each runner reaches the receiver through a relay of its own, so that a test can delay the requests of one leader.
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

REPORT_INTERVAL_MS = 30


class WatchedDuty:
    """A fleet with one duty, and the receiver of its reports."""

    def __init__(self, runners: Fleet, receiver: FencedReceiver, relays: list[Relay]) -> None:
        self.fleet, self.receiver, self.relays = runners, receiver, relays

    @property
    def leader(self) -> int:
        """Number of the runner that sent the last accepted report."""
        return int(self.receiver.accepted[-1].body["by"][1:])

    @property
    def term(self) -> int:
        return self.receiver.accepted[-1].token.term

    async def next_leader(self, *excluded: int) -> int:
        """Wait until another runner reports in a later term, and return its number."""
        term = self.term
        await wait_until(lambda: self.term > term and self.leader not in excluded)
        return self.leader

    async def wait_for_reports(self) -> None:
        accepted_before = len(self.receiver.accepted)
        await wait_until(lambda: len(self.receiver.accepted) > accepted_before + 3)

    async def request(
        self, i: int, path: str = "duties/alive", method: str = "GET"
    ) -> tuple[int, dict[str, Any]]:
        head, _, body = (await self.fleet.admin_request(i, method, path)).partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    async def wait_until_superseded(self, i: int) -> None:
        async def is_superseded() -> bool:
            return bool((await self.fleet.runners[i].counters()).get("duties: superseded"))

        await until(is_superseded)

    def check_order(self) -> None:
        """Check that tokens increase strictly and that each term has one leader."""
        tokens = [request.token for request in self.receiver.accepted]
        assert all(a < b for a, b in pairwise(tokens))
        leaders: dict[int, str] = {}
        for request in self.receiver.accepted:
            assert leaders.setdefault(request.token.term, request.body["by"]) == request.body["by"]


@asynccontextmanager
async def watch_duty(n: int = 4, steady_ms: int = 300, **fleet_options: Any) -> AsyncIterator[WatchedDuty]:
    with TemporaryDirectory() as folder:
        receiver = FencedReceiver(reactor(), TokenStore(Path(folder) / "book"))
        relays = [Relay(reactor(), receiver.port) for _ in range(n)]

        def toml(i: int) -> str:
            return (
                f'[duties]\non = true\nsteady_ms = {steady_ms}\n[[duties.report]]\nname = "alive"\n'
                f'to = "{HOST}:{relays[i].port}"\nevery_ms = {REPORT_INTERVAL_MS}\n'
            )

        try:
            async with fleet(n, more=toml, **fleet_options) as f:
                await wait_until(lambda: len(receiver.accepted) > 3)
                duty = WatchedDuty(f, receiver, relays)
                yield duty
                duty.check_order()
        finally:
            for relay in relays:
                relay.close()
            receiver.close()


@asynchronous_test
async def test_the_duty_of_a_killed_leader_continues_from_its_replicated_state() -> None:
    """The leader is killed after a dozen reports. The next leader continues the count from the state of a majority."""
    async with watch_duty() as duty:
        await wait_until(lambda: duty.receiver.accepted[-1].body["reports"] > 12)
        before, first_leader = duty.receiver.accepted[-1].body["reports"], duty.leader
        duty.fleet.kill(first_leader)
        successor = await duty.next_leader(first_leader)
        report_counts = [
            request.body["reports"] for request in duty.receiver.accepted if request.token.term == duty.term
        ]
        assert before - 6 <= report_counts[0] <= before + 2, (
            "the last reports may be missing in the replicated state"
        )
        status, document = await duty.request(successor)
        assert (status, document["owner"], document["life"], document["lost"]) == (
            200,
            f"n{successor}",
            "held",
            1,
        )


@asynchronous_test
async def test_a_leader_that_was_stopped_learns_that_its_term_has_ended() -> None:
    """The leader is stopped, another runner acquires the lease, and the former leader resumes with unfinished work."""
    async with watch_duty() as duty:
        first_leader = duty.leader
        duty.fleet.pause(first_leader)
        await duty.next_leader(first_leader)
        await duty.wait_for_reports()
        duty.fleet.resume(first_leader)
        await duty.wait_until_superseded(first_leader)
        await duty.wait_for_reports()
        assert duty.leader != first_leader


@asynchronous_test
async def test_a_leader_that_resumes_two_terms_later_changes_nothing() -> None:
    """The leader is stopped, the second leader is killed, and a third runner leads when the first one resumes."""
    async with watch_duty(5, copies=5) as duty:
        first_leader = duty.leader
        duty.fleet.pause(first_leader)
        second = await duty.next_leader(first_leader)
        duty.fleet.kill(second)
        await duty.next_leader(first_leader, second)
        await duty.wait_for_reports()
        term = duty.term
        duty.fleet.resume(first_leader)
        await duty.wait_until_superseded(first_leader)
        await duty.wait_for_reports()
        assert duty.term == term


@asynchronous_test
async def test_a_partitioned_leader_reports_to_its_operator_that_it_has_no_majority() -> None:
    """The leader is partitioned from all other runners, and an operator queries it."""
    async with watch_duty() as duty:
        first_leader = duty.leader
        duty.fleet.isolate(first_leader)
        await duty.next_leader(first_leader)
        await duty.wait_for_reports()
        status, document = await duty.request(first_leader)
        assert status == 503 and "no majority" in document["error"] and "fleet show" in document["remedy"]
        status, listed = await duty.request(first_leader, "duties")
        assert status == 200 and listed["duties"][0]["name"] == "alive", "the last known list is still served"
        duty.fleet.isolate(first_leader, silent=False)
        await duty.wait_until_superseded(first_leader)
        await duty.wait_for_reports()


@asynchronous_test
async def test_a_late_request_of_a_former_leader_is_rejected() -> None:
    """A request is delayed until another runner leads. When it arrives, its token is stale."""
    async with watch_duty() as duty:
        first_leader = duty.leader
        duty.relays[first_leader].silence()  # delays all further requests of the leader
        await wait_until(lambda: duty.relays[first_leader].buffered_bytes > 0)
        duty.fleet.pause(first_leader)
        await duty.next_leader(first_leader)
        await duty.wait_for_reports()
        duty.relays[first_leader].resume()
        await wait_until(lambda: bool(duty.receiver.rejected))
        assert all(token < duty.receiver.accepted[-1].token for token in duty.receiver.rejected)
        duty.fleet.resume(first_leader)
        await duty.wait_until_superseded(first_leader)


@asynchronous_test
async def test_a_request_whose_answers_are_lost_is_repeated_and_counts_once() -> None:
    """The receiver executes requests, but its answers are lost, so the leader sends them again."""
    async with watch_duty() as duty:
        duty.receiver.drops_replies = True
        await asyncio.sleep(0.5)
        duty.receiver.drops_replies = False
        await duty.wait_for_reports()


@asynchronous_test
async def test_a_draining_runner_hands_its_duty_and_state_over() -> None:
    async with watch_duty() as duty:
        first_leader = duty.leader
        duty.fleet.runners[first_leader].process.send_signal(signal.SIGTERM)
        successor = await duty.next_leader(first_leader)
        _, document = await duty.request(successor)
        assert document["lost"] == 0, "no leader was lost"
        report_counts = [request.body["reports"] for request in duty.receiver.accepted]
        assert report_counts == sorted(report_counts) and len(set(report_counts)) == len(report_counts), (
            "the last state was handed over"
        )
        await wait_until(lambda: duty.fleet.runners[first_leader].process.poll() == 0)


@asynchronous_test
async def test_a_report_pending_while_its_leader_drains_counts_in_the_state_that_is_handed_over() -> None:
    """SIGTERM arrives while a report is unanswered. The state that is handed over must include the report."""
    async with watch_duty() as duty:
        first_leader = duty.leader
        duty.relays[first_leader].silence()
        await wait_until(lambda: duty.relays[first_leader].buffered_bytes > 0)
        leaving = duty.fleet.runners[first_leader]
        leaving.process.send_signal(signal.SIGTERM)
        # The release has started, and the report is still unanswered.
        await wait_until(lambda: "handing over keyed work" in leaving.read_log())
        duty.relays[first_leader].resume()
        successor = await duty.next_leader(first_leader)
        _, document = await duty.request(successor)
        report_counts = [request.body["reports"] for request in duty.receiver.accepted]
        assert document["lost"] == 0 and len(set(report_counts)) == len(report_counts)


@asynchronous_test
async def test_a_replaced_process_never_leads_together_with_its_successor() -> None:
    """A new process takes over the seat of the leader while the old process drains."""
    async with watch_duty() as duty:
        first_leader, kernel = duty.leader, Kernel()
        kernel.listen()
        runner = duty.fleet.runners[first_leader]
        runner.start(kernel.port)
        await runner.wait_until_healthy()
        await duty.wait_for_reports()
        runner.processes[0].send_signal(signal.SIGTERM)
        await wait_until(lambda: runner.processes[0].poll() == 0)
        await duty.wait_for_reports()
        kernel.close()


@asynchronous_test
async def test_a_replaced_leader_stores_its_state_until_its_lease_is_handed_over() -> None:
    """The other runners' answers went to the successor: the leader stored no state, and its reports were repeated."""
    async with watch_duty() as duty:
        first_leader, kernel, term = duty.leader, Kernel(), duty.term
        kernel.listen()
        duty.fleet.runners[first_leader].start(kernel.port)
        await wait_until(lambda: duty.term > term)  # The replaced process releases the lease without SIGTERM.
        await duty.wait_for_reports()
        report_counts = [request.body["reports"] for request in duty.receiver.accepted]
        assert report_counts == sorted(set(report_counts))
        _, document = await duty.request(first_leader)
        assert document["lost"] == 0, "no leader was lost"
        kernel.close()


@asynchronous_test
async def test_leaders_killed_one_after_another_suspend_the_duty_until_it_is_resumed() -> None:
    """Three leaders in a row are killed soon after they acquired the lease."""
    async with watch_duty(5, steady_ms=60_000, journals=True) as duty:
        killed: list[int] = []
        for _ in range(3):
            killed.append(duty.leader)
            duty.fleet.kill(killed[-1])
            if len(killed) < 3:
                await duty.next_leader(*killed)
            await duty.fleet.wait_for_exit(killed[-1])
            duty.fleet.restart(killed[-1])
        live = next(i for i in range(5) if i not in killed)

        document: dict[str, Any] = {}

        # Some answers can be NoMajority errors instead of the duty's document.
        async def is_suspended() -> bool:
            document.update((await duty.request(live))[1])
            return bool(document.get("life") == "aside")

        await until(is_suspended)
        assert "one after the other" in document["why"]
        accepted_before = len(duty.receiver.accepted)
        await asyncio.sleep(0.5)
        assert len(duty.receiver.accepted) == accepted_before
        status, _ = await duty.request(live, "duties/alive/resume", "POST")
        assert status == 200
        await duty.wait_for_reports()


@asynchronous_test
async def test_a_fleet_that_lost_power_resumes_from_its_disks_in_a_later_term() -> None:
    """All runners are killed at the same time and restart with their journals."""
    async with watch_duty(journals=True) as duty:
        await wait_until(lambda: duty.receiver.accepted[-1].body["reports"] > 12)
        before, term = duty.receiver.accepted[-1].body["reports"], duty.term
        for i in range(4):
            duty.fleet.kill(i)
        await duty.fleet.wait_for_exit()
        for i in range(4):
            duty.fleet.restart(i)
        await wait_until(lambda: duty.term > term)
        first_report = next(request for request in duty.receiver.accepted if request.token.term > term)
        assert (
            first_report.token.generation == duty.receiver.accepted[0].token.generation
            and first_report.body["reports"] >= before - 6
        )


@asynchronous_test
async def test_a_fleet_that_lost_its_memory_does_nothing_until_an_operator_begins_it_again() -> None:
    """All runners without journals are killed at the same time, so all promises of the registers are lost."""
    async with watch_duty(3) as duty:
        first_generation = duty.receiver.accepted[-1].token.generation
        for i in range(3):
            duty.fleet.kill(i)
        await duty.fleet.wait_for_exit()
        accepted_before = len(duty.receiver.accepted)
        for i in range(3):
            duty.fleet.restart(i)
        for runner in duty.fleet.runners:
            await runner.ready()
        await asyncio.sleep(0.5)
        assert len(duty.receiver.accepted) == accepted_before and (await duty.request(0))[0] == 503
        await duty.fleet.bootstrap()
        await duty.wait_for_reports()
        assert duty.receiver.accepted[-1].token > FencingToken(first_generation, 1 << 30, 1 << 30)


@asynchronous_test
async def test_a_replica_with_a_full_disk_does_not_vote_until_there_is_room() -> None:
    """The leader's disk is full, so it can't make durable promises as a replica."""
    async with watch_duty(journals=True) as duty:
        runner = duty.fleet.runners[duty.leader]

        async def journal() -> str:
            return str((await runner.counters("fleet"))["journal"])

        resource.prlimit(runner.process.pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))

        async def fails() -> bool:
            return await journal() != "written"

        async def written() -> bool:
            return await journal() == "written"

        await until(fails)
        await duty.wait_for_reports()
        resource.prlimit(
            runner.process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        )
        await until(written)
        await duty.wait_for_reports()


@asynchronous_test
async def test_sighup_to_all_runners_does_not_move_the_duty() -> None:
    async with watch_duty() as duty:
        term = duty.term
        for runner in duty.fleet.runners:
            runner.process.send_signal(signal.SIGHUP)
        await duty.wait_for_reports()

        async def read() -> bool:
            return all(
                [(await runner.counters()).get("configurations read") == 1 for runner in duty.fleet.runners]
            )

        await until(read)
        await duty.wait_for_reports()
        assert duty.term == term
