"""An open-loop load: arrivals are drawn ahead from a seed and don't wait for answers."""

from __future__ import annotations

import base64
import itertools
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

from .clock import now_us
from .ports import HOST

MOST_OPEN = 32  # requests on one connection
MOST_OUT = 4000  # requests of one load at a time: what is beyond is counted as not sent, not piled up


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests that the load has."""

    name: str
    share: float
    work_ms: float  # mean; drawn evenly from half of it to one and a half
    call: bool
    aim_ms: float
    deadline_ms: float
    keyed: bool = False
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the load, drawn ahead."""

    at: float  # s from the start
    kind: Kind
    tenant: str
    body: bytes
    token: str | None


def draw(seed: int, kinds: list[Kind], tenants: list[str], rate: float, seconds: float) -> list[Arrival]:
    """Poisson arrivals of `rate` a second; the same seed draws the same."""
    rng, at, drawn = random.Random(seed), 0.0, []
    while (at := at + rng.expovariate(rate)) < seconds:
        kind = rng.choices(kinds, [k.share for k in kinds])[0]
        work = kind.work_ms * rng.uniform(0.5, 1.5)
        split = rng.uniform(0.3, 0.7)
        parts = [work * split, work * (1 - split)] if kind.call else [work]
        body = "work " + " ".join(f"{p:.1f}" for p in parts)
        drawn.append(
            Arrival(
                at,
                kind,
                rng.choice(tenants),
                body.encode(),
                f"{rng.getrandbits(64):016x}" if kind.keyed else None,
            )
        )
    return drawn


class _Connection(LineOnlyReceiver):
    transport: Any
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, target: Target) -> None:
        self.target, self.waiting = target, dict[int, Callable[[str], None]]()
        self.leaving = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.target.joined(self)

    def lineReceived(self, line: bytes) -> None:
        m = json.loads(line)
        if m.get("method") == "leaving":
            self.leaving = True
        done = self.waiting.pop(m.get("id") or 0, None)
        if done is not None:
            done("served" if "result" in m else "refused" if m["error"]["code"] == -32014 else "failed")

    def connectionLost(self, reason: object = None) -> None:
        self.target.connections.discard(self)
        waiting, self.waiting = self.waiting, {}
        for done in waiting.values():
            done("lost")


class Target(ClientFactory):
    """One runner, over the platform's protocol, by as many connections as it takes."""

    noisy = False

    def __init__(self, reactor: Any, port: int, peer: int) -> None:
        self.reactor, self.port, self.peer = reactor, port, peer
        self.connections: set[_Connection] = set()
        self._ids, self._queue = itertools.count(1), list[tuple[bytes, int, Callable[[str], None]]]()

    def buildProtocol(self, addr: object) -> _Connection:
        return _Connection(self)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        queue, self._queue = self._queue, []
        for _, _, done in queue:
            done("unreached")

    def send(self, arrival: Arrival, rid: str, done: Callable[[str], None]) -> None:
        number = next(self._ids)
        params: dict[str, object] = {
            "rid": rid,
            "t0": int(time.time() * 1000),
            "peer": self.peer,
            "acct": arrival.tenant,
            "budget": arrival.kind.deadline_ms,
            "mem": 20.0,
            "prio": 0.5,
            "content": base64.b64encode(arrival.body).decode(),
        }
        if arrival.token:
            params["token"] = arrival.token
        line = json.dumps(
            {"jsonrpc": "2.0", "id": number, "method": arrival.kind.name, "params": params}
        ).encode()
        free = next((c for c in self.connections if len(c.waiting) < MOST_OPEN and not c.leaving), None)
        if free is None:
            self._queue.append((line, number, done))
            self.reactor.connectTCP(HOST, self.port, self, timeout=1)
        else:
            self._put(free, line, number, done)

    def joined(self, connection: _Connection) -> None:
        self.connections.add(connection)
        now, self._queue = self._queue[:MOST_OPEN], self._queue[MOST_OPEN:]
        for line, number, done in now:
            self._put(connection, line, number, done)

    @staticmethod
    def _put(connection: _Connection, line: bytes, number: int, done: Callable[[str], None]) -> None:
        connection.waiting[number] = done
        connection.transport.write(line + b"\n")

    def close(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()


class Load:
    """Plays arrivals against whatever `pick` names. Counts by outcome, worth in time, and latencies of the served."""

    def __init__(
        self, reactor: Any, arrivals: list[Arrival], pick: Callable[[Arrival], Any], name: str
    ) -> None:
        self.reactor, self.name = reactor, name
        self._pick, self._arrivals, self._next = pick, arrivals, 0
        self.counts: Counter[str] = Counter()
        self.latency = HdrHistogram(1, 60_000, 3)  # ms
        self.asked = self.served = 0.0  # worth
        self.out = 0
        self.events: list[tuple[float, str, str]] = []  # s since the start, server, outcome
        self._began = 0

    def start(self) -> None:
        self._began = now_us()
        self._tick()

    @property
    def now(self) -> float:
        return (now_us() - self._began) / 1e6

    def _tick(self) -> None:
        while self._next < len(self._arrivals) and self._arrivals[self._next].at <= self.now:
            self._send(self._arrivals[self._next], self._next)
            self._next += 1
        if self._next < len(self._arrivals):
            self.reactor.callLater(max(0.0, self._arrivals[self._next].at - self.now), self._tick)

    def _send(self, arrival: Arrival, number: int) -> None:
        self.asked += arrival.kind.worth
        server, target = self._pick(arrival) if self.out < MOST_OUT else (None, None)
        if server is None or target is None:
            self.counts["nowhere to send"] += 1
            return
        began = now_us()
        server.in_flight += 1
        self.out += 1
        sent_at = self.now

        def done(outcome: str) -> None:
            server.in_flight -= 1
            self.out -= 1
            took = (now_us() - began) / 1000
            if outcome == "served":
                self.latency.record_value(max(1, round(took)))
                if took <= arrival.kind.aim_ms:
                    self.served += arrival.kind.worth
                else:
                    outcome = "late"
            self.counts[outcome] += 1
            self.events.append((sent_at, server.name, outcome))

        target.send(arrival, f"{self.name}{number:08x}", done)
