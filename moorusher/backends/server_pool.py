"""Downstream calls to many servers: executes the decisions of load balancing, with a backend for each server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from ..core.call import CallRequest
from ..core.clock import Alarm, Alarms, Clock
from ..core.counters import Counters
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
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
    Instruction,
    MembershipChanged,
    SendAttempt,
    TimerFired,
)
from ..load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from ..load_balancing.status import counts_json, servers_json
from ..routing.grants import Grants
from ..routing.route_table import RouteTable
from ..time_units import MS
from ..warm_start.learned_state import DonorCondition, LearnedState, capture_learned_state
from .server_backends import Backend, ServerBackends

# All other reasons map to FAILED: they don't prove that the call never ran.
OUTCOME_OF_END_REASON: dict[EndReason, AttemptOutcome] = {
    EndReason.CALL_ANSWERED: AttemptOutcome.ANSWERED,
    EndReason.CALL_REJECTED: AttemptOutcome.REJECTED,
    EndReason.CALL_NOT_AWAITED: AttemptOutcome.NOT_AWAITED,
    EndReason.CALL_NOT_CONNECTED: AttemptOutcome.NOT_CONNECTED,
}


@dataclass(slots=True, frozen=True)
class AttemptReply:
    """The end of an attempt as its backend reported it."""

    attempt_id: int
    reason: EndReason
    body: bytes


class AttemptOwner:
    """The owner of the servers' backends. Each call of a backend is an attempt; its number is the attempt ID."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool

    @property
    def clock(self) -> Clock:
        """The clock of the request engine."""
        return self._pool.core.clock

    @property
    def alarms(self) -> Alarms:
        """The timers of the request engine."""
        return self._pool.core.alarms

    @property
    def counters(self) -> Counters:
        """The counters of the request engine."""
        return self._pool.core.counters

    @property
    def execution(self) -> AttemptOwner:
        """The receiver of the ends of attempts."""
        return self

    def start_turn(self) -> None:
        """Begin a turn of the request engine."""
        self._pool.core.start_turn()

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """Report the end of an attempt to the pool."""
        self._pool.attempt_ended(AttemptReply(number, reason, body))


