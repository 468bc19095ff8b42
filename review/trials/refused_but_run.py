"""Entry of issue 27: a refusal is told before the others know that the work is given up.

A runner holds keyed requests behind long runs and is cut off from the other runners for 6 s (STANDING, `split+mass`). The
requests run out of time there and are refused, which promises that they never ran. The others run them all the same.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common.bench import TROUBLE, CouldNotRun, FrontEnd, Record, main
from common.fleet import Fleet

CUT_S = 6.0


async def case(record: Record, scratch: Path) -> bool:
    fleet = Fleet(3, record, scratch, work_of={"submit": 2.5})
    await fleet.start()
    front_end = FrontEnd(record, fleet.runners[0].port)
    for number in range(6):
        await front_end.send("submit", b"long %d" % number, token=os.urandom(16).hex(), budget_ms=14_000)
    await asyncio.sleep(0.3)
    if fleet.kernels[0].running() != 6:
        raise CouldNotRun("the long runs have not begun")
    tries = [
        await front_end.send("submit", b"short %d" % number, token=os.urandom(16).hex(), budget_ms=2000)
        for number in range(10)
    ]
    await asyncio.sleep(0.4)
    if TROUBLE:
        fleet.isolate(0, True)
    await asyncio.sleep(CUT_S)
    fleet.isolate(0, False)
    await asyncio.sleep(6)
    outcomes = [(attempt.outcome, fleet.ran_at(attempt.params["rid"])) for attempt in tries]
    refused_but_run = sum(outcome == "refused" and bool(ran) for outcome, ran in outcomes)
    record.write("result", outcomes=outcomes, refused_but_run=refused_but_run)
    print(f"{refused_but_run} of {len(tries)} tries were refused and run: {outcomes}")
    return not refused_but_run


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
