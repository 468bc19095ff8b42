"""Division of a runner's descriptors into numbers of connections for each of its parts."""

from __future__ import annotations

from dataclasses import dataclass

# Bounds of the descriptors reserved for everything but clients: backends, listening sockets, console, interpreter.
MAX_RESERVED_DESCRIPTORS = 160
MIN_RESERVED_DESCRIPTORS = 40
# Part of the reserved descriptors: interpreter, event loop, listening sockets, kernel and announce service.
FIXED_DESCRIPTORS = 14
MIN_CLIENT_CONNECTIONS = 16
MIN_CONSOLE_CONNECTIONS = 8
IDLE_BACKEND_DIVISOR = 4  # Divides the reserved descriptors: the quotient is for idle backend connections.
CONSOLE_DIVISOR = 6  # Divides the reserved descriptors: the quotient is for the operators' console.


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """Numbers of connections that the parts of a runner may have open.

    Attributes:
        client_connections: Connections of each frontend that accepts requests.
        reserved: Descriptors for everything else.
    """

    client_connections: int
    reserved: int

    @classmethod
    def from_descriptors(cls, descriptors: int, frontends: int) -> ConnectionBudget:
        """Divide the descriptors of a process among the frontends that accept requests and everything else."""
        # Clients open at most half as many connections as a runner has descriptors, so at most the other half is
        # reserved.
        reserved = min(
            MAX_RESERVED_DESCRIPTORS, max(descriptors // 3, MIN_RESERVED_DESCRIPTORS), descriptors // 2
        )
        client_connections = max(MIN_CLIENT_CONNECTIONS, descriptors - reserved) // frontends
        return cls(client_connections, reserved)

    @property
    def console(self) -> int:
        """Number of connections of the operators' console, whether or not it listens."""
        return max(MIN_CONSOLE_CONNECTIONS, self.reserved // CONSOLE_DIVISOR)

    def idle_backend_connections(self, maximum: int) -> int:
        """Return the number of backend connections that may be open without a call, at most `maximum`."""
        return min(maximum, self.reserved // IDLE_BACKEND_DIVISOR)

    def open_backend_connections(self, idle: int, console_listens: bool) -> int:
        """Return the number of backend connections that may have a call, in addition to `idle` connections."""
        console = self.console if console_listens else 0
        return max(1, self.reserved - FIXED_DESCRIPTORS - console - idle)
