"""The experiment "outage": maintenance of the machines of eight runners in two zones under load.

The machines are rebooted in the order that the runners coordinate, all at once, one after the other by a script that
checks only their health, or in a fixed order at fixed intervals; baselines reboot none. Variants of the coordinated
order and of the baseline add the unexpected failure of a runner or a network partition. The planning of the
coordinated order is also simulated for a thousand machines.
"""

from __future__ import annotations

import os
import sys
import tempfile
from pathlib import Path
from statistics import mean
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.threads import deferToThread
from twisted.internet.utils import getProcessValue

from .experiment import Experiment, Log, Plot, Result
from .maintenance_simulation import messages_per_member, simulate_large_maintenance
from .outage_arm import OutageResult, RebootOrder
from .outage_fleet import RUNNERS
from .runners import reap_children

ARMS_AT_A_TIME = 2
LARGE_LOADS = (0.6, 0.85)
"""Loads of the simulations with a thousand machines."""
BASELINES = {
    RebootOrder.COORDINATED: RebootOrder.NONE,
    RebootOrder.COORDINATED_WITH_LOSS: RebootOrder.NONE_WITH_LOSS,
    RebootOrder.COORDINATED_WITH_PARTITION: RebootOrder.NONE_WITH_PARTITION,
}
"""Reboot orders that have criteria. Each is compared with the given baseline, which has no reboots."""
PLOTTED = (RebootOrder.COORDINATED, RebootOrder.SIMULTANEOUS, RebootOrder.BY_HEALTH)

Results = dict[RebootOrder, list[OutageResult]]
"""Results of each order, one for each seed."""


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    result = Result()
    reap_children(reactor)
    results = await _play_arms(range(seed, seed + (1 if quick else 10)), log)
    await _simulate_thousand(result, seed, log)
    sizes = (10, 50) if quick else (10, 50, 200)
    messages = {size: await deferToThread(messages_per_member, size) for size in sizes}
    result.figures["messages a member a second"] = messages
    log(f"messages per member and second: {messages}")
    _add_figures(result, results)
    for order in results:
        if order in BASELINES:
            _judge_order(result, order, results)
    _judge_duration(result, results[RebootOrder.COORDINATED])
    _judge_messages(result, messages)
    _add_plots(result, results)
    return result


# ---- arms ----


async def _play_arms(seeds: range, log: Log) -> Results:
    results: Results = {}
    jobs = [(seed, order) for seed in seeds for order in RebootOrder]

    async def work() -> None:
        while jobs:
            seed, order = jobs.pop(0)
            outcome = await _play_arm(seed, order)
            if outcome is not None:
                results.setdefault(order, []).append(outcome)
            log(f"{order.value:<9} seed {seed}: {_describe(outcome)}")

    await gatherResults([Deferred.fromCoroutine(work()) for _ in range(ARMS_AT_A_TIME)])
    return results


