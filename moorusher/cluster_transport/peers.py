"""The connections among the runners of a cluster: frames of messages over TCP. What they mean is decided elsewhere.

A connection is made by whoever has something to send; answers come back on it, so that they reach the very process that
asked, though another one may have taken its seat.
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

MAX_QUEUED_MESSAGES = 512  # for a peer while the connection to it is being made
MAX_UNSENT_BYTES = (
    4 << 20
)  # a peer that reads more slowly loses what follows: it is silent for the others then
MAX_MESSAGES_PER_FRAME = 256
HANDSHAKE_TIMEOUT_US = 2_000 * MS
RECONNECT_BACKOFF_US = 50 * MS  # doubles with each attempt
MAX_RECONNECT_BACKOFF_US = 1_000 * MS
CONNECT_TIMEOUT_S = 1
US_PER_S = 1_000_000


class PeerOwner(Protocol):
    """Whose connections they are: who is accepted, and who gets the messages.

    Attributes:
        core: has the clock and the alarms.
        reactor: the loop.
        closed: `bool`, nothing more is connected.
        incoming: connections that others have made.
    """

    core: RequestEngine
    reactor: Any
    closed: bool
    incoming: set[PeerConnection]

    def hello(self) -> Hello:
        """This process's greeting."""

    def check_hello(self, peer: PeerConnection, hello: Hello) -> str | None:
        """Takes the peer for a member of the cluster, or returns the reason why not."""

    def connected(self, peer: PeerConnection) -> None:
        """A connection to a peer was made."""

    def rejected_by_peer(self, peer: PeerConnection, reason: str) -> None:
        """The peer does not take this process for a member."""

    def disconnected(self, peer: PeerConnection) -> None:
        """A connection has ended, whoever made it."""

    def connect_failed(self, seat: str, refused: bool) -> None:
        """No connection could be made. `refused`: nothing listens at the address."""

    def receive(self, peer: PeerConnection, message: Message) -> None:
        """A message of a peer that has greeted."""

    def flush_soon(self, peer: PeerConnection) -> None:
        """Call `peer.flush` in this turn of the loop."""

    def count(self, name: str) -> None:
        """One more in the counter of that name."""


