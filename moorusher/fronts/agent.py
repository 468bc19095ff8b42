"""HAProxy's agent check: one line of text about this runner, then a close."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory, Protocol

from ..core.decide import Decider

MOST = 64  # connections of balancers at a time


def agent_word(core: Decider) -> bytes:
    """`drain` takes no new connection and keeps what is open; `down` is for a runner that can't serve.
    `ready` comes first where it serves: it lifts a `drain` or `maint` that was said before."""
    if core.draining:
        return b"drain"
    if not core.ready:
        return b"down"
    if not core.healthy:
        return b"fail"
    share = max(1, min(100, round(100 * (1 - core.load()))))
    return b"ready up %d%%" % share


class AgentConnection(Protocol):
    """HAProxy sends nothing, or `agent-send`'s text, and reads one line."""

    transport: Any

    def __init__(self, owner: AgentFront) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        self.owner.open += 1
        self.owner.core.counters.add("health checks")
        self.transport.write(agent_word(self.owner.core) + b"\n")
        self.transport.loseConnection()

    def connectionLost(self, reason: object = None) -> None:
        self.owner.open -= 1


class AgentFront(Factory):
    noisy = False

    def __init__(self, core: Decider) -> None:
        self.core, self.open = core, 0

    def buildProtocol(self, addr: object) -> AgentConnection | None:
        return AgentConnection(self) if self.open < MOST else None
