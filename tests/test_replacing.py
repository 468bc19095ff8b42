"""A second process beside the first, over real sockets: what must hold for the pair, and the main ways to break it."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from moorusher.hot_restart.shared_budget import rendezvous_path

from .faults.day import INJECT
from .stand_ins import HOST, FrontEnd, Kernel, Runner, content, running, until
from .test_sockets import asynchronous_test, new_key, wait_until

pytestmark = pytest.mark.processes


class Both:
    """A runner with two processes' kernels."""

    def __init__(self, runner: Runner, kernels: list[Kernel]) -> None:
        self.runner, self.kernels = runner, kernels

    async def begin(self, *, late: float = 0.0, work: float = 0.0) -> None:
        kernel = Kernel(boot_delay_s=late, work=work)
        kernel.listen()
        self.kernels.append(kernel)
        self.runner.start(kernel.port)

    async def replace(self, **how: float) -> None:
        await self.begin(**how)
        await self.runner.says_yes()

    def ran(self) -> list[bytes]:
        return [body for kernel in self.kernels for _, _, body in kernel.runs]


@asynccontextmanager
async def pair(work: float = 0.0, beside: dict[str, bytes] | None = None) -> AsyncIterator[Both]:
    kernel = Kernel(work=work)
    async with running(kernel) as runner:
        both = Both(runner, [kernel])
        await runner.says_yes()
        try:
            yield both
        finally:
            for k in both.kernels[1:]:
                k.close()


@asynchronous_test
async def test_a_process_whose_name_could_not_be_made_is_found_once_it_can() -> None:
    async with running(Kernel(), wait=False) as r:
        in_the_way = Path(rendezvous_path(str(r.spool), "n1", (HOST, r.port)) or "")
        in_the_way.mkdir()
        await r.ready()
        await wait_until(lambda: "no further process can find this one yet" in r.text())
        in_the_way.rmdir()
        await wait_until(in_the_way.is_socket)
        (further := Kernel()).listen()
        r.start(further.port)
        await r.says_yes()
        assert "a further process of this runner has come" in r.text()
        further.close()


@asynchronous_test
async def test_sockets_that_can_not_be_taken_over_for_a_moment_lose_nobody_who_waits_on_them(
    tmp_path: Path,
) -> None:
    """The former process no longer accepts on them: who is let in by nobody is lost as it ends."""
    async with pair() as both:
        runner = both.runner
        plan = json.dumps([("dup", "ENFILE", 0, 2.5, 1.0)])
        start = tmp_path / "start"
        runner.environment = {"PYTHONPATH": str(INJECT), "FAULT_PLAN": plan, "FAULT_START": str(start)}
        former = runner.process
        await both.begin(late=1.5)
        await wait_until(lambda: "a further process of this runner has come" in runner.text())
        start.touch()
        answers = []
        while "can't listen yet" not in runner.text() or not runner.text().count("finishes, and the other"):
            await asyncio.sleep(0.02)
        for _ in range(40):
            front = await FrontEnd.connect(runner.port)
            answers.append((front, front.send("check", body=b"one")))
            await asyncio.sleep(0.02)
        await runner.says_yes()
        former.send_signal(signal.SIGTERM)
        for _, answer in answers:
            assert (await asyncio.wait_for(answer, 8)).keys() & {"result", "error"}
        await asyncio.to_thread(former.wait)


@asynchronous_test
async def test_under_load_nothing_is_lost_at_the_door_and_the_old_process_ends_in_order() -> None:
    async with pair(work=0.05) as both:
        answers: list[dict[str, object]] = []
        stop = False

        async def client() -> None:
            f = await FrontEnd.connect(both.runner.port)
            while not stop:
                if f.stray:  # `leaving`: no new request on it
                    f = await FrontEnd.connect(both.runner.port)
                answers.append(await f.ask("check"))
                await asyncio.sleep(0.01)

        clients = [asyncio.create_task(client()) for _ in range(8)]
        await wait_until(lambda: len(answers) > 20)
        await both.replace()
        old = both.runner.processes[0]
        old.send_signal(signal.SIGTERM)
        await wait_until(lambda: old.poll() is not None)
        seen = len(answers)
        await wait_until(lambda: len(answers) > seen + 20)
        stop = True
        await asyncio.gather(*clients)  # a connection that was cut would raise here
        assert old.returncode == 0
        assert all("result" in a or a["error"]["code"] == -32014 for a in answers)  # type: ignore[index]


