"""A stand-in balancer: what it has read of each server, and which one gets the next request.

From the published behaviour of common ones: checks with `inter`, `rise` and `fall`, HAProxy's agent words, a slow
start after an up, weighted turns or least in flight. The choice is pure; `Prober` has the sockets.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from .clock import now_us
from .ports import HOST


@dataclass(slots=True)
class Server:
    """A runner, as a balancer knows it."""

    name: str
    weight: int = 100  # of the agent's last word, in 100
    up: bool = True  # by checks and by the agent's operative word
    admin: str = "ready"  # or drain, maint
    in_flight: int = 0
    maxconn: int = 1 << 30
    sent: int = 0
    up_since: int = -(1 << 60)
    _passed: int = 0
    _failed: int = 0
    _turn: float = 0.0
    told: list[tuple[int, str]] = field(default_factory=list)  # each change of what was read

    def share(self, now: int, slow_start_us: int) -> float:
        """Of a whole server: 0 takes nothing new."""
        if not self.up or self.admin != "ready" or self.in_flight >= self.maxconn:
            return 0.0
        ramp = 1.0 if not slow_start_us else min(1.0, max(0.05, (now - self.up_since) / slow_start_us))
        return self.weight / 100 * ramp

    def check(self, now: int, passed: bool, rise: int, fall: int) -> None:
        if passed:
            self._passed, self._failed = self._passed + 1, 0
            if not self.up and self._passed >= rise:
                self.up, self.up_since = True, now
        else:
            self._passed, self._failed = 0, self._failed + 1
            if self._failed >= fall:
                self.up = False

    def agent(self, now: int, line: str) -> None:
        """One line of an agent: words apart by blanks, tabs or commas, and a description after '#'."""
        words = line.partition("#")[0].replace(",", " ").replace("\t", " ").split()
        for word in words:
            if word.endswith("%") and word[:-1].isdigit():
                self.weight = min(100, int(word[:-1]))
            elif word.startswith("maxconn:") and word[8:].isdigit():
                self.maxconn = int(word[8:])
            elif word in ("ready", "drain", "maint"):
                self.admin = word
            elif word in ("down", "fail", "stopped"):
                self.up = False
            elif word == "up" and not self.up:
                self.up, self.up_since = True, now
        said = " ".join(words)
        if not self.told or self.told[-1][1] != said:
            self.told.append((now, said))


class Choice:
    """`mode`: 'round' for weighted turns, 'least' for the fewest in flight by weight."""

    def __init__(self, servers: list[Server], mode: str = "round", slow_start_us: int = 0) -> None:
        self.servers, self.mode, self.slow_start = servers, mode, slow_start_us

    def pick(self, now: int, rng: random.Random) -> Server | None:
        shares = [(s.share(now, self.slow_start), s) for s in self.servers]
        able = [(share, s) for share, s in shares if share > 0]
        if not able:
            return None
        if self.mode == "least":
            chosen = min(able, key=lambda p: ((p[1].in_flight + 1) / p[0], rng.random()))[1]
        else:  # smooth weighted turns: each gains its share, the richest goes and pays for all
            total = sum(share for share, _ in able)
            for share, s in able:
                s._turn += share
            chosen = max(able, key=lambda p: p[1]._turn)[1]
            chosen._turn -= total
        chosen.sent += 1
        return chosen


class _Probe(Protocol):
    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        self._got = b""
        if self.factory.sends:
            self.transport.write(self.factory.sends)

    def dataReceived(self, data: bytes) -> None:
        self._got += data[:4096]

    def connectionLost(self, reason: object = None) -> None:
        self.factory.over(self._got)


class _Asking(ClientFactory):
    noisy = False
    protocol = _Probe

    def __init__(self, sends: bytes, over: Callable[[bytes], None]) -> None:
        self.sends, self._over = sends, over

    def over(self, got: bytes) -> None:
        done, self._over = self._over, lambda got: None
        done(got)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.over(b"")


def ask(
    reactor: Any,
    port: int,
    sends: bytes,
    over: Callable[[bytes], None],
    timeout: float = 1.0,
    source: str = HOST,
) -> None:
    """Connect, send, read until the other side closes; b"" where nothing came in time."""
    asking = _Asking(sends, over)
    connector = reactor.connectTCP(HOST, port, asking, timeout=timeout, bindAddress=(source, 0))
    limit = reactor.callLater(timeout, lambda: connector.disconnect())
    first = asking._over

    def done(got: bytes) -> None:
        if limit.active():
            limit.cancel()
        first(got)

    asking._over = done


class Prober:
    """Asks one server each `inter` seconds, from a phase on: its agent, its HTTP health, or only if it is alive."""

    def __init__(
        self,
        reactor: Any,
        server: Server,
        port: int,
        kind: str,
        inter: float,
        phase: float,
        rise: int = 2,
        fall: int = 3,
        source: str = HOST,
    ) -> None:
        self.reactor, self.server, self.port, self.kind, self.inter = reactor, server, port, kind, inter
        self.rise, self.fall, self.source = rise, fall, source
        self.took: list[int] = []  # us, of each probe that was answered
        self.unanswered = 0
        self._next = reactor.callLater(phase * inter, self._ask)

    def stop(self) -> None:
        if self._next.active():
            self._next.cancel()

    def _ask(self) -> None:
        self._next = self.reactor.callLater(self.inter, self._ask)
        began = now_us()
        path = {"http": b"/health", "alive": b"/alive"}.get(self.kind)
        sends = b"GET %s HTTP/1.0\r\n\r\n" % path if path else b""
        ask(self.reactor, self.port, sends, lambda got: self._heard(began, got), source=self.source)

    def _heard(self, began: int, got: bytes) -> None:
        now = now_us()
        if got:
            self.took.append(now - began)
        else:
            self.unanswered += 1
        if self.kind != "agent":
            parts = got.split(None, 2)
            self.server.check(now, len(parts) > 1 and parts[1].startswith(b"2"), self.rise, self.fall)
        elif got:
            self.server.agent(now, got.split(b"\n", 1)[0].decode("ascii", "replace"))
        else:
            self.server.check(now, False, self.rise, self.fall)
