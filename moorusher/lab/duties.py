"""The experiment "duties": exclusive leadership with fencing tokens, compared with leases that rely on clocks.

It measures three things. Simulations with the same seeds count effects that are out of order, once with fencing tokens
and once with clock leases. With a clock lease, a leader acts without asking a majority for some time after a majority
has confirmed it, and the receiver accepts every effect. Real runners, whose leader is killed repeatedly, show the
failover time. Large fleets are simulated in virtual time.
"""

from __future__ import annotations

import statistics
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from twisted.internet.threads import deferToThread

from .arrivals import RequestClass
from .duty_simulations import LargeFleetResult, count_out_of_order, simulate_large_fleet
from .experiment import Experiment, Log, Plot, Points, Result
from .fenced_receiver import AcceptedEffect, FencedReceiver, TokenStore
from .ports import HOST
from .runner_fleet import RunnerFleet
from .runners import runner_settings

RUNNERS = 4
REPORT_INTERVAL_MS = 20
MAX_WAIT_S = 10.0
"""Longest wait for an effect of a later term after the leader was killed."""


# ---- real runners ----


class RealFleet(RunnerFleet):
    """Four runners with one report duty; the runner that leads the duty is killed and restarted repeatedly."""

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
        """Kill the duty's leader repeatedly; return the seconds from each kill to the first effect of a later term.

        A failover that takes longer than `MAX_WAIT_S` counts as `MAX_WAIT_S`.
        """
        await self.form_fleet()
        effects = self.receiver.accepted
        while len(effects) < 10:
            await self.pause(0.05)
        failovers_s = []
        for number in range(kills):
            last = effects[-1]
            leader = int(last.body["by"][1:])
            failovers_s.append(await self._kill_leader(leader, last))
            log(f"kill {number + 1} of {kills}: next effect after {failovers_s[-1]:.2f} s")
            await self._restart(leader)
        return failovers_s

    async def _kill_leader(self, leader: int, last: AcceptedEffect) -> float:
        effects = self.receiver.accepted
        term = last.token.term
        killed_at_s = self.reactor.seconds()
        self.runners[leader].signal("KILL")
        while effects[-1].token.term == term and self.reactor.seconds() < killed_at_s + MAX_WAIT_S:
            await self.pause(0.005)
        return next((effect.at_s - killed_at_s for effect in effects if effect.token.term > term), MAX_WAIT_S)

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
    with_tokens = f"{counts['fences']} of {counts['fences, all']}"
    with_clock_leases = f"{counts['leases']} of {counts['leases, all']}"
    log(f"effects out of order: {with_tokens} with fencing tokens, {with_clock_leases} with clock leases")
    result.add_criterion("effects out of order", with_tokens, "none", not counts["fences"])
    result.add_criterion(
        "and with leases alone on the same seeds", with_clock_leases, "some", counts["leases"] > 0
    )


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
    message_rates: Points = []
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
