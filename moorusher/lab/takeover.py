"""Six runners under load, and some of them are lost: with the fleet and without it, on the same seeds."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.request import Request, urlopen

from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread

from .clock import now_us
from .cores import Machine
from .experiment import Experiment, Result
from .load import Arrival, Kind, Target, draw
from .ports import HOST, free_port
from .relays import Relay
from .runners import GAUGES, Runner, settings_of
from .stand_ins.kernel import Kernel

RUNNERS, CORES, WORK_MS = 6, 2, 60.0
KINDS = [
    Kind("check", 0.7, WORK_MS, False, 1500, 4000),
    Kind("submit", 0.3, WORK_MS, False, 3000, 8000, keyed=True),
]
TENANTS = ["north", "south"]
SECONDS, LOST_AT, SILENT_S = 9.0, 3.0, 2.0
BURST = 10
FAULTS = ("one", "two", "stopped", "cut")


@dataclass(slots=True)
class Asked:
    """One request, over all of its tries."""

    arrival: Arrival
    token: str
    sent: float
    at: list[int] = field(default_factory=list)
    outcome: str = ""
    ended: float = 0.0
    tries: int = 0


class Arm:
    """One course: the runners, their callers, and the loss."""

    def __init__(self, reactor: Any, seed: int, load: float, on: bool, fault: str) -> None:
        self.reactor, self.on, self.fault, self.rng = reactor, on, fault, random.Random(seed)
        self.kernels = [Kernel(reactor, machine=Machine(CORES), gauges=GAUGES) for _ in range(RUNNERS)]
        for kernel in self.kernels:
            kernel.listen()
        ports = [free_port() for _ in range(RUNNERS)]
        self.relays = (
            {(i, j): Relay(reactor, ports[j]) for i in range(RUNNERS) for j in range(RUNNERS) if i != j}
            if on
            else {}
        )
        settings = settings_of(
            KINDS, TENANTS, CORES, below="off", classCalls=[False, False], worthWithout=[0, 0]
        )
        self.runners = [
            Runner(reactor, self.kernels[i], settings, name=f"r{i}", more=self._toml(i, ports) if on else "")
            for i in range(RUNNERS)
        ]
        self.targets = [Target(reactor, r.port, i) for i, r in enumerate(self.runners)]
        self.arrivals = draw(seed, KINDS, TENANTS, load * RUNNERS * CORES / (WORK_MS / 1000), SECONDS)
        self.asked: list[Asked] = []
        self.by_rid: dict[str, Asked] = {}
        self.lost: list[int] = []
        self.in_hand: list[Asked] = []
        self.begun_there: set[str] = set()
        self.taken_at: float | None = None
        self._began = 0

    def _toml(self, i: int, ports: list[int]) -> str:
        seats = "".join(
            f'[[fleet.seat]]\nname = "r{j}"\nzone = "z{j % 3}"\naddress = '
            f'"{HOST}:{self.relays[i, j].port if i != j else ports[i]}"\n'
            for j in range(RUNNERS)
        )
        return f'[fleet]\nlisten = "{HOST}:{ports[i]}"\nname = "lab"\n{seats}'

    @property
    def now(self) -> float:
        return (now_us() - self._began) / 1e6

    async def _pause(self, s: float) -> None:
        await deferLater(self.reactor, max(0.0, s), lambda: None)

    def _admin(self, i: int, path: str, method: str = "GET") -> Any:
        def ask() -> bytes | None:
            try:
                with urlopen(
                    Request(
                        f"http://{HOST}:{self.runners[i].admin}/{path}",
                        method=method,
                        headers={"Authorization": "Bearer lab"},
                    ),
                    timeout=2,
                ) as got:
                    return bytes(got.read())
            except OSError:
                return None

        return deferToThread(ask)

    async def play(self) -> dict[str, float]:
        for i in range(RUNNERS):
            while b'"kernel_up": true' not in (await self._admin(i, "status") or b""):
                await self._pause(0.1)
        while self.on and await self._admin(0, "fleet/begin", "POST") is None:
            await self._pause(0.2)
        await self._pause(0.5)
        self._began = now_us()
        self.reactor.callLater(LOST_AT - 0.1, self._burst)
        self.reactor.callLater(LOST_AT, self._lose)
        for arrival in self.arrivals:
            if arrival.at > self.now:
                await self._pause(arrival.at - self.now)
            one = Asked(arrival, arrival.token or "", self.now)
            self.asked.append(one)
            self._try(one, self.rng.randrange(RUNNERS))
        await self._pause(5.0)
        self.close()
        return self.figures()

    def _burst(self) -> None:
        """So that there is something in hand to be lost: keyed work beyond what a runner's cores take at once."""
        for i in (1, 4):
            for _ in range(BURST):
                body, token = f"work {WORK_MS * 4:.1f}".encode(), f"{self.rng.getrandbits(64):016x}"
                one = Asked(Arrival(self.now, KINDS[1], TENANTS[0], body, token), token, self.now)
                self.asked.append(one)
                self._try(one, i)

    # ---- callers: the same token at the next runner after silence, or where a connection broke ----

    def _try(self, one: Asked, at: int) -> None:
        if one.outcome or self.now - one.sent > one.arrival.kind.deadline_ms / 1000:
            return
        one.at.append(at)
        one.tries += 1
        rid = f"{len(self.asked):06x}.{one.tries}.{self.rng.getrandbits(32):08x}"
        self.by_rid[rid] = one
        silent = self.reactor.callLater(SILENT_S, lambda: self._next(one, at))

        def done(outcome: str) -> None:
            if silent.active():
                silent.cancel()
            if one.outcome:
                return
            if outcome in ("lost", "unreached"):
                if at not in self.lost:
                    one.outcome, one.ended = outcome, self.now
                else:
                    self.reactor.callLater(0.2, lambda: self._next(one, at))
            elif outcome == "refused" and one.token and self.now > LOST_AT:
                self.reactor.callLater(0.4, lambda: self._next(one, at))
            else:
                one.outcome, one.ended = outcome, self.now

        self.targets[at].send(one.arrival, rid, done)

    def _next(self, one: Asked, at: int) -> None:
        if not one.outcome:
            self._try(one, next(i for i in [*range(at + 1, RUNNERS), *range(RUNNERS)] if i not in self.lost))

    # ---- the loss ----

    def _lose(self) -> None:
        self.lost = [1, 4] if self.fault == "two" else [1]
        self.in_hand = [a for a in self.asked if a.token and not a.outcome and a.at and a.at[-1] in self.lost]
        self.begun_there = {
            self.by_rid[rid].token
            for i in self.lost
            for rid, _, _ in self.kernels[i].runs
            if rid in self.by_rid
        }
        for i in self.lost:
            if self.fault in ("one", "two"):
                self.runners[i].signal("KILL")
                self.kernels[i].close()
            elif self.fault == "stopped":
                self.runners[i].signal("STOP")
                self.reactor.callLater(3.0, self.runners[i].signal, signal.SIGCONT)
            else:
                for (a, b), relay in self.relays.items():
                    if i in (a, b):
                        relay.silence()
        if self.fault == "stopped":
            self.reactor.callLater(3.0, self.lost.clear)
        self._watch()

    def _watch(self) -> None:
        held = {a.token for a in self.in_hand} - self.begun_there
        for i, kernel in enumerate(self.kernels):
            if i in self.lost or self.taken_at is not None:
                continue
            if any(self._of(rid) in held for rid, _, _ in kernel.runs):
                self.taken_at = self.now
        if self.taken_at is None and self.now < SECONDS + 4:
            self.reactor.callLater(0.02, self._watch)

    def _of(self, rid: str) -> str:
        one = self.by_rid.get(rid)
        return "" if one is None else one.token

    # ---- what came of it ----

    def figures(self) -> dict[str, float]:
        runs = Counter(self._of(rid) for k in self.kernels for rid, _, _ in k.runs)
        del runs[""]
        keyed = [a for a in self.asked if a.token]
        held = [a for a in self.in_hand if a.token not in self.begun_there]
        rest = [a for a in self.asked if a.sent > LOST_AT and not a.token and a.at[0] not in (1, 4)]

        def good(a: Asked) -> bool:
            return a.outcome == "served" and a.ended - a.sent <= a.arrival.kind.deadline_ms / 1000

        return {
            "tokens": len(keyed),
            "begun twice": sum(n > 1 for n in runs.values()),
            "in hand": len(self.in_hand),
            "held": len(held),
            "held served": sum(map(good, held)) / max(1, len(held)),
            "no ending": sum(not a.outcome for a in self.in_hand),
            "runs for one served": sum(runs.values()) / max(1, sum(map(good, keyed))),
            "served": sum(map(good, keyed)) / max(1, len(keyed)),
            "rest": sum(map(good, rest)) / max(1, len(rest)),
            "takeover s": -1.0 if self.taken_at is None else self.taken_at - LOST_AT,
        }

    def close(self) -> None:
        for r in self.runners:
            r.signal(signal.SIGCONT)
            r.signal("KILL")
        things: list[Any] = [*self.targets, *self.kernels, *self.relays.values()]
        for thing in things:
            thing.close()


