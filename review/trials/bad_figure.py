"""One request with a figure out of range reaches a runner of a fleet with journals; later another runner is killed.

LATER ("Bad clients") has clients whose figures are out of range. The rule: "if one is killed [...], another runner runs the work
that had not begun, once, and each repeat of a request, at any runner, gets that one result" (docs/operate/fleet.md). The
kill is a part of the rule and takes place without the disruption, too.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common.bench import TROUBLE, CouldNotRun, FrontEnd, Record, main
from common.fleet import Fleet


async def case(record: Record, scratch: Path) -> bool:
    fleet = Fleet(3, record, scratch, journals=True, work_of={"submit": 0.6})
    await fleet.start()
    if TROUBLE:
        bad = await FrontEnd(record, fleet.runners[0].port, peer=9).ask(
            "submit", b"bad", token=os.urandom(16).hex(), obj="1" + "0" * 16
        )
        record.write("bad-client", outcome=bad.outcome)
        await asyncio.sleep(1)
    front_end = FrontEnd(record, fleet.runners[1].port)
    tokens = [os.urandom(16).hex() for _ in range(14)]
    firsts = [
        await front_end.send("submit", b"body %d" % number, token=token, budget_ms=12_000)
        for number, token in enumerate(tokens)
    ]
    await asyncio.sleep(0.3)
    fleet.runners[1].processes[-1].kill()
    record.write("killed", runner="n1")
    await asyncio.sleep(2)
    other = FrontEnd(record, fleet.runners[2].port)
    outcomes = []
    for number, (token, first) in enumerate(zip(tokens, firsts, strict=True)):
        if first.outcome == "served" or 1 in fleet.ran_at(first.params["rid"]):
            continue  # it had begun at the runner that was killed
        again = await other.ask("submit", b"body %d" % number, token=token, budget_ms=12_000, timeout_s=13)
        ran = fleet.ran_at(first.params["rid"]) + fleet.ran_at(again.params["rid"])
        outcomes.append((again.outcome, ran))
    if not outcomes:
        raise CouldNotRun("no request waited at the runner that was killed")
    lost = sum(outcome != "served" and not ran for outcome, ran in outcomes)
    record.write("result", waited=len(outcomes), lost=lost, outcomes=outcomes)
    print(f"{lost} of {len(outcomes)} requests that waited at the killed runner were run by no other one")
    return not lost


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
