"""The connections between the runners of a cluster, which carry frames of messages over TCP.

A runner connects when it has something to send. Answers return on the same connection, so that they reach the process
that sent the request even if another process has taken its seat meanwhile.
"""

from __future__ import annotations

import errno
import logging
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..replication.errors import UnreadableFrameError
from ..replication.messages import (
    MAX_FRAME_BYTES,
    ComponentMessage,
    HandshakeRejected,
    Hello,
    Message,
    decode,
    encode,
)
from ..time_units import MS

log = logging.getLogger("moorusher")

MAX_QUEUED_MESSAGES = 512  # per peer, while the connection to it is being made
# Beyond this number of unsent bytes, messages to a peer are dropped. A peer that reads so slowly then appears silent.
MAX_UNSENT_BYTES = 4 << 20
MAX_MESSAGES_PER_FRAME = 256
HANDSHAKE_TIMEOUT_US = 2_000 * MS
RECONNECT_BACKOFF_US = 50 * MS  # doubles with each attempt
MAX_RECONNECT_BACKOFF_US = 1_000 * MS
CONNECT_TIMEOUT_S = 1
US_PER_S = 1_000_000


class PeerOwner(Protocol):
    """Checks handshakes, and receives messages and events of connections.

    Attributes:
        core: Request engine, for its clock and alarms.
        reactor: Twisted's reactor.
        closed: Whether the owner is closed, after which no connection is made.
        incoming: Connections made by other members.
    """

    core: RequestEngine
    reactor: Any
    closed: bool
    incoming: set[PeerConnection]

    def hello(self) -> Hello:
        """Return this process's handshake."""

    def check_hello(self, peer: PeerConnection, hello: Hello) -> str | None:
        """Accept the peer's handshake and record its seat, or return the reason for rejecting it."""

    def connected(self, peer: PeerConnection) -> None:
        """Called when a connection to a peer was made."""

    def rejected_by_peer(self, peer: PeerConnection, reason: str) -> None:
        """Called when the peer has rejected this process's handshake."""

    def disconnected(self, peer: PeerConnection) -> None:
        """Called when a connection is lost, whichever side made it."""

    def connect_failed(self, seat: str, refused: bool) -> None:
        """Called when no connection could be made. `refused`: whether no process listens at the address."""

    def receive(self, peer: PeerConnection, message: Message) -> None:
        """Called for each message of an accepted peer."""

    def schedule_flush(self, peer: PeerConnection) -> None:
        """Call `peer.flush` at the end of this turn of the event loop."""

    def count(self, name: str) -> None:
        """Add 1 to a counter."""


