"""Reads the input that the operating system has received for a connection, before the connection is closed."""

# A close with unread input resets the connection, and a request in that input would never be answered.

from __future__ import annotations

from typing import Any

READ_BYTES = 65_536  # Maximum size of one read.
MAX_READS = 4  # Maximum number of reads, so that a client that sends continuously can't prevent the close.


def read_unread_input(transport: Any) -> None:
    """Pass pending input to the protocol. The end of the stream and errors are left to the event loop."""
    for _ in range(MAX_READS):
        connected = getattr(transport, "socket", None)  # Twisted deletes it when the connection is closed.
        if connected is None or transport.disconnecting:
            return
        try:
            data = connected.recv(READ_BYTES)
        except OSError:
            return
        if not data:
            return
        transport.protocol.dataReceived(data)
