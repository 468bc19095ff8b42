"""The connection to the other process of this runner: framing, passed sockets, and the transfer of the key table."""

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
CREDENTIALS = struct.Struct("3i")  # pid, uid and gid: struct ucred, as SO_PEERCRED returns it


def close_descriptors(descriptors: list[int]) -> None:
    """Close received file descriptors that are not needed."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


class ConnectionOwner(Protocol):
    """Receives the events of connections to other processes of this runner."""

    core: RequestEngine

    def connected(self, peer: PeerConnection) -> None:
        """Called when a connection is established by either side."""

    def received(self, peer: PeerConnection, frame: frames.Frame) -> None:
        """Called when a frame was read.

        :raises ValueError, KeyError, TypeError: The frame is not a valid message.
        """

    def lost(self, peer: PeerConnection) -> None:
        """Called when the connection is lost, unless this side has closed it."""

    def call_soon(self, action: Callable[[], None]) -> None:
        """Schedule one call of a function in the next turn of the event loop."""


@implementer(IFileDescriptorReceiver)
class PeerConnection(Int32StringReceiver):
    """A connection to the other process. The request engine claims keys through it (`key_claims.ClaimPeer`).

    Attributes:
        accepted: Whether the other process made the connection.
        received_descriptors: Received sockets that no `Welcome` has named yet.
        closed: Whether the connection is closed, so that frames are neither sent nor handled.
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
        """Reject a process of another user, since a process with the sockets can answer in the runner's name."""
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
        """Store a received socket. The `Welcome` frame that labels it follows."""
        self.received_descriptors.append(descriptor)

    def stringReceived(self, string: bytes) -> None:
        """Handle a complete frame. One that can't be decoded is logged, counted and ignored."""
        if self.closed:
            return
        core = self.owner.core
        core.start_turn()
        try:
            self.owner.received(self, frames.split(string))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.error(
                "hot restart: unreadable frame of the other process: frame=%r reason=%s", string[:200], error
            )
            core.counters.add("succession: " + EndReason.FRAMING_LOST.value)

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection, as later frames can't be separated any more."""
        self.owner.core.counters.add("succession: " + EndReason.LINE_TOO_LONG.value)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Close the received sockets that are not used, and notify the owner unless this side closed."""
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
        """Pass a socket to the other process."""
        self.transport.sendFileDescriptor(descriptor)

    def close(self) -> None:
        """Close the connection without notifying its owner."""
        self.closed = True
        self.transport.loseConnection()

    def disconnect(self) -> None:
        """Send `Bye`, so that the other process doesn't take this one for dead, and close."""
        self.send(frames.Bye())
        self._stop_sending_keys()
        self.close()

    def _stop_sending_keys(self) -> None:
        if self._key_sender is not None:
            self._key_sender.stopProducing()

    def send_keys(self, entries: Iterator[KeyEntry]) -> None:
        """Send these entries, then `KeysSynced`, as fast as the other side reads."""
        self._key_sender = _KeySender(self, entries)
        self.transport.registerProducer(self._key_sender, True)
        self._key_sender.send_some()

    # ---- key_claims.ClaimPeer ----

    def claim(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Request the key for this process."""
        self.send(frames.Claim(serial, key, body_digest, expires_us))

    def claim_granted(self, serial: int, key: IdempotencyKey) -> None:
        """Grant the key to the other process."""
        self.send(frames.ClaimGranted(serial, key))

    def key_in_use(self, serial: int, key: IdempotencyKey, body_digest: int, expires_us: int) -> None:
        """Answer that an attempt of this process has the key."""
        self.send(frames.KeyInUse(serial, key, body_digest, expires_us))

    def key_table_full(self, serial: int, key: IdempotencyKey) -> None:
        """Answer that this process's key table has no room for the key."""
        self.send(frames.KeyTableFull(serial, key))

    def key_released(self, key: IdempotencyKey) -> None:
        """Report that the attempt of this process has ended and never ran."""
        self.send(frames.KeyReleased(key))

    def key_finished(
        self, key: IdempotencyKey, body_digest: int, expires_us: int, result: bytes | None
    ) -> None:
        """Report that the run of this process has ended."""
        self.send(frames.KeyFinished(key, body_digest, expires_us, result))


class _KeySender:
    """Sends the entries of a key table, and pauses while the other side reads too slowly (an IPushProducer)."""

    def __init__(self, connection: PeerConnection, entries: Iterator[KeyEntry]) -> None:
        self._connection = connection
        self._entries: Iterator[KeyEntry] | None = entries
        self._paused = False

    def pauseProducing(self) -> None:
        """Called when the transport's buffer is full."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Called when the transport's buffer has been written."""
        self._paused = False
        self.send_some()

    def stopProducing(self) -> None:
        """Called when the connection is closed."""
        self._entries = None

    def send_some(self) -> None:
        """Send up to `KEYS_PER_TURN` entries, and schedule the rest for later turns of the event loop."""
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
