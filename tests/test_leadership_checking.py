"""Model checking of leadership: all interleavings, and random seeds in virtual time.

Each search must also find deliberate faults.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from moorusher.leadership.chunks import split
from moorusher.leadership.holder_changes import (
    HolderChange,
    IssueToken,
    UpdateState,
)
from moorusher.leadership.lease_record import (
    LeaseRecord,
    LeaseStatus,
)
from moorusher.leadership.lease_transitions import AcquireLease
from moorusher.leadership.state_replication import StateReplication
from moorusher.model_checking.cluster_simulation import find_counterexample
from moorusher.model_checking.explorer import explore
from moorusher.model_checking.leadership_interleavings import EffectKind, LeadershipModel
from moorusher.model_checking.leadership_simulation import (
    DISK_SCENARIO,
    SCENARIO,
    DutySimulation,
)
from moorusher.model_checking.register_state import RegisterModelLimits
from moorusher.model_checking.scenario import FaultKind, Scenario
from moorusher.replication.register_reader import RegisterReader

# ---- every interleaving ----


@pytest.mark.parametrize("kind", list(EffectKind))
def test_every_interleaving_of_a_stopped_leader_and_the_next_one(kind: EffectKind) -> None:
    found = explore(
        LeadershipModel.with_lease(
            RegisterModelLimits(retries=(0, 0), retries_on_conflict_only=True), kind=kind
        ),
        max_states=5_000,
    )
    assert found.violation is None, str(found)


class IgnoresTerm(IssueToken):
    """A deliberate fault: the change that issues a token does not check that the holder's term is still current."""

    def apply(self, old: LeaseRecord | None) -> LeaseRecord | None:
        return None if old is None or old.holder_sequence >= self.sequence else self.changed(old)

    def is_applied_in(self, found: LeaseRecord | None) -> bool:
        return found is not None and found.holder_sequence >= self.sequence


class SameTerm(AcquireLease):
    """A deliberate fault: the next leader keeps the term of the previous leader and restarts the revisions."""

    def apply(self, old: LeaseRecord | None) -> LeaseRecord | None:
        new = super().apply(old)
        if new is None or old is None:
            return new
        return LeaseRecord(
            new.name, new.kind, new.generation, old.term, 1, new.status, new.holder, new.holder_sequence
        )


@pytest.mark.parametrize(
    "options",
    [
        {"token_change": IgnoresTerm},
        {"acquire_change": SameTerm},
        {"compares": False},
        {"kind": EffectKind.ONCE, "sends_before_intent": True},
    ],
    ids=[
        "term read before the write",
        "same term twice",
        "receiver does not compare",
        "effect before intent",
    ],
)
def test_the_interleavings_find_each_deliberate_fault(options: dict[str, Any]) -> None:
    retries = (1, 0) if "token_change" in options else (0, 0)
    found = explore(
        LeadershipModel.with_lease(
            RegisterModelLimits(retries=retries, retries_on_conflict_only=True), **options
        ),
        max_states=60_000,
        depth_first=True,
    )
    assert found.violation is not None, str(found)


# ---- seeds in virtual time ----


@pytest.mark.parametrize(
    "scenario, options", [(SCENARIO, {}), (DISK_SCENARIO, {"has_disks": True})], ids=["memory", "disks"]
)
def test_no_seed_violates_an_invariant_of_leadership(scenario: Scenario, options: dict[str, Any]) -> None:
    found = find_counterexample(range(7), partial(DutySimulation, scenario=scenario, **options))
    assert found is None, (
        f"DutySimulation({found.seed}, {scenario}, **{options}).play(): {found.violation}" if found else ""
    )


def test_seeds_find_a_state_that_is_referenced_before_it_is_replicated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def replicate(
        self: StateReplication,
        key: Any,
        mark: Any,
        state: bytes,
        known: Any,
        deadline_us: int,
        callback: Any,
    ) -> None:
        for chunk in split(state).values():
            self.store.add(key, mark, chunk)  # stored only at the leader
        callback(True)

    scenario = Scenario(seats=5, keys=0, faults=8, fault_kinds=(FaultKind.CRASH, FaultKind.QUICK_RESTART))
    monkeypatch.setattr(StateReplication, "replicate", replicate)
    assert find_counterexample(range(10), partial(DutySimulation, scenario=scenario)) is not None


def test_seeds_find_a_receiver_that_does_not_compare_tokens() -> None:
    found = find_counterexample(range(60), partial(DutySimulation, compares=False))
    assert found is not None and "the receiver accepted" in found.violation


def test_seeds_find_replicas_that_vote_after_losing_their_memory() -> None:
    scenario = Scenario(
        seats=3, keys=0, faults=12, fault_kinds=(FaultKind.QUICK_RESTART, FaultKind.PARTITION)
    )
    simulation = partial(DutySimulation, scenario=scenario, amnesia=False)
    assert find_counterexample(range(60), simulation) is not None


def test_seeds_find_a_former_leader_whose_change_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply(self: HolderChange, old: LeaseRecord | None) -> LeaseRecord | None:
        return None if old is None or old.status != LeaseStatus.HELD else self.changed(old)

    monkeypatch.setattr(HolderChange, "apply", apply)
    monkeypatch.setattr(HolderChange, "is_applied_in", lambda self, found: found is not None)
    monkeypatch.setattr(UpdateState, "apply", apply)
    scenario = Scenario(seats=5, keys=0, faults=12, fault_kinds=(FaultKind.PAUSE, FaultKind.PARTITION))
    assert find_counterexample(range(20), partial(DutySimulation, scenario=scenario)) is not None


def test_seeds_find_a_read_that_accepts_one_replica_as_a_majority(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(RegisterReader, "votes_needed", staticmethod(lambda looking, vote: 1))
    found = find_counterexample(range(20), DutySimulation)
    assert found is not None and "missing" in found.violation
