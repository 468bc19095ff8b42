"""Listening sockets and descriptor limits, by calls of the operating system without Twisted."""

from __future__ import annotations

import os
import resource
import socket
from contextlib import suppress

from ..config.section import Address

MAX_BACKLOG = 1024  # connections


def open_listening_socket(address: Address, backlog: int = MAX_BACKLOG) -> socket.socket:
    """Open a non-blocking listening socket at this address, which another process of this runner may share.

    :raises OSError: the address is in use, or the system has no capacity; the text names the address.
    """
    # Twisted's `listenTCP` is not used: it does not set SO_REUSEPORT, and closing its port shuts the socket down in
    # every process that has it open.
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        opened.bind(address)
        opened.listen(backlog)
    except OSError as error:
        opened.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from error
    return opened


def is_bound_to(descriptor: int, address: Address) -> bool:
    """Return whether a descriptor that another process has handed over is a socket bound to this address."""
    try:
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            host, port = duplicate.getsockname()[:2]
    except OSError:
        return False
    expected_host = "127.0.0.1" if address[0] == "localhost" else address[0]
    return bool(port == address[1]) and host == expected_host


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit on descriptors to `wanted` if allowed.

    :returns: the number of descriptors that this process may open, at most `wanted`.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        with suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))
            soft = min(wanted, hard)
    return min(wanted, soft)
