"""Relays between runners: each link of a fleet passes one, and is cut, slowed or made deaf there."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from .ports import HOST, free_port

MOST_HELD = 8 << 20  # bytes that a slow or silent direction keeps back


class _End(Protocol):
    """One end of a relayed connection; `forward` is True on the end whose bytes go the way of the relay."""

    transport: Any

    def __init__(self, relay: Relay, forward: bool) -> None:
        self.relay, self.forward = relay, forward
        self.other: _End | None = None
        self.held = bytearray()
        self.gone = False

    def connectionMade(self) -> None:
        self.relay.ends.add(self)
        self.transport.setTcpNoDelay(True)
        if self.forward:
            self.relay.reactor.connectTCP(HOST, self.relay.to, _Onward(self), timeout=2)

    def dataReceived(self, data: bytes) -> None:
        if len(self.held) < MOST_HELD:
            self.held += data
        if self.relay.delay:
            self.relay.reactor.callLater(self.relay.delay, self.pass_on)
        else:
            self.pass_on()

    def pass_on(self) -> None:
        """Unless this direction is silent; what is held goes once it no longer is."""
        silent = self.relay.silent_there if self.forward else self.relay.silent_back
        if self.other is not None and not silent and self.held:
            data, self.held = bytes(self.held), bytearray()
            self.relay.passed += len(data)
            if self.relay.cut_after and self.relay.passed >= self.relay.cut_after:
                self.relay.passed = 0
                self.other.transport.write(data[: len(data) // 2])  # half a frame
                self.relay.cut()
                return
            self.other.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:
        self.gone = True
        self.relay.ends.discard(self)
        if self.other is not None and not self.relay.half_open:
            self.other.transport.loseConnection()


class _Onward(ClientFactory):
    noisy = False

    def __init__(self, there: _End) -> None:
        self.there = there

    def buildProtocol(self, addr: object) -> _End:
        back = _End(self.there.relay, forward=False)
        back.other, self.there.other = self.there, back
        self.there.relay.reactor.callLater(0, self.there.pass_on)
        return back

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self.there.transport.abortConnection()


class Relay(Factory):
    """From one runner to another. `silent_there` and `silent_back` stop one direction without closing anything, `delay`
    is in s, `cut_after` breaks the link each time so many bytes have passed, in the midst of what it carries."""

    noisy = False

    def __init__(self, reactor: Any, to: int) -> None:
        self.reactor, self.to = reactor, to
        self.ends: set[_End] = set()
        self.silent_there = self.silent_back = self.half_open = False
        self.delay, self.cut_after, self.passed = 0.0, 0, 0
        self._port: Any = reactor.listenTCP(free_port(), self, interface=HOST)
        self.port: int = self._port.getHost().port

    def buildProtocol(self, addr: object) -> _End:
        return _End(self, forward=True)

    def cut(self) -> None:
        """What is open breaks; new connections are let through."""
        for end in list(self.ends):
            end.transport.abortConnection()

    def silence(self, silent: bool = True) -> None:
        self.silent_there = self.silent_back = silent
        for end in list(self.ends):
            end.pass_on()

    @property
    def holding(self) -> int:
        """Bytes that are on their way and kept back."""
        return sum(len(end.held) for end in self.ends)

    def hear(self) -> None:
        self.silence(False)

    def close(self) -> None:
        self._port.stopListening()
        self.cut()
