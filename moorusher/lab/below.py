"""A tier below in virtual time: servers with moods, calls that arrive whatever happens, and several ways to route."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from moorusher.scheduling.interface import Effect

from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import (
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    Instruction,
    SendAttempt,
    TimerFired,
)
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy

MS = 1_000


@dataclass(slots=True)
class Mood:
    """How a server behaves from `since` until `until` (s): 'slow' by `factor`, 'hang', 'fail' at once, 'turn' away."""

    kind: str
    since: float = 0.0
    until: float = math.inf
    factor: float = 5.0


class Below:
    """One server: `slots` at work at a time, the rest waits. Work is drawn around `mean_ms`."""

    def __init__(self, name: str, slots: int = 8, mean_ms: float = 40.0, mood: Mood | None = None) -> None:
        self.name, self.slots, self.mean, self.mood = name, slots, mean_ms * MS, mood
        self.busy: set[int] = set()
        self.queue: deque[tuple[int, float]] = deque()
        self.got = 0

    def mood_at(self, now: int) -> str:
        m = self.mood
        return m.kind if m is not None and m.since <= now / 1e6 < m.until else ""


@dataclass
class Told:
    """What a run came to."""

    calls: int = 0
    in_time: int = 0
    attempts: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    took: list[float] = field(default_factory=list)  # ms, of the answered
    sent: list[tuple[float, str]] = field(default_factory=list)  # s, server
    seconds: list[list[int]] = field(
        default_factory=list
    )  # calls and those in time, by second (or `bins`) of arrival
    twice: int = 0  # keyed calls that a server began twice

    @property
    def share(self) -> float:
        return self.in_time / max(1, self.calls)

    def quantile(self, share: float) -> float:
        ordered = sorted(self.took)
        return ordered[int(share * (len(ordered) - 1))] if ordered else math.inf

    def shifted(self, names: set[str], since: float, even: float) -> float:
        """Seconds after `since` until `names` get less than half of their even share of a second's calls."""
        at = since
        while at < (self.sent[-1][0] if self.sent else since):
            lately = [who for when, who in self.sent if at <= when < at + 1]
            if lately and sum(w in names for w in lately) / len(lately) < even / 2:
                return at - since
            at += 0.25
        return math.inf


