"""Simulations of the experiment "duties": the order of effects by seed, and large fleets, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from itertools import pairwise
from typing import NamedTuple

from ..leadership.effect_executor import EffectExecutor
from ..leadership.effects import FencedRequest
from ..leadership.fencing_token import FencingToken
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..model_checking.leadership_simulation import DutyProcess, DutySimulation
from ..model_checking.scenario import FaultKind, Scenario
from ..time_units import SECOND

LEASE_US = SECOND
"""A usual figure: the failure detector's patience."""
_REVISIONS_PER_RECORD = 1000
_LOSS_PATIENCE_S = 30
_OBSERVED_S = 5
_CREATION_S = 5


class ClockLeaseExecutor(EffectExecutor):
    """Of a lease by the clock: for so long after the last majority it acts without asking one."""

    confirmed_us = 0
    requests = 0

    def issue_token(self, request: FencedRequest) -> None:
        """Send at once while the lease is fresh, else ask a majority."""
        now = self.lease.context.services.now()
        if now - max(self.confirmed_us, self.lease.since_us) < LEASE_US:
            self.requests += 1
            record = self.lease.record
            revision = record.revision * _REVISIONS_PER_RECORD + self.requests
            token = FencingToken(record.generation, record.term, revision)
            return self.send_fenced(request, token, 1)
        self.confirmed_us = now
        return super().issue_token(request)


class ClockLeaseHolder(LeaseHolder):
    """Holds a lease by its own clock."""

    effect_executor_class = ClockLeaseExecutor


class ClockLeaseParticipant(Participant):
    """The baseline: it leads by a lease and its own clock alone."""

    lease_holder_class = ClockLeaseHolder


# ---- order ----


_FAULT_KINDS = (
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.CRASH,
)
"""Each fault is drawn from these; pauses are twice as likely, since leases by the clock fail by them."""


class EffectOrder(NamedTuple):
    """Effects that counted, and those of an earlier term that came to count after one of a later."""

    out_of_order: int
    total: int


def count_out_of_order(seed: int, clock_leases: bool) -> EffectOrder:
    """Under pauses, cuts and kills, with fencing tokens or with leases by the clock."""
    scenario = Scenario(seats=5, keys=0, faults=10, fault_kinds=_FAULT_KINDS)
    simulation = DutySimulation(
        seed,
        scenario,
        compares=not clock_leases,
        participant_class=ClockLeaseParticipant if clock_leases else Participant,
    )
    simulation.play()
    out_of_order = 0
    total = 0
    for history in simulation.histories.values():
        total += len(history.accepted)
        out_of_order += sum(
            (later.generation, later.term) < (earlier.generation, earlier.term)
            for earlier, later in pairwise(history.accepted)
        )
    return EffectOrder(out_of_order, total)


# ---- large fleets ----


class IdleProcess(DutyProcess):
    """A process whose duties do nothing."""

    def work(self, lease: LeaseHolder) -> None:
        """Nothing."""
        return None


@dataclass(frozen=True, slots=True)
class LargeFleetResult:
    """Of a large fleet whose duties are spread, and a fifth of which is then lost.

    Attributes:
        owned: duties with a leader.
        imbalance: the most duties of a member over the mean.
        messages_per_member_s: while nothing happens.
        owned_after_loss: duties with a leader again.
        expected_after_loss: duties with a majority of their replicas left.
        recovery_s: until all of those have a leader.
        imbalance_after_loss: of the remaining members.
        observed_from_s: when messages were counted.
    """

    owned: int
    imbalance: float
    messages_per_member_s: float
    owned_after_loss: int
    expected_after_loss: int
    recovery_s: float
    imbalance_after_loss: float
    observed_from_s: float

    def figures(self) -> dict[str, float]:
        """As they stand in a report."""
        return {
            "owned": self.owned,
            "largest over mean": self.imbalance,
            "messages a member a second": self.messages_per_member_s,
            "after the loss, owned": self.owned_after_loss,
            "of": self.expected_after_loss,
            "until all s": self.recovery_s,
            "largest over mean after": self.imbalance_after_loss,
            "looked at s": self.observed_from_s,
        }


def simulate_large_fleet(seats: int, duties: int, seed: int) -> LargeFleetResult:
    """A fleet that has been up for a while is given duties; then it is observed, and a fifth of it is lost."""
    is_small = seats <= 100
    warm_up_s = 8.0 if is_small else 30.0
    settling_s = 8.0 if is_small else 20.0
    scenario = Scenario(seats=seats, keys=0, faults=0, loss=0.0, duplication=0.0)
    simulation = DutySimulation(seed, scenario, 0, process_class=IdleProcess)
    simulation.run(round(warm_up_s * SECOND))
    participants = [
        process.participant for process in simulation.processes if isinstance(process, DutyProcess)
    ]
    _create_duties(simulation, participants, duties)
    simulation.run(simulation.now + round(settling_s * SECOND))

    owned = _leases_of(participants)
    observed_from = simulation.now
    messages_per_s = _message_rate(simulation)

    lost_count = seats // 5
    lost_at = simulation.now
    expected = _duties_with_majority(participants, lost_count)
    owned_after = _lose_members(simulation, participants, lost_count, expected)
    return LargeFleetResult(
        owned=sum(owned),
        imbalance=max(owned) / (duties / seats),
        messages_per_member_s=messages_per_s / seats,
        owned_after_loss=sum(owned_after),
        expected_after_loss=expected,
        recovery_s=(simulation.now - lost_at) / SECOND,
        imbalance_after_loss=max(owned_after) / max(1e-9, sum(owned_after) / len(owned_after)),
        observed_from_s=observed_from / SECOND,
    )


def _create_duties(simulation: DutySimulation, participants: list[Participant], duties: int) -> None:
    for index in range(duties):
        at = simulation.now + round(index / duties * _CREATION_S * SECOND)
        directory = participants[index % len(participants)].directory
        simulation.at(at, None, partial(directory.create, f"d{index}", "idle", lambda reply: None))


def _message_rate(simulation: DutySimulation) -> float:
    """Messages a second of the whole fleet, over the next seconds."""
    before = simulation.history.messages
    simulation.run(simulation.now + _OBSERVED_S * SECOND)
    return (simulation.history.messages - before) / _OBSERVED_S


def _lose_members(
    simulation: DutySimulation, participants: list[Participant], lost_count: int, expected: int
) -> list[int]:
    """Lose the first members; the duties of each other once as many as expected have a leader, or for too long."""
    for process in simulation.processes[:lost_count]:
        process.alive = False
    remaining = participants[lost_count:]
    patience = simulation.now + _LOSS_PATIENCE_S * SECOND
    while sum(_leases_of(remaining)) < expected and simulation.now < patience:
        simulation.run(simulation.now + SECOND // 10)
    return _leases_of(remaining)


def _leases_of(participants: list[Participant]) -> list[int]:
    return [len(participant.leases.by_key) for participant in participants]


def _duties_with_majority(participants: list[Participant], lost_count: int) -> int:
    """Duties at least two of whose three replicas are left, where the first members are lost."""
    keys = {key for participant in participants for key in participant.election.records}
    replicas = participants[0].services.replicas
    return sum(sum(int(seat[1:]) >= lost_count for seat in replicas(key)) >= 2 for key in keys)