class ServerPool:
    """The servers of `[tier]`. Implements `CallTransport` of `core/call.py`.

    Attributes:
        core: The request engine, which makes the calls; set by the owner.
    """

    def __init__(
        self,
        reactor: Any,
        servers: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        grants: Grants | None = None,
    ) -> None:
        """Create a pool.

        :param runner: Name of this runner.
        :param draw: Returns random numbers in [0, 1).
        """
        self.core: RequestEngine
        self._servers = list(servers)
        self._policy = policy
        self._runner = runner
        self._draw = draw
        self._grants = grants or Grants()
        self._routes: RouteTable | None = None
        self._backends = ServerBackends(reactor, AttemptOwner(self))
        self._calls: dict[int, CallRequest] = {}  # open calls by request number
        self._backend_by_attempt: dict[int, Backend] = {}  # backends of the attempts in flight, by attempt ID
        self._alarm: Alarm | None = None
        self._alarm_at = 0
        self._started_at = 0

    @property
    def routes(self) -> RouteTable:
        """The route table. It is created at first use, since the clock is available only once `core` is set."""
        if self._routes is None:
            now = self._started_at = self.core.clock.now
            self._routes = RouteTable(
                self._servers, self._policy, self._runner, self._draw, now, self._grants
            )
        return self._routes

    @property
    def balancer(self) -> LoadBalancer:
        """The load balancer of the platform's servers, for requests to which no customer's rules apply."""
        return self.routes.balancers.default

    # ---- called by the request engine ----

    def call(self, number: int, request: CallRequest) -> None:
        """Make the call of request `number`, and report its end to `core.execution`."""
        now = self.core.clock.now
        self._calls[number] = request
        started = CallStarted(now, number, request.effect, now + request.timeout_ms * MS)
        self._execute(self.routes.handle(started, request.route))

    def give_up(self, number: int) -> None:
        """Cancel the call of request `number`, if it has one. Its end is not reported."""
        self._calls.pop(number, None)
        self._execute(self.routes.handle(CallCancelled(self.core.clock.now, number)))

    # ---- called by the backends ----

    def attempt_ended(self, reply: AttemptReply) -> None:
        """Handle the end of an attempt, unless the attempt was cancelled."""
        if self._backend_by_attempt.pop(reply.attempt_id, None) is None:
            return
        self.core.start_turn()
        outcome = OUTCOME_OF_END_REASON.get(reply.reason, AttemptOutcome.FAILED)
        ended = AttemptEnded(self.core.clock.now, reply.attempt_id, outcome)
        self._execute(self.routes.handle(ended), reply)

    # ---- instructions ----

    def _execute(self, instructions: list[Instruction], reply: AttemptReply | None = None) -> None:
        """Execute instructions in order.

        :param reply: The end of the attempt that caused the instructions, if any.
        """
        for instruction in instructions:
            match instruction:
                case SendAttempt():
                    self._send(instruction)
                case CancelAttempt():
                    backend = self._backend_by_attempt.pop(instruction.attempt_id, None)
                    if backend is not None:
                        backend.give_up(instruction.attempt_id)
                case CompleteCall():
                    self._complete(instruction, reply)
        self._arm_timer()

    def _send(self, send: SendAttempt) -> None:
        server = self.routes.balancers.find_server(send.endpoint)
        call = self._calls.get(send.call_id)
        if server is None or call is None:
            return
        backend = self._backends.get(server)
        self._backend_by_attempt[send.attempt_id] = backend
        backend.call(send.attempt_id, replace(call, timeout_ms=max(1, send.timeout_us // MS)))

    def _complete(self, completed: CompleteCall, reply: AttemptReply | None) -> None:
        self._calls.pop(completed.call_id, None)
        if reply is not None and reply.attempt_id == completed.attempt_id != NO_ATTEMPT:
            self.core.execution.call_ended(completed.call_id, reply.reason, reply.body)
            return
        # No attempt was made, or its server was removed during it. The latter doesn't prove that the call never ran.
        was_rejected = completed.outcome is AttemptOutcome.REJECTED
        reason = EndReason.CALL_REJECTED if was_rejected else EndReason.CALL_CONNECTION_LOST
        self.core.execution.call_ended(completed.call_id, reason, b"")

    def _arm_timer(self) -> None:
        """Set one alarm for the earliest timer. An alarm that fires too early does no harm."""
        due = self.routes.next_timer()
        if due is None or (self._alarm is not None and self._alarm_at <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self.core.alarms.at(due, self._timer_fired)

    def _timer_fired(self) -> None:
        self._alarm = None
        self._execute(self.routes.handle(TimerFired(self.core.clock.now)))

    # ---- membership ----

    def put(self, server: EndpointConfig) -> None:
        """Add a server, or update the address, weight, zone or protocol of the server with the same name.

        :raises TooManyEndpointsError: The limit of servers is reached.
        """
        self.routes.balancers.put(self.core.clock.now, server)
        self._backends.update(server)

    def drain(self, name: str) -> bool:
        """Send no new calls to a server until it is put again. Return False if there is no server of that name."""
        is_known = self.routes.balancers.drain(name)
        self._membership_changed()
        return is_known

    def remove(self, name: str) -> bool:
        """Remove a server and end its attempts in flight. Return False if there is no server of that name."""
        if self.routes.balancers.find_server(name) is None:
            return False
        self._execute(self.routes.handle(EndpointRemoved(self.core.clock.now, name)))
        self._close_if_unused(name)
        return True

    def _close_if_unused(self, name: str) -> None:
        """Close a server's backend, unless the server is draining and still needs it."""
        if self.routes.balancers.find_server(name) is None:
            self._backends.close(name)

    def update_config(self, servers: Iterable[EndpointConfig], grants: Grants | None = None) -> None:
        """Apply a new configuration. Servers that are no longer listed are retired."""
        listed = {server.name: server for server in servers}
        balancers = self.routes.balancers
        if grants is not None:
            balancers.set_grants(self.core.clock.now, grants)
        for name in [name for name in balancers.servers if name not in listed]:
            balancers.retire(name)
            self._close_if_unused(name)
        for server in listed.values():
            self.put(server)
        self._membership_changed()

    def _membership_changed(self) -> None:
        self._execute(self.routes.handle(MembershipChanged(self.core.clock.now)))

    # ---- status and learned state ----

    def servers_json(self) -> list[dict[str, object]]:
        """Return the servers as `GET /servers` shows them."""
        return servers_json(self.balancer, self.core.clock.now)

    def counts_json(self) -> dict[str, int]:
        """Return the counts since the start as `GET /servers` shows them."""
        return counts_json(self.balancer)

    def learned_state(self, condition: DonorCondition) -> LearnedState:
        """Return the learned state of the servers, to be kept for the next start.

        :param condition: Condition of this runner.
        """
        endpoints = self.balancer.endpoints.by_name.values()
        now = self.core.clock.now
        return capture_learned_state(self._runner, endpoints, now, now - self._started_at, condition)
