"""Calls along route paths: passes events to the load balancers of all routes, and returns their instructions.

A call tries the hops of its path in order. It proceeds to the next hop if the current one has no granted server or has
reached a limit, or if the call's outcome there permits a retry (`scheduling.retry_policy`): after evidence that nothing
ran, or after any failure if the request may run twice.
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
    MembershipChanged,
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
    """A call on a route path.

    Attributes:
        deadline: In microseconds.
        next_hop: Index of the next hop in the path.
        hop: Current hop; None between two hops.
    """

    path: RoutePath
    effect: Effect
    deadline: int
    next_hop: int = 0
    hop: Hop | None = None


class RouteTable:
    """Handles the events of `load_balancing.messages` for all routes; attempt ids are unique across routes.

    Attributes:
        balancers: The load balancers and their servers.
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
        """Create a table; the parameters are those of `RouteBalancers`."""
        self.balancers = RouteBalancers(servers, policy, runner, draw, now, grants)
        self._limits = RouteLimits()
        self._timers = BalancerTimers()
        # Open calls on a path, by call id; calls without a path are only in the default balancer.
        self._calls: dict[int, RoutedCall] = {}
        # Load balancer of each attempt in flight, by attempt id.
        self._balancer_of: dict[int, LoadBalancer] = {}

    @property
    def open_calls(self) -> int:
        """Number of calls that have not ended."""
        return sum(balancer.open_calls for balancer in self.balancers.all())

    def next_timer(self) -> int | None:
        """Return when TimerFired is due next (us); None if no timer is set."""
        return self._timers.next_time()

    # ---- events ----

    def handle(self, event: Event, path: RoutePath | None = None) -> list[Instruction]:
        """Process one event, and return the instructions to execute, in order.

        :param path: Route path of a call that starts; None if no customer's rules apply to it.
        """
        match event:
            case CallStarted():
                return self._on_call_started(event, path)
            case AttemptEnded():
                balancer = self._balancer_of.pop(event.attempt_id, None)
                return [] if balancer is None else self._dispatch(balancer, event)
            case CallCancelled():
                return self._on_call_cancelled(event)
            case TimerFired():
                return self._on_timer_fired(event.now)
            case EndpointRemoved():
                return self._on_endpoint_removed(event)
            case MembershipChanged():
                return self._on_membership_changed(event)

    def _on_call_started(self, event: CallStarted, path: RoutePath | None) -> list[Instruction]:
        instructions = self._on_call_cancelled(CallCancelled(event.now, event.call_id))
        if path is None:
            return instructions + self._dispatch(self.balancers.default, event)
        call = RoutedCall(path, event.effect, event.deadline)
        self._calls[event.call_id] = call
        rejected = CompleteCall(event.call_id, NO_ATTEMPT, AttemptOutcome.REJECTED)
        return instructions + self._enter_next_hop(event.now, call, rejected)

    def _on_call_cancelled(self, event: CallCancelled) -> list[Instruction]:
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return self._dispatch(self.balancers.default, event)
        if call.hop is None:
            return []
        balancer = self.balancers.get(call.path.key_of(call.hop))
        self._leave_hop(call)
        return [] if balancer is None else self._dispatch(balancer, event)

    def _on_timer_fired(self, now: int) -> list[Instruction]:
        instructions: list[Instruction] = []
        while (balancer := self._timers.pop_due(now)) is not None:
            instructions += self._dispatch(balancer, TimerFired(now))
        return instructions

    def _on_endpoint_removed(self, event: EndpointRemoved) -> list[Instruction]:
        self.balancers.unlist(event.name)
        instructions: list[Instruction] = []
        for balancer in self.balancers.all():
            instructions += self._dispatch(balancer, event)
        return instructions

    def _on_membership_changed(self, event: MembershipChanged) -> list[Instruction]:
        instructions: list[Instruction] = []
        for balancer in self.balancers.update_routes(event.now):
            instructions += self._dispatch(balancer, event)
        return instructions

    def _dispatch(self, balancer: LoadBalancer, event: Event) -> list[Instruction]:
        """Pass an event to a load balancer; a call that ends on one hop may start on the next."""
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
        """Start the call on the next usable hop; if there is none, complete the call by returning `otherwise`."""
        while call.next_hop < len(call.path.hops):
            hop = call.path.hops[call.next_hop]
            call.next_hop += 1
            balancer = self.balancers.for_hop(now, call.path, hop)
            if balancer is not None and self._try_enter(call, hop):
                return self._dispatch(
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
