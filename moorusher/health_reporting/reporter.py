"""Connects the request engine to the health state: observes the runner when a health check requests a report."""

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

# A cached report is used for this time unless something changed: each new report iterates over the queue, which would
# be too expensive during a flood of health checks.
REPORT_CACHE_US = 10 * MS


class Reporter(EngineObserver):
    """Health state of one runner, calculated on request, and its maintenance mode.

    Attributes:
        core: Request engine, which notifies this observer.
        tracker: Tracker of the health state.
        stopped_accepting: Whether new client connections are no longer accepted.
        on_maintenance_changed: Called after an operator has set or ended maintenance.
    """

    def __init__(self, core: RequestEngine, policy: HealthPolicy, name: str) -> None:
        """Create the reporter of runner `name`."""
        self.core = core
        self.stopped_accepting = False
        self.on_maintenance_changed: Callable[[], None] = lambda: None
        # Derived from the name, so that runners change their weights at different times.
        jitter = zlib.crc32(name.encode()) / 2**32
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
        """Apply new settings; measurements are retained."""
        self.tracker.facts = self._facts(settings, self.tracker.facts.jitter)
        self._cached = None

    def set_policy(self, policy: HealthPolicy) -> None:
        """Apply a new policy from `[standing]`."""
        self.tracker.set_policy(policy)
        self._cached = None

    def stop_accepting(self) -> None:
        """Record that new client connections are no longer accepted."""
        self.stopped_accepting = True
        self._cached = None

    # ---- notifications of the engine; `now` in us ----

    def runs_on_cores(self, now: int, on_cores: int) -> None:
        """Called when the number of runs on the cores changes."""
        self.tracker.runs_on_cores(now, on_cores)

    def request_arrived(self, now: int) -> None:
        """Called when a request has been read."""
        self.tracker.request_arrived(now)

    def run_ended(self, now: int) -> None:
        """Called when a run has ended."""
        self.tracker.run_ended(now)

    def request_rejected(self, now: int) -> None:
        """Called when a request has been rejected."""
        self.tracker.request_rejected(now)

    def link_up(self, now: int) -> None:
        """Called when the kernel is connected."""
        self.tracker.link.up(now)
        self._cached = None

    def link_lost(self, now: int) -> None:
        """Called when the connection to the kernel was lost."""
        self.tracker.link.lost(now)
        self._cached = None

    def state_changed(self) -> None:
        """Called when anything else has changed that is part of a report."""
        self._cached = None

    # ---- maintenance ----

    def set_maintenance(self, reason: str, duration_s: float | None = None) -> bool:
        """Set maintenance, so that load balancers send no new requests; requests that still arrive are served.

        :param duration_s: None for maintenance without an end time.
        :returns: False, without any change, if the runner is draining.
        """
        self.core.start_turn()
        now = self.core.clock.now
        self._cached = None
        if self.core.drain_state.draining:
            return False
        expires_us = None if duration_s is None else now + round(duration_s * SECOND)
        is_set = self.tracker.set_maintenance(Maintenance(reason, now, expires_us))
        log.info("maintenance set: reason=%s", reason)
        self.on_maintenance_changed()
        return is_set

    def end_maintenance(self) -> bool:
        """End maintenance. Return False if none was set, or if the runner is draining."""
        self.core.start_turn()
        had_maintenance = self.tracker.maintenance is not None
        self._cached = None
        if self.core.drain_state.draining or not self.tracker.set_maintenance(None):
            return False
        self.on_maintenance_changed()  # also if none was set here: another process of this runner may have some
        if had_maintenance:
            log.info("maintenance ended")
        return had_maintenance

    def copy_maintenance(self, maintenance: Maintenance | None) -> None:
        """Apply the maintenance that an operator has set at another process of this runner; None for no maintenance."""
        self.core.start_turn()
        self._cached = None
        self.tracker.set_maintenance(maintenance)

    @property
    def is_in_rotation(self) -> bool:
        """Whether no maintenance is in effect."""
        maintenance = self.tracker.maintenance
        return maintenance is None or maintenance.has_expired(self.core.clock.now)

    @property
    def is_fit(self) -> bool:
        """Whether the runner is healthy, for health checks with only two results."""
        # Ignores overload and a short loss of the kernel: a load balancer that notices the recovery seconds late would
        # exclude the runner for longer than either lasts (docs/design/standing.md).
        core = self.core
        return core.ready and core.state.healthy and not core.drain_state.draining and self.is_in_rotation

    # ---- reports ----

    def observe(self) -> Observation:
        """Return the current measurements of the runner."""
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

        :param source: Load balancer that sent the health check; "" for other callers.
        """
        self.core.start_turn()
        now = self.core.clock.now
        if self._cached is not None and now - self._cached_at_us < REPORT_CACHE_US:
            if source:
                self.tracker.probes.probed(now, source)
            return self._cached
        report = self._make_report(source)
        self._record_change(report)
        # Only the first caller gets `changed`, so that callers of the cached report do not see the same change again.
        self._cached = replace(report, changed="")
        self._cached_at_us = now
        return report

    def _make_report(self, source: str) -> HealthReport:
        """Return the tracker's report, or a report of state FAILED if the observations contradict each other."""
        # With contradictory observations the runner can't be trusted with traffic, but a health check must be answered.
        try:
            return self.tracker.report(self.observe(), source)
        except ImpossibleTransitionError as error:
            log.error("contradictory observations, reporting state failed: reason=%s", error)
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
