"""Simulation of calls to a pool of servers in virtual time, with faulty servers and several routing methods.

Arrivals are open-loop: they don't wait for answers.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

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
from ..scheduling.interface import Effect
from .call_statistics import CallStatistics

US_PER_MS = 1_000
US_PER_S = 1_000_000
_FAULTY_REPLY_US = 1 * US_PER_MS
"""Time that a server takes to reply to a call that it fails or rejects at once."""
_SERVICE_TIME_MU = -0.125
_SERVICE_TIME_SIGMA = 0.5
"""Parameters of the lognormal distribution of service times, which has a mean of 1."""


class FaultKind(enum.Enum):
    """How a server with a fault behaves."""

    SLOW = "slow"
    HANG = "hang"
    FAIL = "fail"
    """Starts each call, then fails it at once."""
    REJECT = "turn"
    """Rejects each call at once, without starting it."""


@dataclass(slots=True)
class ServerFault:
    """A fault of a server.

    Attributes:
        since_s: Start of the fault.
        until_s: End of the fault.
        factor: Factor by which the calls of a slow server take longer.
    """

    kind: FaultKind
    since_s: float = 0.0
    until_s: float = math.inf
    factor: float = 5.0


class QueuedAttempt(NamedTuple):
    """An attempt that is queued for a slot of its server."""

    attempt_id: int
    work_us: float


class SimulatedServer:
    """A server that executes up to `slots` calls at a time and queues the others.

    :param service_time_ms: Mean service time.
    """

    def __init__(
        self, name: str, slots: int = 8, service_time_ms: float = 40.0, fault: ServerFault | None = None
    ) -> None:
        self.name = name
        self.slots = slots
        self.service_time_us = service_time_ms * US_PER_MS
        self.fault = fault
        self.busy: set[int] = set()
        self.queue: deque[QueuedAttempt] = deque()

    def fault_at(self, now: int) -> FaultKind | None:
        """Return the kind of fault that the server has at a time in us."""
        fault = self.fault
        if fault is not None and fault.since_s <= now / US_PER_S < fault.until_s:
            return fault.kind
        return None


class RoutingMethod(enum.Enum):
    """How calls are routed to the servers."""

    LOAD_BALANCER = "tier"
    RANDOM = "plain"
    """Calls go to a random server, as with a proxy that does not know the servers' state."""
    ROUND_ROBIN = "round"


@dataclass(slots=True)
class _Call:
    """A call that has not been answered yet."""

    arrived_us: int
    keyed: bool


@dataclass(slots=True)
class _Attempt:
    """An attempt that was sent and has not ended."""

    call_id: int
    server: SimulatedServer


@dataclass(slots=True)
class _CallWork:
    """Work of a call, relative to the mean, and how many times servers started to execute it."""

    work: float
    executions: int = 0


@dataclass(frozen=True, slots=True)
class CallLoad:
    """The calls of one caller.

    Attributes:
        rate: Calls per second.
        seconds: Duration of the arrivals.
        latency_objective_ms: Latency up to which an answer is in time.
        deadline_ms: Time after which the caller gives up.
        keyed_share: Share of calls with an idempotency key.
    """

    rate: float = 150.0
    seconds: float = 30.0
    latency_objective_ms: float = 400.0
    deadline_ms: float = 1500.0
    keyed_share: float = 0.15


