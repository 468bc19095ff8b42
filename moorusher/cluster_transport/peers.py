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
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
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

MOST_WAITING = 512  # messages for a peer while the link to it is being made
MOST_UNSENT = 4 << 20  # bytes; a peer that reads more slowly loses what comes: to the others it is silent
GREETED_WITHIN = 2_000 * MS
DIAL_AGAIN, DIAL_MOST = 50 * MS, 1_000 * MS
FRAME = 256  # messages in one


class Link(Protocol):
    """Whose connections they are: who is let in, and who hears what is said."""

    core: RequestEngine
    reactor: Any
    closed: bool
    open: set[Peer]

    def hello(self) -> Hello: ...
    def greeted(self, peer: Peer, m: Hello) -> str | None: ...
    def made(self, peer: Peer) -> None: ...
    def refused(self, peer: Peer, why: str) -> None: ...
    def hung_up(self, peer: Peer) -> None: ...
    def unreached(self, seat: str, refused: bool) -> None: ...
    def heard(self, peer: Peer, message: Message) -> None: ...
    def flush_soon(self, peer: Peer) -> None: ...
    def count(self, name: str) -> None: ...


class Peer(Int32StringReceiver):
    """A connection to or from another seat's process."""

    transport: Any
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link: Link, seat: str = "") -> None:
        self.link, self.seat, self.inc = link, seat, 0
        self.dialled = bool(seat)
        self.out: list[Message] = []
        self.told_no = False
        self._late: Alarm | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        core = self.link.core
        core.begin_turn()
        if self.dialled:
            self.put([self.link.hello()])
            self.link.made(self)
        else:
            self.link.open.add(self)
            self._late = core.alarms.at(core.clock.now + GREETED_WITHIN, self._not_greeted)

    def _not_greeted(self) -> None:
        self.link.count("fleet links: " + EndReason.READ_TIMEOUT.value)
        self.transport.abortConnection()

    def put(self, messages: list[Message]) -> None:
        frame: list[Message] = []
        size = 0
        for message in messages:
            more = len(message.body) if isinstance(message, ComponentMessage) else 0
            if len(frame) >= FRAME or size + more > MAX_FRAME_BYTES // 2:
                self.sendString(encode(frame))  # type: ignore[no-untyped-call]
                frame, size = [], 0
            frame.append(message)
            size += more
        if frame:
            self.sendString(encode(frame))  # type: ignore[no-untyped-call]

    def say(self, message: Message) -> None:
        self.out.append(message)
        self.link.flush_soon(self)

    def flush(self) -> None:
        out, self.out = self.out, []
        if (
            len(getattr(self.transport, "dataBuffer", b"")) + sum(map(len, self.transport._tempDataBuffer))
            > MOST_UNSENT
        ):
            self.link.count("fleet links: " + EndReason.SLOW_READER.value)
            return
        self.put(out)

    def stringReceived(self, string: bytes) -> None:
        core = self.link.core
        core.begin_turn()
        try:
            messages = decode(string)
        except ValueError as exc:
            log.warning("fleet: a peer sent what can't be read: %s", exc)
            self.link.count("fleet links: " + EndReason.FRAMING_LOST.value)
            self.transport.abortConnection()
            return
        for message in messages:
            if isinstance(message, Hello):
                if (why := self.link.greeted(self, message)) is not None:
                    log.warning("fleet: %s of %s refused: %s", message.seat, message.fleet, why)
                    self.link.count("fleet links: refused")
                    self.put([HandshakeRejected(why)])
                    self.transport.loseConnection()
                    return
                if self._late is not None:
                    self._late.cancel()
                    self._late = None
            elif isinstance(message, HandshakeRejected):
                self.link.refused(self, message.reason)
                return
            elif self.inc:
                self.link.heard(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self.link.count("fleet links: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        if self._late is not None:
            self._late.cancel()
        self.link.core.begin_turn()
        self.link.hung_up(self)


class Dial(ClientFactory):
    """The way to one seat: made when there is something to say, made anew when it breaks."""

    noisy = False

    def __init__(self, link: Link, seat: str, address: tuple[str, int]) -> None:
        self.link, self.seat, self.address = link, seat, address
        self.peer: Peer | None = None
        self.waiting: list[Message] = []
        self._dialling = False
        self._not_before, self._pause = 0, DIAL_AGAIN

    def say(self, message: Message) -> None:
        if self.peer is not None:
            return self.peer.say(message)
        if len(self.waiting) < MOST_WAITING:
            self.waiting.append(message)
        self.dial()

    def dial(self) -> None:
        if self._dialling or self.link.closed:
            return
        self._dialling = True
        wait = self._not_before - self.link.core.clock.now
        if wait > 0:  # what is said meanwhile must not wait until something else is said
            self.link.reactor.callLater(wait / 1e6, self._dial_now)
        else:
            self._dial_now()

    def _dial_now(self) -> None:
        if not self.link.closed:
            self.link.reactor.connectTCP(*self.address, self, timeout=1)

    def buildProtocol(self, addr: object) -> Peer:
        return Peer(self.link, self.seat)

    def up(self, peer: Peer) -> None:
        self._dialling, self.peer, self._pause = False, peer, DIAL_AGAIN
        waiting, self.waiting = self.waiting, []
        for message in waiting:
            peer.say(message)

    def down(self) -> None:
        self.peer = None
        self.dial()  # at once: where nothing listens any more, that is known soon; and where a later process does
        self._later()

    def _later(self) -> None:
        self._not_before = self.link.core.clock.now + self._pause
        self._pause = min(DIAL_MOST, self._pause * 2)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.link.core.begin_turn()
        self._dialling = False
        self.waiting.clear()
        self._later()
        code = getattr(reason.value, "osError", None)
        self.link.unreached(self.seat, refused=code == 111)


class PeerFactory(Factory):
    """Listens for the other runners of the fleet."""

    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, addr: object) -> Peer:
        return Peer(self.link)
