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
from .staleness import LinkMonitor, freshness
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

    def report(self, seen: Observation, balancer: str = "") -> HealthReport:
        """The report for an observation, and for the balancer that probes.

        Raises:
            ImpossibleTransitionError: what is seen can't follow what was.
        """
        now = seen.now
        policy = self.policy
        if balancer:
            self.probes.probed(now, balancer)
        link = self.link.state(
            now, round(policy.link_down_grace_ms * 1000), round(policy.link_settle_ms * 1000)
        )
        runnable, unknown = self._believed_runnable(seen)
        horizon_us = self.horizon_us(now)
        survives = self._survivable(seen)
        forecast = self._forecast(seen, runnable, horizon_us)
        parts = self._pressure_parts(seen, forecast / survives)
        pressure = max(parts.values())
        state, reason = self._next_state(seen, link.failed, link.reason, pressure)
        changed = self._enter(state, now)
        cap = step_down(FULL_WEIGHT * link.trust * min(1.0, seen.speed)) if state.routable else 0
        weight = self._weight.update(now, cap, self._zone(pressure), self._floor(cap, now), horizon_us)
        cores = self.facts.cores
        return HealthReport(
            state=state,
            weight=weight,
            reason=reason or self._describe(seen, parts, forecast, survives, link.reason),
            routable=state.routable and weight > 0,
            changed=changed,
            pressure=pressure,
            mean_per_core=self.on_cores.mean(now) / cores,
            forecast_per_core=forecast / cores,
            survivable_per_core=survives / cores,
            horizon_us=horizon_us,
            max_connections=self._max_connections(seen, survives),
            unknown=unknown,
            pressure_parts=parts,
        )

    # ---- pressure ----

    def _survivable(self, seen: Observation) -> float:
        per_core = self.policy.survivable_runs_per_core or self.facts.survivable_runs_per_core
        return survivable_runs(self.facts.cores, per_core, seen.speed)

    def _forecast(self, seen: Observation, runnable: float, horizon_us: int) -> float:
        """The highest mean of runs on the cores until balancers have acted."""
        facts = self.facts
        now = seen.now
        survivable = survivable_runs(facts.cores, facts.survivable_runs_per_core, seen.speed)
        return forecast_peak_mean(
            self.on_cores,
            now,
            horizon_us,
            min_level=runnable,
            waiting=seen.queued + seen.at_calls,
            arrivals_per_s=self._arrivals.per_second(now),
            ends_per_s=self._ends_per_s(now),
            max_level=facts.max_running_fraction * survivable,
        )

    def _ends_per_s(self, now: int) -> float:
        """Runs a second that end, less a deviation: chance must not promise a quick end of an overload."""
        count = float(self._ends.count(now))
        return (count - math.sqrt(count)) / (ENDS_WINDOW_US / 1e6)

    def _believed_runnable(self, seen: Observation) -> tuple[float, tuple[str, ...]]:
        """What wants a core by the kernel's gauges, as far as they can be believed, and why they can't be. They can
        only add to the own count: gauges that are stuck at idle must not hide the forty runs that were started."""
        gauges = seen.gauges
        if gauges is None:
            return 0.0, ("gauges: never told",) if seen.kernel_up and seen.on_cores else ()
        age_us = seen.now - gauges.read_at_us
        believed = freshness(
            age_us, round(self.policy.gauges_fresh_ms * 1000), round(self.policy.gauges_expired_ms * 1000)
        )
        if believed == 0.0 and seen.on_cores:
            return 0.0, (f"gauges: {age_us / 1e6:.1f} s old",)
        many = seen.on_cores > CONTRADICTING_RUNS_PER_CORE * self.facts.cores
        if gauges.busy is not None and gauges.busy < IDLE_BUSY_SHARE and many:
            return 0.0, (f"gauges: say {gauges.busy:.0%} busy while {seen.on_cores} run",)
        if gauges.runnable is None:
            return 0.0, ()
        # Reading and new connections want cores too: what goes beyond the own count is not all runs.
        return believed * min(gauges.runnable, seen.on_cores + seen.at_calls + seen.queued), ()

    def _pressure_parts(self, seen: Observation, crossing: float) -> dict[str, float]:
        """Each part is 1 where it alone would mean too much. The names are read in `GET /standing`."""
        policy = self.policy
        max_wait_us = policy.max_queue_wait_fraction * self.facts.shortest_objective_us
        queue_wait = seen.oldest_queued_us / max(1.0, max_wait_us)
        arrivals = self._arrivals.count(seen.now)
        rejections = self._rejections.count(seen.now)
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
        self, seen: Observation, link_failed: bool, link_reason: str, pressure: float
    ) -> tuple[HealthState, str]:
        """The state, and its reason where that is no matter of pressure."""
        now = seen.now
        if self.maintenance is not None and self.maintenance.has_expired(now):
            self.maintenance = None
        if seen.draining:
            left_s = max(0, seen.shutdown_remaining_us) / 1e6
            return HealthState.DRAINING, f"leaving, {left_s:.1f} s left, {seen.unanswered} open"
        if self.maintenance is not None:
            return HealthState.MAINTENANCE, _maintenance_reason(self.maintenance, now)
        if not seen.kernel_up:
            return HealthState.STARTING, "no word from the kernel yet"
        if link_failed:
            return HealthState.FAILED, link_reason
        if not seen.healthy:
            return HealthState.FAILED, "the decision module says unfit"
        is_overloaded = self.state is HealthState.OVERLOADED
        edge = self.policy.recovered_below if is_overloaded else self.policy.overloaded_above
        if pressure >= edge:
            return HealthState.OVERLOADED, ""
        return (HealthState.WARMING_UP if seen.speed < 1.0 else HealthState.SERVING), ""

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

    def _floor(self, cap: int, now: int) -> int:
        """An overload that all runners have is shed down to what this one is still worth, not further."""
        worth = FULL_WEIGHT * self.throughput.relative_to_best(now)
        return step_down(min(cap, max(self.policy.min_overloaded_weight, worth)))

    def _max_connections(self, seen: Observation, survives: float) -> int:
        """Each balancer counts only what it sent itself, and all that is open here may come onto the cores at one time.
        Runs whose answer was given still take the cores, and are in nobody's count."""
        answered = max(0, seen.on_cores + seen.at_calls + seen.queued - seen.unanswered)
        available = survives * self.policy.no_traffic_above - answered
        return max(1, int(available / max(1, self.probes.active(seen.now))))

    def _describe(
        self, seen: Observation, parts: dict[str, float], forecast: float, survives: float, link: str
    ) -> str:
        """The reason of a state that is a matter of pressure."""
        cores = self.facts.cores
        phrases = [f"{forecast / cores:.1f} of {survives / cores:.1f} a core ahead"]
        if self.state is HealthState.OVERLOADED:
            largest = max(parts, key=lambda name: parts[name])
            if largest == "held":
                phrases.insert(0, f"{seen.queued} held, the oldest {seen.oldest_queued_us / 1e6:.1f} s")
            elif largest == "refused":
                rejected = parts[largest] * self.policy.max_rejected_fraction
                phrases.insert(0, f"{rejected:.0%} turned away")
            ratio = self.throughput.ratio
            if ratio < SLOW_RATIO:
                phrases.append(f"runs take {1 / max(0.01, ratio):.1f} times as long as they did")
        if seen.speed < 1.0:
            phrases.append(f"{'' if seen.speed_known else 'at least '}{seen.speed:.0%} of full speed")
        if link:
            phrases.append(link)
        return ", ".join(phrases)


def _maintenance_reason(maintenance: Maintenance, now: int) -> str:
    if maintenance.expires_us is None:
        return maintenance.reason
    return f"{maintenance.reason}, {(maintenance.expires_us - now) / 1e6:.0f} s left"


def gauges_of(names: tuple[str, ...], values: tuple[float, ...], read_at_us: int) -> KernelGauges:
    """The gauges by the names of the settings, as far as the kernel tells them."""
    by_name = dict(zip(names, values, strict=False))
    return KernelGauges(read_at_us, by_name.get("cpu_busy"), by_name.get("runnable"), by_name.get("mem_used"))
