"""Ports on loopback that no other process of this machine is given by chance."""

from __future__ import annotations

import itertools
import os
import socket
from collections import deque
from contextlib import suppress

HOST = "127.0.0.1"
FIRST_PORT = 15_000
PORT_COUNT = 15_000
"""From `FIRST_PORT` on; all are below the range that the system takes the ports of outgoing connections from."""
MOST_RESERVED = 1_000
"""Reservations that this process keeps; the oldest is given up for a further one."""

_PORTS_APART = 61
"""Between the first ports of two processes whose ids follow each other."""

_ports = itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORT_COUNT))
_started: list[int] = []
_reservations: deque[socket.socket] = deque()


def free_port() -> int:
    """A port that nobody listens on and that no other test or laboratory of this machine is given.

    A server that is killed and comes back needs its port again. One that the system had chosen may be the local port
    of somebody's connection by then ("Address already in use"), and a client that dials it while nobody listens may
    reach itself. Neither happens below the range of outgoing connections.

    :raises OSError: all ports of the range are taken.
    """
    if not _started:
        _started.extend(itertools.islice(_ports, os.getpid() * _PORTS_APART % PORT_COUNT))
    for port in itertools.islice(_ports, PORT_COUNT):
        if not _reserve(port):
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # as the runner will
            probe.bind((HOST, port))
            return port
    raise OSError("no free port")


def _reserve(port: int) -> bool:
    """Whether this process alone has the port now.

    Runners share their addresses with further processes, so that two fleets that met on a port would share its clients
    without an error. An abstract socket name, gone with this process, tells others that the port is taken.
    """
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0moorusher-port-{port}")
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    if len(_reservations) > MOST_RESERVED:
        _reservations.popleft().close()
    return True
