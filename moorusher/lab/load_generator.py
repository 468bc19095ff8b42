"""An open-loop load generator: arrivals are generated in advance and don't wait for answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from .arrivals import Arrival
from .balancer import Server
from .clock import now_us
from .runner_client import RunnerClient

MAX_IN_FLIGHT = 4000
"""Limit of concurrent requests of one load; requests beyond it are counted as not sent instead of queued."""
_MAX_LATENCY_MS = 60_000


class Route(NamedTuple):
    """Destination of a request: the balancer's view of the server, and the client that is connected to it."""

    server: Server
    client: RunnerClient


class Completion(NamedTuple):
    """A completed request.

    Attributes:
        sent_at_s: Seconds from the start of the load.
        server: Name of the server.
        outcome: Outcome as in `LoadGenerator.counts`.
    """

    sent_at_s: float
    server: str
    outcome: str


class LoadGenerator:
    """Sends each arrival at its time to the server that `pick` returns.

    :param pick: returns the route of an arrival, or None if no server accepts it.
    :param name: prefix of the request ids.

    Attributes:
        arrivals: Requests of the load.
        counts: Number of requests by outcome.
        latency: Latencies of the served requests, in ms.
        offered_value: Sum of the priority weights of all requests.
        served_value: Sum of the priority weights of the requests served within their latency objective.
        in_flight: Number of requests without an answer.
        completions: Completed requests, in order.
        began_us: Time of the start by the monotonic clock, in us.
    """

    def __init__(
        self, reactor: Any, arrivals: list[Arrival], pick: Callable[[Arrival], Route | None], name: str
    ) -> None:
        self.reactor = reactor
        self.arrivals = arrivals
        self.name = name
        self.counts: Counter[str] = Counter()
        self.latency = HdrHistogram(1, _MAX_LATENCY_MS, 3)
        self.offered_value = 0.0
        self.served_value = 0.0
        self.in_flight = 0
        self.completions: list[Completion] = []
        self.began_us = 0
        self._pick = pick
        self._next = 0

    def start(self) -> None:
        """Start sending arrivals."""
        self.began_us = now_us()
        self._send_due()

    def stop(self) -> None:
        """Stop sending; requests in flight still complete."""
        self._next = len(self.arrivals)

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return (now_us() - self.began_us) / 1e6

    def _send_due(self) -> None:
        while self._next < len(self.arrivals) and self.arrivals[self._next].at_s <= self.now_s:
            self._send(self.arrivals[self._next], self._next)
            self._next += 1
        if self._next < len(self.arrivals):
            wait_s = self.arrivals[self._next].at_s - self.now_s
            self.reactor.callLater(max(0.0, wait_s), self._send_due)

    def _send(self, arrival: Arrival, number: int) -> None:
        self.offered_value += arrival.request_class.priority_weight
        route = self._pick(arrival) if self.in_flight < MAX_IN_FLIGHT else None
        if route is None:
            self.counts["nowhere to send"] += 1
            return
        server = route.server
        began_us = now_us()
        sent_at_s = self.now_s
        server.in_flight += 1
        self.in_flight += 1

        def on_outcome(outcome: str) -> None:
            server.in_flight -= 1
            self.in_flight -= 1
            latency_ms = (now_us() - began_us) / 1000
            if outcome == "served":
                outcome = self._record_served(arrival, latency_ms)
            self.counts[outcome] += 1
            self.completions.append(Completion(sent_at_s, server.name, outcome))

        route.client.send(arrival, f"{self.name}{number:08x}", on_outcome)

    def _record_served(self, arrival: Arrival, latency_ms: float) -> str:
        """Record a served request; return the outcome "served", or "late" if it exceeded its latency objective."""
        self.latency.record_value(max(1, round(latency_ms)))
        if latency_ms > arrival.request_class.latency_objective_ms:
            return "late"
        self.served_value += arrival.request_class.priority_weight
        return "served"
