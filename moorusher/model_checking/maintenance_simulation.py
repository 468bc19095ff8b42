"""Outages of a fleet in virtual time: the real pure parts, scripts that wait on their machines and begin when they are
told, and all faults of `check.fleets`. One seed is one course. What is checked is the machines themselves: how many of
them may be worked on at any moment, and whether all that was asked for comes about in the end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import structs

from ..maintenance.coordinator import OutageCoordinator, Waited
from ..maintenance.local_machine import Doing, Own
from ..maintenance.policy import Policy
from ..maintenance.schedule import Ask, Stage
from ..membership.placement import majority
from ..replication.acceptor import Acceptor
from ..replication.node import Node
from .cluster_simulation import MS, SECOND, Process, Scenario, Simulation

POLICY = Policy(
    on=True, most=2, most_zone=1, least_share=0.3, settle_s=0.3, drain_s=3.0, go_s=4.0, back_s=8.0
)
COURSE = Scenario(
    seats=6,
    keys=0,
    seconds=25.0,
    faults=9,
    loss=0.01,
    fault_kinds=("kill", "forget", "stop", "cut", "one way", "clock", "power of one", "limit"),
)
COLD_S, LASTS_S = 0.6, 1.0
BACK_S = 60.0  # after the course, until all that was asked for must have come about


@dataclass(slots=True)
class Machine:
    """As nobody in the fleet sees it. `starts` is what its own file would say."""

    starts: int = 1
    told: bool = False  # its script may begin at any time
    down: bool = False
    cold_after: bool = False  # it has come back from work, and is not what it was


class Script:
    """`moorusher outage ask --wait && reboot` on the machine itself; asks again by its id whatever becomes of a try."""

    def __init__(self, world: OutageSimulation, seat: int, id: str, gives_up: bool) -> None:
        self.world, self.seat, self.id, self.gives_up = world, seat, id, gives_up
        self.machine, self.starts = world.machines[seat], world.machines[seat].starts
        self.over = False
        self.bound = False  # its ask ends with it

    @property
    def there(self) -> bool:
        return not self.over and self.machine.starts == self.starts and not self.machine.down

    def wait(self) -> None:
        if not self.there:
            return
        process = self.world.processes[self.seat]
        answered = [False]

        def told(got: Waited) -> None:
            if answered[0] or not self.there:
                return
            answered[0] = True
            # On its way to the script, which may be stopped for long as well.
            r = self.world.random
            self.world.at(
                self.world.now + round(r.uniform(0, 4 if r.random() < 0.1 else 0.05) * SECOND),
                None,
                lambda: self._heard(got),
            )

        def again() -> None:
            if not answered[0]:
                answered[0] = True
                self.wait()

        if process.alive and isinstance(process, OutageProcess):

            def ask() -> None:
                process.coordinator.wait(self.id, f"n{self.seat}", 2 * SECOND, told)

            self.world.at(self.world.now, process, ask)
        self.world.at(self.world.now + 3 * SECOND, None, again)

    def _heard(self, got: Waited) -> None:
        if not self.there:
            return
        if got.word == "granted":
            self.over = True
            first = not self.machine.told
            self.world.is_told(self.seat)
            r = self.world.random
            if (
                self.gives_up and first
            ):  # killed between its two commands: nobody works on it, and nobody says so
                self.world.stuck.add(self.seat)
            elif not self.gives_up:
                self.world.stuck.discard(self.seat)
                self.world.at(self.world.now + round(r.uniform(0.01, 1.5) * SECOND), None, self._begins)
        elif got.word == "waits":
            self.world.at(self.world.now + round(0.1 * SECOND), None, self.wait)
        else:
            self.over = True

    def _begins(self) -> None:
        if self.machine.starts == self.starts and not self.machine.down:
            self.world.worked_on(self.seat)


class OutageProcess(Process):
    """One process of a simulated fleet, with the real outage coordinator."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        super().__init__(sim, seat, number, inc, remembers, make)
        assert isinstance(sim, OutageSimulation)
        self.world = sim
        self.starts, self.born = sim.machines[seat].starts, sim.now
        self.coordinator = sim.coordinator(self.node, self, sim.policy, remembers, sim.keeper)
        self.doing, self.since = Doing.SERVES, 0
        self._wait: list[Callable[[], None]] = []

    # ---- outage.coordinator.Host ----

    def unix_s(self) -> float:
        return 1e9 + (self.sim.now + self.world.skews[self.seat]) / 1e6

    def own(self) -> Own:
        drained = self.doing is Doing.DRAINS and self.sim.now - self.since >= self.world.drain_us
        return Own(
            "",
            0,
            True,
            str(self.starts),
            "s",
            drained,
            warm=self.warm,
            whole=self.coordinator.keeper.recovered,
        )

    @property
    def warm(self) -> bool:
        warm = self.sim.now - self.born >= COLD_S * SECOND
        if warm:
            self.world.machines[self.seat].cold_after = False
        return warm

    def do(self, doing: Doing, why: str) -> None:
        if doing is not self.doing:
            self.doing, self.since = doing, self.sim.now
        self.draining = doing in (Doing.DRAINS, Doing.GONE)

    def loud(self, what: str) -> None:
        self.world.said[what.split(" ", 2)[1]] += 1

    def check_self(self) -> None:
        weight = 0 if self.draining else 100 if self.warm else 35
        self.node.load_figures = weight, self.world.load, self.world.load
        super().check_self()

    def lost(self, key: bytes) -> None:  # of keyed work, which there is none of here
        raise AssertionError(key)


