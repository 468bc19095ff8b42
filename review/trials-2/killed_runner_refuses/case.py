"""After its runner was killed and has started again, a request that was served is refused there as one that never ran."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from stand_ins_2 import TROUBLE, CannotRunError, Case, Fleet, FrontEnd, main, settings  # noqa: E402

WINDOW_MS = 30_000
DOWN_S = 2.0
ASK_AFTER_S = (0.0, 3.0, 8.0, 15.0)  # after the runner says yes again


def play(case: Case) -> list[str]:
    fleet = Fleet(case, 3, settings(window_ms=WINDOW_MS))
    fleet.start()
    n1 = fleet.runners["n1"]
    token = os.urandom(16).hex()
    body = b"w50 order " + token.encode()
    ran_at = time.time()
    first = FrontEnd(case, n1.port).ask("submit", body, token=token)
    if first.verdict != "served":
        raise CannotRunError(f"the first try was not served: {first}")
    time.sleep(1.0)  # by now a majority has the result
    if TROUBLE:
        n1.signal(signal.SIGKILL)
        n1.processes[-1].wait()
        time.sleep(DOWN_S)
        n1.start()
        n1.wait_healthy()
    back_at = time.monotonic()
    broken: list[str] = []
    for after_s in ASK_AFTER_S:
        time.sleep(max(0.0, back_at + after_s - time.monotonic()))
        for name in ("n1", "n2"):
            age_ms = (time.time() - ran_at) * 1000
            answer = FrontEnd(case, fleet.runners[name].port).ask("submit", body, token=token)
            if answer.verdict == "refused" and age_ms < WINDOW_MS:
                broken.append(f"{name} refused it as never run, {age_ms:.0f} ms after it ran (window {WINDOW_MS})")
            elif answer.verdict == "served" and answer.content != first.content:
                broken.append(f"{name} gave another result")
    runs = fleet.runs_of(body)
    if len(runs) != 1:
        broken.append(f"it ran {len(runs)} times")
    return broken


main(play, Path(__file__).resolve().with_name("record.txt"))
