"""The connections among the runners of a fleet: frames of messages over TCP.

A connection is made by whoever has something to say; answers come back on it, so that they reach the very process that
asked, though another may have taken its seat.
"""

from __future__ import annotations

import logging
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ..core.clock import MS, Alarm
from ..core.outcomes import Ending
from ..core.request_engine import Decider
from ..replication.messages import (
    MAX_FRAME_BYTES,
    ComponentMessage,
    HandshakeRejected,
    Hello,
    Message,
    decode,
    encode,
)

log = logging.getLogger("moorusher")

MAX_QUEUED_MESSAGES = 512  # messages for a peer while the link to it is being made
MAX_UNSENT_BYTES = (
    4 << 20
)  # bytes; a peer that reads more slowly loses what comes: to the others it is silent
HANDSHAKE_TIMEOUT_US = 2_000 * MS
RECONNECT_BACKOFF_US, MAX_RECONNECT_BACKOFF_US = 50 * MS, 1_000 * MS
MAX_MESSAGES_PER_FRAME = 256  # messages in one


class PeerOwner(Protocol):
    """Whose connections they are: who is let in, and who hears what is said."""

    core: Decider
    reactor: Any
    closed: bool
    incoming: set[PeerConnection]

    def hello(self) -> Hello: ...
    def check_hello(self, peer: PeerConnection, m: Hello) -> str | None: ...
    def connected(self, peer: PeerConnection) -> None: ...
    def rejected_by_peer(self, peer: PeerConnection, why: str) -> None: ...
    def disconnected(self, peer: PeerConnection) -> None: ...
    def connect_failed(self, seat: str, refused: bool) -> None: ...
    def receive(self, peer: PeerConnection, message: Message) -> None: ...
    def flush_soon(self, peer: PeerConnection) -> None: ...
    def count(self, name: str) -> None: ...


class PeerConnection(Int32StringReceiver):
    """A connection to or from another seat's process."""

    transport: Any
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link: PeerOwner, seat: str = "") -> None:
        self.owner, self.seat, self.incarnation = link, seat, 0
        self.is_outgoing = bool(seat)
        self._outgoing: list[Message] = []
        self.rejected = False
        self._handshake_timer: Alarm | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        core = self.owner.core
        core.touch()
        if self.is_outgoing:
            self.send_now([self.owner.hello()])
            self.owner.connected(self)
        else:
            self.owner.incoming.add(self)
            self._handshake_timer = core.alarms.at(
                core.clock.now + HANDSHAKE_TIMEOUT_US, self._handshake_timed_out
            )

    def _handshake_timed_out(self) -> None:
        self.owner.count("fleet links: " + Ending.SILENT.value)
        self.transport.abortConnection()

    def send_now(self, messages: list[Message]) -> None:
        frame: list[Message] = []
        size = 0
        for message in messages:
            more = len(message.body) if isinstance(message, ComponentMessage) else 0
            if len(frame) >= MAX_MESSAGES_PER_FRAME or size + more > MAX_FRAME_BYTES // 2:
                self.sendString(encode(frame))  # type: ignore[no-untyped-call]
                frame, size = [], 0
            frame.append(message)
            size += more
        if frame:
            self.sendString(encode(frame))  # type: ignore[no-untyped-call]

    def send(self, message: Message) -> None:
        self._outgoing.append(message)
        self.owner.flush_soon(self)

    def flush(self) -> None:
        out, self._outgoing = self._outgoing, []
        if (
            len(getattr(self.transport, "dataBuffer", b"")) + sum(map(len, self.transport._tempDataBuffer))
            > MAX_UNSENT_BYTES
        ):
            self.owner.count("fleet links: " + Ending.READS_TOO_SLOWLY.value)
            return
        self.send_now(out)

    def stringReceived(self, string: bytes) -> None:
        core = self.owner.core
        core.touch()
        try:
            messages = decode(string)
        except ValueError as exc:
            log.warning("fleet: a peer sent what can't be read: %s", exc)
            self.owner.count("fleet links: " + Ending.BAD_FRAME.value)
            self.transport.abortConnection()
            return
        for message in messages:
            if isinstance(message, Hello):
                if (why := self.owner.check_hello(self, message)) is not None:
                    log.warning("fleet: %s of %s refused: %s", message.seat, message.fleet, why)
                    self.owner.count("fleet links: refused")
                    self.send_now([HandshakeRejected(why)])
                    self.transport.loseConnection()
                    return
                if self._handshake_timer is not None:
                    self._handshake_timer.cancel()
                    self._handshake_timer = None
            elif isinstance(message, HandshakeRejected):
                self.owner.rejected_by_peer(self, message.reason)
                return
            elif self.incarnation:
                self.owner.receive(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self.owner.count("fleet links: " + Ending.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        self.owner.core.touch()
        self.owner.disconnected(self)


class PeerDialer(ClientFactory):
    """The way to one seat: made when there is something to say, made anew when it breaks."""

    noisy = False

    def __init__(self, link: PeerOwner, seat: str, address: tuple[str, int]) -> None:
        self.owner, self.seat, self.address = link, seat, address
        self.peer: PeerConnection | None = None
        self._queued: list[Message] = []
        self._connecting = False
        self._not_before, self._backoff = 0, RECONNECT_BACKOFF_US

    def send(self, message: Message) -> None:
        if self.peer is not None:
            return self.peer.send(message)
        if len(self._queued) < MAX_QUEUED_MESSAGES:
            self._queued.append(message)
        self.connect()

    def connect(self) -> None:
        if self._connecting or self.owner.closed:
            return
        self._connecting = True
        wait = self._not_before - self.owner.core.clock.now
        if wait > 0:  # what is said meanwhile must not wait until something else is said
            self.owner.reactor.callLater(wait / 1e6, self._connect_now)
        else:
            self._connect_now()

    def _connect_now(self) -> None:
        if not self.owner.closed:
            self.owner.reactor.connectTCP(*self.address, self, timeout=1)

    def buildProtocol(self, addr: object) -> PeerConnection:
        return PeerConnection(self.owner, self.seat)

    def connected(self, peer: PeerConnection) -> None:
        self._connecting, self.peer, self._backoff = False, peer, RECONNECT_BACKOFF_US
        waiting, self._queued = self._queued, []
        for message in waiting:
            peer.send(message)

    def disconnected(self) -> None:
        self.peer = None
        self.connect()  # at once: where nothing listens any more, that is known soon; and where a later process does
        self._back_off()

    def _back_off(self) -> None:
        self._not_before = self.owner.core.clock.now + self._backoff
        self._backoff = min(MAX_RECONNECT_BACKOFF_US, self._backoff * 2)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.owner.core.touch()
        self._connecting = False
        self._queued.clear()
        self._back_off()
        code = getattr(reason.value, "osError", None)
        self.owner.connect_failed(self.seat, refused=code == 111)


class PeerServerFactory(Factory):
    """Listens for the other runners of the fleet."""

    noisy = False

    def __init__(self, link: PeerOwner) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> PeerConnection:
        return PeerConnection(self.link)
