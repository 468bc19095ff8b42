"""TCP relays between runners, which cut, delay or silently stall the links of a fleet."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol

from .ports import HOST, free_port

MAX_BUFFERED_BYTES = 8 << 20
"""Number of buffered bytes from which on an end of a connection drops the bytes that it receives."""
_CONNECT_TIMEOUT_S = 2


class _RelayEnd(Protocol):
    """One end of a relayed connection.

    Attributes:
        relay: Relay that the connection passes through.
        forward: Whether the bytes that this end receives go to the relay's target.
        other: Other end, None until it is connected.
        buffer: Bytes received and not yet forwarded.
    """

    transport: Any

    def __init__(self, relay: Relay, forward: bool) -> None:
        self.relay = relay
        self.forward = forward
        self.other: _RelayEnd | None = None
        self.buffer = bytearray()

    def connectionMade(self) -> None:
        """Connect to the target if this end is the accepted one."""
        self.relay.ends.add(self)
        self.transport.setTcpNoDelay(True)
        if self.forward:
            self.relay.reactor.connectTCP(
                HOST, self.relay.target_port, _TargetFactory(self), timeout=_CONNECT_TIMEOUT_S
            )

    def dataReceived(self, data: bytes) -> None:
        """Buffer the bytes and forward them after the relay's delay."""
        if len(self.buffer) < MAX_BUFFERED_BYTES:
            self.buffer += data
        if self.relay.delay_s:
            self.relay.reactor.callLater(self.relay.delay_s, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Forward the buffered bytes, unless this direction is stalled."""
        stalled = self.relay.forward_stalled if self.forward else self.relay.backward_stalled
        if self.other is None or stalled or not self.buffer:
            return
        data = bytes(self.buffer)
        self.buffer = bytearray()
        self.relay.bytes_since_cut += len(data)
        if self.relay.cut_after_bytes and self.relay.bytes_since_cut >= self.relay.cut_after_bytes:
            self.relay.bytes_since_cut = 0
            first_half = data[: len(data) // 2]  # ends in the middle of a frame
            self.other.transport.write(first_half)
            self.relay.cut()
            return
        self.other.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:
        """Close the other end, unless the relay keeps connections half open."""
        self.relay.ends.discard(self)
        if self.other is not None and not self.relay.half_open:
            self.other.transport.loseConnection()


class _TargetFactory(ClientFactory):
    """Connects to the target on behalf of an accepted end.

    Attributes:
        accepted: End that the relay accepted.
    """

    noisy = False

    def __init__(self, accepted: _RelayEnd) -> None:
        self.accepted = accepted

    def buildProtocol(self, addr: object) -> _RelayEnd:
        """Return the protocol of the outgoing connection, and pair it with that of the accepted connection."""
        outgoing = _RelayEnd(self.accepted.relay, forward=False)
        outgoing.other = self.accepted
        self.accepted.other = outgoing
        self.accepted.relay.reactor.callLater(0, self.accepted.flush)
        return outgoing

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Abort the accepted end if the target can't be reached."""
        self.accepted.transport.abortConnection()


class Relay(Factory):
    """Relays connections to a port and injects faults into them.

    Attributes:
        target_port: Port that connections are relayed to.
        ends: Ends of all open connections.
        port: Port that the relay listens on.
        forward_stalled: Whether bytes towards the target are held back, with all connections kept open.
        backward_stalled: The same for bytes from the target.
        half_open: Whether one end stays open when the other is closed.
        delay_s: Delay of forwarded bytes.
        cut_after_bytes: Number of bytes after which all connections are aborted in the middle of a frame; 0 for never.
        bytes_since_cut: Bytes forwarded since the last such abort.
    """

    noisy = False

    def __init__(self, reactor: Any, target_port: int) -> None:
        self.reactor = reactor
        self.target_port = target_port
        self.ends: set[_RelayEnd] = set()
        self.forward_stalled = False
        self.backward_stalled = False
        self.half_open = False
        self.delay_s = 0.0
        self.cut_after_bytes = 0
        self.bytes_since_cut = 0
        self._listening_port: Any = reactor.listenTCP(free_port(), self, interface=HOST)
        self.port: int = self._listening_port.getHost().port

    def buildProtocol(self, addr: object) -> _RelayEnd:
        """Return the accepted end of a new connection."""
        return _RelayEnd(self, forward=True)

    def cut(self) -> None:
        """Abort all open connections; new ones are still relayed."""
        for end in list(self.ends):
            end.transport.abortConnection()

    def silence(self, silent: bool = True) -> None:
        """Stall both directions, or resume them.

        :param silent: whether to stall.
        """
        self.forward_stalled = silent
        self.backward_stalled = silent
        for end in list(self.ends):
            end.flush()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered in all connections."""
        return sum(len(end.buffer) for end in self.ends)

    def resume(self) -> None:
        """Forward the buffered bytes and resume both directions."""
        self.silence(False)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._listening_port.stopListening()
        self.cut()
