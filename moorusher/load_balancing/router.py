"""The decisions over a tier, as one machine: calls and ends in, what is to be done out.

A call goes to a server, waits in the queue where none has room, or is turned away where the queue is full. What ends
without an answer is tried again where that is proven or allowed, from a budget, elsewhere. Whoever owns the router
carries out what it returns, in order.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import Union

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import Evidence, may_repeat, may_run_twice

from .endpoint import Member
from .endpoint_set import Roster
from .policy import Policy, Server
from .retry_budget import Budget, backoff_us

LEAST_LEFT = 5_000  # us of a call's time under which a further attempt is no use
MOST_TRIES = 1 << 30  # no bound but the budget
HANGS = 3.0  # times the tier's typical wait, and at least HANGS_LEAST, after which a silent call counts against it
HANGS_LEAST = 500_000


class End(Enum):
    """How an attempt ended, for the decisions here; `backends/server_pool.py` maps the wire's endings to it."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned away"  # it never ran: the server said so
    UNREACHED = "unreached"  # it never ran: there was no connection
    FAILED = "failed"  # it may have run
    STRAY = "stray"  # nobody waits for it below: its run is over, and the server is not to blame
    GIVEN_UP = "given up"  # by us

    @property
    def evidence(self) -> Evidence:
        """What it tells of whether the attempt ran."""
        return _EVIDENCE[self]


_EVIDENCE = {
    End.ANSWERED: Evidence.SUCCEEDED,
    End.TURNED_AWAY: Evidence.TURNED_AWAY,
    End.UNREACHED: Evidence.NOT_CONNECTED,
    End.FAILED: Evidence.FAILED,
    End.STRAY: Evidence.NOT_AWAITED,
    End.GIVEN_UP: Evidence.GIVEN_UP,
}


