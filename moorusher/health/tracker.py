"""Turns observations of a runner into a health report: state, weight and reason."""

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

MIN_ARRIVALS = 8  # with fewer requests in a window, its rejections cause no pressure
# Bound of pressure from queueing and rejections, below any `no_traffic_threshold`: only forecasts stop all traffic.
MAX_INDIRECT_PRESSURE = 0.8
ENDS_WINDOW_US = 1_500_000  # window of the rate at which runs end; short, so that a slowdown shows soon
SLOW_RATIO = 0.7  # fraction of the best throughput below which the reason mentions slowness
# Gauges are contradictory, and ignored, if they report a busy fraction below IDLE_BUSY_SHARE while more than
# CONTRADICTING_RUNS_PER_CORE runs per core are on the cores.
IDLE_BUSY_SHARE = 0.2
CONTRADICTING_RUNS_PER_CORE = 2.0


@dataclass(frozen=True, slots=True)
class RunnerFacts:
    """Properties of the runner from its settings.

    Attributes:
        cores: Number of cores.
        survivable_runs_per_core: Highest window mean of runs per core at which a warm runner does not collapse.
        window_us: Window of the means.
        shortest_objective_us: Shortest latency objective of all request classes.
        max_running_fraction: Fraction of the survivable runs up to which the scheduler starts runs.
        jitter: Value from 0 to 1, derived from the runner's name so that runners differ.
    """

    cores: int
    survivable_runs_per_core: float
    window_us: int
    shortest_objective_us: int
    max_running_fraction: float = 1.0
    jitter: float = 0.5


@dataclass(frozen=True, slots=True)
class _Assessment:
    """Forecast and pressure until load balancers have reacted to a report.

    Attributes:
        horizon_us: Time until load balancers have reacted.
        forecast: Highest forecast mean of runs on the cores.
        survivable: Highest window mean at which the runner does not collapse.
        pressure_parts, pressure: Pressure by cause, and its maximum.
        unknown: Descriptions of measurements that were ignored.
    """

    horizon_us: int
    forecast: float
    survivable: float
    pressure_parts: dict[str, float]
    pressure: float
    unknown: tuple[str, ...]


