"""`moorusher lab up`: a runner on this machine with a kernel, a database and a light load."""

from __future__ import annotations

import random
import signal
from collections import Counter
from typing import Any

from .arrivals import Arrival, RequestClass, draw_arrivals
from .balancer import Server, ServerPicker
from .clock import now_us
from .cores import MachineSpec
from .experiment import Log
from .health_prober import HealthProber, ProbeKind
from .load_generator import LoadGenerator, Route
from .ports import HOST
from .runner_client import RunnerClient
from .runners import GAUGES, Runner, reap_children, runner_settings
from .stand_ins.database import Database
from .stand_ins.kernel import Kernel

CORES = 4
SERVICE_TIME_MS = 100.0
CLASSES = [
    RequestClass("check-syntax", 0.4, SERVICE_TIME_MS, True, 2000, 6000),
    RequestClass("run-tests", 0.45, SERVICE_TIME_MS, True, 3000, 8000),
    RequestClass("submit", 0.15, SERVICE_TIME_MS, True, 4000, 10000, keyed=True, priority_weight=3.0),
]
TENANTS = ["north", "south"]
LOAD_S = 60.0
"""Duration of one generated load. The next load starts when it ends."""
DATABASE_DELAY_S = 0.03
INITIAL_SPEED = 0.3
WARM_UP_S = 10
_RETAINED_LOADS = 2
"""Number of loads whose counts are kept. The previous load may still have requests in flight."""


class DemoRunner:
    """A runner with its stand-ins, its balancer and its load.

    :param load: share of the runner's capacity.

    Attributes:
        exit_code: Exit code of the runner.
    """

    def __init__(self, reactor: Any, load: float, log: Log) -> None:
        self._reactor = reactor
        self._load = load
        self._log = log
        self._database = Database(reactor, 200, delay=DATABASE_DELAY_S)
        self._database.listen()
        self._kernel = Kernel(
            reactor,
            machine=MachineSpec(CORES, initial_speed=INITIAL_SPEED, warm_up_us=WARM_UP_S * 1_000_000),
            gauges=GAUGES,
            state="EMPTY",
            age_ms=0,
        )
        self._kernel.listen()
        settings = runner_settings(CLASSES, TENANTS, CORES)
        settings["invariants"] |= {"coldShare": INITIAL_SPEED, "warmAfterMs": WARM_UP_S * 1000}
        self._runner = Runner(reactor, self._kernel, settings, self._database.port, "probe_ms = 1000.0")
        self._runner.on_exit = self._runner_exited
        self._server = Server("n1")
        self._client = RunnerClient(reactor, self._runner.port, 1)
        self._picker = ServerPicker([self._server])
        self._prober = HealthProber(reactor, self._server, self._runner.agent, ProbeKind.AGENT, 1.0, 0.5)
        self._loads: list[LoadGenerator] = []
        self._logged_counts = Counter[str]()
        self._shutting_down = False
        self.exit_code = 0

    def start(self) -> None:
        """Log the addresses of the runner; after a second, start the load and the log of its outcomes."""
        runner = self._runner
        self._log(
            f"requests  {HOST}:{runner.port} (JSON-RPC, one message per line)\nagent     {HOST}:{runner.agent}\n"
            f"health    http://{HOST}:{runner.health}/health\nadmin     http://{HOST}:{runner.admin}/standing\n"
            f"try       moorusher standing --address {HOST}:{runner.admin}"
        )
        self._reactor.callLater(1.0, self._start_load)
        self._reactor.callLater(1.0, self._log_counts)

    def _start_load(self) -> None:
        rate = self._load * CORES / (SERVICE_TIME_MS / 1000)
        number = len(self._loads)
        arrivals = draw_arrivals(number + 1, CLASSES, TENANTS, rate, LOAD_S)
        load = LoadGenerator(self._reactor, arrivals, self._pick, f"up{number}-")
        self._loads.append(load)
        del self._loads[:-_RETAINED_LOADS]
        load.start()
        self._reactor.callLater(LOAD_S, self._start_load)

    def _pick(self, arrival: Arrival) -> Route | None:
        server = self._picker.pick(now_us(), random.Random(0))
        return None if server is None else Route(server, self._client)

    def _log_counts(self) -> None:
        """Log a line each second: new requests by outcome, the agent's last report, and latencies."""
        if self._shutting_down:
            return
        counts = sum((load.counts for load in self._loads), Counter[str]())
        new = counts - self._logged_counts
        self._logged_counts.update(new)
        reports = self._server.agent_reports
        agent = reports[-1].text if reports else "no agent report yet"
        self._log(
            f"served {new['served']:>4}  refused {new['refused']:>3}  failed {new['failed']:>3}"
            f"  [{agent}]{self._describe_latency()}"
        )
        self._reactor.callLater(1.0, self._log_counts)

    def _describe_latency(self) -> str:
        if not self._loads or not self._loads[-1].latency.get_total_count():
            return ""
        latency = self._loads[-1].latency
        p50_ms = latency.get_value_at_percentile(50)
        p99_ms = latency.get_value_at_percentile(99)
        return f"  p50 {p50_ms} ms  p99 {p99_ms} ms"

    def shut_down(self) -> None:
        """Shut the runner down gracefully."""
        if self._shutting_down:
            return
        self._shutting_down = True
        self._log("shutting down: the runner finishes the requests that it has received")
        self._prober.stop()
        self._runner.signal("TERM")

    def _runner_exited(self, code: int) -> None:
        if not self._shutting_down:
            self._log(f"the runner exited unexpectedly: code={code}")
        self._shutting_down = True
        self.exit_code = code
        self._client.close()
        self._kernel.close()
        self._database.close()
        if self._reactor.running:
            self._reactor.stop()


def run_demo_runner(seconds: float, load: float, log: Log) -> int:
    """Run the demo.

    :param seconds: length of the demo; 0 to run until interrupted.
    :param load: share of the runner's capacity.
    :returns: exit code of the runner, 0 after a graceful shutdown.
    """
    from ..server import reactor as loop

    reactor = loop.install()
    demo = DemoRunner(reactor, load, log)
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: reactor.callFromThread(demo.shut_down))
    reap_children(reactor)
    demo.start()
    if seconds:
        reactor.callLater(seconds, demo.shut_down)
    reactor.run(installSignalHandlers=False)
    return demo.exit_code
