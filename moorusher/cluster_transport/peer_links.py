"""All connections of one runner to the others: who is accepted, and by which connection a message goes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ..config.fleet import FleetConfig
from ..core.request_engine import RequestEngine
from ..replication.messages import PROTOCOL_VERSION, Hello, Message
from ..replication.node import Node
from .peers import PeerConnection, PeerDialer

log = logging.getLogger("moorusher")


class PeerLinks:
    """The `peers.PeerOwner` of a node.

    Attributes:
        core: has the clock, the alarms and the counters.
        reactor: the loop.
        closed: `bool`, nothing more is connected.
        incoming: connections that others have made.
    """

    def __init__(
        self, reactor: Any, core: RequestEngine, config: FleetConfig, digest: str, node: Node
    ) -> None:
        """`digest`: of the seats in the settings, which all members must have alike."""
        self.reactor = reactor
        self.core = core
        self.closed = False
        self.incoming: set[PeerConnection] = set()
        self._cluster = config.name
        self._digest = digest
        self._node = node
        self._dialers = {
            seat.name: PeerDialer(self, seat.name, seat.address)
            for seat in config.seats
            if seat.name != node.me
        }
        self._current_peer: PeerConnection | None = None  # whose message is being handled
        self._to_flush: list[PeerConnection] = []

    def set_addresses(self, config: FleetConfig) -> None:
        """New addresses of the same seats, for the next connections."""
        for seat in config.seats:
            if seat.name in self._dialers:
                self._dialers[seat.name].address = seat.address

    def address_of(self, seat: str) -> tuple[str, int]:
        """Where the next connection to that seat goes."""
        return self._dialers[seat].address

    def close(self) -> None:
        """Sends what has gathered, and ends all connections."""
        self.flush()
        self.closed = True
        for dialer in self._dialers.values():
            if dialer.peer is not None:
                dialer.peer.transport.loseConnection()
        for peer in list(self.incoming):
            peer.transport.loseConnection()

    # ---- the handshake ----

    def hello(self) -> Hello:
        """This process's greeting."""
        owner = self._node.owner
        return Hello(PROTOCOL_VERSION, self._cluster, self._digest, owner.seat, owner.incarnation)

    def check_hello(self, peer: PeerConnection, hello: Hello) -> str | None:
        """Takes the peer for a member of the cluster, or returns the reason why not."""
        reason = self._why_foreign(peer, hello)
        if reason is not None:
            return reason
        if not peer.is_outgoing:
            peer.send_now([self.hello()])
        peer.seat = hello.seat
        peer.incarnation = hello.incarnation
        outgoing = self._dialers[hello.seat].peer
        if outgoing is not None and 0 < outgoing.incarnation < hello.incarnation:
            # Another process has the seat by now: what is sent is for that one.
            outgoing.transport.loseConnection()
        self._node.detector.record_contact(hello.seat, hello.incarnation)
        return None

    def _why_foreign(self, peer: PeerConnection, hello: Hello) -> str | None:
        if hello.version != PROTOCOL_VERSION:
            return f"version {hello.version} of the messages, and {PROTOCOL_VERSION} is spoken here"
        if hello.fleet != self._cluster:
            return f"another fleet, {hello.fleet!r}"
        if hello.seats_digest != self._digest:
            return "other seats in its file"
        is_own_seat = hello.seat == self._node.me and not peer.is_outgoing
        if hello.seat not in self._node.detector.by_seat or is_own_seat:
            return f"no seat for it, {hello.seat!r}"
        if peer.is_outgoing and hello.seat != peer.seat:
            return f"{hello.seat!r} answers where {peer.seat!r} should"
        return None

    def rejected_by_peer(self, peer: PeerConnection, reason: str) -> None:
        """The peer does not take this process for a member."""
        log.error("fleet: %s does not take this runner for one of its fleet: %s", peer.seat, reason)
        self.count("fleet links: refused by another")
        peer.rejected = True
        peer.transport.loseConnection()

    # ---- connections ----

    def connected(self, peer: PeerConnection) -> None:
        """A connection to a peer was made."""
        self._dialers[peer.seat].connected(peer)

    def disconnected(self, peer: PeerConnection) -> None:
        """A connection has ended, whoever made it."""
        self.incoming.discard(peer)
        if peer.is_outgoing and self._dialers[peer.seat].peer is peer:
            if not peer.incarnation and not peer.rejected:
                # Accepted and dropped at once: no process of the cluster is behind that address.
                self.connect_failed(peer.seat, refused=True)
            self._dialers[peer.seat].disconnected()

    def connect_failed(self, seat: str, refused: bool) -> None:
        """No connection could be made. `refused`: nothing listens at the address."""
        if not self.closed:
            self._node.detector.suspect(seat, refused)

    # ---- messages ----

    def receive(self, peer: PeerConnection, message: Message) -> None:
        """A message of a peer that has greeted."""
        self._current_peer = peer
        try:
            self._node.receive(peer.seat, peer.incarnation, message)
        except Exception:  # a fault over one message must end neither the connection nor the program
            log.exception("fleet: a message was not handled: seat=%s message=%s", peer.seat, message)
            self.count("faults")
        finally:
            self._current_peer = None

    def send(self, seat: str, message: Message) -> None:
        """To whichever process has the seat."""
        if seat in self._dialers:
            self._dialers[seat].send(message)

    def reply(self, seat: str, message: Message) -> None:
        """To the process whose message is being handled."""
        peer = self._current_peer
        if peer is not None and peer.seat == seat:
            peer.send(message)
        else:
            self.send(seat, message)

    def replier(self, seat: str) -> Callable[[Message], None]:
        """`reply`, for later."""
        peer = self._current_peer
        if peer is not None and peer.seat == seat:
            return peer.send
        return lambda message: self.send(seat, message)

    def flush_soon(self, peer: PeerConnection) -> None:
        """The peer has messages to send: all of this turn go in one frame."""
        if not self._to_flush:
            self.reactor.callLater(0, self.flush)
        self._to_flush.append(peer)

    def flush(self) -> None:
        """Sends what has gathered."""
        peers = self._to_flush
        self._to_flush = []
        for peer in peers:
            peer.flush()

    def count(self, name: str) -> None:
        """One more in the counter of that name."""
        self.core.counters.add(name)