@dataclass(slots=True, frozen=True)
class Send:
    """Make attempt `attempt` of call `number` at `server`, within `timeout_us`."""

    number: int
    attempt: int
    server: str
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Give an attempt up; its end is not told back."""

    attempt: int


@dataclass(slots=True, frozen=True)
class Over:
    """The call has ended, as the attempt `attempt` did; 0 where none was made."""

    number: int
    attempt: int
    end: End


Action = Union[Send, Cancel, Over]


@dataclass(slots=True)
class _Call:
    number: int
    effect: Effect
    due: int
    most: int
    attempts: dict[int, Member] = field(default_factory=dict)  # in flight
    tries: int = 0
    last: Member | None = None
    hedged: bool = False
    waits: bool = False  # in the queue
    again_at: int = 0  # a backoff is under way until then

    @property
    def may_run_twice(self) -> bool:
        return may_run_twice(self.effect)


@dataclass(slots=True)
class Counts:
    """What a router has done, for operators."""

    calls: int = 0
    attempts: int = 0
    repeats: int = 0
    hedges: int = 0
    hedges_won: int = 0
    queued: int = 0
    queue_full: int = 0
    denied: int = 0  # attempts that the budget did not have


class Router:
    """`draw` gives numbers from 0 to under 1. `runner` is this instance's name, for its subset."""

    def __init__(
        self,
        servers: Iterable[Server],
        policy: Policy,
        runner: str,
        draw: Callable[[], float],
        now: int,
        attempts: Iterator[int] | None = None,
    ) -> None:
        """`attempts`: their numbers, where several routers share them."""
        self.policy, self._draw = policy, draw
        self.roster = Roster(servers, policy, runner, draw, now)
        self.members = self.roster.members
        self.choose, self.typical, self.told = self.roster.choose, self.roster.typical, self.roster.told
        self.add, self.drain, self.retire = self.roster.add, self.roster.drain, self.roster.retire
        self.learn, self.unlearn = self.roster.learn, self.roster.unlearn
        self.counts = Counts()
        self.budget = Budget(policy.retry_share, policy.retry_floor_per_s, now)
        self._calls: dict[int, _Call] = {}
        self._of: dict[int, _Call] = {}  # by attempt
        self._queue: list[tuple[int, int]] = []  # due and number; husks of calls that are over are skipped
        self._waiting = 0
        self._turn_at = 0  # when a server in slow start is next looked at for those that wait
        self._wakes: list[tuple[int, int, str]] = []  # time, call, what for
        self._attempts = count(1) if attempts is None else attempts

    def remove(self, now: int, name: str) -> list[Action]:
        """At once: its attempts are given up, and their calls go elsewhere where they may."""
        if (member := self.roster.taken_away(now, name)) is None:
            return []
        out: list[Action] = []
        for attempt in list(member.in_flight):
            out.append(Cancel(attempt))
            out += self.ended(now, attempt, End.FAILED)
        return out

    # ---- calls ----

    def call(self, now: int, number: int, effect: Effect, due: int, most: int = MOST_TRIES) -> list[Action]:
        """A call for request `number`, in place of one that it may still have. `most`: attempts, second copies
        included."""
        out = self.give_up(now, number)
        self.counts.calls += 1
        self.budget.called()
        call = self._calls[number] = _Call(number, effect, due, most)
        return out + self._place(now, call)

    def give_up(self, now: int, number: int) -> list[Action]:
        """Nobody needs it any more. An attempt that was given up late tells of its server all the same."""
        call = self._calls.pop(number, None)
        if call is None:
            return []
        out: list[Action] = []
        for attempt, member in list(call.attempts.items()):
            late = self._silent(now, member, attempt)
            self._settle(now, attempt, member, End.GIVEN_UP, late)
            out.append(Cancel(attempt))
        self._unqueue(call)
        return out + self._fill(now)

    def _silent(self, now: int, member: Member, attempt: int) -> bool:
        """Out for so long that its server's silence counts as a failure."""
        since = member.in_flight[attempt].since if attempt in member.in_flight else now
        return now - since >= max(HANGS_LEAST, HANGS * self.typical(now))

    def _place(self, now: int, call: _Call, avoid: Member | None = None) -> list[Action]:
        found = self.choose(now, call.may_run_twice, avoid)
        if found is None and avoid is not None:
            found = self.choose(now, call.may_run_twice)
        if found is None:
            if self._waiting >= self.policy.queue:
                self.counts.queue_full += 1
                del self._calls[call.number]
                return [Over(call.number, 0, End.TURNED_AWAY)]
            self.counts.queued += 1
            self._waiting += 1
            call.waits = True
            heapq.heappush(self._queue, (call.due, call.number))
            self._wait_for_turn(now)
            return []
        return [self._send(now, call, *found)]

    def _send(self, now: int, call: _Call, member: Member, probe: bool) -> Action:
        attempt = next(self._attempts)
        self.counts.attempts += 1
        call.tries += 1
        call.last = member
        call.attempts[attempt] = member
        self._of[attempt] = call
        member.sent(now, attempt, probe)
        if (
            self.policy.hedge
            and call.may_run_twice
            and not call.hedged
            and not probe
            and call.tries < call.most
        ):
            after = member.latency.quantile(0.95)
            # Of a server that has answered little yet, or hangs from the start, the tier's own figure has to do.
            wait = max(after or 0.0, 2 * self.typical(now))
            if wait and now + wait < call.due - LEAST_LEFT:
                heapq.heappush(self._wakes, (now + round(wait), call.number, "hedge"))
        return Send(call.number, attempt, member.server.name, max(1, call.due - now))

    def ended(self, now: int, attempt: int, end: End) -> list[Action]:
        """An attempt is over."""
        call = self._of.get(attempt)
        if call is None:
            return []
        member = call.attempts[attempt]
        self._settle(now, attempt, member, end)
        del call.attempts[attempt]
        if call.number not in self._calls or self._calls[call.number] is not call:
            return self._fill(now)
        if end is End.ANSWERED or end is End.STRAY:
            if call.hedged and call.tries > 1 and end is End.ANSWERED and member is call.last:
                self.counts.hedges_won += 1
            return self._over(now, call, attempt, end)
        if call.attempts:
            return self._fill(now)  # its other copy may still be answered
        may = may_repeat(call.effect, end.evidence) and call.tries < call.most
        if may and now + LEAST_LEFT < call.due:
            wait = backoff_us(call.tries, self.policy.backoff_ms, self.policy.most_backoff_ms, self._draw())
            if now + wait + LEAST_LEFT < call.due:
                if self.budget.take(now):
                    self.counts.repeats += 1
                    call.again_at = now + wait
                    heapq.heappush(self._wakes, (call.again_at, call.number, "again"))
                    return self._fill(now)
                self.counts.denied += 1
        return self._over(now, call, attempt, end)

    def _over(self, now: int, call: _Call, attempt: int, end: End) -> list[Action]:
        del self._calls[call.number]
        out: list[Action] = [Over(call.number, attempt, end)]
        for other, member in list(call.attempts.items()):
            self._settle(now, other, member, End.GIVEN_UP, self._silent(now, member, other))
            out.append(Cancel(other))
        call.attempts.clear()
        return out + self._fill(now)

    def _settle(self, now: int, attempt: int, member: Member, end: End, silent: bool = False) -> None:
        """What an attempt's end tells of its server."""
        self._of.pop(attempt, None)
        counts = silent or end not in (End.GIVEN_UP, End.STRAY)
        if end is End.TURNED_AWAY or silent:
            member.limit.overloaded()
        was_probe = member.ended(now, attempt, end is End.ANSWERED, counts)
        self.roster.judge(now, member, end is End.ANSWERED, silent, was_probe)

    # ---- the queue, and time ----

    def _unqueue(self, call: _Call) -> None:
        if call.waits:
            call.waits = False
            self._waiting -= 1

    def _fill(self, now: int) -> list[Action]:
        """A place may be free: who is due first goes first."""
        out: list[Action] = []
        while self._queue:
            call = self._calls.get(self._queue[0][1])
            if call is None or not call.waits or call.due != self._queue[0][0]:
                heapq.heappop(self._queue)
                continue
            found = self.choose(now, call.may_run_twice)
            if found is None:
                self._wait_for_turn(now)
                break
            heapq.heappop(self._queue)
            self._unqueue(call)
            if now + LEAST_LEFT >= call.due:
                continue  # its owner gives it up by its own clock
            out.append(self._send(now, call, *found))
        return out

    def _wait_for_turn(self, now: int) -> None:
        """Calls wait, and a server in slow start may be what they wait for."""
        turn = self.roster.next_turn(now)
        if turn is not None and not now < self._turn_at <= turn:
            self._turn_at = turn
            heapq.heappush(self._wakes, (turn, 0, "turn"))

    def wake(self) -> int | None:
        """When `ring` is next to be called; None where nothing waits for a time."""
        return self._wakes[0][0] if self._wakes else None

    def ring(self, now: int) -> list[Action]:
        out: list[Action] = []
        while self._wakes and self._wakes[0][0] <= now:
            at, number, what = heapq.heappop(self._wakes)
            call = self._calls.get(number)
            if call is None:
                continue
            if what == "again" and call.again_at == at and not call.attempts:
                out += self._place(now, call, call.last)
            elif (
                what == "hedge"
                and not call.hedged
                and len(call.attempts) == 1
                and now + LEAST_LEFT < call.due
            ):
                out += self._hedge(now, call)
        return out + self._fill(now)

    def _hedge(self, now: int, call: _Call) -> list[Action]:
        """A second copy, where another server is likely to be quicker than waiting on."""
        first = next(iter(call.attempts.values()))
        found = self.choose(now, True, first)
        if found is None or found[0] is first:
            return []
        if not self.budget.take(now):
            self.counts.denied += 1
            return []
        call.hedged = True
        self.counts.hedges += 1
        return [self._send(now, call, *found)]

    # ---- to be looked at ----

    @property
    def open(self) -> int:
        return len(self._calls)
