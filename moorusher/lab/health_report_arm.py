"""One arm of the experiment on health reports: runners with their kernels, a database, two balancers and a load."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, NamedTuple

from .arrivals import Arrival, RequestClass
from .balancer import BalancingMode, Server, ServerPicker
from .clock import now_us
from .cores import MachineSpec
from .experiment import Points
from .health_prober import HealthProber, ProbeKind
from .load_generator import LoadGenerator, Route
from .runner_client import RunnerClient
from .runners import GAUGES, Runner, runner_settings
from .stand_ins.database import Database
from .stand_ins.kernel import Kernel

CORES = 4
SERVICE_TIME_MS = 200.0
CLASSES = [
    RequestClass("check", 0.45, SERVICE_TIME_MS, True, 3000, 8000),
    RequestClass("tests", 0.40, SERVICE_TIME_MS, True, 3000, 8000),
    RequestClass("submit", 0.15, SERVICE_TIME_MS, True, 3000, 8000, keyed=True, priority_weight=3.0),
]
TENANTS = ["north", "south"]
COLLAPSE_MULTIPLE = 5.0
"""Runs per core at which a machine collapses."""
UNGUARDED_COLLAPSE_MULTIPLE = 14.0
"""Collapse multiple in the settings of runners without their own guard: a value so high that the guard never acts."""
IDLE_GAUGES = [0.05, 0.0, 0.1, 1.0]
"""Gauges of an idle machine."""
PROBE_INTERVALS_S = (0.5, 1.0)
"""Probe intervals of the two balancers."""
INITIAL_SPEED = 0.25
WARM_UP_S = 8.0
SLOW_AT_S = 11.0
SLOW_FOR_S = 14.0
SLOW_FACTOR = 0.25
HEALTH_TOML = "probe_ms = 500.0\nreaction_ms = 500.0\nclimb_s = 4.0\ntip_per_core = 5.0"
DATABASE_DELAY_S = 0.05
_DEFERRED_BOOT_DELAY_S = 3600.0
"""Longer than the experiment, so that a cold kernel boots only when `start_load` finishes its boot."""
_SHIFT_STEP_S = 0.1
_SHIFTED_SHARE = 2 / 9
"""Two thirds of an even share among three runners."""


@dataclass(frozen=True, slots=True)
class ArmOptions:
    """Options in which the arms differ.

    Attributes:
        with_report: Whether balancers read the agent. Otherwise they only check that the process is alive.
        without_guard: Whether the scheduler's own guard against a collapse is disabled; the agent then also reports
            `maxconn`.
        with_cold_runner: Whether the last runner starts cold.
        runners: Number of runners.
    """

    with_report: bool
    without_guard: bool = False
    with_cold_runner: bool = False
    runners: int = 3


class Collapse(NamedTuple):
    """A collapse of a machine.

    Attributes:
        at_s: Seconds from the start of the load.
        runner: Name of the runner on the machine.
    """

    at_s: float
    runner: str


class _Sent(NamedTuple):
    """Time of a sent request, and the runner that received it."""

    at_s: float
    runner: str


class _Balancer(NamedTuple):
    """State of one load balancer."""

    servers: list[Server]
    picker: ServerPicker
    rng: random.Random


class HealthReportArm:
    """Runs one arm of the experiment. All arms of a round run at the same time.

    Attributes:
        name: Name of the arm.
        options: Options of the arm.
        collapses: Collapses of machines, in order.
        probers: Probers of all balancers.
        runners: Runner processes.
        runs_per_core: Mean runs per core over time, by runner.
        load: Load of the arm.
    """

    def __init__(
        self,
        reactor: Any,
        name: str,
        arrivals: list[Arrival],
        options: ArmOptions,
        mode: BalancingMode,
        seed: int,
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.options = options
        self.collapses: list[Collapse] = []
        self.probers: list[HealthProber] = []
        self._sent: list[_Sent] = []
        self._database = Database(reactor, 200, delay=DATABASE_DELAY_S)
        self._database.listen()
        self.runners = [self._start_runner(index) for index in range(options.runners)]
        self.runs_per_core: dict[str, Points] = {runner.name: [] for runner in self.runners}
        self._balancers = [
            self._create_balancer(mode, seed + index) for index in range(len(PROBE_INTERVALS_S))
        ]
        self._clients = {runner.name: RunnerClient(reactor, runner.port, 1) for runner in self.runners}
        self._picks = 0
        self.load = LoadGenerator(reactor, arrivals, self._pick, name)

    def _start_runner(self, index: int) -> Runner:
        options = self.options
        is_cold = options.with_cold_runner and index == options.runners - 1
        machine = MachineSpec(
            CORES,
            collapse_runs_per_core=COLLAPSE_MULTIPLE,
            initial_speed=INITIAL_SPEED if is_cold else 1.0,
            warm_up_us=round(WARM_UP_S * 1e6),
        )
        kernel = Kernel(
            self.reactor,
            machine=machine,
            gauges=GAUGES,
            age_ms=0 if is_cold else 60_000,
            state="EMPTY" if is_cold else "LOADED",
            boot_delay_s=_DEFERRED_BOOT_DELAY_S if is_cold else 0.0,
        )
        if options.without_guard:
            kernel.fixed_gauges = IDLE_GAUGES
        kernel.listen()
        multiple = UNGUARDED_COLLAPSE_MULTIPLE if options.without_guard else COLLAPSE_MULTIPLE
        settings = runner_settings(CLASSES, TENANTS, CORES, multiple)
        settings["invariants"] |= {"coldShare": INITIAL_SPEED, "warmAfterMs": WARM_UP_S * 1000}
        runner = Runner(
            self.reactor,
            kernel,
            settings,
            self._database.port,
            HEALTH_TOML,
            f"{self.name}-{index}",
            sends_maxconn=options.without_guard,
        )
        kernel.on_collapse = lambda: self._collapse(runner)
        return runner

    def _create_balancer(self, mode: BalancingMode, seed: int) -> _Balancer:
        servers = [Server(runner.name) for runner in self.runners]
        return _Balancer(servers, ServerPicker(servers, mode), random.Random(seed))

    def start_probes(self) -> None:
        """Start the probes; each balancer has its own source address."""
        for number, (balancer, interval_s) in enumerate(zip(self._balancers, PROBE_INTERVALS_S, strict=True)):
            for server, runner in zip(balancer.servers, self.runners, strict=True):
                kind = ProbeKind.AGENT if self.options.with_report else ProbeKind.ALIVE
                port = runner.agent if self.options.with_report else runner.health
                phase = balancer.rng.random()
                source = f"127.0.0.{number + 2}"
                self.probers.append(
                    HealthProber(self.reactor, server, port, kind, interval_s, phase, source=source)
                )

    def start_load(self) -> None:
        """Start the load, and finish the boot of all kernels; a cold kernel starts to warm up."""
        self.load.start()
        for runner in self.runners:
            runner.kernel.finish_boot()

    def _pick(self, arrival: Arrival) -> Route | None:
        """Return the route of an arrival; the balancers alternate."""
        self._picks += 1
        balancer = self._balancers[self._picks % len(self._balancers)]
        server = balancer.picker.pick(now_us(), balancer.rng)
        if server is None:
            return None
        self._sent.append(_Sent(self.load.now_s, server.name))
        return Route(server, self._clients[server.name])

    def _collapse(self, runner: Runner) -> None:
        self.collapses.append(Collapse(self.load.now_s, runner.name))
        runner.kernel.cut()
        runner.kernel.stop_listening()
        runner.signal("KILL")

    def record_runs(self) -> None:
        """Record the mean runs per core of each runner."""
        now = now_us()
        for runner in self.runners:
            mean = runner.kernel.cores.concurrency.mean(now) / CORES
            self.runs_per_core[runner.name].append((self.load.now_s, mean))

    def slow_first_runner(self) -> None:
        """Slow the first runner's machine, unless it is slowed already."""
        kernel = self.runners[0].kernel
        if kernel.cores.factor == 1.0:
            kernel.slow(SLOW_FACTOR)

    def close(self) -> None:
        """Stop the probers, close the clients, kill all runners, and close kernels and database."""
        for prober in self.probers:
            prober.stop()
        for client in self._clients.values():
            client.close()
        for runner in self.runners:
            runner.kernel.on_collapse = None
            runner.signal("KILL")
            runner.kernel.close()
        self._database.close()

    # ---- figures ----

    @property
    def first_balancers_servers(self) -> list[Server]:
        """Runners as seen by the first balancer."""
        return self._balancers[0].servers

    def served_value_share(self) -> float:
        """Return the value of the requests served within their latency objective, as a share of the offered value."""
        return self.load.served_value / max(1e-9, self.load.offered_value)

    def served_share_since(self, since_s: float) -> float:
        """Return the share of the requests since a time that were served within their latency objective."""
        requests = sum(arrival.at_s >= since_s for arrival in self.load.arrivals)
        served = sum(
            completion.sent_at_s >= since_s and completion.outcome == "served"
            for completion in self.load.completions
        )
        return served / max(1, requests)

    def worst_runs_per_core(self) -> float:
        """Return the highest mean runs per core of any runner."""
        return max(runner.kernel.worst_runs_per_core for runner in self.runners)

    def traffic_share(self, runner: str, since_s: float, until_s: float) -> float:
        """Return a runner's share of the requests that were sent within an interval."""
        names = [sent.runner for sent in self._sent if since_s <= sent.at_s < until_s]
        return names.count(runner) / max(1, len(names))

    def weight_lowered_at(self) -> list[float]:
        """Return when each balancer first read a weight of 50% or less for the first runner after the slowdown began.

        A report without a weight counts as 0.

        :returns: seconds from the start of the load; no entry for a balancer that read no such weight.
        """
        times_s = []
        for balancer in self._balancers:
            for report in balancer.servers[0].agent_reports:
                at_s = self.seconds_of(report.at_us)
                if at_s >= SLOW_AT_S and report.weight <= 50:
                    times_s.append(at_s)
                    break
        return times_s

    def traffic_shifted_at(self) -> float | None:
        """Return when the first runner's share of the traffic dropped after a balancer read its lower weight.

        :returns: the start of the first second in which the runner gets less than two thirds of an even share, in
            seconds from the start of the load; None if there is no such second.
        """
        at_s = min(self.weight_lowered_at(), default=SLOW_AT_S)
        while at_s < SLOW_AT_S + SLOW_FOR_S:
            if self.traffic_share(self.runners[0].name, at_s, at_s + 1) < _SHIFTED_SHARE:
                return at_s
            at_s += _SHIFT_STEP_S
        return None

    def seconds_of(self, at_us: int) -> float:
        """Convert a time of the monotonic clock to seconds from the start of the load."""
        return (at_us - self.load.began_us) / 1e6