class PeerConnection(Int32StringReceiver):
    """A connection to or from another seat's process.

    Attributes:
        seat: Seat of the peer. Empty on an incoming connection until the handshake.
        incarnation: Incarnation of the peer's process; 0 until the handshake.
        is_outgoing: Whether this process made the connection.
        rejected: Whether the peer has rejected this process's handshake.
    """

    transport: Any
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, owner: PeerOwner, seat: str = "") -> None:
        """:param seat: Seat of the peer if this process makes the connection, else empty."""
        self.owner = owner
        self.seat = seat
        self.incarnation = 0
        self.is_outgoing = bool(seat)
        self.rejected = False
        self._outgoing: list[Message] = []
        self._handshake_timer: Alarm | None = None

    def connectionMade(self) -> None:
        """Send the handshake, or wait for the peer's."""
        self.transport.setTcpNoDelay(True)
        core = self.owner.core
        core.start_turn()
        if self.is_outgoing:
            self.send_now([self.owner.hello()])
            self.owner.connected(self)
        else:
            self.owner.incoming.add(self)
            due_us = core.clock.now + HANDSHAKE_TIMEOUT_US
            self._handshake_timer = core.alarms.at(due_us, self._handshake_timed_out)

    def _handshake_timed_out(self) -> None:
        self.owner.count("fleet links: " + EndReason.READ_TIMEOUT.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the owner."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self.owner.core.start_turn()
        self.owner.disconnected(self)

    # ---- sending ----

    def send(self, message: Message) -> None:
        """Buffer a message until the end of this turn of the event loop. All messages of a turn share a frame."""
        self._outgoing.append(message)
        if len(self._outgoing) == 1:
            self.owner.schedule_flush(self)

    def flush(self) -> None:
        """Send the buffered messages, or drop them if the peer reads too slowly."""
        messages = self._outgoing
        self._outgoing = []
        if self._unsent_bytes() > MAX_UNSENT_BYTES:
            self.owner.count("fleet links: " + EndReason.SLOW_READER.value)
            return
        self.send_now(messages)

    def _unsent_bytes(self) -> int:
        buffered = len(getattr(self.transport, "dataBuffer", b""))
        return buffered + sum(map(len, self.transport._tempDataBuffer))

    def send_now(self, messages: list[Message]) -> None:
        """Send messages at once, split into frames that don't exceed the peer's length limit."""
        frame: list[Message] = []
        size = 0
        for message in messages:
            added = len(message.body) if isinstance(message, ComponentMessage) else 0
            if len(frame) >= MAX_MESSAGES_PER_FRAME or size + added > MAX_FRAME_BYTES // 2:
                self._send_frame(frame)
                frame = []
                size = 0
            frame.append(message)
            size += added
        if frame:
            self._send_frame(frame)

    def _send_frame(self, frame: list[Message]) -> None:
        try:
            data = encode(frame)
        except Exception:  # a value that the format can't hold; each type of value has its own error
            data = encode([message for message in frame if self._is_encodable(message)])
        self.sendString(data)  # type: ignore[no-untyped-call]

    def _is_encodable(self, message: Message) -> bool:
        try:
            encode([message])
        except Exception as error:
            log.error(
                "fleet: a message can't be sent: seat=%s message=%r reason=%s", self.seat, message, error
            )
            self.owner.count("faults")
            return False
        return True

    # ---- receiving ----

    def stringReceived(self, string: bytes) -> None:
        """Handle a frame. Messages before the handshake are dropped."""
        self.owner.core.start_turn()
        try:
            messages = decode(string)
        except UnreadableFrameError as exc:
            log.warning("fleet: received an unreadable frame: seat=%s reason=%s", self.seat, exc)
            self.owner.count("fleet links: " + EndReason.FRAMING_LOST.value)
            self.transport.abortConnection()
            return
        for message in messages:
            if isinstance(message, Hello):
                if not self._handle_hello(message):
                    return
            elif isinstance(message, HandshakeRejected):
                self.owner.rejected_by_peer(self, message.reason)
                return
            elif self.incarnation:
                self.owner.receive(self, message)

    def _handle_hello(self, hello: Hello) -> bool:
        """Return whether the handshake was accepted."""
        reason = self.owner.check_hello(self, hello)
        if reason is not None:
            log.warning(
                "fleet: rejected a handshake: seat=%s fleet=%s reason=%s", hello.seat, hello.fleet, reason
            )
            self.owner.count("fleet links: refused")
            self.send_now([HandshakeRejected(reason)])
            self.transport.loseConnection()
            return False
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None
        return True

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection, as no member sends a frame this long."""
        self.owner.count("fleet links: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()


class PeerDialer(ClientFactory):
    """Makes the connection to one seat when there is something to send, and remakes it when it is lost.

    Attributes:
        seat: Seat of the peer.
        address: Host and port. A change applies to the next connection.
        peer: The established connection; None without one.
    """

    noisy = False

    def __init__(self, owner: PeerOwner, seat: str, address: tuple[str, int]) -> None:
        self.owner = owner
        self.seat = seat
        self.address = address
        self.peer: PeerConnection | None = None
        self._queued: list[Message] = []
        self._connecting = False
        self._not_before_us = 0  # earliest time of the next attempt
        self._backoff_us = RECONNECT_BACKOFF_US

    def send(self, message: Message) -> None:
        """Send a message, or queue it until there is a connection. Drop it if the queue is full."""
        if self.peer is not None:
            return self.peer.send(message)
        if len(self._queued) < MAX_QUEUED_MESSAGES:
            self._queued.append(message)
        self.connect()
        return None

    def connect(self) -> None:
        """Connect now, or when the backoff has passed."""
        if self._connecting or self.owner.closed:
            return
        self._connecting = True
        wait_us = self._not_before_us - self.owner.core.clock.now
        if wait_us > 0:  # scheduled, since queued messages must not wait for another call of `send`
            self.owner.reactor.callLater(wait_us / US_PER_S, self._connect_now)
        else:
            self._connect_now()

    def _connect_now(self) -> None:
        if not self.owner.closed:
            self.owner.reactor.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: object) -> PeerConnection:
        """Create the protocol of an outgoing connection."""
        return PeerConnection(self.owner, self.seat)

    def connected(self, peer: PeerConnection) -> None:
        """Send the queued messages on a new connection."""
        self._connecting = False
        self.peer = peer
        self._backoff_us = RECONNECT_BACKOFF_US
        queued = self._queued
        self._queued = []
        for message in queued:
            peer.send(message)

    def disconnected(self) -> None:
        """Reconnect at once, to find out soon whether a process still listens and whether it is a later one."""
        self.peer = None
        self.connect()
        self._back_off()

    def _back_off(self) -> None:
        self._not_before_us = self.owner.core.clock.now + self._backoff_us
        self._backoff_us = min(MAX_RECONNECT_BACKOFF_US, self._backoff_us * 2)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Drop the queued messages. Senders that need an answer retry."""
        self.owner.core.start_turn()
        self._connecting = False
        self._queued.clear()
        self._back_off()
        error_number = getattr(reason.value, "osError", None)
        self.owner.connect_failed(self.seat, refused=error_number == errno.ECONNREFUSED)


class PeerServerFactory(Factory):
    """Creates the protocols of connections from other runners of the cluster."""

    noisy = False

    def __init__(self, owner: PeerOwner) -> None:
        self.owner = owner

    def buildProtocol(self, addr: object) -> PeerConnection:
        """Create the protocol of an incoming connection."""
        return PeerConnection(self.owner)
