"""Real runner processes under each kind of fault, checked only against the rules of the protocol.

`python -m tests.faults FIRST_SEED LAST_SEED [KIND ...]` runs more seeds.
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
MAX_PARALLEL_DAYS = 6
GROUPS = [KINDS[i : i + MAX_PARALLEL_DAYS] for i in range(0, len(KINDS), MAX_PARALLEL_DAYS)]
MIN_SERVED = 20  # Served requests per day, of about 180.
MAX_ACCEPTS_PER_ITERATION = 20  # Accepts per reactor iteration with the descriptor limit of a test.


async def find_violations(kinds: tuple[Faults, ...]) -> list[str]:
    """Simulate a day of each kind at the same time, and describe the violations and the days with too few requests."""
    days = [Day(SEED, kind) for kind in kinds]
    findings_of_days = await asyncio.wait_for(asyncio.gather(*(day.play() for day in days)), 120)
    violations = [
        f"{day.faults.name}: {finding}\n{day.timeline(finding.rid)}"
        for day, findings in zip(days, findings_of_days, strict=True)
        for finding in findings[:3]
    ]
    return violations + [
        f"{day.faults.name}: served {day.served()}" for day in days if day.served() < MIN_SERVED
    ]


@pytest.mark.parametrize(
    "error, line, counter",
    [
        ("ENFILE", "no capacity to accept a connection: ENFILE", "accepts without a descriptor"),
        ("ECONNABORTED", "a connection could not be accepted: ECONNABORTED", "accepts that failed"),
    ],
)
def test_failing_accepts_are_retried_without_a_busy_loop(error: str, line: str, counter: str) -> None:
    @asynchronous_test
    async def run() -> None:
        started_at, plan = time.monotonic(), [("accept", error, 4.0, 6.0, 1.0)]
        environment = {"PYTHONPATH": str(INJECT), "FAULT_PLAN": json.dumps(plan)}
        async with running(Kernel(), environment=environment) as runner:
            assert time.monotonic() < started_at + 3.5, "ready before the fault begins"
            await asyncio.sleep(started_at + 4.5 - time.monotonic())
            # The operating system completes the connect, before the program accepts the connection.
            front_end = await FrontEnd.connect(runner.port)
            answer = front_end.send("check")
            cpu_time_before_s = cpu_time_s(runner.process.pid)
            await asyncio.sleep(1.0)
            assert cpu_time_s(runner.process.pid) - cpu_time_before_s < 0.4 and not answer.done()
            assert "result" in await asyncio.wait_for(answer, 5)
            assert 1 <= runner.read_log().count(line) <= 3
            assert 1 <= (await runner.counters())[counter] < 400 * MAX_ACCEPTS_PER_ITERATION

    run()


@pytest.mark.parametrize(
    "call, error",
    [("socket", "ENFILE"), ("socket", "ENOBUFS"), ("connect", "ENETUNREACH"), ("accept", "ENFILE")],
)
def test_failing_system_calls_at_the_start_are_retried(call: str, error: str) -> None:
    @asynchronous_test
    async def run() -> None:
        environment = {"PYTHONPATH": str(INJECT), "FAULT_PLAN": json.dumps([(call, error, 0, 1.5, 1.0)])}
        async with running(Kernel(), environment=environment) as runner:
            assert "result" in await (await FrontEnd.connect(runner.port)).ask("check")
            runner.environment = {}
            await wait_until(lambda: any(path.is_socket() for path in runner.spool.iterdir()))
            (new_kernel := Kernel()).listen()
            runner.start(new_kernel.port)  # The new process must find the first one.
            await runner.wait_until_healthy()
            assert "another process of this runner connected" in runner.read_log()
            new_kernel.close()

    run()


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    user, system = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("kinds", GROUPS, ids=lambda kinds: "; ".join(kind.name for kind in kinds))
def test_no_rule_is_broken(kinds: tuple[Faults, ...]) -> None:
    violations = asyncio.run(find_violations(kinds))
    assert not violations, "\n".join(violations)
