"""Shutdown of a real process with open requests, with the order of events forced by barriers."""

from __future__ import annotations

import asyncio
import signal

import pytest

from .stand_ins import HOST, WAIT, FrontEnd, Kernel, exchange, running, status, uwsgi_request
from .test_sockets import asynchronous_test, new_key, wait_until

pytestmark = pytest.mark.processes


@asynchronous_test
async def test_a_reloaded_stop_time_applies_to_the_next_sigterm() -> None:
    async with running(Kernel(hang=True)) as runner:
        front_end = await FrontEnd.connect(runner.port)
        pending = [front_end.send("submit", token=new_key()) for _ in range(4)]
        runner.reload(stop_ms=1300)
        await wait_until(lambda: "configuration read again" in runner.read_log())
        runner.process.send_signal(signal.SIGTERM)
        answers = await asyncio.wait_for(asyncio.gather(*pending), WAIT)
        assert (
            all("error" in answer for answer in answers)
            and "draining: exits within 1300 ms" in runner.read_log()
        )
        await wait_until(lambda: runner.process.poll() == 0)


@asynchronous_test
async def test_all_requests_are_answered_before_the_earliest_sigkill_despite_a_longer_stop_time() -> None:
    """SIGKILL may follow SIGTERM after the longest deadline of all requests (here at most 3 s) plus 0.7 s."""
    async with running(Kernel(hang=True)) as runner:
        runner.reload(stop_ms=9_000)
        await wait_until(lambda: "configuration read again" in runner.read_log())
        front_end = await FrontEnd.connect(runner.port)
        pending = [front_end.send("submit", token=new_key()) for _ in range(4)]
        runner.process.send_signal(signal.SIGTERM)
        answers = await asyncio.wait_for(asyncio.gather(*pending), 3.7)
        assert (
            all("error" in answer for answer in answers)
            and "draining: exits within 3700 ms" in runner.read_log()
        )
        await wait_until(lambda: runner.process.poll() == 0)


@asynchronous_test
async def test_no_answer_is_lost_if_the_kernel_connection_moves_during_sigterm() -> None:
    """A SIGHUP changes the kernel's address while a SIGTERM is already pending."""
    async with running(kernel := Kernel(work=0.6)) as runner:
        front_end = await FrontEnd.connect(runner.port)
        pending = [front_end.send("submit", token=new_key()), front_end.send("check")]
        await wait_until(lambda: len(kernel.runs) == 2)
        kernel.move()
        runner.process.send_signal(signal.SIGSTOP)  # Both signals are pending when the process continues.
        runner.reload(kernel=f"{HOST}:{kernel.port}")
        runner.process.send_signal(signal.SIGTERM)
        runner.process.send_signal(signal.SIGCONT)
        answers = await asyncio.wait_for(asyncio.gather(*pending), WAIT)
        assert all("result" in answer for answer in answers)
        await wait_until(lambda: runner.process.poll() == 0)
        assert len(kernel.opened) == 2 and "Traceback" not in runner.read_log()


@asynchronous_test
async def test_both_frontends_answer_all_open_requests_when_the_stop_time_expires() -> None:
    async with running(Kernel(hang=True)) as runner:
        runner.reload(stop_ms=700)
        await wait_until(lambda: "configuration read again" in runner.read_log())
        front_ends = [await FrontEnd.connect(runner.port) for _ in range(4)]
        pending = [front_end.send("check") for front_end in front_ends for _ in range(8)]
        pending_uwsgi = [
            asyncio.create_task(exchange(runner.uwsgi, uwsgi_request("check"))) for _ in range(8)
        ]
        runner.process.send_signal(signal.SIGTERM)
        answers = await asyncio.wait_for(asyncio.gather(*pending), WAIT)
        assert all("error" in answer for answer in answers)
        assert {
            status(answer) for answer in await asyncio.wait_for(asyncio.gather(*pending_uwsgi), WAIT)
        } <= {
            503,
            504,
        }
        await wait_until(lambda: runner.process.poll() == 0)
