"""One replacement of a process whose `$TMPDIR` has a long path. A `submit` that ran before comes again; see case 1."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common.bench import (
    HOST,
    TROUBLE,
    Announce,
    CouldNotRun,
    Database,
    FrontEnd,
    Kernel,
    Record,
    Runner,
    Try,
    end_process,
    free_port,
    main,
    site_settings,
    until,
)

SUBMISSIONS = 20
READY_S = 6.0  # the new process must say yes within this time
KILL_S = 3.7  # SIGKILL follows SIGTERM after the longest deadline, counted as 3 s if longer, plus 0.7 s
WINDOW_MS = 43_467.0


async def load(front_end: FrontEnd, stopped: asyncio.Event) -> None:
    """Send reads, about 15 a second, until stopped."""
    while not stopped.is_set():
        await front_end.send("check-syntax", b"read " + os.urandom(4).hex().encode())
        await asyncio.sleep(0.065)


async def replace(runner: Runner, kernel: Kernel, record: Record) -> None:
    """Replace the runner's process as the page on daily operation says."""
    old = runner.processes[-1]
    port = await kernel.listen()
    record.write("replace", old=old.pid)
    runner.start(kernel=f"{HOST}:{port}", console=f"{HOST}:{free_port()}")
    began = time.monotonic()
    await until(runner.says_yes, READY_S, "the new process says yes")
    record.write("new-says-yes", after_s=f"{time.monotonic() - began:.2f}")
    record.write("old-ended", how=await end_process(old, KILL_S))


async def case(record: Record, scratch: Path) -> bool:
    scratch = scratch / ("x" * 70)
    scratch.mkdir()
    kernel = Kernel(record, work_s=0.1, calling=("run-tests", "check-syntax", "submit"))
    database = Database(record)
    runner = Runner(
        scratch, "n3", site_settings(),
        kernel=f"{HOST}:{await kernel.listen()}",
        db=f"{HOST}:{await database.listen()}",
        announce=f"{HOST}:{await Announce().listen()}",
    )  # fmt: skip
    runner.start()
    await runner.ready()
    stopped = asyncio.Event()
    reads = asyncio.create_task(load(FrontEnd(record, runner.port, peer=1), stopped))

    front_end = FrontEnd(record, runner.port, peer=2)
    tries: dict[str, list[Try]] = defaultdict(list)
    for number in range(SUBMISSIONS):
        token = os.urandom(16).hex()
        tries[token].append(
            await front_end.ask("submit", b"submission %d" % number, token=token, budget_ms=14_000)
        )
    served = sum(attempts[0].outcome == "served" for attempts in tries.values())
    if served < SUBMISSIONS:
        raise CouldNotRun(f"only {served} first tries were served")

    for _ in range(1):
        await asyncio.sleep(2)
        if TROUBLE:
            await replace(runner, kernel, record)

    # The same requests come again: a new try with the same token and body, well inside the window.
    for number, (token, attempts) in enumerate(tries.items()):
        attempts.append(
            await front_end.ask("submit", b"submission %d" % number, token=token, budget_ms=14_000)
        )
    stopped.set()
    await reads

    by_rid = {attempt.params["rid"]: attempt for attempts in tries.values() for attempt in attempts}
    runs: dict[str, list[Try]] = defaultdict(list)
    for rid, route, _, _ in kernel.runs:
        if route == "submit":
            runs[by_rid[rid].params["token"]].append(by_rid[rid])
    twice = 0
    for token, started in runs.items():
        if len(started) > 1 and started[1].written_ms - started[0].params["t0"] < WINDOW_MS:
            twice += 1
            record.write(
                "RAN-TWICE", token=token, rids=[attempt.params["rid"] for attempt in started],
                written_ms_after_t0=started[1].written_ms - started[0].params["t0"],
            )  # fmt: skip
    outcomes = [attempts[-1].outcome for attempts in tries.values()]
    record.write(
        "result",
        requests=len(tries),
        ran_twice=twice,
        second_tries={o: outcomes.count(o) for o in set(outcomes)},
    )
    print(f"{twice} of {len(tries)} submissions ran twice within their window")
    return not twice


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
