"""A stand-in balancer: what it has read of each server, and which one gets the next request.

From the published behaviour of common ones: checks with `rise` and `fall`, HAProxy's agent words, a slow start after a
server comes up, weighted round robin or least connections. Pure; `lab/health_prober.py` has the sockets.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import NamedTuple

FULL_WEIGHT = 100
SLOW_START_FLOOR = 0.05
"""The least share of its weight that a server in slow start has."""
_UNLIMITED = 1 << 30
_LONG_AGO_US = -(1 << 60)


class AgentReport(NamedTuple):
    """What a server's agent said, from `at_us` on."""

    at_us: int
    text: str

    @property
    def has_weight(self) -> bool:
        """Whether it names a weight."""
        return "%" in self.text

    @property
    def weight(self) -> int:
        """The weight in 100 that it names first, 0 where it names none."""
        return int(self.text.partition("%")[0].rpartition(" ")[2] or 0) if self.has_weight else 0


@dataclass(slots=True)
class Server:
    """A runner, as a balancer knows it.

    Attributes:
        weight: of the agent's last word, in 100.
        up: by checks and by the agent's operative word.
        admin: administrative state: ready, drain or maint.
        in_flight: requests without an answer.
        maxconn: requests that it takes at a time.
        sent: requests that it was picked for.
        up_since: in us.
        agent_reports: each change of what its agent said.
    """

    name: str
    weight: int = FULL_WEIGHT
    up: bool = True
    admin: str = "ready"
    in_flight: int = 0
    maxconn: int = _UNLIMITED
    sent: int = 0
    up_since: int = _LONG_AGO_US
    agent_reports: list[AgentReport] = field(default_factory=list)
    credit: float = 0.0
    """Of the smooth weighted round robin."""
    _passed: int = 0
    _failed: int = 0

    def effective_weight(self, now: int, slow_start_us: int) -> float:
        """Of a whole server: 0 takes nothing new, 1 is full."""
        if not self.up or self.admin != "ready" or self.in_flight >= self.maxconn:
            return 0.0
        ramp = 1.0
        if slow_start_us:
            ramp = min(1.0, max(SLOW_START_FLOOR, (now - self.up_since) / slow_start_us))
        return self.weight / FULL_WEIGHT * ramp

    def record_check(self, now: int, passed: bool, rise: int, fall: int) -> None:
        """Count a health check: up after `rise` that passed, down after `fall` that failed, in a row."""
        if passed:
            self._passed += 1
            self._failed = 0
            if self._passed >= rise:
                self._come_up(now)
        else:
            self._passed = 0
            self._failed += 1
            if self._failed >= fall:
                self.up = False

    def read_agent(self, now: int, line: str) -> None:
        """One line of an agent: words apart by blanks, tabs or commas, and a description after '#'."""
        words = line.partition("#")[0].replace(",", " ").replace("\t", " ").split()
        for word in words:
            self._apply_agent_word(now, word)
        text = " ".join(words)
        if not self.agent_reports or self.agent_reports[-1].text != text:
            self.agent_reports.append(AgentReport(now, text))

    def _apply_agent_word(self, now: int, word: str) -> None:
        if word.endswith("%") and word[:-1].isdigit():
            self.weight = min(FULL_WEIGHT, int(word[:-1]))
        elif word.startswith("maxconn:") and word[8:].isdigit():
            self.maxconn = int(word[8:])
        elif word in ("ready", "drain", "maint"):
            self.admin = word
        elif word in ("down", "fail", "stopped"):
            self.up = False
        elif word == "up":
            self._come_up(now)

    def _come_up(self, now: int) -> None:
        if not self.up:
            self.up = True
            self.up_since = now


class BalancingMode(enum.Enum):
    """How a balancer picks among servers."""

    ROUND_ROBIN = "round"
    LEAST_CONNECTIONS = "least"


class _Candidate(NamedTuple):
    weight: float
    server: Server


class ServerPicker:
    """Picks the server of each request by effective weight.

    :param slow_start_us: over which the weight of a server that has come up rises; 0 for none.
    """

    def __init__(
        self,
        servers: list[Server],
        mode: BalancingMode = BalancingMode.ROUND_ROBIN,
        slow_start_us: int = 0,
    ) -> None:
        self.servers = servers
        self.mode = mode
        self.slow_start_us = slow_start_us

    def pick(self, now: int, rng: random.Random) -> Server | None:
        """The server of the next request, None where none takes it."""
        weighted = [
            _Candidate(server.effective_weight(now, self.slow_start_us), server) for server in self.servers
        ]
        candidates = [candidate for candidate in weighted if candidate.weight > 0]
        if not candidates:
            return None
        if self.mode is BalancingMode.LEAST_CONNECTIONS:
            picked = _least_connections(candidates, rng)
        else:
            picked = _smooth_round_robin(candidates)
        picked.sent += 1
        return picked


def _least_connections(candidates: list[_Candidate], rng: random.Random) -> Server:
    """The fewest requests in flight by weight; ties are broken at random."""

    def load(candidate: _Candidate) -> tuple[float, float]:
        return (candidate.server.in_flight + 1) / candidate.weight, rng.random()

    return min(candidates, key=load).server


def _smooth_round_robin(candidates: list[_Candidate]) -> Server:
    """Each gains its weight in credit; the one with the most is picked, and pays what all have gained."""
    for candidate in candidates:
        candidate.server.credit += candidate.weight
    picked = max(candidates, key=lambda candidate: candidate.server.credit).server
    picked.credit -= sum(candidate.weight for candidate in candidates)
    return picked
