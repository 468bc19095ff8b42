"""Framing on one connection to the kernel: lines in, commands out. What they mean is decided in `kernel_session`."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from .errors import UnreadableMessageError
from .kernel_messages import Command, KernelMessage, decode_message, encode_command

log = logging.getLogger("moorusher")

MAX_LOGGED_BYTES = 200  # of a line


class KernelConnectionListener(Protocol):
    """What takes the events of connections.

    connection: the present one; messages of others are dropped.
    message_received: takes each message of the present connection.
    """

    connection: KernelProtocol | None
    message_received: Callable[[KernelMessage], None]

    def connection_made(self, connection: KernelProtocol) -> None:
        """A connection was made."""

    def data_received(self, connection: KernelProtocol) -> None:
        """Data have come, whatever they are."""

    def line_unreadable(self, connection: KernelProtocol, line: bytes) -> None:
        """A line was no message."""

    def line_too_long(self) -> None:
        """A line was beyond the bound; its connection is dropped."""

    def connection_lost(self, connection: KernelProtocol, reason: str) -> None:
        """A connection has ended."""


class KernelProtocol(LineOnlyReceiver):
    """One connection to the kernel."""

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, listener: KernelConnectionListener) -> None:
        """The listener is told of everything that happens on the connection."""
        self._listener = listener

    def connectionMade(self) -> None:
        """Report the connection."""
        self.transport.setTcpNoDelay(True)
        self._listener.connection_made(self)

    def send(self, command: Command) -> None:
        """Write a command."""
        self.transport.write(encode_command(command))

    def dataReceived(self, data: bytes) -> None:
        """Report that the connection is alive, and split the data into lines."""
        self._listener.data_received(self)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Decode a message and hand it on."""
        if self._listener.connection is not self:
            return  # a newer connection has taken over
        try:
            message = decode_message(line)
        except UnreadableMessageError:
            self._listener.line_unreadable(self, line)
            return
        try:
            self._listener.message_received(message)
        except Exception:  # a fault of ours over one message must not end the program
            log.exception("kernel message failed: line=%r", line[:MAX_LOGGED_BYTES])

    def lineLengthExceeded(self, line: bytes) -> None:
        """Drop the connection: nothing tells where the next message begins."""
        self._listener.line_too_long()
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the loss."""
        self._listener.connection_lost(self, reason.getErrorMessage() if reason is not None else "")