class OutageSimulation(Simulation):
    """`coordinator` and `keeper` are the real ones, or those with a seeded mistake."""

    def __init__(
        self,
        seed: int,
        course: Scenario = COURSE,
        policy: Policy = POLICY,
        load: float = 0.4,
        asks: int = 3,
        coordinator: type[OutageCoordinator] = OutageCoordinator,
        keeper: type[Acceptor] = Acceptor,
        process: type[OutageProcess] = OutageProcess,
    ) -> None:
        """`load`: of each member's core."""
        self.machines = [Machine() for _ in range(course.seats)]
        self.skews = [0] * course.seats
        self.policy, self.load, self.coordinator, self.keeper = policy, round(load * 100), coordinator, keeper
        self.drain_us = 300 * MS
        self.most_told, self.limit = 0, policy.most
        self.stuck: set[int] = set()  # told, and nobody there who begins
        self.said: Counter[str] = Counter()
        self.found: list[str] = []
        self.scripts: list[Script] = []
        self.forgot = 0  # times that too many keepers had forgotten
        self.asked: dict[str, set[str]] = {}
        self.withdrawn: set[str] = set()
        super().__init__(seed, course, process=process)
        r = self.random
        for i in range(asks):
            self._asks(f"ask {i}", r.uniform(1, course.seconds / 2))

    def start_process(self, seat: int, remembers: bool, inc: int = 0) -> Process:
        made = super().start_process(seat, remembers, inc)
        assert isinstance(made, OutageProcess)
        self.at(self.now, made, made.coordinator.start)
        return made

    # ---- operators ----

    def _asks(self, id: str, at: float) -> None:
        r, seats = self.random, self.course.seats
        bound = r.random() < 0.4  # one machine, by a script of its own; else all are asked for at once
        which = [r.randrange(seats)] if bound else sorted(r.sample(range(seats), r.randint(1, seats)))
        ask = Ask(
            id,
            "patch",
            "operator",
            LASTS_S,
            1e9 + at,
            priority=r.randrange(3),
            together=r.random() < 0.5,
            waiting=tuple(f"n{i}" for i in which),
        )
        self.asked[id] = set(ask.waiting)
        gives_up = {i for i in which if r.random() < 0.08}
        withdraws = r.random() < 0.2

        if bound:
            script = Script(self, which[0], id, which[0] in gives_up)
            ask, script.bound = structs.replace(ask, bound=str(script.starts)), True
            self.scripts.append(script)

        def send() -> None:
            if self._known(id) or (bound and not script.there):
                if not self._known(id):
                    self.asked.pop(id, None)  # it has gone before anybody heard of it
                return
            process = self.processes[which[0] if bound else r.randrange(seats)]
            if process.alive and isinstance(process, OutageProcess):
                self.at(self.now, process, lambda: process.coordinator.ask(ask, lambda got: None))
            self.at(self.now + 3 * SECOND, None, send)

        def scripts() -> None:
            """On each of its machines something waits that is there after each start."""
            for i in which if not bound else ():
                if self._waits(id, f"n{i}") and not any(
                    s.there and s.seat == i and s.id == id for s in self.scripts
                ):
                    self.scripts.append(Script(self, i, id, i in gives_up))
                    self.scripts[-1].wait()
                    gives_up.discard(i)
            self.at(self.now + SECOND, None, scripts)

        self.at(round(at * SECOND), None, send)
        if bound:
            self.at(round(at * SECOND) + 1, None, script.wait)
        else:
            self.at(round(at * SECOND) + 1, None, scripts)
        if withdraws:
            self.at(round((at + r.uniform(0, 8)) * SECOND), None, lambda: self._withdraw(id))

    def _known(self, id: str) -> bool:
        return any(
            p.coordinator.roster.ask(id) is not None or p.coordinator.roster.is_over(id)
            for p in self._there()
        )

    def _waits(self, id: str, seat: str) -> bool:
        return any(
            (ask := p.coordinator.roster.ask(id)) is not None and seat in ask.waiting for p in self._there()
        )

    def _there(self) -> list[OutageProcess]:
        return [p for p in self.processes if p.alive and isinstance(p, OutageProcess)]

    def _withdraw(self, id: str) -> None:
        self.withdrawn.add(id)
        if there := self._there():
            process = self.random.choice(there)
            self.at(
                self.now, process, lambda: process.coordinator.cancel(id, [], "operator", lambda got: None)
            )

    # ---- machines ----

    def is_told(self, seat: int) -> None:
        self.machines[seat].told = True
        self._count(seat)

    def _count(self, seat: int) -> None:
        may = [i for i, m in enumerate(self.machines) if m.told or m.down or m.cold_after]
        self.most_told = max(self.most_told, len(may))
        zones = Counter(i % 2 for i in may)
        if len(may) > self.limit or max(zones.values()) > self.policy.most_zone:
            self.found.append(
                f"{self.now / SECOND:.3f} s: n{seat} was told to go, and {may} may be worked on"
            )

    def worked_on(self, seat: int) -> None:
        """It goes down, and starts anew."""
        machine = self.machines[seat]
        machine.told, machine.down = False, True
        process = self.processes[seat]
        if process.alive:
            self._kill(process)
        r = self.random
        fails = r.random() < 0.08  # and once more, shortly after its start

        def up() -> None:
            machine.down, machine.cold_after, machine.starts = False, True, machine.starts + 1
            self.processes[seat] = self.start_process(seat, remembers=False)
            if fails:
                self.at(self.now + round(0.4 * SECOND), None, lambda: self._fault("power of one", seat, 0.5))

        self.at(self.now + round(r.uniform(0.5, 1.5) * LASTS_S * SECOND), None, up)

    def _restart_later(self, seat: int, when: int, inc: int) -> None:
        def again() -> None:
            if not self.processes[seat].alive and not self.machines[seat].down:
                self.processes[seat] = self.start_process(seat, remembers=not self._amnesia, inc=inc)

        self.at(when, None, again)

    def _fault(self, kind: str, seat: int, lasts: float) -> None:
        process, machine = self.processes[seat], self.machines[seat]
        if kind == "power of one":
            if process.alive and not machine.down:
                self.events.append(f"{self.now / SECOND:.3f} s: n{seat} loses power")
                self._kill(process)
                machine.told, machine.starts = False, machine.starts + 1
                self.stuck.discard(seat)
                self._restart_later(seat, self.now + round(min(lasts, 2) * SECOND), 0)
        elif kind == "limit":  # a lower one in one file, under whatever is granted
            if process.alive and isinstance(process, OutageProcess):
                process.coordinator.follow(Policy(**{**_figures(self.policy), "most": 1}))
                self.at(
                    self.now + round(lasts * SECOND), process, lambda: process.coordinator.follow(self.policy)
                )
        else:
            if kind == "clock":
                self.skews[seat] -= 3600 * SECOND
            super()._fault(kind, seat, lasts)

    # ---- the whole ----

    def play(self) -> str | None:
        self.run(round(self.course.seconds * SECOND))
        self.cut_links.clear()
        for p in self.processes:
            p.stopped_until = 0
        end = self.now + round(BACK_S * SECOND)
        while self.now < end and not (self.found or self._all_over()):
            self.run(self.now + SECOND)
            self._look_after()
        if self.found:
            return self.found[0]
        return self._unfinished()

    def _look_after(self) -> None:
        """As a person does: says what is stuck, and lets go on what was held back."""
        there = self._there()
        if not there:
            return
        keepers = [p for p in there if p.node.me in p.coordinator.keepers]
        blank = [p for p in keepers if not p.coordinator.keeper.recovered]
        if len(keepers) == len(there[0].coordinator.keepers) and len(keepers) - len(blank) < majority(
            len(keepers)
        ):
            # Too many have forgotten. Once nobody works on anything, a person says that what is left counts.
            for i, machine in enumerate(self.machines):
                machine.told = False
                self.stuck.discard(i)
            for script in self.scripts:
                script.over = True
            if (
                all(not m.down for m in self.machines)
                and blank[0].coordinator.registers.recovery.bootstrap(accept_loss=True) is None
            ):
                self.forgot += 1
            return
        coordinator = there[0].coordinator
        for turn in coordinator.roster.turns:
            seat = int(turn.seat[1:])
            waits = self.machines[seat].told and seat not in self.stuck
            waits = waits or any(s.there and s.seat == seat and s.id == turn.ask for s in self.scripts)
            waits = waits or self.machines[seat].down or self.machines[seat].cold_after
            if turn.at in (Stage.OUT, Stage.ASIDE) and not waits:
                self.machines[seat].told = False
                self.stuck.discard(seat)
                coordinator.over(turn.seat, "operator", lambda got: None)
        for ask in coordinator.roster.asks:
            for seat_name, _ in ask.held:
                coordinator.resume(seat_name, lambda got: None)

    def _all_over(self) -> bool:
        return all(not p.coordinator.roster.asks for p in self._there()) and all(
            self._known(id) for id in self.asked
        )

    def _unfinished(self) -> str | None:
        last = max((p.coordinator.roster for p in self._there()), key=lambda r: r.number)
        for id in self.asked:
            if (ask := last.ask(id)) is not None:
                return f"{id} is not over: {ask}, {last.turns}"
            if not last.is_over(id):
                return f"{id} is forgotten"
        return None


def _figures(policy: Policy) -> dict[str, Any]:
    return {name: getattr(policy, name) for name in policy.__dataclass_fields__}


def search(seeds: range, **how: Any) -> tuple[int, str] | None:
    """The first seed whose course is wrong, with what is. `OutageSimulation(seed).play()` plays it again."""
    for seed in seeds:
        if (wrong := OutageSimulation(seed, **how).play()) is not None:
            return seed, wrong
    return None
