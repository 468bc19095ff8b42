"""Calls along route paths: events in, instructions out, over the load balancers of all routes.

A call tries the hops of its path in order. It goes on to the next hop where the one before has no granted server or no
capacity, or ended so that a retry is allowed (`scheduling.retry_policy`): with a proof that nothing ran, or, where the
request may run twice, also after a failure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import may_retry

from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import (
    NO_ATTEMPT,
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    EndpointRemoved,
    Event,
    Instruction,
    SendAttempt,
    TimerFired,
)
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from ..load_balancing.retry import has_time_remaining
from .balancer_timers import BalancerTimers
from .grants import Grants
from .route import Hop, RoutePath
from .route_balancers import RouteBalancers
from .route_limits import RouteLimits

FINAL_OUTCOMES = (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_AWAITED, AttemptOutcome.CANCELLED)


@dataclass(slots=True, eq=False)
class RoutedCall:
    """A call on a path.

    deadline: in microseconds.
    next_hop: index into the path's hops.
    hop: the one that it is on, None between hops.
    """

    path: RoutePath
    effect: Effect
    deadline: int
    next_hop: int = 0
    hop: Hop | None = None


class RouteTable:
    """Takes the events of `load_balancing.messages` for all routes; attempt ids are unique among them.

    balancers: the load balancers, and the membership of servers (RouteBalancers).
    """

    def __init__(
        self,
        servers: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
        grants: Grants,
    ) -> None:
        """`runner`: this instance's name. `draw` returns random numbers from 0 to under 1; `now` in microseconds."""
        self.balancers = RouteBalancers(servers, policy, runner, draw, now, grants)
        self._limits = RouteLimits()
        self._timers = BalancerTimers()
        # Open calls on a path, by call id; calls without one are known to the default balancer alone.
        self._calls: dict[int, RoutedCall] = {}
        # The balancer of each attempt in flight.
        self._balancer_of: dict[int, LoadBalancer] = {}

    @property
    def open_calls(self) -> int:
        """Return the number of calls that have not ended."""
        return sum(balancer.open_calls for balancer in self.balancers.all())

    def next_timer(self) -> int | None:
        """Return when TimerFired is due next (us); None where nothing waits for a time."""
        return self._timers.next_time()

    # ---- events ----

    def handle(self, event: Event, path: RoutePath | None = None) -> list[Instruction]:
        """Take one event, and return what is to be done, in order.

        `path`: of a call that starts; None where no customer's rules are for it.
        """
        match event:
            case CallStarted():
                return self._on_call_started(event, path)
            case AttemptEnded():
                balancer = self._balancer_of.pop(event.attempt_id, None)
                return [] if balancer is None else self._pass_on(balancer, event)
            case CallCancelled():
                return self._on_call_cancelled(event)
            case TimerFired():
                return self._on_timer_fired(event.now)
            case EndpointRemoved():
                return self._on_endpoint_removed(event)

    def _on_call_started(self, event: CallStarted, path: RoutePath | None) -> list[Instruction]:
        instructions = self._on_call_cancelled(CallCancelled(event.now, event.call_id))
        if path is None:
            return instructions + self._pass_on(self.balancers.default, event)
        call = RoutedCall(path, event.effect, event.deadline)
        self._calls[event.call_id] = call
        rejected = CompleteCall(event.call_id, NO_ATTEMPT, AttemptOutcome.REJECTED)
        return instructions + self._enter_next_hop(event.now, call, rejected)

    def _on_call_cancelled(self, event: CallCancelled) -> list[Instruction]:
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return self._pass_on(self.balancers.default, event)
        if call.hop is None:
            return []
        balancer = self.balancers.get(call.path.key_of(call.hop))
        self._leave_hop(call)
        return [] if balancer is None else self._pass_on(balancer, event)

    def _on_timer_fired(self, now: int) -> list[Instruction]:
        instructions: list[Instruction] = []
        while (balancer := self._timers.pop_due(now)) is not None:
            instructions += self._pass_on(balancer, TimerFired(now))
        return instructions

    def _on_endpoint_removed(self, event: EndpointRemoved) -> list[Instruction]:
        self.balancers.forget(event.name)
        instructions: list[Instruction] = []
        for balancer in self.balancers.all():
            instructions += self._pass_on(balancer, event)
        return instructions

    def _pass_on(self, balancer: LoadBalancer, event: Event) -> list[Instruction]:
        """Let a balancer handle an event; a call that ends on one hop may start on the next."""
        from_balancer = balancer.handle(event)
        self._timers.update(balancer)
        instructions: list[Instruction] = []
        for instruction in from_balancer:
            match instruction:
                case SendAttempt():
                    self._balancer_of[instruction.attempt_id] = balancer
                case CancelAttempt():
                    self._balancer_of.pop(instruction.attempt_id, None)
                case CompleteCall() if instruction.call_id in self._calls:
                    instructions += self._hop_ended(event.now, instruction)
                    continue
            instructions.append(instruction)
        return instructions

    # ---- hops ----

    def _hop_ended(self, now: int, completed: CompleteCall) -> list[Instruction]:
        call = self._calls[completed.call_id]
        self._leave_hop(call)
        if self._may_use_next_hop(now, call, completed.outcome):
            return self._enter_next_hop(now, call, completed)
        del self._calls[completed.call_id]
        return [completed]

    @staticmethod
    def _may_use_next_hop(now: int, call: RoutedCall, outcome: AttemptOutcome) -> bool:
        if outcome in FINAL_OUTCOMES or not has_time_remaining(now, call.deadline):
            return False
        return may_retry(call.effect, outcome.evidence)

    def _enter_next_hop(self, now: int, call: RoutedCall, otherwise: CompleteCall) -> list[Instruction]:
        """Start the call on the next hop that has a granted server and capacity; without one it ends as `otherwise`."""
        while call.next_hop < len(call.path.hops):
            hop = call.path.hops[call.next_hop]
            call.next_hop += 1
            balancer = self.balancers.for_hop(now, call.path, hop)
            if balancer is not None and self._try_enter(call, hop):
                return self._pass_on(
                    balancer,
                    CallStarted(now, otherwise.call_id, call.effect, call.deadline, hop.max_attempts),
                )
        self._calls.pop(otherwise.call_id, None)
        return [otherwise]

    def _try_enter(self, call: RoutedCall, hop: Hop) -> bool:
        quota = self.balancers.grants.pool_quota(call.path.customer, hop.pool) if hop.pool else 0
        if not self._limits.try_enter(call.path.key_of(hop), hop, quota):
            return False
        call.hop = hop
        return True

    def _leave_hop(self, call: RoutedCall) -> None:
        if call.hop is not None:
            self._limits.leave(call.path.key_of(call.hop), call.hop)
            call.hop = None
