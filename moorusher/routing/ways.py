"""Calls along customers' ways, over the tier's servers. Each route of each customer has a router of its own: what one
customer's calls have met, asked for or used up decides nothing for another's.

A call tries its hops in their order. It goes on to the next where the one before has no server, no room, or proves that
nothing ran there; where it may run twice, also after a failure. Servers that are no customer's and in no pool are the
platform's, for requests that no rules are for.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from itertools import count

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import may_repeat

from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import (
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    EndpointRemoved,
    Instruction,
    SendAttempt,
    TimerFired,
)
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from ..load_balancing.retry import has_time_left
from .grants import Grants
from .way import Hop, Way

MOST_ROUTERS = 2_000  # those without a call under way are forgotten first
Label = tuple[str, int, str]  # customer, incarnation, route


@dataclass(slots=True, eq=False)
class _Going:
    way: Way
    effect: Effect
    due: int
    hop: int = 0
    label: Label | None = None  # of the route that it is on
    pool: str = ""


class Ways:
    """The part of `tier.router.LoadBalancer` that links need, for all of them."""

    def __init__(
        self,
        servers: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
        grants: Grants,
    ) -> None:
        self._policy, self._runner, self._draw = policy, runner, draw
        self.servers = {s.name: s for s in servers}
        self.grants = grants
        self._attempts = count(1)
        self.default = LoadBalancer(
            [s for s in self.servers.values() if s.name not in grants.taken()],
            policy,
            runner,
            draw,
            now,
            self._attempts,
        )
        self._routers: OrderedDict[Label, LoadBalancer] = OrderedDict()
        self._hops: dict[Label, Hop] = {}
        self._going: dict[int, _Going] = {}
        self._via: dict[int, LoadBalancer] = {}  # by attempt
        self._wakes: list[tuple[int, int, LoadBalancer]] = []
        self._noted: dict[LoadBalancer, int] = {}  # of each, the earliest of those
        self._order = count()
        self._on: dict[Label, int] = {}  # calls under way
        self._in_pool: dict[tuple[str, str], int] = {}  # by customer and pool

    # ---- routers ----

    def _router(self, now: int, way: Way, hop: Hop) -> LoadBalancer | None:
        """None where none of its servers is there, and granted, at this time."""
        own = self.grants.own.get(way.customer, frozenset())
        if hop.pool:
            if not self.grants.share(way.customer, hop.pool):
                return None
            weights = dict.fromkeys(self.grants.pools[hop.pool].servers, 1)
        else:
            weights = {name: weight for name, weight in hop.servers if weight and name in own}
        there = [
            replace(self.servers[n], weight=self.servers[n].weight * w)
            for n, w in weights.items()
            if n in self.servers
        ]
        if not there:
            return None
        label = way.customer, way.born, hop.route
        made = self._routers.get(label)
        if made is None:
            self._forget_some()
            made = self._routers[label] = LoadBalancer(
                there, self._policy, self._runner, self._draw, now, self._attempts
            )
        else:
            self._routers.move_to_end(label)
            if self._hops.get(label) is not hop:
                self._follow(now, made, there)
        self._hops[label] = hop
        return made

    @staticmethod
    def _follow(now: int, router: LoadBalancer, servers: list[EndpointConfig]) -> None:
        wanted = {s.name: s for s in servers}
        for name in [n for n in router.endpoints.by_name if n not in wanted]:
            router.endpoints.retire(name)
        for server in servers:
            known = router.endpoints.by_name.get(server.name)
            if known is None or known.config != server:
                router.endpoints.add(now, server, established=known is not None)

    def _forget_some(self) -> None:
        if len(self._routers) >= MOST_ROUTERS:
            for label in [name for name, r in self._routers.items() if not r.open_calls][
                : MOST_ROUTERS // 10
            ]:
                del self._routers[label]
                self._hops.pop(label, None)

    def _all(self) -> list[LoadBalancer]:
        return [self.default, *self._routers.values()]

    # ---- calls ----

    def call(self, now: int, number: int, effect: Effect, due: int, way: Way | None) -> list[Instruction]:
        """`way` is None where no customer's rules are for it."""
        out = self.give_up(now, number)
        if way is None:
            return out + self._seen(
                self.default, self.default.handle(CallStarted(now, number, effect, due)), now
            )
        going = self._going[number] = _Going(way, effect, due)
        return out + self._next(now, number, going, CompleteCall(number, 0, AttemptOutcome.REJECTED))

    def _next(self, now: int, number: int, going: _Going, last: CompleteCall) -> list[Instruction]:
        """On the next hop that can; `last`: how it ends where there is none."""
        while going.hop < len(going.way.hops):
            hop = going.way.hops[going.hop]
            going.hop += 1
            router = self._router(now, going.way, hop)
            if router is None or not self._enter(going, hop):
                continue
            return self._seen(
                router, router.handle(CallStarted(now, number, going.effect, going.due, hop.tries)), now
            )
        self._going.pop(number, None)
        return [last]

    def _enter(self, going: _Going, hop: Hop) -> bool:
        label = going.way.customer, going.way.born, hop.route
        there = self._on.get(label, 0)
        if hop.limit and there >= hop.limit:
            return False
        if hop.pool:
            key = going.way.customer, hop.pool
            used = self._in_pool.get(key, 0)
            if used >= self.grants.share(*key):
                return False
            self._in_pool[key] = used + 1
        going.label, going.pool = label, hop.pool
        self._on[label] = there + 1
        return True

    def _leave(self, going: _Going) -> None:
        if going.label is None:
            return
        self._less(self._on, going.label)
        if going.pool:
            self._less(self._in_pool, (going.way.customer, going.pool))
        going.label = None

    @staticmethod
    def _less(counts: dict[tuple[str, int, str], int] | dict[tuple[str, str], int], key: object) -> None:
        table: dict[object, int] = counts  # type: ignore[assignment]
        table[key] -= 1
        if not table[key]:
            del table[key]

    def _seen(self, router: LoadBalancer, actions: list[Instruction], now: int) -> list[Instruction]:
        """What a router wants done: its attempts are noted, and an end on one hop may be a beginning on the next."""
        out: list[Instruction] = []
        self._note(router)
        for action in actions:
            if isinstance(action, SendAttempt):
                self._via[action.attempt_id] = router
            elif isinstance(action, CancelAttempt):
                self._via.pop(action.attempt_id, None)
            elif (going := self._going.get(action.call_id)) is not None:
                self._leave(going)
                if self._may_go_on(now, going, action):
                    out += self._next(now, action.call_id, going, action)
                    continue
                del self._going[action.call_id]
            out.append(action)
        return out

    @staticmethod
    def _may_go_on(now: int, going: _Going, over: CompleteCall) -> bool:
        if over.outcome in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.NOT_AWAITED,
            AttemptOutcome.CANCELLED,
        ) or not has_time_left(now, going.due):
            return False
        return may_repeat(going.effect, over.outcome.evidence)

    def give_up(self, now: int, number: int) -> list[Instruction]:
        going = self._going.pop(number, None)
        if going is None:
            return self._seen(self.default, self.default.handle(CallCancelled(now, number)), now)
        router = None if going.label is None else self._routers.get(going.label)
        self._leave(going)
        return [] if router is None else self._seen(router, router.handle(CallCancelled(now, number)), now)

    def ended(self, now: int, attempt: int, end: AttemptOutcome) -> list[Instruction]:
        router = self._via.pop(attempt, None)
        return (
            [] if router is None else self._seen(router, router.handle(AttemptEnded(now, attempt, end)), now)
        )

    def _note(self, router: LoadBalancer) -> None:
        """When it next wants to be rung, among all of them."""
        at = router.next_timer()
        if at is not None and self._noted.get(router) != at:
            self._noted[router] = at
            heapq.heappush(self._wakes, (at, next(self._order), router))

    def wake(self) -> int | None:
        while self._wakes:
            at, _, router = self._wakes[0]
            if router.next_timer() == at:
                return at
            heapq.heappop(self._wakes)
            if self._noted.get(router) == at:
                del self._noted[router]
            self._note(router)
        return None

    def ring(self, now: int) -> list[Instruction]:
        out: list[Instruction] = []
        while (at := self.wake()) is not None and at <= now:
            _, _, router = heapq.heappop(self._wakes)
            self._noted.pop(router, None)
            out += self._seen(router, router.handle(TimerFired(now)), now)
        return out

    # ---- membership ----

    def put(self, now: int, server: EndpointConfig) -> None:
        """A new one, or one that is changed. Raises ValueError where there are too many."""
        self.servers[server.name] = server
        if server.name not in self.grants.taken():
            self.default.endpoints.add(now, server)
        self._hops.clear()  # each route looks anew at what is there, with its next call

    def drain(self, now: int, name: str) -> bool:
        return any([router.endpoints.drain(name) for router in self._all()])

    def retire(self, now: int, name: str) -> None:
        self.servers.pop(name, None)
        for router in self._all():
            router.endpoints.retire(name)
        self._hops.clear()

    def remove(self, now: int, name: str) -> list[Instruction]:
        self.servers.pop(name, None)
        self._hops.clear()
        return [
            e
            for router in self._all()
            for e in self._seen(router, router.handle(EndpointRemoved(now, name)), now)
        ]

    def grant(self, now: int, grants: Grants) -> None:
        """Other settings: what was granted to one is taken from the platform's, and the other way round."""
        self.grants = grants
        taken = grants.taken()
        for name, server in self.servers.items():
            if name in taken:
                self.default.endpoints.retire(name)
            elif name not in self.default.endpoints.by_name:
                self.default.endpoints.add(now, server)
        self._hops.clear()

    def named(self, name: str) -> EndpointConfig | None:
        """Also one that is leaving, and has calls under way."""
        found = self.servers.get(name)
        if found is None:
            found = next(
                (r.endpoints.by_name[name].config for r in self._all() if name in r.endpoints.by_name), None
            )
        return found

    @property
    def open(self) -> int:
        return sum(r.open_calls for r in self._all())

    def told(self) -> list[dict[str, object]]:
        """The routes that have been used, for their customers."""
        return [
            {
                "customer": c,
                "route": route,
                "calls": r.counts.calls,
                "attempts": r.counts.attempts,
                "open": self._on.get((c, born, route), 0),
                "servers": sorted(r.endpoints.by_name),
            }
            for (c, born, route), r in self._routers.items()
        ]
