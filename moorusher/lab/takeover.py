"""The experiment "takeover": six runners under load, some of which are lost, as a fleet and without it, by seed."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from .experiment import Experiment, Log, Result
from .takeover_arm import Loss, TakeoverArm
from .takeover_result import TakeoverResult


class ArmName(NamedTuple):
    """Which loss at which load, as a fleet or without it."""

    case: str
    in_fleet: bool


Results = dict[ArmName, list[TakeoverResult]]
"""Of each arm, by seed."""


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    results: Results = {}
    for load in (0.9,) if quick else (0.6, 0.9):
        for loss in Loss:
            for one_seed in range(seed, seed + (1 if quick else 10)):
                await _play_arms(results, reactor, one_seed, load, loss, log)
    result = Result()
    for name, every in results.items():
        figures = [each.figures() for each in every]
        result.figures[f"{name.case}, fleet {'on' if name.in_fleet else 'off'}"] = {
            key: sum(each[key] for each in figures) / len(figures) for key in figures[0]
        }
        if name.in_fleet:
            judge_fleet(result, name.case, every, results.get(ArmName(name.case, False)))
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
    result: Result, case: str, every: list[TakeoverResult], without_fleet: list[TakeoverResult] | None
) -> None:
    """Hold the plays of one case to their criteria.

    :param every: the plays as a fleet, at least one.
    :param without_fleet: the plays of the same seeds without it, None where there are none.
    """
    _judge_keyed_requests(result, case, every)
    executions = _mean([each.executions_per_served for each in every])
    result.add_criterion(
        f"{case}: runs for one served", f"{executions:.2f}", "at most 1.1", executions <= 1.1
    )
    median_s = _median_takeover_s(every)
    result.add_criterion(
        f"{case}: time to the first takeover", f"{median_s:.2f} s", "under 1 s", median_s < 1.0
    )
    if without_fleet is not None:
        others = _mean([each.others_served for each in every])
        others_without = _mean([each.others_served for each in without_fleet])
        result.add_criterion(
            f"{case}: what survivors serve of the rest",
            f"{others:.3f} with, {others_without:.3f} without",
            "within 0.01 of it",
            others >= others_without - 0.01,
        )


def _judge_keyed_requests(result: Result, case: str, every: list[TakeoverResult]) -> None:
    tokens = sum(each.tokens for each in every)
    executed_twice = sum(each.executed_twice for each in every)
    result.add_criterion(f"{case}: begun twice", f"{executed_twice} of {tokens}", "none", executed_twice == 0)
    held = sum(each.held_at_loss for each in every)
    held_served = sum(each.held_served * each.held_at_loss for each in every)
    if held and not case.startswith(Loss.CUT.value):
        result.add_criterion(
            f"{case}: held at the loss, served in time",
            f"{held_served:.0f} of {held}",
            "0.9",
            held_served >= 0.9 * held,
        )
    open_at_loss = sum(each.open_at_loss for each in every)
    without_outcome = sum(each.without_outcome for each in every)
    result.add_criterion(
        f"{case}: without an ending", f"{without_outcome} of {open_at_loss}", "none", without_outcome == 0
    )


def _median_takeover_s(every: list[TakeoverResult]) -> float:
    """The upper median of the time to the first takeover; a play without a takeover counts as infinite."""
    takeovers_s = sorted(each.takeover_s if each.has_takeover else math.inf for each in every)
    return takeovers_s[len(takeovers_s) // 2]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


TAKEOVER = Experiment(
    "takeover", "Six runners under load, some of which are lost, with the fleet and without it.", _play
)
