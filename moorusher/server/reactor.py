"""The event loop: Twisted's epoll reactor on the monotonic clock, the one timer behind `Alarms`, and listening."""

from __future__ import annotations

import logging
import os
import resource
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from errno import EMFILE, errorcode
from typing import Any

from twisted.internet import epollreactor, main, tcp

from ..rate_limited_log import LimitedLog
from ..transient_errors import NO_ROOM, persist

ACCEPT_ALL = 1024  # the longest queue that a listening socket has here
ROOM_AGAIN_S = 0.01
MAKE_WAY_AGAIN_S = 0.1
START_WITHIN_S = 15.0  # the loop has its descriptors, whatever the system is short of for a moment

log = logging.getLogger("moorusher")
limited = LimitedLog(log)


class MonotonicReactor(epollreactor.EPollReactor):
    """Twisted's own timers follow the Unix clock: a step of it would hold back or hurry every wait."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Before anything imports `twisted.internet.reactor`."""
    reactor = persist(MonotonicReactor, START_WITHIN_S)
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor


def listener(address: tuple[str, int], backlog: int = ACCEPT_ALL) -> socket.socket:
    """A listening socket that a further process of this runner may share the address of. Made here, as Twisted's own
    can't be: one that it adopts is also never shut down for all who hold it."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind(address)
        made.listen(backlog)
    except OSError as exc:
        made.close()
        raise OSError(exc.errno, f"{address[0]}:{address[1]}: {exc.strerror}") from exc
    return made


def listens_at(fd: int, address: tuple[str, int]) -> bool:
    """Does this listening socket, handed over by another process, stand at that address?"""
    try:
        with socket.socket(fileno=os.dup(fd)) as there:
            host, port = there.getsockname()[:2]
    except OSError:
        return False
    return bool(port == address[1]) and host == ("127.0.0.1" if address[0] == "localhost" else address[0])


def descriptors(wanted: int) -> int:
    """How many this process may have, of those that its configuration speaks of: the platform's own limit may be lower.
    It is raised where that is allowed."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        with suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))
            soft = min(wanted, hard)
    return min(wanted, soft)


_TcpPort: Any = tcp.Port  # Twisted's classes carry no types


class AcceptingPort(_TcpPort):  # type: ignore[misc]
    """Twisted's listening port with an accept loop of its own.

    Accepts in one turn are bounded: a crowd must neither make it long, nor come in faster than those who make way for
    it are closed. Where the system has no descriptor or no memory for one more, Twisted closes what comes, requests
    included, or looks again at once for as long as that lasts. Here it waits, and a useless connection makes way.
    """

    most = 1
    _ends = False  # nothing more is accepted than what waits already
    _paused = False  # by its owner
    _made_way = 0.0  # when a connection was given up for a descriptor, and no accept has succeeded since
    _count: Callable[[str], None]

    @classmethod
    def of(
        cls, reactor: Any, made: socket.socket, factory: Any, most: int, count: Callable[[str], None]
    ) -> AcceptingPort:
        """Accept on this socket."""
        port: AcceptingPort = cls._fromListeningDescriptor(reactor, made.fileno(), made.family, factory)
        port.most, port._count = most, count
        port.startListening()
        return port

    def doRead(self) -> None:
        """Accept what waits, as far as the bound allows."""
        let_in = 0
        for _ in range(self.most):
            if not self._ends and self._is_full():
                if let_in:
                    return  # if more wait, the loop comes back: nobody makes way for nothing
                if not self.factory.promise_place():
                    return self._wait_for_place()
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                if exc.errno in NO_ROOM:
                    return self._wait_for_room(exc)
                self._failed(exc)  # of that one connection; the next may be well
            else:
                self._made_way = 0.0
                let_in += 1
                self._let_in_safely(accepted, address)
        if not let_in and not self._ends:
            self._rest()  # each one failed: they are not looked at again without a pause

    def _let_in_safely(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        """A fault over one connection must not end the listening socket, as it would in Twisted's loop."""
        try:
            self._let_in(accepted, address)
        except Exception:
            log.exception("a connection could not be begun")
            accepted.close()

    def _let_in(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        protocol = self.factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            accepted.close()
            return
        self.sessionno += 1
        transport = self.transport(accepted, protocol, address, self, self.sessionno - 1, self.reactor)
        protocol.makeConnection(transport)

    def _failed(self, exc: OSError) -> None:
        self._count("accepts that failed")
        name = errorcode.get(exc.errno or 0, "?")
        limited.write(logging.WARNING, f"accept {name}", "a connection could not be accepted: %s", name)

    def _is_full(self) -> bool:
        """Whether all places of its front are taken; some fronts see to that themselves."""
        is_full = getattr(self.factory, "is_full", None)
        return is_full is not None and bool(is_full())

    def _wait_for_place(self) -> None:
        """All places have open requests. What waits unaccepted may be let in in time; closed, its request is lost."""
        self._count("accepts that waited for a place")
        limited.write(
            logging.WARNING,
            "place",
            "all places for connections have open requests: new ones wait; raise limits.sockets",
        )
        self._rest()

    def _wait_for_room(self, exc: OSError) -> None:
        """The system has no descriptor or no memory."""
        self._count("accepts without a descriptor")
        name = errorcode.get(exc.errno or 0, "?")
        limited.write(
            logging.WARNING,
            f"accept {name}",
            "no room to accept a connection: %s; raise limits.sockets or the system's limit on open files",
            name,
        )
        if exc.errno == EMFILE:
            self._make_way()
        if not self._ends:
            self._rest()

    def _make_way(self) -> None:
        """Its own descriptors are used up: one of them helps. Where it does not, no further one is given up for it."""
        make_way = getattr(self.factory, "make_way", None)
        now = time.monotonic()
        if make_way is not None and now - self._made_way >= MAKE_WAY_AGAIN_S:
            self._made_way = now
            make_way()

    def _rest(self) -> None:
        super().stopReading()
        self.reactor.callLater(ROOM_AGAIN_S, self._look_again)

    def _look_again(self) -> None:
        if self.connected and not self._paused:
            super().startReading()

    def stopReading(self) -> None:
        """Nothing is accepted until `startReading`."""
        self._paused = True
        super().stopReading()

    def startReading(self) -> None:
        self._paused = False
        super().startReading()

    def accept_last(self) -> None:
        """Those that wait already are let in, and the socket closes: left unaccepted, their requests would be lost."""
        self.most, self._ends = ACCEPT_ALL, True
        self.doRead()
        self.stopListening()

    def connectionLost(self, reason: Any) -> None:
        if self._ends:  # Twisted closes in a later turn: in between, more may have come
            self.doRead()
        super().connectionLost(reason)


class LoopTimer:
    """Wakes the core at the time of its earliest alarm."""

    def __init__(self, reactor: Any, ring: Callable[[], None]) -> None:
        self._reactor, self._ring = reactor, ring
        self._call: Any = None

    def arm(self, when: int) -> None:
        if self._call is not None:
            self._call.cancel()
        self._call = self._reactor.callLater(max(0.0, when / 1e6 - time.monotonic()), self._due)

    def _due(self) -> None:
        self._call = None
        self._ring()
