"""The program as a process that ends or changes while something is owed, with the order forced by barriers."""

from __future__ import annotations

import asyncio
import signal

import pytest

from .stand_ins import HOST, WAIT, FrontEnd, Kernel, exchange, running, status, uwsgi_request
from .test_sockets import asynchronous_test, new_key, wait_until

pytestmark = pytest.mark.processes


@asynchronous_test
async def test_a_new_stop_time_holds_for_the_notice_that_follows_it() -> None:
    async with running(Kernel(hang=True)) as r:
        f = await FrontEnd.connect(r.port)
        asked = [f.send("submit", token=new_key()) for _ in range(4)]
        r.reload(stop_ms=1300)
        await wait_until(lambda: "configuration read again" in r.text())
        r.process.send_signal(signal.SIGTERM)
        got = await asyncio.wait_for(asyncio.gather(*asked), WAIT)
        assert all("error" in a for a in got) and "leaving within 1300 ms" in r.text()
        await wait_until(lambda: r.process.poll() == 0)


@asynchronous_test
async def test_all_is_answered_before_the_earliest_kill_whatever_the_stop_time_says() -> None:
    """SIGKILL may come its longest deadline, at most 3 s, and 0.7 s after SIGTERM."""
    async with running(Kernel(hang=True)) as r:
        r.reload(stop_ms=9_000)
        await wait_until(lambda: "configuration read again" in r.text())
        f = await FrontEnd.connect(r.port)
        asked = [f.send("submit", token=new_key()) for _ in range(4)]
        r.process.send_signal(signal.SIGTERM)
        got = await asyncio.wait_for(asyncio.gather(*asked), 3.7)
        assert all("error" in a for a in got) and "leaving within 3700 ms" in r.text()
        await wait_until(lambda: r.process.poll() == 0)


@asynchronous_test
async def test_links_that_move_as_the_notice_comes_still_bring_every_answer() -> None:
    async with running(kernel := Kernel(work=0.6)) as r:
        f = await FrontEnd.connect(r.port)
        asked = [f.send("submit", token=new_key()), f.send("check")]
        await wait_until(lambda: len(kernel.runs) == 2)
        kernel.move()
        r.process.send_signal(signal.SIGSTOP)  # it finds both signals waiting for it
        r.reload(kernel=f"{HOST}:{kernel.port}")
        r.process.send_signal(signal.SIGTERM)
        r.process.send_signal(signal.SIGCONT)
        got = await asyncio.wait_for(asyncio.gather(*asked), WAIT)
        assert all("result" in a for a in got)
        await wait_until(lambda: r.process.poll() == 0)
        assert len(kernel.opened) == 2 and "Traceback" not in r.text()


@asynchronous_test
async def test_both_fronts_answer_what_is_held_when_the_time_to_leave_is_over() -> None:
    async with running(Kernel(hang=True)) as r:
        r.reload(stop_ms=700)
        await wait_until(lambda: "configuration read again" in r.text())
        fronts = [await FrontEnd.connect(r.port) for _ in range(4)]
        asked = [f.send("check") for f in fronts for _ in range(8)]
        over_uwsgi = [asyncio.create_task(exchange(r.uwsgi, uwsgi_request("check"))) for _ in range(8)]
        r.process.send_signal(signal.SIGTERM)
        got = await asyncio.wait_for(asyncio.gather(*asked), WAIT)
        assert all("error" in a for a in got)
        assert {status(g) for g in await asyncio.wait_for(asyncio.gather(*over_uwsgi), WAIT)} <= {503, 504}
        await wait_until(lambda: r.process.poll() == 0)
