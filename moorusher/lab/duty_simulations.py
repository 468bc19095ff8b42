"""Simulations of the experiment "duties" in virtual time: the order of effects under faults, and large fleets."""

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
"""Lease duration of the baseline: the time that the failure detector waits, as is usual for leases by the clock."""
_REVISIONS_PER_RECORD = 1000
_MAX_RECOVERY_S = 30
_OBSERVATION_S = 5
_CREATION_PERIOD_S = 5


class ClockLeaseExecutor(EffectExecutor):
    """Executor of a clock lease.

    After it has acquired the lease or asked a majority, it sends effects for `LEASE_US` without asking again.
    """

    confirmed_at_us = 0
    unconfirmed_requests = 0

    def issue_token(self, request: FencedRequest) -> None:
        """Send at once while the lease is valid by the local clock, otherwise ask a majority."""
        now = self.lease.context.services.now()
        if now - max(self.confirmed_at_us, self.lease.since_us) < LEASE_US:
            self.unconfirmed_requests += 1
            record = self.lease.record
            revision = record.revision * _REVISIONS_PER_RECORD + self.unconfirmed_requests
            token = FencingToken(record.generation, record.term, revision)
            return self.send_fenced(request, token, 1)
        self.confirmed_at_us = now
        return super().issue_token(request)


class ClockLeaseHolder(LeaseHolder):
    """Holder of a lease whose validity is judged by the local clock."""

    effect_executor_class = ClockLeaseExecutor


class ClockLeaseParticipant(Participant):
    """The baseline: a participant that relies on its lease and local clock alone."""

    lease_holder_class = ClockLeaseHolder


# ---- order ----


_FAULT_KINDS = (
    FaultKind.PAUSE,
    FaultKind.PAUSE,
    FaultKind.PARTITION,
    FaultKind.ONE_WAY_PARTITION,
    FaultKind.CRASH,
)
"""Kinds from which each fault is drawn. Pauses are listed twice, since clock leases fail because of pauses."""


class EffectOrder(NamedTuple):
    """Number of effects that were accepted right after an effect of a later term, and number of accepted effects."""

    out_of_order: int
    total: int


def count_out_of_order(seed: int, clock_leases: bool) -> EffectOrder:
    """Count the accepted effects under faults, and those that are out of order.

    :param clock_leases: whether leaders rely on clock leases and the receiver compares no fencing tokens.
    """
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
    """A process that leads duties without doing any work for them."""

    def work(self, lease: LeaseHolder) -> None:
        """Do nothing."""
        return None


@dataclass(frozen=True, slots=True)
class LargeFleetResult:
    """Figures of a large fleet that distributes duties among its members, before and after a fifth of them fails.

    Attributes:
        owned: Number of duties with a leader.
        imbalance: Largest number of duties that one member leads, divided by the mean.
        messages_per_member_s: Messages per member and second while the fleet is idle.
        owned_after_loss: Number of duties with a leader after the failure.
        expected_after_loss: Number of duties of which a majority of the replicas remains after the failure.
        recovery_s: Time from the failure until all expected duties have a leader, at most `_MAX_RECOVERY_S`.
        imbalance_after_loss: Imbalance among the remaining members.
        observed_from_s: Virtual time at which the count of messages began.
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
        """Return the figures under their names in the report."""
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
    """Create duties in a running fleet, count its messages, then fail a fifth of the members."""
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

    lease_counts = _lease_counts(participants)
    observed_from = simulation.now
    messages_per_s = _message_rate(simulation)

    lost_count = seats // 5
    lost_at = simulation.now
    expected = _duties_with_majority(participants, lost_count)
    lease_counts_after = _fail_members(simulation, participants, lost_count, expected)
    return LargeFleetResult(
        owned=sum(lease_counts),
        imbalance=max(lease_counts) / (duties / seats),
        messages_per_member_s=messages_per_s / seats,
        owned_after_loss=sum(lease_counts_after),
        expected_after_loss=expected,
        recovery_s=(simulation.now - lost_at) / SECOND,
        imbalance_after_loss=max(lease_counts_after)
        / max(1e-9, sum(lease_counts_after) / len(lease_counts_after)),
        observed_from_s=observed_from / SECOND,
    )


def _create_duties(simulation: DutySimulation, participants: list[Participant], duties: int) -> None:
    for index in range(duties):
        at = simulation.now + round(index / duties * _CREATION_PERIOD_S * SECOND)
        directory = participants[index % len(participants)].directory
        simulation.at(at, None, partial(directory.create, f"d{index}", "idle", lambda reply: None))


def _message_rate(simulation: DutySimulation) -> float:
    before = simulation.history.messages
    simulation.run(simulation.now + _OBSERVATION_S * SECOND)
    return (simulation.history.messages - before) / _OBSERVATION_S


def _fail_members(
    simulation: DutySimulation, participants: list[Participant], lost_count: int, expected: int
) -> list[int]:
    """Fail the first members, wait until the others hold `expected` leases or the timeout passes.

    :returns: number of leases of each remaining member.
    """
    for process in simulation.processes[:lost_count]:
        process.alive = False
    remaining = participants[lost_count:]
    timeout_at = simulation.now + _MAX_RECOVERY_S * SECOND
    while sum(_lease_counts(remaining)) < expected and simulation.now < timeout_at:
        simulation.run(simulation.now + SECOND // 10)
    return _lease_counts(remaining)


def _lease_counts(participants: list[Participant]) -> list[int]:
    return [len(participant.leases.by_key) for participant in participants]


def _duties_with_majority(participants: list[Participant], lost_count: int) -> int:
    """Return the number of duties that keep at least two of their three replicas when the first members fail."""
    keys = {key for participant in participants for key in participant.election.records}
    replicas = participants[0].services.replicas
    return sum(sum(int(seat[1:]) >= lost_count for seat in replicas(key)) >= 2 for key in keys)
