"""Calls below to a tier of servers: carries out what `tier.router` decides, over a link for each server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from ..core.call import CallRequest
from ..core.clock import MS, Alarm, Alarms, Clock
from ..core.counters import Counters
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..load_balancing.policy import Policy, Server, Speaks
from ..load_balancing.router import Action, Cancel, End, Over, Router, Send
from ..routing.grants import Grants
from ..routing.ways import Ways
from ..warm_start.learned_state import Condition, Knowledge, make
from .database import DatabasePool
from .uwsgi import UwsgiCalls

MOST_IDLE = 4  # kept connections to one server: there are many

# What is not here proves nothing: the call may have run.
ENDS: dict[EndReason, End] = {
    EndReason.CALL_ANSWERED: End.ANSWERED,
    EndReason.CALL_REJECTED: End.TURNED_AWAY,
    EndReason.CALL_NOT_AWAITED: End.STRAY,
    EndReason.CALL_NOT_CONNECTED: End.UNREACHED,
}


class _Side:
    """What a server's link takes for the engine: its calls are numbered by attempt."""

    def __init__(self, tier: TierCalls) -> None:
        self._tier = tier
        self.execution = self  # a link reports to `core.execution.call_ended`

    @property
    def clock(self) -> Clock:
        return self._tier.core.clock

    @property
    def alarms(self) -> Alarms:
        return self._tier.core.alarms

    @property
    def counters(self) -> Counters:
        return self._tier.core.counters

    def begin_turn(self) -> None:
        self._tier.core.begin_turn()

    def call_ended(self, attempt: int, ending: EndReason, body: bytes) -> None:
        self._tier.attempt_over(attempt, ending, body)


class TierCalls:
    """Stands behind the `CallTransport` protocol of `core/call.py`."""

    def __init__(
        self,
        reactor: Any,
        servers: Iterable[Server],
        policy: Policy,
        runner: str,
        draw: Callable[[], float],
        grants: Grants | None = None,
    ) -> None:
        self.core: RequestEngine  # set by the owner
        self._reactor, self._policy, self._runner, self._draw = reactor, policy, runner, draw
        self._servers, self._grants = list(servers), grants or Grants()
        self._ways: Ways | None = None
        self._links: dict[str, DatabasePool | UwsgiCalls] = {}
        self._asked: dict[int, CallRequest] = {}
        self._via: dict[int, DatabasePool | UwsgiCalls] = {}  # by attempt
        self._alarm: Alarm | None = None
        self._alarm_at = self._born = 0

    @property
    def ways(self) -> Ways:
        """Made with the first need of it: the clock comes with the core."""
        if self._ways is None:
            now = self._born = self.core.clock.now
            self._ways = Ways(self._servers, self._policy, self._runner, self._draw, now, self._grants)
        return self._ways

    @property
    def router(self) -> Router:
        """The platform's, for requests that no customer's rules are for."""
        return self.ways.default

    def _link(self, server: Server) -> DatabasePool | UwsgiCalls:
        link = self._links.get(server.name)
        if link is not None and isinstance(link, UwsgiCalls) is not (server.speaks is Speaks.UWSGI):
            link.close()  # it speaks otherwise now; what is under way there ends as it does
            link = None
        if link is None:
            link = (
                UwsgiCalls(self._reactor, server.address)
                if server.speaks is Speaks.UWSGI
                else DatabasePool(self._reactor, server.address, MOST_IDLE)
            )
            side: Any = _Side(self)
            link.core = side
            self._links[server.name] = link
        elif link.address != server.address:
            link.move(server.address)
        return link

    # ---- from the core ----

    def call(self, number: int, asked: CallRequest) -> None:
        now = self.core.clock.now
        self._asked[number] = asked
        self._do(self.ways.call(now, number, asked.effect, now + asked.timeout_ms * MS, asked.route))

    def give_up(self, number: int) -> None:
        self._asked.pop(number, None)
        self._do(self.ways.give_up(self.core.clock.now, number))

    # ---- from the links ----

    def attempt_over(self, attempt: int, ending: EndReason, body: bytes) -> None:
        if self._via.pop(attempt, None) is None:
            return
        self.core.begin_turn()
        actions = self.ways.ended(self.core.clock.now, attempt, ENDS.get(ending, End.FAILED))
        self._do(actions, (attempt, ending, body))

    # ---- what was decided ----

    def _do(self, actions: list[Action], ended: tuple[int, EndReason, bytes] | None = None) -> None:
        for action in actions:
            if isinstance(action, Send):
                server = self.ways.named(action.server)
                asked = self._asked.get(action.number)
                if server is None or asked is None:
                    continue
                via = self._via[action.attempt] = self._link(server)
                via.call(action.attempt, replace(asked, timeout_ms=max(1, action.timeout_us // MS)))
            elif isinstance(action, Cancel):
                gone = self._via.pop(action.attempt, None)
                if gone is not None:
                    gone.give_up(action.attempt)
            else:
                self._over(action, ended)
        self._watch()

    def _over(self, over: Over, ended: tuple[int, EndReason, bytes] | None) -> None:
        self._asked.pop(over.number, None)
        if ended is not None and over.attempt == ended[0]:
            self.core.execution.call_ended(over.number, ended[1], ended[2])
        else:  # no attempt was made, or its server was taken away under it: that proves nothing
            ending = (
                EndReason.CALL_REJECTED if over.end is End.TURNED_AWAY else EndReason.CALL_CONNECTION_LOST
            )
            self.core.execution.call_ended(over.number, ending, b"")

    def _watch(self) -> None:
        """One alarm for the earliest of repeats and second copies."""
        due = self.ways.wake()
        if due is None or (self._alarm is not None and self._alarm_at <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at, self._alarm = due, self.core.alarms.at(due, self._ring)

    def _ring(self) -> None:
        self._alarm = None
        self._do(self.ways.ring(self.core.clock.now))

    def knowledge(self, condition: Condition) -> Knowledge:
        """What has been learnt of the servers, as a value; `condition`: how this runner is."""
        now = self.core.clock.now
        return make(self._runner, self.router.members.values(), now, now - self._born, condition)

    # ---- membership ----

    def put(self, server: Server) -> None:
        """A new one, or one whose address, weight or zone changes. Raises ValueError where there are too many."""
        self.ways.put(self.core.clock.now, server)
        if server.name in self._links:
            self._link(server)

    def drain(self, name: str) -> bool:
        """No new calls to it. False where there is none of that name."""
        return self.ways.drain(self.core.clock.now, name) or name in self.ways.servers

    def remove(self, name: str) -> bool:
        """At once, with what is under way there."""
        if self.ways.named(name) is None:
            return False
        self._do(self.ways.remove(self.core.clock.now, name))
        self._unlink(name)
        return True

    def _unlink(self, name: str) -> None:
        if self.ways.named(name) is None and (link := self._links.pop(name, None)) is not None:
            link.close()

    def follow(self, servers: Iterable[Server], grants: Grants | None = None) -> None:
        """A new configuration: who is no longer in it gets no new calls, and goes once the last has ended."""
        wanted = {server.name: server for server in servers}
        if grants is not None:
            self.ways.grant(self.core.clock.now, grants)
        for name in [n for n in self.ways.servers if n not in wanted]:
            self.ways.retire(self.core.clock.now, name)
            self._unlink(name)
        for server in wanted.values():
            self.put(server)