class PoolSimulation:
    """Simulation of one caller's calls to the servers.

    :param seed: Seed of arrivals and service times, which don't depend on the method.
    :param prepare: Called with the load balancer before the first call, to change its state.
    :param events: Actions on the simulation, with their time in seconds.
    :param method_seed: Seed of the random choices of the routing method; None means `seed` + 1.
    :param bin_s: Length of the bins of the statistics.
    """

    def __init__(
        self,
        servers: list[SimulatedServer],
        method: RoutingMethod,
        seed: int,
        load: CallLoad | None = None,
        policy: LoadBalancingPolicy | None = None,
        prepare: Callable[[LoadBalancer], None] | None = None,
        events: list[tuple[float, Callable[[PoolSimulation], None]]] | None = None,
        method_seed: int | None = None,
        bin_s: float = 1.0,
    ) -> None:
        self.servers = {server.name: server for server in servers}
        self.method = method
        self.load = load or CallLoad()
        self.now = 0
        self.statistics = CallStatistics(bin_s, self.load.seconds)
        self._rng = random.Random(seed)
        self._method_rng = random.Random(seed + 1 if method_seed is None else method_seed)
        self._server_list = servers
        self._server_cycle = itertools.cycle(servers)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._attempt_ids = itertools.count(1 << 40)
        self._calls: dict[int, _Call] = {}
        self._call_work: dict[int, _CallWork] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._timer_at: int | None = None
        self.load_balancer = LoadBalancer(
            [EndpointConfig(server.name, ("127.0.0.1", 1)) for server in servers],
            policy or LoadBalancingPolicy(),
            "r1",
            self._method_rng.random,
            0,
        )
        if prepare is not None:
            prepare(self.load_balancer)
        for at_s, event in events or []:
            self._schedule(round(at_s * US_PER_S), lambda event=event: event(self))  # type: ignore[misc]

    def _schedule(self, delay_us: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay_us, next(self._event_numbers), action))

    def run(self) -> CallStatistics:
        """Run until there are no more events, and return the statistics."""
        self._arrive(0)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if self.method is RoutingMethod.LOAD_BALANCER:
                self._arm_timer()
        return self.statistics

    # ---- calls ----

    def _arrive(self, call_id: int) -> None:
        if self.now >= self.load.seconds * US_PER_S:
            return
        gap_us = round(self._rng.expovariate(self.load.rate) * US_PER_S)
        self._schedule(gap_us, lambda: self._arrive(call_id + 1))
        keyed = self._rng.random() < self.load.keyed_share
        self._call_work[call_id] = _CallWork(self._rng.lognormvariate(_SERVICE_TIME_MU, _SERVICE_TIME_SIGMA))
        self._calls[call_id] = _Call(self.now, keyed)
        self.statistics.record_arrival(self.now)
        deadline_us = round(self.load.deadline_ms * US_PER_MS)
        self._schedule(deadline_us, lambda: self._deadline_passed(call_id))
        self._route(call_id, keyed, self.now + deadline_us)

    def _route(self, call_id: int, keyed: bool, deadline: int) -> None:
        if self.method is RoutingMethod.LOAD_BALANCER:
            effect = Effect.IDEMPOTENT_WITH_KEY if keyed else Effect.IDEMPOTENT
            started = CallStarted(self.now, call_id, effect, deadline)
            self.execute(self.load_balancer.handle(started))
        elif self.method is RoutingMethod.RANDOM:
            server = self._method_rng.choice(self._server_list)
            self._send(call_id, next(self._attempt_ids), server)
        else:
            self._send(call_id, next(self._attempt_ids), next(self._server_cycle))

    def _deadline_passed(self, call_id: int) -> None:
        if self._calls.pop(call_id, None) is None:
            return
        self.statistics.outcomes["out of time"] += 1
        if self.method is RoutingMethod.LOAD_BALANCER:
            self.execute(self.load_balancer.handle(CallCancelled(self.now, call_id)))
            return
        attempts = [
            attempt_id for attempt_id, attempt in self._attempts.items() if attempt.call_id == call_id
        ]
        for attempt_id in attempts:
            self._cancel(attempt_id)

    def execute(self, instructions: list[Instruction]) -> None:
        """Execute instructions of the load balancer."""
        for instruction in instructions:
            if isinstance(instruction, SendAttempt):
                server = self.servers[instruction.endpoint]
                self._send(instruction.call_id, instruction.attempt_id, server)
            elif isinstance(instruction, CancelAttempt):
                self._cancel(instruction.attempt_id)
            elif isinstance(instruction, CompleteCall):
                self._complete(instruction.call_id, instruction.outcome)

    def _complete(self, call_id: int, outcome: AttemptOutcome) -> None:
        call = self._calls.pop(call_id, None)
        if call is None:
            return
        self.statistics.outcomes[outcome.value] += 1
        if outcome is AttemptOutcome.ANSWERED:
            latency_ms = (self.now - call.arrived_us) / US_PER_MS
            in_time = latency_ms <= self.load.latency_objective_ms
            self.statistics.record_answer(call.arrived_us, latency_ms, in_time)

    def _arm_timer(self) -> None:
        """Schedule an event for the load balancer's earliest timer, unless an earlier event is scheduled already."""
        due = self.load_balancer.next_timer()
        if due is not None and (self._timer_at is None or due < self._timer_at):
            self._timer_at = due
            self._schedule(max(0, due - self.now), self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer_at = None
        self.execute(self.load_balancer.handle(TimerFired(self.now)))

    # ---- servers ----

    def _send(self, call_id: int, attempt_id: int, server: SimulatedServer) -> None:
        self.statistics.record_attempt(self.now, server.name)
        self._attempts[attempt_id] = _Attempt(call_id, server)
        fault = server.fault_at(self.now)
        if fault in (FaultKind.FAIL, FaultKind.REJECT):
            failed = fault is FaultKind.FAIL
            outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.REJECTED
            self._schedule(_FAULTY_REPLY_US, lambda: self._attempt_ended(attempt_id, outcome))
            if failed:
                self._count_execution(call_id)
            return
        work_us = self._call_work[call_id].work * server.service_time_us
        if len(server.busy) < server.slots:
            self._start_attempt(attempt_id, server, work_us)
        else:
            server.queue.append(QueuedAttempt(attempt_id, work_us))

    def _count_execution(self, call_id: int) -> None:
        call_work = self._call_work[call_id]
        call_work.executions += 1
        call = self._calls.get(call_id)
        if call is not None and call.keyed and call_work.executions > 1:
            self.statistics.executed_twice += 1

    def _start_attempt(self, attempt_id: int, server: SimulatedServer, work_us: float) -> None:
        server.busy.add(attempt_id)
        self._count_execution(self._attempts[attempt_id].call_id)
        fault = server.fault_at(self.now)
        if fault is FaultKind.HANG:
            return
        factor = server.fault.factor if fault is FaultKind.SLOW and server.fault is not None else 1.0
        service_us = round(work_us * factor)
        self._schedule(service_us, lambda: self._attempt_ended(attempt_id, AttemptOutcome.ANSWERED))

    def _attempt_ended(self, attempt_id: int, outcome: AttemptOutcome) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._free_slot(attempt.server, attempt_id)
        if self.method is RoutingMethod.LOAD_BALANCER:
            self.execute(self.load_balancer.handle(AttemptEnded(self.now, attempt_id, outcome)))
        else:
            self._complete(attempt.call_id, outcome)

    def _cancel(self, attempt_id: int) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            self._free_slot(attempt.server, attempt_id)

    def _free_slot(self, server: SimulatedServer, attempt_id: int) -> None:
        server.busy.discard(attempt_id)
        while server.queue and len(server.busy) < server.slots:
            queued = server.queue.popleft()
            if queued.attempt_id in self._attempts:
                self._start_attempt(queued.attempt_id, server, queued.work_us)
