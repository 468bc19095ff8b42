"""Real runners that settle their machines' outages, with faults between them. Each has a file that says which start of
its machine this is, and scripts wait there as in front of a reboot: `moorusher outage ask --wait && reboot`.

What is held against the limit is the machines themselves: from the moment at which a script was told to go until its
runner serves as before.
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

FIGURES = (
    "settle_s = 0.2\ndrain_s = 10.0\nleast_share = 0.3\nfill = 1.0\n"
    "[standing]\nprobe_ms = 200\nreaction_ms = 50\n"
)


class Machines:
    def __init__(self, f: Fleet, folder: Path) -> None:
        self.fleet, self.folder = f, folder
        self.away: set[int] = set()  # may be worked on
        self.most = 0
        self.went: list[int] = []
        self.starts = [1] * len(f.runners)

    # ---- what operators do ----

    async def api(self, i: int, what: str = "", **sent: Any) -> tuple[int, dict[str, Any]]:
        body = json.dumps(sent).encode() if what else b""
        got = await exchange(
            self.fleet.runners[i].admin,
            (
                f"{'POST' if what else 'GET'} /outage/{what} HTTP/1.0\r\nAuthorization: Bearer {TOKEN}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
        )
        head, _, rest = got.partition(b"\r\n\r\n")
        return (int(head.split()[1]), json.loads(rest)) if head else (0, {})

    async def show(self, i: int) -> dict[str, Any]:
        return (await self.api(i))[1]

    async def stage(self, i: int, at: int = 0) -> str:
        """The stage of machine i in the schedule, as a majority has it: asked at another."""
        with suppress(OSError):
            got = await self.show(at)
            if turn := next((t for t in got.get("turns", ()) if t["seat"] == f"n{i}"), None):
                return str(turn["stage"])
            return "waits" if any(w["seat"] == f"n{i}" for w in got.get("order", ())) else ""
        return "?"

    async def until_at(self, i: int, *stages: str, at: int = 0) -> None:
        async def there() -> bool:
            return await self.stage(i, at) in stages

        await until(there)

    async def is_seen_lost(self, by: int, i: int) -> bool:
        """Whether runner `by` takes machine i for dead."""
        members = (await self.fleet.runners[by].counters("fleet"))["members"]
        return next(bool(member["state"] == "dead") for member in members if member["seat"] == f"n{i}")

    async def over(self, at: int = 0) -> None:
        """No request is open."""

        async def none() -> bool:
            with suppress(OSError):
                got = await self.show(at)
                return bool(got.get("current")) and not got["asks"] and not got["turns"]
            return False

        await until(none)

    # ---- what happens to machines ----

    def may_go(self, i: int) -> None:
        self.away.add(i)
        self.went.append(i)
        self.most = max(self.most, len(self.away))

    async def work(self, i: int, lasts: float = 0.3) -> None:
        """It goes down, is worked on, and starts anew."""
        self.fleet.kill(i)
        await self.fleet.wait_for_exit(i)
        await asyncio.sleep(lasts)
        self.start(i)

    def start(self, i: int) -> None:
        self.starts[i] += 1
        (self.folder / f"m{i}").write_text(f"start {self.starts[i]}")
        self.fleet.restart(i)

    async def script(self, i: int, *more: str, lasts: float = 0.3, rest: float = 0.0) -> int:
        """`ask --wait && reboot` on machine i; its exit code."""
        process = await self.ask(i, *more)
        code = await process.wait()
        if code == 0:
            self.may_go(i)
            await asyncio.sleep(rest)
            await self.work(i, lasts)
            await self.back(i)
        return code

    async def ask(self, i: int, *more: str) -> asyncio.subprocess.Process:
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
            *more,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)},
        )

    async def back(self, i: int) -> None:
        await self.fleet.runners[i].ready()
        self.away.discard(i)


@asynccontextmanager
async def machines(n: int = 4, most: int = 1, figures: str = FIGURES, **how: Any) -> AsyncIterator[Machines]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for i in range(n):
            (folder / f"m{i}").write_text("start 1")

        def more(i: int) -> str:
            return f'[outage]\non = true\nmost = {most}\nmost_zone = {most}\nmachine_id = "{folder}/m{i}"\n{figures}'

        async with fleet(n, more=more, **how) as f:
            yield Machines(f, folder)


@asynchronous_test
async def test_all_are_maintained_one_at_a_time_under_load_and_no_keyed_request_runs_twice() -> None:
    """Every machine of the fleet reboots under load, with scripts that wait on each."""
    async with machines(4) as m:
        served, asked, stop = 0, 0, False

        async def client(i: int) -> None:
            nonlocal served, asked
            while not stop:
                with suppress(OSError, TimeoutError):
                    f = await m.fleet.connect_front_end(i)
                    while not stop and i not in m.away:
                        t = token()
                        got = await f.ask("submit", token=t, body=t.encode())
                        asked += 1
                        served += "result" in got
                        await asyncio.sleep(0.02)
                await asyncio.sleep(0.05)

        clients = [asyncio.ensure_future(client(i)) for i in range(4)]
        codes = await asyncio.gather(*(m.script(i, "--together") for i in range(4)))
        await m.over()
        stop = True
        await asyncio.gather(*clients)
        runs = m.fleet.run_bodies()
        assert codes == [0, 0, 0, 0] and sorted(m.went) == [0, 1, 2, 3] and m.most == 1
        assert len(runs) == len(set(runs)) and served > 0.95 * asked > 20


@asynchronous_test
async def test_a_machine_killed_while_it_drains_is_queued_again() -> None:
    """The process of a machine is killed while it drains for its slot. Its next process gives that slot back, and is
    granted a later one.

    A machine drains from the moment that its process has accepted the slot, which raises the schedule's number. One
    that is killed before that has not begun: the next process accepts the same slot, and nothing is queued again.
    """
    async with machines(3, work=30.0) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")  # it drains for as long as that runs: it must not be over before the kill
        assert (await m.api(0, "ask", id="a", seats=["n1"], reason="patch"))[0] == 200
        await m.until_at(1, "draining")
        first = (await m.show(0))["turns"][0]["number"]

        async def accepted() -> bool:
            return bool((await m.show(0))["number"] > first)

        await until(accepted)
        assert (await m.show(0))["turns"][0]["number"] == first
        m.fleet.kill(1)
        await m.fleet.wait_for_exit(1)
        run.cancel()
        m.fleet.restart(1)
        await m.until_at(1, "may go")
        assert (await m.show(0))["turns"][0]["number"] > first
        await m.work(1)
        await m.over()


@asynchronous_test
async def test_the_replica_that_writes_the_next_step_may_be_killed_at_any_of_them() -> None:
    """The replica that grants slots is killed at each of five steps."""
    async with machines(4, journals=True) as m:
        scripts = [asyncio.ensure_future(m.script(i)) for i in (2, 3)]
        for wait in (0.0, 0.15, 0.3, 0.45, 0.6):  # the first keepers in turn, wherever they are with it
            await asyncio.sleep(wait)
            i = round(wait * 7) % 2
            m.fleet.kill(i)
            await m.fleet.wait_for_exit(i)
            m.start(i)
            await m.back(i)
        assert await asyncio.gather(*scripts) == [0, 0] and m.most == 1
        await m.over()


@asynchronous_test
async def test_a_machine_stopped_while_its_grant_is_revoked_does_not_go_when_it_wakes() -> None:
    """A machine is stopped while it drains, its grant is revoked, and it wakes."""
    async with machines(3, work=1.0) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")
        first = asyncio.ensure_future(m.script(1, "--id", "a"))
        await m.until_at(1, "draining")
        m.fleet.pause(1)  # with its run still out, and for longer than every limit
        status, got = await m.api(0, "cancel", id="a", by="another operator")
        assert status == 200 and not got["turns"]
        for i in (0, 2):  # until then nobody can know that it is lost, and another may be granted a slot
            await until(partial(m.is_seen_lost, i, 1))
        second = asyncio.ensure_future(m.script(2))
        await asyncio.sleep(3.5)
        assert not m.went  # stopped it counts as lost, and so as out
        m.fleet.resume(1)
        assert "result" in await run
        assert await first == 5 and await second == 0 and m.went == [2] and m.most == 1


@asynchronous_test
async def test_a_cleared_machine_counts_as_out_until_an_operator_says_otherwise() -> None:
    """A machine was cleared, and its request is withdrawn: it may be worked on all the same."""
    async with machines(3) as m:
        process = await m.ask(1, "--id", "a")
        assert await process.wait() == 0  # and nobody reboots
        status, got = await m.api(0, "cancel", id="a")
        assert status == 409 and got["kind"] == "TooLate" and "outage done" in got["remedy"]
        waits = asyncio.ensure_future(m.script(2))
        await m.until_at(2, "waits")
        await asyncio.sleep(1.5)
        assert await m.stage(1) == "may go" and not m.went
        # Its process dies and is there again, on the same start of its machine: that proves nothing.
        m.fleet.kill(1)
        await m.fleet.wait_for_exit(1)
        m.fleet.restart(1)
        await m.until_at(1, "may go")
        await asyncio.sleep(1.0)
        assert not m.went
        assert (await m.api(0, "done", seat="n1", by="a person"))[0] == 200
        await m.back(1)
        assert await waits == 0 and m.went == [2]


@asynchronous_test
async def test_without_a_majority_no_machine_goes_and_one_that_is_out_comes_back_and_serves() -> None:
    """A majority of the replicas is cut off while a machine is out."""
    async with machines(4, most=2) as m:
        process = await m.ask(1)
        assert await process.wait() == 0
        m.may_go(1)
        m.fleet.isolate(0)
        m.fleet.isolate(2)
        m.fleet.isolate(3)  # each by itself now
        waits = asyncio.ensure_future(m.script(2))
        await m.work(1)
        await m.back(1)  # it serves, whatever the others say
        assert "result" in await (await m.fleet.connect_front_end(1)).ask("check")
        status, got = await m.api(3, "ask", id="x", reason="patch")
        assert status == 503 and got["kind"] == "NoMajority"
        assert not (await m.show(3))["current"] and m.went == [1]
        for i in (0, 2, 3):
            m.fleet.isolate(i, silent=False)
        assert await waits == 0 and m.most == 1
        await m.over()


@asynchronous_test
async def test_in_two_halves_no_machine_goes_on_either_side() -> None:
    """The network splits the fleet into two halves."""
    async with machines(4) as m:
        for (i, j), relay in m.fleet.relays.items():
            if i // 2 != j // 2:
                relay.silence()
        scripts = [asyncio.ensure_future(m.script(i)) for i in (0, 3)]

        async def counted() -> bool:  # the side that can write has it, and counts the other one as out
            told = [await m.show(i) for i in range(4)]
            return any("are out" in w["why"] for got in told for w in got.get("order", ()))

        await until(counted)
        await asyncio.sleep(1.0)
        assert not m.went
        for relay in m.fleet.relays.values():
            relay.resume()
        assert await asyncio.gather(*scripts) == [0, 0] and m.most == 1


@asynchronous_test
async def test_two_operators_who_request_everything_at_once_get_it_one_at_a_time() -> None:
    async with machines(3) as m:
        asked = [
            m.api(i, "ask", id=id, all=True, reason=id, by=id, lasts_s=1) for i, id in ((0, "a"), (1, "b"))
        ]
        asked += [m.api(2, "ask", id="b", all=True, reason="b", by="b", lasts_s=1) for _ in range(4)]
        assert {status for status, _ in await asyncio.gather(*asked)} == {200}
        assert (await m.api(0, "ask", id="a", all=True, reason="another"))[1]["kind"] == "OtherAsk"
        flood = [
            asyncio.ensure_future(m.api(i % 3)) for i in range(200)
        ]  # and the console is asked all the time

        async def granted(i: int, id: str) -> str:
            while True:
                with suppress(OSError):
                    _, got = await m.api(i, "wait", id=id, for_s=5)
                    if got.get("word") == "granted":
                        return id

        async def waits(i: int) -> None:
            """Either operator's ask may have come first."""
            left = {"a", "b"}
            while left:
                tries = [asyncio.ensure_future(granted(i, id)) for id in left]
                done, rest = await asyncio.wait(tries, return_when=asyncio.FIRST_COMPLETED)
                for one in rest:
                    one.cancel()
                left.discard(done.pop().result())
                m.may_go(i)
                await m.work(i, 0.1)
                await m.back(i)

        await asyncio.gather(*(waits(i) for i in range(3)))
        await asyncio.gather(*flood, return_exceptions=True)
        await m.over()
        assert sorted(m.went) == [0, 0, 1, 1, 2, 2] and m.most == 1


