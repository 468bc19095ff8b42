"""All connections of one runner to the other members: the handshake, and the choice of connection for each message."""

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
    """The connections of a node. Implements `peers.PeerOwner`, which lists the attributes."""

    def __init__(
        self, reactor: Any, core: RequestEngine, config: FleetConfig, seats_digest: str, node: Node
    ) -> None:
        """:param seats_digest: Digest of the seats in the settings, which must be equal on all members."""
        self.reactor = reactor
        self.core = core
        self.closed = False
        self.incoming: set[PeerConnection] = set()
        self._cluster = config.name
        self._seats_digest = seats_digest
        self._node = node
        self._dialers = {
            seat.name: PeerDialer(self, seat.name, seat.address)
            for seat in config.seats
            if seat.name != node.me
        }
        self._current_peer: PeerConnection | None = None  # sender of the message that is being handled
        self._to_flush: list[PeerConnection] = []

    def set_addresses(self, config: FleetConfig) -> None:
        """Set new addresses of the same seats, for future connections."""
        for seat in config.seats:
            if seat.name in self._dialers:
                self._dialers[seat.name].address = seat.address

    def address_of(self, seat: str) -> tuple[str, int]:
        """Return the address for the next connection to a seat."""
        return self._dialers[seat].address

    def close(self) -> None:
        """Send the buffered messages, and close all connections."""
        self.flush()
        self.closed = True
        for dialer in self._dialers.values():
            if dialer.peer is not None:
                dialer.peer.transport.loseConnection()
        for peer in list(self.incoming):
            peer.transport.loseConnection()

    # ---- the handshake ----

    def hello(self) -> Hello:
        """See `PeerOwner`."""
        owner = self._node.owner
        return Hello(PROTOCOL_VERSION, self._cluster, self._seats_digest, owner.seat, owner.incarnation)

    def check_hello(self, peer: PeerConnection, hello: Hello) -> str | None:
        """See `PeerOwner`."""
        reason = self._handshake_error(peer, hello)
        if reason is not None:
            return reason
        if not peer.is_outgoing:
            peer.send_now([self.hello()])
        peer.seat = hello.seat
        peer.incarnation = hello.incarnation
        if peer.is_outgoing and self._is_connected_to_later_process(hello):
            # The connection was accepted just before the other process took over.
            peer.transport.loseConnection()
            return None
        outgoing = self._dialers[hello.seat].peer
        if outgoing is not None and 0 < outgoing.incarnation < hello.incarnation:
            # A later process has the seat by now. After the reconnection, messages are sent to that process.
            outgoing.transport.loseConnection()
        self._node.detector.record_contact(hello.seat, hello.incarnation)
        return None

    def _is_connected_to_later_process(self, hello: Hello) -> bool:
        """Return whether a later process of the seat is connected to this one, so that it is alive."""
        return any(peer.seat == hello.seat and peer.incarnation > hello.incarnation for peer in self.incoming)

    def _handshake_error(self, peer: PeerConnection, hello: Hello) -> str | None:
        if hello.version != PROTOCOL_VERSION:
            return f"version {hello.version} of the messages, and {PROTOCOL_VERSION} is spoken here"
        if hello.fleet != self._cluster:
            return f"another fleet, {hello.fleet!r}"
        if hello.seats_digest != self._seats_digest:
            return "other seats in its file"
        is_own_seat = hello.seat == self._node.me and not peer.is_outgoing
        if hello.seat not in self._node.detector.by_seat or is_own_seat:
            return f"no seat for it, {hello.seat!r}"
        if peer.is_outgoing and hello.seat != peer.seat:
            return f"{hello.seat!r} answers where {peer.seat!r} should"
        return None

    def rejected_by_peer(self, peer: PeerConnection, reason: str) -> None:
        """See `PeerOwner`."""
        log.error("fleet: a peer rejected this runner's handshake: seat=%s reason=%s", peer.seat, reason)
        self.count("fleet links: refused by another")
        peer.rejected = True
        peer.transport.loseConnection()

    # ---- connections ----

    def connected(self, peer: PeerConnection) -> None:
        """See `PeerOwner`."""
        self._dialers[peer.seat].connected(peer)

    def disconnected(self, peer: PeerConnection) -> None:
        """See `PeerOwner`."""
        self.incoming.discard(peer)
        if peer.is_outgoing and self._dialers[peer.seat].peer is peer:
            if not peer.incarnation and not peer.rejected:
                # The connection was closed before a handshake: no member listens at that address.
                self.connect_failed(peer.seat, refused=True)
            self._dialers[peer.seat].disconnected()

    def connect_failed(self, seat: str, refused: bool) -> None:
        """See `PeerOwner`."""
        if not self.closed:
            self._node.detector.suspect(seat, refused)

    # ---- messages ----

    def receive(self, peer: PeerConnection, message: Message) -> None:
        """See `PeerOwner`."""
        self._current_peer = peer
        try:
            self._node.receive(peer.seat, peer.incarnation, message)
        except Exception:  # an error in handling one message must not end the connection or the program
            log.exception("fleet: handling a message failed: seat=%s message=%s", peer.seat, message)
            self.count("faults")
        finally:
            self._current_peer = None

    def send(self, seat: str, message: Message) -> None:
        """Send a message to the process that currently has the seat."""
        if seat in self._dialers:
            self._dialers[seat].send(message)

    def reply(self, seat: str, message: Message) -> None:
        """Send a message to the process whose message is being handled."""
        peer = self._current_peer
        if peer is not None and peer.seat == seat:
            peer.send(message)
        else:
            self.send(seat, message)

    def replier(self, seat: str) -> Callable[[Message], None]:
        """Return a function that can be called later, to send to the process whose message is being handled now."""
        peer = self._current_peer
        if peer is not None and peer.seat == seat:
            return peer.send
        return lambda message: self.send(seat, message)

    def schedule_flush(self, peer: PeerConnection) -> None:
        """See `PeerOwner`."""
        if not self._to_flush:
            self.reactor.callLater(0, self.flush)
        self._to_flush.append(peer)

    def flush(self) -> None:
        """Send the buffered messages."""
        peers = self._to_flush
        self._to_flush = []
        for peer in peers:
            try:
                peer.flush()
            except Exception:  # an error of one connection must not withhold the messages of the others
                log.exception("fleet: sending messages failed: seat=%s", peer.seat)
                self.count("faults")

    def count(self, name: str) -> None:
        """Add 1 to a counter."""
        self.core.counters.add(name)
