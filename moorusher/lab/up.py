"""Everything on one machine: a runner in service, its kernel, what is below, announce, and a trickle of load."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from typing import Any

from .balancer import Choice, Prober, Server
from .clock import now_us
from .cores import Machine
from .load import Arrival, Kind, Load, Target, draw
from .ports import HOST
from .runners import GAUGES, Runner, reap_children, settings_of
from .stand_ins.database import Database
from .stand_ins.kernel import Kernel

CORES, WORK_MS = 4, 100.0
KINDS = [
    Kind("check-syntax", 0.4, WORK_MS, True, 2000, 6000),
    Kind("run-tests", 0.45, WORK_MS, True, 3000, 8000),
    Kind("submit", 0.15, WORK_MS, True, 4000, 10000, keyed=True, worth=3.0),
]
TENANTS = ["north", "south"]
AHEAD_S = 60.0  # arrivals are drawn so far ahead, and again


def up(seconds: float, load: float, say: Callable[[str], None]) -> int:
    """Until ^C, or for `seconds`; 0 where the runner left in order."""
    from ..server import reactor as loop

    reactor = loop.install()
    below = Database(reactor, 200, delay=0.03)
    below.listen()
    kernel = Kernel(
        reactor,
        machine=Machine(CORES, cold_speed=0.3, warm_us=10_000_000),
        gauges=GAUGES,
        state="EMPTY",
        age_ms=0,
    )
    kernel.listen()
    settings = settings_of(KINDS, TENANTS, CORES)
    settings["invariants"] |= {"coldShare": 0.3, "warmAfterMs": 10_000}
    runner = Runner(reactor, kernel, settings, below.port, "probe_ms = 1000.0")
    server, target = Server("n1"), Target(reactor, runner.port, 1)
    choice, before = Choice([server]), Counter[str]()
    prober = Prober(reactor, server, runner.agent, "agent", 1.0, 0.5)
    loads: list[Load] = []
    left: list[int] = []

    def pick(arrival: Arrival) -> Any:
        import random

        chosen = choice.pick(now_us(), random.Random(0))
        return (chosen, target) if chosen is not None else (None, None)

    def more() -> None:
        rate = load * CORES / (WORK_MS / 1000)
        loads.append(
            Load(reactor, draw(len(loads) + 1, KINDS, TENANTS, rate, AHEAD_S), pick, f"up{len(loads)}-")
        )
        del loads[:-2]  # the one before may still have requests out
        loads[-1].start()
        reactor.callLater(AHEAD_S, more)

    def tell() -> None:
        if left:
            return
        counts = sum((made.counts for made in loads), Counter[str]())
        new = counts - before
        before.update(new)
        said = server.told[-1][1] if server.told else "no word yet"
        latency = loads[-1].latency if loads else None
        times = (
            ""
            if latency is None or not latency.get_total_count()
            else (
                f"  p50 {latency.get_value_at_percentile(50)} ms  p99 {latency.get_value_at_percentile(99)} ms"
            )
        )
        say(
            f"served {new['served']:>4}  refused {new['refused']:>3}  failed {new['failed']:>3}  [{said}]{times}"
        )
        reactor.callLater(1.0, tell)

    def leave(*_: object) -> None:
        if not left:
            left.append(0)
            say("leaving: the runner gets its notice, and answers what it has read")
            prober.stop()
            runner.signal("TERM")

    def gone(code: int) -> None:
        if not left:
            say(f"the runner ended with {code}")
        left.append(code)
        target.close()
        kernel.close()
        below.close()
        if reactor.running:
            reactor.stop()

    runner.ended = gone
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: reactor.callFromThread(leave))
    reap_children(reactor)
    say(
        f"requests  {HOST}:{runner.port} (JSON-RPC, a message a line)\nagent     {HOST}:{runner.agent}\n"
        f"health    http://{HOST}:{runner.health}/health\nadmin     http://{HOST}:{runner.admin}/standing\n"
        f"try       moorusher standing --address {HOST}:{runner.admin}"
    )
    reactor.callLater(1.0, more)
    reactor.callLater(1.0, tell)
    if seconds:
        reactor.callLater(seconds, leave)
    reactor.run(installSignalHandlers=False)
    return left[-1]
