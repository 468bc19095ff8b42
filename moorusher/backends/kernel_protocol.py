"""Framing of a connection to the kernel. `kernel_session` handles the messages."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from .errors import UnreadableMessageError
from .kernel_messages import Command, KernelMessage, decode_message, encode_command

log = logging.getLogger("moorusher")

MAX_LOGGED_BYTES = 200  # Maximum number of bytes of a kernel line that are logged.


class KernelConnectionListener(Protocol):
    """Receives the events of connections.

    Attributes:
        connection: The current connection. Messages of other connections are dropped.
        message_received: Handler for messages of the current connection.
    """

    connection: KernelProtocol | None
    message_received: Callable[[KernelMessage], None]

    def connection_made(self, connection: KernelProtocol) -> None:
        """Called when a connection was established."""

    def data_received(self, connection: KernelProtocol) -> None:
        """Called when any data has arrived."""

    def line_unreadable(self, connection: KernelProtocol, line: bytes) -> None:
        """Called when a line is not a valid message."""

    def line_too_long(self) -> None:
        """Called when a line is too long, before its connection is aborted."""

    def connection_lost(self, connection: KernelProtocol, reason: str) -> None:
        """Called when a connection has closed."""


class KernelProtocol(LineOnlyReceiver):
    """A connection to the kernel."""

    transport: Any  # mypy does not support zope interfaces.
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, listener: KernelConnectionListener) -> None:
        self._listener = listener

    def connectionMade(self) -> None:
        """Notify the listener of the new connection."""
        self.transport.setTcpNoDelay(True)
        self._listener.connection_made(self)

    def send(self, command: Command) -> None:
        """Write a command."""
        self.transport.write(encode_command(command))

    def dataReceived(self, data: bytes) -> None:
        """Notify the listener, and split the data into lines."""
        self._listener.data_received(self)
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Decode a message and pass it to the listener."""
        if self._listener.connection is not self:
            return  # This connection was replaced.
        try:
            message = decode_message(line)
        except UnreadableMessageError:
            self._listener.line_unreadable(self, line)
            return
        try:
            self._listener.message_received(message)
        except Exception:  # An internal error in handling one message must not stop the process.
            log.exception("handling of a kernel message failed: line=%r", line[:MAX_LOGGED_BYTES])

    def lineLengthExceeded(self, line: bytes) -> None:
        """Abort the connection: the start of the next message is unknown."""
        self._listener.line_too_long()
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the listener of the closed connection."""
        self._listener.connection_lost(self, reason.getErrorMessage() if reason is not None else "")
