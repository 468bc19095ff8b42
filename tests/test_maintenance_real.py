"""Planned maintenance with real runners, and faults between them.

Each runner has a file with the boot id of its machine. Scripts wait there as an operator's script does before a reboot:
`moorusher outage ask --wait && reboot`. A machine counts against the limit from the time at which its script is cleared
until its runner is ready again.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from .fleets import TOKEN, Fleet, fleet, token
from .stand_ins import HOST, Kernel, exchange, until
from .test_sockets import asynchronous_test

pytestmark = pytest.mark.processes

SETTINGS = (
    "settle_s = 0.2\ndrain_s = 10.0\nleast_share = 0.3\nfill = 1.0\n"
    "[standing]\nprobe_ms = 200\nreaction_ms = 50\n"
)


class Machines:
    """The machines of a fleet, and the operators' scripts on them.

    Attributes:
        cleared: Machines that are cleared now.
        max_cleared: Most machines that were cleared at a time.
        cleared_machines: Machines in the order in which they were cleared.
        boots: Number of boots of each machine.
    """

    def __init__(self, running_fleet: Fleet, folder: Path) -> None:
        self.fleet, self.folder = running_fleet, folder
        self.cleared: set[int] = set()
        self.max_cleared = 0
        self.cleared_machines: list[int] = []
        self.boots = [1] * len(running_fleet.runners)

    # ---- what operators do ----

    async def api(self, i: int, operation: str = "", **parameters: Any) -> tuple[int, dict[str, Any]]:
        body = json.dumps(parameters).encode() if operation else b""
        answer = await exchange(
            self.fleet.runners[i].admin,
            (
                f"{'POST' if operation else 'GET'} /outage/{operation} HTTP/1.0\r\nAuthorization: Bearer {TOKEN}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
        )
        head, _, rest = answer.partition(b"\r\n\r\n")
        return (int(head.split()[1]), json.loads(rest)) if head else (0, {})

    async def show(self, i: int) -> dict[str, Any]:
        return (await self.api(i))[1]

    async def stage(self, i: int, at: int = 0) -> str:
        """Return the stage of machine i in the schedule, read at runner `at`."""
        with suppress(OSError):
            answer = await self.show(at)
            if turn := next((t for t in answer.get("turns", ()) if t["seat"] == f"n{i}"), None):
                return str(turn["stage"])
            return "waits" if any(w["seat"] == f"n{i}" for w in answer.get("order", ())) else ""
        return "?"

    async def wait_for_stage(self, i: int, *stages: str, at: int = 0) -> None:
        async def has_stage() -> bool:
            return await self.stage(i, at) in stages

        await until(has_stage)

    async def is_seen_lost(self, by: int, i: int) -> bool:
        """Return whether runner `by` considers machine i dead."""
        members = (await self.fleet.runners[by].counters("fleet"))["members"]
        return next(bool(member["state"] == "dead") for member in members if member["seat"] == f"n{i}")

    async def wait_until_no_requests(self, at: int = 0) -> None:
        """Wait until no request is open and no slot is granted."""

        async def has_no_requests() -> bool:
            with suppress(OSError):
                answer = await self.show(at)
                return bool(answer.get("current")) and not answer["asks"] and not answer["turns"]
            return False

        await until(has_no_requests)

    # ---- what happens to machines ----

    def mark_cleared(self, i: int) -> None:
        self.cleared.add(i)
        self.cleared_machines.append(i)
        self.max_cleared = max(self.max_cleared, len(self.cleared))

    async def reboot(self, i: int, work_s: float = 0.3) -> None:
        """Kill the runner, wait for the work to be done, and start the runner on a new boot."""
        self.fleet.kill(i)
        await self.fleet.wait_for_exit(i)
        await asyncio.sleep(work_s)
        self.start(i)

    def start(self, i: int) -> None:
        self.boots[i] += 1
        (self.folder / f"m{i}").write_text(f"start {self.boots[i]}")
        self.fleet.restart(i)

    async def script(self, i: int, *arguments: str, work_s: float = 0.3, delay_s: float = 0.0) -> int:
        """Run `ask --wait && reboot` on machine i, and return the exit code of `ask`."""
        process = await self.ask(i, *arguments)
        code = await process.wait()
        if code == 0:
            self.mark_cleared(i)
            await asyncio.sleep(delay_s)
            await self.reboot(i, work_s)
            await self.wait_until_serving(i)
        return code

    async def ask(self, i: int, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "moorusher",
            "outage",
            "ask",
            "--wait",
            "--lasts",
            "1s",
            "--address",
            f"{HOST}:{self.fleet.runners[i].admin}",
            "--token",
            TOKEN,
            *arguments,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)},
        )

    async def wait_until_serving(self, i: int) -> None:
        await self.fleet.runners[i].ready()
        self.cleared.discard(i)


@asynccontextmanager
async def machines(
    n: int = 4, most: int = 1, settings: str = SETTINGS, **options: Any
) -> AsyncIterator[Machines]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for i in range(n):
            (folder / f"m{i}").write_text("start 1")

        def settings_of(i: int) -> str:
            return f'[outage]\non = true\nmost = {most}\nmost_zone = {most}\nmachine_id = "{folder}/m{i}"\n{settings}'

        async with fleet(n, more=settings_of, **options) as running_fleet:
            yield Machines(running_fleet, folder)


@asynchronous_test
async def test_all_are_maintained_one_at_a_time_under_load_and_no_keyed_request_runs_twice() -> None:
    """Every machine of the fleet reboots under load, with a script that waits on each."""
    async with machines(4) as m:
        served, sent, stop = 0, 0, False

        async def client(i: int) -> None:
            nonlocal served, sent
            while not stop:
                with suppress(OSError, TimeoutError):
                    front = await m.fleet.connect_front_end(i)
                    while not stop and i not in m.cleared:
                        key = token()
                        answer = await front.ask("submit", token=key, body=key.encode())
                        sent += 1
                        served += "result" in answer
                        await asyncio.sleep(0.02)
                await asyncio.sleep(0.05)

        clients = [asyncio.ensure_future(client(i)) for i in range(4)]
        codes = await asyncio.gather(*(m.script(i, "--together") for i in range(4)))
        await m.wait_until_no_requests()
        stop = True
        await asyncio.gather(*clients)
        runs = m.fleet.run_bodies()
        assert codes == [0, 0, 0, 0] and sorted(m.cleared_machines) == [0, 1, 2, 3] and m.max_cleared == 1
        assert len(runs) == len(set(runs)) and served > 0.95 * sent > 20


@asynchronous_test
async def test_a_machine_killed_while_it_drains_is_queued_again() -> None:
    """The process of a machine is killed while it drains. The next process returns the slot and is granted a later one.

    A machine drains once its process has accepted the slot, which increases the revision of the schedule. If the
    process is killed before that, the next process accepts the same slot, and the machine is not queued again.
    """
    async with machines(3, work=30.0) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")  # The machine drains until this run ends, which is after the kill.
        assert (await m.api(0, "ask", id="a", seats=["n1"], reason="patch"))[0] == 200
        await m.wait_for_stage(1, "draining")
        first = (await m.show(0))["turns"][0]["number"]

        async def accepted() -> bool:
            return bool((await m.show(0))["number"] > first)

        await until(accepted)
        assert (await m.show(0))["turns"][0]["number"] == first
        m.fleet.kill(1)
        await m.fleet.wait_for_exit(1)
        run.cancel()
        m.fleet.restart(1)
        await m.wait_for_stage(1, "may go")
        assert (await m.show(0))["turns"][0]["number"] > first
        await m.reboot(1)
        await m.wait_until_no_requests()


@asynchronous_test
async def test_the_replica_that_grants_slots_may_be_killed_at_any_step() -> None:
    """The replica that grants slots is killed at each of five steps."""
    async with machines(4, journals=True) as m:
        scripts = [asyncio.ensure_future(m.script(i)) for i in (2, 3)]
        for wait in (0.0, 0.15, 0.3, 0.45, 0.6):  # kills the first two replicas in turn, each at another step
            await asyncio.sleep(wait)
            i = round(wait * 7) % 2
            m.fleet.kill(i)
            await m.fleet.wait_for_exit(i)
            m.start(i)
            await m.wait_until_serving(i)
        assert await asyncio.gather(*scripts) == [0, 0] and m.max_cleared == 1
        await m.wait_until_no_requests()


@asynchronous_test
async def test_a_machine_suspended_while_its_grant_is_revoked_is_not_cleared_when_it_resumes() -> None:
    """A machine is suspended while it drains, its grant is revoked, and it resumes."""
    async with machines(3, work=1.0) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")
        first = asyncio.ensure_future(m.script(1, "--id", "a"))
        await m.wait_for_stage(1, "draining")
        m.fleet.pause(1)  # while its run is open, and for longer than every timeout
        status, answer = await m.api(0, "cancel", id="a", by="another operator")
        assert status == 200 and not answer["turns"]
        # Before the others have detected the loss, another machine may be granted a slot.
        for i in (0, 2):
            await until(partial(m.is_seen_lost, i, 1))
        second = asyncio.ensure_future(m.script(2))
        await asyncio.sleep(3.5)
        assert not m.cleared_machines  # A suspended machine counts as lost, and a lost machine counts as out.
        m.fleet.resume(1)
        assert "result" in await run
        assert await first == 5 and await second == 0 and m.cleared_machines == [2] and m.max_cleared == 1


@asynchronous_test
async def test_a_cleared_machine_counts_as_out_until_an_operator_finishes_its_slot() -> None:
    """A machine is cleared and its request is withdrawn, but an operator may already work on the machine."""
    async with machines(3) as m:
        process = await m.ask(1, "--id", "a")
        assert await process.wait() == 0  # cleared, but not rebooted
        status, answer = await m.api(0, "cancel", id="a")
        assert status == 409 and answer["kind"] == "TooLate" and "outage done" in answer["remedy"]
        second = asyncio.ensure_future(m.script(2))
        await m.wait_for_stage(2, "waits")
        await asyncio.sleep(1.5)
        assert await m.stage(1) == "may go" and not m.cleared_machines
        # Its process restarts on the same boot, which does not prove that the work is over.
        m.fleet.kill(1)
        await m.fleet.wait_for_exit(1)
        m.fleet.restart(1)
        await m.wait_for_stage(1, "may go")
        await asyncio.sleep(1.0)
        assert not m.cleared_machines
        assert (await m.api(0, "done", seat="n1", by="a person"))[0] == 200
        await m.wait_until_serving(1)
        assert await second == 0 and m.cleared_machines == [2]


@asynchronous_test
async def test_without_a_majority_no_machine_is_cleared_and_one_that_is_out_returns_and_serves() -> None:
    """No majority of the replicas is connected while a machine is out."""
    async with machines(4, most=2) as m:
        process = await m.ask(1)
        assert await process.wait() == 0
        m.mark_cleared(1)
        m.fleet.isolate(0)
        m.fleet.isolate(2)
        m.fleet.isolate(3)  # each runner is isolated now
        second = asyncio.ensure_future(m.script(2))
        await m.reboot(1)
        await m.wait_until_serving(1)  # The machine that was out serves without a connection to the others.
        assert "result" in await (await m.fleet.connect_front_end(1)).ask("check")
        status, answer = await m.api(3, "ask", id="x", reason="patch")
        assert status == 503 and answer["kind"] == "NoMajority"
        assert not (await m.show(3))["current"] and m.cleared_machines == [1]
        for i in (0, 2, 3):
            m.fleet.isolate(i, silent=False)
        assert await second == 0 and m.max_cleared == 1
        await m.wait_until_no_requests()


@asynchronous_test
async def test_in_a_fleet_split_in_halves_no_machine_is_cleared_on_either_side() -> None:
    """The network splits the fleet into two halves."""
    async with machines(4) as m:
        for (i, j), relay in m.fleet.relays.items():
            if i // 2 != j // 2:
                relay.silence()
        scripts = [asyncio.ensure_future(m.script(i)) for i in (0, 3)]

        async def other_half_is_out() -> bool:  # at a runner of the half with a majority of the replicas
            answers = [await m.show(i) for i in range(4)]
            return any("are out" in w["why"] for answer in answers for w in answer.get("order", ()))

        await until(other_half_is_out)
        await asyncio.sleep(1.0)
        assert not m.cleared_machines
        for relay in m.fleet.relays.values():
            relay.resume()
        assert await asyncio.gather(*scripts) == [0, 0] and m.max_cleared == 1


@asynchronous_test
async def test_simultaneous_requests_of_two_operators_for_all_machines_are_granted_one_at_a_time() -> None:
    async with machines(3) as m:
        requests = [
            m.api(i, "ask", id=id, all=True, reason=id, by=id, lasts_s=1) for i, id in ((0, "a"), (1, "b"))
        ]
        requests += [m.api(2, "ask", id="b", all=True, reason="b", by="b", lasts_s=1) for _ in range(4)]
        assert {status for status, _ in await asyncio.gather(*requests)} == {200}
        assert (await m.api(0, "ask", id="a", all=True, reason="another"))[1]["kind"] == "OtherAsk"
        # Reads of the schedule compete with the requests.
        reads = [asyncio.ensure_future(m.api(i % 3)) for i in range(200)]

        async def granted(i: int, id: str) -> str:
            while True:
                with suppress(OSError):
                    _, answer = await m.api(i, "wait", id=id, for_s=5)
                    if answer.get("word") == "granted":
                        return id

        async def complete_both(i: int) -> None:
            """Reboot machine i for each of the two requests, whichever is granted first."""
            remaining = {"a", "b"}
            while remaining:
                waits = [asyncio.ensure_future(granted(i, id)) for id in remaining]
                done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                for wait in pending:
                    wait.cancel()
                remaining.discard(done.pop().result())
                m.mark_cleared(i)
                await m.reboot(i, 0.1)
                await m.wait_until_serving(i)

        await asyncio.gather(*(complete_both(i) for i in range(3)))
        await asyncio.gather(*reads, return_exceptions=True)
        await m.wait_until_no_requests()
        assert sorted(m.cleared_machines) == [0, 0, 1, 1, 2, 2] and m.max_cleared == 1


@asynchronous_test
async def test_a_lost_machine_counts_as_out() -> None:
    """A machine is lost without a request for its maintenance."""
    async with machines(4) as m:
        m.fleet.kill(3)
        script = asyncio.ensure_future(m.script(1))

        async def lost_is_out() -> bool:
            answer = await m.show(0)
            return any("n3 is out" in w["why"] for w in answer.get("order", ()))

        await until(lost_is_out)
        await asyncio.sleep(1.0)
        assert not m.cleared_machines
        await m.fleet.wait_for_exit(3)
        m.start(3)
        assert await script == 0


@asynchronous_test
async def test_a_machine_obeys_a_lower_limit_in_its_own_settings_than_its_grant_had() -> None:
    async with machines(5, most=2, work=2.0, journals=True) as m:
        process = await m.ask(0, "--together")
        assert await process.wait() == 0
        m.mark_cleared(0)
        front = await m.fleet.connect_front_end(2)
        run = front.send("check")
        second = asyncio.ensure_future(m.script(2, "--together"))
        await m.wait_for_stage(2, "draining", at=1)
        fronts = m.fleet.runners[2].fronts
        fronts.write_text(fronts.read_text().replace("most = 2", "most = 1"))
        m.fleet.runners[2].process.send_signal(signal.SIGHUP)
        assert "result" in await run
        await m.wait_for_stage(2, "waits", at=1)
        await asyncio.sleep(0.5)
        assert m.cleared_machines == [0]
        await m.reboot(0)
        await m.wait_until_serving(0)
        assert await second == 0 and m.max_cleared == 1


@asynchronous_test
async def test_a_process_that_replaces_another_continues_with_its_slot() -> None:
    async with machines(3) as m:
        process = await m.ask(1)
        assert await process.wait() == 0
        m.mark_cleared(1)
        second_kernel = Kernel()
        second_kernel.listen()
        try:
            m.fleet.runners[1].start(second_kernel.port)  # as in a rolling deployment
            await asyncio.sleep(1.5)
            m.fleet.runners[1].processes[-2].terminate()
            await asyncio.wait_for(asyncio.to_thread(m.fleet.runners[1].processes[-2].wait), 10)
            second = asyncio.ensure_future(m.script(2))
            await asyncio.sleep(1.5)
            assert await m.stage(1) == "may go" and m.cleared_machines == [1]
            await m.reboot(1)
            await m.wait_until_serving(1)
            assert await second == 0 and m.max_cleared == 1
        finally:
            second_kernel.close()


@asynchronous_test
async def test_a_request_whose_caller_has_exited_is_withdrawn_and_the_machine_keeps_serving() -> None:
    """The script that waits for the machine is killed."""
    async with machines(3, work=1.5) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")
        for number in (signal.SIGKILL, signal.SIGTERM):
            process = await m.ask(1)
            await m.wait_for_stage(1, "draining", "waits")
            process.send_signal(number)
            await process.wait()
            await m.wait_until_no_requests()
        assert "result" in await run
        await m.wait_until_serving(1)
        assert "result" in await (await m.fleet.connect_front_end(1)).ask("check")


@asynchronous_test
async def test_with_journals_the_schedule_survives_a_restart_of_the_whole_fleet() -> None:
    """All runners are killed at the same time and restart with their journals."""
    async with machines(3, journals=True) as m:
        assert (await m.api(0, "hold", why="a freeze"))[0] == 200
        assert (await m.api(0, "ask", id="a", all=True, reason="patch", lasts_s=1))[0] == 200
        process = await m.ask(1, "--id", "b", "--priority", "9")

        # Both requests must be open before the resumption. Otherwise a slot of "a" may be granted first, and no script
        # would do the work and end that slot.
        async def both_are_open() -> bool:
            return {a["id"] for a in (await m.show(0)).get("asks", ())} == {"a", "b"}

        await until(both_are_open)
        assert (await m.api(1, "resume"))[0] == 200
        await process.wait()
        before = await m.show(0)
        for i in range(3):
            m.fleet.kill(i)
        await m.fleet.wait_for_exit()
        for i in range(3):
            m.fleet.restart(i)
        for i in range(3):
            await m.fleet.runners[i].ready() if f"n{i}" not in [t["seat"] for t in before["turns"]] else None

        async def is_recovered() -> bool:
            with suppress(OSError):
                answer = await m.show(2)
                return bool(answer.get("current")) and answer["number"] >= before["number"]
            return False

        await until(is_recovered)
        after = await m.show(2)
        assert {a["id"] for a in after["asks"]} == {a["id"] for a in before["asks"]}
        out = [t["seat"] for t in before["turns"] if t["stage"] == "may go"]
        assert out and all(seat in [t["seat"] for t in after["turns"]] for seat in out)
