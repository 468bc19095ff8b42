"""A seed determines a simulation, also in processes with other hash seeds."""

from __future__ import annotations

import os
import subprocess
import sys
from functools import partial
from pathlib import Path

from moorusher.model_checking.cluster_simulation import ClusterSimulation, find_counterexample
from moorusher.model_checking.leadership_simulation import DISK_SCENARIO, DutySimulation
from moorusher.model_checking.scenario import FAULTS_WITH_JOURNAL, Scenario

ROOT = Path(__file__).parent.parent
CLUSTER_DISKS = Scenario(seats=4, keys=25, faults=6, journals=True, fault_kinds=FAULTS_WITH_JOURNAL)


def traces() -> list[str]:
    """Return the traces of three simulations, with their violations and their next random numbers."""
    simulations: list[ClusterSimulation] = [
        ClusterSimulation(0),
        ClusterSimulation(3, CLUSTER_DISKS),
        DutySimulation(0, DISK_SCENARIO, has_disks=True),
    ]
    violations = [simulation.play() for simulation in simulations]
    return [
        f"{violation} {sim.random.random()} {sim.faults.log} {sim.history.messages} {sim.history.requests}"
        f" {sim.history.runs} {sim.history.answers} {sim.history.crashed_at}"
        for violation, sim in zip(violations, simulations, strict=True)
    ]


def traces_with_hash_seed(hash_seed: str) -> str:
    code = "from tests import test_seed_replay; print(*test_seed_replay.traces(), sep='\\n')"
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return completed.stdout


def test_a_seed_replays_in_processes_with_other_hash_seeds() -> None:
    """If messages to a set of seats, or records of a set of registers, are sent in the iteration order of the set, a
    failing seed can't be reproduced, because that order depends on the hash seed of the process.
    """
    first, second = traces_with_hash_seed("1"), traces_with_hash_seed("2")
    assert first.splitlines() == second.splitlines()
    assert len(first) > 10_000


class ViolatedFromSeedTwo(ClusterSimulation):
    """Reports a violation for every seed from 2 on, with a text that identifies the trace."""

    def violation(self) -> str | None:
        trace = f"{self.history.messages} messages, {self.faults.log}, {self.scenario}"
        return trace if self.seed >= 2 else None


def test_a_counterexample_contains_all_that_a_replay_needs() -> None:
    """The same seed with another scenario is another trace, so a counterexample needs its scenario as well."""
    counterexample = find_counterexample(range(4), partial(ViolatedFromSeedTwo, scenario=CLUSTER_DISKS))
    assert counterexample is not None and counterexample.seed == 2
    assert counterexample.replay().violation() == counterexample.violation
    assert ViolatedFromSeedTwo(counterexample.seed).play() != counterexample.violation
    assert "ViolatedFromSeedTwo" in repr(counterexample) and repr(CLUSTER_DISKS) in repr(counterexample)
