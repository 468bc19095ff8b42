"""Calls to many servers below: carries out what load balancing decides, over a backend for each server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from ..core.call import Asked
from ..core.clock import MS, Alarm, Alarms, Clock
from ..core.counters import Counters
from ..core.outcomes import Ending
from ..core.request_engine import Decider
from ..load_balancing.load_balancer import LoadBalancer
from ..load_balancing.messages import (
    NO_ATTEMPT,
    AttemptOutcome,
    CancelAttempt,
    CompleteCall,
    Instruction,
    SendAttempt,
)
from ..load_balancing.policy import EndpointConfig, EndpointProtocol, LoadBalancingPolicy
from ..load_balancing.status import counts_json, servers_json
from ..routing.grants import Grants
from ..routing.ways import Ways
from ..warm_start.learned_state import Condition, Knowledge, make
from .database import DatabasePool
from .uwsgi import UwsgiCalls

MAX_IDLE_CONNECTIONS = 4  # that are kept to one server: there are many servers

# Any other ending proves nothing: the call may have run, and counts as FAILED.
OUTCOME_OF_ENDING: dict[Ending, AttemptOutcome] = {
    Ending.CALL_ANSWERED: AttemptOutcome.ANSWERED,
    Ending.CALL_TURNED_AWAY: AttemptOutcome.REJECTED,
    Ending.CALL_STRAY: AttemptOutcome.NOT_AWAITED,
    Ending.CALL_NOT_CONNECTED: AttemptOutcome.NOT_CONNECTED,
}


@dataclass(slots=True, frozen=True)
class AttemptReply:
    """What a backend reported of an attempt."""

    attempt_id: int
    ending: Ending
    body: bytes


class _AttemptReceiver:
    """What a server's backend takes for the request engine: its calls are attempts, numbered by attempt id."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool

    @property
    def clock(self) -> Clock:
        return self._pool.core.clock

    @property
    def alarms(self) -> Alarms:
        return self._pool.core.alarms

    @property
    def counters(self) -> Counters:
        return self._pool.core.counters

    def touch(self) -> None:
        self._pool.core.touch()

    def call_over(self, attempt_id: int, ending: Ending, body: bytes) -> None:
        self._pool.attempt_ended(AttemptReply(attempt_id, ending, body))


