"""Health reports to balancers, the experiment "shed" on the command line.

Three runners behind a stand-in balancer run at 85% of capacity until one of them becomes four times as slow. The
experiment also measures how soon a drain is noticed, a cold runner's share of the traffic, the effect of a flood of
probes, and a large simulated fleet.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .arrivals import draw_arrivals
from .balancer import BalancingMode
from .child_process import run_module
from .drain_notices import NOTICE_COUNT, measure_drain_notices
from .experiment import Experiment, Log, Plot, Result
from .fleet_simulation import FleetResult
from .health_prober import exchange_bytes
from .health_report_arm import (
    CLASSES,
    COLLAPSE_MULTIPLE,
    CORES,
    SERVICE_TIME_MS,
    SLOW_AT_S,
    SLOW_FOR_S,
    TENANTS,
    ArmOptions,
    HealthReportArm,
)
from .health_report_criteria import Round, judge_rounds
from .probe_flood import FLOOD_S, FloodResult
from .runners import Runner, runner_settings

LOAD = 0.85
"""Load as a share of the capacity of three runners."""
CALM_LOAD = 0.6
"""Load of the calm and the flooded arm, as a share of the capacity of one runner."""
FLEET_LOADS = (0.7, 0.8)
PLOTTED_FLEET_LOAD = 0.7
FLEET_MODES = ("report", "none")
NOTICE_TOLERANCE = 0.1
"""Time allowed for the transfer of a drain notice, as a share of a probe interval."""
ARMS = {
    "report": ArmOptions(with_report=True, with_cold_runner=True),
    "none": ArmOptions(with_report=False, with_cold_runner=True),
    # Repeats "none" to measure the noise.
    "again": ArmOptions(with_report=False, with_cold_runner=True),
    "loose-report": ArmOptions(with_report=True, without_guard=True),
    "loose-none": ArmOptions(with_report=False, without_guard=True),
}
CALM_ARM = ArmOptions(with_report=True, runners=1)
_MAX_ALIVE_CHECKS = 200
_FLOOD_AT_S = 2.0
_TRACE_INTERVAL_S = 0.1
_SETTLING_S = 3
"""Time after the end of the load, in which the last answers arrive."""


class FleetCase(NamedTuple):
    """A case of the simulated large fleet.

    Attributes:
        load: Share of the fleet's capacity.
        mode: "report" if balancers read health reports, "none" otherwise.
    """

    load: float
    mode: str


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    result = Result()
    loads = FLEET_LOADS[:1] if quick else FLEET_LOADS
    fleets = _start_fleet_simulations(reactor, loads, seed)
    log("simulating 1,000 runners and 50 balancers in virtual time, in parallel with the rounds")
    modes = [BalancingMode.ROUND_ROBIN]
    if not quick:
        modes += [BalancingMode.LEAST_CONNECTIONS, BalancingMode.ROUND_ROBIN]
    rounds = [await _play_round(reactor, seed + number, mode, log) for number, mode in enumerate(modes)]
    judge_rounds(result, rounds)
    log(f"measuring {NOTICE_COUNT} drain notices at random phases")
    settings = runner_settings(CLASSES, TENANTS, CORES)
    _judge_notices(result, await measure_drain_notices(reactor, seed, settings))
    fleet_results = {
        case: msgspec.json.decode(await output, type=FleetResult) for case, output in fleets.items()
    }
    _judge_fleets(result, loads, fleet_results)
    return result


# ---- rounds ----


async def _play_round(reactor: Any, seed: int, mode: BalancingMode, log: Log) -> Round:
    seconds = SLOW_AT_S + SLOW_FOR_S
    capacity = CORES / (SERVICE_TIME_MS / 1000)
    arrivals = draw_arrivals(seed, CLASSES, TENANTS, LOAD * 3 * capacity, seconds)
    calm_arrivals = draw_arrivals(seed, CLASSES, TENANTS, CALM_LOAD * capacity, FLOOD_S + 4)
    arms = {
        name: HealthReportArm(reactor, name, arrivals, options, mode, seed) for name, options in ARMS.items()
    }
    calm = HealthReportArm(reactor, "calm", calm_arrivals, CALM_ARM, mode, seed)
    flooded = HealthReportArm(reactor, "flooded", calm_arrivals, CALM_ARM, mode, seed)
    all_arms = [*arms.values(), calm, flooded]
    try:
        await _start_arms(reactor, all_arms)
        runners = sum(len(arm.runners) for arm in all_arms)
        log(f"{mode.value}, seed {seed}: {runners} runners up; {seconds:.0f} s of load at {LOAD:.0%}")
        for arm in all_arms:
            arm.start_load()
        flood = Deferred.fromCoroutine(_flood(reactor, flooded.runners[0]))
        await _watch_arms(reactor, arms, seconds)
        flood_result = msgspec.json.decode(await flood, type=FloodResult)
    finally:
        for arm in all_arms:
            arm.close()
    return Round(mode, seed, arms, calm, flooded, flood_result)


async def _start_arms(reactor: Any, arms: list[HealthReportArm]) -> None:
    """Wait until all runners are alive, then start the probes."""
    for arm in arms:
        for runner in arm.runners:
            await _wait_until_alive(reactor, runner)
    for arm in arms:
        arm.start_probes()
    await deferLater(reactor, 1.0, lambda: None)


async def _wait_until_alive(reactor: Any, runner: Runner) -> None:
    for _ in range(_MAX_ALIVE_CHECKS):
        reply: Deferred[bytes] = Deferred()
        exchange_bytes(reactor, runner.health, b"GET /alive HTTP/1.0\r\n\r\n", reply.callback)
        if b"alive" in await reply:
            return
        await deferLater(reactor, 0.05, lambda: None)


async def _watch_arms(reactor: Any, arms: dict[str, HealthReportArm], seconds: float) -> None:
    """Record the runs of all runners during the load, and slow the first runner of each arm from `SLOW_AT_S` on."""
    clock = arms["none"].load
    while clock.now_s < seconds + _SETTLING_S:
        is_slow = SLOW_AT_S <= clock.now_s < seconds
        for arm in arms.values():
            arm.record_runs()
            if is_slow:
                arm.slow_first_runner()
        await deferLater(reactor, _TRACE_INTERVAL_S, lambda: None)


async def _flood(reactor: Any, runner: Runner) -> str:
    """Start the flood of probes after a delay; return its output."""
    await deferLater(reactor, _FLOOD_AT_S, lambda: None)
    return await run_module(reactor, "moorusher.lab.probe_flood", str(runner.agent))


# ---- drain notices ----


def _judge_notices(result: Result, intervals: list[float]) -> None:
    late = sum(interval > 1.0 + NOTICE_TOLERANCE for interval in intervals)
    count = len(intervals)
    result.figures["notices"] = {
        "count": count,
        "median": sorted(intervals)[count // 2],
        "longest": max(intervals),
    }
    result.add_criterion(
        "a notice to leave is read within one probe interval",
        f"{count - late} of {count}, the longest after {max(intervals):.2f} intervals",
        "all, with 0.1 of an interval allowed for the transfer",
        late == 0,
    )


# ---- large fleets ----


def _start_fleet_simulations(
    reactor: Any, loads: tuple[float, ...], seed: int
) -> dict[FleetCase, Deferred[str]]:
    """Start each simulation in its own process; return their outputs."""
    return {
        FleetCase(load, mode): run_module(
            reactor, "moorusher.lab.fleet_simulation", str(seed), mode, str(load)
        )
        for load in loads
        for mode in FLEET_MODES
    }


def _judge_fleets(result: Result, loads: tuple[float, ...], fleets: dict[FleetCase, FleetResult]) -> None:
    for case, fleet in fleets.items():
        result.figures[f"fleet {case.load:.0%} {case.mode}"] = fleet.figures()
    # The bound allows for some collapses: a burst during the slowdown can overload a runner between two probes.
    for load in loads:
        collapsed = fleets[FleetCase(load, "report")].collapsed
        without = fleets[FleetCase(load, "none")].collapsed
        result.add_criterion(
            f"of 1,000 runners at {load:.0%}, 50 of them slowed, fall over",
            f"{collapsed} with the report, {without} without",
            "with the report at most a tenth of those without, and at least 25 without",
            collapsed <= without / 10 and without >= 25,
        )
    fleet = fleets[FleetCase(PLOTTED_FLEET_LOAD, "report")]
    result.add_criterion(
        "weight changes a minute of a runner that nothing happens to",
        f"{fleet.changes_others:.2f}",
        "2",
        fleet.changes_others <= 2,
    )
    result.add_criterion(
        "the recovered runners' mean weight on its way up falls back by",
        f"{fleet.largest_fallback:.1f} points",
        "5: the runners don't oscillate together",
        fleet.largest_fallback <= 5,
    )
    _add_fleet_plots(result, fleets)


def _add_fleet_plots(result: Result, fleets: dict[FleetCase, FleetResult]) -> None:
    lines = {
        f"{group}, {mode}": fleets[FleetCase(PLOTTED_FLEET_LOAD, mode)].runs_lines[group]
        for mode in FLEET_MODES
        for group in ("slowed", "others")
    }
    result.plots.append(
        Plot("1,000 runners: load per core", "s", "runs per core, mean of 3 s", lines, COLLAPSE_MULTIPLE)
    )
    weights = fleets[FleetCase(PLOTTED_FLEET_LOAD, "report")].weights
    result.plots.append(
        Plot("1,000 runners: mean weight of the slowed runners", "s", "weight", {"report": weights})
    )


HEALTH_REPORTS = Experiment(
    "shed",
    "Three runners behind two balancers run at 85% of capacity, then one becomes four times as slow.",
    _play,
)
