"""The experiment "duties": one leader at a time, against what it replaces.

Order: the same seeds with fencing tokens, and with leases by the clock alone (a leader acts without asking while its
last majority is fresh, and the receiver takes what comes). Loss: real runners, the leader killed again and again. Size:
virtual time.
"""

from __future__ import annotations

import statistics
from collections import Counter
from dataclasses import dataclass
from functools import partial
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from twisted.internet.threads import deferToThread

from ..leadership.effect_executor import EffectExecutor
from ..leadership.effects import FencedRequest
from ..leadership.fencing_token import FencingToken
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..model_checking.cluster_simulation import SECOND, Scenario
from ..model_checking.leadership_simulation import DutyProcess, DutySimulation
from .arrivals import RequestClass
from .experiment import Experiment, Log, Plot, Result
from .fenced_receiver import AcceptedEffect, FencedReceiver, TokenStore
from .ports import HOST
from .runner_fleet import RunnerFleet
from .runners import runner_settings

LEASE_US = SECOND
"""A usual figure: the failure detector's patience."""
RUNNERS = 4
REPORT_INTERVAL_MS = 20
MAX_WAIT_S = 10.0
"""For the next effect after a kill."""
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


class EffectOrder(NamedTuple):
    """Effects that counted, and those of an earlier term that came to count after one of a later."""

    out_of_order: int
    total: int