@asynchronous_test
async def test_a_repeat_at_the_new_process_gets_the_result_of_the_run_at_the_old_one() -> None:
    async with pair(work=1.0) as both:
        token = new_key()
        first = await FrontEnd.connect(both.runner.port)
        asked = first.send("submit", token=token, body=b"once")
        await wait_until(lambda: both.ran() == [b"once"])
        await both.replace()
        second = await FrontEnd.connect(both.runner.port)
        repeat = second.send("submit", token=token, body=b"once")
        both.runner.processes[0].send_signal(signal.SIGTERM)
        assert (
            content(await asyncio.wait_for(asked, 10))
            == content(await asyncio.wait_for(repeat, 10))
            == b"did once"
        )
        assert (
            content(await second.ask("submit", token=token, body=b"once")) == b"did once"
        )  # also once it is gone
        assert both.ran() == [b"once"]


@asynchronous_test
async def test_the_old_process_killed_with_a_run_open_leaves_a_key_that_never_runs_again() -> None:
    async with pair(work=30.0) as both:
        token = new_key()
        first = await FrontEnd.connect(both.runner.port)
        first.send("submit", token=token, body=b"once")
        await wait_until(lambda: both.ran() == [b"once"])
        await both.replace()
        second = await FrontEnd.connect(both.runner.port)
        repeat = second.send("submit", token=token, body=b"once")
        await asyncio.sleep(0.1)
        both.runner.processes[0].kill()
        assert "error" in await asyncio.wait_for(repeat, 10)
        assert "error" in await second.ask("submit", token=token, body=b"once")
        assert "result" in await second.ask("submit", token=new_key(), body=b"other")
        assert both.ran() == [b"once", b"other"]


@asynchronous_test
async def test_a_new_process_that_dies_leaves_the_old_one_as_it_was() -> None:
    async with pair() as both:
        r, first = both.runner, both.runner.console
        await both.begin(late=3600)  # it waits for its kernel: not ready
        await wait_until(lambda: "hands its keys over" in r.text())
        assert await r.asked("health") == 503
        r.processes[1].kill()
        f = await FrontEnd.connect(r.port)
        token = new_key()
        assert "result" in await f.ask("submit", token=token)
        await both.replace()  # ready, and let on
        r.processes[2].kill()
        await wait_until(lambda: r.text().count("is alone (the other one has died)") >= 2)
        f = await FrontEnd.connect(r.port)
        assert "result" in await f.ask("submit", token=token) and len(both.ran()) == 1
        assert await r.asked("health", first) == 200


@asynchronous_test
async def test_a_hung_process_is_not_waited_for_and_no_key_runs_until_it_is_gone() -> None:
    async with pair() as both:
        r = both.runner
        old = r.processes[0]
        old.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        await both.replace()
        assert time.monotonic() - began < 6
        for _ in range(
            40
        ):  # the hung one has a queue of its own at the address: the kernel shares out between both
            f = await FrontEnd.connect(r.port)
            try:
                refused = await asyncio.wait_for(f.send("submit", token=new_key()), 0.5)
                break
            except TimeoutError:
                f.close()
        assert refused["error"]["code"] == -32014 and "result" in await f.ask("check")
        old.send_signal(signal.SIGCONT)  # it speaks again: its keys are read, and it is let go
        await wait_until(lambda: "serves, and the other one finishes" in r.text())
        f = await FrontEnd.connect(r.port)
        assert "result" in await f.ask("submit", token=new_key())


