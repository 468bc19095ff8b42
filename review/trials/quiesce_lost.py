"""An operator quiesces a new process that still waits until an earlier replacement is over.

DAYS ("Drain") allows no good health answer later than 4 s after the call. The disruption is a
second replacement that begins before the first one is over (BRIEF 11.4: deploys, "sometimes overlapping"); without it,
the process in service is quiesced.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
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
    call_http,
    free_port,
    heartbeat,
    main,
    site_settings,
    until,
)


async def case(record: Record, scratch: Path) -> bool:
    kernel = Kernel(record, work_s=3.0)
    runner = Runner(
        scratch, "n3", site_settings(), kernel=f"{HOST}:{await kernel.listen()}",
        db=f"{HOST}:{await Database(record).listen()}", announce=f"{HOST}:{await Announce().listen()}",
    )  # fmt: skip

    async def start() -> None:
        runner.start(kernel=f"{HOST}:{await kernel.listen()}", console=f"{HOST}:{free_port()}")

    first = runner.start()
    await runner.ready()
    front_end = FrontEnd(record, runner.port)
    for number in range(3):
        await front_end.send("run-tests", b"long %d" % number, budget_ms=12_000)
    await asyncio.sleep(0.2)
    await start()
    await until(runner.says_yes, 6, "the second process says yes")
    first.send_signal(signal.SIGTERM)
    if TROUBLE:
        await start()
    status = 0
    for _ in range(100):
        status, body = await call_http(runner.console, "POST", "/admin/quiesce")
        if status:
            break
        await asyncio.sleep(0.02)
    called = time.monotonic()
    record.write("quiesce", status=status, body=body)
    if status != 200:
        raise CouldNotRun(f"the console said {status}")
    good_late = 0
    while time.monotonic() < called + 9:
        good = await heartbeat(runner.port)
        after_s = time.monotonic() - called
        record.write("health-check", good=good, after_s=f"{after_s:.2f}")
        good_late += good and after_s > 4.05
        await asyncio.sleep(0.1)
    print(f"{good_late} good answers later than 4 s after the call")
    return not good_late


main(case, Path(__file__).resolve().with_suffix(".record.txt"))
