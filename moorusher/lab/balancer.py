"""A stand-in balancer: its view of each server, and the choice of the server for the next request.

It follows the published behaviour of common balancers: health checks with `rise` and `fall`, HAProxy's agent commands,
slow start after a server has come up, and weighted round robin or least connections. It does no I/O; the sockets are
in `lab/health_prober.py`.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import NamedTuple

FULL_WEIGHT = 100
SLOW_START_FLOOR = 0.05
"""Minimum share of its weight that a server has during slow start."""
_UNLIMITED = 1 << 30
_LONG_AGO_US = -(1 << 60)


class AgentReport(NamedTuple):
    """A reply of a server's agent that differed from the one before it.

    Attributes:
        at_us: Time at which the balancer read it.
        text: Commands, separated by spaces.
    """

    at_us: int
    text: str

    @property
    def has_weight(self) -> bool:
        """Whether the reply contains a weight."""
        return "%" in self.text

    @property
    def weight(self) -> int:
        """First weight in the reply, in percent; 0 if there is none."""
        return int(self.text.partition("%")[0].rpartition(" ")[2] or 0) if self.has_weight else 0


@dataclass(slots=True)
class Server:
    """A balancer's view of one runner.

    Attributes:
        name: Name of the runner.
        weight: Last weight reported by the agent, in percent.
        up: Operational state, from health checks and the agent.
        admin: Administrative state: ready, drain or maint.
        in_flight: Number of requests without an answer.
        maxconn: Limit of concurrent requests.
        sent: Number of requests sent to the server.
        up_since: Time at which the server last came up, in us.
        agent_reports: Changes of the agent's reply, in order.
        credit: Credit of the smooth weighted round robin.
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
    _passed_in_a_row: int = 0
    _failed_in_a_row: int = 0

    def effective_weight(self, now: int, slow_start_us: int) -> float:
        """Return the share of the full weight, 0 to 1; 0 if the server accepts no new requests."""
        if not self.up or self.admin != "ready" or self.in_flight >= self.maxconn:
            return 0.0
        ramp = 1.0
        if slow_start_us:
            ramp = min(1.0, max(SLOW_START_FLOOR, (now - self.up_since) / slow_start_us))
        return self.weight / FULL_WEIGHT * ramp

    def record_check(self, now: int, passed: bool, rise: int, fall: int) -> None:
        """Record a health check.

        :param rise: consecutive successes after which the server is up.
        :param fall: consecutive failures after which the server is down.
        """
        if passed:
            self._passed_in_a_row += 1
            self._failed_in_a_row = 0
            if self._passed_in_a_row >= rise:
                self._set_up(now)
        else:
            self._passed_in_a_row = 0
            self._failed_in_a_row += 1
            if self._failed_in_a_row >= fall:
                self.up = False

    def read_agent(self, now: int, line: str) -> None:
        """Apply one line of an agent: commands separated by spaces, tabs or commas, and a description after '#'."""
        commands = line.partition("#")[0].replace(",", " ").replace("\t", " ").split()
        for command in commands:
            self._apply_agent_command(now, command)
        text = " ".join(commands)
        if not self.agent_reports or self.agent_reports[-1].text != text:
            self.agent_reports.append(AgentReport(now, text))

    def _apply_agent_command(self, now: int, command: str) -> None:
        if command.endswith("%") and command[:-1].isdigit():
            self.weight = min(FULL_WEIGHT, int(command[:-1]))
        elif command.startswith("maxconn:") and command[8:].isdigit():
            self.maxconn = int(command[8:])
        elif command in ("ready", "drain", "maint"):
            self.admin = command
        elif command in ("down", "fail", "stopped"):
            self.up = False
        elif command == "up":
            self._set_up(now)

    def _set_up(self, now: int) -> None:
        if not self.up:
            self.up = True
            self.up_since = now


class BalancingMode(enum.Enum):
    """Algorithm by which a balancer picks a server."""

    ROUND_ROBIN = "round"
    LEAST_CONNECTIONS = "least"


class _Candidate(NamedTuple):
    """A server that may be picked, and its effective weight."""

    weight: float
    server: Server


class ServerPicker:
    """Picks the server of each request by effective weight.

    Attributes:
        servers: Servers to pick from.
        mode: Balancing algorithm.
        slow_start_us: Time in which the weight of a server that has come up rises to its full value; 0 for none.
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
        """Return the server for the next request, None if no server accepts it."""
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
    """Return the server with the fewest requests in flight relative to its weight; break ties at random."""

    def load(candidate: _Candidate) -> tuple[float, float]:
        return (candidate.server.in_flight + 1) / candidate.weight, rng.random()

    return min(candidates, key=load).server


def _smooth_round_robin(candidates: list[_Candidate]) -> Server:
    """Add each server's weight to its credit, pick the highest credit, and deduct the sum of all weights from it."""
    for candidate in candidates:
        candidate.server.credit += candidate.weight
    picked = max(candidates, key=lambda candidate: candidate.server.credit).server
    picked.credit -= sum(candidate.weight for candidate in candidates)
    return picked
