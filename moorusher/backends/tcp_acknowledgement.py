"""Immediate acknowledgement of what was received on a TCP connection."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any


def acknowledge_now(transport: Any) -> None:
    """Have the system acknowledge the data received so far, instead of up to 200 ms later.

    A sender with Nagle's algorithm withholds a further small write until then. Has no effect where the system lacks the
    option, or the connection is closed.
    """
    with suppress(OSError, AttributeError):
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
