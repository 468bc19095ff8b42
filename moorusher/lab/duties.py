"""Duties against what they replace: order of effects under pauses and cuts, time without an owner, and large fleets.

Order: the same seeds with fences and with leases alone (an owner acts without asking while its last majority is fresh,
and the receiver takes what comes). Loss: real runners, the owner killed again and again. Size: virtual time.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from twisted.internet.threads import deferToThread

from ..leadership.effect_executor import EffectExecutor
from ..leadership.effects import FencedRequest
from ..leadership.fencing_token import FencingToken
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..model_checking.leadership_simulation import DutyProcess, DutySimulation
from ..model_checking.scenario import FaultKind, Scenario
from ..model_checking.virtual_time import SECOND
from .experiment import Experiment, Plot, Result
from .load import Kind
from .ports import HOST
from .receiver import Book, Receiver
from .runners import settings_of
from .together import Together

LEASE = SECOND  # a usual figure: the failure detector's patience
RUNNERS = 4
EVERY_MS = 20


class ClockLeaseExecutor(EffectExecutor):
    """As with leases by the clock: for so long after the last majority it acts without asking one."""

    confirmed_us = 0
    requests = 0

    def issue_token(self, request: FencedRequest) -> None:
        now = self.lease.context.services.now()
        if now - max(self.confirmed_us, self.lease.since_us) < LEASE:
            self.requests += 1
            record = self.lease.record
            revision = record.revision * 1000 + self.requests
            return self.send_fenced(request, FencingToken(record.generation, record.term, revision), 1)
        self.confirmed_us = now
        return super().issue_token(request)


class ClockLeaseHolder(LeaseHolder):
    """Holds a lease by its own clock."""

    effect_executor_class = ClockLeaseExecutor


class ClockLeaseParticipant(Participant):
    """The baseline: it leads by a lease and its own clock alone."""

    lease_holder_class = ClockLeaseHolder


def out_of_order(seed: int, leases: bool) -> tuple[int, int]:
    """Effects of an earlier term that came to count after one of a later; all effects."""
    course = Scenario(
        seats=5,
        keys=0,
        faults=10,
        fault_kinds=(
            FaultKind.PAUSE,
            FaultKind.PAUSE,
            FaultKind.PARTITION,
            FaultKind.ONE_WAY_PARTITION,
            FaultKind.CRASH,
        ),
    )
    sim = DutySimulation(
        seed, course, compares=not leases, participant_class=ClockLeaseParticipant if leases else Participant
    )
    sim.play()
    wrong = total = 0
    for history in sim.histories.values():
        total += len(history.accepted)
        wrong += sum(
            (later.generation, later.term) < (earlier.generation, earlier.term)
            for earlier, later in pairwise(history.accepted)
        )
    return wrong, total


class Idle(DutyProcess):
    """A process whose duties do nothing."""

    def work(self, lease: LeaseHolder) -> None:
        return None


def large(seats: int, duties: int, seed: int) -> dict[str, float]:
    """A fleet that has been up for a while is given duties; then it is looked at, and a fifth of it is lost."""
    up, given = (8.0, 8.0) if seats <= 100 else (30.0, 20.0)
    sim = DutySimulation(
        seed, Scenario(seats=seats, keys=0, faults=0, loss=0.0, duplication=0.0), 0, process_class=Idle
    )
    sim.run(round(up * SECOND))
    participants = [p.participant for p in sim.processes if isinstance(p, DutyProcess)]
    for i in range(duties):
        at = sim.now + round(i / duties * 5 * SECOND)
        directory = participants[i % seats].directory
        sim.at(at, None, partial(directory.create, f"d{i}", "idle", lambda got: None))
    sim.run(sim.now + round(given * SECOND))
    has = [len(o.leases.by_key) for o in participants]
    before, began = sim.history.messages, sim.now
    sim.run(sim.now + 5 * SECOND)
    rate = (sim.history.messages - before) / 5 / seats
    for process in sim.processes[: seats // 5]:
        process.alive = False
    lost = sim.now
    live = participants[seats // 5 :]
    wanted = sum(
        len([s for s in o.services.replicas(k) if int(s[1:]) >= seats // 5]) >= 2
        for o in participants[:1]
        for k in {k for one in participants for k in one.election.records}
    )
    while sum(len(o.leases.by_key) for o in live) < wanted and sim.now < lost + 30 * SECOND:
        sim.run(sim.now + SECOND // 10)
    after = [len(o.leases.by_key) for o in live]
    return {
        "owned": sum(has),
        "largest over mean": max(has) / (duties / seats),
        "messages a member a second": rate,
        "after the loss, owned": sum(after),
        "of": wanted,
        "until all s": (sim.now - lost) / SECOND,
        "largest over mean after": max(after) / max(1e-9, sum(after) / len(after)),
        "looked at s": began / SECOND,
    }


class Real(Together):
    """Four runners with one report duty; the owner is killed, and comes back."""

    def __init__(self, reactor: Any, receiver: Receiver) -> None:
        self.receiver = receiver
        settings = settings_of(
            [Kind("check", 1.0, 10.0, False, 2000, 6000)],
            ["t"],
            2,
            below="off",
            classCalls=[False],
            worthWithout=[0],
        )
        super().__init__(
            reactor,
            RUNNERS,
            settings,
            lambda i: (
                f'[duties]\non = true\nsteady_ms = 500\n[[duties.report]]\nname = "alive"\n'
                f'to = "{HOST}:{receiver.port}"\nevery_ms = {EVERY_MS}\n'
            ),
        )

    async def play(self, times: int, say: Callable[[str], None]) -> list[float]:
        await self.begin()
        took, found = self.receiver.took, list[float]()
        while len(took) < 10:
            await self.pause(0.05)
        for n in range(times):
            owner, term, began = int(took[-1].body["by"][1:]), took[-1].fence.term, self.reactor.seconds()
            self.runners[owner].signal("KILL")
            while took[-1].fence.term == term and self.reactor.seconds() < began + 10:
                await self.pause(0.005)
            found.append(next((t.at - began for t in took if t.fence.term > term), 10.0))
            say(f"kill {n + 1} of {times}: the next effect after {found[-1]:.2f} s")
            await self.pause(0.3)
            self.runners[owner] = self.runner(owner)
            while b'"remembers": true' not in await self.admin(owner, "fleet"):
                await self.pause(0.1)
            await self.pause(0.7)
        return found


async def play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    """The experiment on duties."""
    result = Result()
    sums: Counter[str] = Counter()
    for one in range(seed, seed + (6 if quick else 60)):
        for leases in (False, True):
            wrong, total = await deferToThread(out_of_order, one, leases)
            arm = "leases" if leases else "fences"
            sums[arm], sums[arm + ", all"] = sums[arm] + wrong, sums[arm + ", all"] + total
    result.figures["order"] = dict(sums)
    say(
        f"out of order: {sums['fences']} of {sums['fences, all']} with fences, "
        f"{sums['leases']} of {sums['leases, all']} with leases"
    )
    result.hold(
        "effects out of order", f"{sums['fences']} of {sums['fences, all']}", "none", not sums["fences"]
    )
    result.hold(
        "and with leases alone on the same seeds",
        f"{sums['leases']} of {sums['leases, all']}",
        "some",
        sums["leases"] > 0,
    )
    with TemporaryDirectory() as folder:
        receiver = Receiver(reactor, Book(Path(folder) / "book"))
        real = Real(reactor, receiver)
        try:
            times = sorted(await real.play(5 if quick else 30, say))
        finally:
            real.close()
            receiver.close()
    result.figures["owner lost to next effect, s"] = times
    result.hold(
        "owner killed to the next effect, median",
        f"{statistics.median(times):.2f} s",
        "under 1 s",
        statistics.median(times) < 1,
    )
    slow = times[min(len(times) - 1, round(0.99 * len(times)))]
    result.hold("the same, 99 of 100", f"{slow:.2f} s", "under 2 s", slow < 2)
    rates: list[tuple[float, float]] = []
    for seats in (10, 100) if quick else (10, 100, 1000):
        got = await deferToThread(large, seats, 2 * seats, seed)
        result.figures[f"{seats} members"] = got
        say(f"{seats} members: " + "  ".join(f"{k} {v:.3g}" for k, v in got.items()))
        rates.append((seats, got["messages a member a second"]))
        result.hold(
            f"{seats} members: duties without an owner",
            f"{2 * seats - got['owned']:.0f}",
            "none",
            got["owned"] == 2 * seats,
        )
        result.hold(
            f"{seats} members: largest over mean",
            f"{got['largest over mean']:.2f}",
            "at most 2",
            got["largest over mean"] <= 2,
        )
        result.hold(
            f"{seats} members, a fifth lost: owned again of those with a majority of keepers",
            f"{got['after the loss, owned']:.0f} of {got['of']:.0f} after {got['until all s']:.1f} s",
            "all",
            got["after the loss, owned"] >= got["of"],
        )
    result.hold(
        "messages a member a second, largest over smallest fleet",
        f"{rates[-1][1]:.1f} over {rates[0][1]:.1f}",
        "at most 1.25 times",
        rates[-1][1] <= 1.25 * rates[0][1],
    )
    result.plots.append(
        Plot("Messages a member a second, idle", "members", "messages/s", {"messages": rates})
    )
    return result


DUTIES = Experiment("duties", "One owner at a time: order, time without an owner, large fleets.", play)
