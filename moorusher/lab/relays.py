"""Relays between runners: each link of a fleet passes one, and is cut, delayed or made silent there."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from .ports import HOST, free_port

MAX_HELD_BYTES = 8 << 20
"""That a delayed or silent direction keeps back."""
_CONNECT_TIMEOUT_S = 2


class _RelayEnd(Protocol):
    """One end of a relayed connection; `forward` on the end whose bytes go towards the relay's target."""

    transport: Any

    def __init__(self, relay: Relay, forward: bool) -> None:
        self.relay = relay
        self.forward = forward
        self.other: _RelayEnd | None = None
        self.held = bytearray()

    def connectionMade(self) -> None:
        """The end that was accepted dials the target."""
        self.relay.ends.add(self)
        self.transport.setTcpNoDelay(True)
        if self.forward:
            self.relay.reactor.connectTCP(
                HOST, self.relay.to, _TargetFactory(self), timeout=_CONNECT_TIMEOUT_S
            )

    def dataReceived(self, data: bytes) -> None:
        """Hold the bytes for the delay of the relay."""
        if len(self.held) < MAX_HELD_BYTES:
            self.held += data
        if self.relay.delay:
            self.relay.reactor.callLater(self.relay.delay, self.pass_on)
        else:
            self.pass_on()

    def pass_on(self) -> None:
        """Pass on what is held, unless this direction is silent."""
        silent = self.relay.silent_there if self.forward else self.relay.silent_back
        if self.other is None or silent or not self.held:
            return
        data = bytes(self.held)
        self.held = bytearray()
        self.relay.passed += len(data)
        if self.relay.cut_after and self.relay.passed >= self.relay.cut_after:
            self.relay.passed = 0
            half_a_frame = data[: len(data) // 2]
            self.other.transport.write(half_a_frame)
            self.relay.cut()
            return
        self.other.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:
        """Close the other end, unless the relay leaves connections half open."""
        self.relay.ends.discard(self)
        if self.other is not None and not self.relay.half_open:
            self.other.transport.loseConnection()


class _TargetFactory(ClientFactory):
    """Dials the target for an end that was accepted."""

    noisy = False

    def __init__(self, accepted: _RelayEnd) -> None:
        self.accepted = accepted

    def buildProtocol(self, addr: object) -> _RelayEnd:
        """The other end of the relayed connection."""
        dialed = _RelayEnd(self.accepted.relay, forward=False)
        dialed.other = self.accepted
        self.accepted.other = dialed
        self.accepted.relay.reactor.callLater(0, self.accepted.pass_on)
        return dialed

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """The target does not listen."""
        self.accepted.transport.abortConnection()


class Relay(Factory):
    """Passes on connections to a port, and breaks them as it is told.

    :param to: the port that it passes connections on to.
    :ivar port: where it listens.
    :ivar silent_there: whether it keeps back what goes towards the target, without closing anything.
    :ivar silent_back: the same for what comes from the target.
    :ivar half_open: whether the end of one side is kept from the other.
    :ivar delay: seconds that it keeps back what it passes on.
    :ivar cut_after: bytes after which it cuts the link in the middle of what it carries; 0 for never.
    :ivar passed: bytes since the last such cut.
    """

    noisy = False

    def __init__(self, reactor: Any, to: int) -> None:
        self.reactor = reactor
        self.to = to
        self.ends: set[_RelayEnd] = set()
        self.silent_there = False
        self.silent_back = False
        self.half_open = False
        self.delay = 0.0
        self.cut_after = 0
        self.passed = 0
        self._listening_port: Any = reactor.listenTCP(free_port(), self, interface=HOST)
        self.port: int = self._listening_port.getHost().port

    def buildProtocol(self, addr: object) -> _RelayEnd:
        """The accepted end of a new connection."""
        return _RelayEnd(self, forward=True)

    def cut(self) -> None:
        """Abort what is open; new connections are let through."""
        for end in list(self.ends):
            end.transport.abortConnection()

    def silence(self, silent: bool = True) -> None:
        """Keep back both directions, or pass on again."""
        self.silent_there = silent
        self.silent_back = silent
        for end in list(self.ends):
            end.pass_on()

    @property
    def holding(self) -> int:
        """Bytes that are on their way and kept back."""
        return sum(len(end.held) for end in self.ends)

    def resume(self) -> None:
        """Pass on again what was kept back."""
        self.silence(False)

    def close(self) -> None:
        """Stop listening, abort all connections."""
        self._listening_port.stopListening()
        self.cut()