def count_out_of_order(seed: int, clock_leases: bool) -> EffectOrder:
    """Under pauses, cuts and kills, with fencing tokens or with leases by the clock."""
    scenario = Scenario(seats=5, keys=0, faults=10, fault_kinds=("stop", "stop", "cut", "one way", "kill"))
    simulation = DutySimulation(
        seed,
        scenario,
        compares=not clock_leases,
        participant=ClockLeaseParticipant if clock_leases else Participant,
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
    simulation = DutySimulation(seed, scenario, 0, process=IdleProcess)
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


# ---- real runners ----


class RealFleet(RunnerFleet):
    """Four runners with one report duty; the leader is killed, and comes back."""

    def __init__(self, reactor: Any, receiver: FencedReceiver) -> None:
        self.receiver = receiver
        request_class = RequestClass("check", 1.0, 10.0, False, 2000, 6000)
        settings = runner_settings(
            [request_class], ["t"], 2, below="off", classCalls=[False], worthWithout=[0]
        )
        duties = (
            f'[duties]\non = true\nsteady_ms = 500\n[[duties.report]]\nname = "alive"\n'
            f'to = "{HOST}:{receiver.port}"\nevery_ms = {REPORT_INTERVAL_MS}\n'
        )
        super().__init__(reactor, RUNNERS, settings, lambda index: duties)

    async def measure_failover(self, kills: int, log: Log) -> list[float]:
        """Seconds from each kill of the leader to the next effect."""
        await self.begin()
        effects = self.receiver.accepted
        while len(effects) < 10:
            await self.pause(0.05)
        failovers_s = []
        for number in range(kills):
            last = effects[-1]
            leader = int(last.body["by"][1:])
            failovers_s.append(await self._kill(leader, last))
            log(f"kill {number + 1} of {kills}: the next effect after {failovers_s[-1]:.2f} s")
            await self._restart(leader)
        return failovers_s

    async def _kill(self, leader: int, last: AcceptedEffect) -> float:
        effects = self.receiver.accepted
        term = last.token.term
        killed_at_s = self.reactor.seconds()
        self.runners[leader].signal("KILL")
        while effects[-1].token.term == term and self.reactor.seconds() < killed_at_s + MAX_WAIT_S:
            await self.pause(0.005)
        return next((each.at_s - killed_at_s for each in effects if each.token.term > term), MAX_WAIT_S)

    async def _restart(self, leader: int) -> None:
        await self.pause(0.3)
        self.runners[leader] = self.start_runner(leader)
        while b'"remembers": true' not in (await self.request_admin(leader, "fleet")).body:
            await self.pause(0.1)
        await self.pause(0.7)


# ---- the experiment ----


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    result = Result()
    await _measure_order(result, range(seed, seed + (6 if quick else 60)), log)
    await _measure_failover(result, reactor, 5 if quick else 30, log)
    sizes = (10, 100) if quick else (10, 100, 1000)
    await _measure_large_fleets(result, sizes, seed, log)
    return result


async def _measure_order(result: Result, seeds: range, log: Log) -> None:
    counts: Counter[str] = Counter()
    for seed in seeds:
        for clock_leases in (False, True):
            order = await deferToThread(count_out_of_order, seed, clock_leases)
            arm = "leases" if clock_leases else "fences"
            counts[arm] += order.out_of_order
            counts[f"{arm}, all"] += order.total
    result.figures["order"] = dict(counts)
    fences = f"{counts['fences']} of {counts['fences, all']}"
    leases = f"{counts['leases']} of {counts['leases, all']}"
    log(f"out of order: {fences} with fences, {leases} with leases")
    result.add_criterion("effects out of order", fences, "none", not counts["fences"])
    result.add_criterion("and with leases alone on the same seeds", leases, "some", counts["leases"] > 0)


async def _measure_failover(result: Result, reactor: Any, kills: int, log: Log) -> None:
    with TemporaryDirectory() as folder:
        receiver = FencedReceiver(reactor, TokenStore(Path(folder) / "book"))
        fleet = RealFleet(reactor, receiver)
        try:
            failovers_s = sorted(await fleet.measure_failover(kills, log))
        finally:
            fleet.close()
            receiver.close()
    result.figures["owner lost to next effect, s"] = failovers_s
    median_s = statistics.median(failovers_s)
    result.add_criterion(
        "owner killed to the next effect, median", f"{median_s:.2f} s", "under 1 s", median_s < 1
    )
    p99_s = failovers_s[min(len(failovers_s) - 1, round(0.99 * len(failovers_s)))]
    result.add_criterion("the same, 99 of 100", f"{p99_s:.2f} s", "under 2 s", p99_s < 2)


async def _measure_large_fleets(result: Result, sizes: tuple[int, ...], seed: int, log: Log) -> None:
    message_rates: list[tuple[float, float]] = []
    for seats in sizes:
        duties = 2 * seats
        fleet = await deferToThread(simulate_large_fleet, seats, duties, seed)
        figures = fleet.figures()
        result.figures[f"{seats} members"] = figures
        log(f"{seats} members: " + "  ".join(f"{name} {value:.3g}" for name, value in figures.items()))
        message_rates.append((seats, fleet.messages_per_member_s))
        _judge_large_fleet(result, seats, duties, fleet)
    smallest = message_rates[0][1]
    largest = message_rates[-1][1]
    result.add_criterion(
        "messages a member a second, largest over smallest fleet",
        f"{largest:.1f} over {smallest:.1f}",
        "at most 1.25 times",
        largest <= 1.25 * smallest,
    )
    result.plots.append(
        Plot("Messages a member a second, idle", "members", "messages/s", {"messages": message_rates})
    )


def _judge_large_fleet(result: Result, seats: int, duties: int, fleet: LargeFleetResult) -> None:
    result.add_criterion(
        f"{seats} members: duties without an owner",
        f"{duties - fleet.owned:.0f}",
        "none",
        fleet.owned == duties,
    )
    result.add_criterion(
        f"{seats} members: largest over mean",
        f"{fleet.imbalance:.2f}",
        "at most 2",
        fleet.imbalance <= 2,
    )
    result.add_criterion(
        f"{seats} members, a fifth lost: owned again of those with a majority of keepers",
        f"{fleet.owned_after_loss:.0f} of {fleet.expected_after_loss:.0f} after {fleet.recovery_s:.1f} s",
        "all",
        fleet.owned_after_loss >= fleet.expected_after_loss,
    )


DUTIES = Experiment("duties", "One owner at a time: order, time without an owner, large fleets.", _play)
