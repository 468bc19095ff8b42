"""How many connections each part of a runner may have open, from its limit on descriptors."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RESERVED_DESCRIPTORS = (
    160  # for everything but clients: backends, listening sockets, console, interpreter
)
MIN_RESERVED_DESCRIPTORS = 40
FIXED_DESCRIPTORS = (
    14  # of the reserved: interpreter, event loop, listening sockets, kernel and announce service
)
MIN_CLIENT_CONNECTIONS = 16
MIN_CONSOLE_CONNECTIONS = 8
IDLE_BACKEND_SHARE = 4  # one in so many reserved descriptors is for backend connections kept without a call
CONSOLE_SHARE = 6  # one in so many reserved descriptors is for the operators' console


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Numbers of connections.

    `client_connections`: for each frontend that takes requests. `reserved`: descriptors for everything else.
    `console`: connections of the operators' console, whether or not it listens.
    """

    client_connections: int
    reserved: int

    @classmethod
    def of(cls, descriptors: int, frontends: int) -> ConnectionBudget:
        """Divide the descriptors of a process among the frontends that take requests and everything else.

        Clients open at most half of the descriptors that a runner is given, so half are theirs in any case.
        """
        reserved = min(
            MAX_RESERVED_DESCRIPTORS, max(descriptors // 3, MIN_RESERVED_DESCRIPTORS), descriptors // 2
        )
        client_connections = max(MIN_CLIENT_CONNECTIONS, descriptors - reserved) // frontends
        return cls(client_connections, reserved)

    @property
    def console(self) -> int:
        """Connections of the operators' console."""
        return max(MIN_CONSOLE_CONNECTIONS, self.reserved // CONSOLE_SHARE)

    def idle_backend_connections(self, maximum: int) -> int:
        """Backend connections that may be kept open without a call, at most `maximum`."""
        return min(maximum, self.reserved // IDLE_BACKEND_SHARE)

    def open_backend_connections(self, idle: int, console_listens: bool) -> int:
        """Backend connections with a call, beside so many idle ones."""
        console = self.console if console_listens else 0
        return max(1, self.reserved - FIXED_DESCRIPTORS - console - idle)