@asynchronous_test
async def test_a_lost_machine_counts_as_out() -> None:
    """A machine is lost that nobody asked to go."""
    async with machines(4) as m:
        m.fleet.kill(3)
        waits = asyncio.ensure_future(m.script(1))

        async def said() -> bool:
            got = await m.show(0)
            return any("n3 is out" in w["why"] for w in got.get("order", ()))

        await until(said)
        await asyncio.sleep(1.0)
        assert not m.went
        await m.fleet.wait_for_exit(3)
        m.start(3)
        assert await waits == 0


@asynchronous_test
async def test_a_lower_bound_in_its_own_file_holds_for_a_machine_granted_under_a_higher() -> None:
    async with machines(5, most=2, work=2.0, journals=True) as m:
        process = await m.ask(0, "--together")
        assert await process.wait() == 0
        m.may_go(0)
        front = await m.fleet.connect_front_end(2)
        run = front.send("check")
        second = asyncio.ensure_future(m.script(2, "--together"))
        await m.until_at(2, "draining", at=1)
        fronts = m.fleet.runners[2].fronts
        fronts.write_text(fronts.read_text().replace("most = 2", "most = 1"))
        m.fleet.runners[2].process.send_signal(signal.SIGHUP)
        assert "result" in await run
        await m.until_at(2, "waits", at=1)
        await asyncio.sleep(0.5)
        assert m.went == [0]
        await m.work(0)
        await m.back(0)
        assert await second == 0 and m.most == 1


