"""Allocation of loopback ports that doesn't collide with other processes of this machine."""

from __future__ import annotations

import itertools
import os
import socket
from collections import deque
from contextlib import suppress

HOST = "127.0.0.1"
FIRST_PORT = 15_000
PORT_COUNT = 15_000
"""Number of ports from `FIRST_PORT`. All are below the system's range of ephemeral ports."""
MAX_RESERVATIONS = 1_000
"""Reservations that this process holds. The oldest is released when the limit is exceeded."""

_PORT_STRIDE = 61
"""Distance between the first ports of two processes with consecutive ids."""

_ports = itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORT_COUNT))
# Ports that this process skips at the start of the range. Empty before the first allocation.
_skipped: list[int] = []
_reservations: deque[socket.socket] = deque()


def free_port() -> int:
    """Return a port that is not in use and that no other test or laboratory process of this machine gets.

    A server that is killed and restarted needs its port again. An ephemeral port may have become the local port of
    another connection by then ("Address already in use"), and a client that connects while no server listens on it may
    connect to itself. Neither can happen below the ephemeral range.

    :raises OSError: all ports of the range are in use.
    """
    if not _skipped:
        _skipped.extend(itertools.islice(_ports, os.getpid() * _PORT_STRIDE % PORT_COUNT))
    for port in itertools.islice(_ports, PORT_COUNT):
        if not _reserve(port):
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # the runner sets it too
            probe.bind((HOST, port))
            return port
    raise OSError("no free port in the laboratory's range")


def _reserve(port: int) -> bool:
    """Reserve a port for this process; return whether no other process holds it.

    Runners listen with shared ports, so two fleets on the same port would share its clients without an error. The
    reservation is an abstract socket name, which the system releases when this process exits.
    """
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0moorusher-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True
