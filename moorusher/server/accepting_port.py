"""A Twisted listening port that leaves connections in the backlog while there is no capacity for them."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable
from errno import EMFILE, errorcode
from typing import Any

from twisted.internet import tcp

from ..rate_limited_log import RateLimitedLog
from ..transient_errors import NO_CAPACITY
from .sockets import MAX_BACKLOG

ACCEPT_RETRY_S = 0.01
EVICTION_INTERVAL_S = 0.1

log = logging.getLogger("moorusher")
rate_limited_log = RateLimitedLog(log)

_TcpPort: Any = tcp.Port  # Twisted's classes have no type annotations


class AcceptingPort(_TcpPort):  # type: ignore[misc]
    """A Twisted listening port with its own accept loop.

    Handles a burst of connections while the process or the system is out of capacity. In that case Twisted's accept
    loop closes the connections that it accepts, and their requests are lost, or it polls the socket without a pause.
    This port leaves connections in the backlog until there is capacity, and evicts an idle connection when the
    process has used up its descriptors. The factory may offer `is_full()`, `reserve_slot()` and `evict_idle()`
    (`frontends/limited_protocol.py`).

    Attributes:
        max_accepts_per_turn: Maximum number of connections accepted in one turn of the event loop.
    """

    # Bounded, so that a burst of connections can't arrive faster than evicted connections close.
    max_accepts_per_turn = 1
    _closing = False  # Whether only the present backlog is accepted before the port closes.
    _paused = False  # Whether the owner has stopped accepting, until `startReading`.
    # Monotonic time of the last eviction that freed a descriptor; 0 after a successful accept.
    _evicted_at_s = 0.0
    _count: Callable[[str], None]  # Increments the counter with the given name.

    @classmethod
    def from_socket(
        cls,
        reactor: Any,
        listening: socket.socket,
        factory: Any,
        max_accepts_per_turn: int,
        count: Callable[[str], None],
    ) -> AcceptingPort:
        """Create a port that accepts connections on the socket `listening`.

        :param count: increments the counter with the given name.
        """
        port: AcceptingPort = cls._fromListeningDescriptor(
            reactor, listening.fileno(), listening.family, factory
        )
        port.max_accepts_per_turn = max_accepts_per_turn
        port._count = count
        port.startListening()
        return port

    def doRead(self) -> None:
        """Accept connections from the backlog, within the limits on connections."""
        accepted_count = 0
        for _ in range(self.max_accepts_per_turn):
            if not self._closing and self._is_full():
                if accepted_count:
                    # The reactor calls again if more connections are waiting. If none is, nothing is evicted.
                    return
                if not self.factory.reserve_slot():
                    return self._wait_for_connection_slot()
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in NO_CAPACITY:
                    return self._wait_for_system_capacity(error)
                self._accept_failed(error)  # The error affects only this connection.
            else:
                self._evicted_at_s = 0.0
                accepted_count += 1
                self._start_connection_or_close(accepted, address)
        if not accepted_count and not self._closing:
            self._pause_accepting()  # Every accept failed, and without a pause the event loop would spin.

    def _start_connection_or_close(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """Start a connection, or close it on an exception; Twisted's loop would close the listening socket."""
        try:
            self._start_connection(accepted, address)
        except Exception:
            log.exception("failed to start an accepted connection")
            accepted.close()

    def _start_connection(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno - 1, self.reactor)
        protocol.makeConnection(transport)

    def _accept_failed(self, error: OSError) -> None:
        self._count("accepts that failed")
        name = errorcode.get(error.errno or 0, "?")
        rate_limited_log.write(
            logging.WARNING, f"accept {name}", "a connection could not be accepted: %s", name
        )

    def _is_full(self) -> bool:
        """Return whether all connection slots of the frontend are in use; some frontends have no such limit."""
        is_full = getattr(self.factory, "is_full", None)
        return is_full is not None and bool(is_full())

    def _wait_for_connection_slot(self) -> None:
        """Pause accepting while every connection has an open request."""
        # A connection that waits in the backlog may still be served in time. Closing it would lose its request.
        self._count("accepts that waited for a place")
        rate_limited_log.write(
            logging.WARNING,
            "place",
            "all connection slots have open requests: new connections wait in the backlog; raise limits.sockets",
        )
        self._pause_accepting()

    def _wait_for_system_capacity(self, error: OSError) -> None:
        """Pause accepting while there is no descriptor or no memory for a connection."""
        self._count("accepts without a descriptor")
        name = errorcode.get(error.errno or 0, "?")
        rate_limited_log.write(
            logging.WARNING,
            f"accept {name}",
            "no capacity to accept a connection: %s; raise limits.sockets or the system's limit on open files",
            name,
        )
        if error.errno == EMFILE:
            self._evict_idle_connection()
        if not self._closing:
            self._pause_accepting()

    def _evict_idle_connection(self) -> None:
        """Evict an idle connection to free a descriptor of this process.

        Until an accept succeeds, evicts at most one connection per `EVICTION_INTERVAL_S`.
        """
        evict_idle = getattr(self.factory, "evict_idle", None)
        now = time.monotonic()
        if evict_idle is not None and now - self._evicted_at_s >= EVICTION_INTERVAL_S:
            self._evicted_at_s = now
            evict_idle()

    def _pause_accepting(self) -> None:
        super().stopReading()
        self.reactor.callLater(ACCEPT_RETRY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.connected and not self._paused:
            super().startReading()

    def stopReading(self) -> None:
        """Stop accepting until `startReading`."""
        self._paused = True
        super().stopReading()

    def startReading(self) -> None:
        """Resume accepting."""
        self._paused = False
        super().startReading()

    def accept_backlog_and_close(self) -> None:
        """Accept the whole backlog, then close the port."""
        # Closing it at once would reset the connections in the backlog and lose their requests.
        self.max_accepts_per_turn = MAX_BACKLOG
        self._closing = True
        self.doRead()
        self.stopListening()

    def connectionLost(self, reason: Any) -> None:
        """Accept connections that have arrived since `accept_backlog_and_close`: Twisted closes one turn later."""
        if self._closing:
            self.doRead()
        super().connectionLost(reason)