@asynchronous_test
async def test_a_process_that_replaces_another_goes_on_with_the_slot() -> None:
    async with machines(3) as m:
        process = await m.ask(1)
        assert await process.wait() == 0
        m.may_go(1)
        more = Kernel()
        more.listen()
        try:
            m.fleet.runners[1].start(more.port)  # a rolling deployment comes by
            await asyncio.sleep(1.5)
            m.fleet.runners[1].processes[-2].terminate()
            await asyncio.wait_for(asyncio.to_thread(m.fleet.runners[1].processes[-2].wait), 10)
            second = asyncio.ensure_future(m.script(2))
            await asyncio.sleep(1.5)
            assert await m.stage(1) == "may go" and m.went == [1]
            await m.work(1)
            await m.back(1)
            assert await second == 0 and m.most == 1
        finally:
            more.close()


@asynchronous_test
async def test_a_request_whose_caller_is_gone_is_withdrawn_and_the_machine_serves_on() -> None:
    """The script that waits for the machine is killed."""
    async with machines(3, work=1.5) as m:
        front = await m.fleet.connect_front_end(1)
        run = front.send("check")
        for number in (signal.SIGKILL, signal.SIGTERM):
            process = await m.ask(1)
            await m.until_at(1, "draining", "waits")
            process.send_signal(number)
            await process.wait()
            await m.over()
        assert "result" in await run
        await m.back(1)
        assert "result" in await (await m.fleet.connect_front_end(1)).ask("check")


@asynchronous_test
async def test_with_journals_the_schedule_outlives_the_whole_fleet() -> None:
    """All runners lose power at one time and restart with their journals."""
    async with machines(3, journals=True) as m:
        assert (await m.api(0, "hold", why="a freeze"))[0] == 200
        assert (await m.api(0, "ask", id="a", all=True, reason="patch", lasts_s=1))[0] == 200
        process = await m.ask(1, "--id", "b", "--priority", "9")

        async def asked() -> bool:  # both: else a's turn may come first, and nobody is there who would end it
            return {a["id"] for a in (await m.show(0)).get("asks", ())} == {"a", "b"}

        await until(asked)
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

        async def there() -> bool:
            with suppress(OSError):
                got = await m.show(2)
                return bool(got.get("current")) and got["number"] >= before["number"]
            return False

        await until(there)
        after = await m.show(2)
        assert {a["id"] for a in after["asks"]} == {a["id"] for a in before["asks"]}
        out = [t["seat"] for t in before["turns"] if t["stage"] == "may go"]
        assert out and all(seat in [t["seat"] for t in after["turns"]] for seat in out)
