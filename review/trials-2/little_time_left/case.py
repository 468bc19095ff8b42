"""Repeats with very little time left are refused as requests that never ran, although the request ran and was served."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from stand_ins_2 import TROUBLE, CannotRunError, Case, Fleet, FrontEnd, main, settings  # noqa: E402

WINDOW_MS = 60_000
REQUESTS = 60
LITTLE_MS = (1, 3, 6, 12)  # left of the budget, if there is trouble
ENOUGH_MS = 2_000


def play(case: Case) -> list[str]:
    fleet = Fleet(case, 3, settings(window_ms=WINDOW_MS), journals=True)
    fleet.start()
    n1, n2 = fleet.runners["n1"], fleet.runners["n2"]
    verdicts: dict[str, int] = {}
    refused: list[str] = []
    for number in range(REQUESTS):
        token = os.urandom(16).hex()
        body = b"w5 order %d " % number + token.encode()
        ran_at = time.time()
        if FrontEnd(case, n1.port).ask("submit", body, token=token).verdict != "served":
            raise CannotRunError("a first try was not served")
        time.sleep(0.1)  # by now a majority has the result
        for budget_ms in LITTLE_MS if TROUBLE else (ENOUGH_MS,):
            repeat = FrontEnd(case, n2.port)
            answer = repeat.ask("submit", body, 3.0, token=token, budget=budget_ms)
            repeat.close()
            verdicts[answer.verdict] = verdicts.get(answer.verdict, 0) + 1
            if answer.verdict == "refused":
                age_ms = (time.time() - ran_at) * 1000
                refused.append(f"order {number} with {budget_ms} ms left, {age_ms:.0f} ms after it ran")
            if answer.verdict != "failed":
                break
    case.note(f"answers to the repeats: {verdicts}")
    for each in refused:
        case.note("refused as never run: " + each)
    return [f"{len(refused)} of {sum(verdicts.values())} repeats were refused as never run, though they ran"] if refused else []


main(play, Path(__file__).resolve().with_name("record.txt"))