class HealthTracker:
    """Tracks the health of one runner. Its methods are called for events, and `report` for each health check.

    Attributes:
        facts, policy: Properties of the runner from its settings, and operator settings of the health state.
        state, since_us: Health state as of the last report, and the time of its last change.
        link, probes: Monitor of the connection to the kernel, and health check intervals of load balancers.
        maintenance: Maintenance set by an operator; None if there is none.
        on_cores: History of the number of runs on the cores.
        throughput: Throughput compared with the recent best.
    """

    def __init__(self, facts: RunnerFacts, policy: HealthPolicy, now: int) -> None:
        """Create a tracker in state STARTING."""
        self.facts = facts
        self.policy = policy
        self.state = HealthState.STARTING
        self.since_us = now
        self.link = LinkMonitor()
        self.probes = ProbeIntervals()
        self.maintenance: Maintenance | None = None
        self.on_cores = LevelHistory(facts.window_us, now)
        self.throughput = Throughput(facts.cores, facts.window_us, now)
        self._ends = WindowedCount(ENDS_WINDOW_US, now)  # a run that waits for a call has not ended
        self._arrivals = WindowedCount(facts.window_us, now)
        self._rejections = WindowedCount(facts.window_us, now)
        self._weight = WeightController(round(policy.ramp_s * 1e6), facts.jitter)

    def set_policy(self, policy: HealthPolicy) -> None:
        """Apply a new policy; measurements are retained."""
        self.policy = policy
        self._weight.set_ramp(round(policy.ramp_s * 1e6))

    # ---- events ----

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """Called when the number of runs on the cores changes."""
        self.throughput.runs_on_cores(now, self.on_cores.value, on_cores)
        self.on_cores.set(now, on_cores)

    def request_arrived(self, now: int) -> None:
        """Called when a request has been read."""
        self._arrivals.add(now)

    def run_ended(self, now: int, by: int = 1) -> None:
        """Called when `by` runs have ended."""
        self._ends.add(now, by)

    def request_rejected(self, now: int) -> None:
        """Called when the scheduler has rejected a request."""
        self._rejections.add(now)

    def set_maintenance(self, maintenance: Maintenance | None) -> bool:
        """Set maintenance, or end it with None. Return False, without effect, if the runner is draining."""
        if self.state is HealthState.DRAINING:
            return False
        self.maintenance = maintenance
        return True

    # ---- reports ----

    def horizon_us(self, now: int) -> int:
        """Return how long a report must be valid: until the slowest load balancer has read the next one and reacted."""
        probe_us = max(round(self.policy.max_probe_interval_ms * 1000), self.probes.longest_us(now))
        return probe_us + round(self.policy.balancer_reaction_ms * 1000)

    def report(self, observation: Observation, balancer: str = "") -> HealthReport:
        """Return the report for an observation, and change to its state.

        :param balancer: Name of the load balancer that sent the health check; "" for other callers.
        :raises ImpossibleTransitionError: The observation contradicts the previous state.
        """
        now = observation.now
        if balancer:
            self.probes.probed(now, balancer)
        grace_us = round(self.policy.link_down_grace_ms * 1000)
        link = self.link.state(now, grace_us, round(self.policy.link_stabilization_ms * 1000))
        assessment = self._assess(observation)
        state, reason = self._next_state(observation, link, assessment.pressure)
        changed = self._transition_to(state, now)
        weight = self._next_weight(observation, link, assessment)
        cores = self.facts.cores
        return HealthReport(
            state=state,
            weight=weight,
            reason=reason or self._describe(observation, link, assessment),
            routable=state.routable and weight > 0,
            changed=changed,
            pressure=assessment.pressure,
            mean_per_core=self.on_cores.mean(now) / cores,
            forecast_per_core=assessment.forecast / cores,
            survivable_per_core=assessment.survivable / cores,
            horizon_us=assessment.horizon_us,
            max_connections=self._max_connections(observation, assessment.survivable),
            unknown=assessment.unknown,
            pressure_parts=assessment.pressure_parts,
        )

    def _assess(self, observation: Observation) -> _Assessment:
        runnable, unknown = self._trusted_runnable(observation)
        horizon_us = self.horizon_us(observation.now)
        per_core = self.policy.survivable_runs_per_core or self.facts.survivable_runs_per_core
        survivable = survivable_runs(self.facts.cores, per_core, observation.speed)
        forecast = self._forecast(observation, runnable, horizon_us)
        parts = self._pressure_parts(observation, forecast / survivable)
        return _Assessment(horizon_us, forecast, survivable, parts, max(parts.values()), unknown)

    # ---- pressure ----

    def _forecast(self, observation: Observation, runnable: float, horizon_us: int) -> float:
        """Return the highest mean of runs on the cores until load balancers have reacted."""
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
            ends_per_s=_cautious_rate(self._ends.count(now), ENDS_WINDOW_US / 1e6),
            max_level=facts.max_running_fraction * survivable,
        )

    def _trusted_runnable(self, observation: Observation) -> tuple[float, tuple[str, ...]]:
        """Return the runnable threads by the kernel's gauges, scaled by trust, and why the gauges were ignored."""
        # The gauges can only increase the forecast: gauges that are stuck at idle must not hide runs that were started.
        gauges = observation.gauges
        if gauges is None:
            return 0.0, ("gauges: never told",) if observation.kernel_up and observation.on_cores else ()
        age_us = observation.now - gauges.read_at_us
        trust = freshness(
            age_us, round(self.policy.gauges_fresh_ms * 1000), round(self.policy.gauges_expired_ms * 1000)
        )
        if trust == 0.0 and observation.on_cores:
            return 0.0, (f"gauges: {age_us / 1e6:.1f} s old",)
        has_many_runs = observation.on_cores > CONTRADICTING_RUNS_PER_CORE * self.facts.cores
        if gauges.busy is not None and gauges.busy < IDLE_BUSY_SHARE and has_many_runs:
            return 0.0, (f"gauges: say {gauges.busy:.0%} busy while {observation.on_cores} run",)
        if gauges.runnable is None:
            return 0.0, ()
        # Accepting connections and reading requests use cores, too, so runs and requests limit the number of threads.
        return trust * min(
            gauges.runnable, observation.on_cores + observation.at_calls + observation.queued
        ), ()

    def _pressure_parts(self, observation: Observation, core_pressure: float) -> dict[str, float]:
        """Return the pressure by cause; all but `crowd` are capped. The keys appear in `GET /standing`."""
        policy = self.policy
        max_wait_us = policy.max_queue_wait_fraction * self.facts.shortest_objective_us
        queue_wait = observation.oldest_queued_us / max(1.0, max_wait_us)
        arrivals = self._arrivals.count(observation.now)
        rejections = self._rejections.count(observation.now)
        rejected = 0.0
        if arrivals >= MIN_ARRIVALS:
            rejected = rejections / arrivals / policy.max_rejected_fraction
        return {
            "crowd": core_pressure,
            "held": min(MAX_INDIRECT_PRESSURE, queue_wait),
            "refused": min(MAX_INDIRECT_PRESSURE, rejected),
        }

    # ---- state ----

    def _next_state(
        self, observation: Observation, link: LinkState, pressure: float
    ) -> tuple[HealthState, str]:
        """Return the state, and its reason; "" if the state depends on pressure."""
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
        threshold = self.policy.recovery_threshold if is_overloaded else self.policy.overloaded_threshold
        if pressure >= threshold:
            return HealthState.OVERLOADED, ""
        return (HealthState.WARMING_UP if observation.speed < 1.0 else HealthState.SERVING), ""

    def _transition_to(self, state: HealthState, now: int) -> str:
        """Change to a state, and return the reason; "" if the state is the same."""
        changed = transition_reason(self.state, state)
        if self.state is HealthState.STARTING and state is HealthState.SERVING:
            self._weight.start_full(now)  # no slow start for a new process on a warm machine
        if state is not self.state:
            self.state = state
            self.since_us = now
        return changed

    # ---- weight, connection limit and reason ----

    def _next_weight(self, observation: Observation, link: LinkState, assessment: _Assessment) -> int:
        """Return the weight for the current state."""
        cap = 0
        if self.state.routable:
            cap = step_down(FULL_WEIGHT * link.trust * min(1.0, observation.speed))
        floor = self._min_weight(cap, observation.now)
        return self._weight.update(
            observation.now,
            cap,
            _pressure_zone(self.policy, assessment.pressure),
            floor,
            assessment.horizon_us,
        )

    def _min_weight(self, cap: int, now: int) -> int:
        """Return the weight below which an overload does not lower the weight, from the relative throughput."""
        # If all runners are overloaded, each has to continue to take the share that it can serve.
        throughput_weight = FULL_WEIGHT * self.throughput.relative_to_best(now)
        return step_down(min(cap, max(self.policy.min_overloaded_weight, throughput_weight)))

    def _max_connections(self, observation: Observation, survivable: float) -> int:
        """Return the number of requests that each load balancer may have open."""
        # A load balancer counts only its own requests, and all open requests may come onto the cores at the same time.
        # Runs that continue after their answer use the cores, too, but no load balancer counts them.
        answered = max(
            0, observation.on_cores + observation.at_calls + observation.queued - observation.unanswered
        )
        available = survivable * self.policy.no_traffic_threshold - answered
        return max(1, int(available / max(1, self.probes.active(observation.now))))

    def _describe(self, observation: Observation, link: LinkState, assessment: _Assessment) -> str:
        """Return the reason of a state that depends on pressure."""
        cores = self.facts.cores
        phrases = [f"{assessment.forecast / cores:.1f} of {assessment.survivable / cores:.1f} a core ahead"]
        if self.state is HealthState.OVERLOADED:
            parts = assessment.pressure_parts
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


def _cautious_rate(count: int, window_s: float) -> float:
    """Return the events per second less one standard deviation, so that chance does not suggest a quick recovery."""
    return (count - math.sqrt(count)) / window_s


def _pressure_zone(policy: HealthPolicy, pressure: float) -> PressureZone:
    if pressure >= policy.no_traffic_threshold:
        return PressureZone.CROSSING
    if pressure >= policy.overloaded_threshold:
        return PressureZone.OVERLOADED
    return PressureZone.DEAD_BAND if pressure >= policy.recovery_threshold else PressureZone.RELAXED


def _maintenance_reason(maintenance: Maintenance, now: int) -> str:
    if maintenance.expires_us is None:
        return maintenance.reason
    return f"{maintenance.reason}, {(maintenance.expires_us - now) / 1e6:.0f} s left"


def gauges_of(names: tuple[str, ...], values: tuple[float, ...], read_at_us: int) -> KernelGauges:
    """Return the gauges that the kernel reports, found by their names in the settings."""
    by_name = dict(zip(names, values, strict=False))
    return KernelGauges(read_at_us, by_name.get("cpu_busy"), by_name.get("runnable"), by_name.get("mem_used"))