@asynchronous_test
async def test_what_lies_about_in_tmpdir_stops_no_start() -> None:
    async with pair() as both:
        r = both.runner
        (place,) = Path(r.spool).iterdir()
        r.processes[0].kill()
        r.processes[0].wait()
        await both.replace()  # the file of a dead process: what it ran nobody knows
        f = await FrontEnd.connect(r.port)
        assert (await f.ask("submit", token=new_key()))["error"]["code"] == -32014
        assert "result" in await f.ask("check")
        r.processes[1].kill()
        r.processes[1].wait()
        place.unlink()
        place.write_bytes(b'{"t":"WELC')  # no socket at all
        await both.replace()
        f = await FrontEnd.connect(r.port)
        assert "result" in await f.ask("submit", token=new_key())
        with socket.socket(socket.AF_UNIX) as s:  # somebody who speaks nonsense to the one in service
            s.connect(str(place))
            s.sendall(b"\x00\x00\x00\x05nonse\xff\xff\xff\xff")
        assert "result" in await f.ask("check")


@asynchronous_test
async def test_a_drained_runner_stays_drained_over_a_replacement_and_either_console_ends_it() -> None:
    async with pair() as both:
        r, first = both.runner, both.runner.console
        assert await r.asked("quiesce") == 200 and await r.asked("health") == 503
        await both.begin()
        await wait_until(lambda: "serves, and the other one finishes" in r.text())
        assert await r.asked("health") == 503
        assert await r.asked("resume", first) == 200
        await r.says_yes()
        assert await r.asked("quiesce") == 200

        async def told() -> bool:  # by the other process: the word is on its way when the first one answers
            return await r.asked("health", first) == 503

        await until(told)


@asynchronous_test
async def test_a_second_replacement_waits_for_the_first_and_sigterm_without_one_is_the_notice_to_leave() -> (
    None
):
    async with pair() as both:
        r = both.runner
        await both.replace()
        await both.begin()
        await wait_until(lambda: r.text().count("has come:") >= 2)
        assert await r.asked("health") == 503
        r.processes[0].send_signal(signal.SIGTERM)
        await r.says_yes()
        r.processes[1].send_signal(signal.SIGTERM)
        await wait_until(lambda: r.processes[1].poll() == 0)
        f = await FrontEnd.connect(r.port)
        r.processes[2].send_signal(signal.SIGTERM)
        await wait_until(lambda: r.text().count("leaving within") == 1)
        assert (await f.ask("heartbeat"))["result"]["fit"] is False


@asynchronous_test
async def test_a_new_process_told_to_leave_before_its_kernel_is_up_leaves_the_old_one_in_service() -> None:
    async with pair() as both:
        r, first = both.runner, both.runner.console
        await both.begin(late=3600)
        await wait_until(lambda: "has its keys, and waits for the kernel" in r.text())
        r.processes[1].send_signal(signal.SIGTERM)
        await wait_until(lambda: r.processes[1].poll() is not None)
        both.kernels[1].finish_boot()
        assert r.processes[1].returncode == 0 and "and the other one serves" not in r.text()
        assert await r.asked("health", first) == 200
        assert "result" in await (await FrontEnd.connect(r.port)).ask("submit", token=new_key())


@asynchronous_test
async def test_a_new_process_told_to_leave_as_its_kernel_comes_up_is_never_let_on() -> None:
    async with pair() as both:
        r, first = both.runner, both.runner.console
        await both.begin(late=3600)
        await wait_until(lambda: "has its keys, and waits for the kernel" in r.text())
        r.processes[1].send_signal(signal.SIGSTOP)  # the kernel's word and the signal wait for it together
        both.kernels[1].finish_boot()
        r.processes[1].send_signal(signal.SIGTERM)
        r.processes[1].send_signal(signal.SIGCONT)
        await wait_until(lambda: r.processes[1].poll() is not None)
        assert await r.asked("health", first) == 200
        assert "result" in await (await FrontEnd.connect(r.port)).ask("submit", token=new_key())
