"""A keyed request runs a second time within its window after a SIGHUP that lists tenants for the first time."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
from stand_ins_2 import TROUBLE, CannotRunError, Case, FrontEnd, Kernel, Runner, main, settings, until  # noqa: E402

WINDOW_MS = 40_000


def play(case: Case) -> list[str]:
    with_tenants = settings(window_ms=WINDOW_MS)
    without_tenants = with_tenants | {"realms": []}
    kernel = Kernel(case, "kernel")
    n1 = Runner(case, "n1", kernel, without_tenants if TROUBLE else with_tenants)
    n1.start()
    n1.wait_healthy()
    time.sleep(1.5)
    token = os.urandom(16).hex()
    body = b"w50 order " + token.encode()
    ran_at = time.time()
    # The front end sends the same parameters, `acct` included, with every try.
    first = FrontEnd(case, n1.port).ask("submit", body, token=token, acct="acme")
    if first.verdict != "served":
        raise CannotRunError(f"the first try was not served: {first}")
    if TROUBLE:
        n1.setup = with_tenants
        n1.write_config()
        n1.signal(signal.SIGHUP)
        until(lambda: "configuration read again" in (n1.folder / "log").read_text(), 5, "the reload")
        case.note("the settings list the tenant acme from now on")
    time.sleep(2.0)
    age_ms = (time.time() - ran_at) * 1000
    again = FrontEnd(case, n1.port).ask("submit", body, token=token, acct="acme")
    case.note(f"retry {age_ms:.0f} ms after t0 of the try that ran (window {WINDOW_MS}): {again}")
    if len(kernel.runs) > 1:
        return [f"the request ran {len(kernel.runs)} times within its window at one runner"]
    if again.verdict == "served" and again.content != first.content:
        return ["the retry got another result"]
    return []


main(play, Path(__file__).resolve().with_name("record.txt"))
