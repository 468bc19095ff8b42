"""One arm of the experiment on health reports: runners, their kernels and database, two balancers, one load."""

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
"""Runs a core at which a machine collapses."""
LOOSE_COLLAPSE_MULTIPLE = 14.0
"""A runner that is told this in its place has no guard of its own against the collapse."""
IDLE_GAUGES = [0.05, 0.0, 0.1, 1.0]
"""Gauges that say idle, whatever runs."""
PROBE_INTERVALS_S = (0.5, 1.0)
"""Of the two balancers."""
COLD_SPEED = 0.25
WARM_UP_S = 8.0
SLOW_AT_S = 11.0
SLOW_FOR_S = 14.0
SLOW_FACTOR = 0.25
HEALTH_TOML = "probe_ms = 500.0\nreaction_ms = 500.0\nclimb_s = 4.0\ntip_per_core = 5.0"
DATABASE_DELAY_S = 0.05
_LATE_KERNEL_S = 3600.0
"""A cold kernel is up when it is told, not by itself."""
_SHIFT_STEP_S = 0.1
_SHIFTED_SHARE = 2 / 9
"""Two thirds of an even share of three runners."""


@dataclass(frozen=True, slots=True)
class ArmOptions:
    """What an arm differs in.

    Attributes:
        with_report: balancers read the agent; else they only ask whether the process lives.
        without_guard: the scheduler's own guard is out of the way, and the agent says `maxconn` too.
        with_cold_runner: the last runner starts cold.
        runners: how many.
    """

    with_report: bool
    without_guard: bool = False
    with_cold_runner: bool = False
    runners: int = 3


class Collapse(NamedTuple):
    """A machine that collapsed, in s from the start."""

    at_s: float
    runner: str


class _Sent(NamedTuple):
    at_s: float
    runner: str


class _Balancer(NamedTuple):
    servers: list[Server]
    picker: ServerPicker
    rng: random.Random


class HealthReportArm:
    """One arm: all arms of a round play side by side."""

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
        """In the mean of the window, by runner."""
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
            cold_speed=COLD_SPEED if is_cold else 1.0,
            warm_up_us=round(WARM_UP_S * 1e6),
        )
        kernel = Kernel(
            self.reactor,
            machine=machine,
            gauges=GAUGES,
            age_ms=0 if is_cold else 60_000,
            state="EMPTY" if is_cold else "LOADED",
            boot_delay_s=_LATE_KERNEL_S if is_cold else 0.0,
        )
        if options.without_guard:
            kernel.fixed_gauges = IDLE_GAUGES
        kernel.listen()
        multiple = LOOSE_COLLAPSE_MULTIPLE if options.without_guard else COLLAPSE_MULTIPLE
        settings = runner_settings(CLASSES, TENANTS, CORES, multiple)
        settings["invariants"] |= {"coldShare": COLD_SPEED, "warmAfterMs": WARM_UP_S * 1000}
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
        """Each balancer probes from an address of its own."""
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
        """Send requests, and let cold kernels come up."""
        self.load.start()
        for runner in self.runners:
            runner.kernel.come_up()

    def _pick(self, arrival: Arrival) -> Route | None:
        """The balancers take turns."""
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
        runner.kernel.deafen()
        runner.signal("KILL")

    def record_runs(self) -> None:
        """Note how many runs each runner has on its cores."""
        now = now_us()
        for runner in self.runners:
            mean = runner.kernel.cores.concurrency.mean(now) / CORES
            self.runs_per_core[runner.name].append((self.load.now_s, mean))

    def slow_first_runner(self) -> None:
        """Slow it once."""
        kernel = self.runners[0].kernel
        if kernel.cores.factor == 1.0:
            kernel.slow(SLOW_FACTOR)

    def close(self) -> None:
        """Kill all runners, close what they speak with."""
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
        """The runners as the first balancer knows them."""
        return self._balancers[0].servers

    def served_value_share(self) -> float:
        """Share of the value asked for that was served within its latency objective."""
        return self.load.served_value / max(1e-9, self.load.offered_value)

    def served_share_since(self, since_s: float) -> float:
        """Share of the later requests that were served within their latency objective."""
        requests = sum(arrival.at_s >= since_s for arrival in self.load.arrivals)
        served = sum(
            completion.sent_at_s >= since_s and completion.outcome == "served"
            for completion in self.load.completions
        )
        return served / max(1, requests)

    def worst_runs_per_core(self) -> float:
        """The highest mean of any runner."""
        return max(runner.kernel.worst_runs_per_core for runner in self.runners)

    def traffic_share(self, runner: str, since_s: float, until_s: float) -> float:
        """Of the requests that were sent within some time."""
        names = [sent.runner for sent in self._sent if since_s <= sent.at_s < until_s]
        return names.count(runner) / max(1, len(names))

    def weight_lowered_at(self) -> list[float]:
        """When each balancer first read, after the slowdown, that the first runner should get half or less."""
        times_s = []
        for balancer in self._balancers:
            for report in balancer.servers[0].agent_reports:
                at_s = self.seconds_of(report.at_us)
                if at_s >= SLOW_AT_S and report.weight <= 50:
                    times_s.append(at_s)
                    break
        return times_s

    def traffic_shifted_at(self) -> float | None:
        """When, since its weight was lowered, the first runner gets under two thirds of an even share of a second."""
        at_s = min(self.weight_lowered_at(), default=SLOW_AT_S)
        while at_s < SLOW_AT_S + SLOW_FOR_S:
            if self.traffic_share(self.runners[0].name, at_s, at_s + 1) < _SHIFTED_SHARE:
                return at_s
            at_s += _SHIFT_STEP_S
        return None

    def seconds_of(self, at_us: int) -> float:
        """Seconds from the start of the load."""
        return (at_us - self.load.began_us) / 1e6
