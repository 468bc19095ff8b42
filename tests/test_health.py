"""Health state, overload forecast, load balancing weight and health check answers, without I/O."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from moorusher.health import formatting, weight
from moorusher.health.congestion import forecast_peak_mean, survivable_runs
from moorusher.health.history import BUCKET_US, LevelHistory, WindowedCount
from moorusher.health.observation import KernelGauges, Maintenance, Observation
from moorusher.health.policy import HealthPolicy
from moorusher.health.probe_intervals import MAX_SOURCES, ProbeIntervals
from moorusher.health.report import HealthReport
from moorusher.health.staleness import LinkMonitor, freshness
from moorusher.health.states import TRANSITIONS, HealthState, ImpossibleTransitionError, transition_reason
from moorusher.health.tracker import HealthTracker, RunnerFacts

SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
RUNNER = RunnerFacts(
    cores=2, survivable_runs_per_core=5.0, window_us=3 * SECOND_US, shortest_objective_us=3 * SECOND_US
)
QUIET = Observation(START_US, True, 1.0, False, 0, 0, 0, 0, 0, True, False)


def new_tracker(policy: HealthPolicy | None = None, **facts: Any) -> HealthTracker:
    return HealthTracker(
        replace(RUNNER, **facts), policy or HealthPolicy(max_probe_interval_ms=500, ramp_s=8), START_US
    )


def serve_until_full_weight(tracker: HealthTracker, now_us: int = START_US) -> int:
    """Report a quiet runner for 30 s, until its weight is 100; return the time after it."""
    for _ in range(60):
        now_us += SECOND_US // 2
        tracker.report(replace(QUIET, now=now_us))
    return now_us


# ---- transitions ----


def test_each_transition_of_health_states_has_a_reason_or_raises() -> None:
    allowed = 0
    for before in HealthState:
        for after in HealthState:
            if before is after:
                assert transition_reason(before, after) == ""
            elif after in TRANSITIONS[before]:
                assert transition_reason(before, after)
                allowed += 1
            else:
                with pytest.raises(ImpossibleTransitionError, match=f"from {before.value} to {after.value}"):
                    transition_reason(before, after)
    assert allowed == sum(map(len, TRANSITIONS.values()))


@pytest.mark.parametrize(
    "before, change",
    [
        ({"draining": True}, {"draining": False}),  # a shutdown can't be cancelled
        ({}, {"kernel_up": False}),  # a kernel that has been up can't become one that has never been up
        ({}, {"speed": 0.5}),  # a warm kernel can't become cold, as a kernel restart restarts the runner
    ],
)
def test_contradictory_observations_raise(before: dict[str, Any], change: dict[str, Any]) -> None:
    """An observation that contradicts an earlier one is an error of the caller."""
    tracker = new_tracker()
    tracker.report(replace(QUIET, **before))
    with pytest.raises(ImpossibleTransitionError):
        tracker.report(replace(QUIET, now=START_US + SECOND_US, **change))


def test_draining_overrides_maintenance_and_is_final() -> None:
    tracker = new_tracker()
    tracker.report(QUIET)
    assert tracker.set_maintenance(Maintenance("disk", START_US))
    assert tracker.report(QUIET).state is HealthState.MAINTENANCE
    assert tracker.report(replace(QUIET, draining=True)).state is HealthState.DRAINING
    assert not tracker.set_maintenance(None) and not tracker.set_maintenance(
        Maintenance("again", START_US)
    )  # too late for either
    assert (
        tracker.report(replace(QUIET, now=START_US + SECOND_US, draining=True)).state is HealthState.DRAINING
    )


def test_maintenance_expires_and_is_followed_by_a_slow_start() -> None:
    """Maintenance with an end time ends automatically, and the weight must not return to 100 at once."""
    tracker = new_tracker()
    now_us = serve_until_full_weight(tracker)
    tracker.set_maintenance(Maintenance("disk", now_us, now_us + 2 * SECOND_US))
    first = tracker.report(replace(QUIET, now=now_us))
    assert (first.state, first.weight, first.reason) == (HealthState.MAINTENANCE, 0, "disk, 2 s left")
    back = tracker.report(replace(QUIET, now=now_us + 2 * SECOND_US))
    assert (back.state, back.weight) == (HealthState.SERVING, 5) and tracker.maintenance is None


# ---- forecast of the concurrent runs ----


@given(st.lists(st.tuples(st.integers(1, 900_000), st.integers(0, 60)), min_size=1, max_size=60))
def test_level_history_returns_the_mean_of_its_window(changes: list[tuple[int, int]]) -> None:
    history = LevelHistory(3 * SECOND_US, START_US)
    now_us = START_US
    values = [(0, 0)]
    for gap, value in changes:
        now_us += gap
        history.set(now_us, value)
        values.append((now_us, value))
    end = now_us + 123_457
    exact = sum(
        value * max(0, min(until, end) - max(since, end - 3 * SECOND_US))
        for (since, value), (until, _) in zip(values, [*values[1:], (end, 0)], strict=True)
    )
    # The window begins within the oldest bucket: the whole content of that bucket can be missing or too much.
    assert abs(history.mean(end) * 3 * SECOND_US - exact) <= 60 * BUCKET_US


def test_level_history_is_bounded_and_ignores_the_time_of_late_events() -> None:
    history = LevelHistory(3 * SECOND_US, START_US)
    history.set(START_US + SECOND_US, 7)
    history.set(START_US, 3)  # the time of this event is before that of the previous one
    assert history.mean(START_US + 100 * SECOND_US) == pytest.approx(3.0)
    assert len(history._buckets) == 61


@pytest.mark.parametrize(
    "growth_per_s, horizon_s, crosses", [(0, 2.5, False), (1, 1.0, False), (4, 2.5, True), (8, 1.0, True)]
)
def test_overload_is_forecast_from_the_trend(growth_per_s: int, horizon_s: float, crosses: bool) -> None:
    history = LevelHistory(3 * SECOND_US, START_US)
    for tenth in range(20):  # for two seconds, from 3 runs on, `growth_per_s` more runs per second
        history.set(START_US + tenth * SECOND_US // 10, 3 + growth_per_s * tenth // 10)
    now = START_US + 2 * SECOND_US
    assert history.mean(now) < 10
    forecast = forecast_peak_mean(history, now, round(horizon_s * SECOND_US), arrivals_per_s=10, ends_per_s=2)
    assert (forecast >= 10) is crosses
    # Queued requests continue to start after the load balancers have stopped sending, up to the runner's own limit.
    filling = forecast_peak_mean(history, now, SECOND_US, waiting=30, ends_per_s=2)
    assert (
        filling
        > forecast_peak_mean(history, now, SECOND_US, waiting=30, ends_per_s=2, max_level=8)
        >= history.mean(now)
    )
    # Without arrivals and with an empty queue the number of runs can't continue to grow.
    assert (
        forecast_peak_mean(history, now, round(horizon_s * SECOND_US), ends_per_s=2) <= 3 + 2 * growth_per_s
    )


def test_a_random_walk_is_not_taken_for_a_trend() -> None:
    """With eight arrivals and eight ends per second the number of runs varies randomly; this is not an overload."""
    rng = random.Random(5)
    history = LevelHistory(3 * SECOND_US, START_US)
    value = 8
    over = 0
    for step in range(2000):
        value = min(14, max(0, value + rng.choice((-1, 1))))
        now = START_US + step * SECOND_US // 16
        history.set(now, value)
        over += forecast_peak_mean(history, now, 2 * SECOND_US, arrivals_per_s=8, ends_per_s=8) > 18
    # Without the random walk correction, the forecast exceeds the limit in about 200 of the 2,000 steps.
    assert over < 20


@given(st.integers(0, 40), st.integers(0, 40), st.integers(0, 5_000_000))
def test_the_forecast_is_never_below_the_measured_mean_or_its_minimum(
    count: int, min_level: int, horizon: int
) -> None:
    history = LevelHistory(3 * SECOND_US, START_US)
    history.set(START_US + SECOND_US, count)
    now = START_US + 5 * SECOND_US
    forecast = forecast_peak_mean(history, now, horizon, min_level)
    assert forecast >= history.mean(now) - 1e-9
    if horizon >= 3 * SECOND_US:
        assert forecast >= max(count, min_level) - 1e-9


def test_windowed_count_drops_events_older_than_its_window() -> None:
    counts = WindowedCount(3 * SECOND_US, START_US)
    for i in range(10):
        counts.add(START_US + i * SECOND_US // 10)
    assert [counts.count(START_US + seconds * SECOND_US) for seconds in (1, 2, 10)] == [10, 10, 0]


@pytest.mark.parametrize("speed, survives", [(1.0, 10.0), (0.22, 2 * 1.88), (0.0, 2.0), (7.0, 10.0)])
def test_a_runner_survives_fewer_concurrent_runs_during_warm_up(speed: float, survives: float) -> None:
    assert survivable_runs(2, 5.0, speed) == pytest.approx(survives)


# ---- overload ----


def keep_running(tracker: HealthTracker, now_us: int, running: int, seconds: float = 3.0) -> int:
    """Let `running` runs occupy the cores for `seconds`; return the time after it."""
    tracker.runs_on_cores(now_us, running)
    return now_us + round(seconds * SECOND_US)


def test_overload_is_reported_before_it_happens_and_ends_with_hysteresis() -> None:
    """One more run starts every 100 ms until the runner is overloaded.

    Load balancers need a second to react, so the weight has to reach 0 at least a second before the overload.
    When runs end, the state remains OVERLOADED until the load is clearly below the limit.
    """
    tracker = new_tracker()
    now_us = serve_until_full_weight(tracker)
    weights = []
    running = 2
    while tracker.on_cores.mean(now_us) < 10:  # one more run each 100 ms; overloaded at 10
        running += 1
        now_us = keep_running(tracker, now_us, running, 0.1)
        reported = tracker.report(replace(QUIET, now=now_us, on_cores=running, queued=50))
        weights.append(reported.weight)
    first = next(i for i, w in enumerate(weights) if w <= 10)
    none = next(i for i, w in enumerate(weights) if w == 0)
    # The horizon is a second (10 reports), and the overload occurs more than a second after the first weight of 0.
    assert first <= none and len(weights) - none > 10
    assert sorted(weights, reverse=True) == weights  # the weight never rises during the increase of load
    # Runs end: the state remains until the load is clearly below the limit, and then the weight rises slowly.
    now_us = keep_running(tracker, now_us, 6, 4.0)
    assert tracker.report(replace(QUIET, now=now_us, on_cores=6)).state is HealthState.OVERLOADED
    now_us = keep_running(tracker, now_us, 3, 4.0)
    after = tracker.report(replace(QUIET, now=now_us, on_cores=3))
    assert after.state is HealthState.SERVING and after.weight < 100


def test_a_runner_is_overloaded_by_fewer_runs_during_warm_up() -> None:
    reports = {}
    for speed in (1.0, 0.22):
        tracker = new_tracker()
        tracker.report(replace(QUIET, speed=speed))
        now_us = keep_running(tracker, START_US, 4)
        reports[speed] = tracker.report(replace(QUIET, now=now_us, on_cores=4, speed=speed))
    assert reports[1.0].state is HealthState.SERVING
    assert (reports[0.22].state, reports[0.22].weight) == (HealthState.OVERLOADED, 0)
    assert "22% of full speed" in reports[0.22].reason


@pytest.mark.parametrize(
    "gauge, running, unknown",
    [
        # The gauges remain at their idle values, so the runner's own count is used.
        (KernelGauges(START_US, 0.02, 0.0), 40, "say 2% busy while 40 run"),
        (KernelGauges(START_US - 9 * SECOND_US, 0.9, 30.0), 40, "9.0 s old"),
        (None, 40, "never told"),
        (KernelGauges(START_US, 0.9, 40.0), 40, ""),
    ],
)
def test_implausible_kernel_gauges_are_reported_and_do_not_hide_overload(
    gauge: KernelGauges | None, running: int, unknown: str
) -> None:
    """The kernel's gauges are stuck, stale or missing: the runner's own count still shows the overload."""
    tracker = new_tracker()
    tracker.report(QUIET)
    tracker.runs_on_cores(START_US, running)
    now_us = START_US + 2 * SECOND_US
    if gauge is not None:
        gauge = replace(gauge, read_at_us=gauge.read_at_us + 2 * SECOND_US)
    reported = tracker.report(replace(QUIET, now=now_us, on_cores=running, gauges=gauge))
    assert (reported.state, reported.weight) == (HealthState.OVERLOADED, 0)
    assert unknown in " ".join(reported.unknown) and bool(reported.unknown) is bool(unknown)


def test_kernel_gauges_have_less_influence_with_increasing_age() -> None:
    forecasts = []
    for age in (0.0, 1.0, 3.0, 4.0, 6.0):
        tracker = new_tracker()
        tracker.report(QUIET)
        seen = replace(
            QUIET,
            now=START_US + SECOND_US,
            on_cores=2,
            queued=30,
            gauges=KernelGauges(START_US + SECOND_US - round(age * SECOND_US), 1.0, 30.0),
        )
        forecasts.append(tracker.report(seen).forecast_per_core)
    assert forecasts[0] == forecasts[1] > forecasts[2] > forecasts[3] > forecasts[4]


def test_long_queueing_or_rejections_mean_overloaded_but_still_routable() -> None:
    tracker = new_tracker()
    now_us = serve_until_full_weight(tracker)
    queueing = tracker.report(replace(QUIET, now=now_us, queued=9, oldest_queued_us=2 * SECOND_US))
    assert (
        queueing.state is HealthState.OVERLOADED
        and queueing.routable
        and "9 held, the oldest 2.0 s" in queueing.reason
    )
    tracker = new_tracker()
    now_us = serve_until_full_weight(tracker)
    for i in range(20):
        tracker.request_arrived(now_us)
        if i % 2:
            tracker.request_rejected(now_us)
    rejecting = tracker.report(replace(QUIET, now=now_us))
    assert (
        rejecting.state is HealthState.OVERLOADED and rejecting.routable and "turned away" in rejecting.reason
    )


# ---- health check intervals and stale readings ----


def test_the_forecast_horizon_follows_the_slowest_load_balancer_that_still_sends_health_checks() -> None:
    tracker = new_tracker(HealthPolicy(max_probe_interval_ms=200, balancer_reaction_ms=100))
    now_us = START_US
    for i in range(60):
        now_us = START_US + i * SECOND_US // 2
        tracker.probes.probed(now_us, "quick")
        if i % 10 == 0:
            tracker.probes.probed(now_us, "slow")
    assert tracker.horizon_us(now_us) == 5_100_000
    for _ in range(
        60
    ):  # The slow load balancer has stopped. It still counts for the time of three of its intervals.
        now_us += SECOND_US // 2
        tracker.probes.probed(now_us, "quick")
    assert tracker.horizon_us(now_us) == 600_000


def test_health_check_sources_are_bounded_and_simultaneous_checks_count_once() -> None:
    intervals = ProbeIntervals()
    for i in range(3 * MAX_SOURCES):
        intervals.probed(START_US + i, f"10.0.{i}")
    assert len(intervals) == MAX_SOURCES
    intervals.probed(START_US + SECOND_US, "x")
    intervals.probed(START_US + SECOND_US + 1000, "x")  # another thread of the same load balancer
    intervals.probed(START_US + 2 * SECOND_US, "x")
    assert intervals.longest_us(START_US + 2 * SECOND_US) == SECOND_US


@pytest.mark.parametrize("age, expected_trust", [(0, 1.0), (10, 1.0), (15, 0.5), (20, 0.0), (99, 0.0)])
def test_trust_in_a_reading_declines_linearly_with_its_age(age: int, expected_trust: float) -> None:
    assert freshness(age, 10, 20) == expected_trust


def test_a_short_loss_of_the_kernel_connection_is_tolerated_and_a_long_one_means_failed() -> None:
    """Trust in a lost connection falls over 2 s. It returns when the restored connection has been up for 0.5 s."""
    link = LinkMonitor()
    link.lost(START_US)
    link.lost(START_US + 1)  # the same loss is reported again
    assert link.flaps(START_US + 1) == 1
    assert link.state(START_US + 400_000, 2 * SECOND_US, SECOND_US // 2).trust == 1.0
    assert 0 < link.state(START_US + SECOND_US, 2 * SECOND_US, SECOND_US // 2).trust < 1
    assert link.state(START_US + 3 * SECOND_US, 2 * SECOND_US, SECOND_US // 2).failed
    link.up(START_US + 3 * SECOND_US)
    # The connection has to stay up for the settling time.
    assert link.state(START_US + 3 * SECOND_US + 1, 2 * SECOND_US, SECOND_US // 2).failed
    assert not link.state(START_US + 4 * SECOND_US, 2 * SECOND_US, SECOND_US // 2).failed


def test_a_flapping_kernel_connection_keeps_the_weight_low() -> None:
    """The connection to the kernel is lost and restored every second.

    A runner that reported its full weight after each reconnect would get requests that the next loss delays.
    """
    tracker = new_tracker()
    now_us = serve_until_full_weight(tracker)
    weights = []
    for _ in range(5):
        tracker.link.lost(now_us)
        weights.append(tracker.report(replace(QUIET, now=now_us + SECOND_US // 2)).weight)
        tracker.link.up(now_us + SECOND_US // 2)
        now_us += SECOND_US
        weights.append(tracker.report(replace(QUIET, now=now_us)).weight)
    assert max(weights[2:]) <= 75 and weights[-1] <= 50
    assert "lost 5 times in 30 s" in tracker.report(replace(QUIET, now=now_us)).reason
    assert (
        tracker.report(replace(QUIET, now=serve_until_full_weight(tracker, now_us + 10 * SECOND_US))).weight
        == 100
    )


# ---- weight ----

RELAXED, DEAD_BAND, OVERLOADED, CROSSING = weight.PressureZone


@given(
    st.floats(0, 1),
    st.lists(
        st.tuples(
            st.integers(0, 4_000_000), st.sampled_from(weight.STEPS), st.sampled_from(weight.PressureZone)
        ),
        max_size=60,
    ),
)
def test_weights_fall_one_step_per_horizon_or_to_zero_and_rise_no_faster_than_the_ramp(
    phase: float, updates: list[tuple[int, int, weight.PressureZone]]
) -> None:
    controller = weight.WeightController(8 * SECOND_US, phase)
    now_us = START_US
    before = 0
    lowered = 0
    for gap, cap, zone in updates:
        now_us += gap
        current = controller.update(now_us, cap, zone, 10, 2 * SECOND_US)
        assert current in weight.STEPS and current <= cap and (current == 0) == (zone is CROSSING or not cap)
        steps = weight.STEPS.index(current) - weight.STEPS.index(before)
        if steps > 0 and before:
            # A weight that was at its cap for some time must not rise by several steps at once.
            assert (steps - 1) * 0.85 * SECOND_US <= gap
        elif steps < 0 and current < cap and current:
            assert steps == -1 and now_us - lowered >= 2 * SECOND_US
            lowered = now_us
        before = current


def test_the_weight_settles_at_the_share_a_runner_can_serve() -> None:
    """A runner whose load follows its weight two seconds late must not make the weight oscillate."""
    controller = weight.WeightController(8 * SECOND_US, 0.5)
    now_us = START_US
    weights = [100] * 4
    controller.start_full(START_US)
    for _ in range(240):
        now_us += SECOND_US // 2
        load = weights[-4] / 33
        zone = OVERLOADED if load > 1.2 else RELAXED if load < 0.8 else DEAD_BAND
        weights.append(controller.update(now_us, 100, zone, 10, 2 * SECOND_US))
    assert set(weights[60:]) == {35}


def test_slow_starts_are_spread_among_runners_and_get_slower_after_relapses() -> None:
    """Runners that recover from the same failure must not all reach full weight at the same time.

    The jitter makes their ramps differ, and a runner that is overloaded repeatedly ramps up more slowly.
    """

    def seconds(controller: weight.WeightController, now_us: int) -> float:
        start = now_us
        while controller.update(now_us, 100, RELAXED, 10, SECOND_US // 10) < 100:
            now_us += SECOND_US // 10
        return (now_us - start) / SECOND_US

    ramp_s = {
        phase: seconds(weight.WeightController(8 * SECOND_US, phase), START_US) for phase in (0.0, 0.5, 1.0)
    }
    assert ramp_s[0.0] < ramp_s[0.5] < ramp_s[1.0] < 2 * ramp_s[0.0]
    controller = weight.WeightController(8 * SECOND_US, 0.5)
    now_us = START_US
    times = []
    for _ in range(7):
        times.append(seconds(controller, now_us))
        now_us += round(times[-1] * SECOND_US)
        assert controller.update(now_us, 100, CROSSING, 10, SECOND_US // 10) == 0
    assert times[2] > 1.5 * times[1] and times[-1] <= 8 * times[0]


def run_on_both_cores(tracker: HealthTracker, now_us: int, until: int, duration_us: int) -> int:
    """Keep both cores busy from `now_us` to `until` with runs of `duration_us`; return the time after them."""
    while now_us < until:
        tracker.runs_on_cores(now_us, 2)
        now_us += duration_us // 2
        tracker.runs_on_cores(now_us, 1)
    return now_us


def test_weight_is_reduced_for_slow_runs_and_not_for_overload_alone() -> None:
    """Runs that take four times as long indicate a slow runner, and the weight falls.

    A long queue alone indicates that all runners are overloaded, and the weight stays high.
    """
    weights = {}
    for duration_us in (200_000, 800_000):
        tracker = new_tracker()
        now_us = run_on_both_cores(
            tracker, serve_until_full_weight(tracker), START_US + 60 * SECOND_US, 200_000
        )
        tracker.report(replace(QUIET, now=now_us, on_cores=2))
        for _ in range(20):
            now_us = run_on_both_cores(tracker, now_us, now_us + SECOND_US, duration_us)
            reported = tracker.report(
                replace(QUIET, now=now_us, on_cores=2, queued=20, oldest_queued_us=2 * SECOND_US)
            )
        assert reported.state is HealthState.OVERLOADED
        weights[duration_us] = reported.weight
        assert ("times as long" in reported.reason) is (duration_us == 800_000)
    assert weights == {200_000: 75, 800_000: 20} or weights == {200_000: 100, 800_000: 20}


# ---- health check answers ----


def health_report(state: HealthState, weight: int = 0, **more: Any) -> HealthReport:
    """Return a health report of this state, with default values for all other fields that are not given."""
    base: dict[str, Any] = {
        "reason": "why",
        "routable": state.routable,
        "changed": "",
        "pressure": 0.4,
        "mean_per_core": 1.5,
        "forecast_per_core": 2.0,
        "survivable_per_core": 5.0,
        "horizon_us": 2_500_000,
        "max_connections": 8,
    }
    return HealthReport(state, weight, **(base | more))


@pytest.mark.parametrize(
    "reported, line, statuses",
    [
        (health_report(HealthState.STARTING), "ready down #starting: why", (503, 503, 503)),
        (health_report(HealthState.WARMING_UP, 20), "ready up 20% #warming: why", (200, 200, 200)),
        (health_report(HealthState.SERVING, 100), "ready up 100% #serving: why", (200, 200, 200)),
        (health_report(HealthState.OVERLOADED, 10), "ready up 10% #crowded: why", (200, 200, 200)),
        (health_report(HealthState.OVERLOADED, 0), "ready up 0% #crowded: why", (503, 200, 200)),
        (health_report(HealthState.MAINTENANCE), "maint #maintenance: why", (503, 503, 200)),
        (health_report(HealthState.DRAINING), "drain #draining: why", (503, 503, 200)),
        (health_report(HealthState.FAILED), "ready fail #failed: why", (503, 503, 200)),
    ],
)
def test_each_health_state_in_each_health_check_protocol(
    reported: HealthReport, line: str, statuses: tuple[int, ...]
) -> None:
    assert formatting.haproxy_agent_state(reported) == line
    up = reported.state is not HealthState.STARTING
    assert (
        formatting.health_response(reported, formatting.StatusCodes()).status,
        formatting.readiness_response(reported).status,
        formatting.startup_response(up).status,
    ) == statuses


def test_configured_status_codes_markers_and_length_limits_of_health_check_answers() -> None:
    codes = formatting.StatusCodes(crowded=429, full=429, draining=200, maintenance=404)
    crowded = formatting.health_response(health_report(HealthState.OVERLOADED, 10), codes)
    assert (crowded.status, crowded.retry_after_s, crowded.degraded, crowded.fail_now) == (
        429,
        3,
        True,
        False,
    )
    assert formatting.health_response(health_report(HealthState.DRAINING), codes) == formatting.ProbeResponse(
        200
    )
    assert formatting.health_response(health_report(HealthState.DRAINING), formatting.StatusCodes()).fail_now
    assert formatting.haproxy_agent_state(
        health_report(HealthState.DRAINING), listeners_closed=True
    ).startswith("drain stopped #")
    assert formatting.haproxy_agent_state(
        health_report(HealthState.SERVING, 50), with_maxconn=True
    ).startswith("ready up 50% maxconn:8 #")
    unsafe_reason = formatting.haproxy_agent_state(
        health_report(HealthState.MAINTENANCE, reason="a\nup 100%\r" + "x" * 500)
    )
    assert "\n" not in unsafe_reason and "\r" not in unsafe_reason and len(unsafe_reason) < 160
    assert formatting.orca_load_metrics(health_report(HealthState.SERVING, 50), 0.25, None, 12.0, 0.5) == (
        "TEXT application_utilization=0.4, cpu_utilization=0.25, rps_fractional=12, eps=0.5, "
        "named_metrics.weight=50, named_metrics.crowd_per_core=1.5"
    )
