"""A listening port of Twisted that keeps connections waiting where there is no capacity for them."""

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
limited = RateLimitedLog(log)

_TcpPort: Any = tcp.Port  # Twisted's classes carry no types


class AcceptingPort(_TcpPort):  # type: ignore[misc]
    """Twisted's listening port with an accept loop of its own.

    Guards against a burst of connections while the process or the system is out of capacity. Twisted's own loop then
    closes what it accepts, requests included, or polls the socket without a pause. Here connections stay in the
    backlog until there is capacity, and an idle connection is evicted where the process's own descriptors are used up.

    `max_accepts_per_turn` bounds one turn of the loop, so that a burst can't come in faster than evicted connections
    close. The factory may offer `is_full()`, `reserve_slot()` and `evict_idle()` (`frontends/limited_protocol.py`).
    """

    max_accepts_per_turn = 1
    _closing = False  # accepts only what is in the backlog already, then closes
    _paused = False  # by its owner, until `startReading`
    _evicted_at_s = (
        0.0  # monotonic time of the last eviction for a descriptor; 0 once an accept has succeeded
    )
    _count: Callable[[str], None]  # counts one event under a name

    @classmethod
    def of(
        cls,
        reactor: Any,
        listening: socket.socket,
        factory: Any,
        max_accepts_per_turn: int,
        count: Callable[[str], None],
    ) -> AcceptingPort:
        """Accept on this socket, at most so many connections in one turn of the loop."""
        port: AcceptingPort = cls._fromListeningDescriptor(
            reactor, listening.fileno(), listening.family, factory
        )
        port.max_accepts_per_turn = max_accepts_per_turn
        port._count = count
        port.startListening()
        return port

    def doRead(self) -> None:
        """Accept connections from the backlog, as far as the bounds allow."""
        accepted_count = 0
        for _ in range(self.max_accepts_per_turn):
            if not self._closing and self._is_full():
                if accepted_count:
                    return  # the loop comes back if more are waiting: none is evicted in vain
                if not self.factory.reserve_slot():
                    return self._wait_for_connection_slot()
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in NO_CAPACITY:
                    return self._wait_for_system_capacity(error)
                self._accept_failed(error)  # concerns that one connection alone
            else:
                self._evicted_at_s = 0.0
                accepted_count += 1
                self._begin_connection_safely(accepted, address)
        if not accepted_count and not self._closing:
            self._pause_accepting()  # every accept failed: without a pause the loop would spin

    def _begin_connection_safely(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """Begin a connection; an exception in it must not close the listening socket, as Twisted's loop does."""
        try:
            self._begin_connection(accepted, address)
        except Exception:
            log.exception("a connection could not be begun")
            accepted.close()

    def _begin_connection(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
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
        limited.write(logging.WARNING, f"accept {name}", "a connection could not be accepted: %s", name)

    def _is_full(self) -> bool:
        """Whether all connection slots of the frontend are taken; some frontends have no such bound."""
        is_full = getattr(self.factory, "is_full", None)
        return is_full is not None and bool(is_full())

    def _wait_for_connection_slot(self) -> None:
        """Every connection has an open request: one in the backlog may be served in time; closed, it is lost."""
        self._count("accepts that waited for a place")
        limited.write(
            logging.WARNING,
            "place",
            "all places for connections have open requests: new ones wait; raise limits.sockets",
        )
        self._pause_accepting()

    def _wait_for_system_capacity(self, error: OSError) -> None:
        """The system has no descriptor or no memory for a connection."""
        self._count("accepts without a descriptor")
        name = errorcode.get(error.errno or 0, "?")
        limited.write(
            logging.WARNING,
            f"accept {name}",
            "no room to accept a connection: %s; raise limits.sockets or the system's limit on open files",
            name,
        )
        if error.errno == EMFILE:
            self._evict_idle_connection()
        if not self._closing:
            self._pause_accepting()

    def _evict_idle_connection(self) -> None:
        """Free one of the process's own descriptors, at most one in `EVICTION_INTERVAL_S` where that does not help."""
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
        """Accept nothing until `startReading`."""
        self._paused = True
        super().stopReading()

    def startReading(self) -> None:
        """Accept again."""
        self._paused = False
        super().startReading()

    def accept_last(self) -> None:
        """Accept the whole backlog, then close: connections left there would be reset, their requests lost."""
        self.max_accepts_per_turn = MAX_BACKLOG
        self._closing = True
        self.doRead()
        self.stopListening()

    def connectionLost(self, reason: Any) -> None:
        """Accept what has reached the backlog since `accept_last`: Twisted closes in a later turn."""
        if self._closing:
            self.doRead()
        super().connectionLost(reason)
