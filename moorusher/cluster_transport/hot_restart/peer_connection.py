"""The connection to the other process of this runner: framing, handed-over sockets, and keys sent one by one."""

from __future__ import annotations

import logging
import os
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any, Protocol

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from ...core.idempotency_keys import IdempotencyKey, KeyEntry
from ...core.outcomes import EndReason
from ...core.request_engine import RequestEngine
from . import frames

log = logging.getLogger("moorusher")

KEYS_PER_TURN = 64
CREDENTIALS = struct.Struct("3i")  # pid, user, group, as SO_PEERCRED has them


def close_descriptors(descriptors: list[int]) -> None:
    """Close sockets that were handed over and are not used."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


class ConnectionOwner(Protocol):
    """Who has the connections to other processes of this runner."""

    core: RequestEngine

    def connected(self, peer: PeerConnection) -> None:
        """A connection is made, by either side."""

    def received(self, peer: PeerConnection, frame: frames.Frame) -> None:
        """A frame was read. Raises ValueError, KeyError or TypeError where it is no message."""

    def lost(self, peer: PeerConnection) -> None:
        """The connection is lost, and this side has not closed it."""

    def call_soon(self, action: Callable[[], None]) -> None:
        """Have the event loop call a function once."""


@implementer(IFileDescriptorReceiver)
class PeerConnection(Int32StringReceiver):
    """One connection; the key claims see it as the other process (`key_claims.ClaimPeer`).

    Attributes:
        owner: who is told of what comes.
        accepted: the other process has connected to this one.
        received_descriptors: sockets that were handed over and not taken yet.
        closed: nothing is sent or read any more.
    """

    transport: Any
    MAX_LENGTH = frames.MAX_FRAME_BYTES

    def __init__(self, owner: ConnectionOwner, accepted: bool) -> None:
        self.owner = owner
        self.accepted = accepted
        self.received_descriptors: list[int] = []
        self.closed = False
        self._key_sender: _KeySender | None = None

    # ---- the connection ----

    def connectionMade(self) -> None:
        """Turn away a process of another user: whoever has the sockets could answer in this runner's name."""
        credentials = self.transport.socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size
        )
        _, user, _ = CREDENTIALS.unpack(credentials)
        if user != os.getuid():
            self.closed = True
            self.transport.abortConnection()
            return
        self.owner.connected(self)

    def fileDescriptorReceived(self, descriptor: int) -> None:
        """A socket is handed over; the frame that names it follows."""
        self.received_descriptors.append(descriptor)

    def stringReceived(self, string: bytes) -> None:
        """A whole frame was read. One that makes no sense is logged and passed over."""
        if self.closed:
            return
        core = self.owner.core
        core.begin_turn()
        try:
            self.owner.received(self, frames.split(string))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("unreadable frame of the other process: frame=%r reason=%s", string[:200], error)
            core.counters.add("succession: " + EndReason.FRAMING_LOST.value)

    def lengthLimitExceeded(self, length: int) -> None:
        """What follows can't be framed any more."""
        self.owner.core.counters.add("succession: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Nothing more comes; sockets that nobody has taken are closed."""
        self._stop_sending_keys()
        close_descriptors(self.received_descriptors)
        self.received_descriptors = []
        if not self.closed:
            self.closed = True
            self.owner.lost(self)

    def send(self, message: frames.Message) -> None:
        """Send a message, unless the connection is closed."""
        if not self.closed:
            self.sendString(frames.encode(message))  # type: ignore[no-untyped-call]

    def send_descriptor(self, descriptor: int) -> None:
        """Hand over a socket."""
        self.transport.sendFileDescriptor(descriptor)

    def close(self) -> None:
        """Close the connection; its owner is not told."""
        self.closed = True
        self.transport.loseConnection()

    def say_bye(self) -> None:
        """Tell the other process that this one goes on without it, and close."""
        self.send(frames.Bye())
        self._stop_sending_keys()
        self.close()

    def _stop_sending_keys(self) -> None:
        if self._key_sender is not None:
            self._key_sender.stopProducing()

    def send_keys(self, entries: Iterator[KeyEntry]) -> None:
        """Send these keys, then `KeysSynced`, as fast as the other side reads."""
        self._key_sender = _KeySender(self, entries)
        self.transport.registerProducer(self._key_sender, True)
        self._key_sender.send_some()

    # ---- the key claims' view of the other process ----

    def claim(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """This process wants to run the key."""
        self.send(frames.Claim(serial, key, body_digest, expires_us))

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """The claimed key is the other process's."""
        self.send(frames.ClaimGranted(serial, key))

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """The claimed key belongs to an attempt here."""
        self.send(frames.KeyInUse(serial, key, body_digest, expires_us))

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """The claimed key can't be noted here."""
        self.send(frames.KeyTableFull(serial, key))

    def key_released(self, key: IdempotencyKey) -> None:
        """The attempt here never ran."""
        self.send(frames.KeyReleased(key))

    def key_finished(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None
    ) -> None:
        """The run here is over."""
        self.send(frames.KeyFinished(key, body_digest, expires_us, result))


class _KeySender:
    """Sends keys one by one, and pauses while the other side reads too slowly (an IPushProducer)."""

    def __init__(self, connection: PeerConnection, entries: Iterator[KeyEntry]) -> None:
        self._connection = connection
        self._entries: Iterator[KeyEntry] | None = entries
        self._paused = False

    def pauseProducing(self) -> None:
        """The other side reads too slowly."""
        self._paused = True

    def resumeProducing(self) -> None:
        """The other side has caught up."""
        self._paused = False
        self.send_some()

    def stopProducing(self) -> None:
        """Nobody reads any more."""
        self._entries = None

    def send_some(self) -> None:
        """Send as many keys as one turn may take, and the others in later turns."""
        connection = self._connection
        for _ in range(KEYS_PER_TURN):
            if self._entries is None or self._paused or connection.closed:
                return
            entry = next(self._entries, None)
            if entry is None:
                self._entries = None
                connection.transport.unregisterProducer()
                connection.send(frames.KeysSynced())
                return
            connection.send(
                frames.KeyRecord(entry.key, entry.body_digest, entry.expires_us, entry.finished, entry.result)
            )
        connection.owner.call_soon(self.send_some)