async def _play_arm(seed: int, order: RebootOrder) -> OutageResult | None:
    """Run one arm in a separate process.

    :returns: Result of the arm, or None if the process wrote none.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "result.json"
        arguments = ["-m", "moorusher.lab.outage_arm", str(seed), order.value, str(path)]
        await getProcessValue(  # type: ignore[no-untyped-call]
            sys.executable, arguments, env=dict(os.environ)
        )
        if not path.exists():
            return None
        return msgspec.json.decode(path.read_bytes(), type=OutageResult)


def _describe(outcome: OutageResult | None) -> str:
    if outcome is None:
        return "ended without a result"
    return (
        f"served {outcome.served_share:.3f}  lost or failed {outcome.failed}"
        f"  executed twice {outcome.executed_twice}  max machines down {outcome.max_machines_down}"
        f"  reboots {outcome.reboots}  in {outcome.duration_s:.0f} s"
        f"  {outcome.counts}"
    )


async def _simulate_thousand(result: Result, seed: int, log: Log) -> None:
    for load in LARGE_LOADS:
        outcome = await deferToThread(simulate_large_maintenance, load, seed)
        name = f"1,000 machines at {load:.0%}"
        figures = outcome.figures()
        result.figures[name] = figures
        log(f"{name}: " + "  ".join(f"{key} {value:.3g}" for key, value in figures.items()))


# ---- criteria ----


def _add_figures(result: Result, results: Results) -> None:
    for order, outcomes in results.items():
        result.figures[order.value] = {
            "served": mean(outcome.served_share for outcome in outcomes),
            "lost": mean(outcome.failed for outcome in outcomes),
            "twice": mean(outcome.executed_twice for outcome in outcomes),
            "most": mean(outcome.max_machines_down for outcome in outcomes),
            "went": mean(outcome.reboots for outcome in outcomes),
            "seconds": mean(outcome.duration_s for outcome in outcomes),
        }


def _judge_order(result: Result, order: RebootOrder, results: Results) -> None:
    baseline_name = BASELINES[order].value
    outcomes = results[order]
    baseline = results[BASELINES[order]]
    not_served = mean(outcome.requests_not_served for outcome in outcomes)
    baseline_not_served = mean(outcome.requests_not_served for outcome in baseline)
    extra_share = (not_served - baseline_not_served) / mean(outcome.requests for outcome in outcomes)
    result.add_criterion(
        f"{order.value}: service lost",
        f"{100 * extra_share:.2f} points more",
        f"at most 1 more than with {baseline_name}",
        extra_share <= 0.01,
    )
    failed = mean(outcome.failed for outcome in outcomes)
    baseline_failed = mean(outcome.failed for outcome in baseline)
    result.add_criterion(
        f"{order.value}: requests lost or failed by the work",
        f"{failed:.0f}, {baseline_failed:.0f} with {baseline_name}",
        "a fifth more at most, as courses differ",
        failed <= 1.2 * baseline_failed,
    )
    _judge_machines(result, order, outcomes)


def _judge_machines(result: Result, order: RebootOrder, outcomes: list[OutageResult]) -> None:
    executed_twice = sum(outcome.executed_twice for outcome in outcomes)
    result.add_criterion(
        f"{order.value}: keyed work begun twice", str(executed_twice), "none", not executed_twice
    )
    max_down = max(outcome.max_machines_down for outcome in outcomes)
    result.add_criterion(f"{order.value}: most out at a time", str(max_down), "1", max_down <= 1)
    min_reboots = min(outcome.reboots for outcome in outcomes)
    result.add_criterion(
        f"{order.value}: all went",
        str(min_reboots),
        str(RUNNERS),
        all(outcome.reboots == RUNNERS for outcome in outcomes),
    )


def _judge_duration(result: Result, outcomes: list[OutageResult]) -> None:
    ratio = mean(
        outcome.duration_s / sum(outcome.slot_times_s) for outcome in outcomes if outcome.slot_times_s
    )
    result.add_criterion(
        "settled: time for all over the shortest that the limit allows",
        f"{ratio:.2f}",
        "at most 1.3 times the sum of the turns",
        ratio <= 1.3,
    )


def _judge_messages(result: Result, messages: dict[int, float]) -> None:
    result.add_criterion(
        "messages a member a second",
        ", ".join(f"{rate:.1f} at {size}" for size, rate in messages.items()),
        "no more in a larger fleet",
        max(messages.values()) <= 1.3 * messages[min(messages)],
    )


def _add_plots(result: Result, results: Results) -> None:
    for order in PLOTTED:
        if order in results:
            title = f"{order.value}: machines out, and requests in flight a core"
            result.plots.append(Plot(title, "s", "", results[order][0].lines, 1.0))


OUTAGE = Experiment(
    "outage",
    "Eight runners under load that are all to be worked on, by an order that they settle "
    "among themselves and by three others; a thousand in virtual time.",
    _play,
)