class ServerPool:
    """The servers of `[tier]`, behind the `Calls` protocol of `core/call.py`.

    core: the request engine that calls come from; set by the owner.
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
        """`runner`: this instance's name. `draw` returns random numbers from 0 to under 1."""
        self.core: Decider
        self._reactor = reactor
        self._servers = list(servers)
        self._policy = policy
        self._runner = runner
        self._draw = draw
        self._grants = grants or Grants()
        self._ways: Ways | None = None
        self._backends: dict[str, DatabasePool | UwsgiCalls] = {}  # by server
        self._calls: dict[int, Asked] = {}  # open calls by id
        self._backend_of: dict[int, DatabasePool | UwsgiCalls] = {}  # by attempt in flight
        self._alarm: Alarm | None = None
        self._alarm_at = 0
        self._started_at = 0

    @property
    def ways(self) -> Ways:
        """Made with the first need of it: the clock comes with the core."""
        if self._ways is None:
            now = self._started_at = self.core.clock.now
            self._ways = Ways(self._servers, self._policy, self._runner, self._draw, now, self._grants)
        return self._ways

    @property
    def balancer(self) -> LoadBalancer:
        """The load balancer of the platform's servers, for requests that no customer's rules are for."""
        return self.ways.default

    # ---- from the request engine ----

    def call(self, number: int, asked: Asked) -> None:
        """Make a call for request `number`; its end is reported through `call_over` of the core."""
        now = self.core.clock.now
        self._calls[number] = asked
        self._execute(self.ways.call(now, number, asked.effect, now + asked.timeout_ms * MS, asked.way))

    def give_up(self, number: int) -> None:
        """Cancel the call of request `number`, if it has one; nothing is reported."""
        self._calls.pop(number, None)
        self._execute(self.ways.give_up(self.core.clock.now, number))

    # ---- from the backends ----

    def attempt_ended(self, reply: AttemptReply) -> None:
        """Take a backend's report; one of an attempt that was cancelled is ignored."""
        if self._backend_of.pop(reply.attempt_id, None) is None:
            return
        self.core.touch()
        outcome = OUTCOME_OF_ENDING.get(reply.ending, AttemptOutcome.FAILED)
        self._execute(self.ways.ended(self.core.clock.now, reply.attempt_id, outcome), reply)

    # ---- instructions ----

    def _execute(self, instructions: list[Instruction], reply: AttemptReply | None = None) -> None:
        """Carry out instructions in order. `reply`: that they follow from."""
        for instruction in instructions:
            match instruction:
                case SendAttempt():
                    self._send(instruction)
                case CancelAttempt():
                    backend = self._backend_of.pop(instruction.attempt_id, None)
                    if backend is not None:
                        backend.give_up(instruction.attempt_id)
                case CompleteCall():
                    self._complete(instruction, reply)
        self._arm_timer()

    def _send(self, send: SendAttempt) -> None:
        server = self.ways.named(send.endpoint)
        call = self._calls.get(send.call_id)
        if server is None or call is None:
            return
        backend = self._backend(server)
        self._backend_of[send.attempt_id] = backend
        backend.call(send.attempt_id, replace(call, timeout_ms=max(1, send.timeout_us // MS)))

    def _complete(self, completed: CompleteCall, reply: AttemptReply | None) -> None:
        self._calls.pop(completed.call_id, None)
        if reply is not None and reply.attempt_id == completed.attempt_id != NO_ATTEMPT:
            self.core.call_over(completed.call_id, reply.ending, reply.body)
            return
        # No attempt was made, or its server was removed under it; the latter proves nothing.
        was_rejected = completed.outcome is AttemptOutcome.REJECTED
        ending = Ending.CALL_TURNED_AWAY if was_rejected else Ending.CALL_CUT_OFF
        self.core.call_over(completed.call_id, ending, b"")

    def _arm_timer(self) -> None:
        """One alarm for the earliest of all timers; one that is too early is harmless."""
        due = self.ways.wake()
        if due is None or (self._alarm is not None and self._alarm_at <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self.core.alarms.at(due, self._timer_fired)

    def _timer_fired(self) -> None:
        self._alarm = None
        self._execute(self.ways.ring(self.core.clock.now))

    # ---- backends ----

    def _backend(self, server: EndpointConfig) -> DatabasePool | UwsgiCalls:
        """The backend of a server, made or moved to its present address and protocol."""
        backend = self._backends.get(server.name)
        speaks_uwsgi = server.protocol is EndpointProtocol.UWSGI
        if backend is not None and isinstance(backend, UwsgiCalls) is not speaks_uwsgi:
            backend.close()  # the protocol has changed; attempts in flight end as they do
            backend = None
        if backend is None:
            backend = self._backends[server.name] = self._make_backend(server)
        elif backend.address != server.address:
            backend.move(server.address)
        return backend

    def _make_backend(self, server: EndpointConfig) -> DatabasePool | UwsgiCalls:
        backend: DatabasePool | UwsgiCalls
        if server.protocol is EndpointProtocol.UWSGI:
            backend = UwsgiCalls(self._reactor, server.address)
        else:
            backend = DatabasePool(self._reactor, server.address, MAX_IDLE_CONNECTIONS)
        receiver: Any = _AttemptReceiver(self)
        backend.core = receiver
        return backend

    def _close_backend(self, name: str) -> None:
        if self.ways.named(name) is None and (backend := self._backends.pop(name, None)) is not None:
            backend.close()

    # ---- membership ----

    def put(self, server: EndpointConfig) -> None:
        """Add a server, or change the address, weight, zone or protocol of the one with its name.

        Raises TooManyEndpoints.
        """
        self.ways.put(self.core.clock.now, server)
        if server.name in self._backends:
            self._backend(server)

    def drain(self, name: str) -> bool:
        """Send no new calls to a server. False where there is none of that name."""
        return self.ways.drain(self.core.clock.now, name) or name in self.ways.servers

    def remove(self, name: str) -> bool:
        """Remove a server at once, with its attempts in flight. False where there is none of that name."""
        if self.ways.named(name) is None:
            return False
        self._execute(self.ways.remove(self.core.clock.now, name))
        self._close_backend(name)
        return True

    def follow(self, servers: Iterable[EndpointConfig], grants: Grants | None = None) -> None:
        """Take a new configuration: a server that is no longer listed is retired."""
        listed = {server.name: server for server in servers}
        if grants is not None:
            self.ways.grant(self.core.clock.now, grants)
        for name in [name for name in self.ways.servers if name not in listed]:
            self.ways.retire(self.core.clock.now, name)
            self._close_backend(name)
        for server in listed.values():
            self.put(server)

    # ---- for operators, and for the next start ----

    def servers_json(self) -> list[dict[str, object]]:
        """Each server as `GET /servers` shows it."""
        return servers_json(self.balancer, self.core.clock.now)

    def counts_json(self) -> dict[str, int]:
        """What was done since the start, as `GET /servers` shows it."""
        return counts_json(self.balancer)

    def knowledge(self, condition: Condition) -> Knowledge:
        """What has been learnt of the servers; `condition`: how this runner is."""
        endpoints = self.balancer.endpoints.by_name.values()
        now = self.core.clock.now
        return make(self._runner, endpoints, now, now - self._started_at, condition)
