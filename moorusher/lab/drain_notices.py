"""Measures how soon a balancer learns that a runner drains.

The request engines run in this process, each with an agent on a real port.
"""

from __future__ import annotations

import json
import random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from ..config.scheduler_settings import parse_settings
from ..core.call import NoCallTransport
from ..core.clock import Alarms, Clock
from ..core.request_engine import RequestEngine
from ..frontends.agent import AgentCheckFactory
from ..health.policy import HealthPolicy
from ..health_reporting.reporter import Reporter
from ..server.reactor import LoopTimer
from .balancer import Server
from .clock import now_us
from .health_prober import HealthProber, ProbeKind
from .ports import HOST

NOTICE_COUNT = 200
PROBE_INTERVAL_S = 0.5
_EARLIEST_DRAIN_S = 1.5
_DRAIN_SPREAD_S = 2
_GRACE_MS = 4000
_POLL_S = 0.02


class _UnusedKernel:
    """A kernel that accepts every message and does nothing."""

    def run(self, rid: str, route: str, body: bytes) -> int:
        """Ignore the command, and return a constant."""
        return 1

    def stop(self, rid: str) -> int:
        """Ignore the command, and return a constant."""
        return 1

    def call_done(self, rid: str, body: bytes) -> int:
        """Ignore the command, and return a constant."""
        return 1

    def call_skipped(self, rid: str, notice: int) -> int:
        """Ignore the command, and return a constant."""
        return 1

    def request_gauges(self) -> None:
        """Do nothing."""


class DrainingEngine:
    """A request engine with an agent and a prober that probes this agent.

    :param settings: settings parsed by `parse_settings`.
    :param phase: delay of the first probe as a share of the probe interval, 0 to 1.

    Attributes:
        noticed: Fires when the prober has read that the engine drains, with the time since `drain` in probe intervals.
    """

    def __init__(self, reactor: Any, name: str, settings: Any, phase: float) -> None:
        self._reactor = reactor
        clock = Clock()
        timer = LoopTimer(reactor, lambda: self._engine.fire_timers())
        self._engine = RequestEngine(
            settings,
            clock,
            Alarms(clock, timer.arm),
            _UnusedKernel(),
            NoCallTransport(),
            lambda action: reactor.callLater(0, action),
        )
        self._engine.kernel_up(False, 0)
        reporter = Reporter(self._engine, HealthPolicy(), name)
        self._listening_port = reactor.listenTCP(0, AgentCheckFactory(self._engine, reporter), interface=HOST)
        self._server = Server(name)
        agent = self._listening_port.getHost().port
        self._prober = HealthProber(reactor, self._server, agent, ProbeKind.AGENT, PROBE_INTERVAL_S, phase)
        self._drained_at_us = 0
        self.noticed: Deferred[float] = Deferred()

    def drain(self) -> None:
        """Start to drain the engine, and fire `noticed` when the prober has read a report of the drain."""
        self._engine.drain(_GRACE_MS)
        self._drained_at_us = now_us()
        self._poll()

    def _poll(self) -> None:
        for report in self._server.agent_reports:
            if report.text.startswith("drain"):
                return self.noticed.callback((report.at_us - self._drained_at_us) / 1e6 / PROBE_INTERVAL_S)
        self._reactor.callLater(_POLL_S, self._poll)

    def close(self) -> None:
        """Stop the prober and the agent."""
        self._prober.stop()
        self._listening_port.stopListening()


async def measure_drain_notices(reactor: Any, seed: int, runner_settings: dict[str, Any]) -> list[float]:
    """Measure how many probe intervals pass until a prober notices a drain.

    :returns: number of probe intervals for each of `NOTICE_COUNT` engines, which drain at random times.
    """
    rng = random.Random(seed)
    settings = parse_settings(json.dumps(runner_settings).encode(), 1)
    engines = []
    for index in range(NOTICE_COUNT):
        engine = DrainingEngine(reactor, f"n{index}", settings, rng.random())
        reactor.callLater(_EARLIEST_DRAIN_S + rng.random() * _DRAIN_SPREAD_S, engine.drain)
        engines.append(engine)
    intervals = await gatherResults([engine.noticed for engine in engines])
    for engine in engines:
        engine.close()
    return list(intervals)
