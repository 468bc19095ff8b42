"""Joins the request engine to the health state: observes a runner when a health check asks for its report."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from dataclasses import replace

from moorusher.scheduling.concurrency import MAX_RUNNING_FRACTION
from moorusher.scheduling.interface import Settings

from ..core.observer import EngineObserver
from ..core.request_engine import RequestEngine
from ..health.observation import Maintenance, Observation
from ..health.policy import HealthPolicy
from ..health.report import HealthReport
from ..health.states import HealthState, ImpossibleTransitionError
from ..health.tracker import HealthTracker, RunnerFacts, gauges_of
from ..time_units import MS, SECOND

log = logging.getLogger("moorusher")

# A report is worked out anew after this time, or at once where something changed: each report walks through what is
# queued, and a flood of health checks must not cost that much each.
REPORT_CACHE_US = 10 * MS


class Reporter(EngineObserver):
    """One runner's health state, worked out when it is asked for, and its maintenance mode.

    `core`: the request engine, which notifies this observer. `tracker`: the health state. `stopped_accepting`: clients
    are not accepted any more. `on_maintenance_changed`: called after an operator has set or ended maintenance.
    """

    def __init__(self, core: RequestEngine, policy: HealthPolicy, name: str) -> None:
        self.core = core
        self.stopped_accepting = False
        self.on_maintenance_changed: Callable[[], None] = lambda: None
        jitter = (
            zlib.crc32(name.encode()) / 2**32
        )  # runners with other names change their weights at other moments
        self.tracker = HealthTracker(self._facts(core.settings, jitter), policy, core.clock.now)
        self._cached: HealthReport | None = None
        self._cached_at_us = 0
        core.hooks.observer = self

    @staticmethod
    def _facts(settings: Settings, jitter: float) -> RunnerFacts:
        shortest_objective_ms = min(c.latency_objective_ms for c in settings.classes)
        return RunnerFacts(
            settings.cores,
            settings.survivable_runs_per_core,
            round(settings.overload_window_ms * MS),
            round(shortest_objective_ms * MS),
            MAX_RUNNING_FRACTION,
            jitter,
        )

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings; what was observed stays."""
        self.tracker.facts = self._facts(settings, self.tracker.facts.jitter)
        self._cached = None

    def set_policy(self, policy: HealthPolicy) -> None:
        """Apply a new policy of `[standing]`."""
        self.tracker.set_policy(policy)
        self._cached = None

    def stop_accepting(self) -> None:
        """Clients are not accepted any more."""
        self.stopped_accepting = True
        self._cached = None

    # ---- what the engine notifies; `now` in us ----

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """So many runs use the cores."""
        self.tracker.runs_on_cores(now, on_cores)

    def request_arrived(self, now: int) -> None:
        """A request was read."""
        self.tracker.request_arrived(now)

    def run_ended(self, now: int) -> None:
        """A run has ended."""
        self.tracker.run_ended(now)

    def request_rejected(self, now: int) -> None:
        """A request was rejected."""
        self.tracker.request_rejected(now)

    def link_up(self, now: int) -> None:
        """The kernel is connected."""
        self.tracker.link.up(now)
        self._cached = None

    def link_lost(self, now: int) -> None:
        """The kernel's connection was lost."""
        self.tracker.link.lost(now)
        self._cached = None

    def state_changed(self) -> None:
        """Something else has changed that a report tells."""
        self._cached = None

    # ---- maintenance ----

    def set_maintenance(self, reason: str, duration_s: float | None = None) -> bool:
        """Take the runner out of its load balancers; what still comes is served. None: until it is ended.

        Returns False, and changes nothing, where the runner drains already.
        """
        self.core.begin_turn()
        now = self.core.clock.now
        self._cached = None
        if self.core.drain_state.draining:
            return False
        expires_us = None if duration_s is None else now + round(duration_s * SECOND)
        is_set = self.tracker.set_maintenance(Maintenance(reason, now, expires_us))
        log.info("taken out: %s", reason)
        self.on_maintenance_changed()
        return is_set

    def end_maintenance(self) -> bool:
        """Put the runner back. Returns False where no maintenance was set, or where the runner drains."""
        self.core.begin_turn()
        had_maintenance = self.tracker.maintenance is not None
        self._cached = None
        if self.core.drain_state.draining or not self.tracker.set_maintenance(None) or not had_maintenance:
            return False
        log.info("put back")
        self.on_maintenance_changed()
        return True

    def copy_maintenance(self, maintenance: Maintenance | None) -> None:
        """Take over what an operator has set at another process of this runner."""
        self.core.begin_turn()
        self._cached = None
        self.tracker.set_maintenance(maintenance)

    @property
    def is_in_rotation(self) -> bool:
        """Whether no maintenance is set."""
        maintenance = self.tracker.maintenance
        return maintenance is None or maintenance.has_expired(self.core.clock.now)

    @property
    def is_fit(self) -> bool:
        """The answer of health checks that know only yes and no.

        It leaves overload and a short loss of the kernel out: lists that learn of the return seconds late would keep
        the runner off for longer than either lasts (docs/design/standing.md).
        """
        core = self.core
        return core.ready and core.state.healthy and not core.drain_state.draining and self.is_in_rotation

    # ---- reports ----

    def observe(self) -> Observation:
        """Return what is to be seen of the runner now."""
        core = self.core
        queued, oldest_queued_us = core.table.queued(core.clock.now)
        gauges = core.kernel_status.gauges
        return Observation(
            core.clock.now,
            core.ready,
            core.kernel_status.warm_up_speed(),
            False,
            core.runs.on_cores,
            core.runs.at_calls,
            queued,
            oldest_queued_us,
            core.table.unanswered,
            core.state.healthy,
            core.drain_state.draining,
            self.stopped_accepting,
            core.drain_state.remaining_us,
            gauges_of(core.settings.gauges, gauges, core.kernel_status.gauges_at) if gauges else None,
        )

    def report(self, source: str = "") -> HealthReport:
        """Return the health report, at most `REPORT_CACHE_US` old.

        :param source: the load balancer that asks, "" for anybody else; its interval bounds how fast weights change.
        """
        self.core.begin_turn()
        now = self.core.clock.now
        if self._cached is not None and now - self._cached_at_us < REPORT_CACHE_US:
            if source:
                self.tracker.probes.probed(now, source)
            return self._cached
        report = self._make_report(source)
        self._record_change(report)
        # `changed` is told once: those who share this report must not take it for a further change.
        self._cached = replace(report, changed="")
        self._cached_at_us = now
        return report

    def _make_report(self, source: str) -> HealthReport:
        """A report that contradicts itself can't be trusted to take traffic, and no health check goes unanswered."""
        try:
            return self.tracker.report(self.observe(), source)
        except ImpossibleTransitionError as error:
            log.error(
                "observations of this runner contradict each other, it reports failed: reason=%s", error
            )
            reason = f"standing unknown: {error}"
            return HealthReport(HealthState.FAILED, 0, reason, False, "", 0.0, 0.0, 0.0, 0.0, 0, 0)

    def _record_change(self, report: HealthReport) -> None:
        if report.changed:
            log.info(
                "health state changed: state=%s weight=%d change=%r reason=%r",
                report.state.value,
                report.weight,
                report.changed,
                report.reason,
            )
            self.core.counters.add("standing: " + report.state.value)
        elif self._cached is not None and self._cached.weight != report.weight:
            self.core.counters.add("weights changed")
