"""The servers of a tier as one router sees them: who is in, who is usable now, which one a call goes to."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from .endpoint import Member, State, Why
from .latency import median
from .picker import rank, two
from .policy import MOST_SERVERS, Policy, Server
from .prior import BELIEVED, OnTrial, Prior

TYPICAL_EVERY = 250_000  # us; the tier's median is worked out anew so often


class Roster:
    """`draw` gives numbers from 0 to under 1. `runner` is this instance's name, for its subset."""

    def __init__(
        self, servers: Iterable[Server], policy: Policy, runner: str, draw: Callable[[], float], now: int
    ) -> None:
        self.policy, self.runner, self._draw = policy, runner, draw
        self.members: dict[str, Member] = {}
        self.panics = self.ejections = 0
        self._usable: list[Member] = []  # that calls go to
        self._near: list[Member] = []  # of them, in this runner's zone,
        self._far: list[Member] = []  # and not in it
        self._probed: list[Member] = []  # that wait for a call to show whether they are well
        self._ranked: list[Member] = []
        self.trial: OnTrial | None = None
        self._stale_at: int | None = 0  # when the lists have to be made anew; None: not by time alone
        self._typical, self._typical_at = 0.0, -TYPICAL_EVERY
        for server in servers:
            self.add(now, server, established=True)

    # ---- membership ----

    def add(self, now: int, server: Server, established: bool = False) -> None:
        """A new one gets traffic gradually; one that is there has its address, weight or zone changed. Raises
        ValueError where there are too many."""
        known = self.members.get(server.name)
        if known is not None:
            known.server = server
            if known.state is State.LEAVING:
                known.state, known.retires = State.IN, False
        elif len(self.members) >= MOST_SERVERS:
            raise ValueError(f"more than {MOST_SERVERS} servers")
        else:
            self.members[server.name] = Member(server, self.policy, now, established, self.runner)
        self._ranked = rank(self.runner, list(self.members.values()))
        self._stale_at = now

    def drain(self, now: int, name: str) -> bool:
        """No new calls to it; those in flight end as they do. False where there is none of that name."""
        if (member := self.members.get(name)) is None:
            return False
        member.state = State.LEAVING
        self._stale_at = now
        return True

    def retire(self, now: int, name: str) -> None:
        """No new calls to it, and it is forgotten once those in flight have ended."""
        if self.drain(now, name):
            self.members[name].retires = True
            self.forget(self.members[name])

    def forget(self, member: Member) -> None:
        if member.retires and member.state is State.LEAVING and not member.in_flight:
            self.members.pop(member.server.name, None)
            self._ranked = [m for m in self._ranked if m is not member]
            self._stale_at = 0

    # ---- lists ----

    def _refresh(self, now: int) -> None:
        """Who is usable: the first of the runner's order that are in, as many as its subset has."""
        wanted = self.policy.subset or len(self._ranked)
        open_ = [m for m in self._ranked if m.state is not State.LEAVING]
        for m in open_:
            if m.state is State.EJECTED and now >= m.until:
                m.state = State.PROBED
        self._probed = [m for m in open_ if m.state is State.PROBED]
        usable = [m for m in open_ if m.state is State.IN][:wanted]
        whole = sum(m.server.weight for m in open_[:wanted])
        if whole and sum(m.server.weight for m in usable) < self.policy.panic * whole:
            # Too many are out for the rest to bear it: what looks like many faults is one, and most likely not theirs.
            usable = open_[:wanted]
            self.panics += 1
        self._usable = usable
        zone = self.policy.zone
        self._near = [m for m in usable if m.server.zone == zone] if zone else []
        self._far = [m for m in usable if m.server.zone != zone] if zone else []
        ends = [m.until for m in open_ if m.state is State.EJECTED]
        self._stale_at = min(ends) if ends else None

    def typical(self, now: int) -> float:
        """The median of the servers' short latencies, in us; 0 while nothing is known."""
        if now - self._typical_at >= TYPICAL_EVERY:
            self._typical_at = now
            self._typical = median([m.latency.short for m in self.members.values() if m.latency.samples])
        return self._typical

    # ---- what others told ----

    def learn(self, now: int, priors: Mapping[str, Prior], trial: OnTrial) -> None:
        """Priors for servers that have not been asked yet. One that was out has to show by a probe that it is well,
        as far as the share that may be out allows."""
        self.trial = trial
        out = sum(m.state in (State.EJECTED, State.PROBED) for m in self.members.values())
        for name, prior in priors.items():
            member = self.members.get(name)
            if member is None or member.latency.samples or member.failures:
                continue  # known by itself
            member.prior = prior
            if (
                prior.out
                and prior.weight >= BELIEVED
                and out + 1 <= self.policy.most_ejected * len(self.members)
            ):
                member.state, out = State.PROBED, out + 1
        self._stale_at = now

    def unlearn(self, name: str) -> None:
        """What was told of a server counts no more."""
        if (member := self.members.get(name)) is not None:
            member.prior = None
            if member.state is State.PROBED and not member.ejections:
                member.state, self._stale_at = State.IN, 0

    # ---- choice ----

    def choose(self, now: int, safe: bool, avoid: Member | None = None) -> tuple[Member, bool] | None:
        """A server, and whether the call is its probe; None where none has room."""
        if self._stale_at is not None and now >= self._stale_at:
            self._refresh(now)
        typical = self.typical(now)
        if safe:  # one that was ejected shows by a call that may be made again whether it is well
            for m in self._probed:
                if m.state is State.PROBED and not m.in_flight and m is not avoid and m.may_get(now):
                    return m, True
        if self._near:
            near = two(self._near, now, typical, self._draw, avoid)
            if near is not None:
                other = two(self._far, now, typical, self._draw, avoid)
                if other is None or near.cost(now, typical) <= self.policy.spill * other.cost(now, typical):
                    return near, False
                return other, False
        found = two(self._usable, now, typical, self._draw, avoid)
        return None if found is None else (found, False)

    def next_turn(self, now: int) -> int | None:
        """When a server in slow start may get a call again; None where none has to wait for its turn."""
        turns = [turn for m in self._usable if (turn := m.next_turn(now)) is not None]
        return min(turns, default=None)

    # ---- what an attempt's end tells of its server ----

    def taken_away(self, now: int, name: str) -> Member | None:
        """At once; what it has in flight is its router's to end."""
        if (member := self.members.pop(name, None)) is None:
            return None
        member.state = State.LEAVING
        self._ranked = [m for m in self._ranked if m is not member]
        self._stale_at = now
        return member

    def judge(self, now: int, member: Member, answered: bool, silent: bool, was_probe: bool) -> None:
        """`silent`: it was given up after hanging for long."""
        if member.state is State.LEAVING:
            return self.forget(member)
        typical = self.typical(now)
        if self.trial is not None and answered:
            if was_probe:
                self.trial.well(member.server.name)
            if others := self._others(member, typical):
                self.trial.measured(member.server.name, member.latency.short / others, member.latency.samples)
        if was_probe:
            slow = typical and member.latency.short > self.policy.outlier * typical
            if answered and not slow:
                member.back(now)
                self._stale_at = now
            else:
                self._eject(now, member, Why.PROBE, force=True)
        elif member.state is State.IN and (why := member.faulty(self._others(member, typical))) is not None:
            self._eject(now, member, Why.HANGS if silent and why is Why.CONSECUTIVE else why)
        return None

    def _others(self, member: Member, typical: float) -> float:
        """The tier's median counts only where others were measured too."""
        known = sum(m.latency.samples > 0 for m in self.members.values() if m is not member)
        return typical if known >= 2 else 0.0

    def _eject(self, now: int, member: Member, why: Why, force: bool = False) -> None:
        """At most a share of the servers at a time: the last ones have to bear what there is."""
        out = sum(m.state in (State.EJECTED, State.PROBED) for m in self.members.values())
        if not force and out + 1 > self.policy.most_ejected * len(self.members):
            return
        member.eject(now, why)
        self.ejections += 1
        self._stale_at = now

    def told(self, now: int) -> list[dict[str, object]]:
        """Each server, for `GET /servers`. Times in ms."""
        return [
            {
                "name": m.server.name,
                "address": f"{m.server.address[0]}:{m.server.address[1]}",
                "zone": m.server.zone,
                "weight": m.server.weight,
                "state": m.state.value,
                "why": m.why.value if m.why else None,
                "back_in_ms": max(0, m.until - now) / 1000 if m.state is State.EJECTED else None,
                "in_flight": len(m.in_flight),
                "limit": int(m.limit.value),
                "calls": m.calls,
                "failures": m.failures,
                "answered_share": m.answered_share(),
                "ejections": m.ejections,
                "ramp": m.ramp(now),
                "short_ms": m.latency.short / 1000,
                "long_ms": m.latency.long / 1000,
                "usable": m in self._usable,
            }
            for m in self._ranked
        ]
