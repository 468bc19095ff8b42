"""From observations to what balancers are told: the health state, its weight and its reason."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .congestion import forecast_peak_mean, survivable_runs
from .history import LevelHistory, WindowedCount
from .observation import KernelGauges, Maintenance, Observation
from .policy import HealthPolicy
from .probe_intervals import ProbeIntervals
from .report import HealthReport
from .staleness import LinkMonitor, LinkState, freshness
from .states import HealthState, transition_reason
from .throughput import Throughput
from .weight import FULL_WEIGHT, PressureZone, WeightController, step_down

MIN_ARRIVALS = 8  # in a window, under which the fraction of rejections says nothing
MAX_INDIRECT_PRESSURE = 0.8  # under every `no_traffic_above`: only a forecast crossing takes all traffic away
ENDS_WINDOW_US = 1_500_000  # over which ends of runs are counted: a slowdown must show soon
SLOW_RATIO = 0.7  # of the best throughput, under which the reason says so
# Gauges that say idle while so many runs are on a core contradict what is known.
IDLE_BUSY_SHARE = 0.2
CONTRADICTING_RUNS_PER_CORE = 2.0


@dataclass(frozen=True, slots=True)
class RunnerFacts:
    """What the settings say of the runner.

    Attributes:
        survivable_runs_per_core: that a warm runner survives in the mean of the window.
        shortest_objective_us: the shortest latency objective of a class.
        max_running_fraction: of what the settings say is survived: up to there the scheduler starts runs.
        jitter: 0 to 1, by the runner's name: apart from the neighbours'.
    """

    cores: int
    survivable_runs_per_core: float
    window_us: int
    shortest_objective_us: int
    max_running_fraction: float = 1.0
    jitter: float = 0.5


@dataclass(frozen=True, slots=True)
class _Outlook:
    """What is expected until balancers have acted on a report.

    Attributes:
        forecast: the highest mean of runs on the cores.
        survivable: the mean that the runner survives.
        pressure: the largest of `pressure_parts`.
        unknown: what could not be counted.
    """

    horizon_us: int
    forecast: float
    survivable: float
    pressure_parts: dict[str, float]
    pressure: float
    unknown: tuple[str, ...]


class HealthTracker:
    """The health of one runner. Notified of what happens as it happens; `report` is called by probes.

    Attributes:
        state: as of the last report.
        since_us: when the runner came to it.
        link: the connection to the kernel.
        probes: who probes, and how often.
        maintenance: set by an operator.
        on_cores: the count of runs on the cores.
        throughput: how fast runs end.
    """

    def __init__(self, facts: RunnerFacts, policy: HealthPolicy, now: int) -> None:
        self.facts = facts
        self.policy = policy
        self.state = HealthState.STARTING
        self.since_us = now
        self.link = LinkMonitor()
        self.probes = ProbeIntervals()
        self.maintenance: Maintenance | None = None
        self.on_cores = LevelHistory(facts.window_us, now)
        self.throughput = Throughput(facts.cores, facts.window_us, now)
        self._ends = WindowedCount(ENDS_WINDOW_US, now)  # runs that are over; one at a call comes back
        self._arrivals = WindowedCount(facts.window_us, now)
        self._rejections = WindowedCount(facts.window_us, now)
        self._weight = WeightController(round(policy.ramp_s * 1e6), facts.jitter)

    def set_policy(self, policy: HealthPolicy) -> None:
        """A new configuration: what was measured stays."""
        self.policy = policy
        self._weight.set_ramp(round(policy.ramp_s * 1e6))

    # ---- what happens ----

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """The count of runs on the cores changes."""
        self.throughput.runs_on_cores(now, self.on_cores.value, on_cores)
        self.on_cores.set(now, on_cores)

    def request_arrived(self, now: int) -> None:
        """A request has been read."""
        self._arrivals.add(now)

    def run_ended(self, now: int, by: int = 1) -> None:
        """So many runs are over."""
        self._ends.add(now, by)

    def request_rejected(self, now: int) -> None:
        """The scheduler has rejected a request."""
        self._rejections.add(now)

    def set_maintenance(self, maintenance: Maintenance | None) -> bool:
        """An operator takes the runner out, or puts it back. False where it is too late: it is draining."""
        if self.state is HealthState.DRAINING:
            return False
        self.maintenance = maintenance
        return True

    # ---- what probes are told ----

    def horizon_us(self, now: int) -> int:
        """How long a report must hold: until the slowest balancer has probed again, and acted."""
        probe_us = max(round(self.policy.max_probe_interval_ms * 1000), self.probes.longest_us(now))
        return probe_us + round(self.policy.balancer_reaction_ms * 1000)

    def report(self, observation: Observation, balancer: str = "") -> HealthReport:
        """The report for an observation, and for the balancer that probes.

        Raises:
            ImpossibleTransitionError: what is observed can't follow what was.
        """
        now = observation.now
        if balancer:
            self.probes.probed(now, balancer)
        link = self._link_state(now)
        outlook = self._look_ahead(observation)
        state, reason = self._next_state(observation, link, outlook.pressure)
        changed = self._enter(state, now)
        weight = self._next_weight(observation, link, outlook)
        cores = self.facts.cores
        return HealthReport(
            state=state,
            weight=weight,
            reason=reason or self._describe(observation, link, outlook),
            routable=state.routable and weight > 0,
            changed=changed,
            pressure=outlook.pressure,
            mean_per_core=self.on_cores.mean(now) / cores,
            forecast_per_core=outlook.forecast / cores,
            survivable_per_core=outlook.survivable / cores,
            horizon_us=outlook.horizon_us,
            max_connections=self._max_connections(observation, outlook.survivable),
            unknown=outlook.unknown,
            pressure_parts=outlook.pressure_parts,
        )

    def _link_state(self, now: int) -> LinkState:
        grace_us = round(self.policy.link_down_grace_ms * 1000)
        return self.link.state(now, grace_us, round(self.policy.link_settle_ms * 1000))

    def _look_ahead(self, observation: Observation) -> _Outlook:
        runnable, unknown = self._believed_runnable(observation)
        horizon_us = self.horizon_us(observation.now)
        survivable = self._survivable(observation)
        forecast = self._forecast(observation, runnable, horizon_us)
        parts = self._pressure_parts(observation, forecast / survivable)
        return _Outlook(horizon_us, forecast, survivable, parts, max(parts.values()), unknown)

    # ---- pressure ----

    def _survivable(self, observation: Observation) -> float:
        per_core = self.policy.survivable_runs_per_core or self.facts.survivable_runs_per_core
        return survivable_runs(self.facts.cores, per_core, observation.speed)

    def _forecast(self, observation: Observation, runnable: float, horizon_us: int) -> float:
        """The highest mean of runs on the cores until balancers have acted."""
        facts = self.facts
        now = observation.now
        survivable = survivable_runs(facts.cores, facts.survivable_runs_per_core, observation.speed)
        return forecast_peak_mean(
            self.on_cores,
            now,
            horizon_us,
            min_level=runnable,
            waiting=observation.queued + observation.at_calls,
            arrivals_per_s=self._arrivals.per_second(now),
            ends_per_s=self._ends_per_s(now),
            max_level=facts.max_running_fraction * survivable,
        )

    def _ends_per_s(self, now: int) -> float:
        """Runs a second that end, less a deviation: chance must not promise a quick end of an overload."""
        count = float(self._ends.count(now))
        return (count - math.sqrt(count)) / (ENDS_WINDOW_US / 1e6)

    def _believed_runnable(self, observation: Observation) -> tuple[float, tuple[str, ...]]:
        """What wants a core by the kernel's gauges, as far as they can be believed, and why they can't be. They can
        only add to the own count: gauges that are stuck at idle must not hide the forty runs that were started."""
        gauges = observation.gauges
        if gauges is None:
            return 0.0, ("gauges: never told",) if observation.kernel_up and observation.on_cores else ()
        age_us = observation.now - gauges.read_at_us
        believed = freshness(
            age_us, round(self.policy.gauges_fresh_ms * 1000), round(self.policy.gauges_expired_ms * 1000)
        )
        if believed == 0.0 and observation.on_cores:
            return 0.0, (f"gauges: {age_us / 1e6:.1f} s old",)
        many = observation.on_cores > CONTRADICTING_RUNS_PER_CORE * self.facts.cores
        if gauges.busy is not None and gauges.busy < IDLE_BUSY_SHARE and many:
            return 0.0, (f"gauges: say {gauges.busy:.0%} busy while {observation.on_cores} run",)
        if gauges.runnable is None:
            return 0.0, ()
        # Reading and new connections want cores too: what goes beyond the own count is not all runs.
        return believed * min(
            gauges.runnable, observation.on_cores + observation.at_calls + observation.queued
        ), ()

    def _pressure_parts(self, observation: Observation, crossing: float) -> dict[str, float]:
        """Each part is 1 where it alone would mean too much. The names are read in `GET /standing`."""
        policy = self.policy
        max_wait_us = policy.max_queue_wait_fraction * self.facts.shortest_objective_us
        queue_wait = observation.oldest_queued_us / max(1.0, max_wait_us)
        arrivals = self._arrivals.count(observation.now)
        rejections = self._rejections.count(observation.now)
        rejected = 0.0
        if arrivals >= MIN_ARRIVALS:
            rejected = rejections / arrivals / policy.max_rejected_fraction
        return {
            "crowd": crossing,
            "held": min(MAX_INDIRECT_PRESSURE, queue_wait),
            "refused": min(MAX_INDIRECT_PRESSURE, rejected),
        }

    def _zone(self, pressure: float) -> PressureZone:
        policy = self.policy
        if pressure >= policy.no_traffic_above:
            return PressureZone.CROSSING
        if pressure >= policy.overloaded_above:
            return PressureZone.OVERLOADED
        return PressureZone.DEAD_BAND if pressure >= policy.recovered_below else PressureZone.RELAXED

    # ---- state ----

    def _next_state(
        self, observation: Observation, link: LinkState, pressure: float
    ) -> tuple[HealthState, str]:
        """The state, and its reason where that is no matter of pressure."""
        now = observation.now
        if self.maintenance is not None and self.maintenance.has_expired(now):
            self.maintenance = None
        if observation.draining:
            remaining_s = max(0, observation.shutdown_remaining_us) / 1e6
            return HealthState.DRAINING, f"leaving, {remaining_s:.1f} s left, {observation.unanswered} open"
        if self.maintenance is not None:
            return HealthState.MAINTENANCE, _maintenance_reason(self.maintenance, now)
        if not observation.kernel_up:
            return HealthState.STARTING, "no word from the kernel yet"
        if link.failed:
            return HealthState.FAILED, link.reason
        if not observation.healthy:
            return HealthState.FAILED, "the decision module says unfit"
        is_overloaded = self.state is HealthState.OVERLOADED
        edge = self.policy.recovered_below if is_overloaded else self.policy.overloaded_above
        if pressure >= edge:
            return HealthState.OVERLOADED, ""
        return (HealthState.WARMING_UP if observation.speed < 1.0 else HealthState.SERVING), ""

    def _enter(self, state: HealthState, now: int) -> str:
        """Change to a state. Returns why; "" where nothing changes."""
        changed = transition_reason(self.state, state)
        if self.state is HealthState.STARTING and state is HealthState.SERVING:
            self._weight.start_full(now)  # a warm machine with a new program: nothing to start slowly for
        if state is not self.state:
            self.state = state
            self.since_us = now
        return changed

    # ---- what follows for balancers ----

    def _next_weight(self, observation: Observation, link: LinkState, outlook: _Outlook) -> int:
        """The weight, once the state is entered."""
        cap = 0
        if self.state.routable:
            cap = step_down(FULL_WEIGHT * link.trust * min(1.0, observation.speed))
        floor = self._floor(cap, observation.now)
        return self._weight.update(
            observation.now, cap, self._zone(outlook.pressure), floor, outlook.horizon_us
        )

    def _floor(self, cap: int, now: int) -> int:
        """An overload that all runners have is shed down to what this one is still worth, not further."""
        worth = FULL_WEIGHT * self.throughput.relative_to_best(now)
        return step_down(min(cap, max(self.policy.min_overloaded_weight, worth)))

    def _max_connections(self, observation: Observation, survives: float) -> int:
        """Each balancer counts only what it sent itself, and all that is open here may come onto the cores at one time.
        Runs whose answer was given still take the cores, and are in nobody's count."""
        answered = max(
            0, observation.on_cores + observation.at_calls + observation.queued - observation.unanswered
        )
        available = survives * self.policy.no_traffic_above - answered
        return max(1, int(available / max(1, self.probes.active(observation.now))))

    def _describe(self, observation: Observation, link: LinkState, outlook: _Outlook) -> str:
        """The reason of a state that is a matter of pressure."""
        cores = self.facts.cores
        phrases = [f"{outlook.forecast / cores:.1f} of {outlook.survivable / cores:.1f} a core ahead"]
        if self.state is HealthState.OVERLOADED:
            parts = outlook.pressure_parts
            largest = max(parts, key=lambda name: parts[name])
            if largest == "held":
                phrases.insert(
                    0, f"{observation.queued} held, the oldest {observation.oldest_queued_us / 1e6:.1f} s"
                )
            elif largest == "refused":
                rejected = parts[largest] * self.policy.max_rejected_fraction
                phrases.insert(0, f"{rejected:.0%} turned away")
            ratio = self.throughput.ratio
            if ratio < SLOW_RATIO:
                phrases.append(f"runs take {1 / max(0.01, ratio):.1f} times as long as they did")
        if observation.speed < 1.0:
            phrases.append(
                f"{'' if observation.speed_known else 'at least '}{observation.speed:.0%} of full speed"
            )
        if link.reason:
            phrases.append(link.reason)
        return ", ".join(phrases)


def _maintenance_reason(maintenance: Maintenance, now: int) -> str:
    if maintenance.expires_us is None:
        return maintenance.reason
    return f"{maintenance.reason}, {(maintenance.expires_us - now) / 1e6:.0f} s left"


def gauges_of(names: tuple[str, ...], values: tuple[float, ...], read_at_us: int) -> KernelGauges:
    """The gauges by the names of the settings, as far as the kernel tells them."""
    by_name = dict(zip(names, values, strict=False))
    return KernelGauges(read_at_us, by_name.get("cpu_busy"), by_name.get("runnable"), by_name.get("mem_used"))