class PeerConnection(Int32StringReceiver):
    """A connection to or from another seat's process.

    Attributes:
        seat: `str`; empty until the peer has greeted, where it made the connection.
        incarnation: `int`, of the peer's process; 0 until it has greeted.
        is_outgoing: `bool`, this process made the connection.
        rejected: `bool`, the peer does not take this process for a member.
    """

    transport: Any
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, owner: PeerOwner, seat: str = "") -> None:
        """`seat`: where this process makes the connection."""
        self.owner = owner
        self.seat = seat
        self.incarnation = 0
        self.is_outgoing = bool(seat)
        self.rejected = False
        self._outgoing: list[Message] = []
        self._handshake_timer: Alarm | None = None

    def connectionMade(self) -> None:
        """Greets, or waits for a greeting."""
        self.transport.setTcpNoDelay(True)
        core = self.owner.core
        core.begin_turn()
        if self.is_outgoing:
            self.send_now([self.owner.hello()])
            self.owner.connected(self)
        else:
            self.owner.incoming.add(self)
            due = core.clock.now + HANDSHAKE_TIMEOUT_US
            self._handshake_timer = core.alarms.at(due, self._handshake_timed_out)

    def _handshake_timed_out(self) -> None:
        self.owner.count("fleet links: " + EndReason.READ_TIMEOUT.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The connection has ended."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self.owner.core.begin_turn()
        self.owner.disconnected(self)

    # ---- out ----

    def send(self, message: Message) -> None:
        """Sends in this turn of the loop, in one frame with all that the turn still brings."""
        self._outgoing.append(message)
        if len(self._outgoing) == 1:
            self.owner.flush_soon(self)

    def flush(self) -> None:
        """Sends what has gathered; drops it where the peer reads too slowly."""
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
        """In as many frames as it takes: one is never too long for the peer."""
        frame: list[Message] = []
        size = 0
        for message in messages:
            added = len(message.body) if isinstance(message, ComponentMessage) else 0
            if len(frame) >= MAX_MESSAGES_PER_FRAME or size + added > MAX_FRAME_BYTES // 2:
                self.sendString(encode(frame))  # type: ignore[no-untyped-call]
                frame = []
                size = 0
            frame.append(message)
            size += added
        if frame:
            self.sendString(encode(frame))  # type: ignore[no-untyped-call]

    # ---- in ----

    def stringReceived(self, string: bytes) -> None:
        """A frame. Whatever comes before the greeting is dropped."""
        self.owner.core.begin_turn()
        try:
            messages = decode(string)
        except UnreadableFrameError as exc:
            log.warning("fleet: a peer sent an unreadable frame: seat=%s reason=%s", self.seat, exc)
            self.owner.count("fleet links: " + EndReason.FRAMING_LOST.value)
            self.transport.abortConnection()
            return
        for message in messages:
            if isinstance(message, Hello):
                if not self._greeted(message):
                    return
            elif isinstance(message, HandshakeRejected):
                self.owner.rejected_by_peer(self, message.reason)
                return
            elif self.incarnation:
                self.owner.receive(self, message)

    def _greeted(self, hello: Hello) -> bool:
        """Whether the connection goes on."""
        reason = self.owner.check_hello(self, hello)
        if reason is not None:
            log.warning("fleet: %s of %s refused: %s", hello.seat, hello.fleet, reason)
            self.owner.count("fleet links: refused")
            self.send_now([HandshakeRejected(reason)])
            self.transport.loseConnection()
            return False
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
            self._handshake_timer = None
        return True

    def lengthLimitExceeded(self, length: int) -> None:
        """A frame that is longer than any of ours."""
        self.owner.count("fleet links: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()


class PeerDialer(ClientFactory):
    """The connection to one seat: made when there is something to send, made anew when it breaks.

    Attributes:
        seat: `str`.
        address: host and port; may be changed for the next connection.
        peer: `PeerConnection`, or None where there is none.
    """

    noisy = False

    def __init__(self, owner: PeerOwner, seat: str, address: tuple[str, int]) -> None:
        self.owner = owner
        self.seat = seat
        self.address = address
        self.peer: PeerConnection | None = None
        self._queued: list[Message] = []
        self._connecting = False
        self._not_before = 0  # us; no attempt is made before that
        self._backoff = RECONNECT_BACKOFF_US

    def send(self, message: Message) -> None:
        """Sends, or queues until there is a connection; drops what is too much."""
        if self.peer is not None:
            return self.peer.send(message)
        if len(self._queued) < MAX_QUEUED_MESSAGES:
            self._queued.append(message)
        self.connect()
        return None

    def connect(self) -> None:
        """Connects, now or as soon as the backoff allows it."""
        if self._connecting or self.owner.closed:
            return
        self._connecting = True
        wait_us = self._not_before - self.owner.core.clock.now
        if wait_us > 0:  # what is queued must not wait until something else is sent
            self.owner.reactor.callLater(wait_us / US_PER_S, self._connect_now)
        else:
            self._connect_now()

    def _connect_now(self) -> None:
        if not self.owner.closed:
            self.owner.reactor.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: object) -> PeerConnection:
        """The connection was made."""
        return PeerConnection(self.owner, self.seat)

    def connected(self, peer: PeerConnection) -> None:
        """Sends what is queued."""
        self._connecting = False
        self.peer = peer
        self._backoff = RECONNECT_BACKOFF_US
        queued = self._queued
        self._queued = []
        for message in queued:
            peer.send(message)

    def disconnected(self) -> None:
        """Connects anew at once: whether anything listens, and whether that is a later process, is known soon."""
        self.peer = None
        self.connect()
        self._back_off()

    def _back_off(self) -> None:
        self._not_before = self.owner.core.clock.now + self._backoff
        self._backoff = min(MAX_RECONNECT_BACKOFF_US, self._backoff * 2)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """What was queued is dropped: to whom it mattered, it is sent again."""
        self.owner.core.begin_turn()
        self._connecting = False
        self._queued.clear()
        self._back_off()
        error_number = getattr(reason.value, "osError", None)
        self.owner.connect_failed(self.seat, refused=error_number == errno.ECONNREFUSED)


class PeerServerFactory(Factory):
    """Listens for the other runners of the cluster."""

    noisy = False

    def __init__(self, owner: PeerOwner) -> None:
        self.owner = owner

    def buildProtocol(self, addr: object) -> PeerConnection:
        """Another runner connects."""
        return PeerConnection(self.owner)
