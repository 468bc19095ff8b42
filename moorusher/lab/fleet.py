"""The same standing at large size, in virtual time: many runners, many balancers, a part of the runners slows down.

A runner here starts whatever comes: no decision module holds it back, so what it says of itself is all that keeps it
under the figure at which it falls over. Cores are a fluid (work done by n runs on the cores); arrivals are Poisson.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from ..health.observation import Observation
from ..health.policy import HealthPolicy
from ..health.tracker import HealthTracker, RunnerFacts

STEP_S = 0.1
KEPT_S = 0.5  # a report is worked out so often at most: the real ones are shared for 10 ms


@dataclass(frozen=True, slots=True)
class Fleet:
    """A fleet of runners behind balancers, in virtual time."""

    runners: int = 1000
    balancers: int = 50
    cores: int = 4
    work_s: float = 0.4  # of a core for each request
    load: float = 0.7  # of what the fleet can do
    tip: float = 5.0
    slowed: float = 0.05  # share of the runners that slow down
    factor: float = 0.25
    slow_at: float = 8.0
    slow_until: float = 20.0
    seconds: float = 40.0
    inter_s: float = 2.0  # of half of the balancers; the others ask twice as often
    most_a_core: float = 30.0  # connections that a machine accepts; what is beyond is lost


def play(fleet: Fleet, seed: int, report: bool) -> dict[str, Any]:
    """One course of such a fleet, with or without the report."""
    rng = np.random.default_rng(seed)
    n, cores = fleet.runners, fleet.cores
    policy = HealthPolicy(max_probe_interval_ms=1000, balancer_reaction_ms=500 + KEPT_S * 1000, ramp_s=10)
    window = 3_000_000
    guard = fleet.most_a_core / fleet.tip
    trackers = [
        HealthTracker(RunnerFacts(cores, fleet.tip, window, 3_000_000, guard, float(p)), policy, 0)
        for p in rng.random(n)
    ]
    told, made = np.full(n, 100), np.full(n, -1.0)
    read = np.full((fleet.balancers, n), 100.0)  # each balancer's last word of each runner
    inter = np.where(np.arange(fleet.balancers) % 2 == 0, fleet.inter_s, fleet.inter_s / 2)
    due = rng.random((fleet.balancers, n)) * inter[:, None]
    names = [f"b{i}" for i in range(fleet.balancers)]
    running = np.full(n, fleet.load * cores)
    alive, fell = np.ones(n, bool), 0
    slowed = np.zeros(n, bool)
    slowed[: round(n * fleet.slowed)] = True
    for t in trackers:  # in service for long
        t.runs_on_cores(0, round(fleet.load * cores))
        t._weight.level = 100
    recent = np.repeat(running[:, None], round(3 / STEP_S), axis=1)
    rate = fleet.load * n * cores / fleet.work_s  # requests a second, all runners
    changes = np.zeros(n, int)
    late_changes = np.zeros(n, int)
    lost = sent = 0.0
    worst = np.zeros(n)
    lines: dict[str, list[tuple[float, float]]] = {"slowed": [], "others": []}
    weights: list[tuple[float, float]] = []
    steps = round(fleet.seconds / STEP_S)
    for i in range(steps):
        now_s = i * STEP_S
        now = round(now_s * 1e6)
        if report:
            asks = due <= now_s
            for r in np.flatnonzero(asks.any(axis=0) & alive):
                tracker, there = trackers[r], round(float(running[r]))
                for b in np.flatnonzero(asks[:, r]):
                    tracker.probes.probed(now, names[b])
                if now_s - made[r] < KEPT_S:
                    read[asks[:, r], r] = told[r]
                    continue
                made[r] = now_s
                weight = tracker.report(
                    Observation(now, True, 1.0, True, there, 0, 0, 0, there, True, False)
                ).weight
                if weight != told[r]:
                    changes[r] += 1
                    late_changes[r] += 1 if now_s >= fleet.seconds - 10 else 0
                told[r] = weight
                read[asks[:, r], r] = weight
            due = np.where(asks, due + inter[:, None], due)
        shares = read * alive
        total = shares.sum(axis=1, keepdims=True)
        arrivals = rng.poisson(
            (shares / np.maximum(total, 1e-9)).sum(axis=0) * rate / fleet.balancers * STEP_S
        )
        sent += rate * STEP_S
        lost += rate * STEP_S * float((total[:, 0] <= 0).mean())
        running += arrivals
        for r in np.flatnonzero(arrivals):
            trackers[r].runs_on_cores(now, round(float(running[r])))
            for _ in range(int(arrivals[r])):
                trackers[r].request_arrived(now)
        over = np.maximum(0.0, running - fleet.most_a_core * cores)
        lost += float(over.sum())
        running -= over
        speed = np.where(slowed & (fleet.slow_at <= now_s < fleet.slow_until), fleet.factor, 1.0)
        crowding = 1 + 0.08 * np.maximum(0.0, running / cores - 3)
        done = np.minimum(running, np.minimum(running, cores) * speed / crowding / fleet.work_s * STEP_S)
        running = (running - done) * alive
        for tracker, count in zip(trackers, running.tolist(), strict=True):
            if round(count) < tracker.on_cores.value:
                tracker.run_ended(now, tracker.on_cores.value - round(count))
            tracker.runs_on_cores(now, round(count))
        recent[:, i % recent.shape[1]] = running
        mean = recent.mean(axis=1) / cores
        worst = np.maximum(worst, mean * alive)
        falls = alive & (mean > fleet.tip)
        lost += float(running[falls].sum())
        fell += int(falls.sum())
        alive &= ~falls
        running = running * alive
        lines["slowed"].append((now_s, float(mean[slowed].mean())))
        lines["others"].append((now_s, float(mean[~slowed].mean())))
        weights.append((now_s, float(told[slowed].mean())))
    minutes = fleet.seconds / 60
    # All balancers see the recovery at once: how far the recovered runners' mean weight falls back on its way up.
    back = [w for at, w in weights if at >= fleet.slow_until + 2]
    swing = max((max(back[: i + 1]) - w for i, w in enumerate(back)), default=0.0)
    return {
        "fell": fell,
        "worst": float(worst.max()),
        "lost_share": lost / sent,
        "changes_slowed": float(changes[slowed].mean() / minutes),
        "changes_others": float(changes[~slowed].mean() / minutes),
        "fell_slowed": int((slowed & ~alive).sum()),
        "swing": swing,
        "back_to": back[-1] if back else 0.0,
        "changes_at_end": float(late_changes.mean() * 6),
        "lines": lines,
        "weights": weights,
    }


if __name__ == "__main__":  # a process of its own: the experiment on sockets needs its own loop's time
    import json
    import sys

    print(json.dumps(play(Fleet(load=float(sys.argv[3])), int(sys.argv[1]), sys.argv[2] == "report")))
