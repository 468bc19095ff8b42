"""The health state by itself: tables of cases, and properties over histories drawn at random."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from moorusher.health import formatting as words
from moorusher.health import weight
from moorusher.health.congestion import forecast_peak_mean, survivable_runs
from moorusher.health.history import BUCKET_US, LevelHistory, WindowedCount
from moorusher.health.observation import KernelGauges, Maintenance, Observation
from moorusher.health.policy import HealthPolicy
from moorusher.health.probe_intervals import MAX_SOURCES, ProbeIntervals
from moorusher.health.report import HealthReport
from moorusher.health.staleness import LinkMonitor, freshness
from moorusher.health.states import TRANSITIONS, HealthState, ImpossibleTransitionError, transition_reason
from moorusher.health.tracker import HealthTracker, RunnerFacts

S = 1_000_000
T0 = 1_000 * S
FACTS = RunnerFacts(cores=2, survivable_runs_per_core=5.0, window_us=3 * S, shortest_objective_us=3 * S)
SEEN = Observation(T0, True, 1.0, False, 0, 0, 0, 0, 0, True, False)


def tracker(policy: HealthPolicy | None = None, **facts: Any) -> HealthTracker:
    return HealthTracker(
        replace(FACTS, **facts), policy or HealthPolicy(max_probe_interval_ms=500, ramp_s=8), T0
    )


def settled(t: HealthTracker, at: int = T0) -> int:
    """Served for so long that the weight is whole; the time after."""
    for _ in range(60):
        at += S // 2
        t.report(replace(SEEN, now=at))
    return at


# ---- transitions ----


def test_every_pair_of_standings_has_its_word_or_is_an_error() -> None:
    ways = 0
    for a in HealthState:
        for b in HealthState:
            if a is b:
                assert transition_reason(a, b) == ""
            elif b in TRANSITIONS[a]:
                assert transition_reason(a, b)
                ways += 1
            else:
                with pytest.raises(ImpossibleTransitionError, match=f"from {a.value} to {b.value}"):
                    transition_reason(a, b)
    assert ways == sum(map(len, TRANSITIONS.values()))


@pytest.mark.parametrize(
    "before, change",
    [
        ({"draining": True}, {"draining": False}),  # a notice is not taken back
        ({}, {"kernel_up": False}),  # a kernel that was heard was heard
        ({}, {"speed": 0.5}),  # warm, then cold: a new kernel comes with a new runner
    ],
)
def test_what_contradicts_itself_is_an_error(before: dict[str, Any], change: dict[str, Any]) -> None:
    t = tracker()
    t.report(replace(SEEN, **before))
    with pytest.raises(ImpossibleTransitionError):
        t.report(replace(SEEN, now=T0 + S, **change))


def test_maintenance_and_the_notice_to_leave_in_either_order() -> None:
    t = tracker()
    t.report(SEEN)
    assert t.set_maintenance(Maintenance("disk", T0))
    assert t.report(SEEN).state is HealthState.MAINTENANCE
    assert t.report(replace(SEEN, draining=True)).state is HealthState.DRAINING
    assert not t.set_maintenance(None) and not t.set_maintenance(
        Maintenance("again", T0)
    )  # too late for either
    assert t.report(replace(SEEN, now=T0 + S, draining=True)).state is HealthState.DRAINING


def test_a_maintenance_ends_by_itself_and_the_weight_climbs_from_the_first_step() -> None:
    t = tracker()
    at = settled(t)
    t.set_maintenance(Maintenance("disk", at, at + 2 * S))
    first = t.report(replace(SEEN, now=at))
    assert (first.state, first.weight, first.reason) == (HealthState.MAINTENANCE, 0, "disk, 2 s left")
    back = t.report(replace(SEEN, now=at + 2 * S))
    assert (back.state, back.weight) == (HealthState.SERVING, 5) and t.maintenance is None


# ---- the crowd ----


@given(st.lists(st.tuples(st.integers(1, 900_000), st.integers(0, 60)), min_size=1, max_size=60))
def test_the_mean_is_that_of_the_window(changes: list[tuple[int, int]]) -> None:
    history, at, values = LevelHistory(3 * S, T0), T0, [(0, 0)]
    for gap, value in changes:
        at += gap
        history.set(at, value)
        values.append((at, value))
    end = at + 123_457
    exact = sum(
        v * max(0, min(b, end) - max(a, end - 3 * S))
        for (a, v), (b, _) in zip(values, [*values[1:], (end, 0)], strict=True)
    )
    # The oldest bucket lies on the edge: what was in it can be off by all that it held.
    assert abs(history.mean(end) * 3 * S - exact) <= 60 * BUCKET_US


def test_a_history_is_bounded_and_older_times_change_nothing() -> None:
    history = LevelHistory(3 * S, T0)
    history.set(T0 + S, 7)
    history.set(T0, 3)  # an event of the same turn, told late
    assert history.mean(T0 + 100 * S) == pytest.approx(3.0)
    assert len(history._ring) == 61


@pytest.mark.parametrize(
    "grows, horizon_s, crosses", [(0, 2.5, False), (1, 1.0, False), (4, 2.5, True), (8, 1.0, True)]
)
def test_a_crossing_is_forecast_from_the_trend(grows: int, horizon_s: float, crosses: bool) -> None:
    history = LevelHistory(3 * S, T0)
    for tenth in range(20):  # two seconds from 3 on, `grows` more a second
        history.set(T0 + tenth * S // 10, 3 + grows * tenth // 10)
    now = T0 + 2 * S
    assert history.mean(now) < 10
    ahead = forecast_peak_mean(history, now, round(horizon_s * S), arrivals_per_s=10, ends_per_s=2)
    assert (ahead >= 10) is crosses
    # What is held goes on filling it after balancers have turned away, as far as the runner itself lets it.
    filling = forecast_peak_mean(history, now, S, waiting=30, ends_per_s=2)
    assert (
        filling
        > forecast_peak_mean(history, now, S, waiting=30, ends_per_s=2, max_level=8)
        >= history.mean(now)
    )
    # Without arrivals, and nothing held, what grew can't go on growing.
    assert forecast_peak_mean(history, now, round(horizon_s * S), ends_per_s=2) <= 3 + 2 * grows


def test_a_random_walk_is_no_trend() -> None:
    """At eight steps up and eight down a second, counts wander: a runner must not forecast its end from that."""
    rng, history, value, over = random.Random(5), LevelHistory(3 * S, T0), 8, 0
    for step_of in range(2000):
        value = min(14, max(0, value + rng.choice((-1, 1))))
        now = T0 + step_of * S // 16
        history.set(now, value)
        over += forecast_peak_mean(history, now, 2 * S, arrivals_per_s=8, ends_per_s=8) > 18
    assert over < 20  # of 2,000: taken at its word, the same slope says so 200 times


@given(st.integers(0, 40), st.integers(0, 40), st.integers(0, 5_000_000))
def test_the_forecast_never_falls_below_what_is_measured_or_believed(
    count: int, floor: int, horizon: int
) -> None:
    history = LevelHistory(3 * S, T0)
    history.set(T0 + S, count)
    now = T0 + 5 * S
    ahead = forecast_peak_mean(history, now, horizon, floor)
    assert ahead >= history.mean(now) - 1e-9
    if horizon >= 3 * S:
        assert ahead >= max(count, floor) - 1e-9


def test_counts_leave_with_their_window() -> None:
    counts = WindowedCount(3 * S, T0)
    for i in range(10):
        counts.add(T0 + i * S // 10)
    assert [counts.count(T0 + at * S) for at in (1, 2, 10)] == [10, 10, 0]


@pytest.mark.parametrize("speed, survives", [(1.0, 10.0), (0.22, 2 * 1.88), (0.0, 2.0), (7.0, 10.0)])
def test_a_cold_runner_survives_fewer(speed: float, survives: float) -> None:
    assert survivable_runs(2, 5.0, speed) == pytest.approx(survives)


# ---- crowded ----


def crowd(t: HealthTracker, at: int, running: int, seconds: float = 3.0) -> int:
    t.runs_on_cores(at, running)
    return at + round(seconds * S)


def test_alive_but_too_crowded_is_said_before_the_crossing_and_left_with_a_gap() -> None:
    t = tracker()
    at = settled(t)
    weights, running = [], 2
    while t.on_cores.mean(at) < 10:  # one more run each 100 ms: what the rule kills at 10
        running += 1
        at = crowd(t, at, running, 0.1)
        said = t.report(replace(SEEN, now=at, on_cores=running, queued=50))
        weights.append(said.weight)
    first = next(i for i, w in enumerate(weights) if w <= 10)
    none = next(i for i, w in enumerate(weights) if w == 0)
    # Said in time: the horizon is a second, the crossing later than that after the first 0.
    assert first <= none and len(weights) - none > 10
    assert sorted(weights, reverse=True) == weights  # no step back up on the way
    # Runs end: it stays crowded until clearly under the edge, and then climbs slowly.
    at = crowd(t, at, 6, 4.0)
    assert t.report(replace(SEEN, now=at, on_cores=6)).state is HealthState.OVERLOADED
    at = crowd(t, at, 3, 4.0)
    after = t.report(replace(SEEN, now=at, on_cores=3))
    assert after.state is HealthState.SERVING and after.weight < 100


def test_the_same_crowd_is_too_much_for_a_cold_runner() -> None:
    told = {}
    for speed in (1.0, 0.22):
        t = tracker()
        t.report(replace(SEEN, speed=speed))
        at = crowd(t, T0, 4)
        told[speed] = t.report(replace(SEEN, now=at, on_cores=4, speed=speed))
    assert told[1.0].state is HealthState.SERVING
    assert (told[0.22].state, told[0.22].weight) == (HealthState.OVERLOADED, 0)
    assert "22% of full speed" in told[0.22].reason


@pytest.mark.parametrize(
    "gauge, running, unknown",
    [
        (KernelGauges(T0, 0.02, 0.0), 40, "say 2% busy while 40 run"),  # stuck at idle: the own count stands
        (KernelGauges(T0 - 9 * S, 0.9, 30.0), 40, "9.0 s old"),
        (None, 40, "never told"),
        (KernelGauges(T0, 0.9, 40.0), 40, ""),
    ],
)
def test_a_gauge_that_cannot_be_believed_is_said_and_hides_nothing(
    gauge: KernelGauges | None, running: int, unknown: str
) -> None:
    t = tracker()
    t.report(SEEN)
    t.runs_on_cores(T0, running)
    at = T0 + 2 * S
    if gauge is not None:
        gauge = replace(gauge, read_at_us=gauge.read_at_us + 2 * S)
    said = t.report(replace(SEEN, now=at, on_cores=running, gauges=gauge))
    assert (said.state, said.weight) == (HealthState.OVERLOADED, 0)
    assert unknown in " ".join(said.unknown) and bool(said.unknown) is bool(unknown)


def test_an_old_gauge_weighs_less_and_less() -> None:
    forecasts = []
    for age in (0.0, 1.0, 3.0, 4.0, 6.0):
        t = tracker()
        t.report(SEEN)
        seen = replace(
            SEEN, now=T0 + S, on_cores=2, queued=30, gauges=KernelGauges(T0 + S - round(age * S), 1.0, 30.0)
        )
        forecasts.append(t.report(seen).forecast_per_core)
    assert forecasts[0] == forecasts[1] > forecasts[2] > forecasts[3] > forecasts[4]


def test_what_is_held_for_long_or_turned_away_means_crowded_but_not_nothing() -> None:
    t = tracker()
    at = settled(t)
    held = t.report(replace(SEEN, now=at, queued=9, oldest_queued_us=2 * S))
    assert (
        held.state is HealthState.OVERLOADED and held.routable and "9 held, the oldest 2.0 s" in held.reason
    )
    t = tracker()
    at = settled(t)
    for i in range(20):
        t.request_arrived(at)
        if i % 2:
            t.request_rejected(at)
    away = t.report(replace(SEEN, now=at))
    assert away.state is HealthState.OVERLOADED and away.routable and "turned away" in away.reason


# ---- time and trust ----


def test_the_horizon_follows_the_slowest_balancer_that_still_asks() -> None:
    t = tracker(HealthPolicy(max_probe_interval_ms=200, balancer_reaction_ms=100))
    at = T0
    for i in range(60):
        at = T0 + i * S // 2
        t.probes.probed(at, "quick")
        if i % 10 == 0:
            t.probes.probed(at, "slow")
    assert t.horizon_us(at) == 5_100_000
    for _ in range(60):  # the slow one has left; its interval counts for three more, then no longer
        at += S // 2
        t.probes.probed(at, "quick")
    assert t.horizon_us(at) == 600_000


def test_sources_are_bounded_and_one_round_of_probes_is_one() -> None:
    b = ProbeIntervals()
    for i in range(3 * MAX_SOURCES):
        b.probed(T0 + i, f"10.0.{i}")
    assert len(b) == MAX_SOURCES
    b.probed(T0 + S, "x")
    b.probed(T0 + S + 1000, "x")  # a second thread of the same balancer
    b.probed(T0 + 2 * S, "x")
    assert b.longest_us(T0 + 2 * S) == S


@pytest.mark.parametrize("age, part", [(0, 1.0), (10, 1.0), (15, 0.5), (20, 0.0), (99, 0.0)])
def test_trust_goes_evenly(age: int, part: float) -> None:
    assert freshness(age, 10, 20) == part


def test_a_link_that_is_gone_for_a_moment_means_nothing_and_for_long_means_failed() -> None:
    link = LinkMonitor()
    link.lost(T0)
    link.lost(T0 + 1)  # told twice, gone once
    assert link.flaps(T0 + 1) == 1
    assert link.state(T0 + 400_000, 2 * S, S // 2).trust == 1.0
    assert 0 < link.state(T0 + S, 2 * S, S // 2).trust < 1
    assert link.state(T0 + 3 * S, 2 * S, S // 2).failed
    link.up(T0 + 3 * S)
    assert link.state(T0 + 3 * S + 1, 2 * S, S // 2).failed  # it has to stay
    assert not link.state(T0 + 4 * S, 2 * S, S // 2).failed


def test_a_link_that_flaps_is_not_there_again_with_each_return() -> None:
    t = tracker()
    at = settled(t)
    weights = []
    for _ in range(5):
        t.link.lost(at)
        weights.append(t.report(replace(SEEN, now=at + S // 2)).weight)
        t.link.up(at + S // 2)
        at += S
        weights.append(t.report(replace(SEEN, now=at)).weight)
    assert max(weights[2:]) <= 75 and weights[-1] <= 50
    assert "lost 5 times in 30 s" in t.report(replace(SEEN, now=at)).reason
    assert t.report(replace(SEEN, now=settled(t, at + 10 * S))).weight == 100


# ---- weight ----

CALM, BETWEEN, CROWDED, FULL = weight.PressureZone


@given(
    st.floats(0, 1),
    st.lists(
        st.tuples(
            st.integers(0, 4_000_000), st.sampled_from(weight.STEPS), st.sampled_from(weight.PressureZone)
        ),
        max_size=60,
    ),
)
def test_weights_fall_by_one_step_a_horizon_or_to_nothing_and_rise_no_faster_than_the_pace(
    phase: float, asked: list[tuple[int, int, weight.PressureZone]]
) -> None:
    governor, at, before, lowered = weight.WeightController(8 * S, phase), T0, 0, 0
    for gap, cap, zone in asked:
        at += gap
        told = governor.update(at, cap, zone, 10, 2 * S)
        assert told in weight.STEPS and told <= cap and (told == 0) == (zone is FULL or not cap)
        steps = weight.STEPS.index(told) - weight.STEPS.index(before)
        if steps > 0 and before:
            assert (steps - 1) * 0.85 * S <= gap  # time at a cap is no credit
        elif steps < 0 and told < cap and told:
            assert steps == -1 and at - lowered >= 2 * S
            lowered = at
        before = told


def test_the_weight_settles_where_a_runner_has_what_it_can_do() -> None:
    """A queue that answers a second late, and can do a third of an even share: no swinging for ever."""
    governor, at, told = weight.WeightController(8 * S, 0.5), T0, [100] * 4
    governor.start_full(T0)
    for _ in range(240):
        at += S // 2
        load = told[-4] / 33
        zone = CROWDED if load > 1.2 else CALM if load < 0.8 else BETWEEN
        told.append(governor.update(at, 100, zone, 10, 2 * S))
    assert set(told[60:]) == {35}


def test_runners_that_recover_together_climb_apart_and_one_that_relapses_climbs_slower() -> None:
    def seconds(governor: weight.WeightController, at: int) -> float:
        start = at
        while governor.update(at, 100, CALM, 10, S // 10) < 100:
            at += S // 10
        return (at - start) / S

    took = {phase: seconds(weight.WeightController(8 * S, phase), T0) for phase in (0.0, 0.5, 1.0)}
    assert took[0.0] < took[0.5] < took[1.0] < 2 * took[0.0]
    governor, at, times = weight.WeightController(8 * S, 0.5), T0, []
    for _ in range(7):
        times.append(seconds(governor, at))
        at += round(times[-1] * S)
        assert governor.update(at, 100, FULL, 10, S // 10) == 0
    assert times[2] > 1.5 * times[1] and times[-1] <= 8 * times[0]


def run_at(t: HealthTracker, at: int, until: int, stretch_us: int) -> int:
    """Both cores are taken all the time, each stretch of work takes so long."""
    while at < until:
        t.runs_on_cores(at, 2)
        at += stretch_us // 2
        t.runs_on_cores(at, 1)
    return at


def test_overload_alone_is_no_reason_to_weigh_less_but_slowness_is() -> None:
    weights = {}
    for stretch in (200_000, 800_000):
        t = tracker()
        at = run_at(t, settled(t), T0 + 60 * S, 200_000)
        t.report(replace(SEEN, now=at, on_cores=2))
        for _ in range(20):
            at = run_at(t, at, at + S, stretch)
            said = t.report(replace(SEEN, now=at, on_cores=2, queued=20, oldest_queued_us=2 * S))
        assert said.state is HealthState.OVERLOADED
        weights[stretch] = said.weight
        assert ("times as long" in said.reason) is (stretch == 800_000)
    assert weights == {200_000: 75, 800_000: 20} or weights == {200_000: 100, 800_000: 20}


# ---- words ----


def report(standing: HealthState, weight: int = 0, **more: Any) -> HealthReport:
    base: dict[str, Any] = {
        "reason": "why",
        "routable": standing.routable,
        "changed": "",
        "pressure": 0.4,
        "mean_per_core": 1.5,
        "forecast_per_core": 2.0,
        "survivable_per_core": 5.0,
        "horizon_us": 2_500_000,
        "max_connections": 8,
    }
    return HealthReport(standing, weight, **(base | more))


@pytest.mark.parametrize(
    "said, line, statuses",
    [
        (report(HealthState.STARTING), "ready down #starting: why", (503, 503, 503)),
        (report(HealthState.WARMING_UP, 20), "ready up 20% #warming: why", (200, 200, 200)),
        (report(HealthState.SERVING, 100), "ready up 100% #serving: why", (200, 200, 200)),
        (report(HealthState.OVERLOADED, 10), "ready up 10% #crowded: why", (200, 200, 200)),
        (report(HealthState.OVERLOADED, 0), "ready up 0% #crowded: why", (503, 200, 200)),
        (report(HealthState.MAINTENANCE), "maint #maintenance: why", (503, 503, 200)),
        (report(HealthState.DRAINING), "drain #draining: why", (503, 503, 200)),
        (report(HealthState.FAILED), "ready fail #failed: why", (503, 503, 200)),
    ],
)
def test_each_standing_in_each_protocol(said: HealthReport, line: str, statuses: tuple[int, ...]) -> None:
    assert words.haproxy_agent_state(said) == line
    up = said.state is not HealthState.STARTING
    assert (
        words.health_response(said, words.StatusCodes()).status,
        words.readiness_response(said).status,
        words.startup_response(up).status,
    ) == statuses


def test_codes_marks_and_bounds_of_the_words() -> None:
    codes = words.StatusCodes(crowded=429, full=429, draining=200, maintenance=404)
    crowded = words.health_response(report(HealthState.OVERLOADED, 10), codes)
    assert (crowded.status, crowded.retry_after_s, crowded.degraded, crowded.fail_now) == (
        429,
        3,
        True,
        False,
    )
    assert words.health_response(report(HealthState.DRAINING), codes) == words.ProbeResponse(200)
    assert words.health_response(report(HealthState.DRAINING), words.StatusCodes()).fail_now
    assert words.haproxy_agent_state(report(HealthState.DRAINING), listeners_closed=True).startswith(
        "drain stopped #"
    )
    assert words.haproxy_agent_state(report(HealthState.SERVING, 50), with_maxconn=True).startswith(
        "ready up 50% maxconn:8 #"
    )
    evil = words.haproxy_agent_state(report(HealthState.MAINTENANCE, reason="a\nup 100%\r" + "x" * 500))
    assert "\n" not in evil and "\r" not in evil and len(evil) < 160
    assert words.orca_load_metrics(report(HealthState.SERVING, 50), 0.25, None, 12.0, 0.5) == (
        "TEXT application_utilization=0.4, cpu_utilization=0.25, rps_fractional=12, eps=0.5, "
        "named_metrics.weight=50, named_metrics.crowd_per_core=1.5"
    )
