"""Entry of issue 34: a successor dies after it was let on; the process before it serves on, and is replaced later.

The rule is that of case 1. Without the disruption the successor is not killed and nothing is replaced again.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
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
    end_process,
    free_port,
    main,
    site_settings,
    until,
)

SUBMISSIONS = 10


async def case(record: Record, scratch: Path) -> bool:
    kernel = Kernel(record, work_s=0.1)
    runner = Runner(
        scratch, "n3", site_settings(), kernel=f"{HOST}:{await kernel.listen()}",
        db=f"{HOST}:{await Database(record).listen()}", announce=f"{HOST}:{await Announce().listen()}",
    )  # fmt: skip

    async def replace() -> None:
        runner.start(kernel=f"{HOST}:{await kernel.listen()}", console=f"{HOST}:{free_port()}")
        await until(runner.says_yes, 6, "the new process says yes")

    elder = runner.start()
    await runner.ready()
    await replace()
    front_end = FrontEnd(record, runner.port)
    tokens = [os.urandom(16).hex() for _ in range(SUBMISSIONS)]
    first = [
        await front_end.ask("submit", b"submission %d" % n, token=token, budget_ms=14_000)
        for n, token in enumerate(tokens)
    ]
    if any(attempt.outcome != "served" for attempt in first):
        raise CouldNotRun("a first try was not served")
    if TROUBLE:
        runner.processes[-1].kill()
        record.write("killed", which="successor")
        await asyncio.sleep(1)
        await replace()
        record.write("old-ended", how=await end_process(elder, 3.7))
    again = [
        await front_end.ask("submit", b"submission %d" % n, token=token, budget_ms=14_000)
        for n, token in enumerate(tokens)
    ]
    runs = Counter(body for _, _, body, _ in kernel.runs)
    twice = sum(count > 1 for count in runs.values())
    record.write("result", twice=twice, second_tries=Counter(attempt.outcome for attempt in again))
    print(f"{twice} of {SUBMISSIONS} submissions ran twice")
    return not twice


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