async def play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    """The experiment on takeovers."""
    result = Result()
    seeds = range(seed, seed + (1 if quick else 10))
    sums: dict[tuple[str, bool], list[dict[str, float]]] = {}
    for load in (0.9,) if quick else (0.6, 0.9):
        for fault in FAULTS:
            for one in seeds:
                for on in (True,) if fault == "cut" else (False, True):
                    got = await Arm(reactor, one, load, on, fault).play()
                    sums.setdefault((f"{fault} at {load:.0%}", on), []).append(got)
                    say(
                        f"{fault:<8} {load:.0%} seed {one} fleet {'on ' if on else 'off'} "
                        + "  ".join(f"{k} {v:.3g}" for k, v in got.items())
                    )
    for (name, on), all_of in sums.items():
        total = {k: sum(g[k] for g in all_of) for k in all_of[0]}
        result.figures[f"{name}, fleet {'on' if on else 'off'}"] = {
            k: v / len(all_of) for k, v in total.items()
        }
        if not on:
            continue
        result.hold(
            f"{name}: begun twice",
            f"{total['begun twice']:.0f} of {total['tokens']:.0f}",
            "none",
            total["begun twice"] == 0,
        )
        held = sum(g["held served"] * g["held"] for g in all_of)
        if total["held"] and not name.startswith("cut"):
            result.hold(
                f"{name}: held at the loss, served in time",
                f"{held:.0f} of {total['held']:.0f}",
                "0.9",
                held >= 0.9 * total["held"],
            )
        result.hold(
            f"{name}: without an ending",
            f"{total['no ending']:.0f} of {total['in hand']:.0f}",
            "none",
            total["no ending"] == 0,
        )
        result.hold(
            f"{name}: runs for one served",
            f"{total['runs for one served'] / len(all_of):.2f}",
            "at most 1.1",
            total["runs for one served"] / len(all_of) <= 1.1,
        )
        times = sorted(g["takeover s"] for g in all_of if g["takeover s"] >= 0)
        if times:
            middle = times[len(times) // 2]
            result.hold(f"{name}: time to the first takeover", f"{middle:.2f} s", "under 1 s", middle < 1.0)
        if (name, False) in sums:
            rest, off = (sum(g["rest"] for g in sums[name, o]) / len(all_of) for o in (True, False))
            result.hold(
                f"{name}: what survivors serve of the rest",
                f"{rest:.3f} with, {off:.3f} without",
                "within 0.01 of it",
                rest >= off - 0.01,
            )
    return result


TAKEOVER = Experiment(
    "takeover", "Six runners under load, some of which are lost, with the fleet and without it.", play
)
