"""Reads what the system already holds for a connection, before that connection is closed.

A close over unread bytes resets the connection, and a request among them would never get its answer.
"""

from __future__ import annotations

from typing import Any

READ_BYTES = 65_536  # in one read
MAX_READS = 4  # a client that sends without end must not keep its connection open by that


def read_unread_input(transport: Any) -> None:
    """Pass to the protocol all that has arrived. An end of the stream or an error is left for the loop to find."""
    for _ in range(MAX_READS):
        connected = getattr(transport, "socket", None)  # Twisted takes it away with the connection
        if connected is None or transport.disconnecting:
            return
        try:
            data = connected.recv(READ_BYTES)
        except OSError:
            return
        if not data:
            return
        transport.protocol.dataReceived(data)
