"""Real processes under each kind of fault, judged by the rules of the protocol page alone.

`python -m tests.faults FIRST LAST [KIND ...]` plays further seeds.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path

import pytest

from .faults.day import INJECT, Day, Faults
from .faults.kinds import KINDS
from .stand_ins import FrontEnd, Kernel, running
from .test_sockets import asynchronous_test, wait_until

pytestmark = pytest.mark.processes

SEED = 1
AT_ONCE = 6
GROUPS = [KINDS[i : i + AT_ONCE] for i in range(0, len(KINDS), AT_ONCE)]
LEAST_SERVED = 20  # of some 180 requests
MOST_IN_A_TURN = 20  # accepts, with the descriptors that a test has


async def play(kinds: tuple[Faults, ...]) -> list[str]:
    days = [Day(SEED, kind) for kind in kinds]
    played = await asyncio.wait_for(asyncio.gather(*(day.play() for day in days)), 120)
    wrong = [
        f"{day.faults.name}: {finding}\n{day.timeline(finding.rid)}"
        for day, found in zip(days, played, strict=True)
        for finding in found[:3]
    ]
    return wrong + [f"{d.faults.name}: served {d.served()}" for d in days if d.served() < LEAST_SERVED]


@pytest.mark.parametrize(
    "error, line, counter",
    [
        ("ENFILE", "no capacity to accept a connection: ENFILE", "accepts without a descriptor"),
        ("ECONNABORTED", "a connection could not be accepted: ECONNABORTED", "accepts that failed"),
    ],
)
def test_accepts_that_fail_for_seconds_are_waited_out_without_a_busy_loop(
    error: str, line: str, counter: str
) -> None:
    @asynchronous_test
    async def run() -> None:
        began, plan = time.monotonic(), [("accept", error, 4.0, 6.0, 1.0)]
        environment = {"PYTHONPATH": str(INJECT), "FAULT_PLAN": json.dumps(plan)}
        async with running(Kernel(), environment=environment) as r:
            assert time.monotonic() < began + 3.5, "ready before the fault begins"
            await asyncio.sleep(began + 4.5 - time.monotonic())
            f = await FrontEnd.connect(r.port)  # by the system: the program has not accepted it yet
            answer = f.send("check")
            before = cpu_s(r.process.pid)
            await asyncio.sleep(1.0)
            assert cpu_s(r.process.pid) - before < 0.4 and not answer.done()
            assert "result" in await asyncio.wait_for(answer, 5)
            assert 1 <= r.text().count(line) <= 3
            assert 1 <= (await r.counters())[counter] < 400 * MOST_IN_A_TURN

    run()


@pytest.mark.parametrize(
    "call, error",
    [("socket", "ENFILE"), ("socket", "ENOBUFS"), ("connect", "ENETUNREACH"), ("accept", "ENFILE")],
)
def test_a_system_without_room_at_the_start_is_waited_out(call: str, error: str) -> None:
    @asynchronous_test
    async def run() -> None:
        environment = {"PYTHONPATH": str(INJECT), "FAULT_PLAN": json.dumps([(call, error, 0, 1.5, 1.0)])}
        async with running(Kernel(), environment=environment) as r:
            assert "result" in await (await FrontEnd.connect(r.port)).ask("check")
            r.environment = {}
            await wait_until(lambda: any(path.is_socket() for path in r.spool.iterdir()))
            (further := Kernel()).listen()
            r.start(further.port)  # the next process finds this one
            await r.says_yes()
            assert "another process of this runner connected" in r.text()
            further.close()

    run()


def cpu_s(pid: int) -> float:
    user, system = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("kinds", GROUPS, ids=lambda kinds: "; ".join(kind.name for kind in kinds))
def test_no_rule_is_broken(kinds: tuple[Faults, ...]) -> None:
    wrong = asyncio.run(play(kinds))
    assert not wrong, "\n".join(wrong)