class World:
    """One caller's calls against the servers. `way`: 'tier' (the router), 'plain' (any server at random, as behind a
    proxy that hands calls out), or 'round' (each in turn)."""

    def __init__(
        self,
        servers: list[Below],
        way: str,
        seed: int,
        rate: float = 150.0,
        seconds: float = 30.0,
        aim_ms: float = 400.0,
        deadline_ms: float = 1500.0,
        keyed: float = 0.15,
        policy: LoadBalancingPolicy | None = None,
        prepare: Callable[[LoadBalancer], None] = lambda r: None,
        events: list[tuple[float, Callable[[World], None]]] | None = None,
        chance: int | None = None,
        bins: float = 1.0,
    ) -> None:
        self.servers = {s.name: s for s in servers}
        self.order, self.way = servers, way
        self.rng = random.Random(seed)  # arrivals and work: the same for every way
        self.chance = random.Random(seed + 1 if chance is None else chance)  # the way's own
        self.rate, self.seconds, self.aim, self.deadline, self.keyed = (
            rate,
            seconds,
            aim_ms,
            deadline_ms,
            keyed,
        )
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._bin = round(bins * 1e6)
        self.told = Told(seconds=[[0, 0] for _ in range(int(seconds / bins) + 1)])
        self._came: dict[int, tuple[int, bool]] = {}
        self._at: dict[int, Below] = {}  # by attempt
        self._number_of: dict[int, int] = {}
        self._began: Counter[int] = Counter()
        self._work: dict[int, float] = {}
        self._turn = itertools.cycle(servers)
        self._wakes_at: int | None = None
        self._attempts = itertools.count(1 << 40)
        self.router = LoadBalancer(
            [EndpointConfig(s.name, ("127.0.0.1", 1)) for s in servers],
            policy or LoadBalancingPolicy(),
            "r1",
            self.chance.random,
            0,
        )
        prepare(self.router)
        for at, event in events or []:
            self._after(round(at * 1e6), lambda event=event: event(self))  # type: ignore[misc]

    def _after(self, wait: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + wait, next(self._order), action))

    def play(self) -> Told:
        self._arrive(0)
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()
            if self.way == "tier":
                self._watch()
        return self.told

    # ---- calls ----

    def _arrive(self, number: int) -> None:
        if self.now >= self.seconds * 1e6:
            return
        self._after(round(self.rng.expovariate(self.rate) * 1e6), lambda: self._arrive(number + 1))
        keyed = self.rng.random() < self.keyed
        self._work[number] = self.rng.lognormvariate(-0.125, 0.5)
        self._came[number] = (self.now, keyed)
        self.told.calls += 1
        self.told.seconds[self.now // self._bin][0] += 1
        due = self.now + round(self.deadline * MS)
        self._after(round(self.deadline * MS), lambda: self._due(number))
        if self.way == "tier":
            self.do(
                self.router.handle(
                    CallStarted(
                        self.now, number, Effect.IDEMPOTENT_WITH_KEY if keyed else Effect.IDEMPOTENT, due
                    )
                )
            )
        else:
            server = self.chance.choice(self.order) if self.way == "plain" else next(self._turn)
            self._send(number, next(self._attempts), server)

    def _due(self, number: int) -> None:
        if number in self._came:
            del self._came[number]
            self.told.ends["out of time"] += 1
            if self.way == "tier":
                self.do(self.router.handle(CallCancelled(self.now, number)))
            else:
                for attempt in [a for a, n in self._number_of.items() if n == number]:
                    self._drop(attempt)

    def do(self, effects: list[Instruction]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                self._send(effect.call_id, effect.attempt_id, self.servers[effect.endpoint])
            elif isinstance(effect, CancelAttempt):
                self._drop(effect.attempt_id)
            elif isinstance(effect, CompleteCall):
                self._over(effect.call_id, effect.outcome)

    def _over(self, number: int, end: AttemptOutcome) -> None:
        came = self._came.pop(number, None)
        if came is None:
            return
        self.told.ends[end.value] += 1
        if end is AttemptOutcome.ANSWERED:
            took = (self.now - came[0]) / MS
            self.told.took.append(took)
            if took <= self.aim:
                self.told.in_time += 1
                self.told.seconds[came[0] // self._bin][1] += 1

    def _watch(self) -> None:
        """One event for the router's earliest time, as a link has one alarm."""
        due = self.router.next_timer()
        if due is not None and (self._wakes_at is None or due < self._wakes_at):
            self._wakes_at = due
            self._after(max(0, due - self.now), self._ring)

    def _ring(self) -> None:
        self._wakes_at = None
        self.do(self.router.handle(TimerFired(self.now)))

    # ---- servers ----

    def _send(self, number: int, attempt: int, server: Below) -> None:
        self.told.attempts += 1
        self.told.sent.append((self.now / 1e6, server.name))
        server.got += 1
        self._at[attempt], self._number_of[attempt] = server, number
        mood = server.mood_at(self.now)
        if mood in ("fail", "turn"):
            faulty = AttemptOutcome.FAILED if mood == "fail" else AttemptOutcome.REJECTED
            self._after(1 * MS, lambda: self._ended(attempt, faulty))
            if mood == "fail":
                self._runs(number)
            return
        work = self._work[number] * server.mean
        if len(server.busy) < server.slots:
            self._begin(attempt, server, work)
        else:
            server.queue.append((attempt, work))

    def _runs(self, number: int) -> None:
        self._began[number] += 1
        came = self._came.get(number)
        if came is not None and came[1] and self._began[number] > 1:
            self.told.twice += 1

    def _begin(self, attempt: int, server: Below, work: float) -> None:
        server.busy.add(attempt)
        self._runs(self._number_of[attempt])
        mood = server.mood_at(self.now)
        if mood == "hang":
            return
        factor = server.mood.factor if mood == "slow" and server.mood is not None else 1.0
        self._after(round(work * factor), lambda: self._ended(attempt, AttemptOutcome.ANSWERED))

    def _ended(self, attempt: int, end: AttemptOutcome) -> None:
        server = self._at.pop(attempt, None)
        if server is None:
            return
        number = self._number_of.pop(attempt)
        self._free(server, attempt)
        if self.way == "tier":
            self.do(self.router.handle(AttemptEnded(self.now, attempt, end)))
        else:
            self._over(number, end)

    def _drop(self, attempt: int) -> None:
        server = self._at.pop(attempt, None)
        self._number_of.pop(attempt, None)
        if server is not None:
            self._free(server, attempt)

    def _free(self, server: Below, attempt: int) -> None:
        server.busy.discard(attempt)
        while server.queue and len(server.busy) < server.slots:
            waiting, work = server.queue.popleft()
            if waiting in self._at:
                self._begin(waiting, server, work)
