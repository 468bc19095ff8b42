"""Joins the core to the standing: takes down what is to be seen of a runner when a probe asks."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from dataclasses import replace

from moorusher.scheduling.concurrency import MAX_RUNNING_FRACTION
from moorusher.scheduling.interface import Settings

from ..core.clock import MS
from ..core.observer import EngineObserver
from ..core.request_engine import RequestEngine
from ..health.observation import KernelGauges, Maintenance, Observation
from ..health.policy import HealthPolicy
from ..health.report import HealthReport
from ..health.states import HealthState, ImpossibleTransitionError
from ..health.tracker import HealthTracker, RunnerFacts, gauges_of

log = logging.getLogger("moorusher")

KEPT = (
    10 * MS
)  # a report is worked out anew after so long, or at once where something `changed`: a flood of probes
# must not have each of them walk through what is held


class Reporter(EngineObserver):
    """One runner's standing, worked out as it is asked for."""

    def __init__(self, core: RequestEngine, policy: HealthPolicy, name: str) -> None:
        s = core.settings
        self.core = core
        self.doors_closed = False
        self.told: Callable[[], None] = lambda: None  # an operator has taken the runner out, or put it back
        phase = zlib.crc32(name.encode()) / 2**32  # neighbours' names differ, and so their pace
        self.tracker = HealthTracker(self._facts(s, phase), policy, core.clock.now)
        self._last: HealthReport | None = None
        self._at = 0
        core.hooks.observer = self

    @staticmethod
    def _facts(s: Settings, phase: float) -> RunnerFacts:
        return RunnerFacts(
            s.cores,
            s.survivable_runs_per_core,
            round(s.overload_window_ms * MS),
            round(min(c.latency_objective_ms for c in s.classes) * MS),
            MAX_RUNNING_FRACTION,
            phase,
        )

    def retune(self, settings: Settings) -> None:
        """What was observed stays; what it is held against has changed."""
        self.tracker.facts = self._facts(settings, self.tracker.facts.jitter)
        self._last = None

    # ---- as it happens ----

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        self.tracker.runs_on_cores(now, on_cores)

    def request_arrived(self, now: int) -> None:
        self.tracker.request_arrived(now)

    def run_ended(self, now: int) -> None:
        self.tracker.run_ended(now)

    def request_rejected(self, now: int) -> None:
        self.tracker.request_rejected(now)

    def link_up(self, now: int) -> None:
        self.tracker.link.up(now)
        self._last = None

    def link_lost(self, now: int) -> None:
        self.tracker.link.lost(now)
        self._last = None

    def state_changed(self) -> None:
        self._last = None

    def stop_accepting(self) -> None:
        self.doors_closed, self._last = True, None

    def set_policy(self, policy: HealthPolicy) -> None:
        self.tracker.set_policy(policy)
        self._last = None

    # ---- maintenance ----

    def maintain(self, reason: str, for_s: float | None = None) -> bool:
        """False where the runner leaves already. The one state behind maintenance and quiesce: health is bad from
        this turn on, and whatever still comes is served."""
        self.core.begin_turn()
        log.info("taken out: %s", reason)
        now = self.core.clock.now
        self._last = None
        if self.core.drain_state.draining:
            return False
        taken = self.tracker.set_maintenance(
            Maintenance(reason, now, None if for_s is None else now + round(for_s * 1e6))
        )
        self.told()
        return taken

    def put_back(self) -> bool:
        """False where no maintenance was set."""
        self.core.begin_turn()
        was = self.tracker.maintenance
        self._last = None
        back = not self.core.drain_state.draining and self.tracker.set_maintenance(None) and was is not None
        if back:
            log.info("put back")
            self.told()
        return back

    def follow(self, maintenance: Maintenance | None) -> None:
        """As an operator has told another process of this runner."""
        self.core.begin_turn()
        self._last = None
        self.tracker.set_maintenance(maintenance)

    @property
    def wanted(self) -> bool:
        """No operator has taken it out: what the platform's own health checks hear."""
        m = self.tracker.maintenance
        return m is None or m.has_expired(self.core.clock.now)

    @property
    def fit(self) -> bool:
        """The short answer of all health checks that know only yes and no. Not the whole standing: a crowd or a link
        that is gone for a moment would take a runner off lists that learn of its return seconds late
        (docs/design/standing.md has what that cost)."""
        core = self.core
        return core.ready and core.state.healthy and not core.drain_state.draining and self.wanted

    # ---- as probes ask ----

    def observe(self) -> Observation:
        core = self.core
        held, oldest = core.table.queued(core.clock.now)
        values = core.kernel_status.gauges
        return Observation(
            core.clock.now,
            core.ready,
            core.kernel_status.warm_up_speed(),
            False,
            core.runs.on_cores,
            core.runs.at_calls,
            held,
            oldest,
            core.table.unanswered,
            core.state.healthy,
            core.drain_state.draining,
            self.doors_closed,
            core.drain_state.remaining_us,
            gauges_of(core.settings.gauges, values, core.kernel_status.gauges_at) if values else None,
        )

    def report(self, source: str = "") -> HealthReport:
        self.core.begin_turn()
        now = self.core.clock.now
        if self._last is not None and now - self._at < KEPT:
            if source:
                self.tracker.probes.probed(now, source)
            return self._last
        try:
            made = self.tracker.report(self.observe(), source)
        except ImpossibleTransitionError as exc:
            # What contradicts itself can't be trusted to take traffic; it is said, and no probe goes unanswered.
            log.error("observations of this runner contradict each other, it reports failed: reason=%s", exc)
            made = HealthReport(
                HealthState.FAILED, 0, f"standing unknown: {exc}", False, "", 0.0, 0.0, 0.0, 0.0, 0, 0
            )
        if made.changed:
            log.info(
                "health state changed: state=%s weight=%d change=%r reason=%r",
                made.state.value,
                made.weight,
                made.changed,
                made.reason,
            )
            self.core.counters.add("standing: " + made.state.value)
        elif self._last is not None and self._last.weight != made.weight:
            self.core.counters.add("weights changed")
        # `changed` is said once: those who share this report must not take it for a further change.
        self._last, self._at = replace(made, changed=""), now
        return made

    def inputs(self) -> dict[str, object]:
        """All that the standing is made of, with ages in ms, for `GET /standing`."""
        made = self.report()
        seen, tracker = self.observe(), self.tracker
        m = tracker.maintenance
        return {
            "standing": made.state.value,
            "weight": made.weight,
            "reason": made.reason,
            "since_ms": (seen.now - tracker.since_us) / MS,
            "routable": made.routable,
            "pressure": made.pressure,
            "parts": made.pressure_parts,
            "unknown": list(made.unknown),
            "crowd": {
                "now": seen.on_cores,
                "mean_per_core": made.mean_per_core,
                "forecast_per_core": made.forecast_per_core,
                "survives_per_core": made.survivable_per_core,
                "horizon_ms": made.horizon_us / MS,
                "trend_per_s": tracker.on_cores.trend(seen.now),
            },
            "at_calls": seen.at_calls,
            "held": seen.queued,
            "oldest_held_ms": seen.oldest_queued_us / MS,
            "open": seen.unanswered,
            "speed": seen.speed,
            "gauge": None if seen.gauges is None else _gauges_json(seen.gauges, seen.now),
            "link": {"losses_in_30_s": tracker.link.flaps(seen.now)},
            "maintenance": None
            if m is None
            else {
                "reason": m.reason,
                "for_ms": (seen.now - m.since_us) / MS,
                "left_ms": None if m.expires_us is None else (m.expires_us - seen.now) / MS,
            },
            "draining": seen.draining,
            "left_ms": seen.shutdown_remaining_us / MS,
            "balancers": {
                "known": len(tracker.probes),
                "slowest_ms": tracker.probes.longest_us(seen.now) / MS,
            },
        }


def _gauges_json(gauges: KernelGauges, now: int) -> dict[str, float | None]:
    return {
        "busy": gauges.busy,
        "runnable": gauges.runnable,
        "memory": gauges.memory,
        "age_ms": (now - gauges.read_at_us) / MS,
    }
