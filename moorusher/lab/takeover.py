"""The experiment "takeover": six runners under load, one or two of which fail, with and without a fleet."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from .experiment import Experiment, Log, Result
from .takeover_arm import Loss, TakeoverArm
from .takeover_result import TakeoverResult


class ArmName(NamedTuple):
    """Name of an arm: the loss and the load, and whether the runners form a fleet."""

    case: str
    in_fleet: bool


Results = dict[ArmName, list[TakeoverResult]]
"""Results of each arm, one for each seed."""


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    results: Results = {}
    for load in (0.9,) if quick else (0.6, 0.9):
        for loss in Loss:
            for one_seed in range(seed, seed + (1 if quick else 10)):
                await _play_arms(results, reactor, one_seed, load, loss, log)
    result = Result()
    for name, outcomes in results.items():
        figures = [outcome.figures() for outcome in outcomes]
        result.figures[f"{name.case}, fleet {'on' if name.in_fleet else 'off'}"] = {
            key: sum(play_figures[key] for play_figures in figures) / len(figures) for key in figures[0]
        }
        if name.in_fleet:
            judge_fleet(result, name.case, outcomes, results.get(ArmName(name.case, False)))
    return result


async def _play_arms(results: Results, reactor: Any, seed: int, load: float, loss: Loss, log: Log) -> None:
    arms = (True,) if loss is Loss.CUT else (False, True)
    for in_fleet in arms:
        outcome = await TakeoverArm(reactor, seed, load, in_fleet, loss).play()
        results.setdefault(ArmName(f"{loss.value} at {load:.0%}", in_fleet), []).append(outcome)
        log(
            f"{loss.value:<8} {load:.0%} seed {seed} fleet {'on ' if in_fleet else 'off'} "
            + "  ".join(f"{key} {value:.3g}" for key, value in outcome.figures().items())
        )


def judge_fleet(
    result: Result, case: str, outcomes: list[TakeoverResult], without_fleet: list[TakeoverResult] | None
) -> None:
    """Add the criteria of one case to the result.

    :param outcomes: Results with a fleet, one for each seed; at least one.
    :param without_fleet: Results without a fleet for the same seeds, or None if there are none.
    """
    _judge_keyed_requests(result, case, outcomes)
    executions = _mean([outcome.executions_per_served for outcome in outcomes])
    result.add_criterion(
        f"{case}: runs for one served", f"{executions:.2f}", "at most 1.1", executions <= 1.1
    )
    median_s = _median_takeover_s(outcomes)
    result.add_criterion(
        f"{case}: time to the first takeover", f"{median_s:.2f} s", "under 1 s", median_s < 1.0
    )
    if without_fleet is not None:
        unkeyed_served = _mean([outcome.unkeyed_served for outcome in outcomes])
        unkeyed_served_without_fleet = _mean([outcome.unkeyed_served for outcome in without_fleet])
        result.add_criterion(
            f"{case}: what survivors serve of the rest",
            f"{unkeyed_served:.3f} with, {unkeyed_served_without_fleet:.3f} without",
            "within 0.01 of it",
            unkeyed_served >= unkeyed_served_without_fleet - 0.01,
        )


def _judge_keyed_requests(result: Result, case: str, outcomes: list[TakeoverResult]) -> None:
    tokens = sum(outcome.tokens for outcome in outcomes)
    executed_twice = sum(outcome.executed_twice for outcome in outcomes)
    result.add_criterion(f"{case}: begun twice", f"{executed_twice} of {tokens}", "none", executed_twice == 0)
    queued = sum(outcome.queued_at_loss for outcome in outcomes)
    queued_served = sum(outcome.queued_served * outcome.queued_at_loss for outcome in outcomes)
    if queued and not case.startswith(Loss.CUT.value):
        result.add_criterion(
            f"{case}: held at the loss, served in time",
            f"{queued_served:.0f} of {queued}",
            "0.9",
            queued_served >= 0.9 * queued,
        )
    open_at_loss = sum(outcome.open_at_loss for outcome in outcomes)
    without_outcome = sum(outcome.without_outcome for outcome in outcomes)
    result.add_criterion(
        f"{case}: without an ending", f"{without_outcome} of {open_at_loss}", "none", without_outcome == 0
    )


def _median_takeover_s(outcomes: list[TakeoverResult]) -> float:
    """Return the upper median of the times to the first takeover; a result without a takeover counts as infinite."""
    takeovers_s = sorted(outcome.takeover_s if outcome.has_takeover else math.inf for outcome in outcomes)
    return takeovers_s[len(takeovers_s) // 2]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


TAKEOVER = Experiment(
    "takeover", "Six runners under load, some of which are lost, with the fleet and without it.", _play
)
